"""Structured logs, counters and timers."""
