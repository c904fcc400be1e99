"""Tests that decisions do not depend on the names and the order of a customer's classes, plans and tenants.

The same requests of two customers with different names and orders get the same responses over sockets and the
same decisions of the scheduler.  The names of one site do not occur in the program.
"""

from __future__ import annotations

import asyncio
import heapq
import random
import re
from pathlib import Path
from typing import Any, ClassVar

from shaletiller.messages.actions import Fail, Reject, SendAttempt, StartTimer
from shaletiller.messages.endpoints import EndpointEntry, EndpointState, UpdateKind
from shaletiller.messages.events import AttemptEnded, EndpointListUpdate, Event, Request, TimerExpired
from shaletiller.messages.outcomes import Outcome
from shaletiller.policy import Scheduler
from shaletiller.settings.decoder import read_settings
from tests.net.test_endings import RaceScenario, RawClient, encode_request, reset_stream
from tests.support.scenario import SETTINGS, on_settable_clock

ROOT = Path(__file__).parent.parent.parent
EFFECTS = ("read_like", "non_idempotent", "idempotency_key", "read_like")
CLASSES = [
    {
        "name": name,
        "target-ms": objective_ms,
        "hard-limit-ms": deadline_ms,
        "effect": effect,
        "importance": priority_weight,
        "late-share": 0.1,
        "dedup-scope": "all",
        "key-ttl-ms": 2500.0,
    }
    for name, objective_ms, deadline_ms, effect, priority_weight in zip(
        ("reads", "writes", "orders", "scans"),
        (150.0, 200.0, 300.0, 700.0),
        (750.0, 900.0, 900.0, 900.0),
        EFFECTS,
        (3.0, 2.0, 2.0, 1.0),
        strict=True,
    )
]
WRITES = [False, True, True, False]
PLANS = [
    {"name": "one", "base-rate": 50.0, "reserve": 20.0, "proportion": 1.0, "value-factor": 0.7},
    {"name": "two", "base-rate": 50.0, "reserve": 20.0, "proportion": 3.0, "value-factor": 0.9},
    # Its burst is smaller than a request, so that each request is rejected.
    {"name": "three", "base-rate": 50.0, "proportion": 4.0, "ceiling-rate": 0.001, "burst": 1.0},
]
# The second customer: its names of the classes and plans above, and their order in its settings.
NAMES = {
    "reads": "Zaehler",
    "writes": "a.b c",
    "orders": "reads",
    "scans": "writes",
    "one": "three",
    "two": "x-1",
    "three": "one",
}
CLASS_ORDER, PLAN_ORDER = (2, 0, 3, 1), (1, 2, 0)


def customer_settings(renamed: bool, reordered: bool | None = None) -> dict[str, Any]:
    """Return the settings of a customer.

    :param renamed: whether to use the names of the second customer.
    :param reordered: whether to use the order of the second customer; None for the same as `renamed`.
    """
    reordered = renamed if reordered is None else reordered
    order, plans = (CLASS_ORDER, PLAN_ORDER) if reordered else (range(4), range(3))
    return {
        **SETTINGS,
        "classes": [{**CLASSES[at], "name": name_for(str(CLASSES[at]["name"]), renamed)} for at in order],
        "contracts": [{**PLANS[at], "name": name_for(str(PLANS[at]["name"]), renamed)} for at in plans],
        "domain": {**SETTINGS["domain"], "writes": [WRITES[at] for at in order]},
    }


def name_for(name: str, renamed: bool) -> str:
    return NAMES[name] if renamed else name


def volume(tenant: int, renamed: bool) -> str:
    return f"{(0xF00D - tenant * 7) if renamed else tenant + 1:016x}"


# The gateway's clock advances in steps of this length while all requests wait for it, and between two waves.
STEP_MS = 5.0
# Guards against a run that hangs; it is not a limit of the speed.
WAVE_TIMEOUT_S = 60.0

# How the first attempt of a request ends; later attempts are served.
FATES = ("ok", "reset", "error", "not started", "cut", "no node", "silent")


class OverSockets(RaceScenario):
    """Sends waves of requests of each class, plan and fate; records their responses and numbers of attempts.

    The gateway's clock advances only while all requests of a wave wait for it, so that decisions do not
    depend on the speed of the machine.
    """

    async def day(self, renamed: bool) -> list[tuple[int, bytes, int]]:
        rng = random.Random(18)
        self.renamed = renamed
        self.sent: dict[int, int] = {}  # attempts received by a node, by request
        self.plan = [
            (rng.randrange(4), rng.choice((0, 0, 1, 1, 2)), rng.choice(FATES[:6]), rng.randrange(5))
            for _ in range(150)
        ]
        self.plan += [(kind, 0, "silent", 0) for kind in range(4)]
        self.parties["n1"].script = self.respond
        found = []
        for at in range(0, len(self.plan), 3):
            async with asyncio.timeout(WAVE_TIMEOUT_S):
                found += await self.play_wave(range(at, min(at + 3, len(self.plan))))
            await self.wait(STEP_MS)
        return found

    async def respond(self, party: Any, found: Any) -> None:
        """Respond to an attempt as the node, according to the fate of its request."""
        _, headers, _, writer, _ = found
        number = int(headers["request-id"].split("-")[1])
        self.sent[number] = self.sent.get(number, 0) + 1
        fate = self.plan[number][2] if self.sent[number] == 1 else "ok"
        body = f"served {number}".encode()
        response = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if fate == "reset":
            reset_stream(writer)
        elif fate == "cut":
            writer.write(response[:-3])
            await writer.drain()
            reset_stream(writer)
        elif fate != "silent":
            writer.write(
                {
                    "ok": response,
                    "error": b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
                    "not started": b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
                }[fate]
            )

    async def request(self, number: int) -> tuple[int, bytes, int]:
        """Send a request as its client; return the response and the number of attempts received by a node."""
        kind, tier, fate, tenant = self.plan[number]
        client = await RawClient.open(self.gateway.http_server.address)
        client.timeout_s = WAVE_TIMEOUT_S
        write, shard = WRITES[kind], 7 if fate == "no node" else 1
        key = {"Idempotency_Key": f"k{number}"} if EFFECTS[kind] == "idempotency_key" else {}
        client.send(
            encode_request(
                number,
                "PUT" if write else "GET",
                b"x" if write else b"",
                **key,
                Request_Id=f"r-{number}",
                Tier=name_for(str(PLANS[tier]["name"]), self.renamed),
                Request_Class=name_for(str(CLASSES[kind]["name"]), self.renamed),
                Request_Timeout_Ms="150" if fate in ("no node", "silent") else "900",
                IO_Info=f"volume={volume(tenant, self.renamed)},units=2,shard={shard},hosts=1",
            )
        )
        status, body = await client.read_response()
        client.close()
        return status, body if status == 200 else b"", self.sent.get(number, 0)

    def waits_for_time(self, number: int) -> bool:
        """Return whether a request makes no progress until the gateway's clock advances."""
        exchange = self.gateway.engine.exchanges.get(f"r-{number}")
        if exchange is None:
            return False
        is_silent = self.plan[number][2] == "silent" and number in self.sent
        return is_silent or all(attempt.outcome is not None for attempt in exchange.attempts)

    async def play_wave(self, numbers: range) -> list[tuple[int, bytes, int]]:
        """Send requests at the same time; advance the clock while all unanswered requests wait for it."""
        answers = {number: asyncio.ensure_future(self.request(number)) for number in numbers}
        while not all(answer.done() for answer in answers.values()):
            while not all(answer.done() or self.waits_for_time(number) for number, answer in answers.items()):
                await asyncio.sleep(0.001)
            await self.wait(STEP_MS)
        return await asyncio.gather(*answers.values())

    @on_settable_clock
    async def test_the_same_day_gets_the_same_answers(self) -> None:
        """Requests with faults are played for two customers with different names and order of settings.

        Each request gets the same response, with the same number of attempts.
        """
        found = {}
        for renamed in (False, True):
            await self.asyncTearDown()
            self.settings = customer_settings(renamed)
            self.namespace_names = (
                name_for("reads", renamed),
                name_for("writes", renamed),
                name_for("one", renamed),
            )
            await self.asyncSetUp()
            found[renamed] = await self.day(renamed)
        self.assertEqual(found[False], found[True])
        statuses = [status for status, *_ in found[False]]
        self.assertEqual(set(statuses), {200, 502, 503})  # all final results occur
        self.assertGreater(min(statuses.count(status) for status in (200, 502, 503)), 10)


class LongDeadlines(RaceScenario):
    """Classes with deadlines of minutes or days are served like any other."""

    settings: ClassVar[dict[str, Any]] = {
        **SETTINGS,
        "classes": [{**each, "hard-limit-ms": 8.64e7, "target-ms": 4.0e7} for each in SETTINGS["classes"]],
    }

    async def test_a_request_with_minutes_left_is_served(self) -> None:
        """Requests with timeouts from one minute to two days, which their classes allow, are served."""
        for number, timeout_ms in enumerate(("60001", "88719", "228552", "86400000", "172800000")):
            with self.subTest(timeout_ms=timeout_ms):
                await asyncio.wait_for(
                    self.serve_request(await self.connect_client(), number, Request_Timeout_Ms=timeout_ms), 5
                )


def simulate_scheduler(renamed: bool, reordered: bool, busy: float) -> list[tuple[float, str, str]]:
    """Simulate requests on a virtual clock with one node of two workers; return the actions for each request.

    :param busy: ratio of the load to the load at which a request arrives every 10 ms.
    """
    rng = random.Random(31)
    settings = read_settings({**customer_settings(renamed, reordered), "balancers": 3})
    scheduler, now = Scheduler(settings, 5), 0.0
    queue: list[tuple[float, int, Event]] = []
    found, count, free = [], 0, [0.0, 0.0]

    def put(at: float, event: Event) -> None:
        nonlocal count
        count += 1
        heapq.heappush(queue, (at, count, event))

    put(0.0, EndpointListUpdate(UpdateKind.FULL, (EndpointEntry("n1", "a", 1, EndpointState.READY),)))
    for number in range(600):
        kind, tier, tenant = rng.randrange(4), rng.randrange(2), rng.randrange(6)
        put(
            50.0 + number * 10.0 / busy,
            Request(
                f"r{number}",
                1,
                f"x{number}",
                name_for(str(PLANS[tier]["name"]), renamed),
                name_for(str(CLASSES[kind]["name"]), renamed),
                volume(tenant, renamed),
                2.0,
                float(str(CLASSES[kind]["hard-limit-ms"])),
            ),
        )
    works = {f"r{number}": rng.uniform(5.0, 35.0) for number in range(600)}
    sent: dict[str, int] = {}
    while queue and now < 12_000.0:
        now, _, event = heapq.heappop(queue)
        for act in scheduler.handle(now, event):
            if isinstance(act, StartTimer):
                put(now + act.wait_ms, TimerExpired(act.timer))
            elif isinstance(act, SendAttempt):
                slot = free.index(min(free))
                free[slot] = max(free[slot], now) + works[act.request]
                put(
                    free[slot],
                    AttemptEnded(
                        act.request, sent.get(act.request, 0), act.node, Outcome.OK, free[slot] - now, True
                    ),
                )
                sent[act.request] = sent.get(act.request, 0) + 1
            if isinstance(act, SendAttempt | Reject | Fail):
                found.append((now, type(act).__name__, act.request))
    return found


def test_decisions_do_not_depend_on_names_or_on_the_order_of_settings() -> None:
    """Requests of two customers with different names and orders result in the same decisions.

    They are simulated with spare capacity and with overload.
    """
    for busy, most_sent in ((0.8, 600), (1.5, 480)):  # with 1.5 the node is overloaded
        first = simulate_scheduler(False, False, busy)
        for renamed, reordered in ((True, False), (False, True), (True, True)):
            assert simulate_scheduler(renamed, reordered, busy) == first
        sent = {name for _, what, name in first if what == "SendAttempt"}
        assert 200 < len(sent) <= most_sent


# The classes, plans and zones of the first site that the program served.
FIRST_SITE = {
    "passenger-read",
    "checkin-write",
    "flight-export",
    "standard",
    "priority",
    "hall-norte",
    "hall-sur",
    "carrasco",
    "carrasco-campus",
}


def test_no_name_of_one_site_occurs_in_the_program() -> None:
    """The names of a site's classes, plans and zones do not occur in the program or its deploy files.

    Other sites have other names.
    """
    names: set[str] = set()
    for path in (ROOT / "deploy" / "sites").glob("*.toml"):
        text = path.read_text()
        names |= set(re.findall(r'^name = "([^"]+)"', text, re.MULTILINE))
        names |= set(re.findall(r'"(hall-[^"]+)"', text))
    generic_names = {"burst", "heavy_tail", "neighbour", "pauses", "scan", "slow", "lookup", "gold"}
    site_names = names - generic_names | FIRST_SITE
    assert len(site_names) > 10
    for path in [*(ROOT / "shaletiller").rglob("*.py"), *(ROOT / "deploy").glob("*.*")]:
        text = path.read_text()
        assert not [name for name in site_names if f'"{name}"' in text or f"'{name}'" in text], path
