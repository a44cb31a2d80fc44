"""The escrow of hard limits: gateways lend each other what they hold of a customer's hard limit.

Each gateway holds a share of the hard limit, which fills on its own. A gateway whose share is full
puts a piece of it into escrow, a count of the window that runs; one that is short takes from there
what the count proves was in it. What is lost on the way is safe, as nobody holds it, and a count
that is given twice gives at most the slack that the shares leave.
"""

from petrellane.decisions.actions import Action, CounterAdd
from petrellane.decisions.counter_health import CounterHealth
from petrellane.decisions.leases import WORTHWHILE_SHARE, Lease
from petrellane.decisions.numeric import stable_hash
from petrellane.decisions.outcomes import PROVEN_NOT_RUN
from petrellane.decisions.types import OK, Outcome

ESCROW_TTL_WINDOWS = 2  # windows that an escrow's count is kept for
ESCROW_TTL_MAXIMUM = 60.0  # seconds that it is kept for at most
# Seconds: an escrow that gave nothing is asked again after WORTHWHILE_SHARE of this, or of the
# window where that is shorter.
RETRY_BASE = 1.0


class HardLimitEscrow:
    """Moves units between leases and escrow; owned by the lease manager."""

    def __init__(self, counter: CounterHealth) -> None:
        self._counter = counter

    def exchange(self, now: float, lease: Lease, units: float) -> list[Action]:
        """Lend a piece where the share is full, or borrow where it does not cover `units`."""
        piece = lease.hard_limit_escrow * lease.fair_share
        if not piece or lease.escrow_pending or now < lease.next_escrow_at:
            return []
        if self._counter.is_silent or self._counter.is_degraded(now):
            return []
        level = lease.refill_hard_limit(now)
        maximum = lease.hard_limit_maximum()
        is_full = level > maximum - piece and level - piece >= units
        has_space = lease.escrowed + piece <= lease.hard_limit_escrow
        if (lease.was_busy or lease.is_busy()) and is_full and has_space:
            lease.hard_limit -= piece
        elif level < units and now >= lease.exhausted_until:
            # No more than fits, or it is lost.
            piece = -min(lease.hard_limit_escrow, maximum - level)
        else:
            return []
        lease.escrow_pending = piece
        # The word is part of the count's name, which all versions of the gateway share.
        name = stable_hash(f"{lease.customer.name} {lease.window} ceiling")
        ttl = min(ESCROW_TTL_MAXIMUM, ESCROW_TTL_WINDOWS * lease.window_length)
        return [CounterAdd(name, piece, ttl, window=lease.window, escrow_lease=lease)]

    def on_reply(
        self, now: float, lease: Lease, add: CounterAdd, outcome: Outcome, total: float
    ) -> list[Action]:
        """Take what the total proves was in escrow, and no more.

        Args:
            now: The time.
            lease: The lease that made the add.
            add: A piece that was lent, or where negative to be borrowed.
            outcome: How the add ended.
            total: The count's total after it.
        """
        lease.escrow_pending = 0.0
        actions: list[Action] = []
        taken = 0.0
        if outcome == OK and add.amount < 0:
            taken = min(-add.amount, max(0.0, total - add.amount))
            if taken < -add.amount:
                excess = -add.amount - taken
                actions.append(CounterAdd(add.name, excess, lease.window_length))
        elif outcome in PROVEN_NOT_RUN and add.amount > 0:
            taken = add.amount  # it never went there
        lease.hard_limit += taken
        if not taken and (add.amount < 0 or outcome != OK):
            pause = WORTHWHILE_SHARE * min(lease.window_length, RETRY_BASE)
            lease.next_escrow_at = now + pause
        if outcome == OK and add.window == lease.window:
            actions += self._follow_up(now, lease, add, total)
        return actions

    def _follow_up(self, now: float, lease: Lease, add: CounterAdd, total: float) -> list[Action]:
        """Lend more after a piece was lent, or take back what several lent at once."""
        lease.escrowed = total
        piece = lease.hard_limit_escrow * lease.fair_share
        amount = min(
            lease.refill_hard_limit(now) - lease.waiting_units(),
            (lease.hard_limit_escrow - total) / 2,
        )
        if add.is_retry and total > lease.hard_limit_escrow:
            amount = -min(add.amount, total - lease.hard_limit_escrow)
        elif add.is_retry or add.amount < 0 or amount < piece:
            return []
        if not amount:
            return []
        lease.hard_limit -= max(0.0, amount)
        lease.escrow_pending = amount
        follow_up = CounterAdd(
            add.name,
            amount,
            add.ttl,
            window=lease.window,
            is_retry=amount > 0,
            escrow_lease=lease,
        )
        return [follow_up]
