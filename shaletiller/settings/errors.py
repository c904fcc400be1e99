"""Errors of the settings package."""

from __future__ import annotations


class SettingsError(ValueError):
    """A setting is missing or has an invalid value; the message begins with its key."""
