"""The registry of storage nodes: their sources and departures.  Performs no I/O."""
