"""The admission controller: events in, actions out.

Make one `AdmissionController` per gateway from its settings, then report what happens: the process
has started, the endpoint list has changed or its watch has failed, an RPC has come, an attempt has
ended, the counter has answered, a timer has run out, a client has gone. Each call takes the time
first and answers with the actions that the caller executes, in their order. Nothing here reads a
clock or does I/O, and all random numbers come from one seeded generator, so a run can be repeated
to the digit.

The parts decide one concern each: `lease_manager` and `hard_limits` quota, `load_shedding`
overload, `load_balancing` and `warm_up` the endpoint, `retries` what may be sent again.
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
from petrellane.decisions.load_balancing import SAME_ZONE_ODDS, LoadBalancer
from petrellane.decisions.load_shedding import LoadShedder
from petrellane.decisions.types import (
    OK,
    ControllerSettings,
    EndpointEvent,
    Outcome,
    RejectionReason,
    Rpc,
)

CHECK_INTERVAL = 0.1  # seconds between periodic checks, while anything is in flight


class AdmissionController:
    """Decides where an RPC goes, whether it is sent again, and how long a client waits.

    Owned by what executes its actions, for the life of the process.

    Attributes:
        random: The seeded generator's next number from 0 to 1; callers may draw from it too.
        must_watch: Whether the endpoint list is to be watched.
        lease_manager: Quotas and hard limits.
        load_balancer: The endpoints and what is known of them.
        load_shedder: Which RPCs are rejected under overload.
        retry_budget: Whether one more retry may be sent.
        may_cancel: Whether overdue attempts may be cancelled.
        max_retry_after: The most seconds that a rejected client is asked to wait.
    """

    def __init__(
        self,
        *,
        seed: int,
        uses_counter: bool,
        must_watch: bool,
        **settings: Unpack[ControllerSettings],
    ) -> None:
        """Make a controller that knows no endpoints.

        Args:
            seed: Of the random numbers.
            uses_counter: Whether there is a shared counter.
            must_watch: Whether the endpoint list is to be watched.
            settings: As `reconfigure` takes them.
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
        """Take over settings, at the start and anew; RPCs refer to their own methods and plans.

        Args:
            zone: The gateway's own zone.
            counter_timeout: Seconds after which a request to the counter has failed.
            may_cancel: Whether overdue attempts may be cancelled.
            max_retry_after: The most seconds that a rejected client is asked to wait.
            slow_start: Seconds from its start for which an endpoint is warming up; 0 for none.
            slow_start_minimum: The part of its capacity that an endpoint starts with.
            cross_zone_price: The price of an attempt in another zone; 0 for none.
            method_identities: The methods of which what is known is kept.
        """
        self.may_cancel = may_cancel
        self.max_retry_after = max_retry_after
        same_zone_odds = SAME_ZONE_ODDS if cross_zone_price else 1.0
        self.load_balancer.reconfigure(
            zone, same_zone_odds, slow_start, slow_start_minimum, method_identities
        )
        self.lease_manager.counter.set_timeout(counter_timeout)

    @property
    def overload(self) -> float:
        """How overloaded the endpoints are, as of the last periodic check; 0 at ease."""
        return self.load_shedder.overload

    def start(self, now: float) -> list[Action]:
        """The process has started; its first actions."""
        self.lease_manager.started_at = now
        return [WatchEndpoints()] if self.must_watch else []

    def on_endpoint_events(
        self, now: float, is_full: bool, events: Iterable[EndpointEvent]
    ) -> list[Action]:
        """The endpoint list or changes to it have come.

        Args:
            now: The time.
            is_full: Whether endpoints that no event names are gone.
            events: The rows.
        """
        self.load_balancer.on_endpoint_events(now, is_full, events)
        return []

    def on_watch_failed(self, _now: float) -> list[Action]:
        """The watch of the endpoint list has failed: renew it, and keep what is known."""
        return [WatchEndpoints()] if self.must_watch else []

    def admit(self, now: float, rpc: Rpc) -> list[Action]:
        """An RPC has come: send it, have it wait for credit, or reject it."""
        typical_time = self.load_balancer.typical_time(rpc.method)
        if self.load_shedder.should_shed(rpc, typical_time):
            self.finish(rpc)
            return [Reject(rpc, self.max_retry_after, RejectionReason.OVERLOAD)]
        credit, actions = self.lease_manager.spend(now, rpc)
        if credit is Credit.WAITING:
            return actions
        return actions + self._dispatch(now, rpc, credit is Credit.SPENT)

    def _dispatch(self, now: float, rpc: Rpc, has_credit: bool) -> list[Action]:
        """Send an RPC whose credit is decided, or reject it at once.

        Room is checked again: several RPCs that found room before they waited for one top-up
        would exceed the hard limit together.
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
        """Send an RPC to a drawn endpoint; no actions where none may take it."""
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
        usage: float = 0,  # noqa: ARG002 - reported by callers, and decides nothing
        units: float = 0.0,
        report: object = None,  # noqa: ARG002 - as above
    ) -> list[Action]:
        """An attempt has ended: send its RPC again, or give its final answer.

        Args:
            now: The time.
            attempt: What has ended.
            outcome: How.
            is_final: Whether the RPC needs no answer any more.
            duration: Seconds that it took.
            usage: What the endpoint says that it used; decides nothing.
            units: What the RPC cost in the end; 0 for what it was admitted with.
            report: The endpoint's load report; decides nothing.
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
        """Send an RPC again where that is safe, within the budget and of use; else no actions."""
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
        """Whether an attempt from now on usually ends while an answer is of use."""
        method = rpc.method
        useful_until = rpc.arrived_at + method.latency_objective
        if method.late_priority_weight:
            useful_until = rpc.deadline
        expected_end = now + self.load_balancer.typical_time(method)
        return expected_end < min(rpc.deadline, useful_until)

    def _fail_rpc(self, rpc: Rpc) -> Reject | Abort:
        """The final answer of an RPC that is not sent again: rejected where a repeat is safe."""
        is_safe = retries.is_safe_to_reject(rpc)
        self.finish(rpc)
        return Reject(rpc, 0.0, RejectionReason.GIVEN_UP) if is_safe else Abort(rpc)

    def finish(self, rpc: Rpc) -> None:
        """An RPC has its final answer, or nobody to give it to."""
        rpc.is_finished = True

    def on_client_disconnected(self, _now: float, rpc: Rpc) -> list[Action]:
        """The client of an RPC has gone: nothing more is owed."""
        self.finish(rpc)
        return []

    def on_response_started(
        self, now: float, attempt: SendAttempt, is_relayed: bool = False
    ) -> list[Action]:
        """The response to an attempt has begun: its endpoint answers.

        Args:
            now: The time.
            attempt: What is answered.
            is_relayed: Whether it is relayed as it comes, and so as good as ended: how soon a
                client reads says nothing of the endpoint.
        """
        if is_relayed:
            self.load_balancer.on_attempt_ended(attempt, OK, now - attempt.sent_at, now)
        self.load_balancer.on_response_started(attempt, now)
        return []

    def on_counter_reply(
        self, now: float, add: CounterAdd, outcome: Outcome, total: float
    ) -> list[Action]:
        """The counter has answered an add, or failed to."""
        return self.lease_manager.on_counter_reply(now, add, outcome, total)

    def on_timer(self, now: float, subject: TimerSubject) -> list[Action]:
        """The time that a `SetTimer` asked for has come; no actions where it is out of date."""
        if subject is self._periodic_check:
            return self._run_periodic_checks(now)
        if isinstance(subject, Rpc) and not (subject.is_finished or subject.attempts):
            return self._dispatch(now, subject, False)
        if isinstance(subject, CounterAdd):
            return self.lease_manager.on_timeout(now, subject)
        return []

    def _run_periodic_checks(self, now: float) -> list[Action]:
        """Cancel overdue attempts, estimate the overload, and log where it starts or ends."""
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
        """Cancel attempts at silent endpoints whose RPCs may be sent again."""
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
    """The line of the log where overload starts or ends; its text is kept, as people search it."""
    figures = f"{before:.2f} to {now:.2f}"
    if before:
        return WriteLog(OVERLOAD_ENDED, f"hosts at ease: {figures}")
    return WriteLog(OVERLOAD_STARTED, f"hosts pressed: {figures}")
