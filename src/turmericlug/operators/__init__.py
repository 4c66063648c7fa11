"""The operators' HTTP interface and its command-line client."""
