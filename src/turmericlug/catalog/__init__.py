"""The catalogue: services, groups of services and the shards of each index snapshot."""
