"""State transfer: a member with a new store receives its rows from the other members before it votes.

It requests each other member to record its incarnation and to send all the rows that both hold, page by page.
It votes on a key once all other members of the key's group have sent their rows.
"""

from __future__ import annotations

import bisect
import math
from dataclasses import dataclass

from shaletiller.replication.acceptor import Acceptor
from shaletiller.replication.effects import SendMessage
from shaletiller.replication.messages import StateTransferPage, StateTransferRequest, first_nonce
from shaletiller.replication.records import Row
from shaletiller.replication.transfer_budget import TransferBudget, row_bytes
from shaletiller.store.record_format import RecordUpdate

# Time after which a page is requested again. With a larger value a lost page delays recovery for longer; a
# smaller value causes more duplicate pages from a slow store.
RETRANSMIT_MS = 150.0
# Approximate maximum size of a page, well below the frame limit of a link. A smaller value needs more round
# trips to fill a store.
PAGE_BYTES = 48_000


@dataclass(slots=True)
class _Progress:
    """The progress of the transfer from one member."""

    after: str = ""
    incarnation: int = 0
    nonce: int = 0
    requested_ms: float = -math.inf


@dataclass(slots=True, frozen=True)
class _Snapshot:
    """The keys to transfer to an incarnation of a member, as of its first request."""

    incarnation: int
    keys: list[str]


class StateTransfer:
    """The state transfers of one member: requests while its own store is new, and pages for other members.

    The caller empties `outbox` after each call.
    """

    def __init__(self, acceptor: Acceptor, process_start_ms: int, budget: TransferBudget) -> None:
        """Create the state without transfers; `budget` is shared with anti-entropy.

        :param process_start_ms: start time of this process in milliseconds since the Unix epoch.
        """
        self.acceptor = acceptor
        self.budget = budget
        self.outbox: list[SendMessage] = []
        self.rows_received = 0
        self._last_nonce = first_nonce(process_start_ms)
        self._progress: dict[int, _Progress] = {}
        self._snapshots: dict[int, _Snapshot] = {}

    def tick(self, now_ms: float) -> None:
        """Request pages from the members that have not sent all their rows yet."""
        acceptor = self.acceptor
        for member in range(acceptor.member_count):
            if member in acceptor.synced or member == acceptor.member:
                continue
            progress = self._progress.setdefault(member, _Progress())
            if now_ms - progress.requested_ms >= RETRANSMIT_MS:
                self._request(member, progress, now_ms, retransmit=progress.nonce > 0)

    def restart(self) -> None:
        """Restart all transfers from the first page."""
        self._progress.clear()

    def _request(self, member: int, progress: _Progress, now_ms: float, retransmit: bool = False) -> None:
        # A retransmission keeps its nonce, because the reply may still be on its way from a slow store.
        if not retransmit:
            self._last_nonce += 1
            progress.nonce = self._last_nonce
        progress.requested_ms = now_ms
        request = StateTransferRequest(progress.nonce, self.acceptor.incarnation, progress.after)
        self.outbox.append(SendMessage(member, request))

    def receive_page(
        self, sender: int, page: StateTransferPage, now_ms: float
    ) -> tuple[list[RecordUpdate], bool]:
        """Merge a page.

        :returns: the updates to persist, and whether the transfer from the sender is complete once they are
            persisted.
        """
        acceptor, progress = self.acceptor, self._progress.get(sender)
        if progress is None or page.nonce != progress.nonce:
            return [], False
        if len(page.known_incarnations) == acceptor.member_count:
            acceptor.observe_incarnations(dict(enumerate(page.known_incarnations)))
        acceptor.observe_incarnations({sender: page.incarnation})
        if not page.accepted or acceptor.superseded:
            return [], False
        if progress.incarnation != page.incarnation:
            has_earlier_pages = progress.after != ""
            progress.incarnation, progress.after = page.incarnation, ""
            if has_earlier_pages:  # The sender has a new store too; those pages came from its previous one.
                self._request(sender, progress, now_ms)
                return [], False
        updates = [
            update for key, row in page.rows for update in acceptor.merge(key, row, now_ms, recovering=True)
        ]
        self.rows_received += len(updates)
        if not page.after:
            del self._progress[sender]
            return updates, True
        progress.after = page.after
        self._request(sender, progress, now_ms)
        return updates, False

    def build_page(self, sender: int, request: StateTransferRequest, now_ms: float) -> StateTransferPage:
        """Build a page of rows; the acceptor's metadata must be persisted before the page is sent."""
        acceptor = self.acceptor
        if request.incarnation < acceptor.incarnations[sender]:
            known_incarnations = tuple(acceptor.incarnations)
            return StateTransferPage(request.nonce, acceptor.incarnation, False, known_incarnations, (), "")
        acceptor.observe_incarnations({sender: request.incarnation})
        keys = self._keys_for(sender, request)
        start = bisect.bisect_right(keys, request.after) if request.after else 0
        rows, next_index = self._collect_rows(keys, start, now_ms)
        last = keys[next_index - 1] if next_index < len(keys) else ""
        if not last:
            self._snapshots.pop(sender, None)
        return StateTransferPage(
            request.nonce, acceptor.incarnation, True, tuple(acceptor.incarnations), tuple(rows), last
        )

    def _keys_for(self, sender: int, request: StateTransferRequest) -> list[str]:
        """Return the sorted keys to transfer, as of the first request of the sender's incarnation.

        Later writes need not be transferred: their requests name the recorded incarnation, so that the sender
        takes part in them itself.
        """
        snapshot = self._snapshots.get(sender)
        if snapshot is None or snapshot.incarnation != request.incarnation or not request.after:
            groups = self.acceptor.groups
            keys = sorted(key for key in self.acceptor.rows if sender in groups.members_of(key))
            snapshot = self._snapshots[sender] = _Snapshot(request.incarnation, keys)
        return snapshot.keys

    def _collect_rows(self, keys: list[str], start: int, now_ms: float) -> tuple[list[tuple[str, Row]], int]:
        """Collect rows from index `start` until the page is full; a single row if the budget is exhausted.

        :returns: the rows, and the index of the next key to transfer.
        """
        rows: list[tuple[str, Row]] = []
        size, index = 0, start
        limit = max(1.0, min(PAGE_BYTES, self.budget.available))
        while index < len(keys) and size < limit:
            row = self.acceptor.row(keys[index], now_ms)
            if row.expires_ms > 0:
                rows.append((keys[index], row))
                size += row_bytes(keys[index], row)
            index += 1
        self.budget.spend(len(rows), size)
        return rows, index
