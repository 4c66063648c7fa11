"""Request forwarding to replicas: routing, replica selection, hedging, limits and merging."""
