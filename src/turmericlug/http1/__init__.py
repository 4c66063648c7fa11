"""HTTP/1.1 on a C parser: the server for callers and the client for targets and the store."""
