"""The scenario language: lines of send, expect, close, wait and reload, which run against a complete gateway.

    send c1 PUT 5 hello class=write     client c1 sends a request (each new name opens a new connection)
    expect n1 PUT 5 hello               node n1 has received this request completely
    send n1 200 done Volume-Load=86     node n1 responds to the request
    expect c1 200 done                  the client has received the response
    close c1                            the client closes its connection
    close n1                            the node aborts the connection of the request
    close n1 listener                   the node stops listening and aborts all connections
    expect n1 closed | expect c1 end    the gateway has closed the connection
    expect n1 nothing                   no further request has been received
    send v1 write 7 data | expect v1 ok | expect v1 write_fault dnr | send v1 hex 00ff | expect v1 term 2
    expect b1 write 7 data | send b1 ok | close b1      the same for a storage node that uses NVMe
    expect b1 disconnected 7            the gateway has closed the connection of this command
    send d n1=leaving                   discovery sends a change of the endpoint list
    reload d2                           a reload changes the address of discovery to that of d2
    wait 200                            wait for 200 ms of the gateway's clock
    send a1 DISABLE n1 | expect a1 done n1    an operator's call, on its own connection, and its response

The first letter of a name is its type: c HTTP client, n HTTP storage node (its number is its shard), v NVMe
host, b NVMe storage node, d discovery, o other HTTP server, a operator.
"""

from __future__ import annotations

import asyncio
import json
import re
import shlex
import struct
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from shaletiller.clock import SettableClock
from shaletiller.config import NvmeNamespace, NvmeTargetConfig, read_config, read_config_again
from shaletiller.core.model import ClientCall, Exchange, FinalResponse, FinalResult
from shaletiller.gateway import Gateway
from shaletiller.net.nvme import capsules, commands, pdu
from shaletiller.net.nvme.association import Association
from shaletiller.net.nvme.host_queue import HostQueue
from shaletiller.net.nvme.status import Status
from shaletiller.net.nvme.stream import PduStream
from shaletiller.net.nvme.target import NvmeTarget

TIMEOUT_S = 3.0
START_MS = 1.8e12  # the initial time of a settable clock
CLOCK_STEP_S = 0.001
MAX_CLOCK_STEP_MS = 5.0
# Iterations of the event loop after a settable clock is advanced, in which the waiting coroutines run.
LOOP_TURNS = 10
VOLUME = "00000003b4d60021"
SUBSYSTEM = "nqn.2026-12.example.shaletiller:gateway"
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "position": 0,
    "zone": "a",
    "tick-ms": 2.0,
    "discovery": "automatic",
    "classes": [
        {"name": "read", "target-ms": 300.0, "hard-limit-ms": 900.0, "effect": "read_like"},
        {"name": "write", "target-ms": 300.0, "hard-limit-ms": 900.0, "effect": "non_idempotent"},
    ],
    "contracts": [{"name": "basic", "base-rate": 50.0, "reserve": 50.0, "proportion": 1.0}],
    "domain": {"mean-units": 2.0, "most-units": 8, "shards": 10, "writes": [False, True], "meter-ms": 500.0},
    "limits": {
        "max-attempts": 3,
        "cancel": True,
        "conn-idle-ms": 30000.0,
        "connect-timeout-ms": 250.0,
        "retry-after": True,
        "peers": True,
    },
    "load-info": {"columns": ["inflight"], "how": "answers"},
    "obligations": {
        "answer-slack-ms": 8.0,
        "drain-grace-ms": 1000.0,
        "fall-ms": 3000.0,
        "ramp-time-ms": 9000.0,
        "start-capacity": 0.3,
    },
}


async def follow_real_time(clock: SettableClock) -> None:
    """Advance a clock with real time until cancelled, in short steps between which the event loop runs.

    A hold-up of the process counts as one step: it makes a scenario slow, but no deadline passes meanwhile.
    """
    last_s = time.monotonic()
    while True:
        await asyncio.sleep(CLOCK_STEP_S)
        now_s = time.monotonic()
        clock.advance(min(1000 * (now_s - last_s), MAX_CLOCK_STEP_MS))
        last_s = now_s


def on_settable_clock(test: Callable[..., Any]) -> Callable[..., Any]:
    """Run the gateway of a test on a settable clock, whose time changes only by `wait`."""
    test.on_settable_clock = True  # type: ignore[attr-defined]
    return test


def key(text: str) -> str:
    number, _, rest = text.partition("&")
    return f"{int(number):016x}" + (f"&{rest}" if rest else "")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read an HTTP message and return its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = [line.partition(":") for line in head[1:] if line]
    headers = {name.lower(): value.strip() for name, _, value in fields}
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Party:
    """A peer of the gateway, with a queue of the messages that it has received."""

    def __init__(self, scenario: Scenario, name: str) -> None:
        self.scenario, self.name = scenario, name
        self.received: asyncio.Queue[Any] = asyncio.Queue()
        self.port = 0

    async def next(self) -> Any:
        return await asyncio.wait_for(self.received.get(), TIMEOUT_S)

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class Client(Party):
    async def start(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self.scenario.gateway.http_server.address)

    async def send(self, method: str, number: str, *rest: str, **headers: str) -> None:
        if method == "raw":
            self.writer.write(number.encode().decode("unicode_escape").encode("latin1"))
            return
        body = "".join(rest).encode()
        lines = {
            "Request-Id": headers.pop("id", f"{self.scenario.count():016x}"),
            "Tier": "basic",
            "Request-Class": "write" if method == "PUT" else "read",
            "Request-Timeout-Ms": "900",
            "Content-Length": str(len(body)),
            "IO-Info": f"volume={VOLUME},units=2,shard={headers.pop('shard', '1')},hosts=1",
        }
        names = {"class": "Request-Class", "timeout": "Request-Timeout-Ms"}
        lines |= {names.get(name, name): value for name, value in headers.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        target = "/up" if number == "up" else f"/api?key={key(number)}"
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\n{head}\r\n".encode() + body)

    async def expect(self, status: str, *body: str, **headers: str) -> None:
        if status == "end":
            self.scenario.assertEqual(await asyncio.wait_for(self.reader.read(), TIMEOUT_S), b"")
            return
        status_line, found, content = await asyncio.wait_for(read_message(self.reader), TIMEOUT_S)
        self.scenario.assertEqual(status_line.split()[1], status)
        if body:
            self.scenario.assertEqual(content.decode(), "".join(body))
        self.scenario.assertEqual({name: found.get(name.lower()) for name in headers}, headers)

    async def close(self, *_: str) -> None:
        self.writer.close()

    async def stop(self) -> None:
        self.writer.close()


class Server(Party):
    """A scripted HTTP server on its own port; each `expect` takes its next request."""

    def __init__(self, scenario: Scenario, name: str) -> None:
        super().__init__(scenario, name)
        self.writers: set[asyncio.StreamWriter] = set()
        self.current: asyncio.StreamWriter | None = None
        self.script: Any = None  # called with each request instead of queueing it for `expect`
        self.request_ids: list[str] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = (*await read_message(reader), writer, reader)
                self.request_ids.append(request[1].get("request-id", ""))
                if self.script is not None:
                    await self.script(self, request)
                else:
                    await self.received.put(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send(self, status: str, *body: str, **headers: str) -> None:
        assert self.current is not None
        content = "".join(body).encode()
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        response = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(content)}\r\n\r\n".encode() + content
        self.current.write(response)

    async def close(self, *what: str) -> None:
        if what == ("listener",):
            self.server.close()
            for writer in self.writers:
                writer.transport.abort()
        elif self.current is not None:
            self.current.transport.abort()

    async def stop(self) -> None:
        await self.close("listener")


class Node(Server):
    async def expect(self, method: str, *rest: str, **headers: str) -> None:
        if method == "nothing":
            self.scenario.assertEqual(self.received.qsize(), 0, "a request was received")
        elif method == "closed":
            assert self.current is not None
            async with asyncio.timeout(TIMEOUT_S):
                while self.current.transport.is_closing() is False:
                    await asyncio.sleep(0.005)
        else:
            request_line, found, body, self.current, _ = await self.next()
            self.scenario.assertEqual(request_line, f"{method} /api?key={key(rest[0])} HTTP/1.1")
            self.scenario.assertEqual({name: found.get(name.lower()) for name in headers}, headers)
            if rest[1:]:
                self.scenario.assertEqual(body.decode(), rest[1])


class Discovery(Server):
    async def send(self, *rows: str, **states: str) -> None:
        self.current = (await self.next())[3]
        if rows:  # a malformed body, sent unchanged
            await super().send("200", *rows)
            return
        self.scenario.version += 1
        changed = [self.scenario.row(name, state) for name, state in states.items()]
        update = {"version": self.scenario.version, "full": False, "servers": changed}
        await super().send("200", json.dumps(update))


class Host(Party):
    """An NVMe host connected to the gateway's target."""

    def target_address(self) -> tuple[str, int]:
        return self.scenario.gateway.nvme.address if self.scenario.gateway.nvme else ("", 0)

    async def start(self) -> None:
        self.result: asyncio.Task[Any] | None = None
        self.raw: PduStream | None = None
        self.association: Association | None = None

    async def associate(self) -> Association:
        if self.association is None:
            host, port = self.target_address()
            admin = await HostQueue.open(host, port, 0, 0xFFFF, SUBSYSTEM)
            tail = struct.pack("<B3xIQ", 0, commands.Property.CC, 0x00460001)
            await admin.run(
                commands.encode_fabrics_command(
                    commands.FabricsCommand.PROPERTY_SET, admin.next_command_id(), tail
                )
            )
            behaviour = commands.encode_command(
                commands.AdminOpcode.SET_FEATURES,
                admin.next_command_id(),
                length=512,
                in_capsule=True,
                tail=struct.pack("<II", 0x16, 0),
            )
            await admin.run(behaviour, b"\x01".ljust(512, b"\0"))
            io = await HostQueue.open(host, port, 1, admin.controller_id, SUBSYSTEM)
            self.association = Association(admin, io)
        return self.association

    async def send(self, what: str, *rest: str) -> None:
        if what == "hex":
            if self.raw is None:
                reader, writer = await asyncio.open_connection(*self.target_address())
                self.raw = PduStream(reader, writer, pdu.FROM_CONTROLLER)
            self.raw.send(bytes.fromhex(rest[0]))
            return
        association = await self.associate()
        admin, io = association.admin, association.io
        if what == "abort":
            tail = struct.pack("<HH", 1, io._command_id)
            await admin.run(
                commands.encode_command(commands.AdminOpcode.ABORT, admin.next_command_id(), tail=tail)
            )
            return
        nsid, cid = 1, io.next_command_id()
        size, blocks = 4096, int(rest[2]) if rest[2:] else 1
        if what == "flush":
            result = io.run(commands.encode_command(commands.IoOpcode.FLUSH, cid, nsid))
        elif what == "read":
            entry = commands.encode_io_command(
                commands.IoOpcode.READ, cid, nsid, int(rest[0]), blocks, size * blocks, False
            )
            result = io.run(entry, read_bytes=size * blocks)
        else:
            data = rest[1].encode().ljust(size * blocks, b"\0")
            in_capsule = len(data) <= pdu.MAX_IN_CAPSULE_DATA and what == "write"
            entry = commands.encode_io_command(
                commands.IoOpcode.WRITE, cid, nsid, int(rest[0]), blocks, len(data), in_capsule
            )
            result = io.run(entry, data) if in_capsule else self.write_by_r2t(io, entry, cid, data)
        self.result = asyncio.ensure_future(result)

    @staticmethod
    async def write_by_r2t(queue: HostQueue, entry: bytes, cid: int, data: bytes) -> Any:
        queue._stream.send(capsules.command_capsule(entry))
        return await queue.receive_response(cid, data, 0)

    async def expect(self, status: str, *rest: str) -> None:
        if status in ("term", "ic_resp", "resp", "end"):
            assert self.raw is not None
            received = await self.raw.receive(TIMEOUT_S)
            types = {
                "term": pdu.PduType.C2H_TERM_REQ,
                "ic_resp": pdu.PduType.IC_RESP,
                "resp": pdu.PduType.RESPONSE_CAPSULE,
            }
            self.scenario.assertEqual(received and received.type, types.get(status))
            if received and status == "resp":
                self.scenario.assertEqual(
                    Status(capsules.read_completion(received).status).name.lower(), rest[0]
                )
            elif received and rest:
                self.scenario.assertEqual(received.field("H", 8), int(rest[0]))
            return
        assert self.result is not None
        completion, data = await asyncio.wait_for(self.result, TIMEOUT_S)
        expected = "success" if status == "ok" else status
        self.scenario.assertEqual(Status(completion.status).name.lower(), expected)
        self.scenario.assertEqual(completion.do_not_retry, "dnr" in rest)
        delays = [int(argument.removeprefix("crd")) for argument in rest if argument.startswith("crd")]
        self.scenario.assertEqual(completion.retry_delay, delays[0] if delays else 0)
        if rest and status == "ok":
            self.scenario.assertEqual(data.rstrip(b"\0").decode(), rest[0])

    async def close(self, *_: str) -> None:
        if self.association is not None:
            self.association.abort()
        if self.raw is not None:
            self.raw.abort()

    async def stop(self) -> None:
        await self.close()
        if self.result is not None:
            await asyncio.gather(self.result, return_exceptions=True)


class NvmeNode(Party):
    """A storage node that uses NVMe: a target whose commands are completed by the scenario."""

    def __init__(self, scenario: Scenario, name: str) -> None:
        super().__init__(scenario, name)
        namespace = NvmeNamespace(1, 1000, "r", "w", "p", VOLUME, 0, block_bytes=scenario.nvme_block_bytes)
        self.target = NvmeTarget(NvmeTargetConfig(subsystem="box", namespaces=(namespace,)), self)
        self.script: Any = None
        self.disconnected: list[str] = []
        self.writes: list[tuple[str, bytes]] = []

    async def start(self) -> None:
        await self.target.start("127.0.0.1", self.port)
        self.port = self.target.address[1]

    def submit(self, call: ClientCall, respond: Any) -> Exchange:
        if call.write:
            self.writes.append((call.key, call.body))
        if self.script is not None:
            self.script(self, call, respond)
        else:
            self.received.put_nowait((call, respond))
        return Exchange(call, respond, 0, 0)

    def on_client_disconnected(self, exchange: Exchange) -> None:
        self.disconnected.append(exchange.call.key)

    async def expect(self, what: str, *rest: str) -> None:
        if what == "nothing":
            self.scenario.assertEqual(self.received.qsize(), 0, "a command was received")
            return
        if what == "disconnected":
            async with asyncio.timeout(TIMEOUT_S):
                while key(rest[0]) not in self.disconnected:
                    await asyncio.sleep(0.005)
            return
        call, self.respond = await self.next()
        body = [call.body.rstrip(b"\0").decode()] if rest[1:] else []
        command = ("write" if call.write else "read", call.key, *body)
        self.scenario.assertEqual(command, (what, key(rest[0]), *rest[1:]))

    async def send(self, *rest: str) -> None:
        if rest[0] == "not_ready":
            controllers = self.target.controllers.values()
            queues = [queue for controller in controllers for queue in controller.queues.values()]
            commands_pending = [(queue, command) for queue in queues for command in queue.pending.values()]
            for queue, command in commands_pending:
                queue.complete(command, Status.NOT_READY)
            return
        result = FinalResult.SERVED if rest[0] == "ok" else FinalResult.FAILED
        self.respond(FinalResponse(result, "".join(rest[1:]).encode()))

    async def close(self, *_: str) -> None:
        for controller in list(self.target.controllers.values()):
            controller.abort()

    async def stop(self) -> None:
        await self.close()
        await self.target.stop(0.1)


class Operator(Party):
    """An operator, whose calls to the admin server have a connection each."""

    async def send(self, *arguments: str) -> None:
        assert self.scenario.gateway.admin is not None
        reader, writer = await asyncio.open_connection(*self.scenario.gateway.admin.address)
        writer.write(" ".join(arguments).encode() + b"\n")
        self.lines = (await asyncio.wait_for(reader.read(), TIMEOUT_S)).decode().splitlines()
        writer.close()

    async def expect(self, *arguments: str) -> None:
        self.scenario.assertEqual(self.lines[0], " ".join(arguments))


PARTY_TYPES: dict[str, type[Party]] = {
    "a": Operator,
    "c": Client,
    "n": Node,
    "v": Host,
    "b": NvmeNode,
    "d": Discovery,
    "o": Server,
}


class Scenario(unittest.IsolatedAsyncioTestCase):
    """A gateway and its peers; those in `servers` start with it, the others when they are first named."""

    servers = ("n1", "n2")
    has_known_list: bool = True
    nvme_block_bytes: int = 4096
    sockets: int = 1024
    settings: dict[str, Any] = SETTINGS
    namespace_names: tuple[str, str, str] = ("read", "write", "basic")  # read class, write class and plan

    async def asyncSetUp(self) -> None:
        self.parties: dict[str, Any] = {}
        self.numbers, self.version = 0, 1
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        for name in (*self.servers, "d"):
            await self.party(name)
        nvme = Path(folder.name) / "nvme.toml"
        upstreams = "".join(
            f'[[box]]\nnode = "{name}"\nsubsystem = "box"\nblock_bytes = {self.nvme_block_bytes}\n'
            for name in self.servers
            if name[0] == "b"
        )
        nvme.write_text(
            f'[front]\nlisten = "127.0.0.1:0"\n[[front.namespace]]\nnsid = 1\nblocks = 1000\n'
            f'read_class = "{self.namespace_names[0]}"\nwrite_class = "{self.namespace_names[1]}"\n'
            f'plan = "{self.namespace_names[2]}"\nvolume = "{VOLUME}"\nshard = 1\n'
            f"units = 2\nread_timeout_ms = 9000\nwrite_timeout_ms = 9000\n{upstreams}"
        )
        nodes = [name for name in self.servers if name[0] in "nb"]
        rows = [self.row(name, "active") for name in nodes] if self.has_known_list else []
        self.config, self.nvme = Path(folder.name) / "config.json", nvme
        self.config_document = {
            "name": "g0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.parties['d'].port}",
            "seed": "8c1f",
            "settings": self.settings,
            "limits": {"sockets": self.sockets},
            "admin": "127.0.0.1:0",
            "known": {"version": 1, "full": True, "servers": rows},
        }
        self.config.write_text(json.dumps(self.config_document))
        self.env = {"EDGE_CONFIG": str(self.config), "TMPDIR": folder.name, **await self.environment()}
        test = getattr(self, self._testMethodName)
        self.clock = SettableClock(START_MS)
        self.clock_task: asyncio.Task[None] | None = None
        if not hasattr(test, "on_settable_clock"):
            self.clock_task = asyncio.ensure_future(follow_real_time(self.clock))
        self.gateway = Gateway(read_config(self.env, nvme), self.clock)
        await self.gateway.start()

    def record_events(self) -> list[Any]:
        """Return a list to which all further events for the scheduler are appended."""
        events: list[Any] = []
        handle = self.gateway.engine._scheduler.handle

        def handle_and_record(now_ms: float, event: Any) -> Any:
            events.append(event)
            return handle(now_ms, event)

        self.gateway.engine._scheduler.handle = handle_and_record
        return events

    def reload(self, port: int) -> None:
        self.config.write_text(json.dumps({**self.config_document, "discovery": f"127.0.0.1:{port}"}))
        self.gateway.reload(read_config_again(self.env, self.nvme))

    async def environment(self) -> dict[str, str]:
        """Return additional environment variables of the gateway."""
        return {}

    async def asyncTearDown(self) -> None:
        if self.clock_task is None:  # a gateway waits for timers as it stops
            self.clock_task = asyncio.ensure_future(follow_real_time(self.clock))
        try:
            await self.stop_all()
        finally:
            self.clock_task.cancel()

    async def stop_all(self) -> None:
        for party in self.parties.values():
            await party.stop()
        await self.gateway.engine.close()
        await self.gateway.http_server.stop(0.1)
        for client in (self.gateway._http, *self.gateway._nvme_clients.values()):
            await client.close()
        if self.gateway.nvme is not None:
            await self.gateway.nvme.stop(0.1)
        if self.gateway.telemetry is not None:
            await self.gateway.telemetry.stop()
        if self.gateway.admin is not None:
            await self.gateway.admin.stop()

    def count(self) -> int:
        self.numbers += 1
        return self.numbers

    def row(self, name: str, state: str) -> dict[str, Any]:
        return {
            "id": name,
            "addr": f"127.0.0.1:{self.parties[name].port}",
            "zone": "a",
            "kind": "m",
            "cell": int(name[1:]),
            "state": state,
        }

    async def party(self, name: str) -> Any:
        if name not in self.parties:
            self.parties[name] = PARTY_TYPES[name[0]](self, name)
            await self.parties[name].start()
        return self.parties[name]

    async def wait(self, wait_ms: float) -> None:
        """Wait for a duration of the gateway's clock."""
        if self.clock_task is not None:
            await self.clock.sleep(wait_ms)
            return
        self.clock.advance(wait_ms)
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)

    async def play(self, text: str) -> None:
        """Run the lines of a scenario in order; a failure names its line."""
        for line in filter(None, (line.split("  #")[0].strip() for line in text.splitlines())):
            verb, *arguments = shlex.split(line)
            try:
                if verb == "wait":
                    await self.wait(float(arguments[0]))
                    continue
                party = await self.party(arguments[0])
                if verb == "reload":
                    self.reload(party.port)
                    continue
                named = dict(
                    argument.split("=", 1) for argument in arguments[1:] if re.match(r"[\w-]+=", argument)
                )
                positional = [argument for argument in arguments[1:] if not re.match(r"[\w-]+=", argument)]
                await getattr(party, verb)(*positional, **named)
            except Exception as error:
                raise AssertionError(f"{line!r}: {type(error).__name__} {error}") from error
