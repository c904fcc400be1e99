"""Tests of the gateway process: deploy files, start, reload, shutdown by SIGTERM, and peer messages."""

from __future__ import annotations

import asyncio
import contextlib
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

from shaletiller.lab.port_reservations import reserve_port
from shaletiller.net.peers import PeerEndpoint
from tests.net.test_endings import RawClient, encode_request
from tests.support.scenario import SETTINGS, VOLUME, read_message

ROOT = Path(__file__).parent.parent.parent


async def start_gateway(config_file: Path, stderr: int) -> asyncio.subprocess.Process:
    """Start a gateway process with a configuration file."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "shaletiller",
        cwd=ROOT,
        env={"EDGE_CONFIG": str(config_file)},
        stderr=stderr,
    )


class DeployTest(unittest.TestCase):
    def test_the_build_compiles_the_package(self) -> None:
        """The build compiles every module.

        The file system is read-only when a gateway starts: modules that are not compiled by then are compiled
        at each start.
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
        """deploy/balancer.toml lists each module that a gateway loads, or its package."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        listed = [ROOT / name for name in deploy["policy"] + deploy["node"]]
        for source in (ROOT / "shaletiller").rglob("*.py"):
            alone = source.parent == ROOT / "shaletiller" and source.name in ("__init__.py", "adapter.py")
            alone = alone or ROOT / "shaletiller" / "lab" in source.parents  # no gateway loads it
            self.assertTrue(alone or any(path in (source, *source.parents) for path in listed), source)


class StartTest(unittest.TestCase):
    def test_a_start_builds_no_tls_and_loads_nothing_that_is_off(self) -> None:
        """Forty gateways start at the same time on one core.

        Modules that each of them loads without need add up to seconds before the first one serves a request.
        """
        code = (
            "import ssl, sys\n"
            "made = []\n"
            "class Context(ssl.SSLContext):\n"
            "    def __new__(cls, *args): made.append(args); return super().__new__(cls, *args)\n"
            "ssl.SSLContext = Context\n"
            "import shaletiller.__main__\n"
            "assert sys.modules['ssl'] is ssl  # restored, for code that uses TLS\n"
            "off = ('shaletiller.net.nvme.', 'shaletiller.telemetry.', 'shaletiller.lab',\n"
            "       'shaletiller.fleet.core', 'opentelemetry', 'requests')\n"
            "print(len(made), [name for name in sys.modules if name.startswith(off)])\n"
        )
        process = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, check=True, capture_output=True, text=True
        )
        self.assertEqual(process.stdout.split(), ["0", "[]"])


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_it_gets_ready_and_ends_on_sigterm(self) -> None:
        """A gateway process starts, reloads an invalid and a valid file, and receives SIGTERM.

        After the signal it must accept clients and reload for some time, and then end with exit code 0.
        """
        port = reserve_port()
        row = {"id": "n1", "addr": "127.0.0.1:1", "cell": 0}
        config_document = {
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:1",
            "settings": SETTINGS,
            "known": {"version": 1, "full": True, "servers": [row]},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(config_document))
            process = await start_gateway(path, asyncio.subprocess.PIPE)
            try:
                self.assertEqual(await self.wait_until_up(port, 20.0), "HTTP/1.1 200 OK")
                assert process.stderr is not None
                log_lines = b"".join(
                    [await asyncio.wait_for(process.stderr.readline(), 3.0) for _ in range(2)]
                )
                self.assertRegex(
                    log_lines, rb"running on uvloop, \d{5,} objects exempt from garbage collection"
                )
                await self.reload(process, path, config_document)
                sent = time.monotonic()
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.2)  # with the reload 0.4 of 0.75 s, to tolerate slow machines
                await self.reload(process, path, config_document)
                self.assertEqual(await self.wait_until_up(port, 0.1), "HTTP/1.1 200 OK")  # still accepting
                self.assertEqual(await asyncio.wait_for(process.wait(), 10.0), 0)
                self.assertGreater(time.monotonic() - sent, 0.7)
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    async def test_sigterm_answers_all_requests_in_flight_and_exits_with_0(self) -> None:
        """A gateway receives SIGTERM while requests are in flight.

        One request waits in the queue, one is at a node that does not respond, one is received partly before
        and partly after the signal, one has half of its response, and clients keep sending on open
        connections.  Each request must get its response before the process ends with exit code 0, and no
        request may be forwarded whose response is lost.
        """
        port, files = reserve_port(), tempfile.TemporaryDirectory()
        self.addCleanup(files.cleanup)
        requests_received: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        request_ids: set[str] = set()

        async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            ended = (asyncio.IncompleteReadError, ConnectionError)
            with contextlib.closing(writer), contextlib.suppress(*ended):
                while True:
                    _, headers, _ = await read_message(reader)
                    request_ids.add(headers["request-id"])
                    if headers["request-id"].startswith("sends-"):
                        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
                    else:
                        requests_received.put_nowait((headers["request-id"], writer))

        server = await asyncio.start_server(node, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        config_document = {
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
        path.write_text(json.dumps(config_document))
        process = await start_gateway(path, asyncio.subprocess.DEVNULL)
        clients: dict[str, RawClient] = {}
        try:
            await self.wait_until_up(port, 20.0)
            for name in ("waits", "hangs", "body", "half"):
                clients[name] = await RawClient.open(("127.0.0.1", port))
            clients["waits"].send(
                encode_request(
                    1,
                    Request_Id="waits",
                    Request_Timeout_Ms="5000",
                    IO_Info=f"volume={VOLUME},units=2,shard=7,hosts=1",
                )
            )
            clients["hangs"].send(
                encode_request(2, "PUT", b"x", Request_Id="hangs", Request_Timeout_Ms="5000")
            )
            clients["half"].send(encode_request(3, Request_Id="half", Request_Timeout_Ms="5000"))
            writers = dict([await asyncio.wait_for(requests_received.get(), 3.0) for _ in range(2)])
            writers["half"].write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nha")
            request = encode_request(4, "PUT", b"0123456789", Request_Id="body", Request_Timeout_Ms="5000")
            clients["body"].send(request[:-4])
            unread: list[str] = []
            senders = [
                asyncio.ensure_future(self.send_until_closed(port, number, unread)) for number in range(3)
            ]
            process.send_signal(signal.SIGTERM)
            writers["half"].write(b"lf")  # within the timeout of an attempt
            clients["body"].send(request[-4:])
            name, writer = await asyncio.wait_for(requests_received.get(), 3.0)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nbody")
            responses = {name: await client.read_response() for name, client in clients.items()}
            self.assertEqual(await asyncio.wait_for(process.wait(), 10.0), 0)
            await asyncio.gather(*senders)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for client in clients.values():
                client.close()
        self.assertEqual(name, "body")
        self.assertEqual(responses["half"], (200, b"half"))
        self.assertEqual(responses["body"], (200, b"body"))
        self.assertEqual((responses["hangs"][0], responses["waits"][0]), (502, 503))
        self.assertEqual(len(unread), 3)
        self.assertEqual(request_ids.intersection(unread), set())  # none was forwarded and lost its response

    async def send_until_closed(self, port: int, number: int, unread: list[str]) -> None:
        """Send requests until the connection is closed; the id of the unanswered one is added to `unread`."""
        client = await RawClient.open(("127.0.0.1", port))
        for index in range(100_000):
            try:
                client.send(encode_request(index, Request_Id=f"sends-{number}-{index}"))
                await client.read_response()
            except (AssertionError, OSError):
                unread.append(f"sends-{number}-{index}")
                break
        client.close()

    async def reload(
        self, process: asyncio.subprocess.Process, path: Path, config_document: dict[str, object]
    ) -> None:
        """Send SIGHUP with an invalid file, which changes nothing, and with another address of discovery."""
        called = asyncio.Event()

        def end_call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            called.set()
            writer.close()

        agent = await asyncio.start_server(end_call, "127.0.0.1", 0)
        address = f"127.0.0.1:{agent.sockets[0].getsockname()[1]}"
        for text in ('{"settings": ', json.dumps({**config_document, "discovery": address})):
            self.assertFalse(called.is_set())
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
        await asyncio.wait_for(called.wait(), 3.0)
        agent.close()

    async def wait_until_up(self, port: int, timeout_s: float) -> str:
        deadline_s = time.monotonic() + timeout_s
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                status_line, _, _ = await read_message(reader)
                writer.close()
                return status_line
            except OSError:
                if time.monotonic() > deadline_s:
                    raise
                await asyncio.sleep(0.05)


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def test_messages_of_256_bytes_go_out_and_longer_ones_do_not(self) -> None:
        """Datagrams are sent and received with 256 bytes, which is the limit, and with 257 bytes.

        Others are sent to an unknown peer and to all peers, or received with bytes that are not valid UTF-8.
        Only valid datagrams within the limit pass, in both directions.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind(("127.0.0.1", 0))
            other.settimeout(3.0)
            addresses = (("127.0.0.1", reserve_port()), other.getsockname())
            received: asyncio.Queue[tuple[int, str]] = asyncio.Queue()
            peers = PeerEndpoint(
                addresses, addresses[1], lambda peer, data: received.put_nowait((peer, data))
            )
            await peers.start(addresses[0])
            try:
                peers.send_text(1, "x" * 257)
                peers.send_text(7, "to nobody")
                peers.send_text(1, "y" * 256)
                peers.send_text(None, "all")
                self.assertEqual([other.recv(999), other.recv(999)], [b"y" * 256, b"all"])
                for raw in (b"z" * 257, b"\xff", b"hello"):
                    other.sendto(raw, addresses[0])
                self.assertEqual(await asyncio.wait_for(received.get(), 3.0), (1, "hello"))
            finally:
                peers.close()
