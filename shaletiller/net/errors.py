"""Exceptions of the network layer."""

from __future__ import annotations


class RequestExpiredError(Exception):
    """A client's request whose timeout had passed before its turn came; no node has seen it."""


class ConnectionBrokenError(Exception):
    """The connection to a node failed under a request.

    On purpose neither an `OSError` nor an `aiohttp.ClientError`; see `http_upstream.never_resend`.
    """


class EndpointListError(Exception):
    """An endpoint list that discovery must not send; the list in use stays."""


class DiscoveryOverloadedError(EndpointListError):
    """Discovery is reachable and rejects the call."""


class AdminCommandError(Exception):
    """An operator's command that is rejected; its message follows `error` on the response line."""


class RequestRejectedError(Exception):
    """A client's request that is answered with an HTTP error; no node has seen it."""

    def __init__(self, status: int, reason: str) -> None:
        """Name the response's status and, as its body, the reason."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
