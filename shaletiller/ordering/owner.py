"""The owner's part of the order: collects the turns of all processes, and grants them."""

from __future__ import annotations

from dataclasses import dataclass, field
from operator import attrgetter

from shaletiller.ordering.effects import Effect, GrantTurn, ReadOwnInput, RefuseTurn, SendMessage, WakeAt
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
from shaletiller.ordering.turn_table import Turn, TurnTable
from shaletiller.state.admitted_arrivals import AdmittedArrivals

OWN_PROCESS = 0  # number of the owner's own process; followers have the numbers of their links


@dataclass(slots=True)
class InputRound:
    """A round in which all processes read the input that has arrived by its start.

    :param reading: the processes that have not answered yet.
    :param turns: the turns that are settled by its end.
    """

    number: int
    reading: set[int]
    turns: list[Turn] = field(default_factory=list)


class Owner:
    """Grants turns in the order of arrival.

    Alone, the owner grants its own turns at once, because its process orders its own requests.  Beside a
    follower, a turn waits for a round of input: every process has asked for the turns of all requests that
    arrived earlier.

    :param quiet_until_ms: time until which attempts of a previous owner may still be running.
    :param keep_ms: how long a granted turn is remembered, to refuse one that arrived earlier.
    :param first_round: number of the first round; a previous owner must not have used it.
    """

    def __init__(self, quiet_until_ms: float, keep_ms: float, first_round: int) -> None:
        self.keep_ms = keep_ms
        self._table = TurnTable(quiet_until_ms)
        self._granted_arrivals = AdmittedArrivals()
        self._followers: set[int] = set()
        self._round: InputRound | None = None
        self._next_round = first_round
        self._next_turns: list[Turn] = []  # they arrived after the start of the present round

    @property
    def followers(self) -> int:
        """Number of followers."""
        return len(self._followers)

    def ask(self, process: int, state: TurnState, now_ms: float) -> list[Effect]:
        """Add a turn; it is granted in its order."""
        if not state.granted and self._granted_arrivals.is_overtaken(state.key, state.arrived_ns):
            return [self._refusal(process, state.request)]
        turn = Turn(process, state.request, state.key, state.arrived_ns, granted=state.granted)
        self._table.add(turn)
        if turn.granted:
            return []
        if not self._followers:
            turn.settled = True
            return self._grant(turn.key, now_ms)
        self._next_turns.append(turn)
        return self._start_round()

    def release(self, process: int, request: str, quiet_ms: float, now_ms: float) -> list[Effect]:
        """Remove a turn, and grant the next ones of its key."""
        quiet_until_ms = now_ms + quiet_ms if quiet_ms > 0 else 0.0
        turn = self._table.release(process, request, quiet_until_ms)
        return self._grant(turn.key, now_ms) if turn is not None else []

    def on_message(self, process: int, message: Message, now_ms: float) -> list[Effect]:
        """Handle a message of a follower."""
        match message:
            case Hello(turns=turns):
                self._followers.add(process)
                asked = [effect for state in turns for effect in self.ask(process, state, now_ms)]
                return [SendMessage(process, Welcome()), *asked]
            case Ask(turn=state):
                return self.ask(process, state, now_ms)
            case Release(request=request, quiet_ms=quiet_ms):
                return self.release(process, request, quiet_ms, now_ms)
            case InputRead(round=number):
                return self.on_input_read(process, number, now_ms)
        return []

    def on_follower_lost(self, process: int, quiet_ms: float, now_ms: float) -> list[Effect]:
        """Handle the end of a follower's process or link.

        :param quiet_ms: how long its attempts may still be running.
        """
        self._followers.discard(process)
        effects: list[Effect] = []
        for turn in sorted(self._table.turns_of(process), key=attrgetter("granted")):
            effects += self.release(process, turn.request, quiet_ms, now_ms)
        if self._round is not None:
            effects += self.on_input_read(process, self._round.number, now_ms)
        return effects

    def _start_round(self) -> list[Effect]:
        if self._round is not None or not self._next_turns:
            return []
        number = self._next_round
        self._next_round += 1
        self._round = InputRound(number, {OWN_PROCESS, *self._followers}, self._next_turns)
        self._next_turns = []
        asked = [SendMessage(process, ReadInput(number)) for process in sorted(self._followers)]
        return [*asked, ReadOwnInput(number)]

    def on_input_read(self, process: int, number: int, now_ms: float) -> list[Effect]:
        """Handle that a process has asked for all turns that arrived before a round."""
        if self._round is None or self._round.number != number:
            return []
        self._round.reading.discard(process)
        if self._round.reading:
            return []
        turns, self._round = self._round.turns, None
        effects: list[Effect] = []
        for turn in turns:
            turn.settled = True
        for key in dict.fromkeys(turn.key for turn in turns):
            effects += self._grant(key, now_ms)
        return effects + self._start_round()

    def on_quiet_period_ended(self, key: str, now_ms: float) -> list[Effect]:
        """Grant the turns of a key that a quiet period has delayed, or forget the key."""
        return self._grant(key, now_ms)

    def farewell(self, quiet_ms: float, now_ms: float) -> list[Effect]:
        """Tell the followers that this process ends.

        :param quiet_ms: how long attempts of its unfinished requests may still be running.
        """
        left_ms = self._table.quiet_until_ms() - now_ms
        longest_ms = max(0.0, left_ms, quiet_ms if self._table.turns_of(OWN_PROCESS) else 0.0)
        return [SendMessage(process, Farewell(longest_ms)) for process in sorted(self._followers)]

    def _grant(self, key: str, now_ms: float) -> list[Effect]:
        result = self._table.grant(key, now_ms)
        effects: list[Effect] = []
        for turn in result.granted:
            if self._followers:
                self._granted_arrivals.record(key, turn.arrived_ns, now_ms, self.keep_ms)
            effects.append(self._permission(turn))
        if result.retry_at_ms is not None:
            effects.append(WakeAt(result.retry_at_ms, key))
        return effects

    @staticmethod
    def _permission(turn: Turn) -> Effect:
        if turn.process == OWN_PROCESS:
            return GrantTurn(turn.request)
        return SendMessage(turn.process, Grant(turn.request))

    @staticmethod
    def _refusal(process: int, request: str) -> Effect:
        if process == OWN_PROCESS:
            return RefuseTurn(request)
        return SendMessage(process, Refuse(request))
