"""Command line of the laboratory.

Exit codes: 0 if all guarantees hold, 1 if one is violated, 2 for wrong usage, 3 if it could not run.
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
    answer_soak,
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
    shutdown_soak,
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
    help="Test fleets of gateways under faults of their links, disks and processes.",
)
ReportPath = Annotated[Path | None, typer.Option("--json", help="write a JSON report to this file")]
Seed = Annotated[int, typer.Option(help="seed of the random number generators")]


def report_outcome(outcome: Outcome, path: Path | None) -> None:
    """Print the outcome of a run, write its report, and exit.

    :param path: the file of the JSON report; None writes no file.
    :raises typer.Exit: always, with the exit code.
    """
    for line in [*outcome.course, *outcome.lines()]:
        typer.echo(line)
    if path is not None:
        outcome.write(path)
    raise typer.Exit(0 if outcome.kept else EXIT_VIOLATED)


def run_scenario(run: Callable[[], Coroutine[Any, Any, Outcome]]) -> Outcome:
    """Run a scenario on real processes.

    :param run: loads the scenario, and returns the coroutine that runs it.
    :raises typer.Exit: if the scenario cannot be read, or the fleet does not start.
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
    """Write a JSON report to a file, unless `path` is None."""
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
        bool, typer.Option("--tables", help="replicate the granters' lease tables; needs --carrier tcp")
    ] = False,
    report_path: ReportPath = None,
) -> None:
    """Run gateways that share a limit and health records, with faults between them."""
    if carrier not in ("datagrams", "tcp"):
        raise typer.BadParameter("must be datagrams or tcp", param_hint="--carrier")
    if tables and carrier != "tcp":
        raise typer.BadParameter("needs --carrier tcp", param_hint="--tables")
    outcome = run_scenario(
        lambda: fleet_scenarios.run(gateways, seconds, seed, scenario.load(faults), carrier, tables=tables)
    )
    report_outcome(outcome, report_path)


@app.command()
def promises(
    gateways: Annotated[int, typer.Option(min=3, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=8, max=3600)] = 30.0,
    seed: Seed = 1,
    faults: Annotated[str, typer.Option(help=f"{', '.join(scenario.names('promises'))}, or a file")] = "none",
    rate: Annotated[
        float, typer.Option(min=1, help="replicated writes at each gateway, in units per second")
    ] = 40.0,
    report_path: ReportPath = None,
) -> None:
    """Run gateways with stores that replicate writes, with faults between them."""
    outcome = run_scenario(
        lambda: replication_scenarios.run(
            gateways, seconds, seed, scenario.load(faults, "promises"), rate=rate
        )
    )
    report_outcome(outcome, report_path)


@app.command()
def discovery(
    gateways: Annotated[int, typer.Option(min=5, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=8, max=3600)] = 15.0,
    seed: Seed = 1,
    faults: Annotated[
        str, typer.Option(help=f"{', '.join(scenario.names('discovery'))}; or a file")
    ] = "none",
    alone: Annotated[bool, typer.Option("--alone", help="run the gateways without a fleet")] = False,
    report_path: ReportPath = None,
) -> None:
    """Run gateways whose discovery service fails, sends wrong endpoint lists, or loses changes."""
    outcome = run_scenario(
        lambda: discovery_scenarios.run(
            gateways, seconds, seed, scenario.load(faults, "discovery"), fleet_enabled=not alone
        )
    )
    report_outcome(outcome, report_path)


@app.command()
def cut(
    folder: Annotated[Path, typer.Argument(metavar="DIR", help="directory for the store")],
    seed: Seed = 1,
    step: Annotated[int, typer.Option(min=1, help="test only every Nth byte")] = 1,
    report_path: ReportPath = None,
) -> None:
    """Truncate a store's files at every byte, flip bits in every byte, and interrupt a compaction."""
    report_outcome(crash_cut.run(folder, seed, step), report_path)


@app.command("promises-sim")
def promises_sim(
    gateways: Annotated[int, typer.Option(min=3, max=40)] = 5,
    schedules: Annotated[int, typer.Option(min=0)] = 1000,
    seed: Seed = 1,
    small: Annotated[
        bool, typer.Option(help="also explore every order of events among three members; takes minutes")
    ] = False,
    report_path: ReportPath = None,
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
        report["small"] = [exploration.to_json() for exploration in explorations]
        violated = violated or any(exploration.violation for exploration in explorations)
        for line in [line for exploration in explorations for line in exploration.lines()]:
            typer.echo(line)
    write_json(report, report_path)
    raise typer.Exit(EXIT_VIOLATED if violated else 0)


@app.command("promises-cost")
def promises_cost(
    seconds: Annotated[float, typer.Option(min=2, max=600, help="seconds of load in each turn")] = 8.0,
    turns: Annotated[int, typer.Option(min=1)] = 3,
    seed: Seed = 1,
    records: Annotated[int, typer.Option(help="records in the largest store to open")] = 1_000_000,
    held: Annotated[
        int, typer.Option(help="write outcomes stored in the fleet when a machine is lost")
    ] = 5_000,
    plot: Annotated[Path | None, typer.Option(help="plot the results to this PNG file")] = None,
    report_path: ReportPath = None,
) -> None:
    """Measure the cost of replicated writes, group commit, recovery, and the repair of a lost gateway."""
    report = asyncio.run(replication_benchmark.measure(seconds, seed, turns, records, held))
    for line in report.lines():
        typer.echo(line)
    write_json(report.to_json(), report_path)
    if plot is not None:
        replication_benchmark_report.plot_report(report, plot)


@app.command("fleet-sim")
def fleet_sim(
    gateways: Annotated[int, typer.Option(min=3, max=2000)] = 5,
    schedules: Annotated[int, typer.Option(min=0)] = 1000,
    seed: Seed = 1,
    sizes: Annotated[
        str,
        typer.Option(help="fleet sizes for which to measure traffic and propagation time, such as 5,40,200"),
    ] = "",
    loss: Annotated[float, typer.Option(min=0, max=0.9)] = 0.0,
    plot: Annotated[
        Path | None, typer.Option(help="plot traffic and propagation time by fleet size to this PNG file")
    ] = None,
    report_path: ReportPath = None,
) -> None:
    """Test the fleet code on a virtual clock, with random faults and in fleets of any size."""
    report = fleet_simulation.study(
        gateways, schedules, seed, [int(size) for size in sizes.split(",") if size], loss
    )
    for line in fleet_simulation.lines(report):
        typer.echo(line)
    write_json(report, report_path)
    if plot is not None:
        fleet_simulation.plot_report(report, plot)
    raise typer.Exit(EXIT_VIOLATED if report["schedules"].get("broken") else 0)


@app.command("fleet-cost")
def fleet_cost(
    gateways: Annotated[int, typer.Option(min=2, max=20)] = 5,
    seconds: Annotated[float, typer.Option(min=1, max=600, help="seconds of load in each turn")] = 4.0,
    turns: Annotated[int, typer.Option(min=1)] = 3,
    seed: Seed = 1,
    report_path: ReportPath = None,
) -> None:
    """Measure the cost of the fleet code in a gateway, in alternating turns with it disabled and enabled."""
    report = asyncio.run(gateway_benchmark.measure(gateways, seconds, seed, turns))
    for line in gateway_benchmark.lines(report):
        typer.echo(line)
    write_json(report, report_path)


@app.command("shutdown")
def shutdown(
    first_seed: Annotated[int, typer.Option(help="seed of the first run")] = 1,
    runs: Annotated[int, typer.Option(min=1, help="number of runs, each with the next seed")] = 50,
    report_path: ReportPath = None,
) -> None:
    """End gateway processes while clients go on using their connections, with a new plan for each seed."""
    seeds = range(first_seed, first_seed + runs)
    report_outcome(asyncio.run(shutdown_soak.soak(seeds, typer.echo)), report_path)


@app.command("answers")
def answers(
    first_seed: Annotated[int, typer.Option(help="seed of the first run")] = 1,
    runs: Annotated[int, typer.Option(min=1, help="number of runs, each with the next seed")] = 50,
    report_path: ReportPath = None,
) -> None:
    """Pass answers in lumps through gateway processes that are disturbed, with a new plan for each seed."""
    seeds = range(first_seed, first_seed + runs)
    report_outcome(asyncio.run(answer_soak.soak(seeds, typer.echo)), report_path)


@app.command("variant")
def site_variant(
    base: Annotated[Path, typer.Option(help="the site file to vary (TOML)")],
    out: Annotated[Path, typer.Option(help="file for the variant")],
    seed: Seed = 1,
) -> None:
    """Write a variant of a site file, with random values for all settings that a customer may choose."""
    try:
        site_variants.write(base, seed, out)
    except (site_variants.VariantError, OSError) as error:
        typer.echo(f"lab: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error


def main() -> int:
    """Run the command line, and return its exit code."""
    try:
        app(standalone_mode=True)
    except SystemExit as system_exit:
        return int(system_exit.code or 0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
