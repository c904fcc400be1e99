"""Exceptions of the network layer."""

from __future__ import annotations


class RequestExpiredError(Exception):
    """The timeout of a client's request expired before it was sent to any node."""


class ConnectionBrokenError(Exception):
    """The connection to a node failed during a request.

    Deliberately neither an `OSError` nor an `aiohttp.ClientError`; see `http_upstream.never_resend`.
    """


class EndpointListError(Exception):
    """An endpoint list from discovery is invalid; the current list stays in use."""


class DiscoveryOverloadedError(EndpointListError):
    """Discovery is reachable but rejects the call."""


class AdminCommandError(Exception):
    """An operator's command is rejected; the message follows `error` on the response line."""


class RequestRejectedError(Exception):
    """A client's request is rejected with an HTTP error; it was not sent to any node."""

    def __init__(self, status: int, reason: str) -> None:
        """Create an error.

        :param status: status of the HTTP response.
        :param reason: body of the HTTP response.
        """
        super().__init__(reason)
        self.status = status
        self.reason = reason
