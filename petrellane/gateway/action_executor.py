"""Reports socket events to the admission controller and executes the actions that it returns.

This module connects network I/O with the decisions; `endpoint_lists` does so for endpoint lists. It
tracks the open requests and the counts that the log reports. It decides nothing: each event becomes
one call of `AdmissionController`, and each returned action goes to the service that executes it.

Each request gets one reply, and no second one. An exception in the controller or in one action is
logged; the other actions are executed all the same, and `FaultRecovery` settles the requests
concerned. Endpoint lists alone have no such guard: the scheduler logs the exception.
"""

from __future__ import annotations

import math
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Protocol

from petrellane.decisions.action_dispatcher import ActionDispatcher
from petrellane.decisions.controller import AdmissionController
from petrellane.decisions.types import (
    IDEMPOTENT,
    NEVER_SENT,
    OK,
    Rpc,
)
from petrellane.gateway import replies
from petrellane.gateway.attempted_ids import AttemptedIds
from petrellane.gateway.customers import Customers
from petrellane.gateway.endpoint_lists import EndpointLists
from petrellane.gateway.fault_recovery import FaultRecovery
from petrellane.gateway.load_report import COST_METRIC, parse_load_report, pop_reported_usage
from petrellane.gateway.request_validation import check_id, find_customer, find_method_and_plan

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from petrellane.config import Config, EndpointListUpdate, Settings
    from petrellane.decisions.actions import (
        Abort,
        Action,
        CancelAttempt,
        CounterAdd,
        Reject,
        SendAttempt,
        SetTimer,
        TimerSubject,
        WatchEndpoints,
        WriteLog,
    )
    from petrellane.decisions.types import Outcome
    from petrellane.gateway.client_request import ClientRequest
    from petrellane.gateway.counter_client import CounterClient
    from petrellane.gateway.endpoint_connection import PendingAttempt
    from petrellane.gateway.endpoint_pools import EndpointPools
    from petrellane.gateway.memory_account import MemoryAccount
    from petrellane.gateway.response_relay import ResponseRelay
    from petrellane.gateway.runtime import Runtime
    from petrellane.net.buffers import HeldBytes
    from petrellane.net.limits import Limits
    from petrellane.operation.hot_restart_transport import HotRestartTransport

MINIMUM_DURATION_S = 1e-6  # an attempt may end before the clock advances


class AdmissionGate(Protocol):
    """Decides whether the gateway may admit RPCs under its current settings."""

    def may_admit(self) -> bool:
        """Return False while other gateways may already use newer settings."""


class ActionExecutor(ActionDispatcher):
    """Turns socket events into calls of the controller, and the controller's actions into I/O.

    Owned by `GatewayProcess` for the life of the process. `GatewayProcess` sets `endpoint_pools`,
    `counter_client`, `hot_restart_transport` and `admission_gate` before the first event; each of
    the last three stays None if the configuration does not include that service. The executor owns
    the open requests, the known endpoints and the controller; it opens no sockets.
    """

    def __init__(self, config: Config, runtime: Runtime, memory: MemoryAccount) -> None:
        super().__init__()
        self.fault_recovery = FaultRecovery(self)
        self.memory = memory
        self.settings: Settings = config.settings
        self.scheduler = runtime.scheduler
        self.limits: Limits = runtime.limits
        self.log = runtime.log
        self.now: Callable[[], float] = runtime.scheduler.now
        self.controller = AdmissionController(
            seed=config.seed,
            uses_counter=self.settings.uses_counter,
            must_watch=self.settings.must_watch,
            **self.settings.controller_options,
        )
        self.customers = Customers()
        self.endpoint_lists = EndpointLists(self)
        self.requests: dict[Rpc, ClientRequest] = {}
        self.requests_by_id: dict[bytes, ClientRequest] = {}
        self.attempted_ids = AttemptedIds()
        # Counts since the last `figures` log line. Counts by endpoint exist only if configured.
        self.counts: Counter[str] = Counter()
        self.attempts_by_address: Counter[str] | None = (
            Counter() if config.metrics_by_endpoint else None
        )
        # The Unix time at which a process that shuts down expires all open requests.
        self.final_deadline = math.inf
        self.endpoint_pools: EndpointPools
        self.counter_client: CounterClient | None = None
        self.hot_restart_transport: HotRestartTransport | None = None
        self.admission_gate: AdmissionGate | None = None

    def execute(self, actions: Iterable[Action]) -> None:
        """Execute actions in the given order; one that fails does not stop those behind it."""
        for action in actions:
            try:
                self._handlers[type(action)](action)
            except Exception as error:  # the answers behind it must be given
                self.fault_recovery.on_action_failed(action, error)

    def start(
        self, known: EndpointListUpdate, inherited: Iterable[EndpointListUpdate] = ()
    ) -> None:
        """Start the controller with the endpoints that the gateway knows.

        Args:
            known: The list of the configuration; it has no entries if there is none.
            inherited: The lists that other processes of the gateway were told, oldest first.
        """
        self.execute(self.controller.start(self.now()))
        self.endpoint_lists.start(known, inherited)

    def reconfigure(self, settings: Settings, limits: Limits) -> None:
        """Apply new settings and limits; open requests keep the method that they started with."""
        self.settings = settings
        self.limits = limits
        self.controller.reconfigure(**settings.controller_options)

    def on_watch_failed(self) -> None:
        """Report a failed request for the endpoint list to the controller."""
        self.execute(self.controller.on_watch_failed(self.now()))

    # Requests.

    def on_request(self, request: ClientRequest) -> None:
        """Accept a client's request.

        Raises:
            InvalidFieldError: The request is invalid under the current settings.
        """
        now = self.now()
        # The gate comes first: the settings that validate the request may be out of date.
        if self.admission_gate and not self.admission_gate.may_admit():
            self.counts["pushed generation"] += 1
            request.finish(replies.BUSY)
            return
        if not self.memory.may_admit(request.size):
            self.counts["pushed memory"] += 1
            request.finish(replies.BUSY)
            return
        settings = self.settings
        method, plan = find_method_and_plan(request, settings)
        check_id(request, method, self.requests_by_id, self.attempted_ids)
        units = request.units(settings.max_units)
        customer = find_customer(request, plan, self.customers, settings.gateway_count, now)
        # The request may have arrived while this process was stalled.
        arrived_at = self.scheduler.earliest_arrival()
        timeout = min(request.timeout, method.deadline)
        rpc = Rpc(
            method,
            customer,
            units,
            min(arrived_at + timeout, self.final_deadline),
            arrived_at,
            is_client_retry=request.is_client_retry,
            is_write=method.effect != IDEMPOTENT,
        )
        request.rpc = rpc
        self.requests[rpc] = request
        self.requests_by_id[request.id] = request
        self.counts["rpcs"] += 1
        self._notify_controller(rpc, self.controller.admit, now, rpc)

    def _notify_controller(
        self, rpc: Rpc, call: Callable[..., Iterable[Action]], *args: object, **kwargs: object
    ) -> None:
        """Call the controller about an RPC and execute the actions that it returns.

        If the controller raises an exception, reply to the RPC with an error.
        """
        if not self._decide(call, *args, **kwargs):
            self.answer_with_fault(rpc)

    def _decide(
        self, call: Callable[..., Iterable[Action]], *args: object, **kwargs: object
    ) -> bool:
        """Call the controller and execute the actions; return False if it raised an exception."""
        try:
            actions = call(*args, **kwargs)
        except Exception as error:  # the open requests must get their replies
            self.fault_recovery.on_decision_failed(error)
            return False
        self.execute(actions)
        return True

    def answer_with_fault(self, rpc: Rpc) -> None:
        """Reply to an RPC that an internal error prevents from being handled."""
        self.controller.finish(rpc)
        self._finish(rpc, replies.FAULT)

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """Cancel a request whose client disconnected before the reply."""
        rpc = request.rpc
        if rpc is None or rpc not in self.requests:
            return
        del self.requests[rpc]
        del self.requests_by_id[request.id]
        self._decide(self.controller.on_client_disconnected, self.now(), rpc)
        self.endpoint_pools.on_client_disconnected(rpc.attempts, self.controller.may_cancel)

    def expire_open_requests(self) -> None:
        """Expire all open requests now, because the platform may kill the process soon."""
        for rpc in list(self.requests):
            rpc.deadline = min(rpc.deadline, self.now())
            self.endpoint_pools.expire(rpc.attempts)
            if rpc in self.requests:  # the RPC had no attempt in flight
                self._notify_controller(rpc, self.controller.on_timer, self.now(), rpc)

    def on_response_started(
        self, pending: PendingAttempt, relay: ResponseRelay, length: int
    ) -> bool:
        """Start to relay a long response; return False if no client waits for it.

        The controller counts the RPC as answered now, because the time that a client takes to read
        says nothing about the endpoint.

        Args:
            pending: The attempt that the endpoint answers.
            relay: The relay that receives the response.
            length: The size of the response, in bytes.
        """
        attempt = pending.attempt
        request = self.requests.get(attempt.rpc)
        if request is None:
            return False
        request.relay = relay
        relay.on_data = request.owner.on_reply_ready
        self.counts["long"] += 1
        self.controller.finish(attempt.rpc)
        self._decide(self.controller.on_response_started, self.now(), attempt, is_relayed=True)
        self._finish(attempt.rpc, replies.value_head(length))
        return True

    def on_response_held(self, pending: PendingAttempt) -> None:
        """Report a response that waits for memory, whose duration does not depend on its endpoint.

        Args:
            pending: The attempt that the endpoint answers.
        """
        self.counts["held"] += 1
        self._decide(
            self.controller.on_response_started, self.now(), pending.attempt, is_relayed=True
        )

    def on_attempt_ended(
        self, pending: PendingAttempt, outcome: Outcome, value: HeldBytes, report: bytes
    ) -> None:
        """Report an attempt's outcome; the first successful attempt answers the client.

        Args:
            pending: The attempt.
            outcome: The outcome, which the socket proves.
            value: The response, if the outcome is OK and the response was not relayed.
            report: The endpoint's load report, comma-separated `name=number` pairs.
        """
        attempt = pending.attempt
        now = self.now()
        self.counts["out " + outcome] += 1
        if outcome == OK:
            self._finish(attempt.rpc, replies.value_head(len(value)), value, replies.VALUE_END)
        is_over = attempt.rpc not in self.requests
        figures = parse_load_report(report, self.limits.max_load_metric)
        cost = figures.pop(COST_METRIC, 0.0)
        self._notify_controller(
            attempt.rpc,
            self.controller.on_attempt_ended,
            now,
            attempt,
            outcome,
            is_final=is_over,
            duration=max(MINIMUM_DURATION_S, now - attempt.sent_at),
            usage=pop_reported_usage(figures),
            units=cost if cost <= self.settings.max_units else 0.0,
            report=figures,
        )

    def on_counter_reply(self, add: CounterAdd, outcome: Outcome, total: float) -> None:
        """Report the outcome of an addition to the shared counter."""
        self.counts["add " + outcome] += 1
        self._decide(self.controller.on_counter_reply, self.now(), add, outcome, total)

    def on_timer(self, subject: TimerSubject) -> None:
        """Report an expired timer of the controller."""
        self._decide(self.controller.on_timer, self.now(), subject)

    def on_attempt_not_started(self, attempt: SendAttempt) -> None:
        """Report an attempt that the controller requested and no endpoint will receive."""
        self._notify_controller(
            attempt.rpc,
            self.controller.on_attempt_ended,
            self.now(),
            attempt,
            NEVER_SENT,
            is_final=False,
        )

    def _finish(self, rpc: Rpc, *answer: HeldBytes) -> None:
        """Reply to an RPC, unless it already has a reply or its client has disconnected."""
        request = self.requests.pop(rpc, None)
        if request:
            del self.requests_by_id[request.id]
            request.finish(*answer)
            if self.hot_restart_transport:
                self.hot_restart_transport.report_request_ended(rpc.customer.name)

    # Handlers of actions.

    def _send_attempt(self, action: SendAttempt) -> None:
        request = self.requests.get(action.rpc)
        if request:
            self.counts["call_outs"] += 1
            self._remember_attempt(action.rpc, request)
            if self.attempts_by_address is not None:
                self.attempts_by_address[action.endpoint.address] += 1
            self.endpoint_pools.send(request, action)

    def _remember_attempt(self, rpc: Rpc, request: ClientRequest) -> None:
        """Remember an RPC that must not run again, here and at the successor."""
        if rpc.is_write and len(rpc.attempts) <= 1:
            digest = self.attempted_ids.add(request.id)
            if self.hot_restart_transport:
                self.hot_restart_transport.report_attempted_ids([digest])

    def _reject(self, action: Reject) -> None:
        self.counts["pushed " + action.reason] += 1
        self._finish(action.rpc, replies.busy(action.retry_after))

    def _abort(self, action: Abort) -> None:
        self.counts["aborted"] += 1
        self._finish(action.rpc, replies.ABORTED)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        self.endpoint_pools.cancel(action.attempt)

    def _add_to_counter(self, action: CounterAdd) -> None:
        if self.counter_client is None:
            raise RuntimeError("cannot add to the counter: the configuration names no counter")
        self.counter_client.send(action)

    def _set_timer(self, action: SetTimer) -> None:
        self.scheduler.call_later(action.delay, partial(self.on_timer, action.subject))

    def _write_log(self, action: WriteLog) -> None:
        self.log.event(action.event, text=action.text)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        """Do nothing: the watch runs from start-up and restarts itself after a failure."""
