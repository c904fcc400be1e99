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
    ResponseHoldTimer,
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


def _read_load_report(value: Any) -> tuple[tuple[str, float], ...]:
    """Read a load report, which is an object or a list of pairs."""
    if not value:
        return ()
    pairs = value.items() if isinstance(value, dict) else value
    return tuple((str(name), float(figure)) for name, figure in pairs)


def _value_at(values: list[Any], index: int, default: Any) -> Any:
    """Return the value at an index, or a default if it is missing or null."""
    return values[index] if index < len(values) and values[index] is not None else default


def _read_entry(row: list[Any]) -> EndpointEntry:
    return EndpointEntry(
        node=row[0],
        zone=_value_at(row, 1, ""),
        kind=_value_at(row, 2, ""),
        shard=int(_value_at(row, 3, 0)),
        state=EndpointState(_value_at(row, 4, EndpointState.READY.value)),
        weight=float(_value_at(row, 5, 1)),
        started_ms=float(_value_at(row, 6, 0)),
    )


def _read_endpoint_list(values: list[Any]) -> Event:
    return EndpointListUpdate(
        UpdateKind(values[0]),
        tuple(_read_entry(row) for row in _value_at(values, 2, [])),
        int(_value_at(values, 1, 0)),
    )


def _read_request(values: list[Any]) -> Event:
    flags = int(_value_at(values, 4, 0))
    return Request(
        request=values[0],
        shard=int(_value_at(values, 1, 0)),
        object_key=_value_at(values, 2, ""),
        plan=_value_at(values, 3, ""),
        is_retry=bool(flags & RETRY_BIT),
        write=bool(flags & WRITE_BIT),
        deadline_in_ms=float(values[5]),
        volume=_value_at(values, 6, ""),
        volume_gateways=int(_value_at(values, 7, 1)),
        request_class=values[8],
        units=float(_value_at(values, 9, 1)),
    )


def _read_attempt_ended(values: list[Any]) -> Event:
    return AttemptEnded(
        request=values[0],
        attempt=int(values[1]),
        node=values[2],
        outcome=OUTCOMES[values[3]],
        latency_ms=float(_value_at(values, 4, 0)),
        request_finished=bool(_value_at(values, 5, False)),
        usage_percent_plus_one=float(_value_at(values, 6, 0)),
        other_gateways_units=float(_value_at(values, 7, 0)),
        load_report=_read_load_report(_value_at(values, 8, None)),
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
        case ResponseHoldTimer(request=request, attempt=attempt):
            return f"hold {request} {attempt}"
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
    if name == "hold":
        request, attempt = rest.rsplit(" ", 1)
        return ResponseHoldTimer(request, int(attempt))
    return WatchRetryTimer() if name == "ask" else None


def _read_timer_expired(values: list[Any]) -> Event | None:
    timer = read_timer(values[0])
    return TimerExpired(timer) if timer is not None else None


EVENTS: dict[str, Callable[[list[Any]], Event | None]] = {
    "PeersKnown": _read_endpoint_list,
    "Submit": _read_request,
    "Alarm": _read_timer_expired,
    "Done": _read_attempt_ended,
    "Headers": lambda values: ResponseStarted(
        values[0], int(values[1]), values[2], float(_value_at(values, 3, 0))
    ),
    "NeighbourSays": lambda values: PeerMessageReceived(int(values[0]), _value_at(values, 1, "")),
    "Abandoned": lambda values: ClientDisconnected(values[0]),
    "ProbeResult": lambda values: HealthCheckEnded(
        values[0],
        OUTCOMES[values[1]],
        float(_value_at(values, 2, 0)),
        _read_load_report(_value_at(values, 3, None)),
    ),
}

ACTIONS: dict[type, Callable[[Any], list[Any]]] = {
    SendAttempt: lambda action: ["CallOut", action.request, action.node, action.timeout_ms],
    Reject: lambda action: ["TurnAway", action.request, action.retry_after_ms],
    Fail: lambda action: ["Surrender", action.request],
    CancelAttempt: lambda action: ["Revoke", action.request, action.attempt],
    StartTimer: lambda action: ["Defer", action.wait_ms, write_timer(action.timer)],
    SendHealthCheck: lambda action: ["AskLoad", action.node],
    SendPeerMessage: lambda action: ["BroadcastTo", action.peer, action.data],
    WatchEndpoints: lambda action: ["KeepInformed", action.active],
    FetchEndpointList: lambda action: ["QueryAll"],
    CloseIdleConnections: lambda action: ["FreeLinks", action.node],
    WriteLog: lambda action: ["Emit", action.line],
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
            groups.append((group["host"], [_read_event(values) for values in group.get("happened") or []]))
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

    def _handle(self, now_ms: float, host: str, events: list[WireEvent]) -> list[list[Any]]:
        output: list[list[Any]] = []
        for kind, value in events:
            if kind == "Up":
                seed, settings = value
                self._schedulers[host] = Scheduler(settings, seed)
            elif kind == "Down":
                self._schedulers.pop(host, None)
                output.clear()
            elif value is not None and host in self._schedulers:
                actions = self._schedulers[host].handle(now_ms, value)
                output.extend(ACTIONS[type(action)](action) for action in actions)
        return output

    def reply(self, line: str) -> str:
        """Handle one line of input.

        :returns: the line of the reply.
        :raises WireError: if the line is malformed.
        """
        now_ms, batch = read_batch(line)
        groups = []
        for host, events in batch:
            output = self._handle(now_ms, host, events)
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
