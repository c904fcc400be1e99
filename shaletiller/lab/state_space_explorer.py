"""An explicit-state model checker of the replication protocol.

It runs the code of the real gateways, visits every state that is reachable within the bounds on faults in
depth-first order, and checks the invariants in each state; see Clarke, Grumberg and Peled, "Model Checking",
on explicit-state exploration. Of several states with equal fingerprints, only one is visited.
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

DEFAULT_MAX_STATES = 2_000_000  # The fingerprints fit in the memory of a developer's machine.


@dataclass
class Exploration:
    """The result of an exploration, with the violation that ended it, if any.

    `complete` is False if the maximum number of states was reached. `trace` lists the events that lead to
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
        """Return the exploration with the keys of the JSON report."""
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
        status = "!!" if self.violation else "ok" if self.complete else "--"
        incomplete = "" if self.complete else ", INCOMPLETE"
        first = (
            f"{status} {self.script}; {self.bounds}: {self.states} states, {self.transitions} transitions, "
            f"{self.final_states} final states, {self.seconds:.0f} s{incomplete}"
        )
        if not self.violation:
            return [first]
        return [first, f"   {self.violation}", *(f"     {event}" for event in self.trace)]


@dataclass(slots=True)
class _Visit:
    """A state on the stack of the depth-first search, with the events that have not been applied yet."""

    state: bytes  # A pickled `SystemState`.
    events: list[Event]
    trace: list[Event]


class _Search:
    """A depth-first search of the states of a model."""

    def __init__(self, model: ProtocolModel, max_states: int) -> None:
        self._model, self._max_states = model, max_states
        self._visited: set[bytes] = set()
        self.result = Exploration(str(model.bounds), model.script.name)

    def run(self) -> None:
        """Visit all reachable states; stop at the maximum number of states or at the first violation."""
        state = self._model.initial_state()
        self._mark_visited(state)
        stack = [_Visit(pickle.dumps(state), list(self._model.events(state)), [])]
        while stack:
            visit = stack[-1]
            if not visit.events:
                stack.pop()
                continue
            event = visit.events.pop()
            try:
                next_visit = self._apply_event(visit, event)
            except InvariantViolationError as error:
                self.result.violation = str(error)
                self.result.trace = [str(step) for step in [*visit.trace, event]]
                break
            if len(self._visited) >= self._max_states:
                self.result.complete = False
                break
            if next_visit is not None:
                stack.append(next_visit)
        self.result.states = len(self._visited)

    def _mark_visited(self, state: SystemState) -> bool:
        """Reduce a state and store its fingerprint; return whether it was not visited before."""
        remove_obsolete_messages(state, self._model.bounds)
        digest = fingerprint(state)
        if digest in self._visited:
            return False
        self._visited.add(digest)
        return True

    def _apply_event(self, visit: _Visit, event: Event) -> _Visit | None:
        """Apply an event; return the visit of the next state, or None if that state was visited before."""
        state: SystemState = pickle.loads(visit.state)
        self._model.apply(state, event)
        self.result.transitions += 1
        if not self._mark_visited(state):
            return None
        check_state(state)
        events = list(self._model.events(state))
        if not any(enabled.kind in (EventKind.DELIVER, EventKind.PERSIST) for enabled in events):
            self.result.final_states += 1
            check_final_state(self._model, state)
        return _Visit(pickle.dumps(state), events, [*visit.trace, event])


def explore(model: ProtocolModel, max_states: int = DEFAULT_MAX_STATES) -> Exploration:
    """Visit all reachable states of a model.

    :param max_states: the exploration stops, incomplete, after this number of states.
    """
    started = time.monotonic()
    search = _Search(model, max_states)
    search.run()
    search.result.seconds = time.monotonic() - started
    return search.result


def _explore_task(task: ExplorationTask, max_states: int) -> Exploration:
    return explore(ProtocolModel(task.bounds, task.script), max_states)


def explore_all(tasks: Iterable[ExplorationTask], max_states: int = DEFAULT_MAX_STATES) -> list[Exploration]:
    """Run explorations on all processor cores; the results are in the order of the tasks."""
    with ProcessPoolExecutor() as pool:
        return list(pool.map(partial(_explore_task, max_states=max_states), tasks))
