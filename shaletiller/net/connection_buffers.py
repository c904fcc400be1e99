"""What one client connection holds in buffers, charged to the memory account of the process."""

from __future__ import annotations

from aiohttp.http import RawRequestMessage

from shaletiller.clock import Clock
from shaletiller.core.memory_account import MemoryAccount, MemoryOwner

# Approximate private memory of an open client connection without its buffers.
CONNECTION_BYTES = 6 * 1024
TASK_BYTES = 10 * 1024  # of aiohttp's task, with the objects of one request and its response
# Input of a connection that is read although memory is tight: small requests must not wait behind large ones.
SMALL_INPUT_BYTES = 4 * 1024
SMALL_READ_BYTES = 1024
MIN_READ_BYTES = 512
HEAD_STEP_BYTES = 8 * 1024  # that are read at once for the rest of a head
# Of a body: the one that was read, and the one that is written to a node.  Of a field: as bytes and as text.
INPUT_COPIES = 2
# Approximate memory of a parsed head, besides its bytes: its fields are separate objects.
PARSED_HEAD_BYTES = 3 * 1024
HEADER_SEPARATOR_BYTES = len(": \r\n")
REQUEST_LINE_BYTES = len("  HTTP/1.1\r\n\r\n")  # without method and target


class ConnectionBuffers:
    """The input and output that a connection holds, and how much input it may hold while memory is tight."""

    __slots__ = (
        "_account",
        "_clock",
        "_connection_charge",
        "_read_allowance",
        "_request_charge",
        "_undelivered_bytes",
        "_unparsed_bytes",
        "held_bytes",
        "last_progress_ms",
        "unread_bytes",
    )

    def __init__(self, account: MemoryAccount, clock: Clock) -> None:
        self._account = account
        self._clock = clock
        self._connection_charge = 0  # for the connection itself and its task
        self.held_bytes = 0  # input charged to the memory account
        self._request_charge = 0  # of it, for the request that is being served
        self._unparsed_bytes = 0  # input since the last complete head
        self._read_allowance = SMALL_INPUT_BYTES  # input that may be held although memory is tight
        self.unread_bytes = 0  # responses charged to the memory account
        self._undelivered_bytes = 0  # responses that the client's machine had not received when it was asked
        self.last_progress_ms = clock.now_ms()  # when input or output last moved

    def charge_connection(self, cost: int) -> None:
        """Charge the connection itself, or its task."""
        self._connection_charge += cost
        self._account.charge(MemoryOwner.CONNECTIONS, cost)

    def release_all(self) -> None:
        """Release everything as the connection ends; further calls do nothing."""
        self._account.charge(MemoryOwner.CONNECTIONS, -self._connection_charge)
        self._connection_charge = 0
        self.release_input(self.held_bytes)
        self.charge_unread(0)

    def charge_input(self, size: int, received: int, is_head: bool) -> None:
        """Charge input that is kept.

        :param received: number of requests whose heads it completed.
        :param is_head: whether it is a part of a head.
        """
        self._unparsed_bytes = size if received else self._unparsed_bytes + size
        charged = INPUT_COPIES * size if is_head else size + received * PARSED_HEAD_BYTES
        self.held_bytes += charged
        self.last_progress_ms = self._clock.now_ms()
        self._account.charge(MemoryOwner.INPUT, charged)

    def release_input(self, size: int) -> None:
        """Release input, at most as much as is charged."""
        released = min(size, self.held_bytes)
        if released:
            self.held_bytes -= released
            self._account.charge(MemoryOwner.INPUT, -released)

    def begin_request(self, head_bytes: int, body_bytes: int, has_more: bool, is_pending: bool) -> None:
        """Charge a request on the fast path by its body, in place of what was charged for its input.

        :param head_bytes: what was charged for its head.
        :param has_more: whether input behind it is held too.
        :param is_pending: whether it has no response yet.
        """
        if self.held_bytes:
            self.release_input(head_bytes + body_bytes if has_more else self.held_bytes)
        if is_pending and body_bytes > SMALL_INPUT_BYTES:
            self._request_charge = INPUT_COPIES * body_bytes
            self.held_bytes += self._request_charge
            self._account.charge(MemoryOwner.INPUT, self._request_charge)
        self.end_allowance()

    def end_request(self) -> None:
        """Release what is charged for the request on the fast path."""
        if self._request_charge:
            self.release_input(self._request_charge)
            self._request_charge = 0

    def release_parsed_input(self) -> None:
        """Release all input but what has come since the last complete head."""
        self.release_input(self.held_bytes - self._unparsed_bytes)
        self.end_allowance()

    def allow(self, size: int) -> None:
        """Allow so much more input to be held, although memory may be tight."""
        self._read_allowance = self.held_bytes + size

    def end_allowance(self) -> None:
        """Allow as much input as a small request needs."""
        self._read_allowance = SMALL_INPUT_BYTES

    def exceeds_allowance(self, more_bytes: int = 0) -> bool:
        """Whether no more input may be held, as memory is tight.

        :param more_bytes: input that is expected.
        """
        if not self._account.is_tight:
            return False
        held_bytes = self.held_bytes + more_bytes
        return held_bytes > self._allowed_bytes if more_bytes else held_bytes >= self._allowed_bytes

    @property
    def _allowed_bytes(self) -> int:
        """How much input may be held while memory is tight."""
        if self._read_allowance == SMALL_INPUT_BYTES and self._account.is_spent:
            return MIN_READ_BYTES
        return self._read_allowance

    @property
    def max_read_bytes(self) -> int:
        """How much input to read at once while memory is tight."""
        if not self.held_bytes and not self._account.is_spent:
            return SMALL_READ_BYTES
        return max(MIN_READ_BYTES, self._allowed_bytes - self.held_bytes)

    @property
    def read_step_bytes(self) -> int:
        """How much input to read at once for a request whose size is unknown, while memory is tight."""
        return HEAD_STEP_BYTES if self.held_bytes else SMALL_READ_BYTES

    @property
    def granted_bytes(self) -> int:
        """How much of the input that `allow` allowed is not read yet."""
        granted = self._read_allowance != SMALL_INPUT_BYTES
        return max(0, self._read_allowance - self.held_bytes) if granted else 0

    def charge_unread(self, size: int) -> None:
        """Charge the responses that the client has not read and the kernel has not taken."""
        if size != self.unread_bytes:
            self.last_progress_ms = self._clock.now_ms()
            self._account.charge(MemoryOwner.RESPONSES, size - self.unread_bytes)
            self.unread_bytes = size

    def track_delivery(self, undelivered_bytes: int) -> None:
        """Record progress if the client's machine has received more of what was written."""
        if undelivered_bytes != self._undelivered_bytes:
            self._undelivered_bytes = undelivered_bytes
            self.last_progress_ms = self._clock.now_ms()


def charged_head_bytes(message: RawRequestMessage) -> int:
    """Return what is charged for a request's head, if it is written as usual."""
    fields = sum(len(name) + len(value) + HEADER_SEPARATOR_BYTES for name, value in message.raw_headers)
    return len(message.method) + len(message.path) + REQUEST_LINE_BYTES + fields + PARSED_HEAD_BYTES
