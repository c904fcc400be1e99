"""Selects the granter of each limit by rendezvous hashing over the members alive."""

from __future__ import annotations

from collections.abc import Callable

from shaletiller.fleet.rendezvous import highest_ranked


class GranterElection:
    """Determines the granter of each limit in this member's view of the membership."""

    def __init__(self, me: int, alive: Callable[[], tuple[int, ...]]) -> None:
        """Create an election over the members that `alive` returns.

        :param me: number of this member.
        :param alive: returns the members alive; it must return the same object until the membership changes.
        """
        self.me = me
        self._alive = alive
        self._cached_members: tuple[int, ...] = ()
        self._granters: dict[str, int] = {}

    def alive(self) -> tuple[int, ...]:
        """Return the members alive."""
        return self._alive()

    def granter_of(self, limit: str) -> int:
        """Return the granter of a limit, or this member itself if no member is known to be alive."""
        alive = self._alive()
        if alive is not self._cached_members:
            self._cached_members, self._granters = alive, {}
        granter = self._granters.get(limit)
        if granter is None:
            found = highest_ranked(limit, alive)
            granter = self._granters[limit] = self.me if found is None else found
        return granter
