"""The parameters of the rules: grace periods, budgets, and properties of methods and plans."""

import math
from dataclasses import dataclass
from typing import Final

from petrellane.invariants.records import Id

# Effects of a method.
IDEMPOTENT: Final = "idempotent"
DEDUPLICATED: Final = "deduplicated"
NON_IDEMPOTENT: Final = "non-idempotent"

# Groups of hosts that discard repeats of a deduplicated RPC.
ALL_HOSTS: Final = "all"
SAME_ZONE: Final = "zone"


@dataclass(frozen=True)
class MethodRule:
    """The properties of a method on which the rules depend.

    Attributes:
        effect: The idempotency of the method: IDEMPOTENT, DEDUPLICATED or NON_IDEMPOTENT.
        scope: The group of hosts that discard repeats of an RPC: ALL_HOSTS, SAME_ZONE, or any other
            value for the hosts of one pod.
        window: The time for which they discard repeats, in seconds.
    """

    effect: str = NON_IDEMPOTENT
    scope: str = ""
    window: float = 0.0


@dataclass(frozen=True)
class HardLimit:
    """A plan's hard limit: rate in units per second, burst and slack in units."""

    rate: float
    burst: float
    slack: float


@dataclass(frozen=True)
class RuleParameters:
    """The parameters of the rules for one run; times are in seconds.

    Attributes:
        methods: The rule of each method.
        hard_limits: The hard limit of each plan that has one.
        groups: The (pod, zone) of each host.
        answer_slack: The time after its deadline during which an RPC may still get its final
            answer.
        drain_grace: The time after a notification during which a gateway may still send attempts to
            a draining host.
        cold: The time for which a host warms up after its start.
        cold_from: The fraction of its capacity that a host has at its start.
        multiple: The load above which a cold host is overloaded, as a multiple of its current
            capacity.
        overload_for: The span over which that load is summed.
        mean_work: The mean work of an RPC over all requests, in core seconds; 0 selects the mean of
            the RPCs in the span.
        generation_grace: The time after the first admission under a generation of the settings
            during which clients may send RPCs that are still admitted under an earlier one.
        max_violations: The number of violations of each rule that are kept; further ones are only
            counted.
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
        """Return how many RPCs of mean work may reach a cold host in a span of `overload_for`.

        If the host's current capacity permits N RPCs, the budget is N + 2 sqrt(N) + 2. The
        additional terms allow for random variation of the sum over all gateways, regardless of
        their number.

        Args:
            age: The time since the host's start, in seconds.
            capacity: The capacity of the host when warm, in core seconds per second.
            mean: The mean work of an RPC, in core seconds.
        """
        warmth = self.cold_from + (1 - self.cold_from) * age / self.cold
        allowed = self.multiple * warmth * capacity * self.overload_for / mean
        return allowed + 2 * math.sqrt(allowed) + 2
