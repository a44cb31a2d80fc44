"""The admission controller: events in, actions out.

A gateway creates one `AdmissionController` from its settings and reports each event to it: the
start of the process, an endpoint list, a failed watch, a new RPC, the end of an attempt, a reply of
the counter, an expired timer, a client's disconnect. Each event method takes the current time first
and returns the actions that the caller executes in order. The controller reads no clock and does no
I/O, and all random numbers come from one seeded generator, so a run can be reproduced exactly.

Each concern has its own module: `lease_manager` and `hard_limits` decide on quota, `load_shedding`
on overload, `load_balancing` and `warm_up` on the endpoint, `retries` on what may be sent again.
"""

import random
from collections.abc import Collection, Iterable
from math import inf
from typing import Unpack

from petrellane.decisions import retries
from petrellane.decisions.actions import (
    OVERLOAD_ENDED,
    OVERLOAD_STARTED,
    Abort,
    Action,
    CancelAttempt,
    CounterAdd,
    PeriodicCheck,
    Reject,
    SendAttempt,
    SetTimer,
    TimerSubject,
    WatchEndpoints,
    WriteLog,
)
from petrellane.decisions.endpoint_list import Scope
from petrellane.decisions.lease_manager import Credit, LeaseManager
from petrellane.decisions.load_balancing import SAME_ZONE_FACTOR, LoadBalancer
from petrellane.decisions.load_shedding import LoadShedder
from petrellane.decisions.types import (
    OK,
    ControllerSettings,
    EndpointEvent,
    Outcome,
    RejectionReason,
    Rpc,
)

CHECK_INTERVAL = 0.1  # seconds between checks, while attempts are in flight or overload lasts


class AdmissionController:
    """Decides where an RPC goes, whether it is retried, and how long a rejected client waits.

    Owned by the service that executes its actions, for the life of the process.

    Attributes:
        random: The function that returns the seeded generator's next number from 0 to 1, which
            callers may also use.
        must_watch: Whether the controller requests a watch of the endpoint list.
        lease_manager: The leases, with quotas and hard limits.
        load_balancer: The endpoints and their health.
        load_shedder: The choice of RPCs that are rejected under overload.
        retry_budget: The limit on retries as a share of all attempts.
        may_cancel: Whether overdue attempts may be cancelled.
        max_retry_after: The maximum seconds that a rejected client is asked to wait.
    """

    def __init__(
        self,
        *,
        seed: int,
        uses_counter: bool,
        must_watch: bool,
        **settings: Unpack[ControllerSettings],
    ) -> None:
        """Create a controller that knows no endpoints.

        Args:
            seed: The seed of the random number generator.
            uses_counter: Whether the gateway has a shared counter.
            must_watch: Whether the controller requests a watch of the endpoint list.
            settings: The keyword arguments of `reconfigure`.
        """
        rng = random.Random(seed)
        self.random = rng.random
        self.must_watch = must_watch
        self.lease_manager = LeaseManager(rng, self._dispatch, has_counter=uses_counter)
        self.load_balancer = LoadBalancer(rng)
        self.load_shedder = LoadShedder(rng.random)
        self.retry_budget = retries.RetryBudget()
        self._periodic_check = PeriodicCheck()
        self._has_check_timer = False
        self.reconfigure(**settings)

    def reconfigure(  # noqa: PLR0913 - one argument for each setting, by keyword
        self,
        *,
        zone: str,
        counter_timeout: float,
        may_cancel: bool,
        max_retry_after: float,
        slow_start: float,
        slow_start_minimum: float,
        cross_zone_price: float,
        method_identities: Collection[object] = (),
    ) -> None:
        """Apply the settings, initially and on reload.

        The settings do not include methods and plans, because each RPC refers to its own.

        Args:
            zone: The zone of this gateway.
            counter_timeout: The seconds after which a request to the counter has failed.
            may_cancel: Whether overdue attempts may be cancelled.
            max_retry_after: The maximum seconds that a rejected client is asked to wait.
            slow_start: The seconds that an endpoint warms up after its start; 0 for no slow start.
            slow_start_minimum: The fraction of its capacity with which an endpoint starts.
            cross_zone_price: The price of an attempt in another zone; 0 for none.
            method_identities: The identities of the methods whose response times are retained.
        """
        self.may_cancel = may_cancel
        self.max_retry_after = max_retry_after
        same_zone_factor = SAME_ZONE_FACTOR if cross_zone_price else 1.0
        self.load_balancer.reconfigure(
            zone, same_zone_factor, slow_start, slow_start_minimum, method_identities
        )
        self.lease_manager.counter.set_timeout(counter_timeout)

    @property
    def overload(self) -> float:
        """The endpoints' overload at the last periodic check; 0 for none."""
        return self.load_shedder.overload

    def start(self, now: float) -> list[Action]:
        """Handle the start of the process."""
        self.lease_manager.started_at = now
        return [WatchEndpoints()] if self.must_watch else []

    def on_endpoint_events(
        self, now: float, is_full: bool, events: Iterable[EndpointEvent]
    ) -> list[Action]:
        """Handle an endpoint list or changes to it.

        Args:
            now: The time.
            is_full: Whether the list is complete, so that endpoints without an event are gone.
            events: The rows of the list.
        """
        self.load_balancer.on_endpoint_events(now, is_full, events)
        return []

    def on_watch_failed(self, _now: float) -> list[Action]:
        """Handle a failed watch: renew it and keep the known endpoints."""
        return [WatchEndpoints()] if self.must_watch else []

    def admit(self, now: float, rpc: Rpc) -> list[Action]:
        """Handle a new RPC: send it, let it wait for credit, or reject it."""
        typical_time = self.load_balancer.typical_time(rpc.method)
        if self.load_shedder.should_shed(rpc, typical_time):
            self.finish(rpc)
            return [Reject(rpc, self.max_retry_after, RejectionReason.OVERLOAD)]
        credit, actions = self.lease_manager.spend(now, rpc)
        if credit is Credit.WAITING:
            return actions
        return actions + self._dispatch(now, rpc, credit is Credit.SPENT)

    def _dispatch(self, now: float, rpc: Rpc, has_credit: bool) -> list[Action]:
        """Send an RPC after its credit was decided, or reject it.

        The limits are checked again, because several RPCs that were within the hard limit before
        they waited for the same top-up could exceed it together.
        """
        lease = self.lease_manager.lease_of(rpc.customer, now)
        if has_credit and lease.is_within_limits(now, rpc.units):
            actions = self._start_attempt(now, rpc, None)
            if actions:
                lease.hard_limit -= rpc.units
                self.retry_budget.record(is_retry=False)
                return actions
        reason = RejectionReason.ENDPOINT if has_credit else RejectionReason.QUOTA
        if not lease.is_within_limits(now, rpc.units):
            reason = RejectionReason.HARD_LIMIT
        if has_credit:
            lease.available += rpc.units
        retry_after = max(0.0, min(self.max_retry_after, lease.window_end - now))
        self.finish(rpc)
        return [Reject(rpc, retry_after, reason)]

    def _start_attempt(
        self, now: float, rpc: Rpc, scope: Scope, send_by: float = inf
    ) -> list[Action]:
        """Send an RPC to a picked endpoint; return no actions if no endpoint is eligible."""
        if rpc.deadline <= now:
            return []
        endpoint = self.load_balancer.pick_endpoint(now, rpc, scope)
        if endpoint is None:
            return []
        attempt = SendAttempt(rpc, endpoint, len(rpc.attempts), now, rpc.deadline - now, send_by)
        rpc.attempts.append(attempt)
        self.load_balancer.on_attempt_started(attempt)
        self.lease_manager.lease_of(rpc.customer, now).in_flight += 1
        if self._has_check_timer:
            return [attempt]
        self._has_check_timer = True
        return [attempt, SetTimer(CHECK_INTERVAL, self._periodic_check)]

    def on_attempt_ended(  # noqa: PLR0913 - an event's fields, by keyword
        self,
        now: float,
        attempt: SendAttempt,
        outcome: Outcome,
        *,
        is_final: bool,
        duration: float = 0.0,
        usage: float = 0,  # noqa: ARG002 - reported by callers, and used by no decision
        units: float = 0.0,
        report: object = None,  # noqa: ARG002 - as above
    ) -> list[Action]:
        """Handle the end of an attempt: retry its RPC, or give the final answer.

        Args:
            now: The time.
            attempt: The attempt that ended.
            outcome: The outcome of the attempt.
            is_final: Whether the RPC needs no further attempt, whatever the outcome.
            duration: The duration of the attempt, in seconds.
            usage: The usage that the endpoint reports, which no decision uses.
            units: The actual cost of the RPC, in units; 0 for the cost at admission.
            report: The endpoint's load report, which no decision uses.
        """
        rpc = attempt.rpc
        attempt.outcome = outcome
        rpc.is_finished = rpc.is_finished or is_final
        if attempt in self.load_balancer.in_flight:
            self.load_balancer.on_attempt_ended(attempt, outcome, duration, now)
        lease = self.lease_manager.lease_of(rpc.customer, now)
        lease.in_flight = max(0, lease.in_flight - 1)
        if units:
            lease.available -= units - rpc.units
        if rpc.is_finished:
            return []
        actions = self._retry(now, rpc)
        return actions or [self._fail_rpc(rpc)]

    def _retry(self, now: float, rpc: Rpc) -> list[Action]:
        """Retry an RPC if that is safe, useful and within the budget; else return no actions."""
        targets = retries.retry_targets(now, rpc)
        if not targets or not self.retry_budget.allows():
            return []
        if not self._would_answer_in_time(now, rpc):
            return []
        if len(rpc.attempts) >= rpc.method.max_attempts:
            return []
        scope, send_by = targets
        actions = self._start_attempt(now, rpc, scope, send_by)
        if actions:
            self.retry_budget.record(is_retry=True)
        return actions

    def _would_answer_in_time(self, now: float, rpc: Rpc) -> bool:
        """Return whether an attempt started now is likely to end while its response has value."""
        method = rpc.method
        useful_until = rpc.arrived_at + method.latency_objective
        if method.late_priority_weight:
            useful_until = rpc.deadline
        expected_end = now + self.load_balancer.typical_time(method)
        return expected_end < min(rpc.deadline, useful_until)

    def _fail_rpc(self, rpc: Rpc) -> Reject | Abort:
        """Finish an RPC without a retry: reject it if the client may repeat it, else abort it."""
        is_safe = retries.is_safe_to_reject(rpc)
        self.finish(rpc)
        return Reject(rpc, 0.0, RejectionReason.GIVEN_UP) if is_safe else Abort(rpc)

    def finish(self, rpc: Rpc) -> None:
        """Mark an RPC that has its final answer, or whose client has disconnected."""
        rpc.is_finished = True

    def on_client_disconnected(self, _now: float, rpc: Rpc) -> list[Action]:
        """Handle the disconnect of an RPC's client, after which the RPC needs no answer."""
        self.finish(rpc)
        return []

    def on_response_started(
        self, now: float, attempt: SendAttempt, is_relayed: bool = False
    ) -> list[Action]:
        """Handle the start of a response, which shows that the endpoint responds.

        Args:
            now: The time.
            attempt: The attempt that the response belongs to.
            is_relayed: Whether the gateway relays the response as it arrives. The attempt then
                counts as ended, because its further duration depends on the client, not on the
                endpoint.
        """
        if is_relayed and attempt in self.load_balancer.in_flight:
            self.load_balancer.on_attempt_ended(attempt, OK, now - attempt.sent_at, now)
        self.load_balancer.on_response_started(attempt, now)
        return []

    def on_counter_reply(
        self, now: float, add: CounterAdd, outcome: Outcome, total: float
    ) -> list[Action]:
        """Handle the counter's reply to an addition, or the failure of the request."""
        return self.lease_manager.on_counter_reply(now, add, outcome, total)

    def on_timer(self, now: float, subject: TimerSubject) -> list[Action]:
        """Handle an expired timer; return no actions if it is stale."""
        if subject is self._periodic_check:
            return self._run_periodic_checks(now)
        if isinstance(subject, Rpc) and not (subject.is_finished or subject.attempts):
            return self._dispatch(now, subject, False)
        if isinstance(subject, CounterAdd):
            return self.lease_manager.on_timeout(now, subject)
        return []

    def _run_periodic_checks(self, now: float) -> list[Action]:
        """Cancel overdue attempts, estimate the overload, and log its start or end."""
        actions: list[Action] = [*self._cancel_overdue(now)]
        shedder = self.load_shedder
        before = shedder.overload
        shedder.overload = self.load_balancer.overload(now)
        if (shedder.overload > 0) != (before > 0):
            actions.append(_overload_log(before, shedder.overload))
        self._has_check_timer = bool(self.load_balancer.in_flight or shedder.overload)
        if self._has_check_timer:
            actions.append(SetTimer(CHECK_INTERVAL, self._periodic_check))
        return actions

    def _cancel_overdue(self, now: float) -> list[CancelAttempt]:
        """Cancel attempts at unresponsive endpoints if their RPCs may be sent again."""
        if not self.may_cancel or not self.retry_budget.allows():
            return []
        cancelled = []
        for attempt in self.load_balancer.in_flight:
            if attempt.is_cancelled or attempt.rpc.is_finished:
                continue
            is_overdue = self.load_balancer.is_overdue(attempt, now)
            if is_overdue and retries.retry_targets(now, attempt.rpc):
                attempt.is_cancelled = True
                cancelled.append(CancelAttempt(attempt))
        return cancelled


def _overload_log(before: float, now: float) -> WriteLog:
    """Return the log line for the start or the end of overload.

    The text must not change, because operators search for it.
    """
    figures = f"{before:.2f} to {now:.2f}"
    if before:
        return WriteLog(OVERLOAD_ENDED, f"hosts at ease: {figures}")
    return WriteLog(OVERLOAD_STARTED, f"hosts pressed: {figures}")
