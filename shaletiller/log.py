"""Lines for the operators on standard error, so many a second at most."""

from __future__ import annotations

import logging
import sys
import time

LINES_A_SECOND = 20

_window = [0.0, 0, 0]  # start of the second, lines in it, lines left out of it


def log(line: str) -> None:
    """Print a line unless this second has had its share; what was left out is counted."""
    now = time.monotonic()
    if now - _window[0] >= 1.0:
        if _window[2]:
            print(f"shaletiller: {_window[2]} lines left out", file=sys.stderr)
        _window[:] = [now, 0, 0]
    if _window[1] >= LINES_A_SECOND:
        _window[2] += 1
        return
    _window[1] += 1
    print(f"shaletiller: {line}", file=sys.stderr, flush=True)


class _Forwarded(logging.Handler):
    """A library's log record as one line of ours, without its traceback."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        cause = f" ({error!r})" if error is not None else ""
        log(f"{record.name}: {record.getMessage()}{cause}")


def forward_libraries() -> None:
    """Libraries that log by themselves, aiohttp and OpenTelemetry, keep to the rate too: else a flood of
    malformed requests, or a collector that is down, would flood the log."""
    logging.basicConfig(level=logging.WARNING, handlers=[_Forwarded()], force=True)
