"""The escrow of hard limits: gateways lend each other units of a customer's hard limit.

Each gateway holds a share of the hard limit, which refills on its own. A gateway whose share is
full puts a portion into escrow, a count at the counter for the current window. A gateway that lacks
units takes those that the count's total proves to have been in escrow. The loss of units in transit
is safe, because no gateway can spend them. If the units of a count are granted twice, they amount
to at most the slack that the shares leave free.
"""

from typing import NamedTuple

from petrellane.decisions.actions import (
    MAX_COUNTER_AMOUNT,
    Action,
    CounterAdd,
    PendingEscrowMove,
)
from petrellane.decisions.counter_health import CounterHealth
from petrellane.decisions.leases import MIN_TOP_UP_SHARE, Lease
from petrellane.decisions.numeric import stable_hash
from petrellane.decisions.outcomes import PROVEN_NOT_RUN
from petrellane.decisions.types import OK, Outcome

ESCROW_TTL_WINDOWS = 2  # windows for which the counter keeps an escrow's count
# In seconds. If the escrow granted nothing, the gateway asks it again after MIN_TOP_UP_SHARE of
# this time, or of the window if the window is shorter.
ESCROW_RETRY_BASE = 1.0


class EscrowCount(NamedTuple):
    """The count at the counter that is the escrow of one customer and window."""

    name: int
    ttl: float  # seconds


class HardLimitEscrow:
    """Moves units between leases and escrow; owned by the lease manager."""

    def __init__(self, counter: CounterHealth) -> None:
        self._counter = counter

    def lend_or_borrow(self, now: float, lease: Lease, units: float) -> list[Action]:
        """Lend a portion if the share is full, or borrow if it does not cover `units`."""
        portion = lease.hard_limit_escrow * lease.fair_share
        if not portion or lease.has_escrow_pending() or now < lease.next_escrow_at:
            return []
        if self._counter.is_unreachable or self._counter.is_degraded(now):
            return []
        level = lease.refill_hard_limit(now)
        maximum = lease.hard_limit_maximum()
        is_full = level > maximum - portion and level - portion >= units
        has_space = lease.escrowed + portion <= lease.hard_limit_escrow
        if (lease.was_busy or lease.is_busy()) and is_full and has_space:
            lease.hard_limit -= portion
            return [_lend(lease, _escrow_count(lease), portion)]
        if level < units and now >= lease.exhausted_until:
            # Units beyond the maximum would be lost.
            missing = min(lease.hard_limit_escrow, maximum - level)
            return [_borrow(lease, _escrow_count(lease), missing)]
        return []

    def on_reply(
        self, now: float, add: CounterAdd, move: PendingEscrowMove, outcome: Outcome, total: float
    ) -> list[Action]:
        """Handle a reply: take only the units that the total proves to have been in escrow.

        Args:
            now: The time.
            add: The addition, which is positive to lend and negative to borrow.
            move: The purpose of the addition.
            outcome: The outcome of the addition.
            total: The count's total after the addition.
        """
        lease = move.lease
        lease.escrow_lending = 0.0
        lease.escrow_borrowing = 0.0
        actions: list[Action] = []
        taken = 0.0
        is_borrowing = add.amount < 0
        if outcome == OK and is_borrowing:
            borrowed = -add.amount
            taken = min(borrowed, max(0.0, total - add.amount))
            if taken < borrowed:
                # Return the units that were not in escrow, so that the count is not below zero.
                actions.append(CounterAdd(add.name, borrowed - taken, lease.count_ttl(1)))
        elif outcome in PROVEN_NOT_RUN and not is_borrowing:
            taken = add.amount  # the units never reached the escrow
        lease.hard_limit += taken
        if not taken and (is_borrowing or outcome != OK):
            pause = MIN_TOP_UP_SHARE * min(lease.window_length, ESCROW_RETRY_BASE)
            lease.next_escrow_at = now + pause
        if outcome == OK and move.window == lease.window:
            lease.escrowed = total
            level = lease.refill_hard_limit(now)
            if move.is_follow_up:
                actions += _take_back_excess(lease, add, total)
            elif not is_borrowing:
                actions += _lend_more(lease, add, level, total)
        return actions


def _lend_more(lease: Lease, add: CounterAdd, level: float, total: float) -> list[Action]:
    """Return an addition that lends more units after the first portion, if enough are spare.

    It lends at most half of the escrow's free space, and keeps the units that waiting RPCs need.
    Less than a portion is not worth a request.
    """
    unneeded = level - lease.waiting_units()
    units = min(unneeded, (lease.hard_limit_escrow - total) / 2, MAX_COUNTER_AMOUNT)
    if units < lease.hard_limit_escrow * lease.fair_share or not lease.hard_limit_escrow:
        return []
    lease.hard_limit -= units
    return [_lend(lease, EscrowCount(add.name, add.ttl), units, is_follow_up=True)]


def _take_back_excess(lease: Lease, add: CounterAdd, total: float) -> list[Action]:
    """Return an addition that takes back units that were lent beyond the escrow's maximum."""
    if total > lease.hard_limit_escrow:
        excess = min(add.amount, total - lease.hard_limit_escrow)
        return [_borrow(lease, EscrowCount(add.name, add.ttl), excess)]
    return []


def _escrow_count(lease: Lease) -> EscrowCount:
    """Return the count of the escrow in the lease's window."""
    # The word `ceiling` is part of the count's name, which all versions of the gateway share.
    name = stable_hash(f"{lease.customer.name} {lease.window} ceiling")
    return EscrowCount(name, lease.count_ttl(ESCROW_TTL_WINDOWS))


def _lend(
    lease: Lease, count: EscrowCount, units: float, *, is_follow_up: bool = False
) -> CounterAdd:
    """Return an addition that moves units into escrow; the caller deducts them from the share."""
    lease.escrow_lending = units
    move = PendingEscrowMove(lease, lease.window, is_follow_up)
    return CounterAdd(count.name, units, count.ttl, move)


def _borrow(lease: Lease, count: EscrowCount, units: float) -> CounterAdd:
    """Return an addition that takes units from escrow; the share gets them with the reply."""
    lease.escrow_borrowing = units
    move = PendingEscrowMove(lease, lease.window, is_follow_up=False)
    return CounterAdd(count.name, -units, count.ttl, move)
