"""The engine: it tells the decision module what happens and does what the module asks for."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from typing import Any

from shaletiller.clock import Clock
from shaletiller.core import metrics
from shaletiller.core.accept import AcceptRequest
from shaletiller.core.admit import Admit
from shaletiller.core.forward import AttemptSender
from shaletiller.core.model import Attempt, AttemptResult, ClientCall, Exchange, FinalResponse, FinalResult
from shaletiller.core.record import OutcomeRecorder
from shaletiller.core.respond import Responder
from shaletiller.core.route import Endpoint, Route
from shaletiller.messages.actions import (
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    Reject,
    SendAttempt,
    SendHealthCheck,
    SendPeerMessage,
    StartTimer,
    WatchEndpoints,
    WriteLog,
)
from shaletiller.messages.endpoints import EndpointState, UpdateKind
from shaletiller.messages.events import (
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    TimerExpired,
)
from shaletiller.messages.outcomes import Outcome
from shaletiller.policy import Scheduler
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

MOST_NAMES = 64  # classes in the figures
GUARD_MS = 15.0  # past the deadline and within the rule's slack: the module's own answer comes first


class Engine:
    """One gateway's requests, from all fronts, under one decision module."""

    def __init__(self, settings: Settings, seed: int, clock: Clock) -> None:
        self.settings = settings
        self.counts: dict[str, int] = {}
        self.table: dict[str, Exchange] = {}
        self.tell: Callable[[int | None, str], None] = lambda peer, data: None
        self.fetch_list: Callable[[], object] = lambda: None
        # Takes a call whose promise is to be copied first, and admits it itself; False: it is none of those.
        self.vow: Callable[[Exchange], bool] = lambda exchange: False
        # Shown each event before the module has it; gives the events that the module must have first.
        self.precede: Callable[[Event, float], Sequence[Event]] = lambda event, now_ms: ()
        self._clock = clock
        self._scheduler = Scheduler(settings, seed)
        self._events: deque[Event] = deque()
        self._deciding = False
        self._background: set[asyncio.Task[None]] = set()
        self.listed: dict[str, Endpoint] = {}  # the nodes as the list has them, out by hand or not
        self.banned: frozenset[str] = frozenset()  # out by hand: named to the rest as gone
        self._named = {spec.name for spec in settings.classes}
        self.relay = Responder(self.table, self.counts)
        self.admit = Admit(self.decide)
        self.route = Route(settings.max_attempts, settings.hedging_allowed)
        self.book = OutcomeRecorder(clock, self.relay, self.decide, self.counts)
        self.send = AttemptSender(clock, self.book)
        self.take_in = AcceptRequest(settings, clock, self.table, self.send.out)
        self._doers: dict[type, Callable[[Any], None]] = {
            SendAttempt: self._on_send,
            Reject: self._on_refuse,
            Fail: self._on_fail,
            CancelAttempt: self._on_cancel,
            StartTimer: self._on_timer,
            SendHealthCheck: self._on_probe,
            SendPeerMessage: lambda act: self.tell(act.peer, act.data),
            WatchEndpoints: lambda act: None,  # the list is watched all the time
            FetchEndpointList: self._on_fetch_list,
            CloseIdleConnections: self._on_close_idle,
            WriteLog: lambda act: logger.warning(act.line),
        }

    # ---- what happens

    def call(self, call: ClientCall, answer: Callable[[FinalResponse], None]) -> Exchange:
        """A client's call; BadCall where no node must see it.  The answer may come before this returns."""
        exchange = self.take_in(call, answer)
        wait_ms = call.timeout_ms + GUARD_MS
        exchange.guard = self._clock.call_later(wait_ms, self._on_guard, exchange)
        if not self.vow(exchange):
            self.admit(exchange)
        return exchange

    def client_left(self, exchange: Exchange) -> None:
        """Nothing is owed any more; what is out is given up."""
        if exchange.over:
            return
        self.relay.left(exchange)
        for attempt in exchange.attempts:
            self.send.stop(attempt, Outcome.CANCELLED)
        self.decide(ClientDisconnected(exchange.call.id))

    def nodes(
        self,
        kind: UpdateKind,
        version: int,
        places: tuple[Endpoint, ...],
        late_ms: float = 0.0,
    ) -> None:
        """News of the node list, told so long ago at the most; a node out by hand stays gone to the route
        and the module."""
        if kind is not UpdateKind.FAILED:
            whole = kind is not UpdateKind.CHANGES
            if whole:
                self.listed = {}
            for place in places:
                if place.entry.state is EndpointState.GONE:
                    self.listed.pop(place.entry.node, None)
                else:
                    self.listed[place.entry.node] = place
            places = tuple(map(self._masked, places))
            self.route.learn(places, whole=whole)
        self.decide(EndpointListUpdate(kind, tuple(place.entry for place in places), version, late_ms))

    def _masked(self, place: Endpoint) -> Endpoint:
        if place.entry.node not in self.banned or place.entry.state is EndpointState.GONE:
            return place
        return Endpoint(replace(place.entry, state=EndpointState.GONE), place.address, place.back)

    def ban(self, banned: frozenset[str], moved: set[str]) -> None:
        """Operators took nodes out or let them in again: what the list has of them is told anew."""
        self.banned = banned
        places = tuple(self.listed[node] for node in sorted(moved) if node in self.listed)
        if places:
            self.nodes(UpdateKind.CHANGES, 0, places)

    def renew(self, node: str, started_ms: float) -> None:
        """Another gateway's list names a newer life of a node: it is held for just started from now on.

        Nothing else is taken from there: where the node is reached is this gateway's own list's to say."""
        place = self.listed.get(node)
        if place is not None and started_ms > place.entry.started_ms:
            entry = replace(place.entry, started_ms=started_ms)
            self.nodes(UpdateKind.CHANGES, 0, (Endpoint(entry, place.address, place.back),))

    def tally(self, request_class: str, verdict: FinalResult) -> None:
        """A final answer given without the module, to a request that named its class."""
        # Names that clients make up must not grow the figures without end.
        if request_class and (request_class in self._named or len(self._named) < MOST_NAMES):
            self._named.add(request_class)
            metrics.tally(self.counts, request_class, verdict)

    def retune(self, settings: Settings) -> None:
        """New settings at SIGHUP: new calls are checked by them; what is held keeps its class."""
        self.settings = settings
        self._scheduler.retune(settings)
        self.take_in = AcceptRequest(settings, self._clock, self.table, self.send.out)
        self.route.retune(settings.max_attempts, settings.hedging_allowed)

    def decide(self, event: Event) -> None:
        """Tell the module; events that its actions cause follow in turn, never in the midst of another."""
        self._events.append(event)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._deciding = False

    def _handle(self, event: Event) -> None:
        try:
            first = self.precede(event, self._clock.now_ms())
        except Exception as error:  # what goes along with the decisions must not end them
            logger.warning(f"what precedes {type(event).__name__} broke: {error!r}")
            first = ()
        for each in (*first, event):
            self._put(each)

    def _put(self, event: Event) -> None:
        # An error in the module or in one action ends neither the process nor another request: the guard
        # still answers what is left hanging.
        try:
            actions = self._scheduler.handle(self._clock.now_ms(), event)
        except Exception as error:
            logger.warning(f"decision on {type(event).__name__} broke: {error!r}")
            return
        for action in actions:
            try:
                self._doers[type(action)](action)
            except Exception as error:
                logger.warning(f"action {type(action).__name__} broke: {error!r}")

    def answer_all(self) -> None:
        """The process ends: what is still held gets its answer first."""
        for exchange in list(self.table.values()):
            self._on_guard(exchange)

    def _on_guard(self, exchange: Exchange) -> None:
        if exchange.answered:
            return
        logger.warning(f"request {exchange.call.id}: no answer by its deadline, guarded")
        self.relay.give_up(exchange)
        for attempt in exchange.attempts:
            self.send.stop(attempt, Outcome.TIMEOUT)
        self.decide(ClientDisconnected(exchange.call.id))

    # ---- what the module asks for

    def _on_send(self, act: SendAttempt) -> None:
        exchange, now_ms = self.table.get(act.request), self._clock.now_ms()
        place = self.route(exchange, act.node, now_ms)
        if exchange is None:
            logger.warning(f"request {act.request}: send for a request that is over")
            return
        attempt = Attempt(len(exchange.attempts), act.node, now_ms)
        exchange.attempts.append(attempt)
        if place is None:
            self.book(exchange, attempt, AttemptResult(Outcome.NOT_SENT))
        else:
            self.send(exchange, attempt, place, act.timeout_ms, act.start_within_ms)

    def _on_refuse(self, act: Reject) -> None:
        self._finish(act.request, FinalResponse(FinalResult.REFUSED, retry_after_ms=act.retry_after_ms))

    def _on_fail(self, act: Fail) -> None:
        self._finish(act.request, FinalResponse(FinalResult.FAILED))

    def _finish(self, request: str, answer: FinalResponse) -> None:
        exchange = self.table.get(request)
        if exchange is not None:
            self.relay(exchange, answer)

    def _on_cancel(self, act: CancelAttempt) -> None:
        # Looked up among the attempts that are out: one may be called off after its request is over.
        attempt = self.send.out.get((act.request, act.attempt))
        if attempt is not None:
            self.send.stop(attempt, Outcome.CANCELLED)

    def _on_timer(self, act: StartTimer) -> None:
        self._clock.call_later(act.wait_ms, self.decide, TimerExpired(act.timer))

    def _on_close_idle(self, act: CloseIdleConnections) -> None:
        place = self.route.find(act.node)
        if place is not None:
            place.back.close_idle(place.address)

    def _on_fetch_list(self, act: FetchEndpointList) -> None:
        self.fetch_list()

    def _on_probe(self, act: SendHealthCheck) -> None:
        place = self.route.find(act.node)
        if place is not None:
            self.spawn(self._probe(place))

    async def _probe(self, place: Endpoint) -> None:
        sent_ms = self._clock.now_ms()
        reply = await place.back.probe(place.address)
        latency_ms = self._clock.now_ms() - sent_ms
        self.decide(HealthCheckEnded(place.entry.node, reply.outcome, latency_ms, reply.load_report))

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Work beside the requests; its errors are logged and end nothing else."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._spawned)
        return task

    def _spawned(self, task: asyncio.Task[None]) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.warning(f"background work broke: {task.exception()!r}")

    async def close(self) -> None:
        """End the work beside the requests."""
        for task in list(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
