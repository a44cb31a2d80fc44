"""One customer's lease: the quota credit and the hard limit that this gateway may spend on its own.

Time is divided into windows. Each window has an allowance, which all gateways of the customer share
through a count at the counter. A lease holds a part of the current window's allowance. It also
holds this gateway's share of the customer's hard limit, which no other gateway spends. The module
does no I/O and reads no clock; `lease_manager` decides when the gateway asks the counter.
"""

import math
import sys
from collections import deque
from typing import Any, NamedTuple

from petrellane.decisions.actions import (
    MAX_COUNTER_AMOUNT,
    MAX_COUNTER_TTL,
    MIN_COUNTER_TTL,
    CounterAdd,
)
from petrellane.decisions.endpoint_health import SAMPLE_LIFETIME
from petrellane.decisions.numeric import mean, stable_hash
from petrellane.decisions.types import Customer, Plan, Rpc

WINDOW_FILLS = 1.0  # window length, as a multiple of the time in which a burst refills
HEADROOM = 1.25  # lease size, as a multiple of the expected demand
# Share of a window that a lease covers. Other gateways cannot spend its unused units.
LEASE_AHEAD = 0.25
MIN_TOP_UP_SHARE = 0.1  # smallest share of the allowance worth a top-up when credit is short
ESCROW_SHARE = 0.5  # maximum share of a hard limit's slack that is in escrow
MIN_WINDOW_LENGTH = 0.001  # seconds; the counter's times are whole milliseconds
MAX_WINDOW_LENGTH = 1e9  # seconds
MAX_DEMAND_ENTRIES = 256  # last RPCs from which demand is estimated
EXPORTED_DEMAND_ENTRIES = 32  # most recent of these RPCs, which the successor receives
DEMAND_WINDOWS = 2  # windows over which demand is estimated

# The attribute for each key of a lease's stored form, in the order of the keys. The keys belong to
# the format in which a process hands its leases over to its successor.
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
STORED_DEMAND = "demand"  # key of the last RPCs, as (time, units)


class WindowParameters(NamedTuple):
    """The windows that a plan defines."""

    length: float  # seconds
    allowance: float  # units per window
    phase: float  # seconds by which the customer's windows are shifted


NO_QUOTA = WindowParameters(math.inf, math.inf, 0.0)


class Lease:
    """One customer's credit at this gateway, for the current window.

    Owned by the lease manager, which drops it when a new lease would hold the same units.

    Attributes:
        customer: The customer.
        plan: The plan that was last applied.
        fair_share: This gateway's fraction of the customer's allowance and limits, from 0 to 1.
        available: The units that may be spent.
        granted: The units that the counter or a fair share has granted in this window.
        reported: The units that this gateway has added to the window's count.
        unreported: The units that a fair share granted and that are not yet added to the count.
        ledger_total: The last known total of the window's count.
        carryover: The units left over from the previous window; None if unknown.
        last_share: This gateway's part of the previous window's total.
        exhausted_until: The time before which a top-up would grant nothing.
        may_use_fair_share: Whether a fair share may replace the counter's grants in this window.
        next_single_at: The time from which a fair share below one RPC may be raised to one RPC.
        in_flight: The number of attempts in flight.
        waiting: The RPCs that wait for the reply to a top-up, oldest first.
        pending_add: The pending top-up; None if no top-up is pending.
        demand: The last RPCs, as (time, units).
        demand_since: The time from which demand is recorded.
        hard_limit: The units of the hard limit that may be spent.
        hard_limit_filled_at: The time up to which the hard limit was refilled.
        hard_limit_escrow: The maximum units in escrow, over all gateways.
        hard_limit_waiting: The RPCs that wait for units from escrow, oldest first.
        escrowed: The last known units in this window's escrow.
        escrow_lending: The units that a pending request puts into escrow.
        escrow_borrowing: The units that a pending request takes from escrow.
        next_escrow_at: The time from which the escrow may be asked again.
        was_busy: Whether the previous window's total exceeded this gateway's hard limit refill.
    """

    def __init__(self, customer: Customer, now: float, hard_limit_from: float) -> None:
        """Create a lease that holds no units.

        Args:
            customer: The customer.
            now: The time.
            hard_limit_from: The time from which the hard limit fills.
        """
        self.customer = customer
        self.plan: Plan = customer.plan
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
        self.demand: deque[tuple[float, float]] = deque(maxlen=MAX_DEMAND_ENTRIES)
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
        self.apply_plan(now)

    def apply_plan(self, now: float) -> None:
        """Apply the customer's plan, initially and when new settings change it.

        Until then, the lease goes by the plan that was applied before.
        """
        plan = self.customer.plan
        if plan.hard_limit_rate and not self.plan.hard_limit_rate:
            # A new hard limit starts empty, and nothing that was spent before counts against it.
            self.hard_limit = 0.0
            self.hard_limit_filled_at = max(now, self.hard_limit_filled_at)
        self.plan = plan
        self.hard_limit_escrow = 0.0
        if plan.hard_limit_rate and self.fair_share < 1:
            self.hard_limit_escrow = min(ESCROW_SHARE * plan.hard_limit_slack, MAX_COUNTER_AMOUNT)
        self.next_window_parameters = _window_parameters(self.customer)
        if self.next_window_parameters is NO_QUOTA:
            self.window_end = now
        if now < self.window_end:
            # The current window keeps its length until it ends, because another window that starts
            # now would grant a second allowance.
            before = self.allowance
            self.exhausted_until = 0.0
            self.allowance = min(max(before, plan.burst), plan.rate * self.window_length)
            self.available *= min(1.0, self.allowance / before) if before else 0.0

    def enter_window(self, now: float) -> None:
        """Enter the window that contains `now`; the credit of an older window expires."""
        if now >= self.window_end:
            self.window_length, self.allowance, self.window_phase = self.next_window_parameters
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

    def count_ttl(self, windows: float) -> float:
        """Return the seconds for which the counter keeps a count, for a number of windows.

        Without a quota, a window has no end, and the counter keeps the count as long as it can.
        """
        return max(MIN_COUNTER_TTL, min(MAX_COUNTER_TTL, windows * self.window_length))

    def previous_window(self) -> int | None:
        """Return the number of the previous window; None if windows have no end."""
        return None if self.window is None else self.window - 1

    def is_busy(self) -> bool:
        """Return whether the window's total exceeds this gateway's hard limit refill per window."""
        rate = self.plan.hard_limit_rate
        return self.ledger_total > rate * self.fair_share * self.window_length

    def grant_fair_share(self, now: float, units: float, *, is_unreachable: bool) -> None:
        """Grant the missing part of this gateway's share of the allowance while the counter fails.

        If the counter is unreachable, the share is at least this gateway's part of the previous
        window's total, because a customer may reach only few of its gateways. A grant smaller than
        the needed units would be unusable. The lease raises it to cover them, but at most once in
        the time in which the fair share accrues that many units. Without a quota, which needs no
        grants, this does nothing.

        Args:
            now: The time.
            units: The units that are needed now; 0 to grant no more than the share.
            is_unreachable: Whether the counter is unreachable, and not only degraded.
        """
        if self.allowance == math.inf:
            return
        share = max(self.fair_share, self.last_share) if is_unreachable else self.fair_share
        extra = 0.0
        if self.may_use_fair_share:
            extra = max(0.0, self.allowance * share - self.granted)
        is_single_due = now >= self.next_single_at and self.granted < units
        if self.may_use_fair_share and self.available + extra < units and is_single_due:
            extra = units - self.available
            rate = max(self.fair_share * self.plan.rate, sys.float_info.min)
            self.next_single_at = now + units / rate
        self.available = self.available + extra
        self.granted = self.granted + extra
        self.unreported = self.unreported + extra

    def limit(self, now: float, carryover: float) -> float:
        """Return the maximum of the window's total at this time.

        A customer may exceed the allowance as far as its burst permits: by the units left over from
        the previous window and by the units refilled since this window began.
        """
        if self.allowance == math.inf:
            return math.inf
        since_start = now - self.window_end + self.window_length
        return max(self.allowance, carryover + self.plan.rate * since_start)

    def target_units(self, now: float) -> float:
        """Return the units that the lease should hold: the expected demand with headroom.

        The result is rounded down to complete RPCs, because otherwise many gateways would each hold
        an unusable part of one. It is at least the units of the waiting RPCs, and at most the
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
        """Return the units of the RPCs that wait for credit."""
        return sum(rpc.units for rpc in self.waiting if not rpc.is_finished)

    def missing_units(self) -> float:
        """Return the units of the RPCs that wait, minus the available units."""
        return self.waiting_units() - self.available

    def mark_exhausted(self, now: float) -> None:
        """Stop top-ups until the limit has grown by enough units for a worthwhile one.

        If the limit does not grow so much in this window, the pause ends with the next window.
        There is no pause if only the reserve was withheld.
        """
        increment = max(self.missing_units(), self.allowance * MIN_TOP_UP_SHARE)
        carryover = self.carryover or 0.0
        needed = self.ledger_total + max(1.0, self.missing_units())
        if needed <= self.limit(now, carryover):
            return
        self.may_use_fair_share = False
        self.next_single_at = max(self.next_single_at, self.window_end)
        grown = (self.ledger_total + increment - carryover) / self.plan.rate
        pause = min(self.window_length, max(0.0, grown))
        self.exhausted_until = self.window_end - self.window_length + pause

    def is_within_limits(self, now: float, units: float) -> bool:
        """Return whether the hard limit and the plan's maximum in flight permit an RPC."""
        maximum = self.plan.max_in_flight
        if self.refill_hard_limit(now) < units:
            return False
        return not maximum or self.in_flight < max(1, maximum * self.fair_share // 1)

    def refill_hard_limit(self, now: float) -> float:
        """Refill this gateway's share of the hard limit and return the units that may be spent.

        The result is infinite without a hard limit. Assumptions about other gateways never enlarge
        the share, so all shares and the escrow together never exceed the hard limit.
        """
        plan = self.customer.plan
        if not plan.hard_limit_rate:
            return math.inf
        refill = max(0.0, now - self.hard_limit_filled_at) * plan.hard_limit_rate * self.fair_share
        self.hard_limit = min(self.hard_limit + refill, self.hard_limit_maximum())
        self.hard_limit_filled_at = max(now, self.hard_limit_filled_at)
        return self.hard_limit

    def hard_limit_maximum(self) -> float:
        """Return the maximum units of the hard limit that this gateway holds.

        The shares leave out twice the maximum escrow, so that the hard limit still holds if the
        units of an escrow's count are granted twice.
        """
        return (self.plan.hard_limit_burst - 2 * self.hard_limit_escrow) * self.fair_share

    def has_escrow_pending(self) -> bool:
        """Return whether a request to the escrow, to lend or to borrow, awaits its reply."""
        return bool(self.escrow_lending or self.escrow_borrowing)

    def is_idle(self, now: float) -> bool:
        """Return whether a new lease would hold the same units, so that this one may be dropped."""
        is_over = now >= self.window_end + min(self.window_length, SAMPLE_LIFETIME)
        if not is_over or self.refill_hard_limit(now) < self.hard_limit_maximum():
            return False
        return not self.has_open_work()

    def is_in_use(self) -> bool:
        """Return whether dropping the lease would lose more than credit."""
        return self.has_open_work() or self.unreported > 0

    def has_open_work(self) -> bool:
        """Return whether RPCs or requests to the counter refer to the lease."""
        has_rpcs = self.in_flight or self.waiting or self.hard_limit_waiting
        return bool(has_rpcs or self.pending_add or self.has_escrow_pending())

    def export_state(self, now: float) -> dict[str, Any]:
        """Return the stored form for the successor process, and give up what the lease holds.

        The lease retains the hard limit that waiting RPCs need, without further refills.
        """
        waiting = self.waiting_units() + sum(rpc.units for rpc in self.hard_limit_waiting)
        kept = float(min(self.refill_hard_limit(now), waiting))
        if self.plan.hard_limit_rate:
            self.hard_limit -= kept
        stored = {key: getattr(self, field) for key, field in STORED_FIELDS.items()}
        self.available = 0.0
        self.hard_limit = kept
        self.hard_limit_filled_at = math.inf
        return stored | {STORED_DEMAND: list(self.demand)[-EXPORTED_DEMAND_ENTRIES:]}

    def import_state(self, stored: dict[str, Any]) -> None:
        """Take over the state that another process has exported.

        Raises:
            KeyError: A key is missing in the stored form.
        """
        values = {field: stored[key] for key, field in STORED_FIELDS.items()}
        vars(self).update(values)
        if self.plan.hard_limit_rate:
            # Below zero only if the plan had no hard limit there: nothing of that counts.
            self.hard_limit = max(0.0, self.hard_limit)
        self.demand.extend((at, units) for at, units in stored[STORED_DEMAND])


def _window_parameters(customer: Customer) -> WindowParameters:
    """Return the windows of the customer's plan; `NO_QUOTA` if it grants no quota."""
    plan = customer.plan
    if not plan.rate or plan.has_empty_quota:
        return NO_QUOTA
    refill_time = WINDOW_FILLS * plan.burst / plan.rate
    length = max(MIN_WINDOW_LENGTH, min(MAX_WINDOW_LENGTH, refill_time))
    phase = stable_hash(customer.name) / 2**63 * length
    return WindowParameters(length, plan.rate * length, phase)
