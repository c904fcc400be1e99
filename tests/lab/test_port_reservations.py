"""Reservation of the ports of gateways."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys

import uvloop

from shaletiller.lab.port_reservations import LOOPBACK, reserve_port

PRINT_A_PORT = """
import os
os.getpid = lambda: {pid}
from shaletiller.lab.port_reservations import reserve_port
print(reserve_port(), flush=True)
input()
"""


def test_two_processes_never_reserve_the_same_port() -> None:
    """Two processes begin their search at the same block of ports.

    They must reserve different ports; two gateways with the same port would share their clients.
    """
    program = [sys.executable, "-c", PRINT_A_PORT.format(pid=4242)]
    processes = [
        subprocess.Popen(program, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) for _ in range(2)
    ]
    try:
        ports = [process.stdout.readline() for process in processes if process.stdout is not None]
    finally:
        for process in processes:
            process.communicate("\n")
    assert len(set(ports)) == 2


def test_a_reserved_port_accepts_successive_listeners_of_this_run() -> None:
    """A gateway listens on a reserved port, ends, and listens again; no other process can bind the port."""

    async def listen_with(reuse_port: bool) -> None:
        server = await asyncio.start_server(lambda *_: None, LOOPBACK, port, reuse_port=reuse_port)
        server.close()
        await server.wait_closed()

    port = reserve_port()
    for reuse_port in (True, False, True):  # listeners for clients, for the admin port, and for clients again
        uvloop.run(listen_with(reuse_port))
        with socket.socket() as other:
            assert other.connect_ex((LOOPBACK, port)) != 0
        with socket.socket() as other:
            try:
                other.bind((LOOPBACK, port))
            except OSError:
                continue
            raise AssertionError("another socket could bind the reserved port")
