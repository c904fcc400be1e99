"""The wires: clients, nodes, discovery, peers and operators."""

from __future__ import annotations

import sys
from typing import Any


def _import_aiohttp() -> None:
    """Import aiohttp as on a Python without `ssl`, which it supports.

    As it is imported it builds two TLS contexts, and loads all the certificates that the machine trusts: a
    fifth of a start's CPU.  Forty gateways that started at once on one core took 19 s to their first wait.
    No connection of this program speaks TLS, and a client of aiohttp's that was asked to would refuse."""
    modules: dict[str, Any] = sys.modules
    import ssl  # asyncio has it at any rate

    modules["ssl"] = None
    try:
        import aiohttp.connector  # noqa: F401
    finally:
        modules["ssl"] = ssl


_import_aiohttp()
