"""Network I/O: clients, nodes, discovery, peers and operators."""

from __future__ import annotations

import sys
from typing import Any


def _import_aiohttp() -> None:
    """Import aiohttp as on a Python without `ssl`, which it supports.

    On import, aiohttp builds two TLS contexts and loads every certificate that the machine trusts, a good
    part of the CPU that a start takes: gateways that start together on one core would not be ready in time.
    No connection of this program uses TLS, and aiohttp's client raises an error if it is given an https URL.
    """
    modules: dict[str, Any] = sys.modules
    import ssl  # loaded by asyncio in any case

    modules["ssl"] = None
    try:
        import aiohttp.connector  # noqa: F401
    finally:
        modules["ssl"] = ssl


_import_aiohttp()
