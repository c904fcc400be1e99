"""Errors of the laboratory."""

from __future__ import annotations


class LabError(Exception):
    """A run could not be completed, so its guarantees were neither confirmed nor violated."""
