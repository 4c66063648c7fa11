"""Sending to replicas from the instance that took the request: routes, choice, limits, merging."""
