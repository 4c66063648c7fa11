"""Which instances are alive, and which of them owns a service."""
