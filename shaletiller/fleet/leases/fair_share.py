"""Max-min fair allocation of a pool.

See Bertsekas and Gallager, "Data Networks", section 6.5.2.
"""

from __future__ import annotations


def max_min_share(pool: float, demands: dict[int, float], holder: int) -> float:
    """Return a holder's max-min fair share of a pool.

    Small demands are satisfied in full; the remaining holders receive equal shares.

    :param pool: total amount to share.
    :param demands: demand of each holder, by holder.
    :param holder: number of the holder.
    :returns: the share of the holder, 0 if it has no demand.
    """
    remaining, holders = pool, len(demands)
    for number, demand in sorted(demands.items(), key=lambda item: (item[1], item[0])):
        share = min(demand, remaining / holders)
        if number == holder:
            return share
        remaining -= share
        holders -= 1
    return 0.0
