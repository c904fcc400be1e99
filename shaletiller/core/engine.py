"""The engine passes events to the scheduler and carries out the actions that the scheduler returns.

It owns the exchanges of all servers from their acceptance to their final response.  The scheduler makes the
decisions.  The engine guarantees what must hold even if the scheduler fails: every request gets a response by
its deadline, and an error in one request ends neither the process nor another request.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from functools import partial
from typing import Any

from shaletiller.clock import Clock
from shaletiller.core.accept import RequestAcceptor
from shaletiller.core.admit import RequestAdmitter
from shaletiller.core.arrival_order import ArrivalOrder
from shaletiller.core.executed_ids import ExecutedIds, hash_id
from shaletiller.core.forward import AttemptSender
from shaletiller.core.interfaces import EngineServices, NoServices
from shaletiller.core.metrics import (
    RESPONSES_ABANDONED,
    RESPONSES_HELD,
    RESPONSES_PASSED_ON,
    SCHEDULER_FAILURES,
    Counters,
    GuardReason,
)
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
    AbandonResponse,
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    GiveUpReason,
    PassOnResponse,
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
    ResponseHeld,
    ResponseStalled,
    TimerExpired,
)
from shaletiller.messages.outcomes import Outcome
from shaletiller.policy import Scheduler
from shaletiller.settings.model import Settings

logger = logging.getLogger(__name__)

# Maximum number of request classes with counters.  Clients choose the class names, so the number must be
# bounded.
MAX_COUNTED_CLASSES = 64
# Time after which the kernel is asked, before an attempt, whether the client has left.  The close of a client
# is read late if the process is short of CPU; an attempt has to begin within 100 ms after it.
CLIENT_CHECK_AFTER_MS = 20.0
# How long after its deadline the engine responds to a request that has no response.  The delay lets the
# scheduler respond first; the platform allows 50 ms after the deadline.
DEADLINE_GUARD_MS = 15.0


class Engine:
    """Handles the requests of all servers of one gateway with one scheduler.

    :param settings: the settings in force.
    :param seed: the seed of the scheduler's random number generator.
    :param services: operations that the gateway provides to the engine; by default they do nothing.
    """

    def __init__(
        self, settings: Settings, seed: int, clock: Clock, services: EngineServices | None = None
    ) -> None:
        self.settings = settings
        self.counters = Counters()
        self.exchanges: dict[str, Exchange] = {}  # the requests in flight, by id
        self.endpoints: dict[str, Endpoint] = {}  # the endpoint list, with ejected nodes
        self.ejected: frozenset[str] = frozenset()  # manually; routes and scheduler treat them as gone
        self._services: EngineServices = services or NoServices()
        self._clock = clock
        self._scheduler = Scheduler(settings, seed)
        self._events: deque[Event] = deque()
        self._processing_events = False
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._counted_classes = {spec.name for spec in settings.classes}
        self.executed = ExecutedIds(clock.now_ms())
        self.respond = Responder(self.exchanges, self.counters, self._on_request_ended)
        self.admit = RequestAdmitter(self.notify)
        self._arrival_order = ArrivalOrder(self._services.when_input_is_read, self._request_turn)
        self.routes = RouteTable(settings.max_attempts, settings.hedging_allowed)
        self._record = OutcomeRecorder(
            clock,
            self.respond,
            self.notify,
            self.counters,
            self._services.may_begin_stream,
            self._services.on_attempt_ended,
        )
        self.attempts = AttemptSender(clock, self._record, self._on_response_held, self._on_response_stalled)
        self._accept = RequestAcceptor(
            settings, clock, self.exchanges, self.attempts.in_flight, self.executed
        )
        self._action_handlers: dict[type[Action], Callable[[Any], None]] = {
            SendAttempt: self._send_attempt,
            Reject: self._reject,
            Fail: self._fail,
            CancelAttempt: self._cancel_attempt,
            PassOnResponse: self._pass_on_response,
            AbandonResponse: self._abandon_response,
            StartTimer: self._start_timer,
            SendHealthCheck: self._send_health_check,
            SendPeerMessage: self._send_peer_message,
            WatchEndpoints: self._watch_endpoints,
            FetchEndpointList: self._fetch_endpoint_list,
            CloseIdleConnections: self._close_idle_connections,
            WriteLog: self._write_log,
        }

    def submit(
        self, call: ClientCall, respond: Callable[[FinalResponse], None], arrived_ns: int = 0
    ) -> Exchange:
        """Accept a client request.

        :param respond: called once with the final response, possibly before this method returns.
        :param arrived_ns: when its last byte arrived (see `net/arrival_time.py`); 0 for now.
        :raises BadRequestError: if the request is malformed or not allowed; `respond` is not called.
        """
        exchange = self._accept(call, respond)
        wait_ms = call.timeout_ms + DEADLINE_GUARD_MS
        exchange.deadline_timer = self._clock.call_later(wait_ms, self._on_deadline_passed, exchange)
        if exchange.ordered:
            exchange.arrived_ns = arrived_ns or self._clock.arrival_ns()
            self._arrival_order.add(exchange)
        else:
            self._begin(exchange)
        return exchange

    def _on_request_ended(self, exchange: Exchange) -> None:
        if not exchange.idempotent and exchange.attempts and not exchange.never_ran:
            self.executed.add(hash_id(exchange.call.id), self._clock.now_ms())
        self._services.on_request_ended(exchange)

    def when_older_requests_are_passed_on(self, callback: Callable[[], None]) -> None:
        """Call `callback` once the turns of all ordered requests that have arrived by now are requested."""
        self._arrival_order.when_passed_on(callback)

    def _request_turn(self, exchange: Exchange) -> None:
        self._services.request_turn(exchange, partial(self._begin, exchange))

    def _begin(self, exchange: Exchange) -> None:
        """Admit a request; one that must not run twice first becomes known to the other process, if any."""
        if exchange.idempotent:
            self._admit(exchange, exchange.ordered)
        elif self.executed.is_full:
            self.counters.count_reason(FinalResult.REJECTED, GuardReason.IDS_FULL)
            self.respond(exchange, FinalResponse(FinalResult.REJECTED))
        elif self._services.must_claim_ids:
            self._services.claim_id(exchange, partial(self._admit, exchange, has_waited=True))
        else:
            self._admit(exchange, exchange.ordered)

    def _admit(self, exchange: Exchange, has_waited: bool) -> None:
        """Admit a request, after its intent was replicated if its class requires that."""
        if self._services.replicate_intent(exchange):
            return
        self.admit(exchange, exchange.deadline_ms - self._clock.now_ms() if has_waited else None)

    def on_client_disconnected(self, exchange: Exchange) -> None:
        """Cancel the attempts of a request whose client has closed its connection; it gets no response.

        Does nothing if the exchange is finished.
        """
        if exchange.finished:
            return
        self.respond.on_client_disconnected(exchange)
        for attempt in exchange.attempts:
            self.attempts.stop(attempt, Outcome.CANCELLED)
        self.notify(ClientDisconnected(exchange.call.id))

    def update_endpoints(
        self, kind: UpdateKind, version: int, endpoints: tuple[Endpoint, ...], staleness_ms: float = 0.0
    ) -> None:
        """Apply an update of the endpoint list; routes and scheduler treat manually ejected nodes as gone.

        :param staleness_ms: the maximum time that may have passed since discovery announced the update.
        """
        if kind is not UpdateKind.FAILED:
            full = kind is not UpdateKind.CHANGES
            self._update_listed_endpoints(endpoints, full)
            endpoints = tuple(map(self._with_ejection, endpoints))
            self.routes.apply_update(endpoints, full=full)
        entries = tuple(endpoint.entry for endpoint in endpoints)
        self.notify(EndpointListUpdate(kind, entries, version, staleness_ms))

    def _update_listed_endpoints(self, endpoints: tuple[Endpoint, ...], full: bool) -> None:
        if full:
            self.endpoints = {}
        for endpoint in endpoints:
            if endpoint.entry.state is EndpointState.GONE:
                self.endpoints.pop(endpoint.entry.node, None)
            else:
                self.endpoints[endpoint.entry.node] = endpoint

    def _with_ejection(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint as routes and scheduler see it: in state GONE if it is manually ejected."""
        if endpoint.entry.node not in self.ejected or endpoint.entry.state is EndpointState.GONE:
            return endpoint
        entry = replace(endpoint.entry, state=EndpointState.GONE)
        return Endpoint(entry, endpoint.address, endpoint.client)

    def apply_ejections(self, ejected: frozenset[str], changed: set[str]) -> None:
        """Apply manual ejections by updating the endpoints of the nodes whose ejection has begun or ended.

        :param ejected: all nodes that are manually ejected now.
        :param changed: the nodes whose ejection has begun or ended.
        """
        self.ejected = ejected
        endpoints = tuple(self.endpoints[node] for node in sorted(changed) if node in self.endpoints)
        if endpoints:
            self.update_endpoints(UpdateKind.CHANGES, 0, endpoints)

    def note_restart(self, node: str, started_ms: float) -> None:
        """Start the slow start of a node of which another gateway has listed a newer incarnation.

        Only the start time is taken from the other gateway, because a node's address may differ between
        gateways.
        """
        endpoint = self.endpoints.get(node)
        if endpoint is not None and started_ms > endpoint.entry.started_ms:
            entry = replace(endpoint.entry, started_ms=started_ms)
            restarted = Endpoint(entry, endpoint.address, endpoint.client)
            self.update_endpoints(UpdateKind.CHANGES, 0, (restarted,))

    def count_result(
        self, request_class: str, result: FinalResult, reason: GuardReason | None = None
    ) -> None:
        """Count a final response that a server gave without submitting the request to the engine."""
        if reason is not None:
            self.counters.count_reason(result, reason)
        known = request_class in self._counted_classes
        if request_class and (known or len(self._counted_classes) < MAX_COUNTED_CLASSES):
            self._counted_classes.add(request_class)
            self.counters.count_result(request_class, result)

    def apply_settings(self, settings: Settings) -> None:
        """Apply reloaded settings to new requests; requests in flight keep the settings of their class."""
        self.settings = settings
        self._scheduler.apply_settings(settings)
        self._accept = RequestAcceptor(
            settings, self._clock, self.exchanges, self.attempts.in_flight, self.executed
        )
        self.routes.apply_settings(settings.max_attempts, settings.hedging_allowed)

    def notify(self, event: Event) -> None:
        """Pass an event to the scheduler.

        Events that its actions cause are queued, so that the scheduler handles one event at a time.
        """
        self._events.append(event)
        if self._processing_events:
            return
        self._processing_events = True
        try:
            while self._events:
                self._process_event(self._events.popleft())
        finally:
            self._processing_events = False

    def _process_event(self, event: Event) -> None:
        for next_event in (*self._events_before(event), event):
            self._pass_to_scheduler(next_event)

    def _events_before(self, event: Event) -> Sequence[Event]:
        try:
            return self._services.events_before(event, self._clock.now_ms())
        except Exception:
            logger.exception(
                "event %s: fleet failed; handled without the fleet's events", type(event).__name__
            )
            return ()

    def _pass_to_scheduler(self, event: Event) -> None:
        """Let the scheduler handle an event and carry out its actions.

        If the scheduler fails, the actions that it had decided before the failure are still carried out: a
        round first starts the timer of the next round, and without this timer no further round would run.
        """
        actions_before = self._scheduler.state.actions
        try:
            self._run_actions(self._scheduler.handle(self._clock.now_ms(), event))
        except Exception:
            logger.exception("scheduler failed while handling event %r", event)
            self.counters.increment(SCHEDULER_FAILURES)
            decided = self._scheduler.state.actions
            self._run_actions([] if decided is actions_before else decided)
            if isinstance(event, Request):
                self._end_unscheduled_request(event.request)

    def _run_actions(self, actions: Sequence[Action]) -> None:
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:
                logger.exception("action %s failed", type(action).__name__)

    def _end_unscheduled_request(self, request_id: str) -> None:
        """Respond to a request whose arrival the scheduler failed to handle, unless it has an attempt."""
        exchange = self.exchanges.get(request_id)
        if exchange is not None and not exchange.attempts:
            self._end_without_decision(exchange, GuardReason.SCHEDULER_FAILED, "the scheduler failed")

    def respond_to_all(self) -> None:
        """Respond to all requests in flight, before the process ends."""
        for exchange in list(self.exchanges.values()):
            self._end_without_decision(exchange, GuardReason.SHUTDOWN, "the process ends")

    def _on_deadline_passed(self, exchange: Exchange) -> None:
        """Respond to a request whose deadline has passed without a response.

        A response that is just being passed on is waited for; it ends its attempt, whatever becomes of it.
        """
        if any(attempt.is_being_passed_on for attempt in exchange.attempts):
            exchange.deadline_timer = self._clock.call_later(
                DEADLINE_GUARD_MS, self._on_deadline_passed, exchange
            )
            return
        self._end_without_decision(exchange, GuardReason.DEADLINE_GUARD, "its deadline has passed")

    def _end_without_decision(self, exchange: Exchange, reason: GuardReason, explanation: str) -> None:
        if exchange.ended:
            return
        self.respond.give_up(exchange)
        result = exchange.result.name.lower() if exchange.result is not None else "unknown"
        if exchange.result is not None:
            self.counters.count_reason(exchange.result, reason)
        logger.warning(
            "request %s: ended without a final decision by the scheduler (%s): %s",
            exchange.call.id,
            explanation,
            result,
        )
        for attempt in exchange.attempts:
            self.attempts.stop(attempt, Outcome.TIMEOUT)
        self.notify(ClientDisconnected(exchange.call.id))

    def _send_attempt(self, action: SendAttempt) -> None:
        exchange, now_ms = self.exchanges.get(action.request), self._clock.now_ms()
        endpoint = self.routes.endpoint_for_attempt(exchange, action.node, now_ms)
        if exchange is None:
            logger.warning("request %s: no attempt, the request has ended", action.request)
            self._report_unsent_attempt(action)
            return
        has_left = self._has_client_left(exchange, now_ms)
        if has_left:  # before the attempt is added, which is not sent
            self.on_client_disconnected(exchange)
        attempt = Attempt(len(exchange.attempts), action.node, now_ms)
        exchange.attempts.append(attempt)
        if has_left or endpoint is None:
            self._record(exchange, attempt, AttemptResult(Outcome.NOT_SENT))
        else:
            self.attempts(exchange, attempt, endpoint, action.timeout_ms, action.start_within_ms)

    @staticmethod
    def _has_client_left(exchange: Exchange, now_ms: float) -> bool:
        """Whether the client of a request that has waited has closed its connection."""
        if exchange.has_client_left is None or now_ms - exchange.accepted_ms < CLIENT_CHECK_AFTER_MS:
            return False
        return exchange.has_client_left()

    def _report_unsent_attempt(self, action: SendAttempt) -> None:
        """Notify the scheduler of the outcome of an attempt whose exchange has ended, to free its slot."""
        numbers = [number for request, number in self._scheduler.state.attempts if request == action.request]
        if numbers:
            newest = max(numbers)
            self.notify(AttemptEnded(action.request, newest, action.node, Outcome.NOT_SENT, 0.0, True))

    def _reject(self, action: Reject) -> None:
        response = FinalResponse(FinalResult.REJECTED, retry_after_ms=action.retry_after_ms)
        self._end_by_decision(action.request, response, action.reason)

    def _fail(self, action: Fail) -> None:
        self._end_by_decision(action.request, FinalResponse(FinalResult.FAILED), action.reason)

    def _end_by_decision(self, request_id: str, response: FinalResponse, reason: GiveUpReason) -> None:
        exchange = self.exchanges.get(request_id)
        if exchange is None or exchange.finished:
            return
        self.counters.count_reason(response.result, reason)
        level = logging.INFO if exchange.attempts else logging.DEBUG  # without an attempt it is load shedding
        logger.log(level, "request %s: %s: %s", request_id, response.result.name.lower(), reason)
        self.respond(exchange, response)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        # The attempt is looked up among those in flight, because its exchange may have ended before.
        attempt = self.attempts.in_flight.get((action.request, action.attempt))
        if attempt is not None and not attempt.has_begun_response:
            self.attempts.stop(attempt, Outcome.CANCELLED)

    def _on_response_held(self, exchange: Exchange, attempt: Attempt, can_pass_on: bool) -> None:
        self.counters.increment(RESPONSES_HELD)
        logger.info(
            "request %s: attempt %d: response of node %s held, its body is not whole",
            exchange.call.id,
            attempt.number,
            attempt.node,
        )
        is_replicated = exchange.on_result is not None
        self.notify(ResponseHeld(exchange.call.id, attempt.number, can_pass_on and not is_replicated))

    def _on_response_stalled(self, exchange: Exchange, attempt: Attempt) -> None:
        self.notify(ResponseStalled(exchange.call.id, attempt.number))

    def _pass_on_response(self, action: PassOnResponse) -> None:
        """Pass a held response on, unless it may not begin: it may become whole until its deadline."""
        attempt = self.attempts.in_flight.get((action.request, action.attempt))
        if attempt is None or attempt.progress is None:
            return
        if self._services.may_begin_stream() and attempt.progress.pass_on():
            self.counters.increment(f"{RESPONSES_PASSED_ON}.{action.reason}")
            logger.info("request %s: held response passed on: %s", action.request, action.reason)

    def _abandon_response(self, action: AbandonResponse) -> None:
        attempt = self.attempts.in_flight.get((action.request, action.attempt))
        if attempt is not None and attempt.progress is not None:
            logger.info("request %s: held response given up for a retry, it does not go on", action.request)
            self.counters.increment(RESPONSES_ABANDONED)
            attempt.progress.abandon()

    def _start_timer(self, action: StartTimer) -> None:
        self._clock.call_later(action.wait_ms, self.notify, TimerExpired(action.timer))

    def _send_peer_message(self, action: SendPeerMessage) -> None:
        self._services.send_peer_message(action.peer, action.data)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        """Do nothing: discovery always watches the endpoint list."""

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
            self.spawn(self._run_health_check(endpoint))

    async def _run_health_check(self, endpoint: Endpoint) -> None:
        sent_ms = self._clock.now_ms()
        result = await endpoint.client.probe(endpoint.address)
        latency_ms = self._clock.now_ms() - sent_ms
        self.notify(HealthCheckEnded(endpoint.entry.node, result.outcome, latency_ms, result.load_report))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in the background; if it raises an exception, the exception is logged."""
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._on_background_task_done)
        return task

    def _on_background_task_done(self, task: asyncio.Task[None]) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("background task %s failed: %r", task.get_name(), task.exception())

    async def close(self) -> None:
        """Cancel the background tasks and wait until they have ended."""
        for task in list(self._background_tasks):
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
