"""Ports that gateways of one test run are started on."""

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
    """Two test runs begin to look at the same block of ports.

    Guards against two gateways that share a port, each with a part of the other's clients.
    """
    program = [sys.executable, "-c", PRINT_A_PORT.format(pid=4242)]
    runs = [
        subprocess.Popen(program, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) for _ in range(2)
    ]
    try:
        ports = [run.stdout.readline() for run in runs if run.stdout is not None]
    finally:
        for run in runs:
            run.communicate("\n")
    assert len(set(ports)) == 2


def test_a_reserved_port_takes_the_listeners_of_this_run_one_after_the_other() -> None:
    """A gateway listens on a reserved port, ends, and listens again; nobody else can take it meanwhile."""

    async def listen_with(reuse_port: bool) -> None:
        server = await asyncio.start_server(lambda *_: None, LOOPBACK, port, reuse_port=reuse_port)
        server.close()
        await server.wait_closed()

    port = reserve_port()
    for reuse_port in (True, False, True):  # the client, admin and client listeners of gateways
        uvloop.run(listen_with(reuse_port))
        with socket.socket() as other:
            assert other.connect_ex((LOOPBACK, port)) != 0
        with socket.socket() as other:
            try:
                other.bind((LOOPBACK, port))
            except OSError:
                continue
            raise AssertionError("another process could take the port")
