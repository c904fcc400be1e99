"""The engine: it notifies the scheduler of what happens and carries out what the scheduler asks for.

It owns the exchanges of all servers from acceptance to their one final response.  Decisions are the
scheduler's; the engine guards what must hold even if the scheduler fails: every request gets a response by
its deadline, and one fault ends neither the process nor another request.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from typing import Any

from shaletiller.clock import Clock
from shaletiller.core.accept import AcceptRequest
from shaletiller.core.admit import AdmitRequest
from shaletiller.core.forward import AttemptSender
from shaletiller.core.interfaces import EngineServices, NoServices
from shaletiller.core.metrics import SCHEDULER_FAILURES, Counters, GuardReason
from shaletiller.core.model import (
    Attempt,
    AttemptResult,
    ClientCall,
    Exchange,
    FinalResponse,
    FinalResult,
)
from shaletiller.core.record import OutcomeRecorder
from shaletiller.core.respond import Responder
from shaletiller.core.route import Endpoint, RouteTable
from shaletiller.messages.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    GiveUpReason,
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
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    Request,
    TimerExpired,
)
from shaletiller.messages.outcomes import Outcome
from shaletiller.policy import Scheduler
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

MAX_COUNTED_CLASSES = 64  # clients choose class names: they must not grow the counters without end
# A request without a response gets one so long after its deadline: the scheduler's own response comes first,
# and the platform allows 50 ms after the deadline.
DEADLINE_GUARD_MS = 15.0


class Engine:
    """One gateway's requests, from all servers, under one scheduler.

    :param settings: the settings in force.
    :param seed: of the scheduler's random numbers.
    :param services: what the gateway does for the engine beside sending attempts.
    """

    def __init__(
        self, settings: Settings, seed: int, clock: Clock, services: EngineServices | None = None
    ) -> None:
        self.settings = settings
        self.counters = Counters()
        self.exchanges: dict[str, Exchange] = {}  # the requests in flight, by id
        self.endpoints: dict[str, Endpoint] = {}  # as listed, ejected by hand or not
        self.ejected: frozenset[str] = frozenset()  # by hand: reported to the rest as gone
        self._services: EngineServices = services or NoServices()
        self._clock = clock
        self._scheduler = Scheduler(settings, seed)
        self._events: deque[Event] = deque()
        self._handling = False
        self._background: set[asyncio.Task[None]] = set()
        self._counted_classes = {spec.name for spec in settings.classes}
        self.respond = Responder(self.exchanges, self.counters, self._services.request_ended)
        self.admit = AdmitRequest(self.notify)
        self.routes = RouteTable(settings.max_attempts, settings.hedging_allowed)
        self._record = OutcomeRecorder(clock, self.respond, self.notify, self.counters)
        self.attempts = AttemptSender(clock, self._record)
        self._accept = AcceptRequest(settings, clock, self.exchanges, self.attempts.in_flight)
        self._performers: dict[type[Action], Callable[[Any], None]] = {
            SendAttempt: self._send_attempt,
            Reject: self._reject,
            Fail: self._fail,
            CancelAttempt: self._cancel_attempt,
            StartTimer: self._start_timer,
            SendHealthCheck: self._send_health_check,
            SendPeerMessage: self._send_peer_message,
            WatchEndpoints: self._watch_endpoints,
            FetchEndpointList: self._fetch_endpoint_list,
            CloseIdleConnections: self._close_idle_connections,
            WriteLog: self._write_log,
        }

    # ---- what happens

    def submit(self, call: ClientCall, respond: Callable[[FinalResponse], None]) -> Exchange:
        """Accept a client request.

        :param respond: called once with the final response, perhaps before this method returns.
        :raises BadRequestError: where no storage node may see the request; `respond` is not called.
        """
        exchange = self._accept(call, respond)
        wait_ms = call.timeout_ms + DEADLINE_GUARD_MS
        exchange.deadline_timer = self._clock.call_later(wait_ms, self._guard_deadline, exchange)
        if not self._services.replicate_intent(exchange):
            self.admit(exchange)
        return exchange

    def client_disconnected(self, exchange: Exchange) -> None:
        """Cancel the attempts of a request whose client has closed its connection: no response is owed.

        Without effect where the exchange is finished.
        """
        if exchange.finished:
            return
        self.respond.client_disconnected(exchange)
        for attempt in exchange.attempts:
            self.attempts.stop(attempt, Outcome.CANCELLED)
        self.notify(ClientDisconnected(exchange.call.id))

    def update_endpoints(
        self, kind: UpdateKind, version: int, endpoints: tuple[Endpoint, ...], staleness_ms: float = 0.0
    ) -> None:
        """Apply an update of the endpoint list; nodes ejected by hand stay gone to routes and scheduler.

        :param staleness_ms: the longest time since discovery may have announced the update.
        """
        if kind is not UpdateKind.FAILED:
            full = kind is not UpdateKind.CHANGES
            self._list_endpoints(endpoints, full)
            endpoints = tuple(map(self._masked, endpoints))
            self.routes.learn(endpoints, full=full)
        entries = tuple(endpoint.entry for endpoint in endpoints)
        self.notify(EndpointListUpdate(kind, entries, version, staleness_ms))

    def _list_endpoints(self, endpoints: tuple[Endpoint, ...], full: bool) -> None:
        if full:
            self.endpoints = {}
        for endpoint in endpoints:
            if endpoint.entry.state is EndpointState.GONE:
                self.endpoints.pop(endpoint.entry.node, None)
            else:
                self.endpoints[endpoint.entry.node] = endpoint

    def _masked(self, endpoint: Endpoint) -> Endpoint:
        """An endpoint as the rest sees it: gone, where it is ejected by hand."""
        if endpoint.entry.node not in self.ejected or endpoint.entry.state is EndpointState.GONE:
            return endpoint
        entry = replace(endpoint.entry, state=EndpointState.GONE)
        return Endpoint(entry, endpoint.address, endpoint.client)

    def eject(self, ejected: frozenset[str], changed: set[str]) -> None:
        """Apply the list entries of nodes anew that operators have ejected or whose ejection they lifted.

        :param ejected: all nodes that are ejected by hand now.
        :param changed: the nodes for which that has changed.
        """
        self.ejected = ejected
        endpoints = tuple(self.endpoints[node] for node in sorted(changed) if node in self.endpoints)
        if endpoints:
            self.update_endpoints(UpdateKind.CHANGES, 0, endpoints)

    def note_restart(self, node: str, started_ms: float) -> None:
        """Treat a node as warming up, of which another gateway's list has a newer incarnation.

        Nothing else is taken from that list: a node's address may differ from one gateway to the next.
        """
        endpoint = self.endpoints.get(node)
        if endpoint is not None and started_ms > endpoint.entry.started_ms:
            entry = replace(endpoint.entry, started_ms=started_ms)
            restarted = Endpoint(entry, endpoint.address, endpoint.client)
            self.update_endpoints(UpdateKind.CHANGES, 0, (restarted,))

    def count_result(self, request_class: str, result: FinalResult) -> None:
        """Count a final response that a server gave by itself to a request that named its class."""
        known = request_class in self._counted_classes
        if request_class and (known or len(self._counted_classes) < MAX_COUNTED_CLASSES):
            self._counted_classes.add(request_class)
            self.counters.count_result(request_class, result)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings (SIGHUP) to new requests; those in flight keep their class."""
        self.settings = settings
        self._scheduler.apply_settings(settings)
        self._accept = AcceptRequest(settings, self._clock, self.exchanges, self.attempts.in_flight)
        self.routes.apply_settings(settings.max_attempts, settings.hedging_allowed)

    def notify(self, event: Event) -> None:
        """Notify the scheduler; events that its actions cause follow in turn, never amid another one."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event) -> None:
        for each in (*self._events_before(event), event):
            self._schedule(each)

    def _events_before(self, event: Event) -> Sequence[Event]:
        try:
            return self._services.events_before(event, self._clock.now_ms())
        except Exception:
            logger.exception("%s: the fleet failed, scheduled without it", type(event).__name__)
            return ()

    def _schedule(self, event: Event) -> None:
        """Have the scheduler handle an event, and carry out what it decides.

        If it fails, what it had decided by then is carried out all the same: a round starts the next round's
        timer first, and without that no round would ever follow.
        """
        actions_before = self._scheduler.state.actions
        try:
            self._perform(self._scheduler.handle(self._clock.now_ms(), event))
        except Exception:
            logger.exception("the scheduler failed at %r", event)
            self.counters.increment(SCHEDULER_FAILURES)
            decided = self._scheduler.state.actions
            self._perform([] if decided is actions_before else decided)
            if isinstance(event, Request):
                self._reject_unsent(event.request)

    def _perform(self, actions: Sequence[Action]) -> None:
        for action in actions:
            try:
                self._performers[type(action)](action)
            except Exception:
                logger.exception("action %s failed", type(action).__name__)

    def _reject_unsent(self, request: str) -> None:
        """Answer a request at which the scheduler failed, unless it is on its way to a node."""
        exchange = self.exchanges.get(request)
        if exchange is not None and not exchange.attempts:
            self._end_unanswered(exchange, GuardReason.SCHEDULER_FAILED, "the scheduler failed")

    def respond_to_all(self) -> None:
        """Respond to every request that is in flight, for the process ends."""
        for exchange in list(self.exchanges.values()):
            self._end_unanswered(exchange, GuardReason.SHUTDOWN, "the process ends")

    def _guard_deadline(self, exchange: Exchange) -> None:
        """Respond to a request that has no response when its deadline has passed."""
        self._end_unanswered(exchange, GuardReason.DEADLINE_GUARD, "its deadline has passed")

    def _end_unanswered(self, exchange: Exchange, reason: GuardReason, explanation: str) -> None:
        if exchange.ended:
            return
        self.respond.give_up(exchange)
        result = exchange.result.name.lower() if exchange.result is not None else "unknown"
        if exchange.result is not None:
            self.counters.count_reason(exchange.result, reason)
        logger.warning("request %s: no response but %s: %s", exchange.call.id, explanation, result)
        for attempt in exchange.attempts:
            self.attempts.stop(attempt, Outcome.TIMEOUT)
        self.notify(ClientDisconnected(exchange.call.id))

    # ---- what the scheduler asks for

    def _send_attempt(self, action: SendAttempt) -> None:
        exchange, now_ms = self.exchanges.get(action.request), self._clock.now_ms()
        endpoint = self.routes.route(exchange, action.node, now_ms)
        if exchange is None:
            logger.warning("request %s: no attempt, the request has ended", action.request)
            self._end_unsent(action)
            return
        attempt = Attempt(len(exchange.attempts), action.node, now_ms)
        exchange.attempts.append(attempt)
        if endpoint is None:
            self._record(exchange, attempt, AttemptResult(Outcome.NOT_SENT))
        else:
            self.attempts(exchange, attempt, endpoint, action.timeout_ms, action.start_within_ms)

    def _end_unsent(self, action: SendAttempt) -> None:
        """Give the scheduler the outcome of an attempt that no exchange stands for, to free its slot."""
        numbers = [number for request, number in self._scheduler.state.attempts if request == action.request]
        if numbers:
            newest = max(numbers)
            self.notify(AttemptEnded(action.request, newest, action.node, Outcome.NOT_SENT, 0.0, True))

    def _reject(self, action: Reject) -> None:
        response = FinalResponse(FinalResult.REJECTED, retry_after_ms=action.retry_after_ms)
        self._end(action.request, response, action.reason)

    def _fail(self, action: Fail) -> None:
        self._end(action.request, FinalResponse(FinalResult.FAILED), action.reason)

    def _end(self, request: str, response: FinalResponse, reason: GiveUpReason) -> None:
        exchange = self.exchanges.get(request)
        if exchange is None or exchange.finished:
            return
        self.counters.count_reason(response.result, reason)
        logger.debug("request %s: %s: %s", request, response.result.name.lower(), reason)
        self.respond(exchange, response)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        # Found among the attempts in flight: one may be cancelled after its request has ended.
        attempt = self.attempts.in_flight.get((action.request, action.attempt))
        if attempt is not None:
            self.attempts.stop(attempt, Outcome.CANCELLED)

    def _start_timer(self, action: StartTimer) -> None:
        self._clock.call_later(action.wait_ms, self.notify, TimerExpired(action.timer))

    def _send_peer_message(self, action: SendPeerMessage) -> None:
        self._services.send_peer_message(action.peer, action.data)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        """Nothing to do: discovery watches the list all the time."""

    def _fetch_endpoint_list(self, action: FetchEndpointList) -> None:
        self._services.fetch_endpoint_list()

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        endpoint = self.routes.find(action.node)
        if endpoint is not None:
            endpoint.client.close_idle(endpoint.address)

    def _write_log(self, action: WriteLog) -> None:
        logger.info("%s", action.line)

    def _send_health_check(self, action: SendHealthCheck) -> None:
        endpoint = self.routes.find(action.node)
        if endpoint is not None:
            self.spawn(self._health_check(endpoint))

    async def _health_check(self, endpoint: Endpoint) -> None:
        sent_ms = self._clock.now_ms()
        result = await endpoint.client.probe(endpoint.address)
        latency_ms = self._clock.now_ms() - sent_ms
        self.notify(HealthCheckEnded(endpoint.entry.node, result.outcome, latency_ms, result.load_report))

    # ---- background tasks

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine beside the requests; its exception is logged and ends nothing else."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background_ended)
        return task

    def _background_ended(self, task: asyncio.Task[None]) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("background task %s failed: %r", task.get_name(), task.exception())

    async def close(self) -> None:
        """End the background tasks."""
        for task in list(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
