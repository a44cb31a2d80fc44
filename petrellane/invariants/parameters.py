"""The figures of the rules: grace periods, budgets, and what is known of methods and plans."""

import math
from dataclasses import dataclass
from typing import Final

from petrellane.invariants.records import Id

# Effects of a method.
IDEMPOTENT: Final = "idempotent"
DEDUPLICATED: Final = "deduplicated"
NON_IDEMPOTENT: Final = "non-idempotent"

# Groups of hosts within which repeats of a deduplicated RPC are discarded.
ALL_HOSTS: Final = "all"
SAME_ZONE: Final = "zone"


@dataclass(frozen=True)
class MethodRule:
    """What the rules need to know of a method.

    `scope` names the group of hosts that discard repeats of an RPC (all of them, those of one zone,
    or else of one pod), and `window` for how many seconds.
    """

    effect: str = NON_IDEMPOTENT
    scope: str = ""
    window: float = 0.0


@dataclass(frozen=True)
class HardLimit:
    """A plan's hard limit: units a second, units at once, and units of slack."""

    rate: float
    burst: float
    slack: float


@dataclass(frozen=True)
class RuleParameters:
    """The figures of the rules of one run; times are seconds.

    Attributes:
        methods: The rule of each method.
        hard_limits: The hard limit of each plan that has one.
        groups: The (pod, zone) of each host.
        answer_slack: How long after its deadline an RPC may still get its final answer.
        drain_grace: How long after a notification attempts may still go to a draining host.
        cold: How long a host warms up after its start.
        cold_from: The fraction of its capacity that a host has at its start.
        multiple: The multiple of its present capacity under which a cold host collapses.
        overload_for: The span over which that load is summed.
        mean_work: Core seconds of an RPC, over all that clients ask; 0: the mean of the span.
        generation_grace: For how long after an admission under one generation of the settings an
            RPC that comes may still be admitted under an earlier one.
        max_violations: How many violations of each rule are kept; more are counted.
    """

    methods: dict[str, MethodRule]
    hard_limits: dict[str, HardLimit]
    groups: dict[Id, tuple[Id, Id]]
    answer_slack: float = 0.05
    drain_grace: float = 1.0
    cold: float = 10.0
    cold_from: float = 0.25
    multiple: float = 2.0
    overload_for: float = 1.5
    mean_work: float = 0.0
    generation_grace: float = 0.5
    max_violations: int = 20

    def cold_budget(self, age: float, capacity: float, mean: float) -> float:
        """Return how many RPCs a cold host bears in a span of `overload_for`.

        Of the N that its capacity gives, it bears N + 2 sqrt(N) + 2: the two further terms are for
        chance, for the sum over all gateways, however many there are.

        Args:
            age: Seconds since its start.
            capacity: Core seconds a second when warm.
            mean: Core seconds of an RPC.
        """
        warmth = self.cold_from + (1 - self.cold_from) * age / self.cold
        allowed = self.multiple * warmth * capacity * self.overload_for / mean
        return allowed + 2 * math.sqrt(allowed) + 2
