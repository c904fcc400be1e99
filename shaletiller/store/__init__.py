"""The durable store: a log-structured key-value store in a directory, open in one process at a time."""
