"""The errors of the configuration: each message names the faulty key."""

from __future__ import annotations

import msgspec


class ConfigError(Exception):
    """The configuration is faulty; the message starts with the key."""


class OperatorFileError(Exception):
    """The operator file is faulty; the message names its line and key."""


def describe(error: msgspec.MsgspecError) -> str:
    """A message of msgspec's with the key first: `limits.sockets: Expected ...`."""
    message, _, path = str(error).partition(" - at `$")
    return f"{path.rstrip('`').lstrip('.')}: {message}" if path else message
