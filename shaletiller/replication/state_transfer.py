"""State transfer: a member whose store is new is filled before it votes.

It asks each other member to note its incarnation and to send all the rows they share, page by page; when all
of a key's group have sent theirs, it votes on that key.
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

# Empirical: a lost page delays recovery by this much, against duplicate pages from a slow store.
RETRANSMIT_MS = 150.0
PAGE_BYTES = 48_000  # empirical: well below a link's frame, large enough that few round trips fill a store


@dataclass(slots=True)
class _Progress:
    """How far the transfer from one member has come."""

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
    """One member's part in it: requests while its own store is new, pages for others.

    The caller empties `outbox` after each call.
    """

    def __init__(self, acceptor: Acceptor, process_start_ms: int, budget: TransferBudget) -> None:
        """Start without transfers.

        :param process_start_ms: in milliseconds of the Unix epoch.
        """
        self.acceptor = acceptor
        self.budget = budget
        self.outbox: list[SendMessage] = []
        self.rows_received = 0
        self._nonce = first_nonce(process_start_ms)
        self._progress: dict[int, _Progress] = {}
        self._snapshots: dict[int, _Snapshot] = {}

    # ---- as the member with a new store

    def tick(self, now_ms: float) -> None:
        """Request pages from the members that have not sent everything."""
        acceptor = self.acceptor
        for member in range(acceptor.member_count):
            if member in acceptor.synced or member == acceptor.member:
                continue
            progress = self._progress.setdefault(member, _Progress())
            if now_ms - progress.requested_ms >= RETRANSMIT_MS:
                self._request(member, progress, now_ms, retransmit=progress.nonce > 0)

    def restart(self) -> None:
        """Begin all transfers again."""
        self._progress.clear()

    def _request(self, member: int, progress: _Progress, now_ms: float, retransmit: bool = False) -> None:
        if not retransmit:  # else under the same nonce: a reply may be on its way from a slow store
            self._nonce += 1
            progress.nonce = self._nonce
        progress.requested_ms = now_ms
        request = StateTransferRequest(progress.nonce, self.acceptor.incarnation, progress.after)
        self.outbox.append(SendMessage(member, request))

    def receive_page(
        self, sender: int, page: StateTransferPage, now_ms: float
    ) -> tuple[list[RecordUpdate], bool]:
        """Merge a page.

        :returns: the updates to persist, and whether the sender has sent everything, which counts once they
            are persisted.
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
            restart = progress.after != ""
            progress.incarnation, progress.after = page.incarnation, ""
            if restart:  # the sender's store is a new one too: earlier pages came from the one before
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

    # ---- as the member that has the rows

    def page_for(self, sender: int, request: StateTransferRequest, now_ms: float) -> StateTransferPage:
        """Build a page; the metadata of the acceptor must be persisted before it is sent."""
        acceptor = self.acceptor
        if request.incarnation < acceptor.incarnations[sender]:
            known = tuple(acceptor.incarnations)
            return StateTransferPage(request.nonce, acceptor.incarnation, False, known, (), "")
        acceptor.observe_incarnations({sender: request.incarnation})
        keys = self._keys_for(sender, request)
        first = bisect.bisect_right(keys, request.after) if request.after else 0
        rows, following = self._collect_rows(keys, first, now_ms)
        last = keys[following - 1] if following < len(keys) else ""
        if not last:
            self._snapshots.pop(sender, None)
        return StateTransferPage(
            request.nonce, acceptor.incarnation, True, tuple(acceptor.incarnations), tuple(rows), last
        )

    def _keys_for(self, sender: int, request: StateTransferRequest) -> list[str]:
        """Return the keys to transfer, sorted, as of the sender's first request.

        What is written after its incarnation was noted need not be transferred: those requests name that
        incarnation already, so that it takes part in them.
        """
        snapshot = self._snapshots.get(sender)
        if snapshot is None or snapshot.incarnation != request.incarnation or not request.after:
            groups = self.acceptor.groups
            keys = sorted(key for key in self.acceptor.rows if sender in groups.members_of(key))
            snapshot = self._snapshots[sender] = _Snapshot(request.incarnation, keys)
        return snapshot.keys

    def _collect_rows(self, keys: list[str], first: int, now_ms: float) -> tuple[list[tuple[str, Row]], int]:
        """Collect rows from `first` on until the page is full; where the budget is spent, a single one.

        :returns: the rows, and the index of the key after the last.
        """
        rows: list[tuple[str, Row]] = []
        size, index = 0, first
        limit = max(1.0, min(PAGE_BYTES, self.budget.available))
        while index < len(keys) and size < limit:
            row = self.acceptor.row(keys[index], now_ms)
            if row.expires_ms > 0:
                rows.append((keys[index], row))
                size += row_bytes(keys[index], row)
            index += 1
        self.budget.spend(len(rows), size)
        return rows, index
