"""Overload and failure policies: pure logic without sockets, clocks or an event loop."""
