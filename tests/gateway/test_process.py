"""The program itself: started, stopped by SIGTERM, and two gateways that exchange messages."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest
from pathlib import Path

from shaletiller.net.peers import PeerEndpoint
from tests.net.test_endings import RawClient, encode_request
from tests.support.scenario import SETTINGS, VOLUME, read_message

ROOT = Path(__file__).parent.parent.parent


def free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


class DeployTest(unittest.TestCase):
    def test_the_build_compiles_the_package(self) -> None:
        """The build compiles every module: the file system is read-only at a start, and what is not compiled
        by then is compiled at each start.
        """
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        with tempfile.TemporaryDirectory() as folder:
            shutil.copytree(
                ROOT / "shaletiller",
                Path(folder) / "shaletiller",
                ignore=shutil.ignore_patterns("__pycache__"),
            )
            (Path(folder) / ".venv" / "bin").mkdir(parents=True)
            (Path(folder) / ".venv" / "bin" / "python").symlink_to(sys.executable)
            subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=folder, check=True)
            sources = {path.stem for path in Path(folder, "shaletiller").rglob("*.py")}
            compiled = {path.name.split(".")[0] for path in Path(folder, "shaletiller").rglob("*.pyc")}
        self.assertEqual(compiled, sources)

    def test_the_lists_name_every_source_of_the_gateway(self) -> None:
        """deploy/balancer.toml names each module that a gateway loads, by itself or by its package."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        listed = [ROOT / name for name in deploy["policy"] + deploy["node"]]
        for source in (ROOT / "shaletiller").rglob("*.py"):
            alone = source.parent == ROOT / "shaletiller" and source.name in ("__init__.py", "adapter.py")
            alone = alone or ROOT / "shaletiller" / "lab" in source.parents  # no gateway loads it
            self.assertTrue(alone or any(each in (source, *source.parents) for each in listed), source)


class StartTest(unittest.TestCase):
    def test_a_start_builds_no_tls_and_loads_nothing_that_is_off(self) -> None:
        """Forty gateways that start at the same time on one core share it.

        What each of them loads without need adds up to seconds before the first of them serves a request.
        """
        code = (
            "import ssl, sys\n"
            "made = []\n"
            "class Context(ssl.SSLContext):\n"
            "    def __new__(cls, *args): made.append(args); return super().__new__(cls, *args)\n"
            "ssl.SSLContext = Context\n"
            "import shaletiller.__main__\n"
            "assert sys.modules['ssl'] is ssl  # put back, for those who speak TLS\n"
            "off = ('shaletiller.net.nvme.', 'shaletiller.telemetry.', 'shaletiller.lab',\n"
            "       'shaletiller.fleet.core', 'opentelemetry', 'requests')\n"
            "print(len(made), [name for name in sys.modules if name.startswith(off)])\n"
        )
        found = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, check=True, capture_output=True, text=True
        )
        self.assertEqual(found.stdout.split(), ["0", "[]"])


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_it_gets_ready_and_ends_on_sigterm(self) -> None:
        """A gateway process starts, reloads a faulty and a good file, and gets SIGTERM.

        It must still accept clients and reload for a while after the signal, and then end with exit code 0.
        """
        port = free_port()
        row = {"id": "n1", "addr": "127.0.0.1:1", "cell": 0}
        told = {
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:1",
            "settings": SETTINGS,
            "known": {"version": 1, "full": True, "servers": [row]},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(told))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "shaletiller",
                cwd=ROOT,
                env={"EDGE_CONFIG": str(path)},
                stderr=asyncio.subprocess.PIPE,
            )
            try:
                self.assertEqual(await self.up(port, 20.0), "HTTP/1.1 200 OK")
                assert process.stderr is not None
                told_so = b"".join([await asyncio.wait_for(process.stderr.readline(), 3.0) for _ in range(2)])
                self.assertRegex(
                    told_so, rb"running on uvloop, \d{5,} objects exempt from garbage collection"
                )
                await self.reload(process, path, told)
                sent = time.monotonic()
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.2)  # with the reload 0.4 s of 0.75: a slow machine has the rest
                await self.reload(process, path, told)
                self.assertEqual(await self.up(port, 0.1), "HTTP/1.1 200 OK")  # still accepting
                self.assertEqual(await asyncio.wait_for(process.wait(), 10.0), 0)
                self.assertGreater(time.monotonic() - sent, 0.7)
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    async def test_sigterm_answers_all_that_it_holds_and_exits_with_0(self) -> None:
        """A gateway gets SIGTERM while requests are in flight.

        One request waits in the queue, one is at a node that hangs, one is received in parts across the
        signal, one has half of its response, and clients go on sending on every connection that stays open.
        Each must get its response before the process ends with exit code 0, and no request may be forwarded
        whose response is lost.
        """
        port, files = free_port(), tempfile.TemporaryDirectory()
        self.addCleanup(files.cleanup)
        came: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        seen: set[str] = set()

        async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                try:
                    _, heads, _ = await read_message(reader)
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                seen.add(heads["request-id"])
                if heads["request-id"].startswith("sends-"):
                    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
                else:
                    came.put_nowait((heads["request-id"], writer))

        server = await asyncio.start_server(node, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        told = {
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:1",
            "settings": SETTINGS,
            "known": {
                "version": 1,
                "full": True,
                "servers": [{"id": "n1", "addr": address, "zone": "a", "cell": 1}],
            },
        }
        path = Path(files.name) / "config.json"
        path.write_text(json.dumps(told))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "shaletiller",
            cwd=ROOT,
            env={"EDGE_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        wires: dict[str, RawClient] = {}
        try:
            await self.up(port, 20.0)
            for name in ("waits", "hangs", "body", "half"):
                wires[name] = await RawClient.open(("127.0.0.1", port))
            wires["waits"].send(
                encode_request(
                    1,
                    Request_Id="waits",
                    Request_Timeout_Ms="5000",
                    IO_Info=f"volume={VOLUME},units=2,shard=7,hosts=1",
                )
            )
            wires["hangs"].send(encode_request(2, "PUT", b"x", Request_Id="hangs", Request_Timeout_Ms="5000"))
            wires["half"].send(encode_request(3, Request_Id="half", Request_Timeout_Ms="5000"))
            out = dict([await asyncio.wait_for(came.get(), 3.0) for _ in range(2)])
            out["half"].write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nha")
            whole = encode_request(4, "PUT", b"0123456789", Request_Id="body", Request_Timeout_Ms="5000")
            wires["body"].send(whole[:-4])
            unread: list[str] = []
            senders = [asyncio.ensure_future(self.sends_on(port, number, unread)) for number in range(3)]
            process.send_signal(signal.SIGTERM)
            out["half"].write(b"lf")  # within the time that a node has for an answer
            wires["body"].send(whole[-4:])
            name, writer = await asyncio.wait_for(came.get(), 3.0)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nbody")
            found = {name: await wire.answer() for name, wire in wires.items()}
            self.assertEqual(await asyncio.wait_for(process.wait(), 10.0), 0)
            await asyncio.gather(*senders)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for wire in wires.values():
                wire.close()
        self.assertEqual(name, "body")
        self.assertEqual(found["half"], (200, b"half"))
        self.assertEqual(found["body"], (200, b"body"))
        self.assertEqual((found["hangs"][0], found["waits"][0]), (502, 503))
        self.assertEqual((len(unread), seen.intersection(unread)), (3, set()))  # none was sent on and lost

    async def sends_on(self, port: int, number: int, unread: list[str]) -> None:
        """A client that asks until its connection ends: the last request is the one that was not read."""
        wire = await RawClient.open(("127.0.0.1", port))
        for at in range(100_000):
            try:
                wire.send(encode_request(at, Request_Id=f"sends-{number}-{at}"))
                await wire.answer()
            except (AssertionError, OSError):
                unread.append(f"sends-{number}-{at}")
                break
        wire.close()

    async def reload(self, process: asyncio.subprocess.Process, path: Path, told: dict[str, object]) -> None:
        """SIGHUP with a bad file changes nothing, with a good one the watch moves."""
        called = asyncio.Event()
        agent = await asyncio.start_server(lambda reader, writer: called.set(), "127.0.0.1", 0)
        address = f"127.0.0.1:{agent.sockets[0].getsockname()[1]}"
        for text in ('{"settings": ', json.dumps({**told, "discovery": address})):
            self.assertFalse(called.is_set())
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        await asyncio.wait_for(called.wait(), 3.0)
        agent.close()

    async def up(self, port: int, patience_s: float) -> str:
        until = time.monotonic() + patience_s
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                return first
            except OSError:
                if time.monotonic() > until:
                    raise
                await asyncio.sleep(0.05)


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def test_messages_of_256_bytes_go_out_and_longer_ones_do_not(self) -> None:
        """A gateway sends datagrams of 256 and 257 bytes, one to an unknown peer and one to all, and receives
        one too long, one that is no text and a good one. Only what fits the limit passes, in both directions.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            other.settimeout(3.0)
            addresses = (("127.0.0.1", free_port()), other.getsockname())
            heard: asyncio.Queue[tuple[int, str]] = asyncio.Queue()
            peers = PeerEndpoint(addresses, addresses[1], lambda peer, data: heard.put_nowait((peer, data)))
            await peers.start(addresses[0])
            try:
                peers.send_text(1, "x" * 257)
                peers.send_text(7, "to nobody")
                peers.send_text(1, "y" * 256)
                peers.send_text(None, "all")
                self.assertEqual([other.recv(999), other.recv(999)], [b"y" * 256, b"all"])
                for raw in (b"z" * 257, b"\xff", b"hello"):
                    other.sendto(raw, addresses[0])
                self.assertEqual(await asyncio.wait_for(heard.get(), 3.0), (1, "hello"))
            finally:
                peers.close()
