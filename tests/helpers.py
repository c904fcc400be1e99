"""A scripted host: it feeds events to a Scheduler and keeps what it asked for."""

from __future__ import annotations

from typing import Any

from shaletiller import interface as i
from shaletiller.logic import Scheduler

SAFE = i.ClassSpec("read", aim_ms=250, deadline_ms=1200, worth=3, late_share=0.2, effect=i.Effect.SAFE)
PLAN = i.PlanSpec("basic", base_rate=4, reserve=2)


def settings(**changes: Any) -> i.Settings:
    """Settings of a small site, with changes."""
    known: dict[str, Any] = {
        "classes": (SAFE,),
        "plans": (PLAN,),
        "mean_units": 2.0,
        "most_units": 8.0,
        "tick_ms": 2.0,
        "max_attempts": 3,
        "share_worth": 0.4,
        "beyond_worth": 0.05,
        "hosts": 2,
        "fall_ms": 3000.0,
        "fall_multiple": 4.0,
        "start_capacity": 0.25,
        "ramp_ms": 12000.0,
        "cold_units": 40.0,
        "answer_slack_ms": 8.0,
        "drain_grace_ms": 1000.0,
    }
    known.update(changes)
    return i.Settings(**known)


def entry(node: str = "n1", shard: int = 0, **changes: Any) -> i.NodeEntry:
    """A line of the list."""
    known: dict[str, Any] = {"zone": "a", "state": i.NodeState.READY}
    known.update(changes)
    return i.NodeEntry(node, shard=shard, **known)


class Host:
    """One scheduler, its clock and its timers; attempts are answered by the test."""

    def __init__(self, *entries: i.NodeEntry, seed: int = 1, **changes: Any) -> None:
        self.now = 0.0
        self.scheduler = Scheduler(settings(**changes), seed)
        self.timers: list[tuple[float, int, str]] = []
        self.log: list[tuple[float, i.Action]] = []
        self.count = 0
        self.give(i.NodeList(i.ListKind.FULL, entries or (entry(),)))

    def give(self, event: i.Event) -> list[i.Action]:
        """One event now."""
        actions = self.scheduler.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, i.SetTimer):
                self.count += 1
                self.timers.append((self.now + action.wait_ms, self.count, action.token))
        return actions

    def run_to(self, until: float) -> list[i.Action]:
        """Let the clock run; timers come due on the way."""
        seen: list[i.Action] = []
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            seen += self.give(i.TimerDue(due[2]))
        self.now = max(self.now, until)
        return seen

    def ask(self, name: str, **changes: Any) -> list[i.Action]:
        """A request arrives."""
        known: dict[str, Any] = {
            "shard": 0,
            "extent": f"x{name}",
            "plan": "basic",
            "service": "read",
            "volume": "v1",
            "units": 2.0,
            "expires_in_ms": 1200.0,
            "volume_hosts": 1,
        }
        known.update(changes)
        return self.give(i.Request(name, **known))

    def answer(
        self,
        name: str,
        outcome: i.Outcome = i.Outcome.OK,
        attempt: int = 0,
        node: str = "n1",
        lag: float = 20,
        **changes: Any,
    ) -> list[i.Action]:
        """An attempt ends."""
        over = changes.pop("over", outcome is i.Outcome.OK)
        return self.give(i.Attempted(name, attempt, node, outcome, lag, over, **changes))

    def sent(self) -> list[str]:
        """The requests sent so far, in order."""
        return [action.request for _, action in self.log if isinstance(action, i.Send)]

    def finals(self, name: str) -> list[i.Action]:
        """The final answers given by the host to a request."""
        return [a for _, a in self.log if isinstance(a, i.Refuse | i.Fail) and a.request == name]


def kinds(actions: list[i.Action], *types: type) -> list[i.Action]:
    """The actions of these types."""
    return [action for action in actions if isinstance(action, types)]
