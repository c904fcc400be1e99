"""The scenario language: lines of send, expect, close and wait, played against a whole gateway.

    send c1 PUT 5 hello class=write     client c1 asks (a new connection for each new name)
    expect n1 PUT 5 hello               node n1 holds that request, whole
    send n1 200 done Volume-Load=86     node n1 answers it
    expect c1 200 done                  and the client has it
    close c1 | close n1 | close n1 door the client goes; the node drops the request; the node listens no more
    expect n1 closed | expect c1 end    the gateway has closed that connection
    expect n1 nothing                   no request has come, after all that went before
    send v1 write 7 data | expect v1 ok | expect v1 write_fault dnr | send v1 hex 00ff | expect v1 term 2
    expect b1 write 7 data | send b1 ok | close b1      the same for an NVMe box
    send d n1=leaving                   discovery tells a change
    reload d2                           the configuration names another discovery from now on
    wait 200                            milliseconds

    send a1 DISABLE n1 | expect a1 done n1    an operator's call, on a connection of its own, and its answer

Names that start with c are HTTP clients, n nodes (shard by number), v NVMe hosts, b NVMe boxes, a operators.
"""

from __future__ import annotations

import asyncio
import json
import re
import shlex
import struct
import tempfile
import unittest
from pathlib import Path
from typing import Any

from shaletiller.config import NvmeNamespace, NvmeTargetConfig, read_config, read_config_again
from shaletiller.core.model import ClientCall, Exchange, FinalResponse, FinalResult
from shaletiller.gateway import Gateway
from shaletiller.net.nvme import capsules, commands, pdu
from shaletiller.net.nvme.association import Association
from shaletiller.net.nvme.host_queue import HostQueue
from shaletiller.net.nvme.status import Status
from shaletiller.net.nvme.stream import PduStream
from shaletiller.net.nvme.target import NvmeTarget

PATIENCE_S = 3.0
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


def key(text: str) -> str:
    number, _, rest = text.partition("&")
    return f"{int(number):016x}" + (f"&{rest}" if rest else "")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """First line, headers and body of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    parts = [line.partition(":") for line in head[1:] if line]
    heads = {name.lower(): value.strip() for name, _, value in parts}
    return head[0], heads, await reader.readexactly(int(heads.get("content-length", "0")))


class Party:
    """Someone at the other end of a socket; each has a queue of what has come to it."""

    def __init__(self, scene: Scenario, name: str) -> None:
        self.scene, self.name = scene, name
        self.came: asyncio.Queue[Any] = asyncio.Queue()
        self.port = 0

    async def next(self) -> Any:
        return await asyncio.wait_for(self.came.get(), PATIENCE_S)

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class Client(Party):
    async def start(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self.scene.gateway.http_server.address)

    async def send(self, method: str, number: str, *rest: str, **heads: str) -> None:
        if method == "raw":
            self.writer.write(number.encode().decode("unicode_escape").encode("latin1"))
            return
        body = "".join(rest).encode()
        lines = {
            "Request-Id": heads.pop("id", f"{self.scene.count():016x}"),
            "Tier": "basic",
            "Request-Class": "write" if method == "PUT" else "read",
            "Request-Timeout-Ms": "900",
            "Content-Length": str(len(body)),
            "IO-Info": f"volume={VOLUME},units=2,shard={heads.pop('shard', '1')},hosts=1",
        }
        names = {"class": "Request-Class", "timeout": "Request-Timeout-Ms"}
        lines |= {names.get(name, name): value for name, value in heads.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        target = "/up" if number == "up" else f"/api?key={key(number)}"
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\n{head}\r\n".encode() + body)

    async def expect(self, status: str, *body: str, **heads: str) -> None:
        if status == "end":
            self.scene.assertEqual(await asyncio.wait_for(self.reader.read(), PATIENCE_S), b"")
            return
        first, found, content = await asyncio.wait_for(read_message(self.reader), PATIENCE_S)
        self.scene.assertEqual(first.split()[1], status)
        if body:
            self.scene.assertEqual(content.decode(), "".join(body))
        self.scene.assertEqual({name: found.get(name.lower()) for name in heads}, heads)

    async def close(self, *_: str) -> None:
        self.writer.close()

    async def stop(self) -> None:
        self.writer.close()


class Server(Party):
    """A stand-in on a port of its own that hands over requests one by one."""

    def __init__(self, scene: Scenario, name: str) -> None:
        super().__init__(scene, name)
        self.writers: set[asyncio.StreamWriter] = set()
        self.current: asyncio.StreamWriter | None = None
        self.script: Any = None  # answers at once, for mixed traffic
        self.seen: list[str] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                found = (*await read_message(reader), writer, reader)
                self.seen.append(found[1].get("request-id", ""))
                if self.script is not None:
                    await self.script(self, found)
                else:
                    await self.came.put(found)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send(self, status: str, *body: str, **heads: str) -> None:
        assert self.current is not None
        content = "".join(body).encode()
        lines = "".join(f"{name}: {value}\r\n" for name, value in heads.items())
        cut = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(content)}\r\n\r\n".encode() + content
        self.current.write(cut)

    async def close(self, *what: str) -> None:
        if what == ("door",):
            self.server.close()
            for writer in self.writers:
                writer.transport.abort()
        elif self.current is not None:
            self.current.transport.abort()

    async def stop(self) -> None:
        await self.close("door")


class Node(Server):
    async def expect(self, method: str, *rest: str, **heads: str) -> None:
        if method == "nothing":
            self.scene.assertEqual(self.came.qsize(), 0, "a request has come")
        elif method == "closed":
            assert self.current is not None
            async with asyncio.timeout(PATIENCE_S):
                while self.current.transport.is_closing() is False:
                    await asyncio.sleep(0.005)
        else:
            first, found, body, self.current, _ = await self.next()
            self.scene.assertEqual(first, f"{method} /api?key={key(rest[0])} HTTP/1.1")
            self.scene.assertEqual({name: found.get(name.lower()) for name in heads}, heads)
            if rest[1:]:
                self.scene.assertEqual(body.decode(), rest[1])


class Discovery(Server):
    async def send(self, *rows: str, **states: str) -> None:
        self.current = (await self.next())[3]
        if rows:  # as it stands, to be malformed
            await super().send("200", *rows)
            return
        self.scene.version += 1
        told = [self.scene.row(name, state) for name, state in states.items()]
        news = {"version": self.scene.version, "full": False, "servers": told}
        await super().send("200", json.dumps(news))


class Host(Party):
    """An NVMe host at the gateway's front."""

    def opened(self) -> tuple[str, int]:
        return self.scene.gateway.nvme.address if self.scene.gateway.nvme else ("", 0)

    async def start(self) -> None:
        self.result: asyncio.Task[Any] | None = None
        self.raw: PduStream | None = None
        self.association: Association | None = None

    async def associate(self) -> Association:
        if self.association is None:
            host, port = self.opened()
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
                reader, writer = await asyncio.open_connection(*self.opened())
                self.raw = PduStream(reader, writer, pdu.FROM_CONTROLLER)
            self.raw.send(bytes.fromhex(rest[0]))
            return
        found = await self.associate()
        if what == "abort":
            which = struct.pack("<HH", 1, found.io._command_id)
            await found.admin.run(
                commands.encode_command(commands.AdminOpcode.ABORT, found.admin.next_command_id(), tail=which)
            )
            return
        nsid, cid = 1, found.io.next_command_id()
        size, blocks = 4096, int(rest[2]) if rest[2:] else 1
        if what == "flush":
            work = found.io.run(commands.encode_command(commands.IoOpcode.FLUSH, cid, nsid))
        elif what == "read":
            entry = commands.encode_io_command(
                commands.IoOpcode.READ, cid, nsid, int(rest[0]), blocks, size * blocks, False
            )
            work = found.io.run(entry, read_bytes=size * blocks)
        else:
            data = rest[1].encode().ljust(size * blocks, b"\0")
            capsule = len(data) <= pdu.MAX_IN_CAPSULE_DATA and what == "write"
            entry = commands.encode_io_command(
                commands.IoOpcode.WRITE, cid, nsid, int(rest[0]), blocks, len(data), capsule
            )
            work = found.io.run(entry, data) if capsule else self.by_r2t(found.io, entry, cid, data)
        self.result = asyncio.ensure_future(work)

    @staticmethod
    async def by_r2t(queue: HostQueue, entry: bytes, cid: int, data: bytes) -> Any:
        queue._stream.send(capsules.command_capsule(entry))
        return await queue.receive_response(cid, data, 0)

    async def expect(self, status: str, *rest: str) -> None:
        if status in ("term", "ic_resp", "resp", "end"):
            assert self.raw is not None
            found = await self.raw.receive(PATIENCE_S)
            kinds = {
                "term": pdu.PduType.C2H_TERM_REQ,
                "ic_resp": pdu.PduType.IC_RESP,
                "resp": pdu.PduType.RESPONSE_CAPSULE,
            }
            self.scene.assertEqual(found and found.type, kinds.get(status))
            if found and status == "resp":
                self.scene.assertEqual(Status(capsules.read_completion(found).status).name.lower(), rest[0])
            elif found and rest:
                self.scene.assertEqual(found.field("H", 8), int(rest[0]))
            return
        assert self.result is not None
        done, data = await asyncio.wait_for(self.result, PATIENCE_S)
        self.scene.assertEqual(Status(done.status).name.lower(), "success" if status == "ok" else status)
        self.scene.assertEqual(done.do_not_retry, "dnr" in rest)
        retry = [int(word.removeprefix("crd")) for word in rest if word.startswith("crd")]
        self.scene.assertEqual(done.retry_delay, retry[0] if retry else 0)
        if rest and status == "ok":
            self.scene.assertEqual(data.rstrip(b"\0").decode(), rest[0])

    async def close(self, *_: str) -> None:
        if self.association is not None:
            self.association.abort()
        if self.raw is not None:
            self.raw.abort()

    async def stop(self) -> None:
        await self.close()
        if self.result is not None:
            await asyncio.gather(self.result, return_exceptions=True)


class Box(Party):
    """An NVMe box: the front's wire round answers that the scenario gives."""

    def __init__(self, scene: Scenario, name: str) -> None:
        super().__init__(scene, name)
        space = NvmeNamespace(1, 1000, "r", "w", "p", VOLUME, 0, block_bytes=scene.box_block)
        self.front = NvmeTarget(NvmeTargetConfig(subsystem="box", namespaces=(space,)), self)
        self.held: dict[str, bytes] = {}
        self.script: Any = None
        self.left: list[str] = []
        self.writes: list[tuple[str, bytes]] = []

    async def start(self) -> None:
        await self.front.start("127.0.0.1", self.port)
        self.port = self.front.address[1]

    def submit(self, call: ClientCall, answer: Any) -> Exchange:
        if call.write:
            self.writes.append((call.key, call.body))
        if self.script is not None:
            self.script(self, call, answer)
        else:
            self.came.put_nowait((call, answer))
        return Exchange(call, answer, 0, 0)

    def client_disconnected(self, exchange: Exchange) -> None:
        self.left.append(exchange.call.key)

    async def expect(self, what: str, *rest: str) -> None:
        if what == "nothing":
            self.scene.assertEqual(self.came.qsize(), 0, "a command has come")
            return
        if what == "left":
            async with asyncio.timeout(PATIENCE_S):
                while key(rest[0]) not in self.left:
                    await asyncio.sleep(0.005)
            return
        call, self.answer = await self.next()
        body = [call.body.rstrip(b"\0").decode()] if rest[1:] else []
        found = ("write" if call.write else "read", call.key, *body)
        self.scene.assertEqual(found, (what, key(rest[0]), *rest[1:]))

    async def send(self, *rest: str) -> None:
        if rest[0] == "not_ready":
            queues = [each for found in self.front.controllers.values() for each in found.queues.values()]
            for queue, pending in [(each, held) for each in queues for held in each.pending.values()]:
                queue.complete(pending, Status.NOT_READY)
            return
        verdict = FinalResult.SERVED if rest[0] == "ok" else FinalResult.FAILED
        self.answer(FinalResponse(verdict, "".join(rest[1:]).encode()))

    async def close(self, *_: str) -> None:
        for found in list(self.front.controllers.values()):
            found.abort()

    async def stop(self) -> None:
        await self.close()
        await self.front.stop(0.1)


class Operator(Party):
    """A caller at the door for operators: each call has a connection of its own."""

    async def send(self, *words: str) -> None:
        assert self.scene.gateway.admin is not None
        reader, writer = await asyncio.open_connection(*self.scene.gateway.admin.address)
        writer.write(" ".join(words).encode() + b"\n")
        self.lines = (await asyncio.wait_for(reader.read(), PATIENCE_S)).decode().splitlines()
        writer.close()

    async def expect(self, *words: str) -> None:
        self.scene.assertEqual(self.lines[0], " ".join(words))


KINDS: dict[str, type[Party]] = {
    "a": Operator,
    "c": Client,
    "n": Node,
    "v": Host,
    "b": Box,
    "d": Discovery,
    "o": Server,
}


class Scenario(unittest.IsolatedAsyncioTestCase):
    """A gateway with its stand-ins; `servers` are there from the start, the rest come when named."""

    servers = ("n1", "n2")
    known: bool = True
    box_block: int = 4096
    sockets: int = 1024
    settings: dict[str, Any] = SETTINGS
    names: tuple[str, str, str] = ("read", "write", "basic")  # what the NVMe front takes of the settings

    async def asyncSetUp(self) -> None:
        self.parties: dict[str, Any] = {}
        self.numbers, self.version = 0, 1
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        for name in (*self.servers, "d"):
            await self.party(name)
        nvme = Path(folder.name) / "nvme.toml"
        boxes = "".join(
            f'[[box]]\nnode = "{name}"\nsubsystem = "box"\nblock_bytes = {self.box_block}\n'
            for name in self.servers
            if name[0] == "b"
        )
        nvme.write_text(
            f'[front]\nlisten = "127.0.0.1:0"\n[[front.namespace]]\nnsid = 1\nblocks = 1000\n'
            f'read_class = "{self.names[0]}"\nwrite_class = "{self.names[1]}"\n'
            f'plan = "{self.names[2]}"\nvolume = "{VOLUME}"\nshard = 1\n'
            f"units = 2\nread_timeout_ms = 9000\nwrite_timeout_ms = 9000\n{boxes}"
        )
        nodes = [name for name in self.servers if name[0] in "nb"]
        rows = [self.row(name, "active") for name in nodes] if self.known else []
        self.config, self.nvme = Path(folder.name) / "config.json", nvme
        self.told = {
            "name": "g0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.parties['d'].port}",
            "seed": "8c1f",
            "settings": self.settings,
            "limits": {"sockets": self.sockets},
            "admin": "127.0.0.1:0",
            "known": {"version": 1, "full": True, "servers": rows},
        }
        self.config.write_text(json.dumps(self.told))
        self.env = {"EDGE_CONFIG": str(self.config), "TMPDIR": folder.name, **await self.environment()}
        self.gateway = Gateway(read_config(self.env, nvme))
        await self.gateway.start()

    def seen(self) -> list[Any]:
        """What the module is told from now on."""
        seen: list[Any] = []
        handle = self.gateway.engine._scheduler.handle

        def noted(now_ms: float, event: Any) -> Any:
            seen.append(event)
            return handle(now_ms, event)

        self.gateway.engine._scheduler.handle = noted
        return seen

    def reload(self, port: int) -> None:
        self.config.write_text(json.dumps({**self.told, "discovery": f"127.0.0.1:{port}"}))
        self.gateway.reload(read_config_again(self.env, self.nvme))

    async def environment(self) -> dict[str, str]:
        """Further variables of the gateway's environment."""
        return {}

    async def asyncTearDown(self) -> None:
        for party in self.parties.values():
            await party.stop()
        await self.gateway.engine.close()
        await self.gateway.http_server.stop(0.1)
        for back in (self.gateway._http, *self.gateway._nvme_clients.values()):
            await back.close()
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
            self.parties[name] = KINDS[name[0]](self, name)
            await self.parties[name].start()
        return self.parties[name]

    async def play(self, text: str) -> None:
        """Play the lines in turn; a failure names its line."""
        for line in filter(None, (line.split("  #")[0].strip() for line in text.splitlines())):
            verb, *words = shlex.split(line)
            try:
                if verb == "wait":
                    await asyncio.sleep(float(words[0]) / 1000)
                    continue
                party = await self.party(words[0])
                if verb == "reload":
                    self.reload(party.port)
                    continue
                named = dict(word.split("=", 1) for word in words[1:] if re.match(r"[\w-]+=", word))
                plain = [word for word in words[1:] if not re.match(r"[\w-]+=", word)]
                await getattr(party, verb)(*plain, **named)
            except Exception as error:
                raise AssertionError(f"{line!r}: {type(error).__name__} {error}") from error
