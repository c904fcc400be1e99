"""The state machine of client connections, the accept queue, and the backoff, each on its own."""

from __future__ import annotations

import random
import socket
import unittest.mock
from collections.abc import Iterator

import pytest

from shaletiller.clock import SettableClock
from shaletiller.net import connection_limits as limits
from shaletiller.net.backoff import FullJitterBackoff
from shaletiller.net.client_connection import TRANSITIONS, ConnectionEvent, ConnectionState
from shaletiller.net.connection_table import EVICTABLE_AFTER_MS, ConnectionTable
from shaletiller.net.discovery import WatchFreshness
from shaletiller.net.errors import RequestExpiredError
from shaletiller.net.http_request import find_request_class, parse_request
from shaletiller.net.overload_control import AcceptedSocket, AcceptQueue, OverloadControl


def test_every_state_is_reachable_and_may_be_closed() -> None:
    """A state that no event leads to, or that a close does not leave, would hold its place for good."""
    reachable = {ConnectionState.NEW} | {state for row in TRANSITIONS.values() for state in row.values()}
    assert set(TRANSITIONS) == reachable == set(ConnectionState)
    for state in set(ConnectionState) - {ConnectionState.HALF_CLOSED}:
        assert TRANSITIONS[state][ConnectionEvent.WRITE_SIDE_CLOSED] is ConnectionState.HALF_CLOSED


def test_nothing_leaves_the_half_closed_state() -> None:
    """A request read after the write side is closed could neither be answered nor be retried."""
    assert not TRANSITIONS[ConnectionState.HALF_CLOSED]


def test_only_states_without_a_pending_response_may_be_evicted() -> None:
    """An eviction in another state would lose a response, or a request that is being received."""
    assert set(EVICTABLE_AFTER_MS) == {
        ConnectionState.NEW,
        ConnectionState.IDLE,
        ConnectionState.LINGERING,
    }


def connection(state: ConnectionState, since_ms: float) -> unittest.mock.Mock:
    return unittest.mock.Mock(state=state, state_since_ms=since_ms, transport=None)


def test_the_oldest_evictable_connection_gives_way_and_idle_ones_last() -> None:
    """The limit is reached by connections in several states.

    A half-closed one must be evicted first, then silent and lingering ones, then idle ones, the oldest first;
    one whose response is pending must stay.
    """
    table = ConnectionTable(8)
    active = connection(ConnectionState.ACTIVE, 0.0)
    idle, older_idle = connection(ConnectionState.IDLE, 20.0), connection(ConnectionState.IDLE, 10.0)
    silent, half_closed = connection(ConnectionState.NEW, 30.0), connection(ConnectionState.IDLE, 40.0)
    for each in (active, idle, older_idle, silent, half_closed):
        table.add(each)
    table.half_close(half_closed)
    for expected in (half_closed, silent, older_idle, idle):
        assert table.evict(10_000.0)
        expected.force_close.assert_called_once_with()
    assert not table.evict(10_000.0)
    assert list(table.open) == [active]


@pytest.mark.parametrize(
    ("state", "timeout_ms"),
    [
        (ConnectionState.READING_HEAD, limits.REQUEST_TIMEOUT_MS),
        (ConnectionState.NEW, limits.REQUEST_TIMEOUT_MS),
        (ConnectionState.IDLE, limits.IDLE_TIMEOUT_MS),
        (ConnectionState.ACTIVE, None),
        (ConnectionState.LINGERING, None),
    ],
)
def test_a_connection_times_out_by_its_state(state: ConnectionState, timeout_ms: float | None) -> None:
    """A connection that sends no request in time must end, and one whose response is pending must not."""
    table, each = ConnectionTable(8), connection(state, 0.0)
    table.add(each)
    table.time_out((timeout_ms or 1e9) - 1.0 if timeout_ms else 1e9, draining=False)
    each.time_out.assert_not_called()
    if timeout_ms:
        table.time_out(timeout_ms, draining=False)
        each.time_out.assert_called_once_with()


def test_draining_ends_idle_connections_without_delay() -> None:
    """A client might keep its idle connection to a draining gateway for any time."""
    table, idle = ConnectionTable(8), connection(ConnectionState.IDLE, 0.0)
    table.add(idle)
    table.time_out(1.0, draining=True)
    idle.time_out.assert_called_once_with()


def queue_of(pairs: list[tuple[socket.socket, socket.socket]]) -> AcceptQueue:
    queue = AcceptQueue()
    for number, (_, server) in enumerate(pairs):
        server.setblocking(False)
        queue.push(AcceptedSocket(float(number), server))
    return queue


@pytest.fixture
def pairs() -> Iterator[list[tuple[socket.socket, socket.socket]]]:
    """Six connections: the client's socket and the server's."""
    found = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        for _ in range(6):
            client = socket.create_connection(server.getsockname(), 3.0)
            found.append((client, server.accept()[0]))
    yield found
    for client, accepted in found:
        client.close()
        accepted.close()


def test_the_newest_and_the_oldest_are_started_in_turn(
    pairs: list[tuple[socket.socket, socket.socket]],
) -> None:
    """Connections queue up faster than they are started.

    Newest and oldest are started in turn, a few at once; under overload only the newest, for the clients of
    the others have given up, or are about to.
    """
    queue = queue_of(pairs)
    assert [accepted.since_ms for accepted in queue.take_batch(overloaded=False)] == [5.0, 0.0, 4.0, 1.0]
    queue = queue_of(pairs)
    assert [accepted.since_ms for accepted in queue.take_batch(overloaded=True)] == [5.0, 4.0, 3.0, 2.0]


def test_only_a_standing_queue_is_an_overload() -> None:
    """A queue that empties now and then keeps up, however many connections pass through it."""
    queue = AcceptQueue()
    client, server = socket.socketpair()
    queue.push(AcceptedSocket(0.0, server))
    queue.update_backlog(0.0)
    assert not queue.is_overloaded(limits.OVERLOAD_AFTER_MS - 1.0)
    assert queue.is_overloaded(limits.OVERLOAD_AFTER_MS)
    queue.pop()
    queue.update_backlog(limits.OVERLOAD_AFTER_MS)
    assert not queue.is_overloaded(limits.OVERLOAD_AFTER_MS * 9)
    client.close()
    server.close()


def test_stale_connections_are_rejected_and_silent_ones_stay_for_a_while(
    pairs: list[tuple[socket.socket, socket.socket]],
) -> None:
    """Under overload the queue holds a request, a health check, a silent client and one that has left.

    The request must be rejected and counted, the health check handed back to be started, the silent client
    kept until it may be evicted, and the client that has left closed.
    """
    clock, rejected = SettableClock(), []
    control = OverloadControl(clock, lambda: True, rejected.append)
    queue = queue_of(pairs[:4])
    request = b"PUT /api?key=5 HTTP/1.1\r\nRequest-Class: write\r\n"
    pairs[0][0].sendall(request)
    pairs[1][0].sendall(b"GET /up HTTP/1.1\r\n\r\n")
    pairs[3][0].close()
    started = list(control.reject_stale(queue, 100.0))
    assert [accepted.sock for accepted in started] == [pairs[1][1]]
    assert rejected == [request]
    assert pairs[0][0].recv(9999).startswith(b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\n")
    assert pairs[0][0].recv(1) == b""
    assert len(queue) == 1
    assert queue.pop().sock is pairs[2][1]
    assert pairs[3][1].fileno() == -1
    assert len(control) == 1
    control.close_half_closed(limits.HALF_CLOSE_TIMEOUT_MS)
    assert len(control) == 0
    assert pairs[0][1].fileno() == -1


def test_the_backoff_is_random_up_to_a_bound_that_doubles() -> None:
    """Gateways that fail together must not call again together, nor ever wait for longer than the bound."""
    backoff, seed_only = FullJitterBackoff(50.0, 7), random.Random(7)
    for failures, bound_ms in ((0, 50.0), (1, 100.0), (3, 400.0), (9, 2_000.0), (999, 2_000.0)):
        assert backoff.delay_ms(failures, 2_000.0) == seed_only.uniform(0.0, bound_ms)


def test_a_change_counts_as_announced_since_the_agent_last_told_everything() -> None:
    """A watch breaks, times out, and moves to another agent.

    A change that arrives next may be as old as the gap; taken for new, a drain would get too long a grace
    period and requests would go to a node that has left.
    """
    freshness = WatchFreshness()
    assert freshness.max_age_ms(1_000.0) == float("inf")  # announced to the process before this one, perhaps
    freshness.on_failure(500.0, timed_out=True)
    assert freshness.max_age_ms(1_000.0) == float("inf")  # this agent has never responded
    freshness.on_response(1_000.0)
    assert freshness.max_age_ms(5_000.0) == 0.0
    freshness.on_failure(1_000.0, timed_out=False)
    assert freshness.max_age_ms(1_500.0) == 500.0
    freshness.on_failure(1_200.0, timed_out=True)  # what the agent had as the call began it would have told
    assert freshness.max_age_ms(1_500.0) == 300.0
    freshness.on_agent_changed(1_600.0)
    assert freshness.max_age_ms(2_000.0) == 400.0


def test_a_request_that_waited_past_its_timeout_is_expired() -> None:
    """A pipelined request has waited behind another for its whole timeout; no node may get it."""
    head = unittest.mock.Mock(path="/api?key=0000000000000005", method="GET")
    values = {
        "IO-Info": "volume=00000003b4d60021,units=2,shard=1,hosts=1",
        "Request-Id": "a",
        "Request-Timeout-Ms": "300",
        "Request-Class": "read",
        "Tier": "basic",
    }
    head.headers = unittest.mock.MagicMock()
    head.headers.getall = lambda name, default: [values[name]]
    head.headers.__contains__ = lambda headers, name: name in values
    head.headers.get = values.get
    assert parse_request(head, b"", 299.0).timeout_ms == 1.0
    assert parse_request(head, b"", 0.0, 100.0).timeout_ms == 100.0
    with pytest.raises(RequestExpiredError):
        parse_request(head, b"", 300.0)


def test_the_class_of_an_unparsed_request_is_found_in_its_first_bytes() -> None:
    """A rejection is counted for the class that the request names, if it names one."""
    assert find_request_class(b"GET / HTTP/1.1\r\nrequest-class:  read\r\n") == "read"
    assert find_request_class(b"GET / HTTP/1.1\r\nRequest-Cl") == ""
