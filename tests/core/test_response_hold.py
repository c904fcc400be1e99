"""Tests of held responses, by a model over all orders of events at one request and its attempts."""

from __future__ import annotations

import asyncio
import math
import unittest.mock
from dataclasses import dataclass, replace

import msgspec
import pytest

from shaletiller.clock import SettableClock
from shaletiller.core.engine import Engine
from shaletiller.core.errors import ResponseBrokenError
from shaletiller.core.memory_account import MemoryAccount
from shaletiller.core.model import AttemptResult, ClientCall, FinalResponse, FinalResult
from shaletiller.core.response_progress import ResponseProgress
from shaletiller.core.route import Endpoint
from shaletiller.messages.endpoints import UpdateKind
from shaletiller.net.http_upstream import HttpUpstreamClient
from shaletiller.net.pool import UpstreamProtocol
from shaletiller.policy.response_hold import HOLD_UP_MS, SETTLE_MS
from shaletiller.settings.model import Idempotency
from tests.support.scheduler_host import SAFE, entry, settings

EVENTS_PER_ORDER = 4
MIN_ORDERS = 300
SETTLING_TURNS = 8
DEADLINE_MS = 400.0
MAX_LATE_MS = 45.0  # three times the delay of the deadline guard
UNSAFE = replace(SAFE, name="write", effect=Idempotency.UNSAFE)
READ = ClientCall(
    "r1", "read", "basic", "v1", "x", 2.0, 0, 1, DEADLINE_MS, False, "GET", "/api?key=x", accepts_stream=True
)
WRITE = msgspec.structs.replace(READ, request_class="write", write=True)
BODY, LONG_BODY = b"0123456789", bytes(70_000)
HEAD = b"HTTP/1.1 200 OK\r\n%s\r\n"


@dataclass(frozen=True)
class Case:
    """One kind of request and of response."""

    framing: str
    call: ClientCall
    hedging: bool

    @property
    def body(self) -> bytes:
        return LONG_BODY if self.framing == "long" else BODY

    def encode(self, event: str) -> bytes:
        """Return what a node writes at an event."""
        half, is_chunked = len(self.body) // 2, self.framing == "chunked"
        if event == "head":
            fields = {"chunked": b"Transfer-Encoding: chunked\r\n", "close": b""}
            return HEAD % fields.get(self.framing, b"Content-Length: %d\r\n" % len(self.body))
        data = self.body[:half] if event == "part" else self.body[half:]
        chunk = b"%x\r\n%s\r\n" % (len(data), data) if is_chunked else data
        return chunk + b"0\r\n\r\n" if is_chunked and event == "end" else chunk


class NodeConnection:
    """A connection to a node whose response the test writes."""

    def __init__(self, clock: SettableClock) -> None:
        self.protocol = UpstreamProtocol(asyncio.get_running_loop(), clock, MemoryAccount())
        self.transport = unittest.mock.Mock(spec=asyncio.Transport)
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.is_closing.side_effect = lambda: self.closed
        self.transport.close.side_effect = self.transport.abort.side_effect = self.close
        self.events: list[str] = []
        self.closed = False
        self.protocol.connection_made(self.transport)

    def close(self) -> None:
        self.lose(None)

    def lose(self, error: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self.protocol.connection_lost(error)

    @property
    def is_live(self) -> bool:
        """Whether its response has begun and has not broken off."""
        return "head" in self.events and "break" not in self.events

    def possible_events(self) -> list[str]:
        if self.closed or "end" in self.events:
            return []
        if "head" not in self.events:
            return ["head", "break"]
        return ["end", "break"] if "part" in self.events else ["part", "break"]

    def play(self, event: str, case: Case) -> None:
        self.events.append(event)
        if event == "break":
            self.lose(ConnectionResetError("reset by the node"))
            return
        self.protocol.data_received(case.encode(event))
        if event == "end" and case.framing == "close":
            self.lose(None)


class ModelUpstream(HttpUpstreamClient):
    """The HTTP client on connections whose other ends the test plays."""

    nodes: list[NodeConnection]

    async def attempt(
        self,
        address: str,
        call: ClientCall,
        timeout_ms: float,
        start_within_ms: float = math.inf,
        progress: ResponseProgress | None = None,
    ) -> AttemptResult:
        node = NodeConnection(self._clock)  # type: ignore[arg-type]
        self.nodes.append(node)
        connector = unittest.mock.Mock()
        connector.release_used.side_effect = lambda address, protocol, reusable: reusable or node.close()
        return await self._attempt_on_idle(connector, node.protocol, address, call, {}, progress)


class Run:
    """One order of events, played from the start."""

    def __init__(self, case: Case) -> None:
        self.case, self.clock = case, SettableClock(1000.0)
        known = settings(
            classes=(SAFE, UNSAFE), max_attempts=2, hedging_allowed=case.hedging, cancellation_allowed=True
        )
        self.upstream = ModelUpstream(known, 4, self.clock)
        self.upstream.nodes = []
        self.engine = Engine(known, 1, self.clock)
        self.engine._scheduler.state.latency.lost_share = 1.0  # overdue attempts are hedged or cancelled
        self.engine.update_endpoints(UpdateKind.FULL, 1, (Endpoint(entry(), "a:1", self.upstream),))
        self.responses: list[FinalResponse] = []
        self.responded_ms, self.live_at_response = math.inf, False
        self.left = False
        self.exchange = self.engine.submit(case.call, self._respond)

    def _respond(self, response: FinalResponse) -> None:
        self.responses.append(response)
        self.responded_ms = self.elapsed_ms
        self.live_at_response = any(node.is_live for node in self.upstream.nodes)

    @property
    def elapsed_ms(self) -> float:
        return self.clock.now_ms() - self.exchange.accepted_ms

    async def settle(self) -> None:
        for _ in range(SETTLING_TURNS):
            await asyncio.sleep(0)

    def possible_events(self) -> list[tuple[str, int]]:
        nodes = [
            (event, number)
            for number, node in enumerate(self.upstream.nodes)
            for event in node.possible_events()
        ]
        if self.responses or self.left:
            return nodes
        return [*nodes, ("settle", 0), ("stall", 0), ("deadline", 0), ("hold up", 0), ("leave", 0)]

    async def play(self, event: str, number: int) -> None:
        match event:
            case "settle":
                self.clock.advance(SETTLE_MS)
            case "stall":
                self.clock.advance(125.0)
            case "deadline":
                self.clock.advance(max(0.0, DEADLINE_MS - self.elapsed_ms))
            case "hold up":  # over the deadline: its timers run late, and before what has come is read
                awaits_input = any(not node.closed for node in self.upstream.nodes)
                self.clock._now_ms += max(0.0, DEADLINE_MS + HOLD_UP_MS - 10 - self.elapsed_ms)
                self.clock.advance(0.0)
                assert not (awaits_input and self.responses), "ended before what has come was read"
            case "leave":
                self.left = True
                self.engine.on_client_disconnected(self.exchange)
            case _:
                self.upstream.nodes[number].play(event, self.case)
        await self.settle()

    async def check(self) -> None:
        """Let all time pass, and check what the client and the scheduler got."""
        for _ in range(8):
            self.clock.advance(MAX_LATE_MS)
            await self.settle()
        self.clock.advance(2 * DEADLINE_MS)
        await self.settle()
        assert len(self.responses) + self.left == 1
        if self.responses:
            await self._check_response(self.responses[0])
        assert all(attempt.outcome is not None for attempt in self.exchange.attempts)
        assert not self.engine.attempts.in_flight
        assert not self.engine._scheduler.state.pending
        self.engine._scheduler.validate_state()

    async def _check_response(self, response: FinalResponse) -> None:
        assert self.responded_ms <= DEADLINE_MS + HOLD_UP_MS + MAX_LATE_MS
        if response.result is not FinalResult.SERVED:
            assert not self.live_at_response, "a response that could be passed on was dropped"
            return
        if response.stream is None:
            assert response.body == self.case.body
            return
        if self.case.call is READ and self.case.framing == "length" and len(self.upstream.nodes) == 1:
            assert self.responded_ms >= DEADLINE_MS - HOLD_UP_MS, "passed on while a retry could help"
        (node,) = [node for node in self.upstream.nodes if not node.closed or "end" in node.events] or [None]
        received = response.body
        if node is not None and "end" not in node.events:
            for event in ("part", "end")["part" in node.events :]:
                node.play(event, self.case)
        try:
            while data := await response.stream.read():
                received += data
            assert received == self.case.body
        except ResponseBrokenError:
            assert any("break" in node.events for node in self.upstream.nodes)
            assert self.case.body.startswith(received)


def every_order(case: Case) -> int:
    """Play all orders of a number of events; return how many there are."""

    async def play(order: tuple[tuple[str, int], ...]) -> list[tuple[str, int]]:
        run = Run(case)
        await run.settle()
        for event in order:
            await run.play(*event)
        possible = run.possible_events() if len(order) < EVENTS_PER_ORDER else []
        try:
            await run.check()
        except AssertionError as error:
            raise AssertionError(f"{case.framing}, {order}: {error}") from error
        return possible

    async def play_all() -> int:
        orders: list[tuple[tuple[str, int], ...]] = [()]
        count = 0
        while orders:
            order = orders.pop()
            count += 1
            orders += [(*order, event) for event in await play(order)]
        return count

    return asyncio.run(play_all())


@pytest.mark.parametrize("framing", ["length", "long", "chunked", "close"])
@pytest.mark.parametrize(
    ("call", "hedging"), [(READ, False), (READ, True), (WRITE, False)], ids=["read", "hedged", "write"]
)
def test_no_order_of_events_drops_a_response_that_can_be_passed_on(
    call: ClientCall, hedging: bool, framing: str
) -> None:
    """Guards against timers, retries and hedged requests that end a response whose head has come."""
    assert every_order(Case(framing, call, hedging)) >= MIN_ORDERS


@pytest.mark.parametrize(("call", "attempts"), [(READ, 2), (WRITE, 1)], ids=["read", "write"])
def test_a_response_that_is_of_use_only_whole_is_given_up_for_a_retry_alone(
    call: ClientCall, attempts: int
) -> None:
    """Guards against a write that fails, and a read that waits, as a body pauses that cannot be passed on."""

    async def play() -> None:
        run = Run(Case("length", msgspec.structs.replace(call, accepts_stream=False), False))
        await run.settle()
        for event in ("head", "part", "stall"):
            await run.play(event, 0)
        assert len(run.upstream.nodes) == attempts
        while not run.responses:
            await run.play(run.upstream.nodes[-1].possible_events()[0], attempts - 1)
        assert run.responses == [FinalResponse(FinalResult.SERVED, BODY)]

    asyncio.run(play())
