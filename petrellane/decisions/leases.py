"""One customer's lease: quota credit and hard limit that this gateway holds, and may spend alone.

Time runs in windows, each with an allowance that all gateways of the customer share through a
count at the counter. A lease holds a part of the allowance of the window that runs. Beside it
stands this gateway's share of the customer's hard limit, which no other gateway spends.
Free of I/O and of any clock; `lease_manager` says when the counter is asked.
"""

import math
from collections import deque
from typing import Any, NamedTuple

from petrellane.decisions.actions import CounterAdd
from petrellane.decisions.endpoint_health import SAMPLE_LIFETIME
from petrellane.decisions.numeric import mean, stable_hash
from petrellane.decisions.types import Customer, Plan, Rpc

WINDOW_FILLS = 1.0  # length of a window, as a multiple of the time in which a burst refills
# Leases are this multiple of recent demand; from the decision package of the design's source.
HEADROOM = 1.25
LEASE_AHEAD = 0.25  # part of a window that a lease covers: unused credit elsewhere is lost
WORTHWHILE_SHARE = 0.1  # share of the allowance that is worth a top-up when credit is short
ESCROW_SHARE = 0.5  # of a hard limit's slack, what may lie in escrow for gateways in need
DEMAND_KEPT = 256  # the last RPCs that demand is estimated from
DEMAND_EXPORTED = 32  # of these, the last that another process is given
DEMAND_WINDOWS = 2  # windows that demand is estimated over

# Where each key of the stored form of a lease goes, in the order of the keys. The keys are part of
# the format in which one process hands its leases to the next.
STORED_FIELDS = {
    "window": "window",
    "ends": "window_end",
    "shares": "may_use_fair_share",
    "held": "available",
    "got": "granted",
    "added": "reported",
    "owed": "unreported",
    "total": "ledger_total",
    "carry": "carryover",
    "part": "last_share",
    "dry_until": "exhausted_until",
    "single_at": "next_single_at",
    "since": "demand_since",
    "ceiling": "hard_limit",
    "filled": "hard_limit_filled_at",
    "pooled": "escrowed",
    "pool_at": "next_escrow_at",
    "busy": "was_busy",
    "out": "in_flight",
}
STORED_DEMAND = "demand"  # key of the last RPCs: (time, units) each


class WindowTerms(NamedTuple):
    """How windows are cut, as a plan says."""

    length: float  # seconds
    allowance: float  # units of a window
    phase: float  # seconds by which the customer's windows are shifted


NO_QUOTA = WindowTerms(math.inf, math.inf, 0.0)


class Lease:
    """One customer's credit at this gateway, for the window that runs.

    Owned by the lease manager, as long as it holds anything that a new lease would not.

    Attributes:
        customer: Whose it is.
        plan: The plan that it was last fitted to.
        fair_share: Our part of what the customer's gateways share, from 0 to 1.
        available: Units that may be spent.
        granted: Units that this window has granted, by the counter or a fair share.
        reported: Units that we added to this window's count.
        unreported: Units that were spent and are still to be added.
        ledger_total: The total of the window's count as we last knew it.
        carryover: Units that the window before left; None where that is not known.
        last_share: Our part of the last window's total.
        exhausted_until: Until when a top-up brings nothing.
        may_use_fair_share: Whether a fair share may stand in for the counter in this window.
        next_single_at: From when a share of less than one RPC may become one RPC.
        in_flight: Attempts in flight.
        waiting: RPCs that wait for the answer to a top-up, oldest first.
        pending_add: The top-up whose answer they wait for.
        demand: (time, units) of the last RPCs.
        demand_since: Since when demand is known.
        hard_limit: Units of the hard limit that may be spent.
        hard_limit_filled_at: Up to when it was refilled.
        hard_limit_escrow: Units that may lie in escrow, over all gateways.
        hard_limit_waiting: RPCs that wait for units from escrow, oldest first.
        escrowed: Units in this window's escrow as we last knew it.
        escrow_lending: Units that are on the way to the escrow.
        escrow_borrowing: Units that were asked for from the escrow, with the answer still to come.
        next_escrow_at: From when the escrow is asked again.
        was_busy: Whether the last window's total was above our share of the hard limit's rate.
    """

    def __init__(self, customer: Customer, now: float, hard_limit_from: float) -> None:
        """Make a lease that holds nothing.

        Args:
            customer: Whose it is.
            now: The time.
            hard_limit_from: The time from which its hard limit fills.
        """
        self.customer = customer
        self.fair_share = 1 / max(1, customer.gateway_count)
        self.available = 0.0
        self.granted = 0.0
        self.reported = 0.0
        self.unreported = 0.0
        self.ledger_total = 0.0
        self.carryover: float | None = None
        self.last_share = 0.0
        self.exhausted_until = 0.0
        self.may_use_fair_share = True
        self.next_single_at = now
        self.in_flight = 0
        self.waiting: list[Rpc] = []
        self.pending_add: CounterAdd | None = None
        self.demand: deque[tuple[float, float]] = deque(maxlen=DEMAND_KEPT)
        self.demand_since = now
        # Starts empty, so that repeated restarts cannot multiply the hard limit.
        self.hard_limit = 0.0
        self.hard_limit_filled_at = hard_limit_from
        self.hard_limit_waiting: list[Rpc] = []
        self.escrowed = 0.0
        self.escrow_lending = 0.0
        self.escrow_borrowing = 0.0
        self.next_escrow_at = now
        self.was_busy = False
        self.window: int | None = None
        self.window_end = now
        self.window_length, self.allowance, self.window_phase = NO_QUOTA
        self.fit_to_plan(now)

    def fit_to_plan(self, now: float) -> None:
        """Take over the customer's plan, at first and when new settings change it."""
        plan = self.customer.plan
        self.plan: Plan = plan
        self.hard_limit_escrow = ESCROW_SHARE * plan.hard_limit_slack * (self.fair_share < 1)
        self.next_terms = NO_QUOTA
        if plan.rate:
            length = WINDOW_FILLS * plan.burst / plan.rate
            phase = stable_hash(self.customer.name) / 2**63 * length
            self.next_terms = WindowTerms(length, plan.rate * length, phase)
        else:
            self.window_end = now
        if now < self.window_end:
            # The current window runs to its end under its old length; cutting a new one now
            # would grant two allowances.
            before = self.allowance
            self.exhausted_until = 0.0
            self.allowance = min(max(before, plan.burst), plan.rate * self.window_length)
            self.available *= min(1.0, self.allowance / before)

    def enter_window(self, now: float) -> None:
        """Enter the window that `now` lies in; credit of an older one is void."""
        if now >= self.window_end:
            self.window_length, self.allowance, self.window_phase = self.next_terms
        if now < self.window_end or self.window_length == math.inf:
            return
        self.window = math.floor((now + self.window_phase) / self.window_length)
        self.window_end = (self.window + 1) * self.window_length - self.window_phase
        if self.ledger_total:
            self.last_share = min(1.0, self.granted / self.ledger_total)
        self.was_busy = self.is_busy()
        self.available = 0.0
        self.granted = 0.0
        self.reported = 0.0
        self.unreported = 0.0
        self.ledger_total = 0.0
        self.exhausted_until = 0.0
        self.escrowed = 0.0
        self.carryover = None
        self.may_use_fair_share = True

    def previous_window(self) -> int | None:
        """The number of the window before; None where windows have no end."""
        return None if self.window is None else self.window - 1

    def is_busy(self) -> bool:
        """Whether the window's total is above our share of the hard limit's rate."""
        rate = self.customer.plan.hard_limit_rate
        return self.ledger_total > rate * self.fair_share * self.window_length

    def use_fair_share(self, now: float, units: float, *, is_silent: bool) -> None:
        """Grant what is missing of our share of the allowance, where the counter fails.

        While the counter is silent that is at least our part of the last window's total, which
        guards customers that reach few of their gateways. Less than the units of an RPC is credit
        to nobody: it becomes one RPC, as seldom as the shares add up to it.

        Args:
            now: The time.
            units: Units that are needed now; 0 to grant no more than the share.
            is_silent: Whether the counter is silent, and not degraded alone.
        """
        share = max(self.fair_share, self.last_share) if is_silent else self.fair_share
        extra = 0.0
        if self.may_use_fair_share:
            extra = max(0.0, self.allowance * share - self.granted)
        is_single_due = now >= self.next_single_at and self.granted < units
        if self.may_use_fair_share and self.available + extra < units and is_single_due:
            extra = units - self.available
            self.next_single_at = now + units / (self.fair_share * self.customer.plan.rate)
        self.available = self.available + extra
        self.granted = self.granted + extra
        self.unreported = self.unreported + extra

    def limit(self, now: float, carryover: float) -> float:
        """The most that the window's total may reach by now.

        Beyond the allowance a customer may go on as its burst allows: with what the window before
        left, and with what was refilled since this one began.
        """
        since_start = now - self.window_end + self.window_length
        return max(self.allowance, carryover + self.customer.plan.rate * since_start)

    def wanted(self, now: float) -> float:
        """Units that the lease should hold: recent demand ahead, times the headroom.

        It is rounded down to complete RPCs: less than one is credit to nobody, and many gateways
        would each hold a part of one. At least the units of the RPCs that wait, at most the
        allowance.
        """
        span = DEMAND_WINDOWS * self.window_length
        recent = [units for at, units in self.demand if now - at <= span]
        rate = sum(recent) / max(min(span, now - self.demand_since), self.window_length)
        seconds = min(LEASE_AHEAD * self.window_length, self.window_end - now)
        ahead = rate * seconds * HEADROOM
        complete = ahead - ahead % mean(recent, 1.0)
        return min(max(self.waiting_units(), complete), self.allowance)

    def waiting_units(self) -> float:
        """The units of the RPCs that wait for credit."""
        return sum(rpc.units for rpc in self.waiting if not rpc.is_finished)

    def missing_units(self) -> float:
        """The units of the RPCs that wait, less what is available."""
        return self.waiting_units() - self.available

    def mark_exhausted(self, now: float) -> None:
        """Ask for no top-up before the limit has grown by a worthwhile piece.

        Where it does not grow in this window, the next window ends the pause. Nothing is paused
        where only the reserve was kept back.
        """
        piece = max(self.missing_units(), self.allowance * WORTHWHILE_SHARE)
        carryover = self.carryover or 0.0
        needed = self.ledger_total + max(1.0, self.missing_units())
        if needed <= self.limit(now, carryover):
            return
        self.may_use_fair_share = False
        self.next_single_at = max(self.next_single_at, self.window_end)
        grown = (self.ledger_total + piece - carryover) / self.customer.plan.rate
        pause = min(self.window_length, max(0.0, grown))
        self.exhausted_until = self.window_end - self.window_length + pause

    def is_within_limits(self, now: float, units: float) -> bool:
        """Whether the hard limit and the plan's maximum in flight leave room for an RPC."""
        maximum = self.customer.plan.max_in_flight
        if self.refill_hard_limit(now) < units:
            return False
        return not maximum or self.in_flight < max(1, maximum * self.fair_share // 1)

    def refill_hard_limit(self, now: float) -> float:
        """Refill our share of the hard limit; the units that may be spent, infinite for no limit.

        Nothing that we believe of other gateways makes it larger: their shares and the escrow
        together are never more than the limit.
        """
        plan = self.customer.plan
        if not plan.hard_limit_rate:
            return math.inf
        refill = max(0.0, now - self.hard_limit_filled_at) * plan.hard_limit_rate * self.fair_share
        self.hard_limit = min(self.hard_limit + refill, self.hard_limit_maximum())
        self.hard_limit_filled_at = max(now, self.hard_limit_filled_at)
        return self.hard_limit

    def hard_limit_maximum(self) -> float:
        """The most of the hard limit that we hold: our share, less what may lie in escrow."""
        return (self.customer.plan.hard_limit_burst - 2 * self.hard_limit_escrow) * self.fair_share

    def has_escrow_pending(self) -> bool:
        """Whether an add to the escrow, or a take from it, waits for its answer."""
        return bool(self.escrow_lending or self.escrow_borrowing)

    def is_idle(self, now: float) -> bool:
        """Whether a new lease would hold no less and no more, so that this one may be dropped."""
        is_over = now >= self.window_end + min(self.window_length, SAMPLE_LIFETIME)
        if not is_over or self.refill_hard_limit(now) < self.hard_limit_maximum():
            return False
        has_rpcs = self.in_flight or self.waiting or self.hard_limit_waiting
        return not (has_rpcs or self.pending_add or self.has_escrow_pending())

    def export_state(self, now: float) -> dict[str, Any]:
        """The stored form, for the process that follows; what it holds is given up here.

        The hard limit of RPCs that wait stays, and grows no more.
        """
        waiting = self.waiting_units() + sum(rpc.units for rpc in self.hard_limit_waiting)
        kept = float(min(self.refill_hard_limit(now), waiting))
        if self.customer.plan.hard_limit_rate:
            self.hard_limit -= kept
        stored = {key: getattr(self, field) for key, field in STORED_FIELDS.items()}
        self.available = 0.0
        self.hard_limit = kept
        self.hard_limit_filled_at = math.inf
        return stored | {STORED_DEMAND: list(self.demand)[-DEMAND_EXPORTED:]}

    def import_state(self, stored: dict[str, Any]) -> None:
        """Go on with what another process gave up.

        Raises:
            KeyError: A key is missing.
        """
        values = {field: stored[key] for key, field in STORED_FIELDS.items()}
        vars(self).update(values)
        self.demand.extend((at, units) for at, units in stored[STORED_DEMAND])
