"""Tests of the engine with a settable clock and a scripted upstream client, without sockets."""

from __future__ import annotations

import asyncio
import copy
import math
import unittest
import unittest.mock
from dataclasses import replace

import msgspec

from shaletiller.clock import SettableClock
from shaletiller.core.engine import Engine
from shaletiller.core.errors import BadRequestError
from shaletiller.core.metrics import stats_lines
from shaletiller.core.model import AttemptResult, BodyStream, ClientCall, Exchange, FinalResponse, FinalResult
from shaletiller.core.response_progress import ResponseProgress
from shaletiller.core.route import Endpoint
from shaletiller.messages.actions import (
    Action,
    Fail,
    GiveUpReason,
    Reject,
    SendAttempt,
    SendHealthCheck,
    StartTimer,
)
from shaletiller.messages.endpoints import EndpointState, UpdateKind
from shaletiller.messages.events import AttemptEnded, Event, HealthCheckEnded
from shaletiller.messages.outcomes import Outcome
from shaletiller.settings.model import Idempotency, Settings
from tests.support.scheduler_host import SAFE, entry, settings

CALL = ClientCall("r1", "read", "basic", "v1", "x", 2.0, 0, 1, 400.0, False, "GET", "/api?key=x")
WRITE = msgspec.structs.replace(CALL, id="w1", request_class="write", write=True)
UNSAFE = replace(SAFE, name="write", effect=Idempotency.UNSAFE)


class ScriptedUpstream:
    """An upstream client whose attempts end when the test sets their results."""

    def __init__(self) -> None:
        self.attempts: list[asyncio.Future[AttemptResult]] = []
        self.closed = 0

    async def attempt(
        self,
        address: str,
        call: ClientCall,
        timeout_ms: float,
        start_within_ms: float = math.inf,
        progress: ResponseProgress | None = None,
    ) -> AttemptResult:
        self.attempts.append(asyncio.get_running_loop().create_future())
        return await self.attempts[-1]

    async def probe(self, address: str) -> AttemptResult:
        return AttemptResult(Outcome.OK)

    def apply_settings(self, settings: Settings) -> None: ...

    def close_idle(self, address: str) -> None:
        self.closed += 1

    async def close(self) -> None: ...


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = SettableClock(1000.0)
        self.upstream = ScriptedUpstream()
        known = settings(
            classes=(SAFE, UNSAFE), cancellation_allowed=True, max_attempts=3, health_checks_allowed=True
        )
        self.engine = Engine(known, 1, self.clock)
        self.engine.update_endpoints(UpdateKind.FULL, 1, (Endpoint(entry(), "a:1", self.upstream),))
        self.responses: list[FinalResponse] = []
        self.events: list[Event] = []
        handle = self.engine._scheduler.handle

        def record(now_ms: float, event: Event) -> list[Action]:
            self.events.append(event)
            return handle(now_ms, event)

        self.engine._scheduler.handle = record  # type: ignore[method-assign]

    async def submit(self, call: ClientCall) -> Exchange:
        exchange = self.engine.submit(call, self.responses.append)
        await self.settle()
        return exchange

    async def settle(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    def outcomes(self) -> list[Outcome]:
        return [event.outcome for event in self.events if isinstance(event, AttemptEnded)]

    async def test_served(self) -> None:
        """A client sends a request and the node responds after 30 ms.

        The client receives the node's body, and the scheduler is notified of the latency.
        """
        await self.submit(CALL)
        self.clock.advance(30)
        self.upstream.attempts[0].set_result(AttemptResult(Outcome.OK, b"data", usage_percent_plus_one=87))
        await self.settle()
        self.assertEqual(self.responses, [FinalResponse(FinalResult.SERVED, b"data")])
        (ended,) = (event for event in self.events if isinstance(event, AttemptEnded))
        self.assertEqual(
            (ended.latency_ms, ended.request_finished, ended.usage_percent_plus_one), (30.0, True, 87)
        )

    async def test_a_request_that_has_waited_is_not_sent_for_a_client_that_has_left(self) -> None:
        """Guards against an attempt for a client whose close a process short of CPU has not read yet."""
        self.engine.update_endpoints(UpdateKind.FULL, 2, ())
        exchange = await self.submit(WRITE)
        exchange.has_client_left = lambda: True
        self.clock.advance(50)
        self.engine.update_endpoints(UpdateKind.FULL, 3, (Endpoint(entry(), "a:1", self.upstream),))
        self.clock.advance(50)
        await self.settle()
        self.assertEqual((self.upstream.attempts, self.engine.exchanges, self.responses), ([], {}, []))
        self.assertEqual((self.engine.counters["left"], self.outcomes()), (1, [Outcome.NOT_SENT]))
        await self.submit(WRITE)  # its id has not run

    async def test_a_silent_node_times_out_at_the_deadline_with_one_outcome(self) -> None:
        """A node never responds to a write.

        At its deadline and not before, the write fails once and its attempt is cancelled.
        """
        await self.submit(WRITE)
        self.clock.advance(399)
        await self.settle()
        self.assertEqual(self.responses, [])
        self.clock.advance(1)
        await self.settle()
        self.assertEqual(self.responses, [FinalResponse(FinalResult.FAILED)])
        self.assertEqual(self.outcomes(), [Outcome.TIMEOUT])
        self.assertTrue(self.upstream.attempts[0].cancelled())

    async def test_an_attempt_cancelled_before_its_first_step_still_has_its_outcome(self) -> None:
        """A client disconnects before the task of the attempt has started.

        The attempt is recorded as cancelled.
        """
        exchange = self.engine.submit(WRITE, self.responses.append)
        self.engine.on_client_disconnected(exchange)
        await self.settle()
        self.assertEqual(self.outcomes(), [Outcome.CANCELLED])
        self.assertEqual(self.engine.attempts.in_flight, {})

    async def test_a_response_that_may_not_begin_is_no_failure_of_its_node(self) -> None:
        """A node's response is long, and memory is spent.

        The read is rejected and the write fails, each after one attempt, and the node has served both.
        Guards against a node that serves such a request three times, and is taken for one that fails.
        """
        for call, result in ((CALL, FinalResult.REJECTED), (WRITE, FinalResult.FAILED)):
            stream = unittest.mock.Mock(spec=BodyStream)
            self.engine._record._may_begin_stream = lambda: False
            await self.submit(call)
            self.upstream.attempts[-1].set_result(AttemptResult(Outcome.OK, b"begin", stream=stream))
            await self.settle()
            self.assertEqual(self.responses.pop(), FinalResponse(result))
            stream.close.assert_called_once()
        self.assertEqual((len(self.upstream.attempts), self.outcomes()), (2, [Outcome.OK] * 2))
        (upstream,) = self.engine._scheduler.endpoints.upstreams()
        self.assertEqual(upstream.failed_units.rate(self.clock.now_ms()), 0)
        lines = stats_lines(self.engine.counters, [], {})
        for name in ("declined", "aborted"):
            self.assertIn(f"edge.reasons.{name}.response_not_begun=1", lines)

    async def test_an_upstream_client_that_fails_counts_as_a_reset(self) -> None:
        """An upstream client raises an unexpected exception.

        The node may have executed the write: the attempt is recorded as reset and the write fails.
        """
        await self.submit(WRITE)
        self.upstream.attempts[0].set_exception(RuntimeError("broken on purpose"))
        await self.settle()
        self.assertEqual(
            (self.outcomes(), self.responses), ([Outcome.RESET], [FinalResponse(FinalResult.FAILED)])
        )

    async def test_no_second_attempt_while_one_is_in_flight(self) -> None:
        """The scheduler sends a second attempt while one is in flight, which the settings do not allow."""
        await self.submit(CALL)
        self.engine._send_attempt(SendAttempt("r1", "n1"))
        await self.settle()
        self.assertEqual((len(self.upstream.attempts), self.outcomes()), (1, [Outcome.NOT_SENT]))

    async def test_a_send_to_another_shard_or_an_unknown_node_is_moot(self) -> None:
        """The scheduler selects a node of another shard, and one that is not listed: nothing is sent."""
        await self.submit(msgspec.structs.replace(CALL, shard=7))
        self.engine._send_attempt(SendAttempt("r1", "n1"))
        self.engine._send_attempt(SendAttempt("r1", "n9"))
        await self.settle()
        self.assertEqual((self.upstream.attempts, self.outcomes()), ([], [Outcome.NOT_SENT] * 2))

    async def test_the_first_final_response_is_the_only_one(self) -> None:
        """A request is rejected, then failed, then served: the client receives only the first response."""
        await self.submit(CALL)
        self.engine._reject(Reject("r1", 250))
        self.engine._fail(Fail("r1"))
        self.upstream.attempts[0].set_result(AttemptResult(Outcome.OK, b"late"))
        await self.settle()
        self.assertEqual(self.responses, [FinalResponse(FinalResult.REJECTED, retry_after_ms=250)])

    async def test_the_deadline_guard_fails_a_write_that_may_have_run_and_rejects_one_that_did_not(
        self,
    ) -> None:
        """The scheduler returns no more actions.

        The deadline guard fails the write that was sent and rejects the write that was not sent.
        """
        await self.submit(WRITE)
        await self.submit(msgspec.structs.replace(WRITE, id="w2", shard=5))
        self.engine._scheduler.handle = lambda now_ms, event: []  # type: ignore[method-assign]
        self.clock.advance(420)
        await self.settle()
        self.assertEqual(
            [response.result for response in self.responses], [FinalResult.FAILED, FinalResult.REJECTED]
        )

    async def test_each_rejection_and_failure_is_counted_by_its_reason(self) -> None:
        """The scheduler rejects one request and then fails it; the deadline guard ends another one.

        Each request is counted once, with its reason.  Guards against rejections without a known reason.
        """
        await self.submit(CALL)
        self.engine._reject(Reject("r1", 250, GiveUpReason.LATE))
        self.engine._fail(Fail("r1", GiveUpReason.DEADLINE))
        await self.submit(WRITE)
        self.engine._scheduler.handle = lambda now_ms, event: []  # type: ignore[method-assign]
        self.clock.advance(420)
        await self.settle()
        lines = stats_lines(self.engine.counters, [], {})
        self.assertEqual(
            [line for line in lines if line.startswith("edge.reasons.")],
            ["edge.reasons.aborted.deadline_guard=1", "edge.reasons.declined.late=1"],
        )

    async def test_rounds_go_on_after_one_in_which_the_scheduler_failed(self) -> None:
        """The scheduler raises an exception once, in a round in which a request waits for its retry.

        The retry must be sent in the next round.  Guards against a gateway that runs no further rounds.
        """
        await self.submit(CALL)
        self.upstream.attempts[0].set_result(AttemptResult(Outcome.FULL))
        await self.settle()
        scheduler = self.engine._scheduler
        with unittest.mock.patch.object(type(scheduler.threshold), "update", side_effect=ValueError("once")):
            self.clock.advance(scheduler.state.next_round_ms - self.clock.now_ms())
            await self.settle()
        self.assertEqual(len(self.upstream.attempts), 1)
        self.clock.advance(scheduler.state.site.round_ms)
        await self.settle()
        self.assertEqual(len(self.upstream.attempts), 2)
        self.assertIn("edge.scheduler_failures=1", stats_lines(self.engine.counters, [], {}))

    async def test_a_send_for_a_request_that_has_ended_gives_its_slot_back(self) -> None:
        """A client disconnects after the decision to send its retry, before the retry is sent.

        Guards against nodes whose capacity is occupied by requests that were never sent.
        """
        exchange = await self.submit(CALL)
        self.upstream.attempts[0].set_result(AttemptResult(Outcome.FULL))
        await self.settle()
        state, start_timer = self.engine._scheduler.state, self.engine._action_handlers[StartTimer]

        def disconnect_first(action: StartTimer) -> None:
            self.engine.on_client_disconnected(exchange)
            start_timer(action)

        self.engine._action_handlers[StartTimer] = disconnect_first
        self.clock.advance(state.next_round_ms - self.clock.now_ms())
        await self.settle()
        self.assertEqual((len(self.upstream.attempts), state.attempts, state.pending), (1, {}, {}))
        (upstream,) = self.engine._scheduler.endpoints.upstreams()
        self.assertEqual(upstream.in_flight_units, 0)
        self.engine._scheduler.validate_state()

    async def test_a_request_at_which_the_scheduler_fails_is_rejected_at_once(self) -> None:
        """The scheduler raises an exception at the arrival of a write.

        The write was not sent and is rejected once.  Guards against clients that wait until their deadline
        after a failure of the scheduler.
        """
        admission = type(self.engine._scheduler.admission)
        with unittest.mock.patch.object(admission, "admit", side_effect=ValueError("once")):
            await self.submit(WRITE)
        self.assertEqual(self.responses, [FinalResponse(FinalResult.REJECTED)])
        self.clock.advance(1000)
        await self.settle()
        self.assertEqual((len(self.responses), self.engine._scheduler.state.pending), (1, {}))
        self.assertIn("edge.reasons.declined.scheduler_failed=1", stats_lines(self.engine.counters, [], {}))

    async def test_the_result_of_a_health_check_is_an_event(self) -> None:
        """The scheduler starts a health check and is notified of its result."""
        self.engine._send_health_check(SendHealthCheck("n1"))
        await self.settle()
        self.assertIn(HealthCheckEnded("n1", Outcome.OK, 0.0), self.events)

    async def test_a_draining_nodes_idle_connections_stay_until_it_is_gone(self) -> None:
        """A node drains and then leaves the list: its idle connections are closed only when it leaves."""
        for state, closed in ((EndpointState.DRAINING, 0), (EndpointState.GONE, 1)):
            self.engine.update_endpoints(
                UpdateKind.CHANGES, 2, (Endpoint(entry(state=state), "a:1", self.upstream),)
            )
            self.assertEqual(self.upstream.closed, closed)

    async def test_a_departed_node_is_removed_with_its_connections(self) -> None:
        """Fifty nodes join and leave the endpoint list one after the other.

        Only the listed nodes are kept; the idle connections of all others are closed.
        """
        for number in range(50):
            new = Endpoint(entry(f"m{number}"), f"b:{number}", self.upstream)
            gone = Endpoint(entry(f"m{number - 1}", state=EndpointState.GONE), "", self.upstream)
            self.engine.update_endpoints(UpdateKind.CHANGES, number, (new, gone))
        self.assertEqual(set(self.engine.routes._endpoints), {"n1", "m49"})
        self.engine.update_endpoints(UpdateKind.FAILED, 0, ())
        self.engine.update_endpoints(UpdateKind.FULL, 50, (new,))
        self.assertEqual((set(self.engine.routes._endpoints), self.upstream.closed), ({"m49"}, 50))

    async def test_an_id_is_not_accepted_again_while_an_attempt_of_it_is_in_flight(self) -> None:
        """A request is rejected while its attempt is in flight, and another request has the same id.

        Until the attempt has ended, the other request is a bad request: the outcome of the attempt would be
        attributed to it.  Afterwards only a request that reads may run again.
        """
        for call, may_run_again in ((CALL, True), (WRITE, False)):
            with self.subTest(call.id):
                attempts = len(self.upstream.attempts)
                await self.submit(call)
                self.engine._reject(Reject(call.id))
                with self.assertRaises(BadRequestError):
                    self.engine.submit(copy.copy(call), self.responses.append)
                self.upstream.attempts[attempts].set_result(AttemptResult(Outcome.OK))
                await self.settle()
                if may_run_again:
                    await self.submit(call)
                else:
                    with self.assertRaises(BadRequestError):
                        self.engine.submit(copy.copy(call), self.responses.append)
                self.assertEqual(len(self.upstream.attempts), attempts + 1 + may_run_again)


class ClockTest(unittest.TestCase):
    def test_timers_come_due_in_order_and_a_cancelled_one_does_not(self) -> None:
        clock, seen = SettableClock(5.0), []
        clock.call_later(20, seen.append, "b")
        clock.call_later(10, lambda: clock.call_later(5, seen.append, "a"))
        clock.call_later(12, seen.append, "never").cancel()
        clock.advance(30)
        self.assertEqual((seen, clock.now_ms()), (["a", "b"], 35.0))
