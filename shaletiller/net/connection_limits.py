"""Timeouts and sizes that bound what one client connection may hold.

Other modules read these as attributes of this module, so that a test that replaces one reaches every use.
"""

from __future__ import annotations

from typing import TypedDict

# A request must be complete by then, or its client gets a 408.  Clients are owed an answer, be it an error,
# within 3 s of connecting; the rest of the 3 s is for sending it.
REQUEST_TIMEOUT_MS = 2200.0
# A keep-alive connection without a request is closed then.  Empirical: longer saves reconnects, shorter frees
# descriptors.
IDLE_TIMEOUT_MS = 10_000.0
# How long an error response waits for a client that is still sending (lingering close).  Empirical: a client
# that sends a large body on a slow line must see the error; a hostile one holds a connection meanwhile.
LINGER_TIMEOUT_S = 4.0
MAX_LINGER_BYTES = 64 << 20  # and how much of what that client sends is discarded before it is cut off
# How long a half-closed connection waits for its client to close too.  What arrives meanwhile is not read.
# Empirical: a round trip to a distant client, and no longer than a descriptor can be spared.
HALF_CLOSE_TIMEOUT_MS = 250.0
SHUTDOWN_POLL_S = 0.005  # how often half-closed connections are checked while the process ends
# aiohttp's own keep-alive timer is off: only the sweep distinguishes silent from idle clients.
NO_KEEPALIVE_TIMEOUT_S = 1e6
SWEEP_INTERVAL_MS = 50.0  # the timeouts above are late by this at most
READ_SIZE = 64 * 1024  # bytes read at once from a socket that has no protocol
ACCEPTS_PER_WAKEUP = 64  # connections accepted in one turn of the event loop; requests wait meanwhile
# Accepted connections started in one turn of the event loop.  Starting one costs as much as a request, and
# the requests of established connections wait meanwhile.
STARTS_PER_TURN = 4
# If accepted connections have queued for so long without a gap, more arrive than can be started (a standing
# queue, as in CoDel, RFC 8289).
OVERLOAD_AFTER_MS = 100.0
# Under overload, connections that queued for this long are rejected unread: started in order of arrival, all
# of them would be answered too late, and their clients would retry and add to the load.
MAX_QUEUE_AGE_MS = 5.0
REJECT_RETRY_AFTER_MS = OVERLOAD_AFTER_MS  # the Retry-After of those: overload cannot end sooner
LISTEN_BACKLOG = 1024  # connections that the kernel queues while the gateway is at its limit
# Above this part of the connection limit, responses close their connections.  It must stay above the third of
# the descriptors that clients with requests in progress may use.
CROWDED_PART = 0.75


class HeadLimits(TypedDict):
    """aiohttp's limits for one request head."""

    max_line_size: int
    max_field_size: int
    max_headers: int
    read_bufsize: int


# Together they bound the memory of one connection.
HEAD_LIMITS: HeadLimits = {
    "max_line_size": 4096,
    "max_field_size": 4096,
    "max_headers": 32,
    "read_bufsize": 32 * 1024,
}
