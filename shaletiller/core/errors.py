"""Errors of the core."""

from __future__ import annotations


class BadRequestError(Exception):
    """A client request is malformed or not allowed, and must not be forwarded to a storage node.

    The message names the faulty field and is sent to the client.
    """


class ResponseBrokenError(Exception):
    """A storage node has broken off a response of which a part may have reached the client."""
