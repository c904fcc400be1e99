"""Errors of the store."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of the errors of the store."""


class StoreLockedError(StoreError):
    """Another process has the store open."""


class StoreFullError(StoreError):
    """A write failed, usually because the disk is full.

    No update of this commit is stored; later commits may succeed.
    """


class StoreBrokenError(StoreError):
    """A sync failed, so the contents of the disk are unknown; the store accepts no further commits.

    A partial write that could not be truncated has the same effect.
    """


class DamagedStoreError(StoreError):
    """Data that was completely written has changed, or a file is missing."""

    def __init__(self, path: str, offset: int, reason: str) -> None:
        """Create the error.

        :param path: name of the damaged file.
        :param offset: offset of the first wrong byte.
        :param reason: what is wrong there.
        """
        super().__init__(f"{path}: byte {offset}: {reason}")
        self.path, self.offset, self.reason = path, offset, reason
