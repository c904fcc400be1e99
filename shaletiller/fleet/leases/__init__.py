"""Leases on shared limits: each member owns a fixed share of a limit and lends out the idle portion of it.

Each of the M members of a fleet owns 1/M of each limit.  A member whose traffic needs less than that
*pledges* the rest, for one term, to the *granter* of the limit, which is the member that rendezvous hashing
selects among the members alive.  The granter *leases* the pledged amounts to members that request them,
according to demand, for no longer than the pledges last.

There is no other source of quota.  The sum of all quotas therefore never exceeds the limit, even if members
have different views of the membership:

- An owner spends its share minus its pledges, and has outstanding pledges to only one incarnation of one
  granter at a time.  A new granter, or the same granter after a restart, receives no pledge until the last
  pledge to the previous one has expired.
- A granter leases at most the amounts that pledges cover until the end of the lease.
- The expiry of a holder's lease is checked against the clock at each spend (`quotas.Quota.at`).
- A restarted member has lost the record of its pledges, so its own share is unavailable for one term.

Durations start when the request is sent that a response refers to, so network delay only shortens them.
Clocks need not agree, but their rates may differ by at most `LeaseTiming.drift`.  The lending side waits for
(1 + drift) times a duration; the borrowing side uses only (1 - drift) times the duration.

If the lease tables of granters are replicated (`granter.LeaseTable`; shaletiller/replication), a new granter
need not wait for the pledges to its predecessor to expire.  It writes the table in its own name, which fences
the predecessor: that one can no longer write the table, and therefore grants no more leases.  The new granter
counts the leases of its predecessor as its own, and owners pledge to it immediately.  A grant is sent only
after the table that contains it has been replicated.

Some limits count the units spent in a sliding window of `settle_ms` (the warm-up budget of a storage node).
Amounts of such a limit that were lent out stay unused for one window before they are lent or spent again,
because units that were spent at the end of a lease still count in the window.

A member that is partitioned from the majority of the fleet keeps its own share minus its pledges of a
`strict` limit, and of an `available` limit the equal share that it would have without a fleet.  docs/fleet.md
states by how much the latter can exceed the limit.

The method is the escrow of O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986, applied to rates
in place of counts and combined with leases (Gray and Cheriton, SOSP 1989), so that lent amounts return on
expiry without a message.

Modules: `owner` pledges, `granter` grants leases, and `holder` requests them.  `accounts` contains the state
shared by owner and holder, and `manager` combines the roles of one member.
"""

from __future__ import annotations

from shaletiller.fleet.leases.granter import LeaseTable
from shaletiller.fleet.leases.manager import LeaseManager
from shaletiller.fleet.leases.timing import GranterId, LeaseTiming

__all__ = ["GranterId", "LeaseManager", "LeaseTable", "LeaseTiming"]
