"""Stand-ins for the systems around the daemons, and the load and experiment tool."""
