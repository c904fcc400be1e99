"""Errors of the core."""

from __future__ import annotations


class BadRequestError(Exception):
    """A client's request is malformed or not allowed here: no storage node may see it.

    The message names the field at fault and is passed on to the client.
    """
