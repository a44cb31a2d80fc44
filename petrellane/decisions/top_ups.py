"""What the reply to a top-up means for a lease: which of the added units it keeps.

The counter adds whatever it is asked to. The new total proves how many of the units are within the
limit; the lease manager returns the rest.
"""

from petrellane.decisions.actions import MAX_COUNTER_AMOUNT, Action, CounterAdd
from petrellane.decisions.leases import Lease

RESERVE_SHARE = 0.3  # last share of a window's limit, which only waiting RPCs get
LOST_COUNT_TOLERANCE = 0.5  # units by which rounding may lower a total below the lease's additions


def apply_carryover(now: float, lease: Lease, total: float) -> None:
    """Set the carryover from the total of the previous window."""
    lease.carryover = max(0.0, lease.allowance - total)
    lease.mark_exhausted(now)


def restore_lost_count(lease: Lease, add: CounterAdd, total: float) -> list[Action]:
    """Return the request that adds lost units to the counter again, or an empty list.

    The counter has lost units if its total is below the units that this gateway has added, by
    more than the rounding tolerance. Units beyond `MAX_COUNTER_AMOUNT` follow with later replies.
    """
    if total < lease.reported - LOST_COUNT_TOLERANCE:
        lost = min(lease.reported - total, MAX_COUNTER_AMOUNT)
        return [CounterAdd(add.name, lost, lease.count_ttl(1))]
    return []


def grant_to_keep(now: float, lease: Lease, requested: float, total: float) -> float:
    """Return how many of the requested units to keep, given the total that includes them.

    The last part of the limit is a reserve for waiting RPCs. Of the units within the limit, the
    gateway keeps those that waiting RPCs lack or those outside the reserve, whichever is more.
    """
    limit = lease.limit(now, lease.carryover or 0.0)
    within_limit = max(0.0, min(requested, limit - total + requested))
    for_waiting = min(within_limit, lease.missing_units())
    into_reserve = total - limit * (1 - RESERVE_SHARE)
    outside_reserve = min(within_limit, within_limit - into_reserve)
    return max(for_waiting, outside_reserve, 0.0)


def make_available(lease: Lease, kept: float, *, was_settled: bool) -> None:
    """Make kept units available, except those that a fair share has already granted.

    These are deducted from the lease's unreported units instead.
    """
    replaced = min(lease.unreported, kept) if was_settled else 0.0
    new = kept - replaced
    lease.available = lease.available + new
    lease.granted = lease.granted + new
    lease.unreported = lease.unreported - kept + new
