"""Idempotency records that let a request run at most once."""
