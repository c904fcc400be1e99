"""Timeouts and sizes that limit the resources of client connections.

Other modules read these as attributes of this module, so that a test can replace a value for every use.
"""

from __future__ import annotations

from typing import TypedDict

# Time within which a request must be complete, or its client gets a 408.  Clients must get a response, or an
# error, within 3 s of connecting; the rest of the 3 s is for sending it.
REQUEST_TIMEOUT_MS = 2200.0
# Time after which an idle keep-alive connection is closed.  A larger value saves reconnects; a smaller value
# frees file descriptors sooner.
IDLE_TIMEOUT_MS = 10_000.0
# Time for which a lingering close waits for a client that is still sending.  A larger value lets a client
# that sends a large body on a slow network see the error; a smaller value frees the connection of a hostile
# client sooner.
LINGER_TIMEOUT_S = 4.0
MAX_LINGER_BYTES = 64 << 20  # input discarded by a lingering close before the connection is closed
# Time for which a half-closed connection waits for its client to close too; its input is not read.  The value
# must cover a round trip to a distant client; a larger value holds file descriptors longer.
HALF_CLOSE_TIMEOUT_MS = 250.0
SHUTDOWN_POLL_S = 0.005  # interval between checks of half-closed connections during shutdown
SERVER_SHUTDOWN_TIMEOUT_S = 0.001  # for handlers that are cancelled; aiohttp takes 0 for no limit
# Time at the end of the process for which input is read that has arrived before.  A larger value answers more
# of what arrived while the process was held up; a smaller value leaves more time to write what is owed.
LAST_READ_MS = 40.0
# Disables aiohttp's keep-alive timer: only the sweep distinguishes clients that have sent nothing from idle
# ones.
NO_KEEPALIVE_TIMEOUT_S = 1e6
SWEEP_INTERVAL_MS = 50.0  # interval between timeout checks; a timeout is late by at most this time
MAX_READ_BYTES = 64 * 1024  # maximum bytes per read from a socket that has no protocol
ACCEPTS_PER_WAKEUP = 64  # maximum connections accepted in one event loop iteration, which delays requests
# Maximum accepted connections started in one event loop iteration.  Starting one costs as much as a request
# and delays the requests of established connections.
STARTS_PER_TURN = 4
# Time for which the accept queue must be nonempty without interruption to count as overload: more connections
# arrive than can be started (a standing queue, as in CoDel, RFC 8289).
OVERLOAD_AFTER_MS = 100.0
# Maximum time for which ordered requests wait until older input is read; under a flood of new connections it
# could be read much later.
MAX_INPUT_WAIT_MS = 100.0
# Event loop iterations that a request takes at most from its socket to the engine: the start of its
# connection, the read, and the tasks of aiohttp.
READ_TURNS = 8
# Age at which queued connections are rejected unread under overload.  If they were started in order of
# arrival, all of them would be answered too late, and the retries of their clients would add to the load.
MAX_QUEUE_AGE_MS = 5.0
REJECT_RETRY_AFTER_MS = OVERLOAD_AFTER_MS  # Retry-After of these rejections; overload cannot end sooner
LISTEN_BACKLOG = 1024  # connections that the kernel queues while the connection limit is reached
# Fraction of the connection limit from which responses close their connections.  It must exceed the third of
# the file descriptors that clients with requests in progress may use.
NEAR_LIMIT_RATIO = 0.75
# A client uses its connection regularly if it has sent so many requests, and the last one so soon after a
# response.
REGULAR_REQUESTS = 3
REGULAR_USE_MS = 1000.0
# Ratio of the connection limit that others have to hold for regularly used connections to stay open near it.
OTHER_USE_RATIO = 0.1
MIN_CONNECTIONS = 64  # that are started even if there is no memory
# Ratio of the connection limit that is left to connections which wait to be started, or are rejected: in the
# kernel's queue, a client would wait for its answer behind all others.
WAITING_RATIO = 0.125
# Time for which an accepted connection waits for memory, or for another one to end, before its request is
# rejected; clients have timeouts of about a second.
MAX_START_WAIT_MS = 750.0
START_POLL_MS = 10.0  # interval between attempts to start such a connection


class HeadLimits(TypedDict):
    """Limits of aiohttp for one request head."""

    max_line_size: int
    max_field_size: int
    max_headers: int
    read_bufsize: int


# Together, these values limit the memory of one connection.
HEAD_LIMITS: HeadLimits = {
    "max_line_size": 4096,
    "max_field_size": 4096,
    "max_headers": 32,
    "read_bufsize": 32 * 1024,
}
