"""Soak of answers in lumps: one gateway process passes them on beside disturbances of all kinds.

Each run is drawn from a seed: the answers (framing, size, pauses, spoilt or not), the waits of the clients,
the settings, hold-ups of the process, busy processes on its core, drains, ejections, reloads and the end of
the process.  A node tells when it wrote the head of each answer: a sound one whose head was written in time
has to reach its client whole.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from shaletiller.lab.answer_reader import END_OF_HEAD, ReceivedAnswer, read_answer
from shaletiller.lab.disturbances import BUSY_PROCESSES, hold_up, spin_beside
from shaletiller.lab.errors import LabError
from shaletiller.lab.gateway_processes import GatewayProcess
from shaletiller.lab.guarantees import Guarantee, Outcome
from shaletiller.lab.scripted_node import ScriptedNode, answer_bytes, encode_head
from shaletiller.lab.shutdown_soak import KILL_GRACE_S, MAX_KILL_DEADLINE_S, MAX_LATE_S, soak_settings

NODES = 3
LONGEST_DEADLINE_MS = 2500.0
KILL_S = min(LONGEST_DEADLINE_MS / 1000, MAX_KILL_DEADLINE_S) + KILL_GRACE_S  # after SIGTERM
# Before SIGKILL the process begins no answer, and breaks off the rest of those that have begun.
END_S = 0.75
RUN_S = 5.0
CLIENTS = 16
FORMS = ("length", "chunked", "close")
MIN_WAIT_MS, MAX_WAIT_MS = 300, 1200
MAX_SIZE = 32 * 1024 * 1024
LARGE_SHARE = 0.02  # of answers of several MB, up to the maximum
LATE_HEAD_SHARE = 0.1  # of answers whose head comes at any time of their client's wait
# A head that is written later than this before the end of its client's wait may come too late.
HEAD_SLACK_S = 0.1
MAX_HELD_BACK_S = 2.0  # from the last bytes of the node to those at the client
REST_TIMEOUT_S = 8.0  # for a spoilt answer, which may stay silent
SPOILT = ("silent", "stop")


@dataclass(frozen=True, slots=True)
class PlannedAnswer:
    """One request with the answer of its node.

    :param work_ms: time until its head; :param spoilt: whether it stops or breaks off before its end.
    :param write_ms: time from its head to its end, if nothing delays it.
    """

    method: str
    wait_ms: int
    size: int
    work_ms: int
    write_ms: float
    spoilt: str
    query: str

    @classmethod
    def draw(cls, random: Random) -> PlannedAnswer:
        """Draw a request: mostly an answer in some lumps, of which any may come after the client's wait."""
        wait_ms = random.randint(MIN_WAIT_MS, MAX_WAIT_MS)
        size = int(10 ** random.uniform(0, 5.5))
        if random.random() < LARGE_SHARE:
            size = int(10 ** random.uniform(6, 7.525))
        work_ms = random.randint(0, wait_ms) if random.random() < LATE_HEAD_SHARE else random.choice((2, 20))
        pieces = min(size, random.randint(1, 8))
        over_ms = random.choice((0, 300, 1500)) if pieces > 1 else 0
        first_ms = random.choice((0, 0, 30, 150, random.randint(0, wait_ms + 500)))
        pause_ms = random.choice((0, 0, 200, 600, wait_ms + 300)) if pieces > 1 else 0
        spoilt = random.choice(SPOILT) if size > 1 and random.random() < 0.15 else ""
        query = f"&size={size}&work_ms={work_ms}&form={random.choice(FORMS)}&pieces={pieces}"
        query += f"&over_ms={over_ms}&first_ms={first_ms}&pause_ms={pause_ms}"
        if spoilt:
            query += f"&{spoilt}={random.randint(1, size - 1)}"
        method = random.choice(("GET", "GET", "PUT"))
        return cls(method, wait_ms, size, work_ms, first_ms + over_ms + pause_ms, spoilt, query)


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """One run, as drawn from its seed.

    :param hold_ups_s: times from the start of the run at which the process is held up.
    :param calls_s: times of the operators' calls and signals.
    :param ends: whether the process is ended by SIGTERM half way.
    """

    seed: int
    memory_mb: int
    hedging: bool
    max_attempts: int
    busy: int
    hold_ups_s: tuple[float, ...]
    calls_s: tuple[tuple[float, str], ...]
    ends: bool

    @classmethod
    def draw(cls, seed: int) -> AnswerPlan:
        """Draw a run."""
        random = Random(seed)
        busy = BUSY_PROCESSES if random.random() < 0.25 else 0
        hold_ups = random.randint(0, 8) if not busy else 0
        calls = random.sample(("DRAIN", "DISABLE n0", "reload", "DISABLE n1", "reload"), random.randint(0, 4))
        return cls(
            seed,
            random.choice((64, 80, 192)),
            random.random() < 0.5,
            random.randint(1, 3),
            busy,
            tuple(sorted(random.uniform(0.2, RUN_S) for _ in range(hold_ups))),
            tuple((random.uniform(0.5, RUN_S), call) for call in calls),
            random.random() < 0.4,
        )

    def describe(self) -> str:
        """Return the run in one line."""
        calls = ", ".join(call for _, call in self.calls_s) or "no calls"
        end = "SIGTERM" if self.ends else "no end"
        return (
            f"seed {self.seed}: {self.memory_mb} MB, {self.max_attempts} attempts, hedging {self.hedging}, "
            f"{self.busy} busy, {len(self.hold_ups_s)} hold-ups, {calls}, {end}"
        )


@dataclass(slots=True)
class PlayedAnswer:
    """A request that was sent, and what its client received.

    :param first_byte_s: when the answer began, None for never; :param received: None for no whole head.
    """

    name: str
    plan: PlannedAnswer
    sent_s: float
    first_byte_s: float | None = None
    ended_s: float = 0.0
    received: ReceivedAnswer | None = None
    body_is_sound: bool = False


class AnswerRun:
    """One gateway process with its nodes and clients."""

    def __init__(self, plan: AnswerPlan, folder: Path) -> None:
        self._plan, self._folder = plan, folder
        self._random = Random(plan.seed + 1)
        self._nodes = [ScriptedNode() for _ in range(NODES)]
        self._numbers = itertools.count()
        self._begin_s = self._sigterm_s = 0.0
        self.played: list[PlayedAnswer] = []
        self.reasons: dict[str, int] = {}

    async def play(self) -> None:
        """Start the gateway, let the clients ask, and disturb the gateway."""
        process = await self._start_process()
        spinners = [await spin_beside(process.pid) for _ in range(self._plan.busy)]
        self._begin_s = time.monotonic()
        tasks = [asyncio.create_task(self._ask_until_end(process)) for _ in range(CLIENTS)]
        disturbances = [asyncio.create_task(self._disturb(process))]
        disturbances += [asyncio.create_task(self._call(process, *call)) for call in self._plan.calls_s]
        try:
            if self._plan.ends:
                await self._end_process(process)
            await asyncio.gather(*tasks)
            if process.alive:
                self.reasons = {name: count for name, count in (await process.stats()).items() if "." in name}
        finally:
            for task in disturbances:
                task.cancel()
            await asyncio.gather(*disturbances, return_exceptions=True)
            for spinner in spinners:
                spinner.kill()
                await spinner.wait()
            await process.kill()
            for node in self._nodes:
                node.close()

    async def _start_process(self) -> GatewayProcess:
        rows = [
            {"id": f"n{shard}", "addr": f"127.0.0.1:{await node.start()}", "zone": "a", "cell": shard}
            for shard, node in enumerate(self._nodes)
        ]
        settings = soak_settings(LONGEST_DEADLINE_MS)
        limits: dict[str, Any] = {
            "max-attempts": self._plan.max_attempts,
            "second-copies": self._plan.hedging,
        }
        settings["limits"] |= limits
        config = {
            "discovery": "127.0.0.1:1",
            "settings": settings,
            "limits": {"memory_mb": self._plan.memory_mb, "sockets": 2048},
            "known": {"version": 1, "full": True, "servers": rows},
        }
        process = GatewayProcess("g1", self._folder / "g1", config)
        await process.start()
        return process

    async def _disturb(self, process: GatewayProcess) -> None:
        for at_s in self._plan.hold_ups_s:
            await self._sleep_until(at_s)
            await hold_up(process)

    async def _call(self, process: GatewayProcess, at_s: float, call: str) -> None:
        await self._sleep_until(at_s)
        if call == "reload":
            process.send_signal(signal.SIGHUP)
            return
        with contextlib.suppress(LabError, OSError):
            await process.call(call)
            await asyncio.sleep(0.5)
            await process.call(call.replace("DISABLE", "ENABLE").replace("DRAIN", "UNDRAIN"))

    async def _end_process(self, process: GatewayProcess) -> None:
        await self._sleep_until(RUN_S / 2)
        self._sigterm_s = time.monotonic()
        for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            process.send_signal(signal_number)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(KILL_S):
                await process.wait()
        await process.kill()

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._begin_s + at_s - time.monotonic()))

    async def _ask_until_end(self, process: GatewayProcess) -> None:
        while time.monotonic() - self._begin_s < RUN_S and process.alive:
            plan, number = PlannedAnswer.draw(self._random), next(self._numbers)
            with contextlib.suppress(ConnectionError):
                reader, writer = await asyncio.open_connection("127.0.0.1", process.port)
                played = PlayedAnswer(f"a{self._plan.seed}-{number}", plan, time.monotonic())
                self.played.append(played)
                await self._ask(played, reader, writer, number % NODES)
            await asyncio.sleep(0.05)

    @staticmethod
    async def _ask(
        played: PlayedAnswer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, shard: int
    ) -> None:
        plan = played.plan
        body = b"seat 12A" if plan.method == "PUT" else b""
        head = encode_head(plan.method, len(body) or None, played.name, shard, plan.wait_ms, plan.query)
        writer.write(head + body)
        limit_s = (plan.wait_ms + plan.write_ms) / 1000 + REST_TIMEOUT_S
        try:
            async with asyncio.timeout(limit_s):
                first = await reader.readuntil(END_OF_HEAD)
                played.first_byte_s = time.monotonic()
                reader._buffer[:0] = first  # type: ignore[attr-defined]
                played.received = await read_answer(reader)
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            played.ended_s = time.monotonic()
            writer.transport.abort()
        if played.received is not None:
            expected = answer_bytes(0, plan.size)
            played.body_is_sound = expected.startswith(played.received.body)
            is_whole = played.received.is_whole and len(played.received.body) == plan.size
            played.received = played.received._replace(body=b"", is_whole=is_whole)

    def fault_of(self, played: PlayedAnswer) -> str:
        """Return the kind of fault that a request shows, empty for none."""
        received, plan = played.received, played.plan
        if played.first_byte_s is None:
            return "" if self._ends_before(played.sent_s + plan.wait_ms / 1000 + MAX_LATE_S) else "late"
        if played.first_byte_s - played.sent_s > plan.wait_ms / 1000 + MAX_LATE_S:
            return "late"
        is_served = received is not None and received.status == 200
        if is_served and (not played.body_is_sound or (plan.spoilt == "stop" and self._is_whole(played))):
            return "corrupt"
        return "cut off" if self._is_owed_whole(played) and not self._is_whole(played) else ""

    @staticmethod
    def _is_whole(played: PlayedAnswer) -> bool:
        return played.received is not None and played.received.status == 200 and played.received.is_whole

    def _is_owed_whole(self, played: PlayedAnswer) -> bool:
        plan = played.plan
        begun_s = max((node.begun.get(played.name, 0.0) for node in self._nodes), default=0.0)
        in_time = 0 < begun_s < played.sent_s + plan.wait_ms / 1000 - HEAD_SLACK_S
        return in_time and not plan.spoilt and not self._ends_before(begun_s + plan.write_ms / 1000)

    def _ends_before(self, at_s: float) -> bool:
        """Whether the process ends before a time, or so soon after it that nothing is owed."""
        return self._sigterm_s > 0 and at_s > self._sigterm_s + KILL_S - END_S

    def describe(self, played: PlayedAnswer) -> str:
        """Return a request in one line."""
        plan, received = played.plan, played.received
        heads_s = [node.begun[played.name] for node in self._nodes if played.name in node.begun]
        first_s = played.first_byte_s
        return (
            f"{played.name}: {plan.method}, wait {plan.wait_ms} ms, {plan.query}; sent at "
            f"{played.sent_s - self._begin_s:.3f} s, head written after "
            f"{[round(head_s - played.sent_s, 3) for head_s in heads_s]}, "
            f"first byte {'never' if first_s is None else round(first_s - played.sent_s, 3)}, "
            f"status {received.status if received is not None else 'none'}, "
            f"ended {played.ended_s - played.sent_s:.3f}"
        )


def check(runs: Sequence[tuple[AnswerPlan, AnswerRun]], seed: int) -> Outcome:
    """Return the guarantees of a soak."""
    violations: dict[str, list[str]] = {"cut off": [], "corrupt": [], "late": []}
    statuses: Counter[str] = Counter()
    for plan, run in runs:
        for played in run.played:
            kind = "spoilt" if played.plan.spoilt else "sound"
            status = played.received.status if played.received is not None else "none"
            whole = " whole" if run._is_whole(played) else ""
            statuses[f"{kind} {status}{whole}"] += 1
            fault = run.fault_of(played)
            if fault:
                violations[fault].append(f"seed {plan.seed}: {run.describe(played)}")
    names = {
        "cut off": "sound answers begun in time that did not come whole",
        "corrupt": "answers with other bytes, or spoilt ones taken for whole",
        "late": "requests without an answer 0.5 s after their time",
    }
    guarantees = [
        Guarantee(names[kind], 0, len(found), violations=tuple(found)) for kind, found in violations.items()
    ]
    reasons: Counter[str] = Counter()
    for _, run in runs:
        reasons.update(
            {name: n for name, n in run.reasons.items() if "reasons" in name or "responses" in name}
        )
    return Outcome("answers", seed, guarantees, {"answers": dict(statuses), "reasons": dict(reasons)})


async def soak(seeds: Sequence[int], on_run: Callable[[str], None] = lambda line: None) -> Outcome:
    """Play one run for each seed."""
    runs = []
    for seed in seeds:
        plan = AnswerPlan.draw(seed)
        with tempfile.TemporaryDirectory() as folder:
            run = AnswerRun(plan, Path(folder))
            await run.play()
        faults = Counter(fault for played in run.played if (fault := run.fault_of(played)))
        on_run(f"{plan.describe()}: {len(run.played)} requests, {dict(faults) or 'no fault'}")
        runs.append((plan, run))
    return check(runs, seeds[0])
