"""Failure detection, gossip membership and ownership of services by instances."""
