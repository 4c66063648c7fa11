"""The service container of a daemon, and the background tasks of its services."""
