"""The entry instance: follows the configuration, answers callers, tells where to connect."""
