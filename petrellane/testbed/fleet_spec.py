"""What a fleet is made of, and the settings and rules that follow from it."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import Any

from petrellane import invariants
from petrellane.testbed.clients import Customer, Method

MICROSECONDS = 1_000_000  # of a second: the unit of the settings file
EFFECTS = {
    invariants.IDEMPOTENT: "pure",
    invariants.DEDUPLICATED: "token",
    invariants.NON_IDEMPOTENT: "side_effect",
}
ANSWER_SLACK_S = 0.15  # an answer may be read so much after its deadline
DRAIN_GRACE_S = 1.5
HARD_LIMIT_SLACK_S = 0.15  # of the limit's rate, as clocks of counter and clients differ
DEFAULT_CUSTOMERS = 8
DEFAULT_ATTEMPTS = 4

Settings = dict[str, Any]  # as the settings file has them

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
    """What the settings of a run say.

    Attributes:
        gateways: How many gateways there are.
        extra_methods: Names of idempotent methods beside look, lodge and post.
        without: Names of methods that are left out.
        attempts: Attempts of an RPC at most.
        quota: Units a second of the plan `sold`.
        hard_limit: Its hard limit in units a second; 0 for none.
        slow_start_s: Seconds that a host takes to warm up.
        slow_start_minimum: The share of load that it gets when it starts.
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
    """Return settings with up to three methods and more, and the plans `free` and `sold`."""
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
    """What a fleet is made of.

    Attributes:
        gateways: How many gateways.
        hosts: How many hosts.
        seed: Of all draws.
        agreement: Whether settings change through a control process.
        relays: Between which kinds of party faults can be injected, of "clients", "counter",
            "discovery", "hosts" (one for each gateway and host), "agents" (control processes and
            gateways to gateways), "agents-of-control" (control processes alone).
        settings: Of the gateways; None for those of `build_settings`.
        work: Mean seconds of work of an RPC.
        slots: RPCs that a host runs at a time.
        queue: RPCs that wait there at most.
        rate: RPCs a second.
        methods: What clients ask.
        customers: Who asks; None for eight of the plan `free`, each through all gateways.
        proves: By method, the one generation of the settings that has it.
        follow: Whether the fleet holds the gateways' listening sockets, so that one process of a
            gateway can succeed another.
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
    proves: dict[str, int] = field(default_factory=dict)
    follow: bool = False

    def customers_or_default(self) -> list[Customer]:
        """Return who asks."""
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
    """Return the figures of the invariants for a fleet with these settings."""
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
