"""The description of a fleet, and the settings and invariant parameters derived from it."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import Any

from petrellane import invariants
from petrellane.testbed.clients import Customer, Method

MICROSECONDS = 1_000_000  # per second; durations in the settings file are in microseconds
EFFECTS = {
    invariants.IDEMPOTENT: "pure",
    invariants.DEDUPLICATED: "token",
    invariants.NON_IDEMPOTENT: "side_effect",
}
ANSWER_SLACK_S = 0.15  # maximum delay after the deadline at which a client reads the answer
DRAIN_GRACE_S = 1.5
# Units admitted in this time at the limit's rate are tolerated, as the clocks of the counter and
# the clients differ.
HARD_LIMIT_SLACK_S = 0.15
DEFAULT_CUSTOMERS = 8
DEFAULT_ATTEMPTS = 4

Settings = dict[str, Any]  # the content of the settings file

LOOK = {
    "name": "look",
    "effect": "pure",
    "goalTime": MICROSECONDS,
    "giveUp": 2 * MICROSECONDS,
    "worth": 1,
    "lateWorth": 0.5,
}
LODGE = {
    "name": "lodge",
    "effect": "token",
    "keyScope": "all",
    "window": 4 * MICROSECONDS,
    "goalTime": MICROSECONDS,
    "giveUp": 2 * MICROSECONDS,
    "worth": 2,
    "lateWorth": 0.5,
}
POST = {
    "name": "post",
    "effect": "side_effect",
    "goalTime": MICROSECONDS,
    "giveUp": 2 * MICROSECONDS,
    "worth": 3,
}


@dataclass(frozen=True)
class SettingsSpec:
    """The variable parts of a run's settings.

    Attributes:
        gateways: The number of gateways.
        extra_methods: The names of idempotent methods in addition to look, lodge and post.
        without: The names of methods to omit.
        attempts: The maximum number of attempts per RPC.
        quota: The quota of the plan `sold`, in units per second.
        hard_limit: The hard limit of the plan `sold`, in units per second; 0 for none.
        slow_start_s: The time that a host takes to warm up, in seconds.
        slow_start_minimum: The share of its full load that a host gets when it starts.
    """

    gateways: int
    extra_methods: Sequence[str] = ()
    without: Collection[str] = ()
    attempts: int = DEFAULT_ATTEMPTS
    quota: float = 0.0
    hard_limit: float = 0.0
    slow_start_s: float = 0.0
    slow_start_minimum: float = 1.0


def build_settings(spec: SettingsSpec) -> Settings:
    """Return settings with the methods of a spec and the plans `free` and `sold`."""
    methods = [dict(row) for row in (LOOK, LODGE, POST)]
    methods += [
        {
            "name": name,
            "effect": "pure",
            "goalTime": MICROSECONDS,
            "giveUp": 2 * MICROSECONDS,
            "worth": 1,
        }
        for name in spec.extra_methods
    ]
    return {
        "classes": [row for row in methods if row["name"] not in spec.without],
        "contracts": [{"name": "free", "pays": 1}, _sold_plan(spec)],
        "familyInfo": {"mayCount": True, "counterTimeout": 80_000},
        "limits": {
            "connIdle": 30 * MICROSECONDS,
            "dialTimeout": 250_000,
            "maxAttempts": spec.attempts,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500_000,
            "streamsPerConn": 4,
        },
        "obligations": {
            "cold": int(spec.slow_start_s * MICROSECONDS),
            "coldFrom": spec.slow_start_minimum,
        },
        "discovery": "push",
        "replicasOfMe": spec.gateways,
    }


def _sold_plan(spec: SettingsSpec) -> dict[str, Any]:
    plan = {"name": "sold", "quotaRate": spec.quota, "storeSize": 2 * spec.quota, "pays": 1}
    if spec.hard_limit:
        plan["ceilingRate"] = spec.hard_limit
        plan["ceilingBurst"] = spec.hard_limit
        plan["ceilingSlack"] = spec.hard_limit / 10
    return plan


def _default_methods() -> list[Method]:
    return [
        Method("look", 0.6),
        Method("lodge", 0.25, invariants.DEDUPLICATED),
        Method("post", 0.15, invariants.NON_IDEMPOTENT),
    ]


@dataclass
class FleetSpec:
    """The description of a fleet.

    Attributes:
        gateways: The number of gateways.
        hosts: The number of hosts.
        seed: The seed of all random draws.
        agreement: Whether settings change through a control process.
        relays: The kinds of routes that have relays, on which faults can be injected: "clients",
            "counter", "discovery", "hosts" (a relay for each pair of gateway and host), "agents"
            (control processes and gateways to gateways), "agents-of-control" (control processes
            to gateways).
        settings: The settings of the gateways; None for those of `build_settings`.
        work: The mean work of an RPC, in seconds.
        slots: The maximum number of RPCs that a host runs concurrently.
        queue: The maximum number of RPCs that wait at a host.
        rate: The load, in RPCs per second.
        methods: The methods that clients call.
        customers: The customers; None for eight of the plan `free`, each through all gateways.
        generation_by_method: The generation of the settings that contains a method, by method; for
            methods that only one generation contains.
        holds_listeners: Whether the fleet holds the gateways' listening sockets, which hot restarts
            need.
    """

    gateways: int = 3
    hosts: int = 6
    seed: int = 1
    agreement: bool = False
    relays: Collection[str] = ("clients", "counter", "discovery", "agents")
    settings: Settings | None = None
    work: float = 0.02
    slots: int = 8
    queue: int = 32
    rate: float = 100.0
    methods: list[Method] = field(default_factory=_default_methods)
    customers: list[Customer] | None = None
    generation_by_method: dict[str, int] = field(default_factory=dict)
    holds_listeners: bool = False

    def customers_or_default(self) -> list[Customer]:
        """Return the customers of the load."""
        return self.customers or [
            Customer(
                number + 1,
                "free",
                first_gateway=number % self.gateways,
                gateway_count=self.gateways,
            )
            for number in range(DEFAULT_CUSTOMERS)
        ]


def build_terms(spec: FleetSpec, settings: Settings) -> invariants.RuleParameters:
    """Return the parameters of the invariants for a fleet with these settings."""
    effects = {word: effect for effect, word in EFFECTS.items()}
    methods = {method.name: invariants.MethodRule(method.effect) for method in spec.methods}
    for row in settings["classes"]:
        methods[row["name"]] = invariants.MethodRule(
            effects[row["effect"]], row.get("keyScope", ""), row.get("window", 0) / MICROSECONDS
        )
    hard_limits = {
        row["name"]: invariants.HardLimit(
            row["ceilingRate"],
            row["ceilingBurst"],
            row["ceilingSlack"] + HARD_LIMIT_SLACK_S * row["ceilingRate"],
        )
        for row in settings["contracts"]
        if row.get("ceilingRate")
    }
    return invariants.RuleParameters(
        methods,
        hard_limits,
        {},
        answer_slack=ANSWER_SLACK_S,
        drain_grace=DRAIN_GRACE_S,
        cold=settings["obligations"]["cold"] / MICROSECONDS,
        cold_from=settings["obligations"]["coldFrom"],
        mean_work=spec.work,
    )
