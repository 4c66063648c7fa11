"""Clients of the general key-value store and instance list, by their published protocols."""
