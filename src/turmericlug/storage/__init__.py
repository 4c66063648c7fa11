"""Clients of the general key-value store and of the instance list, over published protocols."""
