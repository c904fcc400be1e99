"""Reservation of loopback ports for this process, so that neither other test runs nor the kernel assign them.

Without a reservation another process could take a port before its gateway listens, or between a kill and a
restart.  Gateways listen with SO_REUSEPORT, so two gateways with the same port would share its connections
without an error.
"""

from __future__ import annotations

import os
import socket

from shaletiller.lab.errors import LabError

LOOPBACK = "127.0.0.1"
# The range of ports, END_PORT excluded; it is below the ephemeral ports that Linux assigns to outgoing
# connections.
FIRST_PORT, END_PORT = 10_000, 32_000
# Processes begin their search at different blocks of this many ports.
PORTS_PER_BLOCK = 200

_reservations: dict[int, socket.socket] = {}


def reserve_port() -> int:
    """Reserve a port until this process ends, for TCP and by convention also for UDP.

    :raises LabError: if no port is free.
    """
    port_count = END_PORT - FIRST_PORT
    first_offset = os.getpid() % (port_count // PORTS_PER_BLOCK) * PORTS_PER_BLOCK
    for offset in range(port_count):
        port = FIRST_PORT + (first_offset + offset) % port_count
        if port not in _reservations and (reservation := _bind(port)) is not None:
            _reservations[port] = reservation
            return port
    raise LabError("no free port left to reserve on the loopback address")


def _bind(port: int) -> socket.socket | None:
    """Bind a socket that never listens; return None if the port is in use or reserved by another process.

    The bind is exclusive.  The options set after it allow this run's own listeners to bind the same port,
    while every exclusive bind by another process still fails.
    """
    reservation = socket.socket()
    try:
        reservation.bind((LOOPBACK, port))
    except OSError:
        reservation.close()
        return None
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    return reservation
