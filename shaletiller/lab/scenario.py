"""Scenarios: timed faults in a KDL file, applied to real processes.

    scenario {
        about "one gateway cannot be reached for a while"
        at 0.35 { cut "g1" one-way=true }
        at 0.60 { heal }
    }

Times are parts of the run.  The faults:

    cut NAME... [one-way=true]     all messages between these gateways and the others, or only those they send
    heal                           no link has faults any more
    worsen [loss=P] [doubled=P] [most-ms=T]     all links
    kill NAME | stop NAME | start NAME | pause NAME | resume NAME     SIGKILL; SIGTERM, waiting for the exit
                                   start NAME known="now" (the list it is started with), "old" or "nothing"
    wipe NAME                      deletes its folder, while it is down
    disable NODE via=NAME | enable NODE via=NAME     an operator's command at a gateway's admin port
    node NODE close|restart
    discovery silent|up|overbooked N|empty|back N     N: gateways that it serves, changes that it forgets
    list NODE active|leaving|left     a line of discovery's list
    disk NAME [slow-ms=T] [full=true] [sync-fails=true]     from now on; none of them: without faults again

`granter` in place of a name is the gateway that grants the limit under test at that moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "scenarios"


class FaultVerb(StrEnum):
    """The faults of a scenario file; their meaning is in the module's docstring."""

    CUT = "cut"
    HEAL = "heal"
    WORSEN = "worsen"
    KILL = "kill"
    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    WIPE = "wipe"
    DISABLE = "disable"
    ENABLE = "enable"
    NODE = "node"
    DISK = "disk"
    DISCOVERY = "discovery"
    LIST = "list"
    STOP = "stop"


OPERATOR_COMMANDS = (FaultVerb.DISABLE, FaultVerb.ENABLE)


class ScenarioError(Exception):
    """A scenario that cannot be read; the message names it and what is wrong."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a scenario.

    :param at: when it is applied, as a part of the run.
    :param options: the properties in the file, with `_` in place of `-`.
    """

    at: float
    verb: FaultVerb
    args: tuple[str, ...]
    options: dict[str, Any]

    def __str__(self) -> str:
        """Return the fault as the report shows it."""
        options = [f"{name}={value}" for name, value in self.options.items()]
        return " ".join([self.verb, *self.args, *options])


@dataclass(slots=True, frozen=True)
class Scenario:
    """Timed faults, in the order of their times."""

    name: str
    about: str
    faults: tuple[Fault, ...]

    def span(self) -> tuple[float, float]:
        """Return the times of the first fault and the last, as parts of the run; (1, 1) without faults.

        Operator's commands are no faults.
        """
        times = [fault.at for fault in self.faults if fault.verb not in OPERATOR_COMMANDS]
        return (min(times), max(times)) if times else (1.0, 1.0)


def names(kind: str = "") -> list[str]:
    """Return the names of the laboratory's own scenarios.

    :param kind: a subfolder; by default the scenarios of a fleet.
    """
    return sorted(path.stem for path in (FOLDER / kind).glob("*.kdl"))


def load(name: str, kind: str = "") -> Scenario:
    """Read a scenario.

    :param name: the name of one of the laboratory's own, or the path of a file.
    :param kind: see `names`.
    :raises ScenarioError: if there is none, or its file has errors.
    """
    path = Path(name) if name.endswith(".kdl") else FOLDER / kind / f"{name}.kdl"
    try:
        text = path.read_text()
    except OSError as error:
        raise ScenarioError(
            f"scenario {name!r}: {error.strerror}; there are {', '.join(names(kind))}"
        ) from error
    about, faults = "", []
    for node in _root(path, text).nodes:
        if node.name == "about" and node.args:
            about = str(node.args[0])
        else:
            faults += _faults_at(path, node)
    return Scenario(path.stem, about, tuple(sorted(faults, key=lambda fault: fault.at)))


def _root(path: Path, text: str) -> Any:
    """Parse a file, and return its `scenario` node."""
    # Loaded here: the parser is in the laboratory's requirements only.
    import kdl.errors
    import kdl.parsefuncs

    try:
        document = kdl.parsefuncs.parse(text)
    except kdl.errors.ParseError as error:
        raise ScenarioError(f"{path.name}: line {error.line}: {error.msg}") from error
    if len(document.nodes) != 1 or document.nodes[0].name != "scenario":
        raise ScenarioError(f"{path.name}: wants one node `scenario`")
    return document.nodes[0]


def _faults_at(path: Path, node: Any) -> list[Fault]:
    """Return the faults of one `at` node."""
    if node.name != "at" or len(node.args) != 1 or not 0 <= float(node.args[0]) <= 1:
        raise ScenarioError(f"{path.name}: {node.name}: wants `about TEXT` or `at PART`, of 0 to 1")
    at = float(node.args[0])
    faults = []
    for each in node.nodes:
        if each.name not in set(FaultVerb):
            raise ScenarioError(f"{path.name}: at {node.args[0]}: unknown fault {each.name!r}")
        options = {key.replace("-", "_"): value for key, value in each.props.items()}
        faults.append(Fault(at, FaultVerb(each.name), tuple(map(str, each.args)), options))
    return faults
