"""Logging of the gateway: records of the standard library's `logging` as single lines on standard error.

Each module logs to `logging.getLogger(__name__)`.  `configure_logging` installs the only handler, which
writes each record as one line without a traceback and limits the number of lines per second.
"""

from __future__ import annotations

import logging
import sys
import time

PROGRAM = "shaletiller"
# A larger value shows more of an incident; a smaller value costs less CPU and disk space.
MAX_LINES_PER_SECOND = 20
RATE_WINDOW_S = 1.0


class RateLimitFilter(logging.Filter):
    """Drops records beyond `MAX_LINES_PER_SECOND`; the next record that passes reports their number.

    Without it, many malformed requests or an unreachable collector would flood the log.
    """

    def __init__(self) -> None:
        super().__init__()
        self._window_start_s = 0.0
        self._lines = 0
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Decide whether a record is written.

        :param record: the record; sets its attribute `dropped_before` to the number of records that were
            dropped in the previous window.
        :returns: whether the record is written.
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
    """Formats a record as `shaletiller: message`, with the name of the logger for records of libraries."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record without its traceback; the `repr` of its exception follows in parentheses."""
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
    """Log to standard error: records of the gateway from INFO, and of libraries from WARNING."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitFilter())
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)
    logging.getLogger(PROGRAM).setLevel(logging.INFO)
