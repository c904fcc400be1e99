"""Site variants: values within bounds, reproducibility by seed, and errors for an invalid base file."""

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
    """Return the ratio of the largest value to the smallest."""
    return max(values) / min(values)


def check_classes(classes: list[dict[str, Any]]) -> None:
    """Check that the classes of a variant are within the bounds of the generator."""
    works_ms = [sum(entry["work_ms"]) / 2 for entry in classes]
    assert 1 <= len(classes) <= 8
    assert len({entry["name"] for entry in classes}) == len(classes)
    assert spread(works_ms) <= site_variants.WORK_SPREAD * 1.05
    assert abs(sum(sum(entry["share"]) / 2 for entry in classes) - 1) < 0.01
    for entry, work_ms in zip(classes, works_ms, strict=True):
        assert (
            site_variants.LATENCY_OBJECTIVE_MS.low - 1
            <= entry["aim_ms"]
            <= site_variants.LATENCY_OBJECTIVE_MS.high
        )
        assert entry["aim_ms"] >= min(site_variants.LATENCY_OBJECTIVE_MS.high, 2.8 * work_ms)
        assert 1.19 <= entry["deadline_ms"] / entry["aim_ms"] <= 8.02
        assert 1 <= entry["worth"] <= 20
        assert ("window_ms" in entry) == (entry["effect"] == "keyed")
        assert not (entry["write"] and entry["effect"] == "safe")


@pytest.mark.parametrize("seed", SEEDS)
def test_a_variant_is_within_bounds(seed: int) -> None:
    site = site_variants.vary(BASE, seed)
    check_classes(site["class"])
    plans = site["fam"]["plan"]
    assert 1 <= len(plans) == len(site["tenant"]) <= 6
    for plan in plans:
        assert plan.get("limit", 9) >= 1.2 * max(1, plan["reserve"])
    for entry, fresh in zip(site["class"], site["fam"]["fresh"], strict=True):
        assert entry["write"] or not fresh
    assert 1 <= len(site["net"]["zones"]) <= 4
    assert 1 <= site["allow"]["max_attempts"] <= 4


def test_the_seeds_cover_what_customers_choose() -> None:
    sites = [site_variants.vary(BASE, seed) for seed in SEEDS]
    effects = {entry["effect"] for site in sites for entry in site["class"]}
    assert effects == {"safe", "keyed", "unsafe"}
    assert {len(site["class"]) for site in sites} == set(range(1, 9))
    assert max(entry["deadline_ms"] for site in sites for entry in site["class"]) > 10_000
    assert any("limit" not in plan for site in sites for plan in site["fam"]["plan"])


def test_equal_seeds_write_equal_files(tmp_path: Path) -> None:
    files = [tmp_path / name for name in ("a.toml", "b.toml", "c.toml")]
    for path, seed in zip(files, ("7", "7", "8"), strict=True):
        result = CliRunner().invoke(app, ["variant", "--base", str(BASE), "--seed", seed, "--out", str(path)])
        assert result.exit_code == 0, result.output
    first, second, third = (path.read_text() for path in files)
    assert first == second != third
    assert tomllib.loads(first) == site_variants.vary(BASE, 7)


@pytest.mark.parametrize(
    ("text", "expected"),
    [("name = ", "Invalid value"), ("name = 'a'\nclass = 3\n", "class"), ("class = []\n", "tenant")],
)
def test_an_invalid_base_file_is_reported(text: str, expected: str, tmp_path: Path) -> None:
    """The base file is not valid TOML, or a table in it is missing or has the wrong type.

    The command must exit with code 2, name the error, and write no file.
    """
    base = tmp_path / "base.toml"
    base.write_text(text)
    result = CliRunner().invoke(app, ["variant", "--base", str(base), "--out", str(tmp_path / "out.toml")])
    assert result.exit_code == 2
    assert expected in result.output
    assert not (tmp_path / "out.toml").exists()
