"""Tests of failures of nodes and discovery: truncated responses, broken connections, reloads, late lists."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import os
import socket
import time
import unittest.mock
from typing import Any, ClassVar

from shaletiller.config import read_config, read_config_again
from shaletiller.gateway import Gateway
from shaletiller.messages.actions import SendAttempt
from shaletiller.messages.endpoints import EndpointState
from shaletiller.messages.events import EndpointListUpdate
from shaletiller.messages.outcomes import Outcome
from shaletiller.settings.model import DeduplicationScope, Idempotency
from tests.net.test_endings import (
    PATCH,
    RaceScenario,
    RawClient,
    encode_request,
    reset,
    reset_stream,
    wait_until,
)
from tests.support.scenario import SETTINGS, TIMEOUT_S, VOLUME, Server
from tests.support.scheduler_host import SAFE, ScriptedGateway

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
KEYED = {
    **SETTINGS["classes"][1],
    "name": "keyed",
    "effect": "idempotency_key",
    "dedup-scope": "all",
    "key-ttl-ms": 2500.0,
}
DOMAIN = {**SETTINGS["domain"], "writes": [False, True, True]}
EFFECTS: dict[str, Any] = {**SETTINGS, "classes": [*SETTINGS["classes"], KEYED], "domain": DOMAIN}
# A request of each effect, and its status if it may have run and a retry, if allowed, is served.
REQUEST_OF_EFFECT = {
    "read": (encode_request(1), 200),
    "write": (encode_request(2, "PUT", b"x"), 502),
    "keyed": (encode_request(3, "PUT", b"x", Request_Class="keyed", Idempotency_Key="k"), 200),
}


# A part of a body by the framing of its response: known length, chunked, until close.
BEGUN_BODIES = (b"half", b"4\r\nhalf\r\n", b"half")


class TruncatedResponses(RaceScenario):
    """Responses of nodes that end too early."""

    settings: ClassVar[dict[str, Any]] = EFFECTS

    async def next_attempt(self) -> tuple[str, Any]:
        first, *_, writer, _ = await self.parties["n1"].next()
        return first, writer

    async def check_early_end(self, raw: bytes, end: str, request: bytes, expected_status: int) -> None:
        """Send `raw` to the first attempt and end its connection; serve a second attempt if one is expected.

        :param end: how the connection ends: "reset" or "end".
        :param expected_status: status of the response to the client.
        """
        client = await self.connect_client()
        client.send(request.replace(b"Request-Id: ", b"Request-Id: %d-" % self.count()))
        _, writer = await self.next_attempt()
        writer.write(raw)
        await writer.drain()
        if end == "reset":
            reset_stream(writer)
        elif end == "end":
            writer.close()
        if expected_status == 200:
            _, writer = await self.next_attempt()
            writer.write(ANSWER)
        status, body = await client.read_response()
        self.assertEqual((status, body == b"body"), (expected_status, expected_status == 200))
        self.assertEqual(self.requests_received, 0)
        client.close()

    async def test_a_response_truncated_at_any_byte_is_not_forwarded(self) -> None:
        """A node closes or resets its connection after any number of bytes of the response.

        No part of the response may reach the client: a read is retried, a write fails with a 502.
        """
        for end in ("reset", "end"):
            for size in range(len(ANSWER)):
                with self.subTest(end=end, size=size):
                    for name in ("read", "write"):
                        await self.check_early_end(ANSWER[:size], end, *REQUEST_OF_EFFECT[name])
        await wait_until(lambda: not self.gateway.engine.attempts.in_flight, "the end of all attempts")

    async def test_a_reset_response_without_a_length_is_not_forwarded(self) -> None:
        """A node sends a response without a Content-Length and resets the connection.

        The end of the response is unknown, so no part of it may reach the client.
        """
        raw = b"HTTP/1.1 200 OK\r\nServer: a\r\n\r\nbody"
        for size in range(len(raw) - 8, len(raw) + 1):
            with self.subTest(size=size):
                await self.check_early_end(raw[:size], "reset", *REQUEST_OF_EFFECT["read"])
                await self.check_early_end(raw[:size], "reset", *REQUEST_OF_EFFECT["write"])

    async def test_a_truncated_chunked_response_is_not_forwarded(self) -> None:
        """A node resets its connection within a chunked response.

        No part of the response may reach the client.
        """
        raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        for size in range(raw.index(b"4\r\n"), len(raw), 3):
            with self.subTest(size=size):
                await self.check_early_end(raw[:size], "reset", *REQUEST_OF_EFFECT["read"])

    async def test_a_failure_after_the_last_byte_may_have_run(self) -> None:
        """A new or reused connection breaks after the complete request was written.

        The request may have run: reads and writes with a key are retried, other writes must fail with a 502.
        """
        for reused in (False, True):
            for name, (request, expected_status) in REQUEST_OF_EFFECT.items():
                with self.subTest(reused=reused, effect=name):
                    if reused:
                        client = await self.connect_client()
                        await self.serve_request(client, 9)
                        client.close()
                        await asyncio.sleep(0.03)  # wait until the connection may be reused
                    await self.check_early_end(b"", "reset", request, expected_status)

    async def test_a_failure_before_the_last_byte_has_not_run(self) -> None:
        """A node reads part of a large body and resets the connection.

        The request cannot have run, so it must be retried, even if it is a non-idempotent write.
        """
        body = b"z" * 60000
        for name in ("write", "keyed"):
            with self.subTest(effect=name):
                node = self.parties["n1"]
                serve, pending_reset = node.serve, [True]

                async def reset_first_connection(
                    reader: Any, writer: Any, serve: Any = serve, pending_reset: Any = pending_reset
                ) -> None:
                    if pending_reset:
                        pending_reset.pop()
                        await reader.readexactly(2000)
                        reset_stream(writer)
                        return
                    await serve(reader, writer)

                # The node has small buffers, so that the complete request cannot be written before the reset.
                node.server.close()
                for old_writer in node.writers:
                    old_writer.transport.abort()
                small = socket.socket()
                small.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                small.bind(("127.0.0.1", node.port))
                node.server = await asyncio.start_server(reset_first_connection, sock=small, limit=1024)
                client = await self.connect_client()
                headers = {"Request_Class": name} | ({"Idempotency_Key": "k"} if name == "keyed" else {})
                with PATCH("shaletiller.net.http_upstream.split_last_byte", self.split_last_byte_slowly):
                    client.send(encode_request(5, "PUT", body, **headers))
                    _, _, received, writer, _ = await node.next()
                self.assertEqual(len(received), len(body))
                writer.write(ANSWER)
                self.assertEqual(await client.read_response(), (200, b"body"))
                self.assertEqual(
                    self.gateway.engine.counters["attempt.connect_failed"], 1 if name == "write" else 2
                )
                client.close()

    @staticmethod
    async def split_last_byte_slowly(body: bytes, progress: Any) -> Any:
        """Yield the body, and its last byte after a delay in which the node resets the connection."""
        yield body[:-1]
        await asyncio.sleep(0.2)
        progress.last_byte_written = True
        yield body[-1:]

    async def test_a_response_that_stops_half_way_is_broken_off_and_ends_its_connection(self) -> None:
        """A node sends the head and a part of its response to a write, and stops.

        Nothing can replace the response, so the client gets it as far as it has come.  When the node has been
        silent for its time, the client sees the break, and the connection to the node is closed.
        """
        heads = (b"Content-Length: 99\r\n", b"Transfer-Encoding: chunked\r\n", b"")
        for name, (head, body) in itertools.product(("read", "write"), zip(heads, BEGUN_BODIES, strict=True)):
            with (
                self.subTest(name, head=head),
                PATCH("shaletiller.net.upstream_body.NODE_SILENCE_TIMEOUT_MS", 99),
            ):
                client = await self.connect_client()
                request = REQUEST_OF_EFFECT[name][0]
                client.send(request.replace(b"Request-Id: ", b"Request-Id: %d-" % self.count()))
                _, writer = await self.next_attempt()
                writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body)
                with self.assertRaises(ConnectionResetError):
                    while await client.read():
                        pass
                self.assertTrue(client.buffer.startswith(b"HTTP/1.1 200 "), client.buffer)
                self.assertIn(b"half", client.buffer)
                self.assertFalse(client.buffer.endswith(b"0\r\n\r\n"))
                await wait_until(writer.transport.is_closing, "the connection to be closed")
                self.assertEqual(self.requests_received, 0)

    async def test_a_duplicate_response_some_milliseconds_later_reaches_no_one(self) -> None:
        """A node sends its response twice, up to the end of the time in which its connection is not reused.

        The next request must not use this connection, nor get the second copy as its response.
        """
        pool = self.gateway._http._session().connector
        for wait_s in (0.0, 0.005, 0.009):
            with self.subTest(wait_s=wait_s):
                client = await self.connect_client()
                client.send(encode_request(1))
                _, writer = await self.next_attempt()
                writer.write(ANSWER)
                self.assertEqual(await client.read_response(), (200, b"body"))
                await wait_until(lambda: pool._conns, "the connection to be idle")
                released_s = next(iter(pool._conns.values()))[0][1]
                now = unittest.mock.Mock(monotonic=lambda now_s=released_s + wait_s: now_s)
                with PATCH("shaletiller.net.pool.time", now):
                    client.send(encode_request(4, "PUT", b"x"))  # it must not use the old connection
                    _, second = await self.next_attempt()
                self.assertIsNot(writer, second)
                writer.write(ANSWER)
                second.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
                self.assertEqual(await client.read_response(), (200, b"own"))
                client.close()
                self.gateway._http.close_idle(f"127.0.0.1:{self.parties['n1'].port}")

    async def test_input_on_an_idle_connection_as_it_is_taken_retires_it(self) -> None:
        """Part of a status line arrives on an idle connection while it is taken from the pool.

        The request must use another connection, and the old one must be closed.
        """
        pool = self.gateway._http._session().connector
        client = await self.connect_client()
        client.send(encode_request(1))
        _, writer = await self.next_attempt()
        writer.write(ANSWER)
        await client.read_response()
        await asyncio.sleep(0.03)
        # Half a line arrives in the kernel while the connection is taken, before the request is written.
        self.hook_call(
            pool, "_is_clean", lambda: os.write(writer.get_extra_info("socket").fileno(), b"HTTP/1.1 20")
        )
        client.send(encode_request(2, "PUT", b"x"))
        _, second = await self.next_attempt()
        self.assertIsNot(writer, second)
        second.write(ANSWER)
        self.assertEqual((await client.read_response())[0], 200)
        await wait_until(writer.transport.is_closing, "the old connection to be closed")

    async def test_half_a_second_response_is_not_completed_for_the_next_request(self) -> None:
        """A node sends half of a second response behind its response, and the rest after the next request.

        Guards against a stale response that is put together and taken for the one to that request.
        """
        stale = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
        client = await self.connect_client()
        for number in (1, 2):  # on a new connection, then on the same one from the pool
            client.send(encode_request(number))
            _, writer = await self.next_attempt()
            writer.write(ANSWER + stale[:20] if number == 2 else ANSWER)
            self.assertEqual(await client.read_response(), (200, b"body"))
            await asyncio.sleep(0.03)  # wait until the connection may be reused
        client.send(encode_request(3))
        _, third = await self.next_attempt()
        third.write(stale[20:])
        if third is writer:
            _, third = await self.next_attempt()
        third.write(ANSWER)
        self.assertEqual(await client.read_response(), (200, b"body"))

    async def test_a_request_abandoned_with_unsent_bytes_is_never_completed(self) -> None:
        """A node does not read, so the end of a request is still unsent when its client gets a 502.

        The node must never get the rest, or it would run a write that was reported as failed.
        """
        node = self.parties["n1"]
        node.server.close()
        small = socket.socket()
        small.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        small.bind(("127.0.0.1", node.port))
        small.listen()
        small.setblocking(False)
        create_connection = self.gateway._http._session().connector._create_connection

        async def create_with_small_buffer(*values: Any, **named: Any) -> Any:
            protocol = await create_connection(*values, **named)
            sock = protocol.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1024)
            return protocol

        client = await self.connect_client()
        with PATCH.object(
            self.gateway._http._session().connector, "_create_connection", create_with_small_buffer
        ):
            client.send(encode_request(2, "PUT", b"z" * 16000, Request_Timeout_Ms="300"))
            sock, _ = await asyncio.get_running_loop().sock_accept(small)
            self.assertEqual((await client.read_response())[0], 502)
        received, ended = b"", False
        while not ended:
            try:
                data = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65536), TIMEOUT_S)
            except ConnectionResetError:
                data = b""
            received, ended = received + data, not data
        self.assertLess(len(received), 16000)
        sock.close()
        small.close()


class DeduplicationWindows(RaceScenario):
    """Retries just before, at and just after the end of a short deduplication window."""

    def reset_attempt(
        self, reset_ms: float, ttl_ms: float = 300.0, new_ttl_ms: float | None = None
    ) -> tuple[bool, ScriptedGateway]:
        """Reset the attempt of a request with a key.

        :param reset_ms: time of the reset.
        :param ttl_ms: deduplication window at the admission of the request.
        :param new_ttl_ms: deduplication window in settings that are applied after the admission.
        :returns: whether the request was retried, and the gateway.
        """
        keyed = dataclasses.replace(
            SAFE, effect=Idempotency.KEYED, deduplication_scope=DeduplicationScope.ALL, key_ttl_ms=ttl_ms
        )
        host = ScriptedGateway(classes=(keyed,))
        host.request("k")
        if new_ttl_ms is not None:
            host.scheduler.apply_settings(
                dataclasses.replace(
                    host.scheduler.settings, classes=(dataclasses.replace(keyed, key_ttl_ms=new_ttl_ms),)
                )
            )
        host.run_to(reset_ms)
        host.end_attempt("k", Outcome.RESET, request_finished=False)
        host.run_to(reset_ms + 1.0)
        return host.sent().count("k") == 2, host

    async def test_a_retry_inside_at_and_past_the_end(self) -> None:
        """An attempt may have run, and its outcome is known just before, at or after the end of the window.

        A retry may start only until the end of the window, and its time to connect is limited to the rest.
        """
        for ttl_ms, expect_retry in ((201.0, True), (200.0, True), (199.0, False)):
            with self.subTest(ttl_ms=ttl_ms):
                is_retried, host = self.reset_attempt(200.0, ttl_ms)
                self.assertEqual(is_retried, expect_retry)
                if expect_retry:
                    sends = [action for _, action in host.log if isinstance(action, SendAttempt)]
                    self.assertEqual(sends[1].start_within_ms, ttl_ms - 200.0)

    async def test_a_request_in_progress_keeps_its_window_when_the_settings_change(self) -> None:
        """The settings shorten or lengthen the window while a request is in progress.

        The window from the admission of the request must apply.
        """
        self.assertTrue(self.reset_attempt(200.0, new_ttl_ms=100.0)[0])
        self.assertFalse(self.reset_attempt(400.0, new_ttl_ms=900.0)[0])


class ReloadWithRequestsInProgress(RaceScenario):
    """Reloads between the admission of a request and its attempt, and between the attempt and its outcome."""

    settings: ClassVar[dict[str, Any]] = EFFECTS

    def reload_settings(self, **changes: Any) -> None:
        self.config_document["settings"] = {**EFFECTS, **changes}
        self.reload(self.parties["d"].port)

    async def test_requests_in_progress_keep_their_class_and_effect(self) -> None:
        """A reload swaps the effects of two classes and removes a third while requests of them are queued.

        Queued requests must keep the effect from their admission; new requests must use the new settings.
        """
        client, reader = await self.connect_client(), await self.connect_client()
        io_info = f"volume={VOLUME},units=2,shard=3,hosts=1"
        # No node has the shard yet.
        client.send(encode_request(1, "PUT", b"x", IO_Info=io_info, Request_Timeout_Ms="5000"))
        reader.send(encode_request(2, IO_Info=io_info, Request_Timeout_Ms="5000"))
        await wait_until(lambda: len(self.gateway.engine.exchanges) == 2, "both requests to be queued")
        # Reads may no longer be retried, writes may, and one class is removed.
        read, write, _ = EFFECTS["classes"]
        self.reload_settings(
            classes=[{**read, "effect": "non_idempotent"}, {**write, "effect": "read_like"}],
            domain=SETTINGS["domain"],
        )
        node = await self.party("n3")
        await self.play("send d n3=active")
        for _ in range(2):
            *_, node.current, _ = await node.next()
            node.current.transport.abort()
        # The write fails, because it may have run; the read is retried.
        self.assertEqual((await client.read_response())[0], 502)
        await self.play("expect n3 GET 2\nsend n3 200 ok")
        self.assertEqual(await reader.read_response(), (200, b"ok"))
        self.assertEqual(node.received.qsize(), 0)
        # New requests use the new settings.
        client.send(encode_request(3, IO_Info=io_info))
        await self.play("expect n3 GET 3\nclose n3")
        self.assertEqual((await client.read_response())[0], 502)
        reader.send(encode_request(4, "PUT", b"x", IO_Info=io_info))
        await self.play("expect n3 PUT 4 x\nclose n3\nexpect n3 PUT 4 x\nsend n3 200 ok")
        self.assertEqual((await reader.read_response())[0], 200)
        client.send(encode_request(5, "PUT", b"x", Request_Class="keyed", Idempotency_Key="k"))
        self.assertEqual((await client.read_response())[0], 400)  # the class has been removed

    async def test_the_guard_timer_answers_by_the_settings_of_the_admission(self) -> None:
        """The scheduler does not respond, and a reload makes writes idempotent while one is in progress.

        The guard timer must respond with a 502: under the settings of its admission, the write may have run.
        """
        client = await self.connect_client()
        client.send(encode_request(2, "PUT", b"x", Request_Timeout_Ms="400"))
        await self.play("expect n1 PUT 2 x")
        self.gateway.engine._scheduler.handle = lambda now_ms, event: []  # never returns an action
        self.gateway.engine._scheduler.apply_settings = lambda settings: None
        read, write, _ = EFFECTS["classes"]
        self.reload_settings(classes=[read, {**write, "effect": "read_like"}], domain=SETTINGS["domain"])
        # A rejection would claim that the write has not run.
        self.assertEqual((await client.read_response())[0], 502)

    async def test_timeouts_and_connections_follow_the_new_settings(self) -> None:
        """A reload shortens the idle timeout and disables Retry-After.

        Connections that exceed the new idle timeout must not be reused, and rejections must not have a
        Retry-After.
        """
        client = await self.connect_client()
        await self.serve_request(client, 1)
        limits = {
            **SETTINGS["limits"],
            "conn-idle-ms": 100.0,
            "connect-timeout-ms": 77.0,
            "retry-after": False,
        }
        self.reload_settings(limits=limits)
        pool = self.gateway._http._session().connector
        self.assertAlmostEqual(pool._idle_timeout_s, 0.04)
        self.assertEqual(pool._idle_timeout_s, pool._keepalive_timeout)
        await asyncio.sleep(0.06)
        old = self.parties["n1"].writers.copy()
        await self.serve_request(client, 2)
        # The idle connection exceeded the new timeout.
        self.assertEqual(len(self.parties["n1"].writers - old), 1)
        client.send(
            encode_request(3, IO_Info=f"volume={VOLUME},units=2,shard=9,hosts=1", Request_Timeout_Ms="50")
        )
        self.assertEqual((await client.read_response())[0], 503)
        self.assertNotIn(b"Retry-After", client.head)

    async def test_a_reload_before_the_watch_has_begun_moves_it(self) -> None:
        """A reload changes the discovery address before the first call of the watch.

        The call must request the full list from the new address.
        """
        second, agent = Gateway(read_config(self.env, self.nvme), self.clock), await self.party("d2")
        self.config_document["discovery"] = f"127.0.0.1:{agent.port}"
        self.config.write_text(json.dumps(self.config_document))
        second.reload(read_config_again(self.env, self.nvme))
        watch = asyncio.ensure_future(second.discovery.run())
        self.assertEqual((await agent.next())[0], "GET /discovery/hosts HTTP/1.1")
        watch.cancel()

    async def test_a_faulty_file_changes_nothing(self) -> None:
        """A reload reads a configuration file with an invalid class.

        The configuration and the scheduler's settings must not change, the reload must count as rejected, and
        requests must still be served.
        """
        before, scheduler = self.gateway.config, self.gateway.engine._scheduler.settings
        read, write = SETTINGS["classes"]
        for classes in (
            [{**read, "hard-limit-ms": 0}, write],
            [read, {name: value for name, value in write.items() if name != "effect"}],
            [],
        ):
            with self.subTest(classes):
                self.config_document["settings"] = {**SETTINGS, "classes": classes}
                self.config.write_text(json.dumps(self.config_document))
                self.gateway.handle_sighup(lambda: read_config_again(self.env, self.nvme))
                self.assertIs(self.gateway.config, before)
                self.assertIs(self.gateway.engine._scheduler.settings, scheduler)
        self.assertEqual(self.gateway.reload_counts, {"applied": 0, "rejected": 3})
        await self.serve_request(await self.connect_client(), 1)


class EndpointLists(RaceScenario):
    """Endpoint lists that are truncated, segmented, late, or sent by another discovery service."""

    settings: ClassVar[dict[str, Any]] = {
        **SETTINGS,
        "obligations": {**SETTINGS["obligations"], "drain-grace-ms": 3000.0},
    }

    async def send_full(self, party: Any, version: int, pieces: int = 1, **states: str) -> None:
        """Send an indented full list in the given number of writes."""
        rows = [self.row(name, state) for name, state in states.items()]
        raw = json.dumps({"version": version, "full": True, "servers": rows}, indent=4).encode()
        head = f"HTTP/1.1 200 X\r\nContent-Length: {len(raw)}\r\n\r\n".encode() + raw
        size = -(-len(head) // pieces)
        for start in range(0, len(head), size):
            party.current.write(head[start : start + size])
            await party.current.drain()
            await asyncio.sleep(0)

    async def test_an_indented_list_in_many_segments_is_read(self) -> None:
        """Discovery sends an indented list in 40 writes.

        The list must be applied.
        """
        agent = await self.party("d")
        agent.current = (await agent.next())[3]
        await self.send_full(agent, 7, 40, n1="left", n2="active")
        self.assertIn("since=7&", (await agent.next())[0])
        self.assertEqual(list(self.gateway.engine.endpoints), ["n2"])

    async def test_a_truncated_list_is_discarded_and_requested_again(self) -> None:
        """The connection to discovery is reset within a list.

        No part of the list may be applied, and the watch must continue from the current version.
        """
        agent = await self.party("d")
        agent.current = (await agent.next())[3]
        agent.current.write(b'HTTP/1.1 200 X\r\nContent-Length: 999\r\n\r\n{"version": 9, "full": true, "ser')
        await agent.current.drain()
        agent.current.transport.abort()
        self.assertIn("since=1&", (await agent.next())[0])
        self.assertEqual(list(self.gateway.engine.endpoints), ["n1", "n2"])

    async def test_a_long_answer_goes_on_when_its_node_drains_and_leaves(self) -> None:
        """A node has written a half of a long answer when it begins to drain, and then leaves the list.

        The client must get the whole answer.  Guards against an answer that is cut off with its node.
        """
        body = bytes(range(250)) * 800
        for changes in ("send d n1=leaving", "send d n1=leaving\nwait 20\nsend d n1=left"):
            with self.subTest(changes=changes):
                client = await self.connect_client()
                client.send(encode_request(1, Request_Timeout_Ms="5000"))
                await self.play("expect n1 GET 1")
                node = self.parties["n1"].current
                node.write(f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode())
                node.write(body[: len(body) // 2])
                await client.read()
                await self.play(f"{changes}\nwait 50")
                node.write(body[len(body) // 2 :])
                self.assertEqual(await client.read_response(), (200, body))
                await self.asyncTearDown()
                await self.asyncSetUp()

    async def test_a_drain_announced_while_the_watch_was_broken_has_less_grace_left(self) -> None:
        """The watch is reset, closed or silent, and a node is draining in the next list.

        The drain may have been announced at any time since the last response, so this time must be subtracted
        from its grace period; otherwise requests would be sent to a node that has been removed.
        """
        for how in ("reset", "end", "silent"):
            with self.subTest(how):
                events, agent = self.record_events(), await self.party("d")
                agent.current = (await agent.next())[3]
                await self.send_full(agent, 4, n1="active", n2="active")
                agent.current = (await agent.next())[3]
                events.clear()
                answered_ms = self.gateway._clock.now_ms()
                await asyncio.sleep(0.1)
                with PATCH("shaletiller.net.discovery.WATCH_TIMEOUT_MS", 300.0):
                    if how == "reset":
                        agent.current.transport.abort()
                    elif how == "end":
                        agent.current.close()
                    retry = await agent.next()
                    agent.current = retry[3]
                await self.send_full(agent, 5, n1="leaving", n2="active")
                await wait_until(
                    lambda events=events: any(isinstance(event, EndpointListUpdate) for event in events),
                    "the list",
                )
                update = next(event for event in events if isinstance(event, EndpointListUpdate))
                waited_ms = self.gateway._clock.now_ms() - answered_ms
                self.assertGreater(update.staleness_ms, 90.0 if how != "silent" else 0.0)
                self.assertLess(update.staleness_ms, waited_ms + 50.0)
                await self.asyncTearDown()
                await self.asyncSetUp()

    async def test_a_drain_on_a_continuous_watch_has_its_full_grace(self) -> None:
        """The watch is uninterrupted, and a node is draining in a list.

        The drain must count as announced now.
        """
        events, agent = self.record_events(), await self.party("d")
        for version in (5, 6):
            agent.current = (await agent.next())[3]
            await asyncio.sleep(0.05)
            await self.send_full(agent, version, n1="active", n2="active")
        agent.current = (await agent.next())[3]
        await self.send_full(agent, 7, n1="leaving", n2="active")

        def lists() -> list[EndpointListUpdate]:
            return [event for event in events if isinstance(event, EndpointListUpdate)]

        await wait_until(lambda: len(lists()) == 3, "the lists")
        self.assertEqual(lists()[-1].staleness_ms, 0.0)

    async def test_after_the_grace_a_node_gets_no_requests_and_those_in_progress_are_answered(self) -> None:
        """A node drains, and its grace period ends while it has a request in progress.

        The node must get no further requests, and the one in progress must get its response.
        """
        client = await self.connect_client()
        client.send(encode_request(1, "PUT", b"x", Request_Timeout_Ms="5000"))
        await self.play("expect n1 PUT 1 x")
        await self.play("send d n1=leaving")
        await wait_until(
            lambda: self.gateway.engine.endpoints["n1"].entry.state is EndpointState.DRAINING, "the drain"
        )
        self.clock.advance(3000.0)  # its grace period is over
        late = await self.connect_client()
        late.send(encode_request(2, "PUT", b"y", Request_Timeout_Ms="200"))
        self.assertEqual((await late.read_response())[0], 503)
        self.assertEqual(self.requests_received, 0)
        await self.play("send n1 200 ok")
        self.assertEqual(await client.read_response(), (200, b"ok"))

    async def test_a_lower_version_after_discovery_has_moved_is_applied(self) -> None:
        """A reload changes to another discovery service, whose versions are lower.

        Its full list must be requested and applied, because versions of two services are not comparable.
        """
        old, new = await self.party("d"), await self.party("d2")
        old.current = (await old.next())[3]
        await self.send_full(old, 900, n1="active", n2="active")
        await old.next()
        await self.play("reload d2")
        first, *_, new.current, _ = await new.next()
        self.assertEqual(first, "GET /discovery/hosts HTTP/1.1")
        await self.send_full(new, 3, n1="active", n2="left")
        self.assertIn("since=3&", (await new.next())[0])
        self.assertEqual(list(self.gateway.engine.endpoints), ["n1"])
        await self.serve_request(await self.connect_client(), 1)


class Starts(RaceScenario):
    """Starts of a gateway with discovery down, silent or late, or with an outdated list."""

    async def start_second(self) -> tuple[float, int]:
        """Start a second gateway.

        :returns: duration of the start in seconds, and the status of `GET /up`.
        """
        gateway = Gateway(read_config(self.env, self.nvme), self.clock)
        started_s = time.monotonic()
        await gateway.start()
        self.addAsyncCleanup(gateway.engine.close)
        self.addAsyncCleanup(gateway.http_server.stop, 0.1)
        self.addAsyncCleanup(gateway._http.close)
        self.addAsyncCleanup(gateway.nvme.stop, 0.1)
        self.addAsyncCleanup(gateway.admin.stop)
        self.second = gateway
        return time.monotonic() - started_s, await self.get_up_status()

    async def get_up_status(self) -> int:
        client = await RawClient.open(self.second.http_server.address)
        client.send(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
        status, _ = await client.read_response()
        client.close()
        return status

    def write_known_list(self, rows: list[Any]) -> None:
        self.config_document["known"] = {"version": 1, "full": True, "servers": rows}
        self.config.write_text(json.dumps(self.config_document))

    async def test_the_configured_list_serves_while_discovery_is_down_or_silent(self) -> None:
        """A gateway starts while discovery is silent or down.

        It must be ready within the operators' time limit, and serve requests with the configured list.
        """
        for how in ("silent", "down"):
            with self.subTest(how):
                if how == "down":
                    await self.parties["d"].close("listener")
                duration_s, status = await self.start_second()
                self.assertEqual(status, 200)
                self.assertLess(duration_s, 10.0)  # the operators' time limit
                client = await RawClient.open(self.second.http_server.address)
                client.send(encode_request(1))
                await self.play("expect n1 GET 1\nsend n1 200 ok")
                self.assertEqual(await client.read_response(), (200, b"ok"))
                client.close()

    async def test_it_is_not_ready_before_it_can_serve(self) -> None:
        """A gateway starts with an empty list, or one with only draining nodes, and discovery is late.

        `GET /up` must return 503 until discovery sends a list with a ready node.
        """
        agent = await self.party("d")
        for rows in ([], [self.row("n1", "leaving"), self.row("n2", "leaving")]):
            with self.subTest(rows=len(rows)):
                await wait_until(lambda: agent.received.qsize() > 0, "the watch of the first gateway")
                while agent.received.qsize():
                    agent.received.get_nowait()
                self.write_known_list(rows)
                _, status = await self.start_second()
                self.assertEqual(status, 503)
                call = await agent.next()  # discovery responds late
                self.assertEqual(await self.get_up_status(), 503)
                update = {"version": 3, "full": True, "servers": [self.row("n1", "active")]}
                agent.current = call[3]
                await Server.send(agent, "200", json.dumps(update))
                await wait_until(lambda: self.second.discovery.ready, "the list")
                self.assertEqual(await self.get_up_status(), 200)

    async def test_an_outdated_list_is_replaced_by_discoverys(self) -> None:
        """A gateway starts with an outdated list; a node that is ready in it has started to drain since then.

        Once the list of discovery is applied, the node must get no requests: its grace period may be over.
        """
        agent = await self.party("d")
        await agent.next()
        self.write_known_list([self.row("n1", "active"), self.row("n2", "active")])
        await self.start_second()
        call = await agent.next()
        agent.current = call[3]
        rows = [self.row("n1", "leaving"), self.row("n2", "active")]
        await Server.send(agent, "200", json.dumps({"version": 9, "full": True, "servers": rows}))
        await wait_until(lambda: self.second.discovery._version == 9, "the new list")
        client = await RawClient.open(self.second.http_server.address)
        client.send(encode_request(1, Request_Timeout_Ms="200"))
        self.assertEqual((await client.read_response())[0], 503)  # the start of the drain is unknown
        self.assertEqual(self.requests_received, 0)
        client.close()


class ClientFloods(RaceScenario):
    """Many clients that send large bodies and disconnect, send slowly, or disconnect early."""

    sockets = 64

    async def assert_nothing_left(self) -> None:
        await wait_until(lambda: not self.gateway.http_server.connections, "all connections to be closed")
        listener = self.gateway.http_server._listener
        self.assertFalse(listener.accept_queue or listener.overload or self.gateway.engine.exchanges)
        await wait_until(
            lambda: not listener._tasks and not self.gateway.engine.attempts.in_flight, "all tasks to end"
        )

    async def flood(self, act: Any, count: int = 300) -> None:
        address, max_connections = self.gateway.http_server.address, 0

        async def run_client(number: int) -> None:
            nonlocal max_connections
            client = await RawClient.open(address)
            try:
                await act(client, number)
            except (OSError, AssertionError):
                pass  # rejected
            finally:
                max_connections = max(max_connections, self.gateway.http_server.connections)
                client.close()

        for start in range(0, count, 50):
            await asyncio.gather(*(run_client(number) for number in range(start, start + 50)))
        self.assertLessEqual(max_connections, self.gateway.config.client_sockets)
        await self.assert_nothing_left()
        client = await self.connect_client()
        await self.serve_request(client, 99999)

    async def test_clients_that_send_large_bodies_and_leave(self) -> None:
        """Hundreds of clients send part of a large body and disconnect.

        No request may reach a node, and no connection or task may remain.
        """

        async def act(client: RawClient, number: int) -> None:
            client.send(encode_request(number, "PUT", b"x" * 60000, Content_Length="9000000"))

        await self.flood(act)
        self.assertEqual(self.requests_received, 0)

    async def test_clients_that_send_partial_heads(self) -> None:
        """Many clients send part of a request head and wait.

        Their connections must time out, and no connection or task may remain.
        """

        async def act(client: RawClient, number: int) -> None:
            client.send(encode_request(number)[: 40 + number % 60])
            await client.read()

        with PATCH("shaletiller.net.connection_limits.REQUEST_TIMEOUT_MS", 100.0):
            await self.flood(act, 100)

    async def test_clients_that_leave_before_their_response(self) -> None:
        """Hundreds of clients send a request that is queued, and close or reset the connection at once.

        No request may reach a node, and no connection or task may remain.
        """

        async def act(client: RawClient, number: int) -> None:
            client.send(
                encode_request(
                    number, IO_Info=f"volume={VOLUME},units=2,shard=7,hosts=1", Request_Timeout_Ms="5000"
                )
            )
            if number % 2:
                reset(client.sock)

        await self.flood(act)
        self.assertEqual(self.requests_received, 0)
