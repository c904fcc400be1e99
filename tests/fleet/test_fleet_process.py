"""Tests with real gateway processes that share a limit and health records, with faults on their links."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest

from shaletiller.lab import fleet_scenarios, fleet_testbed, scenario
from shaletiller.lab.guarantees import Guarantee, Outcome

ROOT = Path(__file__).parent.parent.parent
SECONDS = 9.0


@pytest.mark.parametrize(
    ("faults", "carrier"),
    [
        ("cut-one-way", "datagrams"),
        ("pause-holder", "tcp"),
        ("kill-granter", "datagrams"),
    ],
)
def test_five_processes_uphold_their_guarantees(faults: str, carrier: str) -> None:
    """Five gateways serve load while links are cut, the lease holder is paused or the granter is killed.

    All guarantees hold, the limit is used, and at the end all five gateways are members of each other's
    fleet.
    """
    out = asyncio.run(fleet_scenarios.run(5, SECONDS, 1, scenario.load(faults), carrier))
    assert out.kept, "\n".join([*out.course, *out.lines()])
    names = [guarantee.name for guarantee in out.guarantees]
    assert names == ["over the strict limit", "staleness of the ban of n4", "writes run twice", "unanswered"]
    assert out.figures["units_limited"] > fleet_testbed.LIMIT.rate * SECONDS / 4  # the limit was used
    for stats in out.figures["stats"].values():
        assert stats["edge.fleet.members"] == 5
        assert stats["edge.fleet.received"] > 0


def run_fleet_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the laboratory command for fleets of real processes."""
    return subprocess.run(
        [sys.executable, "-m", "shaletiller.lab", "fleet", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_the_command_reports_its_findings_and_exits_with_the_result(tmp_path: Path) -> None:
    """The laboratory command exits with 0 if all guarantees hold, and with 2 if a fault is unknown."""
    path = tmp_path / "out.json"
    found = run_fleet_command("--gateways", "3", "--seconds", "6", "--json", str(path))
    assert found.returncode == 0, found.stdout + found.stderr
    report = json.loads(path.read_text())
    assert report["kept"]
    assert all(guarantee["kept"] for guarantee in report["guarantees"])
    assert "over the strict limit" in found.stdout
    wrong = run_fleet_command("--faults", "nonsense")
    assert wrong.returncode == 2
    assert "there are cut-one-way" in wrong.stderr


def test_a_violated_guarantee_fails_the_run() -> None:
    """One guarantee holds and one is violated; the run fails, and its lines show which one."""
    out = Outcome("x", 1, [Guarantee("a", 1.0, 1.0), Guarantee("b", 0.95, 0.94, "at least")])
    assert not out.kept
    assert [line[:2] for line in out.lines()] == ["ok", "!!"]
    assert not out.to_json()["kept"]


def test_only_a_violated_guarantee_prints_its_violations() -> None:
    """Guards against scenario failures whose requests cannot be identified."""
    kept = Guarantee("a", 1.0, 1.0, violations=("request r1",))
    violated = Guarantee("b", 0.0, 1.0, violations=("request r2",))
    lines = list(Outcome("x", 1, [kept, violated]).lines())
    assert [line.split()[0] for line in lines] == ["ok", "!!", "request"]
    assert lines[-1].strip() == "request r2"
