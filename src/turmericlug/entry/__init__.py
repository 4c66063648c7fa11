"""The entry instance: follows the configuration, serves callers, and publishes where to connect."""
