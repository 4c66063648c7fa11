"""Ordered start and stop of services, and the registry in which they find each other by name."""
