"""The owner side of a query: one queue per service, concurrency limits, hedges and retries."""
