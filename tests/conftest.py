"""Reports failures of the tests listed in KNOWN-RED.txt without failing the run."""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the node ids in KNOWN-RED.txt, from the lines that begin with `test: `."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")}


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Fail a run of the whole suite if KNOWN-RED.txt lists a test that does not exist."""
    if config.args_source is not pytest.Config.ArgsSource.TESTPATHS:
        return
    missing = known_red() - {item.nodeid for item in items}
    if missing:
        raise pytest.UsageError(f"KNOWN-RED.txt lists tests that do not exist: {', '.join(sorted(missing))}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report the failure of a listed test as expected; a listed test that passes is reported as passed."""
    report = yield
    if report.failed and item.nodeid in known_red():
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print which of the listed tests failed; `--xfail-tb` prints their assertions and output."""
    listed = known_red()
    if not listed:
        return
    failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", [])}
    terminalreporter.section("KNOWN-RED.txt")
    for test in sorted(listed):
        terminalreporter.line(f"{test}: {'failed' if test in failed else 'did not fail'}")
