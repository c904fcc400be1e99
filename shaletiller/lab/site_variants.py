"""Seeded variants of a site file: everything that a customer may choose is drawn anew.

The input is a site file in TOML; the tables that are not named here (fleet, network, troubles, goal) are
copied unchanged.  Equal inputs and seeds give equal files.
"""

from __future__ import annotations

import math
import random
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import tomli_w

Table = dict[str, Any]  # a table of TOML; its keys are those of site files


class Bounds(NamedTuple):
    """The least and the greatest value that is drawn."""

    low: float
    high: float


# The ranges of what customers may choose.
WORK_MS = Bounds(2.0, 150.0)  # mean time of a storage node for a request of a class
LATENCY_OBJECTIVE_MS = Bounds(40.0, 5000.0)
DEADLINE_PER_OBJECTIVE = Bounds(1.2, 8.0)
SHARE = Bounds(0.02, 0.8)  # of a class or plan, of all requests
PRIORITY_WEIGHT = Bounds(1.0, 20.0)
IDEMPOTENCY_WINDOW_MS = Bounds(100.0, 5000.0)
MAX_CLASSES, MAX_PLANS = 8, 6
# Greatest ratio between the classes of one site.
WORK_SPREAD, OBJECTIVE_SPREAD = 30.0, 50.0
# Least mean work of a request: cheaper requests would be more in a day than a run can play.
MIN_MEAN_WORK_MS = 8.0
# Least latency objective in multiples of the class's work: below it no scheduler can meet the objective.
OBJECTIVE_PER_WORK = 3.0
# Rate limits in multiples of the larger of a plan's rate and reserve; 1.2 is the least that a site may have.
LIMITS = (None, 1.25, 1.6, 4)
ZONES = ("east", "west", "north", "south")
REQUIRED_TABLES: dict[str, type] = {
    "class": list,
    "tenant": list,
    "tier": list,
    "fam": dict,
    "allow": dict,
    "rules": dict,
    "net": dict,
}


class VariantError(ValueError):
    """A base file that cannot be varied; the text names the key."""


def vary(base: Path, seed: int) -> Table:
    """Return the site at `base` with classes, plans, limits, rules and node costs drawn from the seed.

    :raises VariantError: if the base file cannot be read, or lacks a table.
    """
    site = _read(base)
    draw = random.Random(seed)
    site["name"] = f"variant-{seed}"
    site["class"] = _classes(draw)
    site["tenant"], plans = _plans(draw)
    site["fam"] = _storage(draw, site["fam"], site["class"]) | {"plan": plans}
    site["net"]["zones"] = list(ZONES[: draw.randint(1, len(ZONES))])
    site["allow"] |= _allowed(draw)
    site["rules"] |= {
        "drain_grace_ms": draw.choice([500, 1000, 2000, 4000]),
        "fall_multiple": draw.choice([2, 3, 4, 6]),
        "fall_ms": draw.choice([1000, 1500, 3000]),
    }
    for tier in site["tier"]:
        _vary_nodes(draw, tier)
    return site


def write(base: Path, seed: int, out: Path) -> None:
    """Write the variant of `base` for a seed to `out`, as TOML.

    :raises VariantError: if the base file cannot be read, or lacks a table.
    :raises OSError: if `out` cannot be written.
    """
    out.write_text(tomli_w.dumps(vary(base, seed)))


def _read(base: Path) -> Table:
    try:
        site = tomllib.loads(base.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise VariantError(f"{base}: {error}") from error
    for key, kind in REQUIRED_TABLES.items():
        if not isinstance(site.get(key), kind):
            raise VariantError(f"{base}: {key}: is missing or of another type")
    return site


def _log_uniform(draw: random.Random, bounds: Bounds) -> float:
    return math.exp(draw.uniform(math.log(bounds.low), math.log(bounds.high)))


def _within_spread(draw: random.Random, bounds: Bounds, spread: float) -> Bounds:
    """Draw bounds within others, whose ratio is at most `spread`."""
    low = _log_uniform(draw, Bounds(bounds.low, max(bounds.low, bounds.high / spread)))
    return Bounds(low, min(bounds.high, low * spread))


def _shares(draw: random.Random, count: int) -> list[float]:
    """Draw shares that add up to 1, each of them at least the lower bound."""
    weights = [_log_uniform(draw, SHARE) for _ in range(count)]
    remainder = 1 - SHARE.low * count
    return [SHARE.low + remainder * weight / sum(weights) for weight in weights]


def _classes(draw: random.Random) -> list[Table]:
    count = draw.randint(1, MAX_CLASSES)
    shares = _shares(draw, count)
    work_bounds = _within_spread(draw, WORK_MS, WORK_SPREAD)
    objective_bounds = _within_spread(draw, LATENCY_OBJECTIVE_MS, OBJECTIVE_SPREAD)
    works_ms = [_log_uniform(draw, work_bounds) for _ in range(count)]
    mean_ms = sum(share * work_ms for share, work_ms in zip(shares, works_ms, strict=True))
    scale = max(1.0, MIN_MEAN_WORK_MS / mean_ms)
    return [
        _class(draw, number, share, min(WORK_MS.high, work_ms * scale), objective_bounds)
        for number, (share, work_ms) in enumerate(zip(shares, works_ms, strict=True), 1)
    ]


def _class(draw: random.Random, number: int, share: float, work_ms: float, objective_bounds: Bounds) -> Table:
    objective_ms = max(_log_uniform(draw, objective_bounds), OBJECTIVE_PER_WORK * work_ms)
    objective_ms = round(min(LATENCY_OBJECTIVE_MS.high, objective_ms))
    table: Table = {
        "name": f"class-{number}",
        "share": [round(share * 0.9, 4), round(share * 1.1, 4)],
        "work_ms": [round(work_ms * 0.8, 2), round(work_ms * 1.25, 2)],
        "dist": draw.choice(["exp", "lognormal"]),
        "cv": [0.4, 0.95],
        "attempt_noise": [0.07, 0.25],
        "aim_ms": objective_ms,
        "deadline_ms": round(objective_ms * _log_uniform(draw, DEADLINE_PER_OBJECTIVE)),
        "worth": round(_log_uniform(draw, PRIORITY_WEIGHT), 2),
        "late_worth": round(draw.uniform(0.0, 0.4), 2),
        "effect": draw.choice(["safe", "keyed", "unsafe"]),
    }
    table["write"] = table["effect"] != "safe" and draw.random() < 0.8
    if table["effect"] == "keyed":
        table["group"] = draw.choice(["all", "zone", "cell"])
        table["window_ms"] = round(_log_uniform(draw, IDEMPOTENCY_WINDOW_MS))
    return table


def _plans(draw: random.Random) -> tuple[list[Table], list[Table]]:
    """Draw the tenants' shares of the requests, and the plans that go with them."""
    count = draw.randint(1, MAX_PLANS)
    tenants = [
        {"name": f"plan-{number}", "share": round(share, 4), "usage": [0.85, 1.15]}
        for number, share in enumerate(_shares(draw, count), 1)
    ]
    return tenants, [_plan(draw) for _ in range(count)]


def _plan(draw: random.Random) -> Table:
    table: Table = {
        "size": round(_log_uniform(draw, Bounds(1, 5)), 1),
        "reserve": draw.choice([0, 0.3, 0.6, 1, 1.5, 3]),
        "weight": draw.randint(1, 6),
        "price": round(_log_uniform(draw, Bounds(0.5, 2)), 2),
        "hosts": [1, draw.randint(1, 4)],
        "nodes": [1, draw.randint(1, 8)],
        "busy": [0.16, 0.34],
        "heavy": [0.04, 0.2],
    }
    limit = draw.choice(LIMITS)
    if limit is not None:
        table |= {"limit": limit * max(1.0, table["reserve"]), "burst_s": draw.choice([0.5, 1, 2])}
    return table


def _storage(draw: random.Random, base: Table, classes: list[Table]) -> Table:
    """Draw the storage family's table: runs on one extent, new objects, weights beyond the reserve."""
    share_weight = round(draw.uniform(0.2, 0.6), 2)
    return base | {
        "run": [draw.choice([[1, 2], [1, 3], [5, 12]]) for _ in classes],
        "fresh": [draw.random() < 0.2 and each["write"] for each in classes],
        "share_worth": share_weight,
        "spare_worth": round(draw.uniform(0.02, share_weight / 2), 2),
    }


def _allowed(draw: random.Random) -> Table:
    return {
        "max_attempts": draw.randint(1, 4),
        "probes": draw.random() < 0.5,
        "peers": draw.random() < 0.5,
        "cancel": draw.random() < 0.5,
        "retry_after": draw.random() < 0.5,
    }


def _vary_nodes(draw: random.Random, tier: Table) -> None:
    connection = tier["conn"]
    connection["handshake_us"] = sorted(round(_log_uniform(draw, Bounds(100, 3000))) for _ in range(2))
    connection["idle_s"] = draw.choice([2, 6, 15, 30])
    connection["connect_timeout_ms"] = draw.choice([100, 150, 250, 500])
    for kind in tier["kind"]:
        kind["cold_from"] = _range(draw, (0.15, 0.5))
        kind["cold_s"] = _range(draw, (4, 18))


def _range(draw: random.Random, bounds: Sequence[float]) -> list[float]:
    return sorted(round(draw.uniform(bounds[0], bounds[1]), 2) for _ in range(2))
