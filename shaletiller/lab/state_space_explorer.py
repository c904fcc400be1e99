"""An explicit-state model checker of the replication protocol.

It visits every state that is reachable within bounds on faults, depth first, on the gateways' own code, and
checks the invariants in each; see Clarke, Grumberg and Peled, "Model Checking", on explicit-state
exploration.  States with equal fingerprints are visited once.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from shaletiller.lab.state_space_bounds import ExplorationTask
from shaletiller.lab.state_space_invariants import InvariantViolationError, check_final_state, check_state
from shaletiller.lab.state_space_model import Event, EventKind, ProtocolModel, SystemState
from shaletiller.lab.state_space_reduction import fingerprint, remove_obsolete_messages

DEFAULT_MAX_STATES = 2_000_000  # their fingerprints fit in the memory of a developer's machine


@dataclass
class Exploration:
    """What an exploration covered, and the violation that ended it, if any.

    `complete` is False where the bound on states was reached first.  `trace` lists the events that lead to
    the violation.
    """

    bounds: str
    script: str
    states: int = 0
    transitions: int = 0
    final_states: int = 0
    seconds: float = 0.0
    complete: bool = True
    violation: str = ""
    trace: list[str] = field(default_factory=list)

    def to_json(self) -> dict[str, Any]:
        """Return the exploration under the keys of the report."""
        return {
            "bounds": self.bounds,
            "script": self.script,
            "states": self.states,
            "steps": self.transitions,
            "ends": self.final_states,
            "seconds": self.seconds,
            "whole": self.complete,
            "broken": self.violation,
            "course": self.trace,
        }

    def lines(self) -> list[str]:
        """Return the exploration as lines to print."""
        mark = "!!" if self.violation else "ok" if self.complete else "--"
        incomplete = "" if self.complete else ", NOT WHOLE"
        first = (
            f"{mark} {self.script}; {self.bounds}: {self.states} states, {self.transitions} steps, "
            f"{self.final_states} ends, {self.seconds:.0f} s{incomplete}"
        )
        if not self.violation:
            return [first]
        return [first, f"   {self.violation}", *(f"     {event}" for event in self.trace)]


@dataclass(slots=True)
class _Visit:
    """A state on the path of the depth-first search, with the events that are still to be tried."""

    state: bytes  # pickled
    events: list[Event]
    trace: list[Event]


class _Search:
    """One depth-first search."""

    def __init__(self, model: ProtocolModel, max_states: int) -> None:
        self._model, self._max_states = model, max_states
        self._visited: set[bytes] = set()
        self.result = Exploration(str(model.bounds), model.script.name)

    def run(self) -> None:
        """Visit all reachable states, up to the bound or to the first violation."""
        state = self._model.initial_state()
        self._visit_once(state)
        stack = [_Visit(pickle.dumps(state), list(self._model.events(state)), [])]
        while stack:
            visit = stack[-1]
            if not visit.events:
                stack.pop()
                continue
            event = visit.events.pop()
            try:
                following = self._follow(visit, event)
            except InvariantViolationError as error:
                self.result.violation = str(error)
                self.result.trace = [str(each) for each in [*visit.trace, event]]
                break
            if len(self._visited) >= self._max_states:
                self.result.complete = False
                break
            if following is not None:
                stack.append(following)
        self.result.states = len(self._visited)

    def _visit_once(self, state: SystemState) -> bool:
        """Reduce a state and note it; return whether it is a new one."""
        remove_obsolete_messages(state, self._model.bounds)
        mark = fingerprint(state)
        if mark in self._visited:
            return False
        self._visited.add(mark)
        return True

    def _follow(self, visit: _Visit, event: Event) -> _Visit | None:
        """Apply an event; return the visit of the state it leads to, None where that is visited already."""
        state: SystemState = pickle.loads(visit.state)
        self._model.apply(state, event)
        self.result.transitions += 1
        if not self._visit_once(state):
            return None
        check_state(state)
        events = list(self._model.events(state))
        if not any(each.kind in (EventKind.DELIVER, EventKind.PERSIST) for each in events):
            self.result.final_states += 1
            check_final_state(self._model, state)
        return _Visit(pickle.dumps(state), events, [*visit.trace, event])


def explore(model: ProtocolModel, max_states: int = DEFAULT_MAX_STATES) -> Exploration:
    """Visit all reachable states of a model.

    :param max_states: the exploration ends, incomplete, when it has visited so many.
    """
    started = time.monotonic()
    search = _Search(model, max_states)
    search.run()
    search.result.seconds = time.monotonic() - started
    return search.result


def _explore_task(task: ExplorationTask, max_states: int) -> Exploration:
    return explore(ProtocolModel(task.bounds, task.script), max_states)


def explore_all(tasks: Iterable[ExplorationTask], max_states: int = DEFAULT_MAX_STATES) -> list[Exploration]:
    """Run explorations on all processor cores, and return their results in the order of the tasks."""
    with ProcessPoolExecutor() as pool:
        return list(pool.map(partial(_explore_task, max_states=max_states), tasks))
