"""Claims of request ids between the processes of one gateway, so that no id runs at two of them.

While two processes serve, each asks the other one before it sends a request that must not run twice.  A claim
that is granted is remembered there, also after this process has ended.  If both claim an id at the same time,
the owner of the link wins.  Three processes at once: the followers do not ask each other.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from shaletiller.clock import Clock, Timer
from shaletiller.core.engine import Engine
from shaletiller.core.executed_ids import hash_id
from shaletiller.core.metrics import GuardReason
from shaletiller.core.model import Exchange, FinalResponse, FinalResult
from shaletiller.net.ordering.link import LinkHandler, ProcessLink
from shaletiller.ordering.coordinator import OWNER
from shaletiller.ordering.messages import ProcessMessage

logger = logging.getLogger(__name__)

LINK_PREFIX = "\0shaletiller-ids-"
# Ratio of a request's timeout for which it waits for its claim.  Its client has the remaining time to retry.
MAX_WAIT_RATIO = 0.5
# Time for which the start waits for the ids of the other process.
JOIN_TIMEOUT_S = 1.0


class Hello(ProcessMessage, frozen=True, tag="hello"):
    """Follower to owner: the first message."""


class Executed(ProcessMessage, frozen=True, tag="executed"):
    """Owner to follower: the hashes of the ids that may have run."""

    hashes: tuple[int, ...]


class Claim(ProcessMessage, frozen=True, tag="claim"):
    """A process wants to send a request."""

    request: str


class ClaimResult(ProcessMessage, frozen=True, tag="claim-result"):
    """The response to `Claim`; `granted` is False if the request may have run at the other process."""

    request: str
    granted: bool


Message = Hello | Executed | Claim | ClaimResult
_decoder = msgspec.json.Decoder(Message)


@dataclass(slots=True, eq=False)
class PendingClaim:
    """A request that waits until all other processes have granted its id.

    :param timer: rejects it if they do not in time.
    """

    exchange: Exchange
    begin: Callable[[], None]
    waits_for: set[int]
    timer: Timer


class IdClaims(LinkHandler):
    """Claims the ids of this process's requests, and answers the claims of other processes.

    :param link_name: name of the link between the processes, or None if there can be no other process.
    """

    def __init__(self, engine: Engine, clock: Clock, link_name: str | None) -> None:
        self._engine = engine
        self._clock = clock
        self._link = (
            ProcessLink(link_name, self, _decoder.decode, "request ids") if link_name is not None else None
        )
        self._others: set[int] = set()  # processes that serve beside this one
        self._pending: dict[str, PendingClaim] = {}  # by request id
        self._joined = asyncio.Event()

    async def start(self) -> None:
        """Open the link, and wait for the ids that have run at the other process."""
        if self._link is None:
            return
        self._link.open()
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._joined.wait()
        except TimeoutError:
            logger.warning("request ids: no answer from the other process, an id may run at both")

    @property
    def is_needed(self) -> bool:
        """Whether other processes serve beside this one."""
        return bool(self._others)

    def claim(self, exchange: Exchange, begin: Callable[[], None]) -> None:
        """Call `begin` once all other processes have granted the id of a request.

        The request fails if one of them has had it, and is rejected if they do not answer in time.
        """
        call = exchange.call
        wait_ms = exchange.accepted_ms + MAX_WAIT_RATIO * call.timeout_ms - self._clock.now_ms()
        timer = self._clock.call_later(wait_ms, self._end, call.id, FinalResult.REJECTED)
        self._pending[call.id] = PendingClaim(exchange, begin, set(self._others), timer)
        for process in self._others:
            self._send(process, Claim(call.id))

    def _send(self, process: int, message: Message) -> None:
        if self._link is not None:
            self._link.send(process, message)

    def _end(self, request: str, result: FinalResult) -> None:
        """End a request whose id was not granted."""
        pending = self._pending.pop(request, None)
        if pending is None:
            return
        pending.timer.cancel()
        if not pending.exchange.ended:
            self._engine.counters.count_reason(result, GuardReason.ID_NOT_GRANTED)
            self._engine.respond(pending.exchange, FinalResponse(result))

    def _grant(self, request: str, process: int) -> None:
        pending = self._pending.get(request)
        if pending is None:
            return
        pending.waits_for.discard(process)
        if pending.waits_for:
            return
        del self._pending[request]
        pending.timer.cancel()
        if not pending.exchange.ended:
            pending.begin()

    def _answer(self, process: int, request: str) -> None:
        """Answer a claim; remember the id if it is granted."""
        now_ms = self._clock.now_ms()
        is_ours = request in self._engine.exchanges
        if is_ours and process == OWNER and request in self._pending:
            is_ours = False  # the owner refuses this process's claim
        granted = not is_ours and not self._engine.executed.contains(request, now_ms)
        if granted:
            self._engine.executed.add(hash_id(request), now_ms)
        self._send(process, ClaimResult(request, granted))

    def on_ownership(self, alone: bool) -> None:
        """Answer the claims of followers from now on."""
        self._joined.set()

    def on_connected(self) -> None:
        """Ask the owner for the ids that have run there."""
        self._others.add(OWNER)
        self._send(OWNER, Hello())

    def on_owner_lost(self) -> None:
        """Go on without the owner: it has claimed all of its ids here."""
        self._remove(OWNER)

    def on_follower_lost(self, process: int) -> None:
        """Go on without a follower: it has claimed all of its ids here."""
        self._remove(process)

    def _remove(self, process: int) -> None:
        self._others.discard(process)
        for request in list(self._pending):
            self._grant(request, process)

    def on_message(self, process: int, message: Message) -> None:
        """Handle a message of another process."""
        match message:
            case Hello():
                self._others.add(process)
                self._send(process, Executed(self._ids_that_may_run()))
            case Executed(hashes=hashes):
                self._engine.executed.update(hashes, self._clock.now_ms())
                self._joined.set()
            case Claim(request=request):
                self._answer(process, request)
            case ClaimResult(request=request, granted=True):
                self._grant(request, process)
            case ClaimResult(request=request):
                self._end(request, FinalResult.FAILED)

    def _ids_that_may_run(self) -> tuple[int, ...]:
        """Return the hashes of the ids that have run or are in progress here."""
        in_progress = (hash_id(request) for request in self._engine.exchanges)
        return (*self._engine.executed.hashes(), *in_progress)

    async def close(self) -> None:
        """Close the link."""
        if self._link is not None:
            await self._link.close()
