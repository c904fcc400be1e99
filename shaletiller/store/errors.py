"""Errors of the store."""

from __future__ import annotations


class StoreError(Exception):
    """Base of the errors of the store."""


class StoreLockedError(StoreError):
    """Another process has the store open."""


class StoreFullError(StoreError):
    """The disk is full: nothing of this commit is stored, a later one may be."""


class StoreBrokenError(StoreError):
    """A sync failed: what the disk holds is unknown, and the store accepts no more commits."""


class DamagedStoreError(StoreError):
    """Bytes that were complete have changed, or a file is missing."""

    def __init__(self, path: str, offset: int, reason: str) -> None:
        """Name the place.

        :param path: name of the file.
        :param offset: of the first byte that is wrong.
        """
        super().__init__(f"{path}: byte {offset}: {reason}")
        self.path, self.offset, self.reason = path, offset, reason
