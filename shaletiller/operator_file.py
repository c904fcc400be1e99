"""The operators' file: what is switched on beyond the platform, as a KDL document (https://kdl.dev, version
1).

    fleet {
        name "campus"
        carrier "tcp"
        member "g0" address="10.0.0.4:7100" zone="a"
        member "g1" address="10.0.0.5:7100" zone="b"
        limit "gold" policy="available"
        term-ms 2000
    }

A node with children is a group, one without is a value; nodes that may stand several times make a list, named
by their first argument.  Names are those of the structures below, with dashes.  Every fault names its line
and key.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

import msgspec

from shaletiller.fleet.core import FleetOptions
from shaletiller.fleet.leases import LeaseTiming
from shaletiller.fleet.membership import MembershipTiming

Positive = Annotated[float, msgspec.Meta(gt=0)]


class OperatorFileError(Exception):
    """Something is wrong with the file; the message names its line and key."""


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """A part of the file."""


class MemberRow(Group, frozen=True):
    name: str
    address: str = ""  # of the carrier "tcp"
    zone: str = ""


class LimitRow(Group, frozen=True):
    """How a plan's limit is held where most of the fleet cannot be reached."""

    name: str
    policy: Literal["strict", "available"] = "strict"


class FleetPart(Group, frozen=True):
    """Off unless members stand in it, or the carrier is the platform's datagrams, whose peers they are."""

    name: str = ""
    me: str = ""  # this gateway's member; empty: the one of the gateway's own name
    carrier: Literal["tcp", "datagrams"] = "tcp"
    member: tuple[MemberRow, ...] = ()
    limit: tuple[LimitRow, ...] = ()
    period_ms: Positive = 200.0
    ack_ms: Positive = 80.0
    suspect_ms: Positive = 1_500.0
    term_ms: Positive | None = None  # None: by the number of members
    lease_ms: Positive = 1_000.0
    drift: Annotated[float, msgspec.Meta(ge=0, lt=0.2)] = 0.01
    messages_a_second: Positive = 100.0
    gossip_ms: Positive = 100.0
    fanout: Annotated[int, msgspec.Meta(ge=1)] = 3
    quorum: Annotated[int, msgspec.Meta(ge=1)] = 2
    gather_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_budgets: bool = True  # whether cold storage nodes' budgets are held together, or by turns as without

    @property
    def on(self) -> bool:
        return bool(self.member) or self.carrier == "datagrams"

    def options(self, members: int) -> FleetOptions:
        """For a fleet of so many; ValueError names a value that does not go with the others."""
        terms = LeaseTiming.for_members(members)
        return FleetOptions(
            timing=MembershipTiming(self.period_ms, self.ack_ms, self.suspect_ms),
            lease_timing=LeaseTiming(
                self.term_ms or max(terms.term_ms, 2 * self.lease_ms), self.lease_ms, self.drift
            ),
            messages_a_second=self.messages_a_second,
            gossip_ms=self.gossip_ms,
            fanout=self.fanout,
            quorum=self.quorum,
            gather_ms=self.gather_ms,
        )


class StorePart(Group, frozen=True):
    """A folder that outlives the process, on a disk that keeps what it has synced."""

    dir: str = ""  # empty: there is none
    segment_mb: Positive = 8.0
    drill: str = ""  # a file of faults to put under the store (store/files.py): for drills alone


class ClassRow(Group, frozen=True):
    """How writes of a class are kept: copied to further gateways before they count, or as ever."""

    name: str
    level: Literal["copied", "local"] = "copied"


class PromisesPart(Group, frozen=True):
    """Copies of what this gateway promises at further gateways; wants a store and a fleet over TCP."""

    on: bool = False
    class_: tuple[ClassRow, ...] = msgspec.field(default=(), name="class")
    copies: Annotated[int, msgspec.Meta(ge=1, le=7)] = 3
    keep_s: Positive = 86_400.0  # how long the outcome of a write is known
    repair_bytes_a_second: Positive = 4_000_000.0
    lease_tables: bool = False  # whether granters' tables are copied; the same at all gateways


class OperatorFile(Group, frozen=True):
    fleet: FleetPart = FleetPart()
    store: StorePart = StorePart()
    promises: PromisesPart = PromisesPart()


def read(path: Path) -> OperatorFile:
    """The file, checked; FileError names line and key of a fault."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorFileError(f"{path.name}: cannot be read: {error}") from error
    import kdl.errors  # only where there is such a file: it takes 60 ms
    import kdl.parsefuncs
    import kdl.parsing

    lines: dict[int, int] = {}

    def note(node: Any, fragment: Any) -> Any:
        lines[id(node)] = fragment.error("").line  # the library tells positions in its errors alone
        return node

    try:
        every: dict[Any, Any] = {(None, None): note, (..., ...): note}
        found = kdl.parsefuncs.parse(text, kdl.parsing.ParseConfig(nodeConverters=every))
    except kdl.errors.ParseError as error:
        raise OperatorFileError(f"{path.name}: line {error.line}: {error.msg.split(': ', 1)[-1]}") from error
    where: dict[str, int] = {}
    plain = _group(path.name, found.nodes, OperatorFile, "", lines, where)
    try:
        read = msgspec.convert(plain, OperatorFile)
        _check(read)
    except msgspec.ValidationError as error:
        message, _, at = str(error).partition(" - at `$.")
        raise _fault(path.name, at.rstrip("`"), message, where) from error
    except ValueError as error:
        key, _, message = str(error).partition(": ")
        raise _fault(path.name, key, message, where) from error
    return read


def _fault(file: str, key: str, message: str, where: dict[str, int]) -> OperatorFileError:
    known = key
    while known and known not in where:  # a value's own key, or that of the group round it
        known = known.rpartition(".")[0] if "." in known else ""
    line = f"line {where[known]}: " if known else ""
    return OperatorFileError(f"{file}: {line}{key}: {message}" if key else f"{file}: {line}{message}")


def _fields(kind: type[Group]) -> dict[str, Any]:
    hints = get_type_hints(kind)
    return {field.encode_name: hints[field.name] for field in msgspec.structs.fields(kind)}


def _item(kind: Any) -> type[Group] | None:
    """The structure that a list holds, None where the type is no list of them."""
    inner = get_args(kind)[0] if get_origin(kind) is tuple else None
    return inner if isinstance(inner, type) and issubclass(inner, Group) else None


def _group(
    file: str,
    nodes: list[Any],
    kind: type[Group],
    path: str,
    lines: dict[int, int],
    where: dict[str, int],
) -> dict[str, Any]:
    """A document's nodes as what msgspec converts; `where` is told each key's line."""
    fields, found = _fields(kind), dict[str, Any]()
    for node in nodes:
        name, line = node.name, lines.get(id(node), 0)
        key = f"{path}.{name}" if path else name

        def fault(message: str, key: str = key, line: int = line) -> OperatorFileError:
            return OperatorFileError(f"{file}: line {line}: {key}: {message}")

        if name not in fields:
            raise fault(f"unknown key; there are {', '.join(sorted(fields))}")
        item = _item(fields[name])
        if item is not None:
            rows = found.setdefault(name, [])
            where[f"{key}[{len(rows)}]"] = where.setdefault(key, line) and line
            if len(node.args) != 1:
                raise fault("wants one name and then its properties")
            inner = _group(file, node.nodes, item, f"{key}[{len(rows)}]", lines, where)
            rows.append({"name": node.args[0], **node.props, **inner})
            continue
        if name in found:
            raise fault("stands twice")
        where[key] = line
        if isinstance(fields[name], type) and issubclass(fields[name], Group):
            if node.args or node.props:
                raise fault("is a group: its values stand in braces")
            found[name] = _group(file, node.nodes, fields[name], key, lines, where)
        elif len(node.args) != 1 or node.props or node.nodes:
            raise fault("wants one value")
        else:
            found[name] = node.args[0]
    return found


ADDRESS = re.compile(r"\S+:\d{1,5}", re.ASCII)


def _check(file: OperatorFile) -> None:
    """What no single value shows; a ValueError begins with the key."""
    fleet = file.fleet
    for at, member in enumerate(fleet.member):
        if sum(other.name == member.name for other in fleet.member) > 1:
            raise ValueError(f"fleet.member[{at}].name: {member.name!r} stands twice")
        if fleet.carrier == "tcp" and not ADDRESS.fullmatch(member.address):
            raise ValueError(f"fleet.member[{at}].address: wants host:port, got {member.address!r}")
    for at, limit in enumerate(fleet.limit):
        if sum(other.name == limit.name for other in fleet.limit) > 1:
            raise ValueError(f"fleet.limit[{at}].name: {limit.name!r} stands twice")
    promises = file.promises
    for at, row in enumerate(promises.class_):
        if sum(other.name == row.name for other in promises.class_) > 1:
            raise ValueError(f"promises.class[{at}].name: {row.name!r} stands twice")
    if promises.on and not file.store.dir:
        raise ValueError("promises.on: wants a folder for the store, store.dir")
    if promises.on and (fleet.carrier != "tcp" or not fleet.member):
        raise ValueError('promises.on: wants the members of a fleet and its carrier "tcp"')
    try:
        fleet.options(max(1, len(fleet.member)))
    except ValueError as error:
        name, _, message = str(error).partition(": ")
        raise ValueError(f"fleet.{name.replace('_', '-')}: {message}") from error
