"""Reports what happens on the sockets to the admission controller and executes its actions.

This is the one place where the network and the decisions meet. It keeps the open requests, the
known endpoints and the counts of the log's figures. It decides nothing: each event becomes one call
of `AdmissionController`, and each action that the call returns goes to the service that carries it
out.

It promises that no request gets a second answer. A fault of the controller while it admits an RPC,
takes the end of an attempt or expires an RPC is logged, and the RPC is answered with an error.
Other events (timers, replies of the counter, endpoint lists, a client's leaving) have no such
guard: the scheduler logs their faults, and the RPC that such an event was about may stay open.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from petrellane.decisions.action_dispatcher import ActionDispatcher
from petrellane.decisions.controller import AdmissionController
from petrellane.decisions.types import (
    DEDUPLICATED,
    GONE,
    IDEMPOTENT,
    OK,
    READY,
    Rpc,
)
from petrellane.gateway import replies
from petrellane.gateway.client_request import (
    FIRST_GATEWAY_FIELD,
    GATEWAY_COUNT_FIELD,
    METHOD_FIELD,
    PLAN_FIELD,
    InvalidFieldError,
)
from petrellane.gateway.customers import Customers
from petrellane.gateway.endpoint_updates import endpoint_updates
from petrellane.gateway.load_report import COST_FIGURE, parse_load_report, take_reported_use

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
        WatchEndpoints,
        WriteLog,
    )
    from petrellane.decisions.types import Customer, Endpoint, Method, Outcome, Plan
    from petrellane.gateway.client_request import ClientRequest
    from petrellane.gateway.counter_client import CounterClient
    from petrellane.gateway.endpoint_connection import PendingAttempt
    from petrellane.gateway.endpoint_pools import EndpointPools
    from petrellane.gateway.endpoint_updates import EndpointUpdate
    from petrellane.gateway.response_relay import ResponseRelay
    from petrellane.gateway.runtime import Runtime
    from petrellane.net.limits import Limits
    from petrellane.operation.hot_restart_transport import HotRestartTransport

MINIMUM_DURATION_S = 1e-6  # of an attempt: the clock may not have moved since it was sent


class AdmissionGate(Protocol):
    """Says whether RPCs may be admitted under the settings that are in force here."""

    def may_admit(self) -> bool:
        """Return False while other gateways may have left these settings behind."""


class ActionExecutor(ActionDispatcher):
    """Turns events of the sockets into calls of the controller, and its actions into I/O.

    Owned by `GatewayProcess`, for the life of the process. `endpoint_pools`, `counter_client`,
    `hot_restart_transport` and `admission_gate` are set by it before the first event; each of the
    last three stays None where the configuration has no such part. Owns the open requests, the
    table of known endpoints and the controller; opens no socket.
    """

    def __init__(self, config: Config, runtime: Runtime) -> None:
        super().__init__()
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
        self.endpoints: dict[str, Endpoint] = {}
        self.ready_endpoints: set[Endpoint] = set()
        self.applying_endpoint_list = False
        self.requests: dict[Rpc, ClientRequest] = {}
        self.requests_by_id: dict[bytes, ClientRequest] = {}
        # Figures since the last line of the log; attempts by endpoint where the settings ask.
        self.counts: Counter[str] = Counter()
        self.attempts_by_address: Counter[str] | None = (
            Counter() if config.metrics_by_endpoint else None
        )
        self.final_deadline = math.inf  # when all open requests have ended, once we are ending
        self.endpoint_pools: EndpointPools
        self.counter_client: CounterClient | None = None
        self.hot_restart_transport: HotRestartTransport | None = None
        self.admission_gate: AdmissionGate | None = None

    def start(self, known: EndpointListUpdate) -> None:
        """Start the controller with the endpoints that the configuration knows."""
        self.execute(self.controller.start(self.now()))
        self.on_endpoint_list(replace(known, full=True))  # no request can wait yet: at once

    def reconfigure(self, settings: Settings, limits: Limits) -> None:
        """Apply other settings from now on; open requests keep the method that they came under."""
        self.settings = settings
        self.limits = limits
        self.controller.reconfigure(**settings.controller_options)

    # Endpoints.

    def on_endpoint_list(
        self,
        endpoint_list: EndpointListUpdate,
        yield_turn: Callable[[], object] | None = None,
    ) -> None:
        """Apply an endpoint list or changes to it, in chunks.

        First come the rows that the list names, then, for a complete list, the end of the endpoints
        that it leaves out. No other list may be given while `applying_endpoint_list` is set.
        `yield_turn` is called between chunks, so that other work has its turn; without it all is
        applied at once.
        """
        has_news = bool(endpoint_list.entries or (endpoint_list.full and self.endpoints))
        self.applying_endpoint_list = True
        chunk: list[EndpointUpdate] = []
        try:
            for update in endpoint_updates(endpoint_list, self.endpoints):
                chunk.append(update)
                if yield_turn and len(chunk) == self.limits.list_rows_per_turn:
                    self._apply_endpoint_updates(chunk)
                    chunk = []
                    yield_turn()
            self._apply_endpoint_updates(chunk)
        finally:
            self.applying_endpoint_list = False
        if has_news:
            self.log.event(
                "hosts",
                index=endpoint_list.index,
                full=endpoint_list.full,
                changed=len(endpoint_list.entries),
                known=len(self.endpoints),
                ready=len(self.ready_endpoints),
            )

    def on_watch_failed(self) -> None:
        """Report that a request for the endpoint list failed."""
        self.execute(self.controller.on_watch_failed(self.now()))

    def _apply_endpoint_updates(self, updates: list[EndpointUpdate]) -> None:
        """Report some updates to the controller, then what became of the endpoints to the pools."""
        if not updates:
            return
        events = [update.event for update in updates]
        self.execute(self.controller.on_endpoint_events(self.now(), False, events))
        for name, address, event in updates:
            endpoint = event.endpoint
            if endpoint.state == READY:
                self.ready_endpoints.add(endpoint)
            else:
                self.ready_endpoints.discard(endpoint)
            if endpoint.state != GONE:
                self.endpoint_pools.on_endpoint_changed(endpoint, address)
            elif self.endpoints.pop(name, None):
                self.endpoint_pools.on_endpoint_removed(endpoint)

    # Requests.

    def on_request(self, request: ClientRequest) -> None:
        """Take a client's request in.

        Raises:
            InvalidFieldError: The request makes no sense under the settings in force.
        """
        now = self.now()
        # Asked before the request is looked at under settings that other gateways may have left.
        if self.admission_gate and not self.admission_gate.may_admit():
            self.counts["pushed generation"] += 1
            request.finish(replies.BUSY)
            return
        method, plan = self._method_and_plan(request)
        units = request.units(self.settings.max_units)
        customer = self._customer(request, plan, now)
        # Its timeout may have begun while this process stood still.
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

    def _method_and_plan(self, request: ClientRequest) -> tuple[Method, Plan]:
        """Return what the settings say of a request, once its fields have been checked."""
        method = self.settings.methods.get(request.text(METHOD_FIELD))
        plan = self.settings.plans.get(request.text(PLAN_FIELD))
        if method is None:
            raise InvalidFieldError(f"{METHOD_FIELD}: no such method")
        if plan is None:
            raise InvalidFieldError(f"{PLAN_FIELD}: no such plan")
        if request.is_query != (method.effect == IDEMPOTENT):
            raise InvalidFieldError(f"{METHOD_FIELD}: its method takes the other command")
        if method.effect == DEDUPLICATED:
            request.require_idempotency_key()
        if request.id in self.requests_by_id:
            raise InvalidFieldError("id: its RPC is open")
        return method, plan

    def _customer(self, request: ClientRequest, plan: Plan, now: float) -> Customer:
        """Return the customer that a request is of."""
        gateways = self.settings.gateway_count
        first_gateway = request.integer(FIRST_GATEWAY_FIELD, 0, 0, gateways - 1)
        gateway_count = request.integer(GATEWAY_COUNT_FIELD, 1, 1, gateways)
        name = request.customer.decode()
        return self.customers.get_or_create(name, plan, first_gateway, gateway_count, now)

    def _notify_controller(
        self, rpc: Rpc, call: Callable[..., Iterable[Action]], *args: object, **named: object
    ) -> None:
        """Make a call of the controller about an RPC and execute its actions.

        A fault in the controller is logged, and the RPC is answered all the same.
        """
        try:
            self.execute(call(*args, **named))
        except Exception as error:  # whatever the fault is, the client is owed an answer
            self.log.fault(error)
            self._finish(rpc, replies.FAULT)

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """End a request whose client has gone away before its answer."""
        rpc = request.rpc
        if rpc is None or rpc not in self.requests:
            return
        del self.requests[rpc]
        del self.requests_by_id[request.id]
        self.execute(self.controller.on_client_disconnected(self.now(), rpc))
        self.endpoint_pools.on_client_disconnected(rpc.attempts, self.controller.may_cancel)

    def expire_open_requests(self) -> None:
        """Let the time of all open requests end now, as the process may be killed soon."""
        for rpc in list(self.requests):
            rpc.deadline = min(rpc.deadline, self.now())
            self.endpoint_pools.expire(rpc.attempts)
            if rpc in self.requests:  # it waits without an attempt
                self._notify_controller(rpc, self.controller.on_timer, self.now(), rpc)

    def on_response_started(
        self, pending: PendingAttempt, relay: ResponseRelay, length: int
    ) -> bool:
        """Begin to pass on a long response as it comes; return False where nobody waits for it.

        For the controller the RPC is answered now: how soon a client reads says nothing about an
        endpoint.
        """
        attempt = pending.attempt
        request = self.requests.get(attempt.rpc)
        if request is None:
            return False
        request.relay = relay
        relay.on_data = request.owner.on_answered
        self.counts["long"] += 1
        self.controller.finish(attempt.rpc)
        self.execute(self.controller.on_response_started(self.now(), attempt, is_relayed=True))
        self._finish(attempt.rpc, replies.value_head(length))
        return True

    def on_attempt_ended(
        self, pending: PendingAttempt, outcome: Outcome, value: bytes, report: bytes
    ) -> None:
        """Report an attempt's outcome; the first that is ok answers the client by itself.

        `value` is the response, where the outcome is ok and it was not relayed; `report` is the
        endpoint's load report, `name=number` pairs with commas between.
        """
        attempt = pending.attempt
        now = self.now()
        self.counts["out " + outcome] += 1
        if outcome == OK:
            self._finish(attempt.rpc, replies.value_head(len(value)), value, replies.VALUE_END)
        is_over = attempt.rpc not in self.requests
        figures = parse_load_report(report, self.limits.max_load_metric)
        cost = figures.pop(COST_FIGURE, 0.0)
        self._notify_controller(
            attempt.rpc,
            self.controller.on_attempt_ended,
            now,
            attempt,
            outcome,
            over=is_over,
            took=max(MINIMUM_DURATION_S, now - attempt.sent_at),
            usage=take_reported_use(figures),
            units=cost if cost <= self.settings.max_units else 0.0,
            report=figures,
        )

    def on_counter_reply(self, add: CounterAdd, outcome: Outcome, total: float) -> None:
        """Report what became of an addition to the shared counter."""
        self.counts["add " + outcome] += 1
        self.execute(self.controller.on_counter_reply(self.now(), add, outcome, total))

    def _finish(self, rpc: Rpc, *answer: bytes) -> None:
        """Give an RPC its answer, unless it has one or its client has gone."""
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
            if self.attempts_by_address is not None:
                self.attempts_by_address[action.endpoint.address] += 1
            self.endpoint_pools.send(request, action)

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
            raise RuntimeError("an addition without a counter in the configuration")
        self.counter_client.send(action)

    def _set_timer(self, action: SetTimer) -> None:
        def on_timer() -> None:
            self.execute(self.controller.on_timer(self.now(), action.subject))

        self.scheduler.call_later(action.delay, on_timer)

    def _write_log(self, action: WriteLog) -> None:
        self.log.event(action.event, text=action.text)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        """Do nothing: the watch is on from the start and restarts by itself."""
