"""Messages between the processes of one gateway: one JSON object a line, told apart by the field `type`.

The processes may run different versions of the program: unknown fields are ignored, and a field that is added
needs a default.
"""

from __future__ import annotations

import msgspec


class ProcessMessage(msgspec.Struct, frozen=True, tag_field="type"):
    """Base class of the messages."""


class TurnState(msgspec.Struct, frozen=True):
    """A turn as its process knows it.

    :param request: request id, unique in its process.
    :param arrived_ns: when the request arrived at the machine, in ns of its monotonic clock.
    :param granted: whether the request may run.
    """

    request: str
    key: str
    arrived_ns: int
    granted: bool = False


class Hello(ProcessMessage, frozen=True, tag="hello"):
    """Follower to owner: the first message, with the turns that a previous owner granted or did not."""

    turns: tuple[TurnState, ...] = ()


class Welcome(ProcessMessage, frozen=True, tag="welcome"):
    """Owner to follower: from now on no turn is granted before the follower's input is read."""


class Ask(ProcessMessage, frozen=True, tag="ask"):
    """Follower to owner: a request wants its turn."""

    turn: TurnState


class Grant(ProcessMessage, frozen=True, tag="grant"):
    """Owner to follower: the request may run."""

    request: str


class Refuse(ProcessMessage, frozen=True, tag="refuse"):
    """Owner to follower: a request of the same key that arrived later was granted its turn before."""

    request: str


class Release(ProcessMessage, frozen=True, tag="release"):
    """Follower to owner: the request has ended, or wants its turn no more.

    :param quiet_ms: how long one of its attempts may still be running at its node.
    """

    request: str
    quiet_ms: float = 0.0


class ReadInput(ProcessMessage, frozen=True, tag="read-input"):
    """Owner to follower: ask for the turns of all requests that have arrived by now, then say so."""

    round: int


class InputRead(ProcessMessage, frozen=True, tag="input-read"):
    """Follower to owner: the response to `ReadInput`, behind the turns it asked for."""

    round: int


class Farewell(ProcessMessage, frozen=True, tag="farewell"):
    """Owner to follower: the owner ends, and none of its requests is unfinished.

    :param quiet_ms: how long one of its attempts may still be running at its node.
    """

    quiet_ms: float = 0.0


Message = Hello | Welcome | Ask | Grant | Refuse | Release | ReadInput | InputRead | Farewell

_decoder = msgspec.json.Decoder(Message)


def encode(message: ProcessMessage) -> bytes:
    """Encode a message as a line."""
    return msgspec.json.encode(message) + b"\n"


def decode(line: bytes) -> Message:
    """Decode a line.

    :raises msgspec.MsgspecError: if it is not a known message.
    """
    return _decoder.decode(line)
