"""Start order, clean stop and the registry in which services find each other by name."""
