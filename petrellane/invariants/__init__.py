"""The operators' five rules, judged from records alone.

A record is what a client, a host or discovery observed, never what a gateway believes. Hand every
record to `InvariantChecker.observe` in the order of time and call `close` at the end; the verdict
names what was broken, and how near the run came to each rule. The simulation and the testbed hand
in the same records, so a rule means the same in both.

Times are seconds of one true clock, units and work are floats, ids are any hashable values.

- `records`: the typed records.
- `parameters`: the figures of the rules.
- `verdict`: names of the rules, violations, and what comes of a run.
- `open_rpcs`, `endpoint_views`: what the rules need to remember of RPCs and of endpoint lists.
- `final_answers`, `effects`, `draining`, `cold_starts`, `hard_limits`, `generations`: the rules.
- `checker`: takes the records and applies the rules.
"""

from petrellane.invariants.checker import InvariantChecker
from petrellane.invariants.parameters import (
    DEDUPLICATED,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    HardLimit,
    MethodRule,
    RuleParameters,
)
from petrellane.invariants.records import (
    ABORTED,
    OK,
    READY,
    REJECTED,
    AttemptArrived,
    AttemptEnded,
    AttemptSent,
    ClientDisconnected,
    EndpointNotified,
    EndpointStarted,
    GatewayLifecycle,
    GenerationDecided,
    Record,
    RpcAdmitted,
    RpcAnswered,
    RpcExecuted,
    RpcReceived,
    StateRetained,
)
from petrellane.invariants.verdict import (
    COLD_START,
    DRAINING,
    DUPLICATED,
    GENERATION,
    HARD_LIMIT,
    LOST,
    RETAINED,
    RULES,
    Verdict,
    Violation,
)

__all__ = [
    "ABORTED",
    "COLD_START",
    "DEDUPLICATED",
    "DRAINING",
    "DUPLICATED",
    "GENERATION",
    "HARD_LIMIT",
    "IDEMPOTENT",
    "LOST",
    "NON_IDEMPOTENT",
    "OK",
    "READY",
    "REJECTED",
    "RETAINED",
    "RULES",
    "AttemptArrived",
    "AttemptEnded",
    "AttemptSent",
    "ClientDisconnected",
    "EndpointNotified",
    "EndpointStarted",
    "GatewayLifecycle",
    "GenerationDecided",
    "HardLimit",
    "InvariantChecker",
    "MethodRule",
    "Record",
    "RpcAdmitted",
    "RpcAnswered",
    "RpcExecuted",
    "RpcReceived",
    "RuleParameters",
    "StateRetained",
    "Verdict",
    "Violation",
]
