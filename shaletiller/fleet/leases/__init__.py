"""Leases on shared limits: each member owns a fixed part of a limit and lends out the idle portion of it.

Each of the M members of a fleet owns 1/M of each limit.  A member whose traffic needs less *pledges* the
rest, for a term, to the limit's *granter*: the member that rendezvous hashing selects among those alive.  The
granter *leases* what was pledged to it to members that request it, by demand, for no longer than the pledges
last.

There is no other source of quota, so the sum of all quotas never exceeds the limit, whatever the members
believe about the membership:

- An owner spends its part less what it has pledged, and has pledges outstanding to one incarnation of one
  granter at a time.  A successor, or the granter itself after a restart, receives no pledge until the last
  pledge to the previous one has expired.
- A granter leases at most what pledges cover, up to the end of the lease.
- A holder's lease is checked against the clock at each spend (`quotas.Quota.at`).
- A restarted member has lost the record of its pledges: its own part is unavailable for one term.

Durations run from the sending of the request that an answer names, so delay only shortens what was given.
Clocks need not agree; their rates may differ by `LeaseTiming.drift`.  The giving side waits (1 + drift)
terms, the receiving side uses (1 - drift) of them.

Where granters' lease tables are replicated (`granter.LeaseTable`; shaletiller/replication), a successor need
not wait for the expiry of pledges to its predecessor: it writes the table in its own name, which fences the
predecessor, since that can neither write nor therefore lease any more; it counts the predecessor's leases as
its own; and owners pledge to it immediately.  A grant is sent only after the table that contains it is
replicated.

A limit that counts what is spent in a sliding window of `settle_ms` (the warm-up budget of a storage node)
keeps what was lent out idle for that window before it is lent or spent again: units spent at the last moment
of a lease still count in it.

A member that is partitioned from most of the fleet keeps, of a `strict` limit, its own part less its pledges,
and of an `available` one the even part that it would have without a fleet.  By how much that can exceed the
limit: docs/fleet.md.

This is the escrow of O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986, with rates in place of
counts, and with leases (Gray and Cheriton, SOSP 1989), by which loans return on expiry without a message.

Modules: `owner` pledges, `granter` leases out, `holder` borrows; `accounts` is the state that owner and
holder share, `manager` connects the roles of one member.
"""

from __future__ import annotations

from shaletiller.fleet.leases.granter import LeaseTable
from shaletiller.fleet.leases.manager import LeaseManager
from shaletiller.fleet.leases.timing import GranterId, LeaseTiming

__all__ = ["GranterId", "LeaseManager", "LeaseTable", "LeaseTiming"]
