"""Replicated registers, one per key: a value that a gateway acknowledges survives the loss of its machine.

The package performs no I/O and reads no clock: messages, rows to persist and results are plain data, and the
current time is passed as an argument. `shaletiller.net.replication` connects it to the links, the store and
the request path.
"""
