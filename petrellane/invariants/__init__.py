"""The operators' five rules, and two internal rules, checked from the records of a run.

A record states what a client, a host or discovery observed, never what a gateway believes. The
caller passes every record to `InvariantChecker.observe` in order of time and calls `close` at the
end. The verdict names the broken rules, and states how closely the run approached a violation of
each of the five. The simulation and the testbed produce the same types of records, so a rule has
the same meaning in both.

Times are seconds of one accurate clock. Units and work are floats. Ids are any hashable values.

- `records`: the types of records.
- `parameters`: the parameters of the rules.
- `verdict`: the names of the rules, violations, and the verdict on a run.
- `open_rpcs`, `endpoint_views`: the state that the rules keep of RPCs and of endpoint lists.
- `final_answers`, `effects`, `draining`, `cold_starts`, `hard_limits`, `generations`: the rules.
- `checker`: receives the records and applies the rules.
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
