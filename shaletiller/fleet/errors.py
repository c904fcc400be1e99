"""Exceptions raised by the fleet package."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of the fleet's exceptions."""


class FleetOptionError(FleetError, ValueError):
    """An option of the fleet is out of range or contradicts another option.

    It is also a `ValueError`, because the reader of the operator file expects one: it looks up the line of
    the file by the option's name, which is the text before the first colon.
    """

    def __init__(self, option: str, requirement: str) -> None:
        """Create an error with the text `OPTION: REQUIREMENT`."""
        super().__init__(f"{option}: {requirement}")
        self.option = option


class EnvelopeError(FleetError):
    """A received datagram is not an acceptable envelope."""

    def __init__(self, reason: str) -> None:
        """Create an error with the reason for which the datagram is dropped.

        :param reason: name of the reason; STATS counts the drop as `fleet.dropped.REASON`.
        """
        super().__init__(reason)
        self.reason = reason
