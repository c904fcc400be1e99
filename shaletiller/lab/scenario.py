"""Scenarios: timed faults in a KDL file, played against real processes.

    scenario {
        about "one gateway cannot be heard for a while"
        at 0.35 { cut "g1" one-way=true }
        at 0.60 { heal }
    }

Times are parts of the run.  The faults:

    cut NAME... [one-way=true]     what goes between these gateways and the others, or only what they send
    heal                           all links as new
    worsen [loss=P] [doubled=P] [most-ms=T]     all links
    kill NAME | stop NAME | start NAME | pause NAME | resume NAME     SIGKILL; SIGTERM, and its end awaited
                                   start NAME known="now" (the list that it is given), "old" or "nothing"
    wipe NAME                      its folder, while it is down
    disable NODE via=NAME | enable NODE via=NAME     an operator's call at a gateway's door
    node NODE close|restart|silent|up|slow
    discovery silent|up|overbooked N|empty|back N     N: gateways that it serves, changes that it forgets
    list NODE active|leaving|left     a line of discovery's list
    disk NAME [slow-ms=T] [full=true] [sync-fails=true]     from now on; none of them: sound again

`granter` in place of a name is the member that grants the limit under test at that moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "scenarios"
VERBS = {
    "cut",
    "heal",
    "worsen",
    "kill",
    "start",
    "pause",
    "resume",
    "wipe",
    "disable",
    "enable",
    "node",
    "disk",
    "discovery",
    "list",
    "stop",
}


class ScenarioError(Exception):
    """A scenario that cannot be read; the message names it and what is wrong."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that happens, at a part of the run."""

    at: float
    verb: str
    args: tuple[str, ...]
    options: dict[str, Any]

    def __str__(self) -> str:
        options = [f"{name}={value}" for name, value in self.options.items()]
        return " ".join([self.verb, *self.args, *options])


@dataclass(slots=True, frozen=True)
class Scenario:
    name: str
    about: str
    faults: tuple[Fault, ...]

    def span(self) -> tuple[float, float]:
        """From the first fault to the last, as parts of the run; (1, 1) where there is none."""
        times = [fault.at for fault in self.faults if fault.verb not in ("disable", "enable")]
        return (min(times), max(times)) if times else (1.0, 1.0)


def names(kind: str = "") -> list[str]:
    """Of a kind that has scenarios of its own, or of the fleet's."""
    return sorted(path.stem for path in (FOLDER / kind).glob("*.kdl"))


def load(name: str, kind: str = "") -> Scenario:
    """A scenario of the laboratory's own by name, or of a file by its path."""
    import kdl.errors
    import kdl.parsefuncs

    path = Path(name) if name.endswith(".kdl") else FOLDER / kind / f"{name}.kdl"
    try:
        text = path.read_text()
    except OSError as error:
        raise ScenarioError(
            f"scenario {name!r}: {error.strerror}; there are {', '.join(names(kind))}"
        ) from error
    try:
        found = kdl.parsefuncs.parse(text)
    except kdl.errors.ParseError as error:
        raise ScenarioError(f"{path.name}: line {error.line}: {error.msg}") from error
    if len(found.nodes) != 1 or found.nodes[0].name != "scenario":
        raise ScenarioError(f"{path.name}: wants one node `scenario`")
    about, faults = "", []
    for node in found.nodes[0].nodes:
        if node.name == "about" and node.args:
            about = str(node.args[0])
            continue
        if node.name != "at" or len(node.args) != 1 or not 0 <= float(node.args[0]) <= 1:
            raise ScenarioError(f"{path.name}: {node.name}: wants `about TEXT` or `at PART`, of 0 to 1")
        for each in node.nodes:
            if each.name not in VERBS:
                raise ScenarioError(f"{path.name}: at {node.args[0]}: unknown fault {each.name!r}")
            options = {key.replace("-", "_"): value for key, value in each.props.items()}
            faults.append(Fault(float(node.args[0]), each.name, tuple(map(str, each.args)), options))
    return Scenario(path.stem, about, tuple(sorted(faults, key=lambda fault: fault.at)))
