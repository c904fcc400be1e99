"""Network I/O with clients, storage nodes, discovery, other gateways and operators."""

from __future__ import annotations

import sys
from typing import Any


def _import_aiohttp() -> None:
    """Import aiohttp as if Python had no `ssl` module, which aiohttp supports.

    On import, aiohttp creates two TLS contexts and loads all trusted certificates, which takes a large part
    of the CPU time of a start: gateways that start at the same time on one core would not be ready in time.
    The gateway does not use TLS, and aiohttp's client raises an error for an https URL.
    """
    modules: dict[str, Any] = sys.modules
    import ssl  # asyncio imports it in any case

    modules["ssl"] = None
    try:
        import aiohttp.connector  # noqa: F401
    finally:
        modules["ssl"] = ssl


_import_aiohttp()
