"""Rule `ceilings`: no customer exceeds its plan's hard limit.

Each customer has a token bucket, filled at the plan's rate, and never drawn below minus its slack
by first attempts.
"""

from typing import NamedTuple

from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import Id, RpcReceived
from petrellane.invariants.verdict import HARD_LIMIT, ViolationLog

ROUNDING = 1e-6  # units by which sums of floats may differ


class Bucket(NamedTuple):
    """A customer's token bucket: the units in it at a time."""

    level: float
    at: float


class HardLimits:
    """Judges the units of one run; `buckets` has the one of each customer that was seen."""

    def __init__(self, parameters: RuleParameters, log: ViolationLog) -> None:
        """Judge by these terms into a log."""
        self.buckets: dict[Id, Bucket] = {}
        self._parameters = parameters
        self._log = log

    def draw(self, received: RpcReceived, at: float) -> None:
        """Take an RPC's units from its customer's bucket, at its first attempt."""
        limit = self._parameters.hard_limits.get(received.plan)
        if limit is None:
            return
        before, since = self.buckets.get(received.customer, (limit.burst, at))
        filled = before + max(0.0, at - since) * limit.rate
        level = min(limit.burst, filled) - received.units
        self.buckets[received.customer] = Bucket(level, max(at, since))
        self._log.approached(HARD_LIMIT, (limit.burst - level) / (limit.burst + limit.slack))
        if level < -limit.slack - ROUNDING:
            text = (
                f"customer {received.customer} is {-level - limit.slack:.2f} units past its "
                f"ceiling and slack with RPC {received.rpc} at {received.gateway}"
            )
            self._log.violated(HARD_LIMIT, at, text, received.rpc)
