"""Adapter to the platform that instances run on: wire names, key-value store and settings."""
