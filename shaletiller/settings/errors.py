"""Errors of the settings package."""

from __future__ import annotations


class SettingsError(ValueError):
    """A setting is missing or has a value that is not allowed; the text begins with its key."""
