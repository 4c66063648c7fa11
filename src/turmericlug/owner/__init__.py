"""The target's side of a query: one queue per service, limits, hedging, retries."""
