"""The generator of site variants: within its bounds, equal for equal seeds, and clear on a faulty base."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from shaletiller.lab import site_variants
from shaletiller.lab.cli import app

BASE = Path(__file__).parent.parent.parent / "deploy" / "sites" / "tight-limits.toml"
SEEDS = range(1, 60)


def spread(values: list[float]) -> float:
    return max(values) / min(values)


def check_classes(classes: list[dict[str, Any]]) -> None:
    works = [sum(each["work_ms"]) / 2 for each in classes]
    assert 1 <= len(classes) <= 8
    assert len({each["name"] for each in classes}) == len(classes)
    assert spread(works) <= site_variants.WORK_SPREAD * 1.05
    assert abs(sum(sum(each["share"]) / 2 for each in classes) - 1) < 0.01
    for each, work_ms in zip(classes, works, strict=True):
        assert (
            site_variants.LATENCY_OBJECTIVE_MS.low - 1
            <= each["aim_ms"]
            <= site_variants.LATENCY_OBJECTIVE_MS.high
        )
        assert each["aim_ms"] >= min(site_variants.LATENCY_OBJECTIVE_MS.high, 2.8 * work_ms)
        assert 1.19 <= each["deadline_ms"] / each["aim_ms"] <= 8.02
        assert 1 <= each["worth"] <= 20
        assert ("window_ms" in each) == (each["effect"] == "keyed")
        assert not (each["write"] and each["effect"] == "safe")


@pytest.mark.parametrize("seed", SEEDS)
def test_a_variant_is_within_bounds(seed: int) -> None:
    site = site_variants.vary(BASE, seed)
    check_classes(site["class"])
    plans = site["fam"]["plan"]
    assert 1 <= len(plans) == len(site["tenant"]) <= 6
    for plan in plans:
        assert plan.get("limit", 9) >= 1.2 * max(1, plan["reserve"])
    for each, fresh in zip(site["class"], site["fam"]["fresh"], strict=True):
        assert each["write"] or not fresh
    assert 1 <= len(site["net"]["zones"]) <= 4
    assert 1 <= site["allow"]["max_attempts"] <= 4


def test_the_seeds_cover_what_customers_choose() -> None:
    sites = [site_variants.vary(BASE, seed) for seed in SEEDS]
    effects = {each["effect"] for site in sites for each in site["class"]}
    assert effects == {"safe", "keyed", "unsafe"}
    assert {len(site["class"]) for site in sites} == set(range(1, 9))
    assert max(each["deadline_ms"] for site in sites for each in site["class"]) > 10_000
    assert any("limit" not in plan for site in sites for plan in site["fam"]["plan"])


def test_equal_seeds_write_equal_files(tmp_path: Path) -> None:
    files = [tmp_path / name for name in ("a.toml", "b.toml", "c.toml")]
    for path, seed in zip(files, ("7", "7", "8"), strict=True):
        found = CliRunner().invoke(app, ["variant", "--base", str(BASE), "--seed", seed, "--out", str(path)])
        assert found.exit_code == 0, found.output
    first, second, third = (path.read_text() for path in files)
    assert first == second != third
    assert tomllib.loads(first) == site_variants.vary(BASE, 7)


@pytest.mark.parametrize(
    ("text", "named"),
    [("name = ", "Invalid value"), ("name = 'a'\nclass = 3\n", "class"), ("class = []\n", "tenant")],
)
def test_a_faulty_base_is_named(text: str, named: str, tmp_path: Path) -> None:
    base = tmp_path / "base.toml"
    base.write_text(text)
    found = CliRunner().invoke(app, ["variant", "--base", str(base), "--out", str(tmp_path / "out.toml")])
    assert found.exit_code == 2
    assert named in found.output
    assert not (tmp_path / "out.toml").exists()
