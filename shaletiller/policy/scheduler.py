"""The scheduler: handles one event at a time and returns the resulting actions.

Modeled on the state machine of Dask workers: events in, instructions out, one handler for each event.  The
scheduler passes each event to the object that handles it.  Requests wait in the queues of the upstream that
holds their shard, and are sent in rounds, with slots divided by payoff.
"""

from __future__ import annotations

import math
from random import Random

from shaletiller.messages import events, timers
from shaletiller.messages.actions import Action, StartTimer, WatchEndpoints
from shaletiller.messages.endpoints import UpdateKind
from shaletiller.policy.admission import Admission
from shaletiller.policy.capacity_check import CapacityCheck
from shaletiller.policy.class_fairness import ClassFairness
from shaletiller.policy.completion import RequestCompletion
from shaletiller.policy.concurrency_limit import adjust_limit, allocate_slots
from shaletiller.policy.dispatch import Dispatcher
from shaletiller.policy.endpoint_table import EndpointTable
from shaletiller.policy.hedging import Hedging
from shaletiller.policy.key_ordering import KeyOrdering
from shaletiller.policy.latency_threshold import LatencyThreshold
from shaletiller.policy.outcomes import OutcomeHandler
from shaletiller.policy.response_hold import ResponseHold
from shaletiller.policy.retries import RetryPolicy
from shaletiller.policy.volume_limits import VolumeLimits
from shaletiller.settings.model import Settings
from shaletiller.state.invariants import validate_state
from shaletiller.state.runtime import PolicyState

# Delay before a failed watch is retried, as a ratio of the site's poll interval: three more retries fit into
# the interval.  Only used with the simulator; the gateway's watch is retried by `net/discovery.py`.
WATCH_RETRY_RATIO = 0.25


class Scheduler:
    """The scheduler of one gateway; it depends only on its settings and its events.

    :param seed: seed of the random choices; equal seeds and events result in equal actions.
    """

    def __init__(self, settings: Settings, seed: int = 0) -> None:
        """Create the components of the policy with their dependencies."""
        state = self.state = PolicyState.create(settings)
        endpoints = self.endpoints = EndpointTable(state)
        fairness = self.fairness = ClassFairness(state)
        threshold = self.threshold = LatencyThreshold(state, fairness)
        capacity = self.capacity = CapacityCheck(state, endpoints, fairness, threshold)
        retries, limits = RetryPolicy(state, endpoints), VolumeLimits(state, fairness)
        # Circular dependency: finishing an ordered request admits the next request of its key.
        ordering = self.ordering = KeyOrdering(state, admit=lambda pending: self.admission.admit(pending))
        completion = self.completion = RequestCompletion(state, ordering)
        dispatcher = self.dispatcher = Dispatcher(
            state, endpoints, capacity, limits, fairness, retries, ordering, completion, Random(seed)
        )
        self.admission = Admission(
            state, endpoints, limits, capacity, fairness, retries, dispatcher, ordering, completion
        )
        hedging = Hedging(state, capacity, retries, dispatcher)
        response_hold = self.response_hold = ResponseHold(state, retries, hedging, dispatcher)
        self.outcomes = OutcomeHandler(
            state, endpoints, threshold, hedging, response_hold, dispatcher, ordering, completion
        )

    @property
    def settings(self) -> Settings:
        """The current settings, including removed classes that still have requests in progress."""
        return self.state.site.settings

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings at runtime; pending requests keep their class."""
        self.state.apply_settings(settings)
        self.endpoints.rearrange_queues()

    def handle(self, now_ms: float, event: events.Event) -> list[Action]:
        """Handle one event.

        :param now_ms: the time of the event on a monotonic clock.
        :returns: the resulting actions, in order.
        """
        state = self.state
        state.now_ms, state.actions = now_ms, []
        if now_ms - state.next_round_ms > state.site.round_ms:
            # This process was suspended: latencies of the events handled now say nothing about the nodes.
            state.resumed_ms = now_ms
        if state.next_round_ms == math.inf:
            self._start()
        self._handle_event(event)
        return state.actions

    def _handle_event(self, event: events.Event) -> None:
        match event:
            case events.Request():
                self.admission.handle_request(event)
            case events.TimerExpired(timer=timer):
                self._handle_timer_expired(timer)
            case (
                events.AttemptEnded()
                | events.ResponseStarted()
                | events.ResponseHeld()
                | events.ResponseStalled()
            ):
                self._handle_attempt_event(event)
            case events.ClientDisconnected():
                self.completion.handle_client_disconnected(event.request)
            case events.EndpointListUpdate():
                self._handle_endpoint_list_update(event)
            case events.QuotaUpdated():
                self.state.volumes.handle_quota_updated(event)
            case events.EndpointReportedDown():
                self.endpoints.handle_reported_down(event)
            case events.HealthCheckEnded() | events.PeerMessageReceived():
                pass  # these events do not affect any decision

    def _handle_attempt_event(
        self,
        event: events.AttemptEnded | events.ResponseStarted | events.ResponseHeld | events.ResponseStalled,
    ) -> None:
        match event:
            case events.AttemptEnded():
                self.outcomes.handle_attempt_ended(event)
            case events.ResponseStarted():
                self.outcomes.handle_response_started(event)
            case events.ResponseHeld():
                self.response_hold.handle_held(event)
            case events.ResponseStalled():
                self.response_hold.handle_stalled(event)

    def _handle_timer_expired(self, timer: timers.Timer) -> None:
        match timer:
            case timers.RoundTimer():
                self._run_round()
            case timers.AttemptOverdueTimer():
                self.outcomes.handle_attempt_overdue(timer)
            case timers.ResponseHoldTimer():
                self.response_hold.handle_timer(timer)
            case timers.OrderingTimer():
                self.ordering.admit_next(timer.object_key)
            case timers.WatchRetryTimer():
                self.state.actions.append(WatchEndpoints())

    def _start(self) -> None:
        """Start the rounds and, if needed, the watch on the endpoint list, with the first event."""
        self.state.started_ms = self.state.now_ms
        self._start_round_timer()
        if self.settings.subscribed:
            self.state.actions.append(WatchEndpoints())

    def _start_round_timer(self) -> None:
        self.state.next_round_ms = self.state.now_ms + self.state.site.round_ms
        self.state.actions.append(StartTimer(self.state.site.round_ms, timers.RoundTimer()))

    def _run_round(self) -> None:
        """Run a scheduling round: adjust limits and thresholds, then send queued requests."""
        self._start_round_timer()
        self.completion.give_up_expiring()
        self.state.volumes.expire(self.endpoints.upstreams(), self.state.now_ms)
        self.threshold.update()
        self.capacity.update()
        for upstream in self.endpoints.upstreams():
            adjust_limit(upstream, self.settings.mean_units)
            allocate_slots(upstream, self.state.site, self.state.now_ms)
            self.dispatcher.send_queued(upstream)

    def _handle_endpoint_list_update(self, event: events.EndpointListUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            if self.settings.subscribed:
                wait_ms = max(self.state.site.round_ms, self.settings.poll_within_ms * WATCH_RETRY_RATIO)
                self.state.actions.append(StartTimer(wait_ms, timers.WatchRetryTimer()))
            return
        self.endpoints.handle_list_update(event)
        for upstream in self.endpoints.upstreams():
            self.endpoints.assign_node(upstream)
            self.dispatcher.send_queued(upstream)

    def validate_state(self) -> None:
        """Check the invariants of the state (see `shaletiller.state.invariants`); used by tests."""
        validate_state(self.state, self.endpoints.upstreams())
