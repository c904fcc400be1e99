"""The bench's wire on standard input and output, turned into the interface and back.

One Scheduler an instance; instances share nothing.  No decision is taken here.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from shaletiller import interface as i
from shaletiller.logic import Scheduler
from shaletiller.settings import read_settings

OUTCOMES = {
    "completed": i.Outcome.OK,
    "errored": i.Outcome.ERROR,
    "saturated": i.Outcome.FULL,
    "overdue": i.Outcome.TIMEOUT,
    "refused_conn": i.Outcome.CONNECT_FAILED,
    "severed": i.Outcome.RESET,
    "recalled": i.Outcome.CANCELLED,
    "superseded": i.Outcome.MOOT,
}
REPEAT_BIT, WRITE_BIT = 2, 4


class WireError(Exception):
    """A line that is not what the wire promises."""


def _report(value: Any) -> tuple[tuple[str, float], ...]:
    """A load report: an object, or pairs."""
    if not value:
        return ()
    pairs = value.items() if isinstance(value, dict) else value
    return tuple((str(name), float(figure)) for name, figure in pairs)


def _at(values: list[Any], index: int, absent: Any) -> Any:
    """A positional value, or what stands for its absence."""
    return values[index] if index < len(values) and values[index] is not None else absent


def _entry(row: list[Any]) -> i.NodeEntry:
    return i.NodeEntry(
        node=row[0],
        zone=_at(row, 1, ""),
        kind=_at(row, 2, ""),
        shard=int(_at(row, 3, 0)),
        state=i.NodeState(_at(row, 4, i.NodeState.READY.value)),
        weight=float(_at(row, 5, 1)),
        started_ms=float(_at(row, 6, 0)),
    )


def _node_list(v: list[Any]) -> i.Event:
    return i.NodeList(i.ListKind(v[0]), tuple(_entry(row) for row in _at(v, 2, [])), int(_at(v, 1, 0)))


def _request(v: list[Any]) -> i.Event:
    bits = int(_at(v, 4, 0))
    return i.Request(
        request=v[0],
        shard=int(_at(v, 1, 0)),
        extent=_at(v, 2, ""),
        plan=_at(v, 3, ""),
        repeat=bool(bits & REPEAT_BIT),
        write=bool(bits & WRITE_BIT),
        expires_in_ms=float(v[5]),
        volume=_at(v, 6, ""),
        volume_hosts=int(_at(v, 7, 1)),
        service=v[8],
        units=float(_at(v, 9, 1)),
    )


def _attempted(v: list[Any]) -> i.Event:
    return i.Attempted(
        request=v[0],
        attempt=int(v[1]),
        node=v[2],
        outcome=OUTCOMES[v[3]],
        lag_ms=float(_at(v, 4, 0)),
        over=bool(_at(v, 5, False)),
        used=float(_at(v, 6, 0)),
        from_others=float(_at(v, 7, 0)),
        report=_report(_at(v, 8, None)),
    )


EVENTS: dict[str, Callable[[list[Any]], i.Event]] = {
    "PeersKnown": _node_list,
    "Submit": _request,
    "Alarm": lambda v: i.TimerDue(v[0]),
    "Done": _attempted,
    "Headers": lambda v: i.StreamStarted(v[0], int(v[1]), v[2], float(_at(v, 3, 0))),
    "NeighbourSays": lambda v: i.PeerSaid(int(v[0]), _at(v, 1, "")),
    "Abandoned": lambda v: i.ClientLeft(v[0]),
    "ProbeResult": lambda v: i.Probed(v[0], OUTCOMES[v[1]], float(_at(v, 2, 0)), _report(_at(v, 3, None))),
}

ACTIONS: dict[type, Callable[[Any], list[Any]]] = {
    i.Send: lambda a: ["CallOut", a.request, a.node, a.timeout_ms],
    i.Refuse: lambda a: ["TurnAway", a.request, a.retry_in_ms],
    i.Fail: lambda a: ["Surrender", a.request],
    i.Cancel: lambda a: ["Revoke", a.request, a.attempt],
    i.SetTimer: lambda a: ["Defer", a.wait_ms, a.token],
    i.Probe: lambda a: ["AskLoad", a.node],
    i.Tell: lambda a: ["BroadcastTo", a.peer, a.data],
    i.Subscribe: lambda a: ["KeepInformed", a.active],
    i.FetchList: lambda a: ["QueryAll"],
    i.CloseIdle: lambda a: ["FreeLinks", a.node],
    i.Log: lambda a: ["Emit", a.line],
}


Happening = tuple[str, Any]


def read_batch(line: str) -> tuple[float, list[tuple[str, list[Happening]]]]:
    """The clock and, for each instance, what happened: all of it is read before any of it is acted on."""
    try:
        batch = json.loads(line)
        now_ms = float(batch["time-ms"])
        groups = []
        for group in batch.get("groups") or []:
            groups.append((group["host"], [_happening(each) for each in group.get("happened") or []]))
        return now_ms, groups
    except json.JSONDecodeError as error:
        raise WireError(f"not a line of JSON: {error}") from error
    except KeyError as error:
        raise WireError(f"missing or unknown value {error}") from error
    except (TypeError, ValueError, IndexError, AttributeError) as error:
        raise WireError(f"value out of place: {error}") from error


def _happening(values: list[Any]) -> Happening:
    """An event by its wire name, read into the interface where it is known."""
    kind, rest = values[0], values[1:]
    if kind == "Up":
        return kind, (int(rest[0]), read_settings(rest[1]))
    reader = EVENTS.get(kind)
    return kind, reader(rest) if reader else None


class Link:
    """The instances of this process, each with a scheduler of its own."""

    def __init__(self) -> None:
        self._schedulers: dict[str, Scheduler] = {}

    def _group(self, now_ms: float, host: str, happened: list[Happening]) -> list[list[Any]]:
        output: list[list[Any]] = []
        for kind, value in happened:
            if kind == "Up":
                seed, settings = value
                self._schedulers[host] = Scheduler(settings, seed)
            elif kind == "Down":
                self._schedulers.pop(host, None)
                output.clear()
            elif value is not None and host in self._schedulers:
                acts = self._schedulers[host].handle(now_ms, value)
                output.extend(ACTIONS[type(act)](act) for act in acts)
        return output

    def reply(self, line: str) -> str:
        """The reply line to one batch line."""
        now_ms, read = read_batch(line)
        groups = []
        for host, happened in read:
            output = self._group(now_ms, host, happened)
            if output:
                groups.append({"host": host, "output": output})
        return json.dumps({"groups": groups}, separators=(",", ":"), ensure_ascii=False)


def main(source: TextIO = sys.stdin, target: TextIO = sys.stdout, trouble: TextIO = sys.stderr) -> int:
    """Answer every batch until the input ends."""
    link = Link()
    for number, line in enumerate(source, start=1):
        if not line.strip():
            continue
        try:
            reply = link.reply(line)
        except WireError as error:
            print(f"shaletiller: input line {number}: {error}", file=trouble)
            return 2
        target.write(reply + "\n")
        target.flush()
    return 0


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.exit(main())
