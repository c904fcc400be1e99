"""The errors of the laboratory."""

from __future__ import annotations


class LabError(Exception):
    """The laboratory could not complete a run; nothing was shown either way."""
