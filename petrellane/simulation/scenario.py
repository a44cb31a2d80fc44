"""The contents of a scenario: the fleet, plans, methods, customers and faults.

Times are seconds since the start of the run; units are those of the plans. Where a key in scenario
files differs from the field's name, `msgspec.field(name=...)` gives the key. The tag of a class is
the `kind` of its lines. `scenario_files` reads and writes the files.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec


class ScenarioLine(
    msgspec.Struct, tag_field="kind", forbid_unknown_fields=True, omit_defaults=True, frozen=True
):
    """One line of a scenario file."""


class World(ScenarioLine, tag="world", frozen=True):
    """The size of the fleet and the properties of its network, endpoints and counter.

    Attributes:
        model: The version of the simulation that the scenario was written for.
        seed: The seed of all random numbers of the run.
        length: The time for which clients send RPCs, in seconds.
        gateways: The number of gateways.
        endpoints: The number of endpoints.
        zones: The number of zones over which gateways and endpoints are distributed.
        pod: The number of endpoints in a pod, the part of a zone that shares idempotency keys.
        cores: The number of cores of each endpoint; work is in core seconds.
        slots: The maximum number of RPCs that an endpoint executes concurrently.
        queue: The maximum number of RPCs that wait at an endpoint for a slot.
        cancel: Whether endpoints drop abandoned attempts from their queues.
        latency: The one-way latency within a zone, in seconds; it is doubled across zones.
        jitter: The maximum addition to the latency of a message, as a fraction of it.
        connection_reuse: The fraction of attempts that find an open connection.
        clock_skew: The maximum offset of a gateway's clock from the time of the run, in seconds.
        detection_delay: The maximum delay until the front (the load balancer between clients and
            gateways) detects the death of a gateway, and the basis of the delay until discovery
            detects the start or the death of an endpoint, in seconds.
        exponential: Whether the work of an RPC is drawn from an exponential distribution; else
            from a uniform one around the method's mean.
        retries: The maximum number of retries of a client.
        patience: The time that a client waits for one RPC, as a fraction of the deadline.
        counter_parts: The number of partitions of the counter, which serve adds in parallel.
        counter_per_s: The adds per second that the counter serves.
        counter_timeout: The time that a gateway waits for a reply of the counter, in seconds.
        slow_start: The time that a restarted endpoint takes to warm up, in seconds.
        slow_start_minimum: The fraction of its capacity that an endpoint has when it starts.
        multiple: The load above which a cold endpoint collapses, as a multiple of its present
            capacity.
        overload_for: The time over which that load is summed, in seconds.
        drain_grace: The time after a drain notification during which the gateway may still send
            attempts to the endpoint, in seconds.
        max_attempts: The maximum number of attempts that a gateway makes for one RPC.
        may_cancel: Whether gateways cancel attempts.
        max_retry_after: The maximum Retry-After of a rejected RPC, in seconds.
    """

    model: int
    seed: int
    length: float = 10.0
    gateways: int = 3
    endpoints: int = msgspec.field(name="hosts", default=6)
    zones: int = 2
    pod: int = 3
    cores: float = 2.0
    slots: int = 8
    queue: int = 16
    cancel: bool = False
    latency: float = 0.001
    jitter: float = 0.5
    connection_reuse: float = msgspec.field(name="standing", default=0.7)
    clock_skew: float = msgspec.field(name="skew", default=0.0)
    detection_delay: float = msgspec.field(name="notice", default=1.0)
    exponential: bool = False
    retries: int = 1
    patience: float = 1.0
    counter_parts: int = 1
    counter_per_s: float = 1500.0
    counter_timeout: float = 0.05
    slow_start: float = msgspec.field(name="cold", default=6.0)
    slow_start_minimum: float = msgspec.field(name="cold_from", default=0.3)
    multiple: float = 2.0
    overload_for: float = 1.5
    drain_grace: float = 1.0
    max_attempts: int = msgspec.field(name="max_call_outs", default=4)
    may_cancel: bool = True
    max_retry_after: float = msgspec.field(name="max_wait", default=0.5)


class Plan(ScenarioLine, tag="plan", frozen=True):
    """One plan; its fields correspond to those of `petrellane.decisions.types.Plan`.

    Attributes:
        name: The name by which customers refer to the plan.
        rate: The quota, in units per second; 0 for no quota.
        burst: The units that a full quota holds.
        hard_limit_rate: The hard limit, in units per second; 0 for no hard limit.
        hard_limit_burst: The units that a full hard limit holds.
        hard_limit_slack: The units by which the hard limit may be exceeded.
        max_in_flight: The maximum number of attempts in flight; 0 for no maximum.
        price: The value of one unit.
    """

    name: str
    rate: float
    burst: float = msgspec.field(name="store")
    hard_limit_rate: float = msgspec.field(name="ceiling_rate", default=0.0)
    hard_limit_burst: float = msgspec.field(name="ceiling_burst", default=0.0)
    hard_limit_slack: float = msgspec.field(name="ceiling_slack", default=0.0)
    max_in_flight: int = msgspec.field(name="max_out", default=0)
    price: float = 1.0


class Method(ScenarioLine, tag="method", frozen=True):
    """One method.

    Attributes:
        name: The name of the method.
        effect: The effect of a repeated execution, a value of `petrellane.decisions.types.Effect`.
        share: The weight of the method when a client picks the method of an RPC.
        work: The mean work of an RPC of one unit, in core seconds.
        latency_objective: The time within which an answer has the full `priority_weight`, in
            seconds.
        deadline: The time after which a client gives up, in seconds.
        key_scope: The endpoints that share idempotency keys, in the notation of
            `petrellane.decisions.types.KeyScope.parse`.
        key_window: The time for which these endpoints remember a key, in seconds.
        priority_weight: The value of an answer within the latency objective.
        late_priority_weight: The value of a later answer, as a fraction of `priority_weight`.
    """

    name: str
    effect: str
    share: float = 1.0
    work: float = 0.05
    latency_objective: float = msgspec.field(name="soft_deadline", default=0.5)
    deadline: float = 2.0
    key_scope: str = msgspec.field(name="scope", default="")
    key_window: float = msgspec.field(name="window", default=0.0)
    priority_weight: float = msgspec.field(name="utility", default=1.0)
    late_priority_weight: float = msgspec.field(name="late_utility", default=0.0)


class Customer(ScenarioLine, tag="customer", frozen=True):
    """One customer, whose clients send through some of the gateways.

    Attributes:
        name: The name of the customer.
        plan: The name of the customer's plan.
        rate: The RPCs per second that the customer's clients send.
        first_gateway: The number of the first gateway that the customer uses.
        gateway_count: The number of consecutive gateways that the customer uses.
        units: The maximum number of units of an RPC.
        concentration: The fraction of RPCs that always go to the customer's preferred gateway; the
            others go to a random one of its gateways.
        move_interval: The time after which the next gateway becomes the preferred one, in
            seconds; 0 for never.
    """

    name: str
    plan: str
    rate: float
    first_gateway: int = msgspec.field(name="first", default=0)
    gateway_count: int = msgspec.field(name="spread", default=1)
    units: int = 1
    concentration: float = msgspec.field(name="skew", default=0.0)
    move_interval: float = msgspec.field(name="moves", default=0.0)


class Fault(ScenarioLine, tag="fault", frozen=True):
    """One injected fault.

    Attributes:
        type: A key of `FAULT_TYPES`.
        at: The start of the fault, in seconds of the run.
        length: The duration of the fault, in seconds.
        target: The number of the affected gateway, endpoint, zone or customer, modulo the number
            of these in the run.
        magnitude: The magnitude of the fault, in the unit that its `FaultType` names.
    """

    type: str = msgspec.field(name="what")
    at: float
    length: float = 0.0
    target: int = msgspec.field(name="whom", default=0)
    magnitude: float = msgspec.field(name="size", default=0.0)


class Expectation(ScenarioLine, tag="expect", frozen=True):
    """The expected outcome of a replay.

    Attributes:
        broken: The rules that the run breaks; empty for none.
    """

    broken: list[str] = []


class FaultType(NamedTuple):
    """The properties of one type of fault.

    Attributes:
        targets: The objects that `Fault.target` numbers; empty when the field is unused.
        magnitude: The unit of `Fault.magnitude`; empty when the field is unused.
        min_length: The minimum duration of a generated fault, in seconds.
        max_length: The maximum duration of a generated fault, in seconds.
    """

    targets: str
    magnitude: str
    min_length: float
    max_length: float


FAULT_TYPES = {
    "gateway killed": FaultType("gateways", "", 0.0, 4.0),
    "gateway paused": FaultType("gateways", "", 0.2, 10.0),
    "gateway twice": FaultType("gateways", "", 0.3, 2.0),
    "gateway followed": FaultType("gateways", "where it is cut", 0.1, 2.0),
    "gateways killed": FaultType("", "share that is killed", 0.0, 2.0),
    "host killed": FaultType("hosts", "", 0.3, 4.0),
    "host vanished": FaultType("hosts", "", 0.5, 5.0),
    "host hangs": FaultType("hosts", "", 0.5, 5.0),
    "host slow": FaultType("hosts", "times", 1.0, 6.0),
    "host fails": FaultType("hosts", "share", 1.0, 6.0),
    "host drains": FaultType("hosts", "", 0.5, 4.0),
    "hosts drain": FaultType("", "share that drains", 0.5, 4.0),
    "zone restarts": FaultType("zones", "", 0.3, 3.0),
    "answers lost": FaultType("", "share", 0.5, 5.0),
    "messages late": FaultType("", "seconds, at most", 0.5, 5.0),
    "zone cut": FaultType("zones", "", 0.5, 8.0),
    "zone deaf": FaultType("zones", "", 0.5, 5.0),
    "zone mute": FaultType("zones", "", 0.5, 5.0),
    "counter cut": FaultType("zones", "", 0.5, 8.0),
    "counter slow": FaultType("", "times", 0.5, 5.0),
    "counter silent": FaultType("", "", 0.3, 6.0),
    "counter refuses": FaultType("", "", 0.3, 5.0),
    "counter forgets": FaultType("", "share", 0.0, 4.0),
    "counter replaced": FaultType("", "", 0.0, 4.0),
    "counter rolled back": FaultType("", "seconds", 0.0, 4.0),
    "counter split": FaultType("", "", 0.5, 6.0),
    "list late": FaultType("", "seconds more", 1.0, 6.0),
    "flood": FaultType("customers", "times its rate", 0.5, 5.0),
    "discovery refused": FaultType("", "", 3.0, 25.0),
    "discovery silent": FaultType("", "", 3.0, 25.0),
    "discovery turned away": FaultType("", "calls a second that are served", 3.0, 25.0),
}
"""The types of fault, by their names in scenario files."""


class Scenario(msgspec.Struct, frozen=True):
    """A complete scenario, from which a run can be played.

    Attributes:
        world: The size and the properties of the fleet.
        plans: The plans, at least one.
        methods: The methods, at least one.
        customers: The customers, at least one.
        faults: The faults, in any order.
        expected: The expected outcome; None when the scenario states none.
    """

    world: World
    plans: tuple[Plan, ...]
    methods: tuple[Method, ...]
    customers: tuple[Customer, ...]
    faults: tuple[Fault, ...] = ()
    expected: Expectation | None = None

    def mean_work(self) -> float:
        """Return the mean work of an RPC, in core seconds.

        Methods are weighted by their shares and customers by their rates; the units of an RPC are
        uniform from 1 to the customer's maximum.
        """
        shares = sum(method.share for method in self.methods)
        rates = sum(customer.rate for customer in self.customers) or 1.0
        units = (
            sum(customer.rate * (1 + max(1, customer.units)) / 2 for customer in self.customers)
            / rates
        )
        work = sum(method.share * method.work for method in self.methods)
        return work / shares * (0.5 + units / 2)

    def replace(self, **changes: Any) -> Scenario:  # noqa: ANN401 - any of the fields
        """Return a copy with some fields changed."""
        return msgspec.structs.replace(self, **changes)
