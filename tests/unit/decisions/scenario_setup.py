"""Steps that set up a scenario: settings, methods, plans, customers, gateways and endpoints."""

import re
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from tests.unit.controller_settings import CONTROLLER_SETTINGS

# Words of scenario files that differ from the names of their fields.
PLAN_FIELDS = {
    "ceiling": "hard_limit_rate",
    "top": "hard_limit_burst",
    "slack": "hard_limit_slack",
    "out": "max_in_flight",
    "cost": "over_quota_cost",
    "over": "over_quota_weight",
}
SETTING_FIELDS = {
    "counter": "uses_counter",
    "cold": "slow_start",
    "cold_from": "slow_start_minimum",
    "max_wait": "max_retry_after",
}
CUSTOMER_FIELDS = {"first": "first_gateway", "spread": "gateway_count"}
METHOD_FIELDS = {
    "soft": "latency_objective",
    "dl": "deadline",
    "scope": "key_scope",
    "keep": "key_window",
    "late": "late_priority_weight",
    "utility": "priority_weight",
}
FIRST_GATEWAY = "0"


def as_value(text: str) -> float | str:
    """Return the text as a number if it is one."""
    return float(text) if re.fullmatch(r"-?\d+(\.\d+)?", text) else text


def as_options(words: Iterable[str]) -> dict[str, Any]:
    """Return the values of the words NAME=VALUE by name."""
    pairs = (word.split("=", 1) for word in words)
    return {name: as_value(text) for name, text in pairs}


def as_fields(words: Iterable[str], fields: Mapping[str, str]) -> dict[str, Any]:
    """Return the values of the words NAME=VALUE by the field that each name stands for."""
    return {fields.get(name, name): value for name, value in as_options(words).items()}


class PendingTimer(NamedTuple):
    """A timer that the controller set."""

    due: float
    number: int
    subject: actions.TimerSubject
    controller: AdmissionController


class SetupSteps:
    """Creates the objects of a scenario, and has the state of one run."""

    controller: AdmissionController

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.now = 1000.0
        self.settings = dict(CONTROLLER_SETTINGS)
        self.methods: dict[str, api.Method] = {}
        self.plans: dict[str, api.Plan] = {}
        self.customers: dict[str, api.Customer] = {}
        self.endpoints: dict[str, api.Endpoint] = {}
        self.rpcs: dict[str, api.Rpc] = {}
        self.controllers: dict[str, AdmissionController] = {}
        self.counter_requests: list[tuple[actions.CounterAdd, AdmissionController]] = []
        self.timers: list[PendingTimer] = []
        self.actions: list[tuple[api.Rpc | None, actions.Action]] = []  # with their RPCs
        self.log: list[str] = []
        self.counter_totals: dict[object, float] = {}

    def execute(self, returned: Iterable[actions.Action]) -> None:
        """Record the actions that the controller returned."""
        for action in returned:
            if isinstance(action, actions.SetTimer):
                due = self.now + action.delay
                number = len(self.timers)
                self.timers.append(PendingTimer(due, number, action.subject, self.controller))
            elif isinstance(action, actions.CounterAdd):
                self.counter_requests.append((action, self.controller))
            elif isinstance(action, actions.WriteLog):
                self.log.append(action.text)
            rpc: api.Rpc | None = getattr(action, "rpc", None)
            if isinstance(action, actions.CancelAttempt):
                rpc = action.attempt.rpc
            self.actions.append((rpc, action))

    def do_set(self, *words: str) -> None:
        """Change the settings of gateways that start later."""
        self.settings.update(as_fields(words, SETTING_FIELDS))

    def do_method(self, name: str, effect: str, *words: str) -> None:
        """Add a method."""
        fields = {"latency_objective": 1.0, "deadline": 4.0, "effect": effect}
        fields |= as_fields(words, METHOD_FIELDS)
        fields["key_scope"] = api.KeyScope.parse(fields.get("key_scope", ""))
        self.methods[name] = api.Method(name, **fields)

    def do_plan(self, name: str, *words: str) -> None:
        """Add a plan."""
        self.plans[name] = api.Plan(name, **as_fields(words, PLAN_FIELDS))

    def do_customer(self, name: str, plan: str, *words: str) -> None:
        """Add a customer."""
        options = as_options(words)
        fields = {CUSTOMER_FIELDS[key]: int(value) for key, value in options.items()}
        self.customers[name] = api.Customer(name, self.plans[plan], **fields)

    def do_change_plan(self, name: str, plan: str) -> None:
        """Change the customer's plan, as new settings do."""
        self.customers[name].plan = self.plans[plan]

    def do_restart(self) -> None:
        """Restart the gateway with empty memory."""
        self.timers = []
        self.counter_requests = []
        self.controllers = {}
        self._start_controller()

    def _start_controller(self) -> None:
        self.controller = AdmissionController(seed=self.seed, **self.settings)
        self.execute(self.controller.start(self.now))
        if self.endpoints:
            self._report_all_endpoints()

    def do_gateway(self, number: str) -> None:
        """Switch to the gateway with this number, and start it if it is new."""
        self.controllers.setdefault(FIRST_GATEWAY, self.controller)
        if number not in self.controllers:
            self._start_controller()
        self.controller = self.controllers.setdefault(number, self.controller)

    def do_host(self, *words: str) -> None:
        """Report a change of endpoints, as discovery does."""
        names = [word for word in words if "=" not in word]
        options = as_options(word for word in words if "=" in word)
        events = [self._endpoint_event(name, options) for name in names]
        self.execute(self.controller.on_endpoint_events(self.now, False, events))

    def _endpoint_event(self, name: str, options: dict[str, Any]) -> api.EndpointEvent:
        return api.EndpointEvent(
            self.endpoints.setdefault(name, api.Endpoint(name)),
            options.get("zone", "z1"),
            "std",
            int(options.get("pod", 0)),
            options.get("state", api.READY),
            options.get("share", 1.0),
            self.now - options["age"] if "age" in options else 0.0,
        )

    def do_list(self, *names: str) -> None:
        """Report a complete list of endpoints."""
        self.endpoints = {name: self.endpoints[name] for name in names}
        self._report_all_endpoints()

    def _report_all_endpoints(self) -> None:
        events = [
            api.EndpointEvent(
                endpoint,
                endpoint.zone,
                endpoint.kind,
                endpoint.pod,
                endpoint.state,
                endpoint.weight,
                endpoint.started_at,
            )
            for endpoint in self.endpoints.values()
        ]
        self.execute(self.controller.on_endpoint_events(self.now, True, events))

    def do_world(self, *words: str) -> None:
        """Set up the usual methods, plans, customers and endpoints, and start a gateway."""
        self.do_method("look", api.IDEMPOTENT)
        self.do_method("lodge", api.DEDUPLICATED, "scope=all", "keep=2", "late=0.5")
        self.do_method("zoned", api.DEDUPLICATED, "scope=zone", "keep=2", "late=0.5")
        self.do_method("celled", api.DEDUPLICATED, "scope=cell", "keep=2")
        self.do_method("post", api.NON_IDEMPOTENT, "utility=3", "keep=5", "late=0.5")
        self.do_plan("basic", "rate=2", "burst=10")
        self.do_plan("capped", "rate=20", "burst=40", "ceiling=40", "top=80", "slack=8")
        self.do_plan("open")
        for name in ("ann", "dan", "fay", "gil"):
            self.do_customer(name, "basic", "spread=2")
        self.do_customer("bob", "capped", "spread=2")
        self.do_customer("eve", "open", "spread=2")
        self.do_set(*words)
        self.do_restart()
        self.do_host("a", "b", "zone=z1", "pod=1")
        self.do_host("c", "d", "zone=z2", "pod=2")
