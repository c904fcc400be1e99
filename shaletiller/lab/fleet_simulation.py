"""The fleet code on a virtual clock: schedules of faults, and how talk and spread grow with the fleet."""

from __future__ import annotations

import os
import random
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from functools import partial
from typing import Any

from shaletiller.fleet.core import FleetOptions
from shaletiller.fleet.health_gossip import HealthKind
from shaletiller.fleet.leases import LeaseTiming
from shaletiller.fleet.quotas import Allowance
from shaletiller.lab.fault_schedules import Seen, play
from shaletiller.lab.virtual_network import Limit, World, overshoot, use

MEET_MS = 4_000.0  # a fleet of any size has met by then
CHUNK = 20
MOST_LIMITED = 400  # in larger fleets the use of a limit is not looked at: two minutes of rest come before it


@dataclass(slots=True)
class Size:
    """A fleet of one size: what it says, and how long news takes."""

    gateways: int
    loss: float
    messages_a_second: float  # of one gateway
    bytes_a_second: float
    spread_ms: list[float] = field(default_factory=list)  # of each piece of news, until all had it
    use: float = 0.0
    over: float = 0.0


def at_size(gateways: int, seed: int, loss: float = 0.0, news: int = 8) -> Size:
    """Bans at random gateways, one after the other, and a limit that one gateway asks for whole."""
    world = World(gateways, seed, FleetOptions())
    for link in world.each_link():
        link.loss = loss
    draw = random.Random(f"size {gateways} {seed}")
    for gateway in world.gateways:
        world.time.at(draw.uniform(0, 1_000.0), gateway.start)
    limit = Limit("v:strict", Allowance(400.0, 400.0))
    # A member's own part rests for a term after its start; with many members that is long.
    limited = gateways <= MOST_LIMITED
    settle_ms = MEET_MS + (LeaseTiming.for_members(gateways).pledge_wait_ms if limited else 0.0)
    end_ms = settle_ms + news * 1_500.0
    if limited:
        world.load(0, limit, 600.0, settle_ms - MEET_MS / 2, end_ms, gateways)
    world.time.run(settle_ms)
    sent, sent_bytes = world.sent, world.sent_bytes
    found = Size(gateways, loss, 0.0, 0.0)
    for number in range(news):
        at_ms, node = settle_ms + number * 1_500.0, f"s-{number}"
        world.time.run(at_ms)
        teller = world.gateways[draw.randrange(gateways)]
        assert teller.fleet is not None
        teller.fleet.publish_health(node, HealthKind.EJECTED, 0, 1, 3_600_000.0, teller.clock())
        world.time.run(at_ms + 1_500.0)
        heard = [when for when, _, which, _, held in world.heard if which == node and held]
        missing = gateways - len(heard)
        found.spread_ms.append(max(heard) - at_ms if not missing else float("inf"))
    span_s = (world.time.now_ms - settle_ms) / 1000
    found.messages_a_second = (world.sent - sent) / gateways / span_s
    found.bytes_a_second = (world.sent_bytes - sent_bytes) / gateways / span_s
    found.use = use(world.spends, limit, settle_ms, end_ms) if limited else float("nan")
    found.over = overshoot(world.spends, limit, world.drift)
    return found


def schedules(seeds: Iterable[int], gateways: int, processes: int | None = None) -> list[Seen]:
    """Play the schedules of these seeds, on all cores; the order of what comes back is theirs."""
    with ProcessPoolExecutor(processes or os.cpu_count()) as pool:
        return list(pool.map(partial(play, members=gateways), seeds, chunksize=CHUNK))


def summary(found: list[Seen]) -> dict[str, Any]:
    """What the schedules gave together."""
    broken = [each for each in found if each.broken]
    mean = {
        name: sum(getattr(each, name) for each in found) / len(found)
        for name in ("use_cut", "use_healed", "messages_a_second")
    }
    return {
        "schedules": len(found),
        "broken": len(broken),
        "worst_overshoot_units": max((max(each.over.values()) for each in found), default=0.0),
        **mean,
        "failures": [asdict(each) for each in broken[:20]],
    }


def study(gateways: int, count: int, seed: int, sizes: list[int], loss: float = 0.0) -> dict[str, Any]:
    """Schedules from a seed on, and fleets of these sizes."""
    found = schedules(range(seed, seed + count), gateways) if count else []
    with ProcessPoolExecutor() as pool:
        sized = list(pool.map(partial(at_size, seed=seed, loss=loss), sizes))
    return {
        "gateways": gateways,
        "seed": seed,
        "schedules": summary(found) if found else {},
        "sizes": [asdict(each) for each in sized],
    }


def lines(found: dict[str, Any]) -> list[str]:
    """The study in words."""
    told, runs = [], found["schedules"]
    if runs:
        told.append(
            f"{'!!' if runs['broken'] else 'ok'} {runs['schedules']} schedules of {found['gateways']} "
            f"gateways: {runs['broken']} broke a guarantee; most over a strict limit "
            f"{runs['worst_overshoot_units']:.3f} units; "
            f"use in trouble {runs['use_cut']:.2f}, two terms after healing {runs['use_healed']:.2f}; "
            f"{runs['messages_a_second']:.0f} messages/s a gateway"
        )
        told += [f"   seed {each['seed']}: {'; '.join(each['broken'])}" for each in runs["failures"]]
    if found["sizes"]:
        told.append("gateways   loss  messages/s   bytes/s  spread ms: mean    most   use of a limit")
    for each in found["sizes"]:
        spread = each["spread_ms"]
        mean_ms = sum(spread) / len(spread)
        told.append(
            f"{each['gateways']:8d} {each['loss']:6.2f} {each['messages_a_second']:11.1f} "
            f"{each['bytes_a_second']:9.0f} {mean_ms:15.0f} {max(spread):7.0f} {each['use']:16.3f}"
        )
    return told


def draw(found: dict[str, Any], path: Any) -> None:
    """Talk and spread by the size of the fleet, as a picture."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sizes = [each["gateways"] for each in found["sizes"]]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.6))
    left.plot(sizes, [each["messages_a_second"] for each in found["sizes"]], marker="o")
    left.set(xscale="log", xlabel="gateways", ylabel="messages a second, each gateway", ylim=(0, None))
    right.plot(sizes, [max(each["spread_ms"]) for each in found["sizes"]], marker="o", label="most")
    right.plot(
        sizes,
        [sum(each["spread_ms"]) / len(each["spread_ms"]) for each in found["sizes"]],
        marker="o",
        label="mean",
    )
    right.set(xscale="log", xlabel="gateways", ylabel="ms until all have heard", ylim=(0, None))
    right.legend()
    for axes in (left, right):
        axes.grid(alpha=0.3)
        axes.set_xticks(sizes, [str(size) for size in sizes])
    figure.tight_layout()
    figure.savefig(path, dpi=110)
