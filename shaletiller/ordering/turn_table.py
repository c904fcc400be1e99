"""The owner's table of turns: which process may run requests of a key, in the order of arrival."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field
from operator import attrgetter

_arrived_ns = attrgetter("arrived_ns")


@dataclass(slots=True, eq=False)
class Turn:
    """The turn of one request.

    :param process: number of the process that has the request.
    :param settled: whether all requests that arrived earlier are in the table.
    :param granted: whether the process may run it; it then orders it among its own requests.
    """

    process: int
    request: str
    key: str
    arrived_ns: int
    settled: bool = False
    granted: bool = False


@dataclass(slots=True, eq=False)
class KeyTurns:
    """The turns of one key: the granted ones, all of one process, and then the others by arrival.

    :param quiet_until_ms: time until which an attempt of `quiet_process` may still be running.
    """

    granted: list[Turn] = field(default_factory=list)
    waiting: list[Turn] = field(default_factory=list)
    quiet_until_ms: float = 0.0
    quiet_process: int | None = None


@dataclass(slots=True, frozen=True)
class GrantResult:
    """Turns that are granted now, and the time at which the key has to be looked at again, if any.

    That is the end of a quiet period that delays the next turn, or after which the key can be forgotten.
    """

    granted: list[Turn]
    retry_at_ms: float | None = None


class TurnTable:
    """Grants the turns of each key to one process at a time.

    Consecutive turns of the same process are granted together, because the process itself runs them one after
    the other.
    """

    def __init__(self, quiet_until_ms: float = 0.0) -> None:
        """Create an empty table.

        :param quiet_until_ms: time until which attempts of a previous owner may still be running, for any key
            that has no granted turn.
        """
        self._keys: dict[str, KeyTurns] = {}
        self._turns: dict[tuple[int, str], Turn] = {}
        self._quiet_until_ms = quiet_until_ms

    def add(self, turn: Turn) -> None:
        """Add a turn that is granted or waits."""
        self._turns[turn.process, turn.request] = turn
        entry = self._keys.setdefault(turn.key, KeyTurns())
        if turn.granted:
            entry.granted.append(turn)
        else:
            insort(entry.waiting, turn, key=_arrived_ns)

    def grant(self, key: str, now_ms: float) -> GrantResult:
        """Grant the turns of a key that may run now; forget a key that is not used any more."""
        entry = self._keys.get(key)
        granted: list[Turn] = []
        if entry is None:
            return GrantResult(granted)
        while entry.waiting:
            turn = entry.waiting[0]
            if not turn.settled or any(other.process != turn.process for other in entry.granted):
                return GrantResult(granted)
            quiet_until_ms = self._quiet_until(entry, turn.process)
            if quiet_until_ms > now_ms:
                return GrantResult(granted, quiet_until_ms)
            turn.granted = True
            entry.granted.append(entry.waiting.pop(0))
            granted.append(turn)
        if not entry.granted:
            if entry.quiet_until_ms > now_ms:
                return GrantResult(granted, entry.quiet_until_ms)
            del self._keys[key]
        return GrantResult(granted)

    def _quiet_until(self, entry: KeyTurns, process: int) -> float:
        # A process waits by itself for its own attempts, and a granted turn proves that others have ended.
        own_quiet = entry.quiet_process == process
        quiet_until_ms = 0.0 if own_quiet else entry.quiet_until_ms
        return quiet_until_ms if entry.granted else max(quiet_until_ms, self._quiet_until_ms)

    def release(self, process: int, request: str, quiet_until_ms: float) -> Turn | None:
        """Remove a turn; None if it is unknown.

        :param quiet_until_ms: time until which one of its attempts may still be running.
        """
        turn = self._turns.pop((process, request), None)
        if turn is None:
            return None
        entry = self._keys[turn.key]
        (entry.granted if turn.granted else entry.waiting).remove(turn)
        if turn.granted and quiet_until_ms > entry.quiet_until_ms:
            entry.quiet_until_ms, entry.quiet_process = quiet_until_ms, process
        return turn

    @property
    def keys(self) -> int:
        """Number of keys that have a turn or a quiet period."""
        return len(self._keys)

    def turns_of(self, process: int) -> list[Turn]:
        """Return the turns of a process."""
        return [turn for turn in self._turns.values() if turn.process == process]

    def quiet_until_ms(self) -> float:
        """Return the latest time until which any attempt of an ended request may still be running."""
        return max([self._quiet_until_ms, *(entry.quiet_until_ms for entry in self._keys.values())])
