"""Tests of the log: single lines on standard error, with a limit on their number per second."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from shaletiller import log


@pytest.fixture
def _logging_restored() -> Iterator[None]:
    """Restore the configuration of logging after a test."""
    handlers, level = logging.root.handlers[:], logging.root.level
    yield
    logging.root.handlers[:], logging.root.level = handlers, level
    logging.getLogger(log.PROGRAM).setLevel(logging.NOTSET)


@pytest.mark.usefixtures("_logging_restored")
def test_a_flood_is_cut_and_counted(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """More lines are logged in one second than the limit, and one more line a second later.

    The lines beyond the limit are dropped, and their number is logged with the last line.
    """
    log.configure_logging()
    now = [1000.0]
    monkeypatch.setattr("shaletiller.log.time.monotonic", lambda: now[0])
    logger = logging.getLogger("shaletiller.core.engine")
    for number in range(log.MAX_LINES_PER_SECOND + 5):
        logger.info("line %d", number)
    now[0] += 1.0
    logger.info("later")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == log.MAX_LINES_PER_SECOND + 2
    assert lines[0] == "shaletiller: line 0"
    assert lines[-2:] == ["shaletiller: 5 log lines dropped", "shaletiller: later"]


@pytest.mark.usefixtures("_logging_restored")
def test_what_libraries_log_is_one_line_and_keeps_to_the_rate(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A library logs an exception with its traceback more often than the limit allows."""
    log.configure_logging()
    monkeypatch.setattr("shaletiller.log.time.monotonic", lambda: 1000.0)
    for _ in range(log.MAX_LINES_PER_SECOND + 9):
        try:
            raise ValueError("odd")
        except ValueError:
            logging.getLogger("aiohttp.server").exception("Error handling request")
    lines = capsys.readouterr().err.splitlines()
    line = "shaletiller: aiohttp.server: Error handling request (ValueError('odd'))"
    assert lines == [line] * log.MAX_LINES_PER_SECOND
