"""Logging of the gateway: the standard library's `logging`, as single lines on standard error.

Each module logs to `logging.getLogger(__name__)`.  `configure_logging` installs the one handler: it writes a
record as one line without a traceback, and limits how many lines are written in a second.
"""

from __future__ import annotations

import logging
import sys
import time

PROGRAM = "shaletiller"
MAX_LINES_PER_SECOND = 20  # empirical: enough to follow one incident, too few to fill a disk or to cost CPU
RATE_WINDOW_S = 1.0


class RateLimitFilter(logging.Filter):
    """Drops records beyond `MAX_LINES_PER_SECOND`; the next record that passes reports how many.

    A flood of malformed requests, or a collector that is down, would otherwise flood the log.
    """

    def __init__(self) -> None:
        super().__init__()
        self._window_start_s = 0.0
        self._lines = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Count a record.

        :param record: annotated with `dropped_before`, the number of records dropped in the last window.
        :returns: whether the record may be written.
        """
        now_s = time.monotonic()
        dropped_before = 0
        if now_s - self._window_start_s >= RATE_WINDOW_S:
            dropped_before, self._dropped = self._dropped, 0
            self._window_start_s, self._lines = now_s, 0
        if self._lines >= MAX_LINES_PER_SECOND:
            self._dropped += 1
            return False
        self._lines += 1
        record.dropped_before = dropped_before
        return True


class LineFormatter(logging.Formatter):
    """Writes a record as `shaletiller: message`; records of libraries also name their logger."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record without its traceback; the exception's `repr` follows in brackets."""
        text = record.getMessage()
        if record.name.partition(".")[0] != PROGRAM:
            text = f"{record.name}: {text}"
        error = record.exc_info[1] if record.exc_info else None
        if error is not None:
            text = f"{text} ({error!r})"
        line = f"{PROGRAM}: {text}"
        dropped: int = getattr(record, "dropped_before", 0)
        return f"{PROGRAM}: {dropped} log lines dropped\n{line}" if dropped else line


def configure_logging() -> None:
    """Log to standard error: the gateway's own records from INFO on, those of libraries from WARNING on."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    logging.getLogger(PROGRAM).setLevel(logging.INFO)
