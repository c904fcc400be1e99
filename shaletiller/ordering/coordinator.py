"""The coordinator of the order in one process: asks for turns, whichever process owns the order."""

from __future__ import annotations

from enum import Enum

import msgspec

from shaletiller.ordering.effects import Effect, GrantTurn, ReadOwnInput, RefuseTurn, SendMessage
from shaletiller.ordering.messages import (
    Ask,
    Farewell,
    Grant,
    Hello,
    InputRead,
    Message,
    ReadInput,
    Refuse,
    Release,
    TurnState,
    Welcome,
)
from shaletiller.ordering.owner import OWN_PROCESS, Owner

OWNER = -1  # number of the owner's process at a follower
ROUNDS_PER_MS = 1000  # more than an owner can start


class Role(Enum):
    """The part of a process in the order; the values are figures of STATS."""

    UNDECIDED = 0
    """The owner is not known: turns wait."""
    FOLLOWER = 1
    """Another process of the gateway grants the turns."""
    OWNER = 2
    """This process grants the turns."""


class Coordinator:
    """Keeps the turns of this process over changes of the owner.

    :param quiet_ms: how long an attempt may still run at its node after its process or connection has ended.
    :param keep_ms: how long the owner remembers a granted turn, to refuse one that arrived earlier.
    """

    def __init__(self, quiet_ms: float, keep_ms: float) -> None:
        self.quiet_ms = quiet_ms
        self.keep_ms = keep_ms
        self.welcome = False  # whether the owner takes this follower's input into account
        self._turns: dict[str, TurnState] = {}
        self._owner: Owner | None = None
        self._follows = False
        # Without the owner's farewell, its end is a crash, after which its attempts may still be running.
        self._farewell_quiet_ms: float | None = None

    def apply_durations(self, quiet_ms: float, keep_ms: float) -> None:
        """Apply new settings; the parameters are those of the constructor."""
        self.quiet_ms, self.keep_ms = quiet_ms, keep_ms
        if self._owner is not None:
            self._owner.keep_ms = keep_ms

    @property
    def role(self) -> Role:
        """The part of this process."""
        if self._owner is not None:
            return Role.OWNER
        return Role.FOLLOWER if self._follows else Role.UNDECIDED

    @property
    def followers(self) -> int:
        """Number of processes that follow this one."""
        return self._owner.followers if self._owner is not None else 0

    @property
    def waiting(self) -> int:
        """Number of requests of this process that wait for their turn."""
        return sum(not turn.granted for turn in self._turns.values())

    def become_owner(self, now_ms: float, alone: bool) -> list[Effect]:
        """Start to grant turns.

        :param alone: whether no other process has owned the order since this one started.
        """
        quiet_ms = self.quiet_ms if self._farewell_quiet_ms is None else self._farewell_quiet_ms
        first_round = int(now_ms * ROUNDS_PER_MS)  # rounds of successive owners have different numbers
        self._owner = Owner(0.0 if alone else now_ms + quiet_ms, self.keep_ms, first_round)
        self._follows = False
        states = sorted(self._turns.values(), key=lambda state: not state.granted)
        return self._record(
            [effect for state in states for effect in self._owner.ask(OWN_PROCESS, state, now_ms)]
        )

    def follow(self) -> list[Effect]:
        """Start to ask another process for turns."""
        self._follows, self.welcome, self._farewell_quiet_ms = True, False, None
        return [SendMessage(OWNER, Hello(tuple(self._turns.values())))]

    def on_owner_lost(self) -> None:
        """Handle the end of the owner's process or link: turns wait until there is an owner again."""
        self._follows = self.welcome = False

    def ask(self, request: str, key: str, arrived_ns: int, now_ms: float) -> list[Effect]:
        """Ask for the turn of a request of this process; `GrantTurn` or `RefuseTurn` follows."""
        state = self._turns[request] = TurnState(request, key, arrived_ns)
        if self._owner is not None:
            return self._record(self._owner.ask(OWN_PROCESS, state, now_ms))
        return [SendMessage(OWNER, Ask(state))] if self._follows else []

    def release(self, request: str, quiet_ms: float, now_ms: float) -> list[Effect]:
        """Give up a turn, whether it was granted or not; does nothing for an unknown request."""
        if self._turns.pop(request, None) is None:
            return []
        if self._owner is not None:
            return self._record(self._owner.release(OWN_PROCESS, request, quiet_ms, now_ms))
        return [SendMessage(OWNER, Release(request, quiet_ms))] if self._follows else []

    def on_message(self, process: int, message: Message, now_ms: float) -> list[Effect]:
        """Handle a message of another process."""
        if self._owner is not None:
            return self._record(self._owner.on_message(process, message, now_ms))
        match message:
            case Welcome():
                self.welcome = True
            case Grant(request=request) if request in self._turns:
                return self._record([GrantTurn(request)])
            case Refuse(request=request) if request in self._turns:
                return self._record([RefuseTurn(request)])
            case ReadInput(round=number):
                return [ReadOwnInput(number)]
            case Farewell(quiet_ms=quiet_ms):
                self._farewell_quiet_ms = quiet_ms
        return []

    def on_follower_lost(self, process: int, now_ms: float) -> list[Effect]:
        """Handle the end of a follower's process or link."""
        if self._owner is None:
            return []
        return self._record(self._owner.on_follower_lost(process, self.quiet_ms, now_ms))

    def on_input_read(self, number: int, now_ms: float) -> list[Effect]:
        """Handle that the turns of all requests that arrived before a round were asked for."""
        if self._owner is not None:
            return self._record(self._owner.on_input_read(OWN_PROCESS, number, now_ms))
        return [SendMessage(OWNER, InputRead(number))] if self._follows else []

    def on_quiet_period_ended(self, key: str, now_ms: float) -> list[Effect]:
        """Handle the time of `WakeAt`."""
        if self._owner is None:
            return []
        return self._record(self._owner.on_quiet_period_ended(key, now_ms))

    def farewell(self, now_ms: float) -> list[Effect]:
        """Hand the order over: this process ends."""
        return self._owner.farewell(self.quiet_ms, now_ms) if self._owner is not None else []

    def _record(self, effects: list[Effect]) -> list[Effect]:
        """Keep the turns of this process up to date with the effects."""
        for effect in effects:
            match effect:
                case GrantTurn(request=request):
                    self._turns[request] = msgspec.structs.replace(self._turns[request], granted=True)
                case RefuseTurn(request=request):
                    del self._turns[request]
        return effects
