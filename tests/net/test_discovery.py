"""Tests of the backoff of discovery calls, and of the age of received changes."""

from __future__ import annotations

import random

from shaletiller.net.backoff import FullJitterBackoff
from shaletiller.net.discovery import WatchFreshness


def test_the_backoff_is_random_up_to_a_bound_that_doubles() -> None:
    """Gateways that fail at the same time must not retry at the same time, nor wait longer than the bound."""
    backoff, seed_only = FullJitterBackoff(50.0, 7), random.Random(7)
    for failures, bound_ms in ((0, 50.0), (1, 100.0), (3, 400.0), (9, 2_000.0), (999, 2_000.0)):
        assert backoff.delay_ms(failures, 2_000.0) == seed_only.uniform(0.0, bound_ms)


def test_a_change_counts_as_announced_since_the_last_complete_response() -> None:
    """A watch fails, times out, and changes to another agent.

    A change that is received next may be as old as the interruption.  If it counted as new, the grace period
    of a drain would be too long, and requests would be sent to a node that has been removed.
    """
    freshness = WatchFreshness()
    assert freshness.max_age_ms(1_000.0) == float("inf")  # it may have been announced to the previous process
    freshness.on_failure(500.0, timed_out=True)
    assert freshness.max_age_ms(1_000.0) == float("inf")  # this agent has never responded
    freshness.on_response(1_000.0)
    assert freshness.max_age_ms(5_000.0) == 0.0
    freshness.on_failure(1_000.0, timed_out=False)
    assert freshness.max_age_ms(1_500.0) == 500.0
    freshness.on_failure(1_200.0, timed_out=True)  # it would have sent known changes at once
    assert freshness.max_age_ms(1_500.0) == 300.0
    freshness.on_agent_changed(1_600.0)
    assert freshness.max_age_ms(2_000.0) == 400.0
