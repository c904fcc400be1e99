"""Adapter of the simulator's protocol, on standard input and output, to events and actions.

Each instance, a simulated gateway, has its own scheduler; instances share no state.  This module makes no
scheduling decisions.  It is the only module that contains the strings of the protocol.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from shaletiller.messages.actions import (
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    Reject,
    SendAttempt,
    SendHealthCheck,
    SendPeerMessage,
    StartTimer,
    WatchEndpoints,
    WriteLog,
)
from shaletiller.messages.endpoints import EndpointEntry, EndpointState, UpdateKind
from shaletiller.messages.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    Request,
    ResponseStarted,
    TimerExpired,
)
from shaletiller.messages.outcomes import Outcome
from shaletiller.messages.timers import (
    AttemptOverdueTimer,
    OrderingTimer,
    RoundTimer,
    Timer,
    WatchRetryTimer,
)
from shaletiller.policy import Scheduler
from shaletiller.settings.decoder import read_settings

OUTCOMES = {
    "completed": Outcome.OK,
    "errored": Outcome.ERROR,
    "saturated": Outcome.FULL,
    "overdue": Outcome.TIMEOUT,
    "refused_conn": Outcome.CONNECT_FAILED,
    "severed": Outcome.RESET,
    "recalled": Outcome.CANCELLED,
    "superseded": Outcome.NOT_SENT,
}
RETRY_BIT, WRITE_BIT = 2, 4  # flags of a "Submit" event


class WireError(Exception):
    """A line does not conform to the simulator's protocol."""


def _load_report(value: Any) -> tuple[tuple[str, float], ...]:
    """Read a load report, which is an object or a list of pairs."""
    if not value:
        return ()
    pairs = value.items() if isinstance(value, dict) else value
    return tuple((str(name), float(figure)) for name, figure in pairs)


def _at(values: list[Any], index: int, default: Any) -> Any:
    """Return the value at an index, or a default if it is missing or null."""
    return values[index] if index < len(values) and values[index] is not None else default


def _entry(row: list[Any]) -> EndpointEntry:
    return EndpointEntry(
        node=row[0],
        zone=_at(row, 1, ""),
        kind=_at(row, 2, ""),
        shard=int(_at(row, 3, 0)),
        state=EndpointState(_at(row, 4, EndpointState.READY.value)),
        weight=float(_at(row, 5, 1)),
        started_ms=float(_at(row, 6, 0)),
    )


def _endpoint_list(v: list[Any]) -> Event:
    return EndpointListUpdate(
        UpdateKind(v[0]), tuple(_entry(row) for row in _at(v, 2, [])), int(_at(v, 1, 0))
    )


def _request(v: list[Any]) -> Event:
    bits = int(_at(v, 4, 0))
    return Request(
        request=v[0],
        shard=int(_at(v, 1, 0)),
        object_key=_at(v, 2, ""),
        plan=_at(v, 3, ""),
        is_retry=bool(bits & RETRY_BIT),
        write=bool(bits & WRITE_BIT),
        deadline_in_ms=float(v[5]),
        volume=_at(v, 6, ""),
        volume_gateways=int(_at(v, 7, 1)),
        request_class=v[8],
        units=float(_at(v, 9, 1)),
    )


def _attempt_ended(v: list[Any]) -> Event:
    return AttemptEnded(
        request=v[0],
        attempt=int(v[1]),
        node=v[2],
        outcome=OUTCOMES[v[3]],
        latency_ms=float(_at(v, 4, 0)),
        request_finished=bool(_at(v, 5, False)),
        usage_percent_plus_one=float(_at(v, 6, 0)),
        other_gateways_units=float(_at(v, 7, 0)),
        load_report=_load_report(_at(v, 8, None)),
    )


def write_timer(timer: Timer) -> str:
    """Return the token of a timer in the simulator's protocol."""
    match timer:
        case RoundTimer():
            return "round"
        case OrderingTimer(object_key=object_key):
            return f"turn {object_key}"
        case AttemptOverdueTimer(request=request, attempt=attempt):
            return f"overdue {request} {attempt}"
        case WatchRetryTimer():
            return "ask"


def read_timer(token: str) -> Timer | None:
    """Return the timer of a token, None for a token that `write_timer` does not return."""
    name, _, rest = token.partition(" ")
    if name == "round":
        return RoundTimer()
    if name == "turn":
        return OrderingTimer(rest)
    if name == "overdue":
        request, attempt = rest.rsplit(" ", 1)  # a request id may contain spaces
        return AttemptOverdueTimer(request, int(attempt))
    return WatchRetryTimer() if name == "ask" else None


def _timer_expired(v: list[Any]) -> Event | None:
    timer = read_timer(v[0])
    return TimerExpired(timer) if timer is not None else None


EVENTS: dict[str, Callable[[list[Any]], Event | None]] = {
    "PeersKnown": _endpoint_list,
    "Submit": _request,
    "Alarm": _timer_expired,
    "Done": _attempt_ended,
    "Headers": lambda v: ResponseStarted(v[0], int(v[1]), v[2], float(_at(v, 3, 0))),
    "NeighbourSays": lambda v: PeerMessageReceived(int(v[0]), _at(v, 1, "")),
    "Abandoned": lambda v: ClientDisconnected(v[0]),
    "ProbeResult": lambda v: HealthCheckEnded(
        v[0], OUTCOMES[v[1]], float(_at(v, 2, 0)), _load_report(_at(v, 3, None))
    ),
}

ACTIONS: dict[type, Callable[[Any], list[Any]]] = {
    SendAttempt: lambda a: ["CallOut", a.request, a.node, a.timeout_ms],
    Reject: lambda a: ["TurnAway", a.request, a.retry_after_ms],
    Fail: lambda a: ["Surrender", a.request],
    CancelAttempt: lambda a: ["Revoke", a.request, a.attempt],
    StartTimer: lambda a: ["Defer", a.wait_ms, write_timer(a.timer)],
    SendHealthCheck: lambda a: ["AskLoad", a.node],
    SendPeerMessage: lambda a: ["BroadcastTo", a.peer, a.data],
    WatchEndpoints: lambda a: ["KeepInformed", a.active],
    FetchEndpointList: lambda a: ["QueryAll"],
    CloseIdleConnections: lambda a: ["FreeLinks", a.node],
    WriteLog: lambda a: ["Emit", a.line],
}


WireEvent = tuple[str, Any]  # the name of an event in the protocol, and its decoded value


def read_batch(line: str) -> tuple[float, list[tuple[str, list[WireEvent]]]]:
    """Read a line completely before any of its events is handled.

    :returns: the time in milliseconds, and the events of each instance.
    :raises WireError: if the line is malformed.
    """
    try:
        batch = json.loads(line)
        now_ms = float(batch["time-ms"])
        groups = []
        for group in batch.get("groups") or []:
            groups.append((group["host"], [_read_event(each) for each in group.get("happened") or []]))
        return now_ms, groups
    except json.JSONDecodeError as error:
        raise WireError(f"not valid JSON: {error}") from error
    except KeyError as error:
        raise WireError(f"missing key or unknown value: {error}") from error
    except (TypeError, ValueError, IndexError, AttributeError) as error:
        raise WireError(f"malformed value: {error}") from error


def _read_event(values: list[Any]) -> WireEvent:
    """Read an event; the value of an unknown event is None, and it is skipped."""
    kind, rest = values[0], values[1:]
    if kind == "Up":
        return kind, (int(rest[0]), read_settings(rest[1]))
    reader = EVENTS.get(kind)
    return kind, reader(rest) if reader else None


class Instances:
    """The instances of this process, each with its own scheduler."""

    def __init__(self) -> None:
        """Create an empty set of instances."""
        self._schedulers: dict[str, Scheduler] = {}

    def _handle(self, now_ms: float, host: str, happened: list[WireEvent]) -> list[list[Any]]:
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
        """Handle one line of input.

        :returns: the line of the reply.
        :raises WireError: if the line is malformed.
        """
        now_ms, read = read_batch(line)
        groups = []
        for host, happened in read:
            output = self._handle(now_ms, host, happened)
            if output:
                groups.append({"host": host, "output": output})
        return json.dumps({"groups": groups}, separators=(",", ":"), ensure_ascii=False)


def main(source: TextIO = sys.stdin, target: TextIO = sys.stdout, errors: TextIO = sys.stderr) -> int:
    """Reply to every line until the end of the input.

    :returns: the exit status; 2 after a malformed line.
    """
    instances = Instances()
    for number, line in enumerate(source, start=1):
        if not line.strip():
            continue
        try:
            reply = instances.reply(line)
        except WireError as error:
            print(f"shaletiller: input line {number}: {error}", file=errors)
            return 2
        target.write(reply + "\n")
        target.flush()
    return 0


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.exit(main())
