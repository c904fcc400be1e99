"""Probes of further faults.  They are no cases: REPORT.md says for each what it showed, and why it is none.

    .venv/bin/python review/probes/further.py NAME        TROUBLE=0 leaves the disruption out

Exit codes as for a case; what was sent, answered and run goes to review/probes/record.txt.
"""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import os
import shutil
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from stand import (
    ROOT,
    TROUBLE,
    CannotRunError,
    Client,
    Discovery,
    Gateway,
    Message,
    Record,
    StorageNode,
    config,
    free_ports,
    request_head,
    response,
    run_case,
    settings,
)


async def until_ready(gateway: Gateway) -> None:
    """Wait until READY answers yes."""
    for _ in range(400):
        with contextlib.suppress(OSError):
            if "yes" in await gateway.call("READY"):
                return
        await asyncio.sleep(0.03)
    raise CannotRunError(f"{gateway.label} is not ready")


async def site(record: Record, count: int = 3) -> tuple[Discovery, list[StorageNode]]:
    """Start discovery and storage nodes."""
    discovery = Discovery(record)
    await discovery.start()
    nodes = [StorageNode(f"s-{shard}", shard, record) for shard in range(count)]
    for node in nodes:
        await node.start()
        discovery.put(node)
    return discovery, nodes


async def reads(port: int, shard: int, count: int = 5) -> Counter[int]:
    """Send reads to a shard, one after another, and count the statuses."""
    client = Client(port)
    await client.connect()
    statuses: Counter[int] = Counter()
    for _ in range(count):
        _, head = request_head("GET", "passenger-read", shard=shard, timeout_ms=400)
        answer = await client.exchange(head)
        statuses[answer.status if answer else 0] += 1
    client.close()
    return statuses


def fleet_file(ports: list[int], store: Path | None = None) -> str:
    """Return an operator file with a fleet, and with a store and replicated records if `store` is given."""
    members = "".join(f'  member "g{i}" address="127.0.0.1:{port}"\n' for i, port in enumerate(ports))
    text = f'fleet {{\n  name "f"\n  carrier "tcp"\n{members}}}\n'
    if store is not None:
        text += f'store {{\n  dir "{store}"\n}}\npromises {{\n  on true\n}}\n'
    return text


class Fleet:
    """Three gateways of a fleet."""

    def __init__(self, folder: Path, record: Record, discovery: Discovery, stores: bool = False) -> None:
        self.folder, self.record, self.discovery, self.stores = folder, record, discovery, stores
        self.links, self.ports = free_ports(3), free_ports(3)
        self.gateways = [self.make(number, f"g{number}") for number in range(3)]

    def make(self, number: int, label: str) -> Gateway:
        (admin,) = free_ports(1)
        store = self.folder / f"store{number}" if self.stores else None
        return Gateway(
            self.folder,
            self.record,
            config(f"g{number}", self.ports[number], self.discovery, admin=f"127.0.0.1:{admin}",
                   settings=settings(balancers=3, position=number)),
            label=label,
            operator=fleet_file(self.links, store),
            tmpdir=self.folder / f"tmp{number}",
        )

    async def start(self) -> None:
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await until_ready(gateway)
        await asyncio.sleep(4.0)


async def stale_ban(folder: Path, record: Record) -> list[str]:
    """A gateway that was down while an ejection was lifted ejects the node again, at all gateways."""
    discovery, nodes = await site(record)
    fleet = Fleet(folder, record, discovery)
    await fleet.start()
    first, second, _ = fleet.gateways
    await first.call("DISABLE s-1")
    await asyncio.sleep(1.0)
    if TROUBLE:
        first.send_signal(signal.SIGTERM)
        await first.wait(8)
    answer = await second.call("ENABLE s-1")
    await asyncio.sleep(2.0)
    before = await reads(fleet.ports[1], 1)
    record(f"reads of shard 1 through g1 after ENABLE: {dict(before)}")
    if TROUBLE:
        back = fleet.make(0, "g0-back")
        await back.start()
        await until_ready(back)
    await asyncio.sleep(5.0)
    after = {number: await reads(fleet.ports[number], 1) for number in range(3)}
    record(f"reads of shard 1 after g0 is back: {after}")
    served = sum(statuses[200] for statuses in after.values())
    if answer.startswith("done") and before[200] and not served:
        return [f"ENABLE s-1 was answered {answer!r} and held; after g0 is back no gateway sends to s-1: {after}"]
    return []


async def kept_here(folder: Path, record: Record) -> list[str]:
    """An ejection that is "kept here only" is lifted at the restart by an older ENABLE in the store."""
    discovery, nodes = await site(record)
    fleet = Fleet(folder, record, discovery, stores=True)
    await fleet.start()
    first = fleet.gateways[0]
    await first.call("DISABLE s-1")
    await asyncio.sleep(0.5)
    await first.call("ENABLE s-1")
    await asyncio.sleep(0.5)
    for gateway in fleet.gateways[1:]:
        gateway.send_signal(signal.SIGKILL)
        await gateway.wait(5)
    await asyncio.sleep(1.0)
    answer = await first.call("DISABLE s-1")
    record(f"reads of shard 1 after DISABLE: {dict(await reads(fleet.ports[0], 1))}")
    count = len(nodes[1].runs)
    if TROUBLE:
        first.send_signal(signal.SIGTERM)
        await first.wait(8)
        back = fleet.make(0, "g0-back")
        await back.start()
        await until_ready(back)
        await asyncio.sleep(3.0)
    statuses = await reads(fleet.ports[0], 1)
    if len(nodes[1].runs) > count:
        return [f"DISABLE s-1 was answered {answer!r}; after a restart s-1 gets requests: {dict(statuses)}"]
    return []


async def two_doors(folder: Path, record: Record) -> list[str]:
    """While one process replaces another, a DISABLE at one door undoes a DISABLE at the other."""
    discovery, nodes = await site(record)
    (port,) = free_ports(1)
    doors = free_ports(2)
    old, new = (
        Gateway(folder, record, config("n1", port, discovery, admin=f"127.0.0.1:{door}"), label=label,
                tmpdir=folder / "shared")
        for label, door in zip(("old", "new"), doors, strict=True)
    )
    await old.start()
    await until_ready(old)
    if TROUBLE:
        await new.start()
        await until_ready(new)
        await asyncio.sleep(1.0)
    answers = [await old.call("DISABLE s-1"), await (new if TROUBLE else old).call("DISABLE s-2")]
    await asyncio.sleep(2.5)  # past the grace
    statuses = [await reads(port, 1), await reads(port, 2)]
    runs = [len(nodes[1].runs), len(nodes[2].runs)]
    if any(runs):
        return [f"both DISABLE answered {answers}; 2.5 s later s-1 and s-2 get requests: {runs}, {statuses}"]
    return []


async def limit(folder: Path, record: Record) -> list[str]:
    """While one process replaces another, both spend the gateway's part of a plan's limit."""
    discovery, nodes = await site(lambda line: None, 1)  # type: ignore[arg-type]
    rate, burst, slack = 20.0, 20.0, 10.0
    plan = {"name": "basic", "base-rate": 40.0, "reserve": 20.0, "ceiling-rate": rate, "burst": burst, "slack": slack}
    (port,) = free_ports(1)
    old, new = (
        Gateway(folder, record, config("n1", port, discovery, admin=f"127.0.0.1:{door}",
                                       settings=settings(contracts=[plan])),
                label=label, tmpdir=folder / "shared")
        for label, door in zip(("old", "new"), free_ports(2), strict=True)
    )
    await old.start()
    await until_ready(old)
    stopping = False

    async def client(keeps: bool) -> None:
        while not stopping:
            connection = Client(port)
            with contextlib.suppress(OSError):
                await connection.connect()
                for _ in range(1_000_000 if keeps else 20):
                    if stopping:
                        break
                    _, head = request_head("GET", "passenger-read", timeout_ms=700)
                    if await connection.exchange(head) is None:
                        break
                    await asyncio.sleep(0.05)
            connection.close()

    clients = [asyncio.ensure_future(client(number % 2 == 0)) for number in range(8)]
    await asyncio.sleep(6.0)
    if TROUBLE:
        await new.start()
        await until_ready(new)
        old.send_signal(signal.SIGTERM)
        await old.wait(8)
    await asyncio.sleep(6.0)
    stopping = True
    await asyncio.gather(*clients)
    level, last, lowest = burst, nodes[0].runs[0].at, burst
    for run in sorted(nodes[0].runs, key=lambda run: run.at):
        level, last = min(burst, level + rate * (run.at - last)) - 2.0, run.at  # each request has 2 units
        lowest = min(lowest, level)
    record(f"{len(nodes[0].runs)} requests sent, the volume's store fell to {lowest:.1f}, allowed is {-slack:.1f}")
    return [f"the volume's store fell to {lowest:.1f}, allowed is {-slack:.1f}"] if lowest < -slack else []


async def reload_limit(folder: Path, record: Record) -> list[str]:
    """In a fleet, a lower limit of a plan that SIGHUP brings is applied, and not held."""
    discovery, nodes = await site(lambda line: None, 1)  # type: ignore[arg-type]
    links, ports, doors = free_ports(2), free_ports(2), free_ports(2)

    def document(rate: float, number: int) -> dict[str, object]:
        plan = {"name": "basic", "base-rate": 100.0, "reserve": 20.0, "ceiling-rate": rate, "burst": rate, "slack": rate}
        return settings(balancers=2, position=number, contracts=[plan])

    gateways = [
        Gateway(folder, record, config(f"g{number}", ports[number], discovery, admin=f"127.0.0.1:{doors[number]}",
                                       settings=document(100.0, number)), operator=fleet_file(links))
        for number in range(2)
    ]
    for gateway in gateways:
        await gateway.start()
    for gateway in gateways:
        await until_ready(gateway)
    stopping = False

    async def client(number: int) -> None:
        connection = Client(ports[number % 2])
        await connection.connect()
        while not stopping:
            _, head = request_head("GET", "passenger-read", timeout_ms=700)
            await connection.exchange(head.replace(b"hosts=1", b"hosts=2"))
            await asyncio.sleep(0.02)
        connection.close()

    clients = [asyncio.ensure_future(client(number)) for number in range(8)]
    await asyncio.sleep(5.0)
    rate = 100.0
    if TROUBLE:
        rate = 20.0
        for number, gateway in enumerate(gateways):
            gateway.config = gateway.config | {"settings": document(rate, number)}
            gateway.write_config()
            gateway.send_signal(signal.SIGHUP)
    await asyncio.sleep(3.0)
    began = time.monotonic()
    await asyncio.sleep(8.0)
    stopping = True
    await asyncio.gather(*clients)
    spent = 2.0 * sum(run.at >= began for run in nodes[0].runs) / 8.0
    applied = [(await gateway.stats())["edge.sighup_applied"] for gateway in gateways]
    record(f"from 3 s after SIGHUP on, 8 s: {spent:.0f} units a second of {rate:.0f}; files applied: {applied}")
    return [f"{spent:.0f} units a second of {rate:.0f}, files applied: {applied}"] if spent > 1.5 * rate else []


async def box(folder: Path, record: Record) -> list[str]:
    """A keyed HTTP write whose NVMe connection drops after it was sent is sent again: NVMe carries no key."""
    from shaletiller.config.nvme import NvmeNamespace, NvmeTargetConfig
    from shaletiller.core.model import ClientCall, Exchange, FinalResponse, FinalResult
    from shaletiller.net.nvme.target import NvmeTarget

    discovery = Discovery(record)
    await discovery.start()
    writes: list[bytes] = []

    class Box:
        """The box's store; its first write drops the connections of the association."""

        def submit(self, call: ClientCall, respond: object) -> Exchange:
            writes.append(call.body.rstrip(b"\0"))
            record(f"the box runs a Write of block {call.key}: {writes[-1]!r}")

            def end() -> None:
                if TROUBLE and len(writes) == 1:
                    for controller in list(target.controllers.values()):
                        controller.abort()
                else:
                    respond(FinalResponse(FinalResult.SERVED))  # type: ignore[operator]

            asyncio.get_running_loop().call_later(0.01, end)
            return Exchange(call, respond, 0, 0)  # type: ignore[arg-type]

        def on_client_disconnected(self, exchange: Exchange) -> None:
            """Do nothing: what has run has run."""

    namespace = NvmeNamespace(1, 1000, "r", "w", "p", "00000003b4d60021", 0)
    target = NvmeTarget(NvmeTargetConfig("", "box", 32, 32, (namespace,)), Box())
    await target.start("127.0.0.1", 0)
    node = StorageNode("b-1", 0, record)
    node.port = target.address[1]
    discovery.put(node)
    tree = folder / "tree"
    shutil.copytree(ROOT / "shaletiller", tree / "shaletiller", ignore=shutil.ignore_patterns("__pycache__"))
    (tree / "deploy").mkdir()
    (tree / "deploy" / "nvme.toml").write_text('[[box]]\nnode = "b-1"\nsubsystem = "box"\n')
    os.symlink(ROOT / ".venv", tree / ".venv")
    document = settings()
    document["classes"][1] |= {"effect": "idempotency_key", "dedup-scope": "cell", "key-ttl-ms": 2500.0}
    (port,) = free_ports(1)
    gateway = Gateway(folder, record, config("n1", port, discovery, settings=document), root=tree)
    await gateway.start()
    await gateway.ready()
    client = Client(port)
    await client.connect()
    _, head = request_head("PUT", "checkin-write", 8, key=f"{7:016x}", headers={"Idempotency-Key": "k-1"})
    answer = await client.exchange(head + b"seat 12A")
    record(f"answered {answer.status if answer else 'by a close'}")
    return [f"one request, run {len(writes)} times by the box"] if len(writes) > 1 else []


async def compressed(folder: Path, record: Record) -> list[str]:
    """A body with Content-Encoding: gzip reaches the storage node decompressed."""
    discovery, nodes = await site(record, 1)
    (port,) = free_ports(1)
    gateway = Gateway(folder, record, config("n1", port, discovery))
    await gateway.start()
    await gateway.ready()
    body = gzip.compress(b"boarding list " * 50)
    client = Client(port)
    await client.connect()
    headers = {"Content-Encoding": "gzip"} if TROUBLE else {}
    _, head = request_head("PUT", "checkin-write", len(body), headers=headers)
    answer = await client.exchange(head + body)
    ran = nodes[0].runs[0].body if nodes[0].runs else b""
    if ran != body:
        return [f"sent {len(body)} bytes, answered {answer.status if answer else 0}, run with {len(ran)} bytes"]
    return []


async def late_copy(folder: Path, record: Record) -> list[str]:
    """A second copy of an answer that comes 12 ms after the first is taken for the answer to the next request."""
    discovery, (node,) = await site(record, 1)
    one_way_s = 0.001  # "0.7 to 1.3 ms one way" between two halls
    waiting = 0

    async def answer(message: Message, writer: asyncio.StreamWriter) -> bytes | None:
        nonlocal waiting
        waiting += 1
        await asyncio.sleep(one_way_s)
        raw = response(200, f"made for {message.headers['request-id']}".encode())

        async def copy() -> None:
            await asyncio.sleep(0.012)
            if not arrived():  # nothing else waits on the connection, as far as the node can know
                await asyncio.sleep(one_way_s)
                with contextlib.suppress(OSError):
                    writer.write(raw)
                    record("the node sends a second copy")

        begun = time.monotonic()

        def arrived() -> bool:
            return any(run.at + one_way_s > begun and run.at + one_way_s <= time.monotonic() for run in node.runs[-1:])

        if TROUBLE:
            asyncio.get_running_loop().call_later(one_way_s, lambda: asyncio.ensure_future(copy()))
        await asyncio.sleep(one_way_s)
        waiting -= 1
        return raw

    node.answer = answer
    (port,) = free_ports(1)
    gateway = Gateway(folder, record, config("n1", port, discovery))
    await gateway.start()
    await gateway.ready()
    client = Client(port)
    await client.connect()
    foreign = 0
    for number in range(200):
        request, head = request_head("GET", "passenger-read")
        got = await client.exchange(head)
        if got is not None and got.status == 200 and got.body != f"made for {request}".encode():
            foreign += 1
            record(f"GET {request} answered 200 with {got.body!r}")
        await asyncio.sleep(0.0095 + 0.00005 * (number % 60))
    return [f"{foreign} of 200 reads were answered with the answer to another request"] if foreign else []


PROBES = {
    "stale-ban": stale_ban, "kept-here": kept_here, "two-doors": two_doors, "limit": limit,
    "reload-limit": reload_limit, "box": box, "compressed": compressed, "late-copy": late_copy,
}

if __name__ == "__main__":
    if sys.argv[1:2] == [] or sys.argv[1] not in PROBES:
        print(f"usage: further.py {' | '.join(PROBES)}", file=sys.stderr)
        sys.exit(2)
    run_case(PROBES[sys.argv[1]], Path(__file__).parent)
