"""Errors of the replication package."""

from __future__ import annotations


class ReplicationError(Exception):
    """Base class of the errors of replication."""


class NotReplicatedError(ReplicationError):
    """An operator command is in effect at this gateway, but no majority of its replicas has recorded it."""
