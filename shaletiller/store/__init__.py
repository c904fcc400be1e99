"""The durable store: a log-structured key-value store in a directory, opened by one process at a time."""
