"""A subset of NVMe over TCP: a target for hosts, and a client for NVMe storage nodes.

Codec: `pdu`, `commands`, `capsules`, `status`.  Both sides: `stream`, `errors`.  Target: `target`,
`controller`, `queue`, `pending`, `fabrics_commands`, `admin_commands`, `io_commands`, `identify`.  Client:
`upstream`, `association`, `host_queue`.
"""
