"""What must hold in a run of `lab promises`: checks of the clients' answers and the nodes' records."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from shaletiller.lab.fleet_testbed import FleetTestbed
from shaletiller.lab.guarantees import Guarantee, Outcome, count
from shaletiller.lab.load_generator import ClientRequest, LoadGenerator
from shaletiller.lab.scenario import Scenario
from shaletiller.lab.storage_nodes import Attempt

# A gateway that is up and not cut off applies an operator's DISABLE within this time.
MAX_DISABLE_DELAY_MS = 2_000.0
NO_ANSWER, SERVED, MAY_HAVE_RUN = 0, 200, 502  # status of a request as its client saw it
DOWN_MARGIN_MS = 50.0  # a request this close to a downtime of its gateway may get no answer
MAX_REPORTED_KEYS = 10  # enough to find a pattern
MAX_REPORTED_REQUESTS = 5


@dataclass(slots=True)
class _AnswerCheck:
    """How the clients' answers of each key agree."""

    served_keys: int = 0
    repeated_answers: int = 0
    violations: list[str] = field(default_factory=list)


def check_run(
    testbed: FleetTestbed, load: LoadGenerator, scenario: Scenario, stats: dict[str, dict[str, int]]
) -> Outcome:
    """Check a finished run.

    :param stats: the STATS of each gateway that is up at the end.
    """
    outcome = Outcome(f"promises {scenario.name}", testbed.seed)
    by_key = _requests_by_key(load)
    answers = _check_answers(by_key)
    executions = _executions(testbed)
    repeated = [key for key, times in executions.items() if times > 1]
    unanswered = [request for request in load.requests if _is_unanswered(testbed, request)]
    last = [max(requests, key=lambda request: request.due_ms) for requests in by_key.values()]
    rejected = [request for request in last if request.status not in (SERVED, MAY_HAVE_RUN)]
    outcome.guarantees = [
        Guarantee(
            "promises lost",
            0,
            len(answers.violations),
            note=f"{answers.served_keys} outcomes told of {len(by_key)} keys, "
            f"{answers.repeated_answers} repeats got the same answer",
            violations=tuple(answers.violations),
        ),
        Guarantee(
            "second runs",
            0,
            len(repeated),
            note=f"{len(executions)} writes ran",
            violations=tuple(_key_story(testbed, load, key) for key in repeated),
        ),
        Guarantee(
            "without a final answer",
            0,
            len(unanswered),
            note=f"{len(load.requests)} requests",
            violations=tuple(request.story(testbed.began_ms) for request in unanswered),
        ),
    ]
    if not any(
        fault.verb == "worsen" for fault in scenario.faults
    ):  # links that got worse stay so to the end
        outcome.guarantees.append(
            Guarantee(
                "refused when all is over",
                0,
                len(rejected),
                note=f"of {len(last)} keys asked for once more",
                violations=tuple(_key_story(testbed, load, request.key) for request in rejected),
            )
        )
    outcome.guarantees += _disable_guarantees(testbed)
    outcome.figures = {
        "statuses": count(f"{each.stream.service} {each.status}" for each in load.requests),
        "stats": stats,
        "refused_at_the_end": len(rejected),
        "lost": answers.violations[:MAX_REPORTED_KEYS],
        "twice": repeated[:MAX_REPORTED_KEYS],
        "silent": [
            f"{each.gateway} {each.request} {each.why}" for each in unanswered[:MAX_REPORTED_REQUESTS]
        ],
        "refused_last": [
            f"{each.gateway} {each.status} {each.why}" for each in rejected[:MAX_REPORTED_REQUESTS]
        ],
    }
    outcome.course = [f"{at_ms / 1000:7.2f} s  {what}" for at_ms, what in testbed.course]
    return outcome


def _key_story(testbed: FleetTestbed, load: LoadGenerator, key: str) -> str:
    """Return all requests with a key and all their attempts, in the order of time."""
    requests = [(each.sent_ms, each.story(testbed.began_ms)) for each in load.requests if each.key == key]
    attempts = [
        (attempt.at_ms, attempt.story(testbed.began_ms))
        for node in testbed.nodes
        for attempt in node.attempts
        if key in (attempt.key, attempt.request)
    ]
    return f"key {key}: " + "; ".join(story for _, story in sorted(requests + attempts))


def _requests_by_key(load: LoadGenerator) -> dict[str, list[ClientRequest]]:
    by_key: dict[str, list[ClientRequest]] = defaultdict(list)
    for request in load.requests:
        if request.key:
            by_key[request.key].append(request)
    return by_key


def _check_answers(by_key: dict[str, list[ClientRequest]]) -> _AnswerCheck:
    """Check that all answers of a key are the same, and that no retry of a served write failed."""
    check = _AnswerCheck()
    for key, requests in by_key.items():
        served = [request for request in requests if request.status == SERVED]
        if not served:
            continue
        check.served_keys += 1
        check.repeated_answers += len(served) - 1
        bodies = {request.body for request in served}
        if len(bodies) > 1:
            check.violations.append(f"{key}: {len(bodies)} different answers")
        first_ms = min(request.ended_ms for request in served)
        check.violations += [
            f"{key}: {request.gateway} failed it {request.sent_ms - first_ms:.0f} ms after it was served"
            for request in requests
            if request.status == MAY_HAVE_RUN and request.sent_ms > first_ms
        ]
    return check


def _executions(testbed: FleetTestbed) -> Counter[str]:
    """Count how often each write ran; a write without a key counts under its request id."""
    return Counter(
        attempt.key or attempt.request
        for node in testbed.nodes
        for attempt in node.attempts
        if attempt.write and attempt.ran
    )


def _is_unanswered(testbed: FleetTestbed, request: ClientRequest) -> bool:
    """Return whether a request got no answer although its gateway was up."""
    if request.status != NO_ANSWER:
        return False
    process = testbed.processes[request.gateway]
    return not process.was_down(request.due_ms - DOWN_MARGIN_MS, request.ended_ms + DOWN_MARGIN_MS)


def _disable_guarantees(testbed: FleetTestbed) -> list[Guarantee]:
    """For each DISABLE: the latest attempt at its node, from when its gateway could have known."""
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
    return [testbed.began_ms + at_ms for at_ms, what in testbed.course if what == "heal"]


def _reachable_since_ms(testbed: FleetTestbed, attempt: Attempt, since_ms: float) -> float:
    """Return from when on the command could reach the gateway: after restarts and healed partitions."""
    process = testbed.processes[attempt.gateway]
    restarts_ms = [end_ms for _, end_ms in process.down if end_ms <= attempt.at_ms]
    heals_ms = [heal_ms for heal_ms in _heal_times_ms(testbed) if heal_ms <= attempt.at_ms]
    return max([since_ms, *restarts_ms, *heals_ms])


def _is_partitioned(testbed: FleetTestbed, at_ms: float) -> bool:
    """Return whether a partition was in force at a time."""
    cuts_ms = [testbed.began_ms + cut_ms for cut_ms, what in testbed.course if what.startswith("cut")]
    heals_ms = _heal_times_ms(testbed)
    return any(
        cut_ms <= at_ms and not any(cut_ms < heal_ms <= at_ms for heal_ms in heals_ms) for cut_ms in cuts_ms
    )
