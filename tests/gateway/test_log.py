"""Lines to standard error, rate-limited."""

from __future__ import annotations

import logging

import pytest

from shaletiller import log


def test_a_flood_is_cut_and_counted(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [1000.0]
    monkeypatch.setattr(log, "_window", [0.0, 0, 0])
    monkeypatch.setattr("shaletiller.log.time.monotonic", lambda: now[0])
    for number in range(log.LINES_A_SECOND + 5):
        log.log(f"line {number}")
    now[0] += 1.0
    log.log("later")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == log.LINES_A_SECOND + 2
    assert lines[-2:] == ["shaletiller: 5 lines left out", "shaletiller: later"]


def test_what_libraries_log_is_one_line_and_keeps_to_the_rate(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(log, "_window", [0.0, 0, 0])
    handlers, level = logging.root.handlers[:], logging.root.level
    log.forward_libraries()
    try:
        for _ in range(log.LINES_A_SECOND + 9):
            try:
                raise ValueError("odd")
            except ValueError:
                logging.getLogger("aiohttp.server").exception("Error handling request")
    finally:
        logging.root.handlers[:], logging.root.level = handlers, level
    lines = capsys.readouterr().err.splitlines()
    line = "shaletiller: aiohttp.server: Error handling request (ValueError('odd'))"
    assert lines == [line] * log.LINES_A_SECOND
