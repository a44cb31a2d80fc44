"""The rule `ceilings`: no customer exceeds the hard limit of its plan.

Each customer has a token bucket, which fills at the plan's rate up to the plan's burst. The first
attempt of an RPC takes the RPC's units. The level must not fall below zero by more than the slack.
"""

from typing import NamedTuple

from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import Id, RpcReceived
from petrellane.invariants.verdict import HARD_LIMIT, ViolationLog

ROUNDING_TOLERANCE = 1e-6  # units by which sums of floats may differ


class Bucket(NamedTuple):
    """A customer's token bucket: its level, in units, at the time `at`."""

    level: float
    at: float


class HardLimits:
    """Checks the units that each customer uses; owned by the checker of the run.

    Attributes:
        buckets: The token buckets of the customers that have sent RPCs under a hard limit.
    """

    def __init__(self, parameters: RuleParameters, log: ViolationLog) -> None:
        """Create the rule; it adds violations to the log."""
        self.buckets: dict[Id, Bucket] = {}
        self._parameters = parameters
        self._log = log

    def consume(self, received: RpcReceived, at: float) -> None:
        """Take the units of an RPC from its customer's bucket, at its first attempt."""
        limit = self._parameters.hard_limits.get(received.plan)
        if limit is None:
            return
        before, since = self.buckets.get(received.customer, (limit.burst, at))
        filled = before + max(0.0, at - since) * limit.rate
        level = min(limit.burst, filled) - received.units
        self.buckets[received.customer] = Bucket(level, max(at, since))
        self._log.record_proximity(HARD_LIMIT, (limit.burst - level) / (limit.burst + limit.slack))
        if level < -limit.slack - ROUNDING_TOLERANCE:
            text = (
                f"customer {received.customer} exceeded its hard limit and slack by "
                f"{-level - limit.slack:.2f} units with RPC {received.rpc} at {received.gateway}"
            )
            self._log.add_violation(HARD_LIMIT, at, text, received.rpc)
