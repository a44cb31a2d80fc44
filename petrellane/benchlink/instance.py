"""One simulated gateway: translates between the simulator's protocol and the admission controller.

Handlers convert an event to a call of the controller; encoders convert the actions that it returns
to lines. This module makes no admission decisions. The time of a batch is the only clock.
"""

import json
import re
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from typing import Any, Final
from weakref import WeakValueDictionary

from petrellane import config
from petrellane.benchlink.codec import Fields, WireEvent, microseconds, seconds
from petrellane.decisions import actions as act
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController

Actions = Iterable[act.Action]

OUTCOMES: Final = {
    "GOOD": api.OK,
    "BAD": api.ERROR,
    "LATE": api.LATE,
    "RST": api.RESET,
    "CXL": api.CANCELLED,
    "FULL": api.FULL,
    "NOCONN": api.UNREACHABLE,
    "NOP": api.NEVER_SENT,
}
ENDPOINT_STATES: Final = {"0": api.GONE, "1": api.READY, "2": api.DRAINING}
COMPLETE_LISTS: Final = frozenset(("1", "2"))  # kinds of complete endpoint lists: full, cached
FAILED_LIST: Final = "3"  # the kind of list that reports a failed call to discovery
TRUE: Final = "1"
NUMBER_PATTERN: Final = re.compile(r"-?\d+(\.\d+)?(e[-+]?\d+)?", re.IGNORECASE)
MIN_DURATION_US: Final = 1  # a timeout or delay of 0 would mean none


class SimulatedInstance:
    """One simulated gateway, which lives from OPEN_INSTANCE to DETACH or the end of the input.

    The adapter owns it. It maps the protocol's ids of requests, timers and counter calls to
    objects. It removes a request once the request is finished and all its attempts have ended.
    """

    def __init__(self, number: int, seed: int, settings_json: str) -> None:
        """Create an instance.

        Args:
            number: The number by which the simulator identifies the instance.
            seed: The seed of the instance's random number generator.
            settings_json: The operators' settings, a JSON object.

        Raises:
            ConfigError: A setting is missing or invalid.
        """
        settings = config.parse_settings(config.Section(json.loads(settings_json), "settings"))
        self.number = number
        self.controller = AdmissionController(
            seed=seed,
            uses_counter=settings.uses_counter,
            must_watch=settings.must_watch,
            **settings.controller_options,
        )
        self._methods = settings.methods
        self._plans = settings.plans
        self._report_fields = settings.report_fields
        self._endpoints: dict[str, api.Endpoint] = {}
        self._customers: WeakValueDictionary[str, api.Customer] = WeakValueDictionary()
        self._rpcs: dict[str, api.Rpc] = {}  # by handle
        self._handles: dict[api.Rpc, str] = {}
        self._maybe_settled: list[api.Rpc] = []  # checked after each event
        self._counter_adds: defaultdict[int, deque[act.CounterAdd]] = defaultdict(deque)
        self._timer_subjects: dict[int, act.TimerSubject] = {}  # by nonce
        self._last_nonce = 0

    def start(self, now: float) -> list[str]:
        """Start the controller, and return the lines of its first actions."""
        return self._encode(self.controller.start(now))

    def handle(self, now: float, event: WireEvent) -> list[str]:
        """Return the lines that answer one event; an empty list for an unknown verb."""
        handler = HANDLERS.get(event.verb)
        lines = self._encode(handler(self, now, event)) if handler else []
        self._forget_settled_rpcs()
        return lines

    def _forget_settled_rpcs(self) -> None:
        while self._maybe_settled:
            rpc = self._maybe_settled.pop()
            if rpc.is_finished and all(attempt.outcome for attempt in rpc.attempts):
                handle = self._handles.pop(rpc, None)
                if handle is not None:
                    self._rpcs.pop(handle, None)

    def on_endpoint_events(self, now: float, event: WireEvent) -> Actions:
        """Handle PEERS_KNOWN: an endpoint list, changes to the list, or a failed discovery call."""
        kind = event.fields.get("kind")
        if kind == FAILED_LIST:
            return self.controller.on_watch_failed(now)
        events = [self._endpoint_event(row) for row in event.rows]
        is_complete = kind in COMPLETE_LISTS
        return self.controller.on_endpoint_events(now, is_complete, events)

    def _endpoint_event(self, row: Fields) -> api.EndpointEvent:
        address = row["host"]
        endpoint = self._endpoints.setdefault(address, api.Endpoint(address))
        return api.EndpointEvent(
            endpoint,
            row.get("az", ""),
            row.get("type", ""),
            int(row.get("pod", 0)),
            ENDPOINT_STATES.get(row.get("state", "0"), api.GONE),
            float(row.get("share", 0)),
            seconds(row.get("upSince")),
        )

    def on_request(self, now: float, event: WireEvent) -> Actions:
        """Handle DEMAND: a client's request arrives."""
        fields = event.fields
        customer = self._customer(fields)
        rpc = api.Rpc(
            method=self._methods[fields["grade"]],
            customer=customer,
            units=float(fields.get("priceUnits", 0)),
            deadline=seconds(fields["expires"]),
            arrived_at=now,
            is_client_retry=fields.get("resent") == TRUE,
            is_write=fields.get("write") == TRUE,
        )
        handle = fields["handle"]
        self._rpcs[handle] = rpc
        self._handles[rpc] = handle
        return self.controller.admit(now, rpc)

    def _customer(self, fields: Fields) -> api.Customer:
        """Return the customer of a request, and update the gateways that receive its requests."""
        name = fields.get("customer", "")
        customer = self._customers.get(name)
        if customer is None:
            plan = self._plans.setdefault(fields.get("gradeOfService", ""), api.Plan(""))
            customer = api.Customer(name, plan)
            self._customers[name] = customer
        customer.first_gateway = int(fields.get("setStart", 0))
        customer.gateway_count = int(fields.get("entryPoints", 0))
        return customer

    def on_attempt_ended(self, now: float, event: WireEvent) -> Actions:
        """Handle ANSWER: an attempt ended."""
        fields = event.fields
        rpc = self._rpcs.get(fields["handle"])
        number = int(fields.get("sendNo", 0))
        if rpc is None or number >= len(rpc.attempts):
            return ()
        self._maybe_settled.append(rpc)
        return self.controller.on_attempt_ended(
            now,
            rpc.attempts[number],
            self._outcome(fields),
            is_final=fields.get("over") == TRUE,
            duration=seconds(fields.get("took")),
            usage=int(fields.get("usage", 0)),
            units=float(fields.get("finalUnits", 0)),
            report=self._load_report(fields),
        )

    def on_response_started(self, now: float, event: WireEvent) -> Actions:
        """Handle FIRST: a streamed response started."""
        rpc = self._rpcs.get(event.fields["handle"])
        if rpc is None:
            return ()
        attempt = rpc.attempts[int(event.fields.get("sendNo", 0))]
        return self.controller.on_response_started(now, attempt)

    def on_client_disconnected(self, now: float, event: WireEvent) -> Actions:
        """Handle EXPIRED: the client disconnected."""
        rpc = self._rpcs.get(event.fields["handle"])
        if rpc is None:
            return ()
        self._maybe_settled.append(rpc)
        return self.controller.on_client_disconnected(now, rpc)

    def on_timer(self, now: float, event: WireEvent) -> Actions:
        """Handle RING: a timer expired."""
        subject = self._timer_subjects.pop(int(event.fields["nonce"]), None)
        if subject is None:
            return ()
        return self.controller.on_timer(now, subject)

    def on_counter_reply(self, now: float, event: WireEvent) -> Actions:
        """Handle COUNTER_REPLY: the result of the oldest pending call for a counter name."""
        fields = event.fields
        name = int(fields["cname"])
        pending_adds = self._counter_adds[name]
        if not pending_adds:
            return ()
        add = pending_adds.popleft()
        if not pending_adds:
            del self._counter_adds[name]
        total = float(fields.get("reading", 0))
        return self.controller.on_counter_reply(now, add, self._outcome(fields), total)

    @staticmethod
    def _outcome(fields: Fields) -> api.Outcome:
        return OUTCOMES.get(fields.get("outcome", ""), api.ERROR)

    def _load_report(self, fields: Fields) -> dict[str, float]:
        """Return the metrics of a host's load report by name; empty without a report."""
        values = fields.get("healthInfo", "").split(",")
        return {
            name: float(text)
            for name, text in zip(self._report_fields, values, strict=False)
            if NUMBER_PATTERN.fullmatch(text)
        }

    def _encode(self, actions: Actions) -> list[str]:
        """Return the lines of actions, in the same order."""
        lines = []
        for action in actions:
            lines.append(ENCODERS[type(action)](self, action))
            if isinstance(action, (act.Reject, act.Abort)):
                self._maybe_settled.append(action.rpc)
        return lines

    def encode_send_attempt(self, action: act.SendAttempt) -> str:
        """Return a DISPATCH line, which sends an attempt."""
        return (
            f"DISPATCH gateway={self.number} handle={self._handles[action.rpc]} "
            f"host={action.endpoint.address} "
            f"timeout={max(MIN_DURATION_US, microseconds(action.timeout))}"
        )

    def encode_reject(self, action: act.Reject) -> str:
        """Return a REJECT line, which rejects the request."""
        return (
            f"REJECT gateway={self.number} handle={self._handles[action.rpc]} "
            f"retryAfter={microseconds(action.retry_after)}"
        )

    def encode_abort(self, action: act.Abort) -> str:
        """Return an END_FAILED line, which aborts the request."""
        return f"END_FAILED gateway={self.number} handle={self._handles[action.rpc]}"

    def encode_cancel_attempt(self, action: act.CancelAttempt) -> str:
        """Return a RECALL line, which cancels an attempt."""
        attempt = action.attempt
        handle = self._handles[attempt.rpc]
        return f"RECALL gateway={self.number} handle={handle} sendNo={attempt.number}"

    def encode_counter_add(self, action: act.CounterAdd) -> str:
        """Return a POST_AMOUNT line, which adds to a named value of the counter."""
        self._counter_adds[action.name].append(action)
        return (
            f"POST_AMOUNT gateway={self.number} cname={action.name} "
            f"delta={action.amount:.7g} ttl={microseconds(action.ttl)}"
        )

    def encode_set_timer(self, action: act.SetTimer) -> str:
        """Return a WAKE_AT line, which sets a timer."""
        self._last_nonce += 1
        self._timer_subjects[self._last_nonce] = action.subject
        delay = max(MIN_DURATION_US, microseconds(action.delay))
        return f"WAKE_AT gateway={self.number} nonce={self._last_nonce} in={delay}"

    def encode_write_log(self, action: act.WriteLog) -> str:
        """Return a RECORD line, which adds a text to the simulator's report."""
        return f"RECORD gateway={self.number} reasonText={action.text}"

    def encode_watch_endpoints(self, _action: act.WatchEndpoints) -> str:
        """Return a STREAM_CHANGES line, which subscribes to changes of the endpoint list."""
        return f"STREAM_CHANGES gateway={self.number} on=1"


HANDLERS: Final[dict[str, Callable[[SimulatedInstance, float, WireEvent], Actions]]] = {
    "PEERS_KNOWN": SimulatedInstance.on_endpoint_events,
    "DEMAND": SimulatedInstance.on_request,
    "ANSWER": SimulatedInstance.on_attempt_ended,
    "FIRST": SimulatedInstance.on_response_started,
    "EXPIRED": SimulatedInstance.on_client_disconnected,
    "RING": SimulatedInstance.on_timer,
    "COUNTER_REPLY": SimulatedInstance.on_counter_reply,
}
ENCODERS: Final[dict[type, Callable[[SimulatedInstance, Any], str]]] = {
    act.SendAttempt: SimulatedInstance.encode_send_attempt,
    act.Reject: SimulatedInstance.encode_reject,
    act.Abort: SimulatedInstance.encode_abort,
    act.CancelAttempt: SimulatedInstance.encode_cancel_attempt,
    act.CounterAdd: SimulatedInstance.encode_counter_add,
    act.SetTimer: SimulatedInstance.encode_set_timer,
    act.WriteLog: SimulatedInstance.encode_write_log,
    act.WatchEndpoints: SimulatedInstance.encode_watch_endpoints,
}
