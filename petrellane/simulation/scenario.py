"""What a run is made of: sizes of the fleet, plans, methods, customers and faults.

Times are seconds of the run, which begins at 0; units are those of the plans. The names of a
scenario file differ from those of the code where the file's are older: `msgspec.field(name=...)`
translates, and the tags name the kind of a line. `scenario_files` reads and writes the files.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec


class ScenarioLine(
    msgspec.Struct, tag_field="kind", forbid_unknown_fields=True, omit_defaults=True, frozen=True
):
    """One line of a scenario file."""


class World(ScenarioLine, tag="world", frozen=True):
    """Sizes and figures of the fleet.

    Attributes:
        model: The version of the simulation that the scenario was written for.
        seed: Of all random numbers of the run.
        length: Seconds for which clients send.
        gateways: How many gateways there are.
        endpoints: How many endpoints there are.
        zones: Over how many zones both are spread.
        pod: Endpoints of a zone that share a memory of idempotency keys.
        cores: Of each endpoint; work is core seconds.
        slots: RPCs that an endpoint works on at once.
        queue: RPCs that wait there.
        cancel: Whether abandoned work is stopped.
        latency: Seconds one way within a zone, and twice that across zones.
        jitter: A message takes longer by up to this fraction.
        connection_reuse: Fraction of attempts that find an open connection.
        clock_skew: Clocks of gateways are off by up to so many seconds.
        detection_delay: Maximum of seconds until the front and discovery detect a death.
        exponential: Whether work is drawn exponentially, in place of evenly around its mean.
        retries: Of a client.
        patience: Fraction of the deadline that a client waits for one RPC.
        counter_parts: Parts of the counter, which serve side by side.
        counter_per_s: Adds a second that the counter serves.
        counter_timeout: Seconds that a gateway waits for it.
        slow_start: Seconds that an endpoint warms up.
        slow_start_minimum: Fraction of its capacity that it has at its start.
        multiple: Multiple of its present capacity under which a cold endpoint collapses.
        overload_for: Seconds over which that load is summed.
        drain_grace: Seconds after a notification in which attempts may go to a draining endpoint.
        max_attempts: For one RPC.
        may_cancel: Whether gateways cancel attempts.
        max_retry_after: Maximum of seconds that a rejected client is asked to wait.
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
    """One plan; the figures mean what they mean in `petrellane.decisions.types.Plan`.

    Attributes:
        name: Customers refer to it.
        rate: Quota in units a second; 0 for no quota.
        burst: Units that a full quota holds.
        hard_limit_rate: In units a second; 0 for no hard limit.
        hard_limit_burst: Units that a full hard limit holds.
        hard_limit_slack: Units by which it may be passed.
        max_in_flight: Maximum of attempts in flight; 0 for no maximum.
        price: What one unit is worth.
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
        name: Of the method.
        effect: What running it twice does, as in `petrellane.decisions.types.Effect`.
        share: Its weight among the RPCs that clients send.
        work: Mean work, in core seconds.
        latency_objective: Seconds within which an answer is worth `priority_weight`.
        deadline: Seconds after which a client gives up.
        key_scope: Which endpoints share an idempotency key.
        key_window: Seconds for which they remember it.
        priority_weight: Worth of an answer in time.
        late_priority_weight: Worth of a later answer, as a fraction of it.
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
        name: Of the customer.
        plan: The name of its plan.
        rate: RPCs a second.
        first_gateway: The number of the first gateway that it comes through.
        gateway_count: How many gateways it comes through, from that one on.
        units: Maximum of units of an RPC.
        concentration: 0: its RPCs come evenly, 1: all through one gateway, its preferred one.
        move_interval: Seconds until another gateway is the preferred one; 0: never.
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
    """Something that goes wrong for a while; `FAULT_TYPES` has its kinds.

    Attributes:
        type: A key of `FAULT_TYPES`.
        at: When it begins.
        length: Seconds until it ends.
        target: The number of what it befalls.
        magnitude: Its size, in the unit that its kind names.
    """

    type: str = msgspec.field(name="what")
    at: float
    length: float = 0.0
    target: int = msgspec.field(name="whom", default=0)
    magnitude: float = msgspec.field(name="size", default=0.0)


class Expectation(ScenarioLine, tag="expect", frozen=True):
    """What a replay is to show: the rules that are broken, none when empty."""

    broken: list[str] = []


class FaultType(NamedTuple):
    """A kind of fault.

    Attributes:
        targets: What `Fault.target` counts; empty where it has no meaning.
        magnitude: The unit of `Fault.magnitude`; empty where it has no meaning.
        min_length: Minimum of the seconds that a generated fault lasts.
        max_length: Maximum of them.
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
"""The kinds of fault, by their names in scenario files."""


class Scenario(msgspec.Struct, frozen=True):
    """A complete run, ready to be played.

    Attributes:
        world: Sizes and figures of the fleet.
        plans: At least one.
        methods: At least one.
        customers: At least one.
        faults: In any order.
        expected: What a replay is to show; None where nothing is expected.
    """

    world: World
    plans: tuple[Plan, ...]
    methods: tuple[Method, ...]
    customers: tuple[Customer, ...]
    faults: tuple[Fault, ...] = ()
    expected: Expectation | None = None

    def mean_work(self) -> float:
        """Core seconds of an RPC, over all that clients ask for.

        The mean over methods by their shares, and over units from 1 to a customer's maximum.
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
        """The same with some fields changed."""
        return msgspec.structs.replace(self, **changes)
