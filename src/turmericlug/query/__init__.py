"""The caller side of a query: HTTP, fan-out to owners, merging and outcomes."""
