"""Scenarios: timed faults in a KDL file, applied to real processes.

    scenario {
        about "one gateway cannot be reached for a while"
        at 0.35 { cut "g1" one-way=true }
        at 0.60 { heal }
    }

Times are fractions of the run, from 0 to 1.  The faults (NAME is a gateway, NODE a storage node):

    cut NAME... [one-way=true]     cut the links between these gateways and the others; with one-way=true
                                   only messages that these gateways send are affected
    heal                           end the faults of all links
    worsen [loss=P] [doubled=P] [most-ms=T]     set loss, duplication and maximum delay of all links
    kill NAME                      send SIGKILL
    stop NAME                      send SIGTERM, and wait for the exit
    start NAME [known=LIST]        start it with a node list: "now" (the current one; the default), "old"
                                   (that of its last start) or "nothing" (an empty one)
    pause NAME | resume NAME       send SIGSTOP, SIGCONT
    wipe NAME                      delete its store, while the process is down
    disable NODE via=NAME | enable NODE via=NAME     send the command to the gateway's admin port
    node NODE close|restart        crash the storage node, or restart it
    discovery silent|up|empty      send no responses, work normally, or send lists without nodes
    discovery overbooked N         reject the calls of all but the first N gateways
    discovery back N               restore the list from a backup, which loses the last N changes
    list NODE active|leaving|left  set the state of a node in discovery's list
    disk NAME [slow-ms=T] [full=true] [sync-fails=true]     set its disk's faults; no options: end them

`granter` in place of NAME is the gateway that grants the limit under test when this name is first used.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

SCENARIOS_FOLDER = Path(__file__).parent / "scenarios"


class FaultVerb(StrEnum):
    """The faults of a scenario file, described in the module's docstring."""

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
    """A scenario cannot be read; the message names the scenario and the reason."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a scenario.

    :param run_fraction: when it is applied, as a fraction of the length of the run.
    :param args: the arguments in the file.
    :param options: the properties in the file, with `_` in place of `-` in their names.
    """

    run_fraction: float
    verb: FaultVerb
    args: tuple[str, ...]
    options: dict[str, Any]

    def __str__(self) -> str:
        """Return the fault as the report shows it."""
        options = [f"{name}={value}" for name, value in self.options.items()]
        return " ".join([self.verb, *self.args, *options])


@dataclass(slots=True, frozen=True)
class Scenario:
    """Timed faults, ordered by time."""

    name: str
    about: str
    faults: tuple[Fault, ...]

    def span(self) -> tuple[float, float]:
        """Return the times of the first and the last fault, as fractions of the run; (1, 1) without faults.

        Operators' commands do not count as faults.
        """
        times = [fault.run_fraction for fault in self.faults if fault.verb not in OPERATOR_COMMANDS]
        return (min(times), max(times)) if times else (1.0, 1.0)


def names(kind: str = "") -> list[str]:
    """Return the names of the scenarios that come with the laboratory.

    :param kind: the subfolder of the scenarios; by default those of `lab fleet`.
    """
    return sorted(path.stem for path in (SCENARIOS_FOLDER / kind).glob("*.kdl"))


def load(name: str, kind: str = "") -> Scenario:
    """Read a scenario.

    :param name: the name of a scenario that comes with the laboratory, or the path of a `.kdl` file.
    :param kind: see `names`.
    :raises ScenarioError: if the file cannot be read, or has errors.
    """
    path = Path(name) if name.endswith(".kdl") else SCENARIOS_FOLDER / kind / f"{name}.kdl"
    try:
        text = path.read_text()
    except OSError as error:
        raise ScenarioError(
            f"cannot read scenario {name!r}: {error.strerror}; there are {', '.join(names(kind))}"
        ) from error
    about, faults = "", []
    for node in _root(path, text).nodes:
        if node.name == "about" and node.args:
            about = str(node.args[0])
        else:
            faults += _faults_at(path, node)
    return Scenario(path.stem, about, tuple(sorted(faults, key=lambda fault: fault.run_fraction)))


def _root(path: Path, text: str) -> Any:
    """Parse a file, and return its `scenario` node."""
    # Imported here because only the laboratory's requirements include the parser.
    import kdl.errors
    import kdl.parsefuncs

    try:
        document = kdl.parsefuncs.parse(text)
    except kdl.errors.ParseError as error:
        raise ScenarioError(f"{path.name}: line {error.line}: {error.msg}") from error
    if len(document.nodes) != 1 or document.nodes[0].name != "scenario":
        raise ScenarioError(f"{path.name}: expected exactly one top-level node, named `scenario`")
    return document.nodes[0]


def _faults_at(path: Path, node: Any) -> list[Fault]:
    """Return the faults of one `at` node.

    :raises ScenarioError: if the node is not a valid `at` node.
    """
    if node.name != "at" or len(node.args) != 1 or not 0 <= float(node.args[0]) <= 1:
        raise ScenarioError(
            f"{path.name}: node {node.name!r}: expected `about TEXT`, or `at TIME` with a time from 0 to 1"
        )
    run_fraction = float(node.args[0])
    faults = []
    for child in node.nodes:
        if child.name not in set(FaultVerb):
            raise ScenarioError(f"{path.name}: at {node.args[0]}: unknown fault {child.name!r}")
        options = {key.replace("-", "_"): value for key, value in child.props.items()}
        faults.append(Fault(run_fraction, FaultVerb(child.name), tuple(map(str, child.args)), options))
    return faults
