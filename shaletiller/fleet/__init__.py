"""Coordination of the gateways of a fleet: membership, leases on shared limits, gossip about storage nodes.

No module here reads a socket, a file or a clock: each is driven by the time and the messages passed to it, so
that the same code runs in a gateway and in the simulator.  Guarantees and their assumptions: docs/fleet.md.
"""
