"""Exceptions of the fleet package."""

from __future__ import annotations


class FleetError(Exception):
    """Base class of the fleet's exceptions."""


class FleetOptionError(FleetError, ValueError):
    """An option of the fleet is out of range or contradicts another one.

    A `ValueError` too: the operator file maps the text before the first colon, the option's name, to the line
    of the file.
    """

    def __init__(self, option: str, requirement: str) -> None:
        """Compose the text `OPTION: REQUIREMENT`."""
        super().__init__(f"{option}: {requirement}")
        self.option = option


class EnvelopeError(FleetError):
    """A datagram is not an envelope that this member accepts."""

    def __init__(self, reason: str) -> None:
        """Keep the reason for the statistics.

        :param reason: under which the drop is counted in STATS, as `fleet.dropped.REASON`.
        """
        super().__init__(reason)
        self.reason = reason
