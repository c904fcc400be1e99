"""NVMe over TCP, a subset: the target for hosts, and the client of storage nodes that speak it.

Codec: `pdu`, `commands`, `capsules`, `status`.  Target: `target`, `controller`, `queue`, `fabrics_commands`,
`admin_commands`, `io_commands`, `identify`.  Client: `upstream`, `association`, `host_queue`.
"""
