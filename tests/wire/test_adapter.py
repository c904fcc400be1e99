"""Tests of the simulator's adapter: events are mapped to actions, and malformed input to an error line."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from shaletiller.adapter import main

INFO: dict[str, Any] = {
    "balancers": 2,
    "position": 0,
    "zone": "a",
    "discovery": "automatic",
    "tick-ms": 2.0,
    "unheard-of": [1],
    "classes": [{"name": "read", "target-ms": 250.0, "hard-limit-ms": 1200.0, "effect": "read_like"}],
    "contracts": [{"name": "basic", "reserve": 2.0, "ceiling-rate": 0.0}],
    "domain": {"mean-units": 2.0, "most-units": 8, "writes": [False]},
    "obligations": {"fall-ms": 3000.0, "ramp-time-ms": 9000.0, "start-capacity": 0.3},
    "limits": {"max-attempts": 3},
}
PEERS_KNOWN = ["PeersKnown", 2, 1, [["10.0.0.1:7000", "a", "k", 4, 1, 1, None]]]
SUBMIT = ["Submit", "t/1", 4, "obj:a", "basic", 0, 1200.0, "pre-1", 1, "read", 2]


def batch(now_ms: float, *events: list[Any], host: str = "host-0") -> str:
    return json.dumps({"time-ms": now_ms, "groups": [{"host": host, "happened": list(events)}]})


def run_adapter(*lines: str) -> tuple[int, list[Any], str]:
    out, err = io.StringIO(), io.StringIO()
    code = main(io.StringIO("".join(line + "\n" for line in lines)), out, err)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], err.getvalue()


def test_a_request_is_forwarded() -> None:
    """A request after the start and the endpoint list is sent to the node of its shard."""
    code, replies, err = run_adapter(batch(0, ["Up", 7, INFO], PEERS_KNOWN), batch(5, SUBMIT))
    assert (code, err) == (0, "")
    output = [["CallOut", "t/1", "10.0.0.1:7000", 0.0]]
    assert replies[1]["groups"][0]["host"] == "host-0"
    assert replies[1]["groups"][0]["output"][:1] == output


def test_an_empty_line_of_events_gets_an_empty_reply() -> None:
    """A line without events gets one empty reply."""
    assert run_adapter('{"time-ms":1,"groups":[]}') == (0, [{"groups": []}], "")


def test_unknown_events_and_instances_are_skipped() -> None:
    """Events with unknown names and events of unknown instances are skipped.

    A newer simulator may send events with other names.
    """
    code, replies, _ = run_adapter(
        batch(0, ["Up", 7, INFO], PEERS_KNOWN, ["Novelty", 1, 2]), batch(1, SUBMIT, host="host-9")
    )
    assert code == 0
    assert replies[1] == {"groups": []}


def test_a_stopped_instance_has_no_state() -> None:
    """A request to an instance that has stopped gets no reply, as its state has been removed."""
    code, replies, _ = run_adapter(
        batch(0, ["Up", 7, INFO], PEERS_KNOWN), batch(1, ["Down"]), batch(2, SUBMIT)
    )
    assert code == 0
    assert replies[1:] == [{"groups": []}, {"groups": []}]


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("{", "JSON"),
        ('{"groups":[]}', "time-ms"),
        (batch(0, ["Up", 7, INFO], PEERS_KNOWN, ["Submit", "t/1"]), "malformed value"),
        (batch(0, ["Up", 7, INFO], ["PeersKnown", 9, 1, []]), "malformed value"),
        (batch(0, ["Up", 7, {**INFO, "classes": []}]), "classes"),
        ("[1]", "malformed value"),
    ],
)
def test_malformed_input_ends_with_one_line_of_error(line: str, reason: str) -> None:
    """After a malformed line the process exits with one error line that names the fault, and no traceback."""
    code, _, err = run_adapter(line)
    assert code != 0
    assert len(err.splitlines()) == 1
    assert reason in err
    assert "Traceback" not in err


def test_instances_in_one_process_act_as_if_alone() -> None:
    """The replies of an instance do not depend on other instances in the same process."""
    alone = run_adapter(batch(0, ["Up", 7, INFO], PEERS_KNOWN), batch(5, SUBMIT))[1]
    both = json.dumps(
        {
            "time-ms": 0,
            "groups": [
                {"host": "host-0", "happened": [["Up", 7, INFO], PEERS_KNOWN]},
                {"host": "host-1", "happened": [["Up", 8, INFO], PEERS_KNOWN]},
            ],
        }
    )
    assert run_adapter(both, batch(5, SUBMIT))[1][1] == alone[1]
