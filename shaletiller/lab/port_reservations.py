"""Ports of loopback reserved for this process: no other test run gets them, and the kernel skips them.

A port that was only probed is free again until its gateway listens, and between a kill and a restart.
Gateways listen with SO_REUSEPORT, so two that were given the same port would share it silently.
"""

from __future__ import annotations

import os
import socket

from shaletiller.lab.errors import LabError

LOOPBACK = "127.0.0.1"
# Below the ports that Linux gives to outgoing connections.
FIRST_PORT, END_PORT = 10_000, 32_000
# Each process begins to look at a block of its own.
PORTS_PER_BLOCK = 200

_reservations: dict[int, socket.socket] = {}


def reserve_port() -> int:
    """Reserve a port until this process ends, for TCP and by agreement for UDP.

    :raises LabError: if none is free.
    """
    ports = END_PORT - FIRST_PORT
    first = os.getpid() % (ports // PORTS_PER_BLOCK) * PORTS_PER_BLOCK
    for offset in range(ports):
        port = FIRST_PORT + (first + offset) % ports
        if port not in _reservations and (reservation := _bind(port)) is not None:
            _reservations[port] = reservation
            return port
    raise LabError("no free port")


def _bind(port: int) -> socket.socket | None:
    """Bind a socket that never listens; None if the port is in use or reserved elsewhere.

    The bind is exclusive.  The options set behind it let this run's own listeners bind beside it, and leave
    every exclusive bind of another process to fail.
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
