"""The leases of all customers: when the gateway asks the counter, and what the replies grant.

A gateway spends quota from leases, without a round trip to the counter. The counter has one count
for each customer and window. A gateway adds the units that it wants before it spends them, and it
returns the units that the new total proves to be beyond the limit. RPCs without credit wait for the
reply to a top-up. If the counter is unreachable or degraded, a fair share of the allowance replaces
its reply.
"""

import itertools
import math
import random
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from petrellane.decisions.actions import (
    MAX_COUNTER_AMOUNT,
    Action,
    CounterAdd,
    PendingEscrowMove,
    PendingTopUp,
    SetTimer,
)
from petrellane.decisions.counter_health import CounterHealth
from petrellane.decisions.hard_limits import HardLimitEscrow
from petrellane.decisions.leases import MIN_TOP_UP_SHARE, Lease
from petrellane.decisions.numeric import stable_hash
from petrellane.decisions.outcomes import PROVEN_NOT_RUN
from petrellane.decisions.top_ups import (
    apply_carryover,
    grant_to_keep,
    make_available,
    restore_lost_count,
)
from petrellane.decisions.types import ERROR, OK, Customer, Outcome, Rpc

COUNT_TTL_WINDOWS = 4  # windows for which the counter keeps a window's count
INITIAL_CLEAN_UP_SIZE = 100  # number of leases at which idle leases are first dropped
EVICTION_DIVISOR = 8  # at the maximum, 1/8 of the leases is looked at for eviction at once


class Credit(Enum):
    """The result of an RPC's request for credit."""

    SPENT = auto()
    REFUSED = auto()
    WAITING = auto()


class CreditDecision(NamedTuple):
    """The result of a request for credit, and the actions that follow from it."""

    credit: Credit
    actions: list[Action]


class LeaseManager:
    """The leases by customer; owned by the controller for the life of the process.

    Attributes:
        leases: The leases; idle leases are dropped whenever the number of leases has doubled.
        counter: The health of the counter.
        escrow: The escrow of hard limits.
        started_at: The time from which hard limits fill; infinite until the process has started.
        max_leases: The number of leases from which the least recently used ones are evicted.
    """

    def __init__(
        self,
        rng: random.Random,
        dispatch: Callable[[float, Rpc, bool], list[Action]],
        *,
        has_counter: bool,
    ) -> None:
        """Create a manager without leases.

        Args:
            rng: The controller's random number generator.
            dispatch: The function that sends or rejects an RPC that has waited: (time, RPC, whether
                it has credit).
            has_counter: Whether the gateway has a shared counter.
        """
        self._dispatch = dispatch
        self.leases: dict[Customer, Lease] = {}
        self.counter = CounterHealth(rng.random, has_counter=has_counter)
        self.escrow = HardLimitEscrow(self.counter)
        self.started_at = math.inf
        self.max_leases = math.inf
        self._evicted_at = -math.inf  # a lease that is made anew must not have a full hard limit
        self._clean_up_size = INITIAL_CLEAN_UP_SIZE

    def lease_of(self, customer: Customer, now: float) -> Lease:
        """Return the customer's lease, brought up to the current window and plan."""
        lease = self.leases.get(customer)
        if lease is None:
            if len(self.leases) >= self._clean_up_size:
                self._drop_idle_leases(now)
            if len(self.leases) >= self.max_leases:
                self._evict_leases(now)
            hard_limit_from = max(self.started_at, customer.known_since, self._evicted_at)
            lease = Lease(customer, now, hard_limit_from)
            self.leases[customer] = lease
        if lease.plan is not customer.plan:
            lease.apply_plan(now)
        lease.enter_window(now)
        return lease

    def _drop_idle_leases(self, now: float) -> None:
        """Drop idle leases, so that customers that send a single RPC do not use up memory."""
        self.leases = {
            customer: lease for customer, lease in self.leases.items() if not lease.is_idle(now)
        }
        self._clean_up_size = 2 * len(self.leases) + INITIAL_CLEAN_UP_SIZE

    def _evict_leases(self, now: float) -> None:
        """Evict leases that hold only credit, the least recently used first.

        Customers that send a single RPC each would otherwise use up the memory before their windows
        are over. The credit is lost; a share of a hard limit fills again from nothing.
        """
        count = max(1, len(self.leases) // EVICTION_DIVISOR)
        for customer, lease in list(itertools.islice(self.leases.items(), count)):
            if lease.is_in_use():
                self.leases[customer] = self.leases.pop(customer)
            else:
                del self.leases[customer]
                self._evicted_at = now

    def spend(self, now: float, rpc: Rpc, *, is_new: bool = True) -> CreditDecision:
        """Spend an RPC's units, refuse them, or let the RPC wait for the counter.

        Args:
            now: The time.
            rpc: The RPC that needs credit.
            is_new: Whether the RPC counts as demand; False for an RPC that has waited for escrow,
                because it is already counted.
        """
        lease = self.lease_of(rpc.customer, now)
        if len(self.leases) * 2 > self.max_leases:
            self.leases[rpc.customer] = self.leases.pop(rpc.customer)  # the most recently used one
        if is_new:
            lease.demand.append((now, rpc.units))
        actions = self.escrow.lend_or_borrow(now, lease, rpc.units)
        if not lease.is_within_limits(now, rpc.units):
            return self._wait_for_escrow(now, lease, rpc, actions)
        if lease.plan.has_empty_quota:
            return CreditDecision(Credit.REFUSED, actions)
        counter = self.counter
        if lease.available < rpc.units and (counter.is_unreachable or counter.is_degraded(now)):
            needed = rpc.units if counter.is_unreachable else 0.0
            lease.grant_fair_share(now, needed, is_unreachable=counter.is_unreachable)
        is_probe = counter.is_unreachable and self._claim_probe(now, lease)
        if lease.available >= rpc.units or lease.allowance == math.inf:
            lease.available -= rpc.units
            if is_probe and lease.allowance < math.inf:
                actions += self._top_up(lease, now)
            return CreditDecision(Credit.SPENT, actions)
        if (counter.is_unreachable and not is_probe) or now < lease.exhausted_until:
            return CreditDecision(Credit.REFUSED, actions)
        return self._wait_for_top_up(now, lease, rpc, actions)

    def _claim_probe(self, now: float, lease: Lease) -> bool:
        """Return whether this RPC's top-up probes the unreachable counter; schedule the next one.

        An unreachable counter is probed by occasional top-ups, so there are no probes without
        demand.
        """
        if now < self.counter.next_probe_at or lease.pending_add is not None:
            return False
        self.counter.schedule_probe(now)
        return True

    def _wait_for_escrow(
        self, now: float, lease: Lease, rpc: Rpc, actions: list[Action]
    ) -> CreditDecision:
        """Let an RPC beyond the hard limit wait for pending units from escrow, or refuse it."""
        is_borrowing = lease.escrow_borrowing > 0
        if not is_borrowing or lease.refill_hard_limit(now) >= rpc.units:
            return CreditDecision(Credit.REFUSED, actions)
        lease.hard_limit_waiting.append(rpc)
        return CreditDecision(Credit.WAITING, [*actions, _deadline_timer(now, rpc)])

    def _wait_for_top_up(
        self, now: float, lease: Lease, rpc: Rpc, actions: list[Action]
    ) -> CreditDecision:
        """Let an RPC wait for a top-up, which is requested unless one is pending."""
        lease.waiting.append(rpc)
        if lease.pending_add is None:
            actions += self._top_up(lease, now)
        if lease.pending_add is None:
            # The complete allowance is leased and does not cover the RPC: a top-up cannot help.
            lease.waiting.remove(rpc)
            return CreditDecision(Credit.REFUSED, actions)
        return CreditDecision(Credit.WAITING, [*actions, _deadline_timer(now, rpc)])

    def _top_up(self, lease: Lease, now: float, *, is_reread: bool = False) -> list[Action]:
        """Request more credit; at most one top-up is pending for each customer and window."""
        unreported = min(lease.unreported, MAX_COUNTER_AMOUNT)
        lease.unreported -= unreported
        missing = max(0.0, lease.target_units(now) - lease.available)
        amount = min(missing + unreported, MAX_COUNTER_AMOUNT)
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
        """Add to the count of a window, with a timeout; an amount of 0 only reads the total."""
        # The name is the same at every gateway and after every restart.
        name = stable_hash(f"{lease.customer.name} {counted_window}")
        ttl = lease.count_ttl(COUNT_TTL_WINDOWS)
        top_up = PendingTopUp(lease, lease.window, unreported, is_reread=is_reread)
        add = CounterAdd(name, amount, ttl, top_up)
        lease.pending_add = add
        return [add, SetTimer(self.counter.timeout, add)]

    def on_timeout(self, now: float, add: CounterAdd) -> list[Action]:
        """Handle a top-up without a timely reply; the units that it added count as spent."""
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
            lease.grant_fair_share(
                now, lease.waiting_units(), is_unreachable=self.counter.is_unreachable
            )
            lease.exhausted_until = now + MIN_TOP_UP_SHARE * lease.window_length
        return actions + self._decide_waiting(lease, now)

    def on_counter_reply(
        self, now: float, add: CounterAdd, outcome: Outcome, total: float
    ) -> list[Action]:
        """Handle a reply: apply its grant, request more, or decide the RPCs that wait for it.

        Args:
            now: The time.
            add: The addition.
            outcome: The outcome of the addition.
            total: The count's total after the addition, if the outcome is OK.
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
            actions += self._apply_grant(now, add, top_up, total, was_settled=was_settled)
            actions += self.escrow.lend_or_borrow(now, lease, lease.waiting_units())
        if lease.pending_add is add:
            actions += self._after_grant(now, lease, is_current=is_current)
        return actions

    def _after_grant(self, now: float, lease: Lease, *, is_current: bool) -> list[Action]:
        """Request the units that are still missing, or decide the RPCs that wait.

        Args:
            now: The time.
            lease: The lease that was topped up.
            is_current: Whether the top-up belongs to the current window.
        """
        lease.pending_add = None
        is_short = lease.missing_units() > 0
        is_carryover_unknown = is_short and lease.carryover is None and is_current
        if is_carryover_unknown and not self.counter.is_degraded(now):
            needed = lease.ledger_total + lease.missing_units()
            if needed <= lease.limit(now, lease.allowance):
                # The carryover may cover the missing units: read the previous window's count.
                return self._add_to_count(lease, lease.previous_window(), 0.0)
            lease.mark_exhausted(now)
        actions: list[Action] = []
        if is_short and now >= lease.exhausted_until:
            actions = self._top_up(lease, now)
        return actions or self._decide_waiting(lease, now)

    def _on_failed_top_up(
        self, now: float, add: CounterAdd, top_up: PendingTopUp, outcome: Outcome
    ) -> list[Action]:
        """Handle a failed top-up, depending on whether its amount may have been added."""
        lease = top_up.lease
        if lease.window == top_up.window:
            is_first = lease.pending_add is add and not top_up.is_reread
            if outcome == ERROR and is_first and lease.waiting:
                # The amount was added, but the total is missing: request only the total again.
                lease.unreported += top_up.unreported - add.amount
                return self._top_up(lease, now, is_reread=True)
            if outcome in PROVEN_NOT_RUN:
                lease.reported -= add.amount
                lease.unreported = max(0.0, lease.unreported + top_up.unreported)
            else:
                # The amount may have been added: it offsets units that a fair share granted.
                unreported = lease.unreported + (top_up.unreported - add.amount)
                lease.unreported = max(0.0, unreported)
        return self.on_timeout(now, add)

    def _apply_grant(
        self,
        now: float,
        add: CounterAdd,
        top_up: PendingTopUp,
        total: float,
        *,
        was_settled: bool,
    ) -> list[Action]:
        """Keep the part of the added units that is within the limit, and return the excess."""
        lease = top_up.lease
        if not add.amount and not top_up.unreported:
            apply_carryover(now, lease, total)
            return []
        actions = restore_lost_count(lease, add, total)
        if actions:
            total = lease.reported
        requested = add.amount - top_up.unreported  # a fair share granted the rest
        kept = grant_to_keep(now, lease, requested, total)
        make_available(lease, kept, was_settled=was_settled)
        lease.ledger_total = total - requested + kept
        if kept < requested:
            actions += self._return_excess(now, lease, add, requested - kept)
        return actions

    def _return_excess(
        self, now: float, lease: Lease, add: CounterAdd, excess: float
    ) -> list[Action]:
        """Give back units added beyond the limit; send no request to a degraded counter."""
        returned = min(excess, MAX_COUNTER_AMOUNT)
        lease.reported -= returned
        is_degraded = self.counter.is_degraded(now)
        lease.mark_exhausted(now)
        return [] if is_degraded else [CounterAdd(add.name, -returned, lease.count_ttl(1))]

    def _on_escrow_reply(
        self,
        now: float,
        add: CounterAdd,
        move: PendingEscrowMove,
        outcome: Outcome,
        total: float,
    ) -> list[Action]:
        """Handle the counter's reply to an escrow request, and decide the RPCs that wait for it."""
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
    """Return the timer that ends the wait of an RPC when its client gives up."""
    return SetTimer(max(0.0, rpc.deadline - now), rpc)
