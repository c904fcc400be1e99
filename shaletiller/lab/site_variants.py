"""Seeded variants of a site file: everything a customer may choose is drawn anew.

The input is a site file in TOML; tables that are not named here (fleet, network, troubles, goal) pass on
unchanged.  Equal input and seed give an equal file.
"""

from __future__ import annotations

import math
import random
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import tomli_w

Table = dict[str, Any]

WORK_MS = (2.0, 150.0)
WORK_SPREAD = 30.0  # most, between the classes of one site
LEAST_MEAN_WORK_MS = 8.0  # the bench bounds the requests of a day
AIM_MS = (40.0, 5000.0)
AIM_SPREAD = 50.0  # most, between the classes of one site
AIM_PER_WORK = 3.0  # an aim under so many times the class's work cannot be met by anybody
DEADLINE_PER_AIM = (1.2, 8.0)
SHARE = (0.02, 0.8)
WORTH = (1.0, 20.0)
REPEAT_WINDOW_MS = (100.0, 5000.0)
# Multiples of the larger of a plan's rate and reserve; 1.2 is the least that a site may have.
LIMITS = (None, 1.25, 1.6, 4)
ZONES = ("east", "west", "north", "south")


class VariantError(ValueError):
    """A base file that cannot be varied; the text names the key."""


def vary(base: Path, seed: int) -> Table:
    """The site at `base` with classes, plans, limits, rules and node costs drawn from the seed."""
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
    """Write the variant of `base` for a seed to `out`, as TOML."""
    out.write_text(tomli_w.dumps(vary(base, seed)))


def _read(base: Path) -> Table:
    try:
        site = tomllib.loads(base.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise VariantError(f"{base}: {error}") from error
    for key, kind in {
        "class": list,
        "tenant": list,
        "tier": list,
        "fam": dict,
        "allow": dict,
        "rules": dict,
        "net": dict,
    }.items():
        if not isinstance(site.get(key), kind):
            raise VariantError(f"{base}: {key}: is missing or of another kind")
    return site


def _log_uniform(draw: random.Random, bounds: tuple[float, float]) -> float:
    return math.exp(draw.uniform(math.log(bounds[0]), math.log(bounds[1])))


def _within_spread(draw: random.Random, bounds: tuple[float, float], spread: float) -> tuple[float, float]:
    """A part of the bounds whose ends lie at most `spread` times apart."""
    low = _log_uniform(draw, (bounds[0], max(bounds[0], bounds[1] / spread)))
    return low, min(bounds[1], low * spread)


def _shares(draw: random.Random, count: int) -> list[float]:
    """Parts that add up to 1; each at least the least share."""
    weights = [_log_uniform(draw, SHARE) for _ in range(count)]
    free = 1 - SHARE[0] * count
    return [SHARE[0] + free * weight / sum(weights) for weight in weights]


def _classes(draw: random.Random) -> list[Table]:
    count = draw.randint(1, 8)
    shares = _shares(draw, count)
    work_bounds = _within_spread(draw, WORK_MS, WORK_SPREAD)
    aim_bounds = _within_spread(draw, AIM_MS, AIM_SPREAD)
    works = [_log_uniform(draw, work_bounds) for _ in range(count)]
    mean = sum(share * work for share, work in zip(shares, works, strict=True))
    works = [min(WORK_MS[1], work * max(1.0, LEAST_MEAN_WORK_MS / mean)) for work in works]
    return [
        _class(draw, at, share, work, aim_bounds)
        for at, (share, work) in enumerate(zip(shares, works, strict=True))
    ]


def _class(draw: random.Random, at: int, share: float, work_ms: float, aims: tuple[float, float]) -> Table:
    aim_ms = round(min(AIM_MS[1], max(_log_uniform(draw, aims), AIM_PER_WORK * work_ms)))
    made: Table = {
        "name": f"class-{at + 1}",
        "share": [round(share * 0.9, 4), round(share * 1.1, 4)],
        "work_ms": [round(work_ms * 0.8, 2), round(work_ms * 1.25, 2)],
        "dist": draw.choice(["exp", "lognormal"]),
        "cv": [0.4, 0.95],
        "attempt_noise": [0.07, 0.25],
        "aim_ms": aim_ms,
        "deadline_ms": round(aim_ms * _log_uniform(draw, DEADLINE_PER_AIM)),
        "worth": round(_log_uniform(draw, WORTH), 2),
        "late_worth": round(draw.uniform(0.0, 0.4), 2),
        "effect": draw.choice(["safe", "keyed", "unsafe"]),
    }
    made["write"] = made["effect"] != "safe" and draw.random() < 0.8
    if made["effect"] == "keyed":
        made["group"] = draw.choice(["all", "zone", "cell"])
        made["window_ms"] = round(_log_uniform(draw, REPEAT_WINDOW_MS))
    return made


def _plans(draw: random.Random) -> tuple[list[Table], list[Table]]:
    count = draw.randint(1, 6)
    tenants = [
        {"name": f"plan-{at + 1}", "share": round(share, 4), "usage": [0.85, 1.15]}
        for at, share in enumerate(_shares(draw, count))
    ]
    return tenants, [_plan(draw) for _ in range(count)]


def _plan(draw: random.Random) -> Table:
    made: Table = {
        "size": round(_log_uniform(draw, (1, 5)), 1),
        "reserve": draw.choice([0, 0.3, 0.6, 1, 1.5, 3]),
        "weight": draw.randint(1, 6),
        "price": round(_log_uniform(draw, (0.5, 2)), 2),
        "hosts": [1, draw.randint(1, 4)],
        "nodes": [1, draw.randint(1, 8)],
        "busy": [0.16, 0.34],
        "heavy": [0.04, 0.2],
    }
    limit = draw.choice(LIMITS)
    if limit is not None:
        made |= {"limit": limit * max(1.0, made["reserve"]), "burst_s": draw.choice([0.5, 1, 2])}
    return made


def _storage(draw: random.Random, before: Table, classes: list[Table]) -> Table:
    """The family's part: runs on one extent, new objects, worth beyond the reserve."""
    share_worth = round(draw.uniform(0.2, 0.6), 2)
    return before | {
        "run": [draw.choice([[1, 2], [1, 3], [5, 12]]) for _ in classes],
        "fresh": [draw.random() < 0.2 and each["write"] for each in classes],
        "share_worth": share_worth,
        "spare_worth": round(draw.uniform(0.02, share_worth / 2), 2),
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
    connection["handshake_us"] = sorted(round(_log_uniform(draw, (100, 3000))) for _ in range(2))
    connection["idle_s"] = draw.choice([2, 6, 15, 30])
    connection["connect_timeout_ms"] = draw.choice([100, 150, 250, 500])
    for kind in tier["kind"]:
        kind["cold_from"] = _range(draw, (0.15, 0.5))
        kind["cold_s"] = _range(draw, (4, 18))


def _range(draw: random.Random, bounds: Sequence[float]) -> list[float]:
    return sorted(round(draw.uniform(bounds[0], bounds[1]), 2) for _ in range(2))
