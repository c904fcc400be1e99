"""Errors in the configuration; each message names the faulty key."""

from __future__ import annotations

import msgspec


class ConfigError(Exception):
    """The configuration is invalid; the message begins with the faulty key."""


class OperatorFileError(Exception):
    """The operator file is invalid; the message names the line and the faulty key."""


def describe_error(error: msgspec.MsgspecError) -> str:
    """Return the message of a msgspec error with the key first: `limits.sockets: Expected ...`."""
    message, _, path = str(error).partition(" - at `$")
    return f"{path.rstrip('`').lstrip('.')}: {message}" if path else message
