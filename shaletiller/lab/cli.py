"""The laboratory's commands.

Exit codes: 0 all guarantees hold; 1 one does not; 2 wrong usage; 3 the run could not be carried out.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
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
    replication_benchmark_report,
    replication_scenarios,
    replication_simulation,
    scenario,
    site_variants,
    state_space_explorer,
)
from shaletiller.lab.errors import LabError
from shaletiller.lab.guarantees import Outcome
from shaletiller.lab.state_space_bounds import DEFAULT_TASKS

EXIT_VIOLATED, EXIT_USAGE, EXIT_NOT_RUN = 1, 2, 3

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="The laboratory: fleets of gateways, with faults of their links, disks and processes.",
)
Json = Annotated[Path | None, typer.Option("--json", help="write the report to this file")]
Seed = Annotated[int, typer.Option(help="seed of all random draws")]


def show(outcome: Outcome, path: Path | None) -> None:
    """Print the outcome of a run, write its report, and end the command.

    :param path: of the report; None for none.
    :raises typer.Exit: always, with the exit code.
    """
    for line in [*outcome.course, *outcome.lines()]:
        typer.echo(line)
    if path is not None:
        outcome.write(path)
    raise typer.Exit(0 if outcome.kept else EXIT_VIOLATED)


def run_scenario(run: Callable[[], Coroutine[Any, Any, Outcome]]) -> Outcome:
    """Run a scenario on real processes.

    :param run: loads the scenario and returns the run.
    :raises typer.Exit: if the scenario cannot be read, or its fleet does not start.
    """
    try:
        return asyncio.run(run())
    except scenario.ScenarioError as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    except LabError as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(EXIT_NOT_RUN) from error


def write_json(report: dict[str, Any], path: Path | None) -> None:
    """Write a report; None for none."""
    if path is not None:
        path.write_text(json.dumps(report, indent=1) + "\n")


@app.command()
def fleet(
    gateways: Annotated[int, typer.Option(min=2, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=5, max=3600)] = 20.0,
    seed: Seed = 1,
    faults: Annotated[str, typer.Option(help=f"{', '.join(scenario.names())}, or a file")] = "none",
    carrier: Annotated[str, typer.Option(help="datagrams or tcp")] = "datagrams",
    tables: Annotated[
        bool, typer.Option("--tables", help="replicate the granters' tables; needs tcp")
    ] = False,
    to: Json = None,
) -> None:
    """Run gateways that enforce a limit and share health data, with faults between them."""
    if carrier not in ("datagrams", "tcp"):
        raise typer.BadParameter("must be datagrams or tcp", param_hint="--carrier")
    if tables and carrier != "tcp":
        raise typer.BadParameter("needs --carrier tcp", param_hint="--tables")
    outcome = run_scenario(
        lambda: fleet_scenarios.run(gateways, seconds, seed, scenario.load(faults), carrier, tables=tables)
    )
    show(outcome, to)


@app.command()
def promises(
    gateways: Annotated[int, typer.Option(min=3, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=8, max=3600)] = 30.0,
    seed: Seed = 1,
    faults: Annotated[str, typer.Option(help=f"{', '.join(scenario.names('promises'))}, or a file")] = "none",
    rate: Annotated[
        float, typer.Option(min=1, help="replicated writes of each gateway, in units a second")
    ] = 40.0,
    to: Json = None,
) -> None:
    """Run gateways with stores that replicate writes, with faults between them."""
    outcome = run_scenario(
        lambda: replication_scenarios.run(
            gateways, seconds, seed, scenario.load(faults, "promises"), rate=rate
        )
    )
    show(outcome, to)


@app.command()
def discovery(
    gateways: Annotated[int, typer.Option(min=5, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=8, max=3600)] = 15.0,
    seed: Seed = 1,
    faults: Annotated[
        str, typer.Option(help=f"{', '.join(scenario.names('discovery'))}; or a file")
    ] = "none",
    alone: Annotated[bool, typer.Option("--alone", help="run each gateway without the fleet part")] = False,
    to: Json = None,
) -> None:
    """Run gateways whose discovery fails, sends wrong lists, or loses changes."""
    outcome = run_scenario(
        lambda: discovery_scenarios.run(
            gateways, seconds, seed, scenario.load(faults, "discovery"), fleet_enabled=not alone
        )
    )
    show(outcome, to)


@app.command()
def cut(
    folder: Annotated[Path, typer.Argument(metavar="DIR", help="where the store is written")],
    seed: Seed = 1,
    step: Annotated[int, typer.Option(min=1, help="try one byte in so many")] = 1,
    to: Json = None,
) -> None:
    """Truncate a store's files at every byte, flip bits in every byte, and interrupt a compaction."""
    show(crash_cut.run(folder, seed, step), to)


@app.command("promises-sim")
def promises_sim(
    gateways: Annotated[int, typer.Option(min=3, max=40)] = 5,
    schedules: Annotated[int, typer.Option(min=0)] = 1000,
    seed: Seed = 1,
    small: Annotated[
        bool, typer.Option(help="also explore every order of events of three members, in minutes")
    ] = False,
    to: Json = None,
) -> None:
    """Test the replication protocol on a virtual clock, and explore small cases exhaustively."""
    report: dict[str, Any] = {}
    violated = False
    if schedules:
        summary = replication_simulation.run_schedules(range(seed, seed + schedules), gateways)
        report["schedules"], violated = summary.to_json(), bool(summary.failed)
        for line in summary.lines(gateways):
            typer.echo(line)
    if small:
        explorations = state_space_explorer.explore_all(DEFAULT_TASKS)
        report["small"] = [each.to_json() for each in explorations]
        violated = violated or any(each.violation for each in explorations)
        for line in [line for each in explorations for line in each.lines()]:
            typer.echo(line)
    write_json(report, to)
    raise typer.Exit(EXIT_VIOLATED if violated else 0)


@app.command("promises-cost")
def promises_cost(
    seconds: Annotated[float, typer.Option(min=2, max=600, help="of load in each turn")] = 8.0,
    turns: Annotated[int, typer.Option(min=1)] = 3,
    seed: Seed = 1,
    records: Annotated[int, typer.Option(help="the largest store that is opened")] = 1_000_000,
    held: Annotated[int, typer.Option(help="outcomes in the fleet when a machine is lost")] = 5_000,
    plot: Annotated[Path | None, typer.Option(help="draw the results to this file (PNG)")] = None,
    to: Json = None,
) -> None:
    """Measure the cost of replicated writes, group commit, recovery, and the repair of a lost machine."""
    report = asyncio.run(replication_benchmark.measure(seconds, seed, turns, records, held))
    for line in report.lines():
        typer.echo(line)
    write_json(report.to_json(), to)
    if plot is not None:
        replication_benchmark_report.draw(report, plot)


@app.command("fleet-sim")
def sim(
    gateways: Annotated[int, typer.Option(min=3, max=2000)] = 5,
    schedules: Annotated[int, typer.Option(min=0)] = 1000,
    seed: Seed = 1,
    sizes: Annotated[
        str, typer.Option(help="fleet sizes to measure traffic and propagation at, such as 5,40,200")
    ] = "",
    loss: Annotated[float, typer.Option(min=0, max=0.9)] = 0.0,
    plot: Annotated[
        Path | None, typer.Option(help="draw traffic and propagation by size to this file (PNG)")
    ] = None,
    to: Json = None,
) -> None:
    """Test the fleet code on a virtual clock: schedules of faults, and fleets of any size."""
    found = fleet_simulation.study(
        gateways, schedules, seed, [int(each) for each in sizes.split(",") if each], loss
    )
    for line in fleet_simulation.lines(found):
        typer.echo(line)
    write_json(found, to)
    if plot is not None:
        fleet_simulation.draw(found, plot)
    raise typer.Exit(EXIT_VIOLATED if found["schedules"].get("broken") else 0)


@app.command("fleet-cost")
def fleet_cost(
    gateways: Annotated[int, typer.Option(min=2, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=1, max=600, help="of load in each turn")] = 4.0,
    turns: Annotated[int, typer.Option(min=1)] = 3,
    seed: Seed = 1,
    to: Json = None,
) -> None:
    """Measure what the fleet part costs a gateway, in alternating turns without and with it."""
    found = asyncio.run(gateway_benchmark.measure(gateways, seconds, seed, turns))
    for line in gateway_benchmark.lines(found):
        typer.echo(line)
    write_json(found, to)


@app.command("variant")
def site_variant(
    base: Annotated[Path, typer.Option(help="the site file to vary (TOML)")],
    out: Annotated[Path, typer.Option(help="where the variant is written")],
    seed: Seed = 1,
) -> None:
    """Write a site file in which all that a customer may choose is drawn anew."""
    try:
        site_variants.write(base, seed, out)
    except (site_variants.VariantError, OSError) as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error


def main() -> int:
    """Run the command line, and return its exit code."""
    try:
        app(standalone_mode=True)
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
