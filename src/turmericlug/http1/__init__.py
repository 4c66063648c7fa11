"""HTTP/1.1 over a C parser: the callers' server and the client towards targets and the store."""
