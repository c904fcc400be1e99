"""The scheduler: takes one event at a time and gives the actions that it calls for.

Requests wait in the queues of the node that holds their shard; rounds release them by the payoff split."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from shaletiller.messages.actions import (
    Action,
    CancelAttempt,
    Fail,
    Reject,
    SendAttempt,
    StartTimer,
    WatchEndpoints,
    WriteLog,
)
from shaletiller.messages.endpoints import EndpointEntry, EndpointState, UpdateKind
from shaletiller.messages.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointReportedDown,
    Event,
    QuotaUpdated,
    Request,
    ResponseStarted,
    TimerExpired,
)
from shaletiller.messages.outcomes import Outcome
from shaletiller.policy import concurrency_limit
from shaletiller.policy.admission_limits import Limits
from shaletiller.policy.fair_share import Guarantee
from shaletiller.policy.retries import Retries, is_harmless
from shaletiller.policy.slow_start import cold_allows, ramp_is_over
from shaletiller.settings.model import Idempotency, Settings
from shaletiller.state.latency import Latency
from shaletiller.state.records import BANDS, BEYOND, Attempt, KeyQueue, Pending, Upstream
from shaletiller.state.site import Site
from shaletiller.state.volumes import FORGET_MS, Volumes

LOSING = 0.5  # answers get lost while more than this part of the overdue ones never come
TESTS_OUT = 8  # so many tests of a slow node may be out in the mean, from all hosts that meet it


class Scheduler:
    """One host's decisions; it knows only its settings and its own events."""

    def __init__(self, settings: Settings, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._site = Site(settings)
        self._latency = Latency(self._site)
        self._retries = Retries(self._site)
        self._volumes = Volumes(self._site)
        self._guarantee = Guarantee(self._site, self._latency)
        self._limits = Limits(self._site, self._volumes, self._guarantee)
        self._bearable_ms = self._site.tightest_aim_ms
        self._upstreams: dict[int, Upstream] = {}  # by shard
        self._testers = float(settings.gateways)  # hosts that meet a node
        self._nodes: dict[str, EndpointEntry] = {}
        self._drains: dict[str, float] = {}  # until when a draining node may still get work
        self._pending: dict[str, Pending] = {}
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._gone: dict[str, float] = {}  # until when others say that a node is not there
        self._key_queues: dict[str, KeyQueue] = {}
        self._now = self._start_ms = 0.0
        self._woke_ms, self._next_round_ms = -math.inf, math.inf
        self._actions: list[Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            EndpointListUpdate: self._on_list,
            Request: self._on_request,
            AttemptEnded: self._on_outcome,
            TimerExpired: self._on_timer,
            ClientDisconnected: self._on_left,
            ResponseStarted: self._on_stream,
            QuotaUpdated: self._volumes.take_share,
            EndpointReportedDown: self._on_seen,
        }

    @property
    def settings(self) -> Settings:
        """The settings in force, with the classes of what is still under way."""
        return self._site.settings

    def retune(self, settings: Settings) -> None:
        """New settings under load.  What is pending keeps its class; one that has gone is known for as long
        as some of it is pending, and has no say in what holds for all."""
        before = self._site.class_index
        pendings = [*self._pending.values(), *(attempt.pending for attempt in self._attempts.values())]
        known = {spec.name: spec for spec in (*(each.spec for each in pendings), *settings.classes)}
        self._site.update(settings, tuple(known.values()))
        was = [before.get(name, -1) for name in self._site.class_index]
        self._latency.retune(was)
        kinds = [at * BANDS + band if at >= 0 else -1 for at in was for band in range(BANDS)]
        for upstream in self._upstreams.values():
            upstream.rearrange(kinds, concurrency_limit.START_REQUESTS)
        for each in pendings:
            each.kind = self._site.class_index[each.spec.name] * BANDS + each.kind % BANDS

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event and give the actions it calls for."""
        self._now, self._actions = now_ms, []
        if now_ms - self._next_round_ms > self._site.round_ms:
            self._woke_ms = now_ms  # the host itself stood still: what comes now blames no node
        if self._next_round_ms == math.inf:
            self._start_clock()
        self._handlers.get(type(event), lambda _: None)(event)
        return self._actions

    def _start_clock(self) -> None:
        self._start_ms, self._next_round_ms = self._now, self._now + self._site.round_ms
        self._actions.append(StartTimer(self._site.round_ms, "round"))
        if self.settings.subscribed:
            self._actions.append(WatchEndpoints())

    def _on_timer(self, event: TimerExpired) -> None:
        token, _, rest = event.timer.partition(" ")
        if token == "round":
            self._round()
        elif token == "turn":
            self._advance(rest)
        elif token == "overdue" and self._now > self._woke_ms:
            self._overdue(*rest.rsplit(" ", 1))
        elif token == "ask":
            self._actions.append(WatchEndpoints())

    def _round(self) -> None:
        self._next_round_ms = self._now + self._site.round_ms
        self._actions.append(StartTimer(self._site.round_ms, "round"))
        self._answer_expiring()
        self._volumes.forget(self._upstreams.values(), self._now)
        self._bearable_ms = concurrency_limit.bearable_ms(self._site, self._latency, self._guarantee)
        near = sum(self._now - upstream.heard_ms < FORGET_MS for upstream in self._upstreams.values())
        self._testers = self.settings.gateways * min(1.0, near / (self.settings.shards or near or 1))
        for upstream in self._upstreams.values():
            concurrency_limit.settle_round(upstream, self.settings.mean_units)
            concurrency_limit.split_slots(upstream, self._site, self._now)
            self._release(upstream)

    def _answer_expiring(self) -> None:
        """Nothing pending may pass its deadline unanswered: the next round would come too late for these."""
        last_ms = self._next_round_ms + self.settings.tick_ms
        for pending in list(self._pending.values()):
            if not pending.out and not pending.started and pending.deadline_ms <= last_ms:
                self._give_up(pending)

    def _fits(self, pending: Pending, upstream: Upstream, joins: bool = False) -> bool:
        """Whether the node has room and, unless it joins a run, is quick enough for work of this worth."""
        if (
            upstream.node is None
            or self._now >= self._drains.get(upstream.node, math.inf)
            or (self._now < self._gone.get(upstream.node, 0.0))
        ):
            return False
        if self._guarantee.owes_work(pending) and not upstream.out[pending.kind]:
            return self._cold_allows(upstream, pending.ask.units)
        slow = upstream.latency_ms > self._late_ms(pending) and not joins
        unpaid = 1 - self._site.zones[pending.kind % BANDS]
        pause_ms = unpaid * upstream.latency_ms * max(0.0, self._testers / TESTS_OUT - 1)
        tests = upstream.taken == 0 and self._now - upstream.heard_ms >= pause_ms
        full = upstream.taken > 0 and upstream.capacity - upstream.taken < pending.ask.units
        return not full and (not slow or tests) and self._cold_allows(upstream, pending.ask.units)

    def _late_ms(self, pending: Pending) -> float:
        return concurrency_limit.late_ms(pending, self._site, self._bearable_ms)

    def _cold_allows(self, upstream: Upstream, units: float) -> bool:
        if ramp_is_over(upstream, self.settings, self._now):
            self._actions.append(WriteLog(f"node {upstream.node}: ramp over, no longer held for cold"))
        share = self._volumes.share(upstream.node or "")
        return cold_allows(upstream, self.settings, units, share, self._now)

    def _release(self, upstream: Upstream) -> None:
        """A batch: each class its free slots, best paid first, then the leftover; sorted by extent."""
        batch: list[Pending] = []
        self._drop_hopeless(upstream)
        for kind in self._site.best_paid_first:
            while upstream.queues[kind] and upstream.out[kind] < upstream.slots[kind]:
                if not self._take(upstream, kind, batch):
                    break
        self._leftover(upstream, batch)
        self._drop_unseen(upstream)
        self._send_batch(batch)

    def _leftover(self, upstream: Upstream, batch: list[Pending]) -> None:
        """Free room goes to further waiting requests, classes drawn by their part of the capacity."""
        shut: set[int] = set()
        while True:
            kinds = [at for at in self._site.best_paid_first if upstream.queues[at] and at not in shut]
            if not kinds:
                return
            slots = [upstream.slots[kind] for kind in kinds]
            kind = self._random.choices(kinds, slots)[0] if any(slots) else kinds[0]
            if not self._take(upstream, kind, batch):
                shut.add(kind)

    def _drop_hopeless(self, upstream: Upstream) -> None:
        """Waiting work that would miss its aim takes slots from work that would not: refuse it."""
        for queue in [upstream.queues[kind] for kind in self._site.best_paid_first]:
            while queue and self._now + upstream.latency_ms * self._latency.size(queue[0]) > queue[0].due_ms:
                self._give_up(queue[0])

    def _drop_unseen(self, upstream: Upstream) -> None:
        """What no node has seen is given up while that costs nothing: its client may come again in time."""
        for queue in [upstream.queues[kind] for kind in self._site.best_paid_first]:
            for pending in [each for each in queue if each.half_ms < self._next_round_ms]:
                self._give_up(pending)

    def _take(self, upstream: Upstream, kind: int, batch: list[Pending]) -> bool:
        """Move the head of a queue, and what waits on the same extent, into the batch."""
        queue, head = upstream.queues[kind], upstream.queues[kind][0]
        if not self._fits(head, upstream):
            return False
        for each in [
            each for each in queue if each is head or each.ask.object_key == head.ask.object_key != ""
        ]:
            if each is head or self._fits(each, upstream, joins=True):
                queue.remove(each)
                self._occupy(each, upstream, batch)
        return True

    def _occupy(self, pending: Pending, upstream: Upstream, batch: list[Pending]) -> list[Pending]:
        """Give a request its slot, unless it is a repeat that must not go."""
        pending.waiting = False
        if pending.sends and not self._retries.allow(pending, self._nodes, self._now):
            self._give_up(pending)
            return batch
        if pending.sends:
            self._retries.count(self._retries.repeats, self._now)
        else:
            self._limits.draw(pending, self._now)
            self._guarantee.count_released(pending)
        upstream.taken += pending.ask.units
        upstream.out[pending.kind] += 1
        if upstream.warming_up_since_ms is not None:
            upstream.warm_up_sends.add(self._now, pending.ask.units)
        batch.append(pending)
        return batch

    def _send_batch(self, batch: list[Pending]) -> None:
        for pending in sorted(batch, key=lambda each: each.ask.object_key):
            upstream, node, request = pending.upstream, pending.upstream.node or "", pending.ask.request
            zone = self._nodes[node].zone
            self._attempts[request, pending.sends] = Attempt(pending, upstream, node, zone, self._now)
            pending.sends, pending.out = pending.sends + 1, pending.out + 1
            if pending.spec.ordered and pending.ask.object_key:
                self._key_queues[pending.ask.object_key].busy += 1
            window_ms = self._retries.window_ms(pending, self._now)
            self._actions.append(SendAttempt(request, node, start_within_ms=window_ms))
            overdue_in_ms = concurrency_limit.patience_ms(pending, self._latency)
            if self._now + overdue_in_ms < pending.deadline_ms:  # by then the attempt has its outcome
                self._actions.append(StartTimer(overdue_in_ms, f"overdue {request} {pending.sends - 1}"))

    def _on_request(self, ask: Request) -> None:
        self._retries.count(self._retries.requests, self._now)
        spec = self.settings.classes[self._site.class_index[ask.request_class]]
        volume = self._volumes.of(ask, self._now, self._start_ms)
        due_ms = self._now + min(spec.latency_objective_ms, ask.deadline_in_ms)
        upstream, half_ms = self._upstream_for(ask.shard), self._now + ask.deadline_in_ms / 2
        pending = Pending(
            ask, spec, volume, upstream, self._now + ask.deadline_in_ms, due_ms, half_ms=half_ms
        )
        self._pending[ask.request] = pending
        if not self._limits.allows(pending, self._pending.values(), self._now):
            self._give_up(pending)
        elif spec.ordered and ask.object_key:
            queue = self._key_queues.setdefault(ask.object_key, KeyQueue())
            queue.line.append(pending)
            if len(queue.line) == 1:
                self._advance(ask.object_key)
        else:
            self._admit(pending)

    def _admit(self, pending: Pending) -> None:
        """Send at once while there is room, wait while the queue holds, else refuse at once."""
        ask, upstream = pending.ask, pending.upstream
        band = self._limits.band(pending, upstream, self._now)
        kind = pending.kind = self._site.class_index[ask.request_class] * BANDS + band
        if not ask.is_retry:
            upstream.asked[kind].add(self._now, 1)
        if not upstream.queues[kind] and self._fits(pending, upstream):
            self._send_batch(self._occupy(pending, upstream, []))
        elif self._may_wait(pending, upstream):
            pending.waiting = True
            upstream.queues[kind].append(pending)
        else:
            self._give_up(pending)

    def _may_wait(self, pending: Pending, upstream: Upstream) -> bool:
        """Refuse only if the class queue is full and the node's next K rounds are taken."""
        if pending.deadline_ms <= self._next_round_ms + self.settings.tick_ms:
            return False
        if self._guarantee.owes_work(pending):
            return True
        slow = upstream.latency_ms > self._late_ms(pending)  # its next test is half a lag off
        own_lags = self._latency.size(pending) + slow / 2
        wait_ms = self._wait_ms(pending, upstream) + upstream.latency_ms * own_lags
        if self._now + wait_ms > pending.due_ms or (slow and pending.kind % BANDS == BEYOND):
            return False
        rounds = self._site.rounds[pending.kind // BANDS]
        if len(upstream.queues[pending.kind]) < rounds * upstream.slots[pending.kind]:
            return True
        waiting = upstream.waiting_units(range(self._site.kinds))
        return upstream.taken + waiting + pending.ask.units <= rounds * upstream.capacity

    def _wait_ms(self, pending: Pending, upstream: Upstream) -> float:
        """How long what waits ahead of a request takes a node that gets through what is out in its lag."""
        priority_weight = self._site.priority_weight
        ahead = upstream.waiting_units(
            at for at, each in enumerate(priority_weight) if each >= priority_weight[pending.kind]
        )
        return ahead / upstream.taken * upstream.latency_ms if upstream.taken > 0 else 0.0

    def _on_outcome(self, event: AttemptEnded) -> None:
        attempt = self._attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        pending, upstream = attempt.pending, attempt.upstream
        pending.out -= 1
        self._judge(attempt, event)
        self._volumes.learn_served(pending, event, self._now)
        self._rest_key(pending, event)
        if not event.outcome.never_ran:
            pending.risky = pending.risky or attempt
        if event.outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            pending.half_ms = math.inf
        if event.request_finished or pending.ask.request not in self._pending:
            self._finish(pending)
        else:
            self._again(pending)
        if event.outcome not in (Outcome.FULL, Outcome.CONNECT_FAILED):
            self._release(upstream)

    def _judge(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Judge the node by the answer."""
        pending, upstream = attempt.pending, attempt.upstream
        attempt.free_slot()
        if event.latency_ms > concurrency_limit.patience_ms(pending, self._latency):
            self._latency.learn_loss(event.outcome)
        if attempt.node != upstream.node or self._now == self._woke_ms:
            return
        if event.outcome not in (Outcome.OK, Outcome.CANCELLED, Outcome.NOT_SENT):
            upstream.failed.add(self._now, pending.ask.units)
        if event.outcome is Outcome.OK:
            upstream.silent = 0
            self._gone.pop(attempt.node, None)  # what others say is not so here
            upstream.served += pending.ask.units
            if (
                upstream.warming_up_since_ms is not None
            ):  # what a cold node serves proves its room: see cold_allows
                upstream.warm_up_sends.add(
                    self._now, -self.settings.overload_multiple / 2 * pending.ask.units
                )
            self._latency.learn(pending, event.latency_ms, self._now)
            upstream.verdict += 1 if event.latency_ms <= self._late_ms(pending) else -1
        elif event.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED):
            if attempt.node in self._drains:
                self._drains[attempt.node] = self._now  # it takes nothing more
            upstream.verdict -= 1  # a reset or an error says nothing of load: that starves a sound node

    def _overdue(self, request: str, number: str) -> None:
        """An overdue answer says slow; where answers get lost its slot is free, and the work may go again."""
        attempt = self._attempts.get((request, int(number)))
        if attempt is None or attempt.node != attempt.upstream.node:
            return
        attempt.upstream.silent += 1
        if self._latency.losing < LOSING:
            attempt.upstream.verdict -= 1
            return
        attempt.free_slot()
        pending = attempt.pending
        in_time = self._now + self._latency.usual_ms(pending) <= pending.due_ms
        if request in self._pending and not pending.started and in_time:
            self._repeat(attempt, int(number))

    def _repeat(self, attempt: Attempt, number: int) -> None:
        """A copy beside the first attempt, which counts as having run; or that one called off before."""
        pending, upstream = attempt.pending, attempt.upstream
        spent = pending.sends >= self.settings.max_attempts or not self._retries.budget_allows(self._now)
        if spent or pending.spec.effect is Idempotency.UNSAFE:
            return
        if not self.settings.hedging_allowed:
            self._actions += (
                [CancelAttempt(pending.ask.request, number)] if self.settings.cancellation_allowed else []
            )
        elif self._fits(pending, upstream, joins=True):
            pending.risky = pending.risky or attempt
            if self._retries.effect_allows(pending, self._nodes, self._now):
                self._send_batch(self._occupy(pending, upstream, []))

    def _again(self, pending: Pending) -> None:
        """Back to the head of its queue: no other node holds the shard, so the next round is soon enough."""
        if pending.out or pending.waiting:
            return  # its copy may still be answered
        if self._now + self.settings.connect_timeout_ms > pending.half_ms:
            self._give_up(pending)  # another connection that does not come up would take it past its half
        elif pending.deadline_ms > self._next_round_ms and pending.sends < self.settings.max_attempts:
            pending.waiting = True
            pending.upstream.queues[pending.kind].appendleft(pending)
        else:
            self._give_up(pending)

    def _give_up(self, pending: Pending) -> None:
        """Refuse where a repeat does no harm, else fail: an attempt may have run."""
        request, harmless = pending.ask.request, is_harmless(pending)
        self._actions.append(Reject(request, self._come_back_ms()) if harmless else Fail(request))
        self._finish(pending)

    def _come_back_ms(self) -> float:
        """The next round deals out the node's room anew: sooner, a refused request is only refused again.

        A tick more, for the round's timer is a little late: half of the clients came just before it."""
        if not self.settings.retry_after_allowed:
            return 0.0
        wait_ms = max(0.0, self._next_round_ms - self._now) + self.settings.tick_ms
        return min(wait_ms, self.settings.max_retry_after_ms or wait_ms)

    def _finish(self, pending: Pending) -> None:
        """The request is over: nothing more goes out for it."""
        if self._pending.pop(pending.ask.request, None) is None:
            return
        pending.return_drawn()
        if pending.waiting:
            pending.upstream.queues[pending.kind].remove(pending)
            pending.waiting = False
        queue = self._key_queues.get(pending.ask.object_key) if pending.spec.ordered else None
        if queue is not None and pending in queue.line:
            queue.line.remove(pending)
            self._advance(pending.ask.object_key)

    def _on_left(self, event: ClientDisconnected) -> None:
        if pending := self._pending.get(event.request):
            self._finish(pending)

    def _on_stream(self, event: ResponseStarted) -> None:
        if pending := self._pending.get(event.request):
            pending.started = True

    def _rest_key(self, pending: Pending, event: AttemptEnded) -> None:
        """Rule 6: a key rests while an attempt may still run."""
        queue = self._key_queues.get(pending.ask.object_key) if pending.spec.ordered else None
        if queue is None:
            return
        queue.busy -= 1
        if event.outcome.may_still_run:
            queue.rest_until_ms = max(queue.rest_until_ms, self._now + self.settings.ordering_gap_ms)
        if pending.ask.request not in self._pending:
            self._advance(pending.ask.object_key)

    def _advance(self, object_key: str) -> None:
        """Let the first of a key's line go once the key is free."""
        queue = self._key_queues.get(object_key)
        if queue is None or queue.busy:
            return
        if not queue.line:
            if queue.rest_until_ms <= self._now:
                del self._key_queues[object_key]
            return
        head, wait_ms = queue.line[0], queue.rest_until_ms - self._now
        if head.sends or head.waiting:
            return
        if wait_ms > 0:
            self._actions.append(StartTimer(wait_ms, f"turn {object_key}"))
        else:
            self._admit(head)

    def _on_seen(self, event: EndpointReportedDown) -> None:
        """Where others find a node gone nothing is sent to it, until something comes from it here."""
        self._gone[event.node] = event.down_until_ms
        self._gone = {node: until_ms for node, until_ms in self._gone.items() if until_ms > self._now}

    def _on_list(self, event: EndpointListUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            if self.settings.subscribed:
                again_ms = max(self._site.round_ms, self.settings.poll_within_ms / 4)
                self._actions.append(StartTimer(again_ms, "ask"))
            return
        before = self._nodes
        told = {entry.node: entry for entry in event.entries}
        kept = before | told if event.kind is UpdateKind.CHANGES else told
        self._nodes = {node: at for node, at in kept.items() if at.state is not EndpointState.GONE}
        self._learn_drains(before, self._now - event.staleness_ms)
        for upstream in self._upstreams.values():
            self._place(upstream)
            self._release(upstream)

    def _learn_drains(self, before: dict[str, EndpointEntry], told_ms: float) -> None:
        """Rule 3 leaves a draining node some time, and no other holds its data: it gets work until it turns
        some away or shortly before that time is up, for a send may take a connection.  Only where this host
        saw it ready: else it may have been told long ago, in a life before."""
        margin_ms = self.settings.connect_timeout_ms + 2 * self._site.round_ms
        until_ms = told_ms + self.settings.drain_grace_ms - margin_ms
        drains = {node for node, at in self._nodes.items() if at.state is EndpointState.DRAINING}
        for node in drains - self._drains.keys():
            seen = node in before and before[node].state is EndpointState.READY
            self._drains[node] = until_ms if seen else self._now
        self._drains = {node: until for node, until in self._drains.items() if node in drains}

    def _place(self, upstream: Upstream) -> None:
        """The ready node that holds the shard, else a draining one while it may; work waits for the next."""
        holds = [entry for entry in self._nodes.values() if entry.shard == upstream.shard]
        found = [entry for entry in holds if entry.state is EndpointState.READY] or [
            entry for entry in holds if self._drains.get(entry.node, 0.0) > self._now
        ]
        entry = max(found, key=lambda each: (each.started_ms, each.node)) if found else None
        node = entry.node if entry else None
        if node != upstream.node:
            if upstream.node:
                self._actions.append(WriteLog(f"shard {upstream.shard}: node {upstream.node} -> {node}"))
            upstream.move_to(node, self._attempts.values())
        if entry and entry.started_ms > 0 and self._now - entry.started_ms < self.settings.slow_start_ms:
            upstream.warming_up_since_ms = entry.started_ms

    def _upstream_for(self, shard: int) -> Upstream:
        if shard < 0:
            return self._roomiest()
        upstream = self._upstreams.get(shard)
        if upstream is None:
            units = concurrency_limit.START_REQUESTS * len(self.settings.classes) * self.settings.mean_units
            upstream = Upstream.new(shard, units, concurrency_limit.START_REQUESTS, self._site.kinds)
            self._upstreams[shard] = upstream
            self._place(upstream)
        return upstream

    def _roomiest(self) -> Upstream:
        """A new object may go to any node: the one with the most room, in the order of shards.

        A node that fails at once has room at all times, so what it failed counts against it."""
        ready = {at.shard for at in self._nodes.values() if at.state is EndpointState.READY}
        shards = sorted(ready) or sorted(self._upstreams) or [0]
        upstreams = [self._upstream_for(shard) for shard in shards]
        return max(upstreams, key=lambda at: (at.capacity - at.taken - at.failed.add(self._now), -at.shard))
