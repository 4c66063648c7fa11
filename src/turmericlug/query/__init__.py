"""The caller's side of a query: HTTP, routing to owners, merging, outcomes."""
