"""Clients of the platform: its key-value store and its instance list."""
