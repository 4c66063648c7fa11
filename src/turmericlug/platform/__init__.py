"""Adapter to the platform that instances run on: its names, its store, its settings."""
