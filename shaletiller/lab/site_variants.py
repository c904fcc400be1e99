"""Seeded variants of a site file, with random values for all settings that a customer may choose.

The input is a site file in TOML.  Tables that this module does not name (fleet, network, troubles, goal) are
copied unchanged.  The same input and seed give the same file.
"""

from __future__ import annotations

import math
import random
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import tomli_w

Table = dict[str, Any]  # a TOML table with the keys of site files


class Bounds(NamedTuple):
    """The minimum and maximum of a random value."""

    low: float
    high: float


# Ranges of the settings that customers may choose.
WORK_MS = Bounds(2.0, 150.0)  # mean service time of a request of a class at a storage node
LATENCY_OBJECTIVE_MS = Bounds(40.0, 5000.0)
DEADLINE_PER_OBJECTIVE = Bounds(1.2, 8.0)
SHARE = Bounds(0.02, 0.8)  # fraction of all requests that belong to a class or plan
PRIORITY_WEIGHT = Bounds(1.0, 20.0)
IDEMPOTENCY_WINDOW_MS = Bounds(100.0, 5000.0)
MAX_CLASSES, MAX_PLANS = 8, 6
# Maximum ratio between two classes of a site.
WORK_SPREAD, OBJECTIVE_SPREAD = 30.0, 50.0
# Minimum mean work of a request: with less, a day would have more requests than a run can simulate.
MIN_MEAN_WORK_MS = 8.0
# Minimum latency objective in multiples of the class's work: no scheduler can meet a smaller one.
OBJECTIVE_PER_WORK = 3.0
# Rate limits in multiples of a plan's rate or its reserve, whichever is larger; a site needs at least 1.2.
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
    """The base file is invalid; the message names the file and the key."""


def vary(base: Path, seed: int) -> Table:
    """Return the site at `base` with random classes, plans, limits, rules and node costs.

    :raises VariantError: if the base file cannot be read, or lacks a table.
    """
    site = _read(base)
    rng = random.Random(seed)
    site["name"] = f"variant-{seed}"
    site["class"] = _draw_classes(rng)
    site["tenant"], plans = _draw_plans(rng)
    site["fam"] = _draw_storage(rng, site["fam"], site["class"]) | {"plan": plans}
    site["net"]["zones"] = list(ZONES[: rng.randint(1, len(ZONES))])
    site["allow"] |= _draw_permissions(rng)
    site["rules"] |= {
        "drain_grace_ms": rng.choice([500, 1000, 2000, 4000]),
        "fall_multiple": rng.choice([2, 3, 4, 6]),
        "fall_ms": rng.choice([1000, 1500, 3000]),
    }
    for tier in site["tier"]:
        _vary_nodes(rng, tier)
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
            raise VariantError(f"{base}: {key}: missing, or of the wrong type")
    return site


def _draw_log_uniform(rng: random.Random, bounds: Bounds) -> float:
    return math.exp(rng.uniform(math.log(bounds.low), math.log(bounds.high)))


def _draw_bounds(rng: random.Random, bounds: Bounds, spread: float) -> Bounds:
    """Draw bounds within the given bounds, with a ratio of at most `spread`."""
    low = _draw_log_uniform(rng, Bounds(bounds.low, max(bounds.low, bounds.high / spread)))
    return Bounds(low, min(bounds.high, low * spread))


def _draw_shares(rng: random.Random, count: int) -> list[float]:
    """Draw shares that add up to 1 and are not below the minimum share."""
    weights = [_draw_log_uniform(rng, SHARE) for _ in range(count)]
    remainder = 1 - SHARE.low * count
    return [SHARE.low + remainder * weight / sum(weights) for weight in weights]


def _draw_classes(rng: random.Random) -> list[Table]:
    count = rng.randint(1, MAX_CLASSES)
    shares = _draw_shares(rng, count)
    work_bounds = _draw_bounds(rng, WORK_MS, WORK_SPREAD)
    objective_bounds = _draw_bounds(rng, LATENCY_OBJECTIVE_MS, OBJECTIVE_SPREAD)
    works_ms = [_draw_log_uniform(rng, work_bounds) for _ in range(count)]
    mean_ms = sum(share * work_ms for share, work_ms in zip(shares, works_ms, strict=True))
    scale = max(1.0, MIN_MEAN_WORK_MS / mean_ms)
    return [
        _draw_class(rng, number, share, min(WORK_MS.high, work_ms * scale), objective_bounds)
        for number, (share, work_ms) in enumerate(zip(shares, works_ms, strict=True), 1)
    ]


def _draw_class(
    rng: random.Random, number: int, share: float, work_ms: float, objective_bounds: Bounds
) -> Table:
    objective_ms = max(_draw_log_uniform(rng, objective_bounds), OBJECTIVE_PER_WORK * work_ms)
    objective_ms = round(min(LATENCY_OBJECTIVE_MS.high, objective_ms))
    table: Table = {
        "name": f"class-{number}",
        "share": [round(share * 0.9, 4), round(share * 1.1, 4)],
        "work_ms": [round(work_ms * 0.8, 2), round(work_ms * 1.25, 2)],
        "dist": rng.choice(["exp", "lognormal"]),
        "cv": [0.4, 0.95],
        "attempt_noise": [0.07, 0.25],
        "aim_ms": objective_ms,
        "deadline_ms": round(objective_ms * _draw_log_uniform(rng, DEADLINE_PER_OBJECTIVE)),
        "worth": round(_draw_log_uniform(rng, PRIORITY_WEIGHT), 2),
        "late_worth": round(rng.uniform(0.0, 0.4), 2),
        "effect": rng.choice(["safe", "keyed", "unsafe"]),
    }
    table["write"] = table["effect"] != "safe" and rng.random() < 0.8
    if table["effect"] == "keyed":
        table["group"] = rng.choice(["all", "zone", "cell"])
        table["window_ms"] = round(_draw_log_uniform(rng, IDEMPOTENCY_WINDOW_MS))
    return table


def _draw_plans(rng: random.Random) -> tuple[list[Table], list[Table]]:
    """Draw the tenants with their shares of the requests, and the plan of each tenant."""
    count = rng.randint(1, MAX_PLANS)
    tenants = [
        {"name": f"plan-{number}", "share": round(share, 4), "usage": [0.85, 1.15]}
        for number, share in enumerate(_draw_shares(rng, count), 1)
    ]
    return tenants, [_draw_plan(rng) for _ in range(count)]


def _draw_plan(rng: random.Random) -> Table:
    table: Table = {
        "size": round(_draw_log_uniform(rng, Bounds(1, 5)), 1),
        "reserve": rng.choice([0, 0.3, 0.6, 1, 1.5, 3]),
        "weight": rng.randint(1, 6),
        "price": round(_draw_log_uniform(rng, Bounds(0.5, 2)), 2),
        "hosts": [1, rng.randint(1, 4)],
        "nodes": [1, rng.randint(1, 8)],
        "busy": [0.16, 0.34],
        "heavy": [0.04, 0.2],
    }
    limit = rng.choice(LIMITS)
    if limit is not None:
        table |= {"limit": limit * max(1.0, table["reserve"]), "burst_s": rng.choice([0.5, 1, 2])}
    return table


def _draw_storage(rng: random.Random, base: Table, classes: list[Table]) -> Table:
    """Draw the table of the storage family: run lengths, new objects, and weights above the reserve."""
    share_weight = round(rng.uniform(0.2, 0.6), 2)
    return base | {
        "run": [rng.choice([[1, 2], [1, 3], [5, 12]]) for _ in classes],
        "fresh": [rng.random() < 0.2 and table["write"] for table in classes],
        "share_worth": share_weight,
        "spare_worth": round(rng.uniform(0.02, share_weight / 2), 2),
    }


def _draw_permissions(rng: random.Random) -> Table:
    return {
        "max_attempts": rng.randint(1, 4),
        "probes": rng.random() < 0.5,
        "peers": rng.random() < 0.5,
        "cancel": rng.random() < 0.5,
        "retry_after": rng.random() < 0.5,
    }


def _vary_nodes(rng: random.Random, tier: Table) -> None:
    connection = tier["conn"]
    connection["handshake_us"] = sorted(round(_draw_log_uniform(rng, Bounds(100, 3000))) for _ in range(2))
    connection["idle_s"] = rng.choice([2, 6, 15, 30])
    connection["connect_timeout_ms"] = rng.choice([100, 150, 250, 500])
    for kind in tier["kind"]:
        kind["cold_from"] = _draw_range(rng, (0.15, 0.5))
        kind["cold_s"] = _draw_range(rng, (4, 18))


def _draw_range(rng: random.Random, bounds: Sequence[float]) -> list[float]:
    return sorted(round(rng.uniform(bounds[0], bounds[1]), 2) for _ in range(2))
