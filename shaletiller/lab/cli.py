"""The laboratory's commands.  Exit codes: 0 all guarantees kept, 1 one was not, 2 wrong use, 3 nothing
shown."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from shaletiller.lab import (
    crash_cut,
    discovery_scenarios,
    fleet_scenarios,
    fleet_simulation,
    gateway_benchmark,
    replication_benchmark,
    replication_scenarios,
    replication_simulation,
    scenario,
    site_variants,
    state_space_explorer,
)
from shaletiller.lab.gateway_processes import LabError
from shaletiller.lab.guarantees import Outcome
from shaletiller.lab.state_space_bounds import DEFAULT_TASKS

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="The laboratory: fleets of gateways, their links and their faults.",
)
Json = Annotated[Path | None, typer.Option("--json", help="write the verdict there")]
Seed = Annotated[int, typer.Option(help="of all that is drawn")]


def show(out: Outcome, path: Path | None) -> None:
    """Print a verdict, write it, and end with its exit code."""
    for line in out.course:
        typer.echo(line)
    for line in out.lines():
        typer.echo(line)
    if path is not None:
        out.write(path)
    raise typer.Exit(0 if out.kept else 1)


@app.command()
def fleet(
    gateways: Annotated[int, typer.Option(min=2, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=5, max=3600)] = 20.0,
    seed: Seed = 1,
    faults: Annotated[str, typer.Option(help=f"{', '.join(scenario.names())}, or a file")] = "none",
    carrier: Annotated[str, typer.Option(help="datagrams or tcp")] = "datagrams",
    tables: Annotated[bool, typer.Option("--tables", help="copy granters' tables, tcp")] = False,
    to: Json = None,
) -> None:
    """Real processes that hold a limit and verdicts together, with faults between them."""
    if carrier not in ("datagrams", "tcp"):
        raise typer.BadParameter("wants datagrams or tcp", param_hint="--carrier")
    if tables and carrier != "tcp":
        raise typer.BadParameter("wants --carrier tcp", param_hint="--tables")
    try:
        out = asyncio.run(
            fleet_scenarios.run(gateways, seconds, seed, scenario.load(faults), carrier, tables=tables)
        )
    except (LabError, scenario.ScenarioError) as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(2 if isinstance(error, scenario.ScenarioError) else 3) from error
    show(out, to)


@app.command()
def promises(
    gateways: Annotated[int, typer.Option(min=3, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=8, max=3600)] = 30.0,
    seed: Seed = 1,
    faults: Annotated[str, typer.Option(help=f"{', '.join(scenario.names('promises'))}, or a file")] = "none",
    rate: Annotated[float, typer.Option(min=1, help="units a second of copied writes, a gateway")] = 40.0,
    to: Json = None,
) -> None:
    """Real processes with stores of their own that keep promises for each other, with faults between them."""
    try:
        out = asyncio.run(
            replication_scenarios.run(gateways, seconds, seed, scenario.load(faults, "promises"), rate=rate)
        )
    except (LabError, scenario.ScenarioError) as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(2 if isinstance(error, scenario.ScenarioError) else 3) from error
    show(out, to)


@app.command()
def discovery(
    gateways: Annotated[int, typer.Option(min=5, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=8, max=3600)] = 15.0,
    seed: Seed = 1,
    faults: Annotated[
        str, typer.Option(help=f"{', '.join(scenario.names('discovery'))}; or a file")
    ] = "none",
    alone: Annotated[bool, typer.Option("--alone", help="each gateway alone, as without a fleet")] = False,
    to: Json = None,
) -> None:
    """Real processes whose discovery fails, lies or forgets."""
    try:
        out = asyncio.run(
            discovery_scenarios.run(gateways, seconds, seed, scenario.load(faults, "discovery"), on=not alone)
        )
    except (LabError, scenario.ScenarioError) as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(2 if isinstance(error, scenario.ScenarioError) else 3) from error
    show(out, to)


@app.command()
def cut(
    folder: Annotated[Path, typer.Argument(metavar="DIR", help="where the store is written")],
    seed: Seed = 1,
    step: Annotated[int, typer.Option(min=1, help="try every so manieth byte")] = 1,
    to: Json = None,
) -> None:
    """A store's files cut at every byte, a bit flipped in every byte, a compaction stopped at every call."""
    show(crash_cut.run(folder, seed, step), to)


@app.command("promises-sim")
def promises_sim(
    gateways: Annotated[int, typer.Option(min=3, max=40)] = 5,
    schedules: Annotated[int, typer.Option(min=0)] = 1000,
    seed: Seed = 1,
    small: Annotated[bool, typer.Option(help="also every order of events of three, in minutes")] = False,
    to: Json = None,
) -> None:
    """The copying protocol on a virtual clock: schedules of faults, and exhaustively in the small."""
    found: dict[str, Any] = {}
    broken = False
    if schedules:
        summary = replication_simulation.run_schedules(range(seed, seed + schedules), gateways)
        found["schedules"], broken = summary.to_json(), bool(summary.failed)
        for line in summary.lines(gateways):
            typer.echo(line)
    if small:
        explorations = state_space_explorer.explore_all(DEFAULT_TASKS)
        found["small"] = [each.to_json() for each in explorations]
        broken = broken or any(each.violation for each in explorations)
        for each in explorations:
            for line in each.lines():
                typer.echo(line)
    if to is not None:
        to.write_text(json.dumps(found, indent=1) + "\n")
    raise typer.Exit(1 if broken else 0)


@app.command("promises-cost")
def promises_cost(
    seconds: Annotated[float, typer.Option(min=2, max=600, help="of load in each turn")] = 8.0,
    turns: Annotated[int, typer.Option(min=1)] = 3,
    seed: Seed = 1,
    records: Annotated[int, typer.Option(help="the largest store that is opened")] = 1_000_000,
    held: Annotated[int, typer.Option(help="outcomes that the fleet holds when a machine is lost")] = 5_000,
    plot: Annotated[Path | None, typer.Option(help="a picture of it (PNG)")] = None,
    to: Json = None,
) -> None:
    """What promises cost: local against copied, group commit, recovery, and a lost machine's repair."""
    found = asyncio.run(replication_benchmark.measure(seconds, seed, turns, records, held))
    for line in replication_benchmark.lines(found):
        typer.echo(line)
    if to is not None:
        to.write_text(json.dumps(found, indent=1) + "\n")
    if plot is not None:
        replication_benchmark.draw(found, plot)


@app.command("fleet-sim")
def sim(
    gateways: Annotated[int, typer.Option(min=3, max=2000)] = 5,
    schedules: Annotated[int, typer.Option(min=0)] = 1000,
    seed: Seed = 1,
    sizes: Annotated[str, typer.Option(help="fleets to measure talk and spread at, such as 5,40,200")] = "",
    loss: Annotated[float, typer.Option(min=0, max=0.9)] = 0.0,
    plot: Annotated[Path | None, typer.Option(help="draw talk and spread by size there (PNG)")] = None,
    to: Json = None,
) -> None:
    """The same fleet code on a virtual clock: schedules of faults, and fleets of any size."""
    found = fleet_simulation.study(
        gateways, schedules, seed, [int(each) for each in sizes.split(",") if each], loss
    )
    for line in fleet_simulation.lines(found):
        typer.echo(line)
    if to is not None:
        to.write_text(json.dumps(found, indent=1) + "\n")
    if plot is not None:
        fleet_simulation.draw(found, plot)
    raise typer.Exit(1 if found["schedules"].get("broken") else 0)


@app.command("fleet-cost")
def fleet_cost(
    gateways: Annotated[int, typer.Option(min=2, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=1, max=600, help="of load in each turn")] = 4.0,
    turns: Annotated[int, typer.Option(min=1)] = 3,
    seed: Seed = 1,
    to: Json = None,
) -> None:
    """What the fleet part costs a gateway: off against on, in turn within one run."""
    found = asyncio.run(gateway_benchmark.measure(gateways, seconds, seed, turns))
    for line in gateway_benchmark.lines(found):
        typer.echo(line)
    if to is not None:
        to.write_text(json.dumps(found, indent=1) + "\n")


@app.command("variant")
def site_variant(
    base: Annotated[Path, typer.Option(help="the site file to vary (TOML)")],
    out: Annotated[Path, typer.Option(help="where the variant is written")],
    seed: Seed = 1,
) -> None:
    """A site file with all that a customer may choose drawn anew, for the bench."""
    try:
        site_variants.write(base, seed, out)
    except (site_variants.VariantError, OSError) as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(2) from error


def main() -> int:
    try:
        app(standalone_mode=True)
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
