"""Stand-ins, clients and the start of instances, for the cases of the review."""
