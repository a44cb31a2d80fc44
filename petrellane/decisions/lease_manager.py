"""The leases of all customers: when the counter is asked, and what its answers grant.

Quota is spent from leases without a round trip. The counter holds one count for each customer and
window, to which a gateway adds what it wants before it spends it; what the total proves was beyond
the limit is given back. RPCs without credit wait for the answer to a top-up. Where the counter is
silent or degraded, a fair share of the allowance stands in for its answer.
"""

import math
import random
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from petrellane.decisions.actions import (
    Action,
    CounterAdd,
    PendingEscrowMove,
    PendingTopUp,
    SetTimer,
)
from petrellane.decisions.counter_health import CounterHealth
from petrellane.decisions.hard_limits import HardLimitEscrow
from petrellane.decisions.leases import WORTHWHILE_SHARE, Lease
from petrellane.decisions.numeric import stable_hash
from petrellane.decisions.outcomes import PROVEN_NOT_RUN
from petrellane.decisions.types import ERROR, OK, Customer, Outcome, Rpc

# This last part of an allowance goes only to RPCs that wait for it; from the decision package of
# the design's source.
RESERVE = 0.3
COUNT_TTL_WINDOWS = 4  # windows that a window's count is kept for
COUNT_TTL_MAXIMUM = 60.0  # seconds that it is kept for at most
LOST_COUNT_TOLERANCE = 0.5  # units by which a total may be below what we added, for rounding
FIRST_CLEAN_UP = 100  # leases from which idle ones are dropped


class Credit(Enum):
    """What became of an RPC's wish for credit."""

    SPENT = auto()
    REFUSED = auto()
    WAITING = auto()


class CreditDecision(NamedTuple):
    """A decision on credit, with the actions that it brings."""

    credit: Credit
    actions: list[Action]


class LeaseManager:
    """The leases by customer; owned by the controller for the life of the process.

    Attributes:
        leases: The leases; idle ones are dropped as their number doubles.
        counter: What is known of the counter.
        escrow: The escrow of hard limits.
        started_at: From when hard limits fill; infinite until the process has started.
    """

    def __init__(
        self,
        rng: random.Random,
        dispatch: Callable[[float, Rpc, bool], list[Action]],
        *,
        has_counter: bool,
    ) -> None:
        """Make a manager without leases.

        Args:
            rng: The controller's generator of random numbers.
            dispatch: Sends or rejects an RPC that has waited: (time, RPC, whether it has credit).
            has_counter: Whether there is a counter to ask.
        """
        self._dispatch = dispatch
        self.leases: dict[Customer, Lease] = {}
        self.counter = CounterHealth(rng.random, has_counter=has_counter)
        self.escrow = HardLimitEscrow(self.counter)
        self.started_at = math.inf
        self._clean_up_at = FIRST_CLEAN_UP

    def lease_of(self, customer: Customer, now: float) -> Lease:
        """The customer's lease, in the window that runs and under the customer's plan."""
        lease = self.leases.get(customer)
        if lease is None:
            if len(self.leases) >= self._clean_up_at:
                self._drop_idle_leases(now)
            lease = Lease(customer, now, max(self.started_at, customer.known_since))
            self.leases[customer] = lease
        if lease.plan is not customer.plan:
            lease.fit_to_plan(now)
        lease.enter_window(now)
        return lease

    def _drop_idle_leases(self, now: float) -> None:
        """Drop idle leases: guards memory against customers that come once."""
        self.leases = {
            customer: lease for customer, lease in self.leases.items() if not lease.is_idle(now)
        }
        self._clean_up_at = 2 * len(self.leases) + FIRST_CLEAN_UP

    def spend(self, now: float, rpc: Rpc, *, is_new: bool = True) -> CreditDecision:
        """Spend an RPC's units, refuse them, or have it wait for the counter.

        Args:
            now: The time.
            rpc: What needs credit.
            is_new: Whether it counts as demand; false where it has waited for escrow.
        """
        lease = self.lease_of(rpc.customer, now)
        if is_new:
            lease.demand.append((now, rpc.units))
        actions = self.escrow.exchange(now, lease, rpc.units)
        if not lease.is_within_limits(now, rpc.units):
            return self._wait_for_escrow(now, lease, rpc, actions)
        counter = self.counter
        if lease.available < rpc.units and (counter.is_silent or counter.is_degraded(now)):
            needed = rpc.units if counter.is_silent else 0.0
            lease.use_fair_share(now, needed, is_silent=counter.is_silent)
        is_probe = counter.is_silent and self._claim_probe(now, lease)
        if lease.available >= rpc.units or lease.allowance == math.inf:
            lease.available -= rpc.units
            if is_probe and lease.allowance < math.inf:
                actions += self._top_up(lease, now)
            return CreditDecision(Credit.SPENT, actions)
        if (counter.is_silent and not is_probe) or now < lease.exhausted_until:
            return CreditDecision(Credit.REFUSED, actions)
        return self._wait_for_top_up(now, lease, rpc, actions)

    def _claim_probe(self, now: float, lease: Lease) -> bool:
        """Whether this RPC's top-up probes the silent counter; if so, the next is scheduled.

        A silent counter is probed by an occasional top-up, so probes follow demand.
        """
        if now < self.counter.next_probe_at or lease.pending_add is not None:
            return False
        self.counter.schedule_probe(now)
        return True

    def _wait_for_escrow(
        self, now: float, lease: Lease, rpc: Rpc, actions: list[Action]
    ) -> CreditDecision:
        """Have an RPC wait where the hard limit is what it lacks, and some is on its way."""
        is_borrowing = lease.escrow_borrowing > 0
        if not is_borrowing or lease.refill_hard_limit(now) >= rpc.units:
            return CreditDecision(Credit.REFUSED, actions)
        lease.hard_limit_waiting.append(rpc)
        return CreditDecision(Credit.WAITING, [*actions, _deadline_timer(now, rpc)])

    def _wait_for_top_up(
        self, now: float, lease: Lease, rpc: Rpc, actions: list[Action]
    ) -> CreditDecision:
        """Have an RPC wait for a top-up, which is made unless one is pending."""
        lease.waiting.append(rpc)
        if lease.pending_add is None:
            actions += self._top_up(lease, now)
        if lease.pending_add is None:
            # All of an allowance that is less than its units is here: no top-up will help.
            lease.waiting.remove(rpc)
            return CreditDecision(Credit.REFUSED, actions)
        return CreditDecision(Credit.WAITING, [*actions, _deadline_timer(now, rpc)])

    def _top_up(self, lease: Lease, now: float, *, is_reread: bool = False) -> list[Action]:
        """Ask the counter for more; at most one top-up is pending per customer and window."""
        unreported = lease.unreported
        lease.unreported = 0.0
        amount = max(0.0, lease.wanted(now) - lease.available) + unreported
        lease.reported += amount
        if not (amount or unreported or is_reread):
            return []
        return self._add_to_count(lease, lease.window, amount, unreported, is_reread=is_reread)

    def _add_to_count(
        self,
        lease: Lease,
        counted_window: int | None,
        amount: float,
        unreported: float = 0.0,
        *,
        is_reread: bool = False,
    ) -> list[Action]:
        """Add to the count of a window, bounded by our own deadline; an amount of 0 only reads."""
        # The same name at every gateway and every start.
        name = stable_hash(f"{lease.customer.name} {counted_window}")
        ttl = min(COUNT_TTL_MAXIMUM, COUNT_TTL_WINDOWS * lease.window_length)
        top_up = PendingTopUp(lease, lease.window, unreported, is_reread=is_reread)
        add = CounterAdd(name, amount, ttl, top_up)
        lease.pending_add = add
        return [add, SetTimer(self.counter.timeout, add)]

    def on_timeout(self, now: float, add: CounterAdd) -> list[Action]:
        """Give up on a top-up without an answer in time: what it added counts as spent."""
        top_up = add.purpose
        if not isinstance(top_up, PendingTopUp) or top_up.is_settled:
            return []
        lease = top_up.lease
        if lease.pending_add is not add:
            return []
        lease.pending_add = None
        top_up.is_settled = True
        actions: list[Action] = [*self.counter.on_failure(now)]
        if self.counter.is_degraded(now):
            lease.use_fair_share(now, lease.waiting_units(), is_silent=self.counter.is_silent)
            lease.exhausted_until = now + WORTHWHILE_SHARE * lease.window_length
        return actions + self._decide_waiting(lease, now)

    def on_counter_reply(
        self, now: float, add: CounterAdd, outcome: Outcome, total: float
    ) -> list[Action]:
        """Take what an answer grants, ask on, or decide the RPCs that wait for it.

        Args:
            now: The time.
            add: What was added.
            outcome: How it ended.
            total: The count's total after it, where the outcome is OK.
        """
        if isinstance(add.purpose, PendingEscrowMove):
            return self._on_escrow_reply(now, add, add.purpose, outcome, total)
        top_up = add.purpose
        if outcome != OK:
            return [] if top_up is None else self._on_failed_top_up(now, add, top_up, outcome)
        actions: list[Action] = [*self.counter.on_success(now)]
        if top_up is None or (top_up.is_settled and add.amount <= 0):
            return actions
        lease = top_up.lease
        was_settled = top_up.is_settled
        top_up.is_settled = True
        lease.enter_window(now)
        is_current = lease.window == top_up.window
        if is_current:
            actions += self._take_grant(now, add, top_up, total, was_settled=was_settled)
            actions += self.escrow.exchange(now, lease, lease.waiting_units())
        if lease.pending_add is add:
            actions += self._after_grant(now, lease, is_current=is_current)
        return actions

    def _after_grant(self, now: float, lease: Lease, *, is_current: bool) -> list[Action]:
        """Ask on for what is still missing, or decide the RPCs that wait.

        Args:
            now: The time.
            lease: What was topped up.
            is_current: Whether the top-up was of the window that runs.
        """
        lease.pending_add = None
        is_short = lease.missing_units() > 0
        is_carryover_unknown = is_short and lease.carryover is None and is_current
        if is_carryover_unknown and not self.counter.is_degraded(now):
            needed = lease.ledger_total + lease.missing_units()
            if needed <= lease.limit(now, lease.allowance):
                # What the window before left may cover it: read that window's count.
                return self._add_to_count(lease, lease.previous_window(), 0.0)
            lease.mark_exhausted(now)
        actions: list[Action] = []
        if is_short and now >= lease.exhausted_until:
            actions = self._top_up(lease, now)
        return actions or self._decide_waiting(lease, now)

    def _on_failed_top_up(
        self, now: float, add: CounterAdd, top_up: PendingTopUp, outcome: Outcome
    ) -> list[Action]:
        """Update the lease after a failed top-up, by whether the amount may have been added."""
        lease = top_up.lease
        if lease.window == top_up.window:
            is_first = lease.pending_add is add and not top_up.is_reread
            if outcome == ERROR and is_first and lease.waiting:
                # It was added: ask once more, for the total alone.
                lease.unreported += top_up.unreported - add.amount
                return self._top_up(lease, now, is_reread=True)
            if outcome in PROVEN_NOT_RUN:
                lease.reported -= add.amount
                lease.unreported = max(0.0, lease.unreported + top_up.unreported)
            else:
                # The amount may have been added, and stands for what a fair share let in.
                unreported = lease.unreported + (top_up.unreported - add.amount)
                lease.unreported = max(0.0, unreported)
        return self.on_timeout(now, add)

    def _take_grant(
        self,
        now: float,
        add: CounterAdd,
        top_up: PendingTopUp,
        total: float,
        *,
        was_settled: bool,
    ) -> list[Action]:
        """Keep what lies within the limit of what was added, and return the excess."""
        lease = top_up.lease
        if not add.amount and not top_up.unreported:
            _read_carryover(now, lease, total)
            return []
        actions = _restore_lost_count(lease, add, total)
        if actions:
            total = lease.reported
        asked = add.amount - top_up.unreported  # what was unreported is spent, and stays
        kept = _grant_to_keep(now, lease, asked, total)
        _book_grant(lease, kept, was_settled=was_settled)
        lease.ledger_total = total - asked + kept
        if kept < asked:
            actions += self._return_excess(now, lease, add, asked - kept)
        return actions

    def _return_excess(
        self, now: float, lease: Lease, add: CounterAdd, excess: float
    ) -> list[Action]:
        """Take back what was added beyond the limit, unless a degraded counter is to be spared."""
        lease.reported -= excess
        is_degraded = self.counter.is_degraded(now)
        lease.mark_exhausted(now)
        return [] if is_degraded else [CounterAdd(add.name, -excess, lease.window_length)]

    def _on_escrow_reply(
        self,
        now: float,
        add: CounterAdd,
        move: PendingEscrowMove,
        outcome: Outcome,
        total: float,
    ) -> list[Action]:
        """Take what came from escrow, and decide the RPCs that wait for it."""
        actions = self.escrow.on_reply(now, add, move, outcome, total)
        lease = move.lease
        waiting = lease.hard_limit_waiting
        lease.hard_limit_waiting = []
        for rpc in [rpc for rpc in waiting if not rpc.is_finished]:
            decision = self.spend(now, rpc, is_new=False)
            actions += decision.actions
            if decision.credit is not Credit.WAITING:
                actions += self._dispatch(now, rpc, decision.credit is Credit.SPENT)
        return actions

    def _decide_waiting(self, lease: Lease, now: float) -> list[Action]:
        """Dispatch the RPCs that waited for a top-up, oldest first."""
        waiting = lease.waiting
        lease.waiting = []
        actions: list[Action] = []
        for rpc in [rpc for rpc in waiting if not rpc.is_finished]:
            is_covered = lease.available >= rpc.units
            if is_covered:
                lease.available -= rpc.units
            actions += self._dispatch(now, rpc, is_covered)
        return actions


def _deadline_timer(now: float, rpc: Rpc) -> SetTimer:
    """Ends the wait of an RPC when its client gives up."""
    return SetTimer(max(0.0, rpc.deadline - now), rpc)


def _read_carryover(now: float, lease: Lease, total: float) -> None:
    """Take over what the window before left, out of that window's total."""
    lease.carryover = max(0.0, lease.allowance - total)
    lease.mark_exhausted(now)


def _restore_lost_count(lease: Lease, add: CounterAdd, total: float) -> list[Action]:
    """Add again what the counter has lost, where the total is less than our own additions."""
    if total < lease.reported - LOST_COUNT_TOLERANCE:
        return [CounterAdd(add.name, lease.reported - total, lease.window_length)]
    return []


def _grant_to_keep(now: float, lease: Lease, asked: float, total: float) -> float:
    """How much of what was asked for is kept, given the total that includes it.

    The last part of the limit is a reserve for RPCs that wait. So what lies within the limit is
    kept as far as waiting RPCs lack it, or as far as it does not reach into the reserve, whichever
    is more.
    """
    limit = lease.limit(now, lease.carryover or 0.0)
    within_limit = max(0.0, min(asked, limit - total + asked))
    for_waiting = min(within_limit, lease.missing_units())
    into_reserve = total - limit * (1 - RESERVE)
    outside_reserve = min(within_limit, within_limit - into_reserve)
    return max(for_waiting, outside_reserve, 0.0)


def _book_grant(lease: Lease, kept: float, *, was_settled: bool) -> None:
    """Make what is kept available; what a fair share granted in its place is only reported."""
    replaced = min(lease.unreported, kept) if was_settled else 0.0
    new = kept - replaced
    lease.available = lease.available + new
    lease.granted = lease.granted + new
    lease.unreported = lease.unreported - kept + new
