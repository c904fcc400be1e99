"""Coordination of the gateways in a fleet: membership, leases on shared limits, gossip about storage nodes.

No module in this package reads a socket, a file or a clock.  Each is driven by the time and the messages that
are passed to it, so that the same code runs in a gateway and in the simulator.  docs/fleet.md lists the
guarantees and their assumptions.
"""
