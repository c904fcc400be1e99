"""Results of `lab promises-cost`, in JSON, as printed lines, and as plots."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from shaletiller.lab.load_generator import ClientRequest
from shaletiller.lab.store_benchmark import RecoveryTimes

LEVELS = ("local", "copied")
PLOTTED_PERCENTILES = ("p50", "p90", "p99")


@dataclass(slots=True, frozen=True)
class Percentiles:
    """Percentiles of latencies in milliseconds; NaN without latencies."""

    p50: float
    p90: float
    p99: float
    highest: float

    @classmethod
    def of_latencies(cls, values: Iterable[float]) -> Percentiles:
        """Return the percentiles of latencies in milliseconds, by the nearest-rank method."""
        ranked = sorted(values) or [float("nan")]
        return cls(
            *(ranked[min(len(ranked) - 1, int(fraction * len(ranked)))] for fraction in (0.5, 0.9, 0.99, 1.0))
        )

    @classmethod
    def of_writes(
        cls, requests: list[ClientRequest], begin_ms: float = 0.0, end_ms: float = float("inf")
    ) -> Percentiles:
        """Return the percentiles of the latencies of the served replicated writes that were due in a span.

        A latency counts from the time when the write was due, so that it includes a delayed start.
        """
        return cls.of_latencies(
            request.ended_ms - request.due_ms
            for request in requests
            if request.status == 200 and request.stream.keyed and begin_ms <= request.due_ms < end_ms
        )

    def to_json(self) -> dict[str, float]:
        """Return the percentiles under the keys of the report."""
        return {"p50": self.p50, "p90": self.p90, "p99": self.p99, "most": self.highest}


@dataclass(slots=True)
class RepairTimes:
    """Times of the loss and the repair of a machine, in milliseconds of the run.

    :param synced_ms: when the new machine votes on all keys again.
    :param records: number of records that it received until then.
    :param latencies: latencies of the writes through the other gateways: before the loss, before the
        replacement, and during the repair.
    """

    lost_ms: float
    replaced_ms: float
    synced_ms: float
    records: int
    latencies: dict[str, Percentiles] = field(default_factory=dict)

    def add_latencies(self, requests: list[ClientRequest], began_ms: float) -> None:
        """Set the latencies from the requests of the run.

        :param began_ms: when the run began.
        """
        spans = {
            "before": (0.0, self.lost_ms),
            "away": (self.lost_ms, self.replaced_ms),
            "filling": (self.replaced_ms, self.synced_ms),
        }
        self.latencies = {
            name: Percentiles.of_writes(requests, began_ms + begin_ms, began_ms + end_ms)
            for name, (begin_ms, end_ms) in spans.items()
        }

    def to_json(self) -> dict[str, Any]:
        """Return the repair under the keys of the report."""
        return {
            "lost_ms": self.lost_ms,
            "back_ms": self.replaced_ms,
            "filled_ms": self.synced_ms,
            "records_filled": self.records,
            **{f"ms_{name}": percentiles.to_json() for name, percentiles in self.latencies.items()},
        }


@dataclass(slots=True, frozen=True)
class DiskUsage:
    """Bytes in the stores of all gateways, and bytes of the outcomes that clients received."""

    log_bytes: int
    live_bytes: int
    outcome_bytes: int
    rows_a_commit: float

    def to_json(self) -> dict[str, float]:
        """Return the usage under the keys of the report."""
        return {
            "disk_bytes": self.log_bytes,
            "live_bytes": self.live_bytes,
            "promised_bytes": self.outcome_bytes,
            "rows_a_commit": self.rows_a_commit,
        }


@dataclass(slots=True)
class WriteRun:
    """A run of writes: the number of responses by status, and the latencies of the served writes."""

    statuses: dict[str, int]
    latencies: Percentiles
    repair: RepairTimes | None = None
    disk: DiskUsage | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the run under the keys of the report."""
        repair = {} if self.repair is None else self.repair.to_json()
        disk = {} if self.disk is None else self.disk.to_json()
        return {"statuses": self.statuses, "ms": self.latencies.to_json(), **repair, **disk}


@dataclass(slots=True)
class BenchmarkReport:
    """The results of all benchmarks."""

    writes: dict[str, list[WriteRun]] = field(default_factory=lambda: {level: [] for level in LEVELS})
    commits_a_second: dict[str, float] = field(default_factory=dict)
    recovery: list[RecoveryTimes] = field(default_factory=list)
    repair: WriteRun | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the results under the keys of the report."""
        return {
            "writes": {level: [run.to_json() for run in runs] for level, runs in self.writes.items()},
            "commits_a_second": self.commits_a_second,
            "recovery": [times.to_json() for times in self.recovery],
            "repair": {} if self.repair is None else self.repair.to_json(),
        }

    def lines(self) -> list[str]:
        """Return the results as lines to print."""
        return [*self._write_lines(), *self._store_lines(), *self._repair_lines()]

    def median_ms(self, level: str, percentile: str) -> float:
        """Return the median of a percentile over the runs of a level."""
        return float(statistics.median(getattr(run.latencies, percentile) for run in self.writes[level]))

    def _write_lines(self) -> list[str]:
        lines = []
        for level, runs in self.writes.items():
            latencies = ", ".join(
                f"{name} {self.median_ms(level, name):.1f} ms" for name in PLOTTED_PERCENTILES
            )
            lines.append(f"writes {level:6}: {latencies} (medians of {len(runs)})")
        return lines

    def _store_lines(self) -> list[str]:
        lines = [f"{name}: {rate:.0f} records/s" for name, rate in self.commits_a_second.items()]
        lines += [
            f"recovery of {times.records} records, {times.log_bytes / 1e6:.1f} MB: "
            f"{times.from_log_s:.2f} s from the log, {times.from_snapshot_s:.2f} s from a snapshot"
            for times in self.recovery
        ]
        disk = self.writes["copied"][-1].disk
        if disk is not None:
            lines.append(
                f"disk: {disk.log_bytes} bytes in all logs, {disk.live_bytes} of them live, for "
                f"{disk.outcome_bytes} bytes of outcomes; {disk.rows_a_commit:.1f} rows per commit"
            )
        return lines

    def _repair_lines(self) -> list[str]:
        repair = None if self.repair is None else self.repair.repair
        if repair is None:
            return []
        return [
            f"repair: {repair.records} records in "
            f"{repair.synced_ms - repair.replaced_ms:.0f} ms after the new machine started",
            *(
                f"  writes {name:7}: p50 {ms.p50:.1f}, p99 {ms.p99:.1f}, max {ms.highest:.1f} ms"
                for name, ms in repair.latencies.items()
            ),
        ]


def plot_report(report: BenchmarkReport, path: Path) -> None:
    """Plot latencies of writes, commits per second and recovery times to a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, middle, right) = pyplot.subplots(1, 3, figsize=(11, 3.6))
    positions = range(len(PLOTTED_PERCENTILES))
    for index, level in enumerate(report.writes):
        heights = [report.median_ms(level, name) for name in PLOTTED_PERCENTILES]
        left.bar([position + index * 0.4 for position in positions], heights, 0.38, label=level)
    left.set_xticks([position + 0.2 for position in positions], PLOTTED_PERCENTILES)
    left.set(ylabel="ms from when a write was due", title="writes")
    left.legend()
    middle.bar(["one sync\nper record", "group\ncommit"], list(report.commits_a_second.values()))
    middle.set(ylabel="records/s", title="commits")
    sizes = [times.records for times in report.recovery]
    right.plot(sizes, [times.from_log_s for times in report.recovery], marker="o", label="log")
    right.plot(sizes, [times.from_snapshot_s for times in report.recovery], marker="o", label="snapshot")
    right.set(xscale="log", yscale="log", xlabel="records", ylabel="seconds to open", title="recovery")
    right.legend()
    for axes in (left, middle, right):
        axes.grid(alpha=0.3, axis="y")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
