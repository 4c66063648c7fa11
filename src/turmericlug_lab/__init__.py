"""Stand-ins for what surrounds the daemons, and the load and experiment tool."""
