"""The endpoint registry: the known storage nodes, their sources and departures, free of I/O."""
