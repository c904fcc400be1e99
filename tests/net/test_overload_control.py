"""Tests of the accept queue, and of rejections without parsing the request."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from shaletiller.clock import SettableClock
from shaletiller.net import connection_limits as limits
from shaletiller.net.overload_control import AcceptedSocket, AcceptQueue, OverloadControl


def make_queue(pairs: list[tuple[socket.socket, socket.socket]]) -> AcceptQueue:
    queue = AcceptQueue()
    for number, (_, server) in enumerate(pairs):
        server.setblocking(False)
        queue.push(AcceptedSocket(float(number), server))
    return queue


@pytest.fixture
def pairs() -> Iterator[list[tuple[socket.socket, socket.socket]]]:
    """Six connections, each as the sockets of its client and its server."""
    sockets = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        for _ in range(6):
            client = socket.create_connection(server.getsockname(), 3.0)
            sockets.append((client, server.accept()[0]))
    yield sockets
    for client, accepted in sockets:
        client.close()
        accepted.close()


def test_the_newest_and_the_oldest_are_started_in_turn(
    pairs: list[tuple[socket.socket, socket.socket]],
) -> None:
    """Connections are queued faster than they are started.

    The newest and the oldest must be started alternately, a few at a time; under overload only the newest,
    because the clients of old connections have timed out or are about to.
    """
    queue = make_queue(pairs)
    assert [accepted.since_ms for accepted in queue.take_batch(overloaded=False)] == [5.0, 0.0, 4.0, 1.0]
    queue = make_queue(pairs)
    assert [accepted.since_ms for accepted in queue.take_batch(overloaded=True)] == [5.0, 4.0, 3.0, 2.0]


def test_only_a_standing_queue_is_an_overload() -> None:
    """A queue that becomes empty regularly is not overloaded, however many connections pass through it."""
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
    """Under overload, the queue contains a request, a health check, a silent client and a closed connection.

    The request must be rejected and counted, the health check returned to be started, the silent client kept
    in the queue until it may be evicted, and the closed connection removed.
    """
    clock, rejected = SettableClock(), []
    control = OverloadControl(clock, lambda: True, rejected.append)
    queue = make_queue(pairs[:4])
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
