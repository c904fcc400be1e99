"""The guarantees of a run of `lab promises`, checked on the clients' responses and the nodes' attempts."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from shaletiller.lab.fleet_testbed import FleetTestbed
from shaletiller.lab.guarantees import Guarantee, Outcome, count
from shaletiller.lab.load_generator import ClientRequest, LoadGenerator
from shaletiller.lab.scenario import Scenario
from shaletiller.lab.storage_nodes import Attempt

# A gateway that is running and not partitioned applies an operator's DISABLE within this time.
MAX_DISABLE_DELAY_MS = 2_000.0
NO_ANSWER, SERVED, MAY_HAVE_RUN = 0, 200, 502  # Status of a request at its client.
DOWN_MARGIN_MS = (
    50.0  # A request may get no response if it overlaps a downtime of its gateway within this margin.
)
MAX_REPORTED_KEYS = 10  # Enough to find a pattern.
MAX_REPORTED_REQUESTS = 5


@dataclass(slots=True)
class _ResponseCheck:
    """The result of comparing the responses for each key."""

    served_keys: int = 0
    repeated_responses: int = 0
    violations: list[str] = field(default_factory=list)


def check_run(
    testbed: FleetTestbed, load: LoadGenerator, scenario: Scenario, stats: dict[str, dict[str, int]]
) -> Outcome:
    """Check the guarantees of a finished run.

    :param stats: the STATS counters of each gateway that is running at the end.
    """
    outcome = Outcome(f"promises {scenario.name}", testbed.seed)
    by_key = _group_requests_by_key(load)
    responses = _check_responses(by_key)
    executions = _executions(testbed)
    repeated = [key for key, times in executions.items() if times > 1]
    without_response = [request for request in load.requests if _has_no_response(testbed, request)]
    last = [max(requests, key=lambda request: request.due_ms) for requests in by_key.values()]
    rejected = [request for request in last if request.status not in (SERVED, MAY_HAVE_RUN)]
    outcome.guarantees = [
        Guarantee(
            "promises lost",
            0,
            len(responses.violations),
            note=f"{responses.served_keys} of {len(by_key)} keys were served, "
            f"{responses.repeated_responses} retries were served too",
            violations=tuple(responses.violations),
        ),
        Guarantee(
            "second runs",
            0,
            len(repeated),
            note=f"{len(executions)} writes ran",
            violations=tuple(_describe_key(testbed, load, key) for key in repeated),
        ),
        Guarantee(
            "without a final answer",
            0,
            len(without_response),
            note=f"{len(load.requests)} requests",
            violations=tuple(request.story(testbed.began_ms) for request in without_response),
        ),
    ]
    # Links that a fault degrades stay degraded until the end of the run, so writes may still be rejected.
    if not any(fault.verb == "worsen" for fault in scenario.faults):
        outcome.guarantees.append(
            Guarantee(
                "refused when all is over",
                0,
                len(rejected),
                note=f"of {len(last)} last requests, one for each key",
                violations=tuple(_describe_key(testbed, load, request.key) for request in rejected),
            )
        )
    outcome.guarantees += _disable_guarantees(testbed)
    outcome.figures = {
        "statuses": count(
            f"{client_request.stream.service} {client_request.status}" for client_request in load.requests
        ),
        "stats": stats,
        "refused_at_the_end": len(rejected),
        "lost": responses.violations[:MAX_REPORTED_KEYS],
        "twice": repeated[:MAX_REPORTED_KEYS],
        "silent": [
            f"{client_request.gateway} {client_request.request} {client_request.why}"
            for client_request in without_response[:MAX_REPORTED_REQUESTS]
        ],
        "refused_last": [
            f"{client_request.gateway} {client_request.status} {client_request.why}"
            for client_request in rejected[:MAX_REPORTED_REQUESTS]
        ],
    }
    outcome.course = [f"{time_ms / 1000:7.2f} s  {event}" for time_ms, event in testbed.course]
    return outcome


def _describe_key(testbed: FleetTestbed, load: LoadGenerator, key: str) -> str:
    """Describe all requests with a key and all their attempts, in the order of time."""
    requests = [
        (client_request.sent_ms, client_request.story(testbed.began_ms))
        for client_request in load.requests
        if client_request.key == key
    ]
    attempts = [
        (attempt.at_ms, attempt.story(testbed.began_ms))
        for node in testbed.nodes
        for attempt in node.attempts
        if key in (attempt.key, attempt.request)
    ]
    return f"key {key}: " + "; ".join(story for _, story in sorted(requests + attempts))


def _group_requests_by_key(load: LoadGenerator) -> dict[str, list[ClientRequest]]:
    by_key: dict[str, list[ClientRequest]] = defaultdict(list)
    for request in load.requests:
        if request.key:
            by_key[request.key].append(request)
    return by_key


def _check_responses(by_key: dict[str, list[ClientRequest]]) -> _ResponseCheck:
    """Check that all responses for a key are equal, and that no retry failed after the write was served."""
    check = _ResponseCheck()
    for key, requests in by_key.items():
        served = [request for request in requests if request.status == SERVED]
        if not served:
            continue
        check.served_keys += 1
        check.repeated_responses += len(served) - 1
        bodies = {request.body for request in served}
        if len(bodies) > 1:
            check.violations.append(f"{key}: expected equal responses, received {len(bodies)} different ones")
        first_ms = min(request.ended_ms for request in served)
        check.violations += [
            f"{key}: was served, but a retry through {request.gateway} "
            f"failed {request.sent_ms - first_ms:.0f} ms later"
            for request in requests
            if request.status == MAY_HAVE_RUN and request.sent_ms > first_ms
        ]
    return check


def _executions(testbed: FleetTestbed) -> Counter[str]:
    """Count how often each write ran, by its idempotency key or else its request id."""
    return Counter(
        attempt.key or attempt.request
        for node in testbed.nodes
        for attempt in node.attempts
        if attempt.write and attempt.ran
    )


def _has_no_response(testbed: FleetTestbed, request: ClientRequest) -> bool:
    """Return whether a request got no response although its gateway was running."""
    if request.status != NO_ANSWER:
        return False
    process = testbed.processes[request.gateway]
    return not process.was_down(request.due_ms - DOWN_MARGIN_MS, request.ended_ms + DOWN_MARGIN_MS)


def _disable_guarantees(testbed: FleetTestbed) -> list[Guarantee]:
    """Return a guarantee for each DISABLE: the longest delay until no gateway sends attempts to the node.

    The delay of a gateway starts when the command could reach it.
    """
    guarantees = []
    for name, since_ms, until_ms in testbed.bans:
        node = next(node for node in testbed.nodes if node.name == name)
        delays_ms = [
            attempt.at_ms - _reachable_since_ms(testbed, attempt, since_ms)
            for attempt in node.attempts
            if since_ms <= attempt.at_ms < until_ms and not _is_partitioned(testbed, attempt.at_ms)
        ]
        delay_ms = max([0.0, *delays_ms])
        guarantees.append(
            Guarantee(f"staleness of the ban of {name}", MAX_DISABLE_DELAY_MS, delay_ms, unit="ms")
        )
    return guarantees


def _heal_times_ms(testbed: FleetTestbed) -> list[float]:
    return [testbed.began_ms + heal_ms for heal_ms, fault in testbed.course if fault == "heal"]


def _reachable_since_ms(testbed: FleetTestbed, attempt: Attempt, since_ms: float) -> float:
    """Return when the command could reach the gateway: after its last restart and the last partition."""
    process = testbed.processes[attempt.gateway]
    restarts_ms = [end_ms for _, end_ms in process.down if end_ms <= attempt.at_ms]
    heals_ms = [heal_ms for heal_ms in _heal_times_ms(testbed) if heal_ms <= attempt.at_ms]
    return max([since_ms, *restarts_ms, *heals_ms])


def _is_partitioned(testbed: FleetTestbed, time_ms: float) -> bool:
    """Return whether a partition was active at a time."""
    cuts_ms = [testbed.began_ms + cut_ms for cut_ms, fault in testbed.course if fault.startswith("cut")]
    heals_ms = _heal_times_ms(testbed)
    return any(
        cut_ms <= time_ms and not any(cut_ms < heal_ms <= time_ms for heal_ms in heals_ms)
        for cut_ms in cuts_ms
    )
