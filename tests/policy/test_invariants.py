"""Tests that the invariants of the scheduler's state hold after every event of a random sequence."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from shaletiller.messages.endpoints import EndpointState, UpdateKind
from shaletiller.messages.events import ClientDisconnected, EndpointListUpdate, ResponseStarted
from shaletiller.messages.outcomes import Outcome
from shaletiller.settings.model import DeduplicationScope, Idempotency, PlanSpec
from tests.support.scheduler_host import SAFE, ScriptedGateway, entry, settings

CLASSES = (
    SAFE,
    replace(SAFE, name="ordered", ordered=True, effect=Idempotency.UNSAFE, priority_weight=2.0),
    replace(
        SAFE,
        name="keyed",
        latency_objective_ms=900.0,
        effect=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ALL,
        key_ttl_ms=400.0,
    ),
)
PLANS = (
    PlanSpec("basic", base_rate=4, reserved_rate=2),
    PlanSpec("limited", base_rate=4, limit_rate=40.0, limit_burst=60.0),
)


class RandomDriver:
    """Random requests, outcomes, disconnections, endpoint list updates and new settings at one gateway."""

    def __init__(self, seed: int, **changes: bool) -> None:
        self.random = random.Random(seed)
        self.gateway = ScriptedGateway(
            entry("n1", 0),
            entry("n2", 1),
            classes=CLASSES,
            plans=PLANS,
            ordering_gap_ms=50.0,
            seed=seed,
            **changes,
        )
        self.number = 0

    def request(self) -> None:
        self.number += 1
        self.gateway.request(
            f"r{self.number}",
            shard=self.random.choice((0, 1, -1)),
            object_key=f"k{self.random.randrange(6)}",
            plan=self.random.choice(("basic", "limited")),
            request_class=self.random.choice(("read", "ordered", "keyed")),
            volume=f"v{self.random.randrange(4)}",
            units=self.random.choice((1.0, 2.0, 8.0)),
            deadline_in_ms=self.random.choice((150.0, 1200.0)),
        )

    def outcome(self) -> None:
        attempts = self.gateway.scheduler.state.attempts
        if attempts:
            (name, number), attempt = self.random.choice(list(attempts.items()))
            outcome = self.random.choice([Outcome.OK] * 6 + list(Outcome))
            latency_ms = self.gateway.now - attempt.sent_ms
            self.gateway.end_attempt(name, outcome, attempt=number, node=attempt.node, latency_ms=latency_ms)

    def disconnect(self) -> None:
        if pending := list(self.gateway.scheduler.state.pending):
            self.gateway.handle(ClientDisconnected(self.random.choice(pending)))

    def response(self) -> None:
        if attempts := list(self.gateway.scheduler.state.attempts):
            name, number = self.random.choice(attempts)
            self.gateway.handle(ResponseStarted(name, number, "n1", 5.0))

    def endpoints(self) -> None:
        node, shard = self.random.choice((("n1", 0), ("n2", 1), ("n3", 0)))
        state = self.random.choice([EndpointState.READY] * 3 + list(EndpointState))
        started_ms = self.random.choice((0.0, self.gateway.now))
        changed = entry(node, shard, state=state, started_ms=started_ms)
        self.gateway.handle(EndpointListUpdate(UpdateKind.CHANGES, (changed,)))

    def apply_settings(self) -> None:
        classes = CLASSES if self.random.random() < 0.5 else CLASSES[::-1]
        self.gateway.scheduler.apply_settings(settings(classes=classes, plans=PLANS, ordering_gap_ms=50.0))

    def step(self) -> None:
        weights = {
            self.request: 40,
            self.outcome: 40,
            self.disconnect: 3,
            self.response: 2,
            self.endpoints: 2,
            self.apply_settings: 1,
        }
        self.random.choices(list(weights), list(weights.values()))[0]()


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("hedging_allowed", [False, True])
def test_queues_slots_and_attempts_agree_after_every_event(seed: int, hedging_allowed: bool) -> None:
    """Invariants hold while requests of all classes arrive, nodes come and go, and settings change.

    If a slot were released twice, or a request stayed in a queue after its final answer, a node would be sent
    more than its concurrency limit or nothing at all, which would only be noticed after hours.
    """
    driver = RandomDriver(seed, hedging_allowed=hedging_allowed, cancellation_allowed=not hedging_allowed)
    for _ in range(700):
        driver.step()
        driver.gateway.scheduler.validate_state()
        driver.gateway.run_to(driver.gateway.now + driver.random.expovariate(1 / 8.0))
        driver.gateway.scheduler.validate_state()
    assert len(driver.gateway.sent()) > 100
    driver.gateway.run_to(driver.gateway.now + 2_000.0)
    waiting = [
        request
        for request in driver.gateway.scheduler.state.pending.values()
        if not request.attempts_in_flight
    ]
    assert all(request.response_started for request in waiting)  # all others are answered by their deadline
