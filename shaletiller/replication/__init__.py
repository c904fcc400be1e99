"""A replicated register for each key: what one gateway acknowledges survives the loss of its machine.

The package is free of I/O and reads no clock: messages, rows to persist and results are data, the time is an
argument.  `shaletiller.net.replication` connects it to the links, the store and the request path.
"""
