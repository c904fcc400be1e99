"""The node list of a gateway: what each source told of it and when, free of I/O."""
