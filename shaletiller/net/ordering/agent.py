"""The agent of the order: obtains the turns of this process's ordered requests, and gives them back."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from shaletiller.clock import Clock, Timer
from shaletiller.core.engine import Engine
from shaletiller.core.metrics import GuardReason
from shaletiller.core.model import Exchange, FinalResponse, FinalResult
from shaletiller.messages.actions import GiveUpReason
from shaletiller.net.ordering.link import LinkHandler, ProcessLink
from shaletiller.ordering.coordinator import Coordinator, Role
from shaletiller.ordering.effects import Effect, GrantTurn, ReadOwnInput, RefuseTurn, SendMessage, WakeAt
from shaletiller.ordering.messages import Message
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

# Ratio of a request's timeout for which it waits for its turn.  Its client has the remaining time to retry.
MAX_WAIT_RATIO = 0.5
# Time for which the start waits until the owner takes this process's input into account.  An owner that does
# not answer must not prevent this process from serving requests that need no order.
JOIN_TIMEOUT_MS = 1000.0
JOIN_POLL_S = 0.005


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for its turn.

    :param begin: called when its turn is granted.
    :param timer: rejects it if it has no turn in time.
    """

    exchange: Exchange
    begin: Callable[[], None]
    timer: Timer


class OrderingAgent(LinkHandler):
    """Executes the effects of the coordinator; see `docs/ordering.md`.

    Without a link, this process is the only one of its gateway, and each turn is granted at once.

    :param link_name: name of the link between the processes, or None if there can be no other process.
    """

    def __init__(self, engine: Engine, clock: Clock, settings: Settings, link_name: str | None) -> None:
        self._engine = engine
        self._clock = clock
        self._coordinator = Coordinator(settings.ordering_gap_ms, settings.longest_deadline_ms)
        self._link = ProcessLink(link_name, self) if link_name is not None else None
        self._is_open = False
        self._waiting: dict[str, WaitingRequest] = {}  # by request id
        if self._link is None or not settings.has_ordered_classes:
            self._coordinator.become_owner(clock.now_ms(), alone=True)

    async def start(self, settings: Settings) -> None:
        """Open the link, if a class is ordered, and wait until the order is decided on."""
        self.apply_settings(settings)
        deadline_ms = self._clock.now_ms() + JOIN_TIMEOUT_MS
        while self._is_open and not self._may_listen and self._clock.now_ms() < deadline_ms:
            await asyncio.sleep(JOIN_POLL_S)
        if self._is_open and not self._may_listen:
            logger.warning(
                "order of requests: no answer from the process that decides on it, ordered ones wait"
            )

    @property
    def _may_listen(self) -> bool:
        return self._coordinator.role is Role.OWNER or self._coordinator.welcome

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; the link is opened when a class is ordered for the first time."""
        self._coordinator.apply_durations(settings.ordering_gap_ms, settings.longest_deadline_ms)
        if self._link is not None and not self._is_open and settings.has_ordered_classes:
            self._is_open = True
            self._coordinator = Coordinator(self._coordinator.quiet_ms, self._coordinator.keep_ms)
            self._link.open()

    def stats(self) -> dict[str, int]:
        """Return figures for STATS; none while the link is closed."""
        if not self._is_open:
            return {}
        return {
            "order.role": self._coordinator.role.value,
            "order.followers": self._coordinator.followers,
            "order.waiting": self._coordinator.waiting,
        }

    def request_turn(self, exchange: Exchange, begin: Callable[[], None]) -> None:
        """Ask for the turn of an ordered request.

        :param begin: called when it is granted; not if the request ends before.
        """
        now_ms, call = self._clock.now_ms(), exchange.call
        wait_ms = exchange.accepted_ms + MAX_WAIT_RATIO * call.timeout_ms - now_ms
        timer = self._clock.call_later(wait_ms, self._reject, call.id, GuardReason.NO_TURN)
        self._waiting[call.id] = WaitingRequest(exchange, begin, timer)
        self._execute(self._coordinator.ask(call.id, call.key, exchange.arrived_ns, now_ms))

    def on_progress(self, exchange: Exchange) -> None:
        """Give a turn back when its request has ended and none of its attempts is in flight."""
        if not exchange.ended or any(attempt.outcome is None for attempt in exchange.attempts):
            return
        waiting = self._waiting.pop(exchange.call.id, None)
        if waiting is not None:
            waiting.timer.cancel()
        now_ms = self._clock.now_ms()
        quiet_ms = self._quiet_until_ms(exchange) - now_ms
        self._execute(self._coordinator.release(exchange.call.id, max(0.0, quiet_ms), now_ms))

    def _quiet_until_ms(self, exchange: Exchange) -> float:
        """Return the time until which an attempt may still be running at its node."""
        ends = [
            attempt.ended_ms + self._coordinator.quiet_ms
            for attempt in exchange.attempts
            if attempt.ended_ms is not None and attempt.outcome is not None and attempt.outcome.may_still_run
        ]
        return max(ends, default=0.0)

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendMessage(process=process, message=message):
                    if self._link is not None:
                        self._link.send(process, message)
                case GrantTurn(request=request):
                    self._begin(request)
                case RefuseTurn(request=request):
                    self._reject(request, GiveUpReason.OVERTAKEN)
                case ReadOwnInput(round=number):
                    self._engine.when_older_requests_are_passed_on(partial(self._on_read, number))
                case WakeAt(time_ms=time_ms, key=key):
                    self._clock.call_later(time_ms - self._clock.now_ms(), self._on_wake, key)

    def _begin(self, request: str) -> None:
        waiting = self._waiting.pop(request, None)
        if waiting is not None:
            waiting.timer.cancel()
            waiting.begin()

    def _reject(self, request: str, reason: GuardReason | GiveUpReason) -> None:
        """Reject a request that has no turn: nothing of it has run."""
        waiting = self._waiting.pop(request, None)
        if waiting is None or waiting.exchange.ended:
            return
        waiting.timer.cancel()
        self._engine.counters.count_reason(FinalResult.REJECTED, reason)
        self._engine.respond(waiting.exchange, FinalResponse(FinalResult.REJECTED))

    def _on_read(self, number: int) -> None:
        self._execute(self._coordinator.on_input_read(number, self._clock.now_ms()))

    def _on_wake(self, key: str) -> None:
        self._execute(self._coordinator.on_quiet_period_ended(key, self._clock.now_ms()))

    def on_ownership(self, alone: bool) -> None:
        """Grant turns from now on."""
        logger.info("order of requests: this process decides on it for all processes of the gateway")
        self._execute(self._coordinator.become_owner(self._clock.now_ms(), alone))

    def on_connected(self) -> None:
        """Ask the owner for turns from now on."""
        logger.info("order of requests: another process of the gateway decides on it")
        self._execute(self._coordinator.follow())

    def on_owner_lost(self) -> None:
        """Hold ordered requests until there is an owner again."""
        logger.info("order of requests: the process that decided on it has ended")
        self._coordinator.on_owner_lost()

    def on_follower_lost(self, process: int) -> None:
        """Give back the turns of a process that has ended."""
        self._execute(self._coordinator.on_follower_lost(process, self._clock.now_ms()))

    def on_message(self, process: int, message: Message) -> None:
        """Handle a message of another process."""
        self._execute(self._coordinator.on_message(process, message, self._clock.now_ms()))

    async def close(self) -> None:
        """Hand the order over to another process, and close the link."""
        self._execute(self._coordinator.farewell(self._clock.now_ms()))
        if self._link is not None:
            await self._link.close()
