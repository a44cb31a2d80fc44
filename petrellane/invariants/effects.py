"""The rule `twice`: no RPC takes effect twice.

The attempts of an RPC must not overlap. A gateway may retry or reject an RPC only if no earlier
attempt can have executed, or if another execution is safe. In addition, the rule is broken if hosts
report two executions of one RPC that must not execute twice, whatever the cause.
"""

from petrellane.invariants.open_rpcs import ObservedAttempt, OpenRpc
from petrellane.invariants.parameters import (
    ALL_HOSTS,
    DEDUPLICATED,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    SAME_ZONE,
    MethodRule,
    RuleParameters,
)
from petrellane.invariants.records import AttemptSent, Id, RpcAnswered, RpcExecuted
from petrellane.invariants.verdict import DUPLICATED, ViolationLog

MIN_WINDOW_S = 1e-9  # minimum divisor; the window may be 0


class Effects:
    """Checks attempts, rejections and executions; owned by the checker of the run."""

    def __init__(self, parameters: RuleParameters, log: ViolationLog) -> None:
        """Create the rule; it adds violations to the log."""
        self._parameters = parameters
        self._log = log
        # The effect of each RPC that must not execute twice, and the host that last executed it.
        # Entries remain until the end of the run.
        self._executions: dict[Id, tuple[str, Id | None]] = {}

    def track(self, rpc: Id, method: str) -> None:
        """Track an RPC if it must not execute twice."""
        effect = self._parameters.methods[method].effect
        if effect != IDEMPOTENT:
            self._executions.setdefault(rpc, (effect, None))

    def check_execution(self, record: RpcExecuted) -> None:
        """Check an execution against earlier executions of the same RPC."""
        effect, before = self._executions.get(record.rpc, (IDEMPOTENT, None))
        if effect == IDEMPOTENT:
            return
        self._executions[record.rpc] = effect, record.host
        if before is not None:
            text = f"RPC {record.rpc} ({effect}) was executed by {before} and by {record.host}"
            self._log.add_violation(DUPLICATED, record.at, text, record.rpc)

    def check_rejection(self, rpc: OpenRpc, record: RpcAnswered) -> None:
        """Check a rejection, after which the client may send the RPC again."""
        rule = self._parameters.methods[rpc.received.method]
        executed = rpc.possibly_executed()
        is_safe = rule.effect == IDEMPOTENT or (
            rule.effect == DEDUPLICATED and rule.scope == ALL_HOSTS
        )
        if executed and not is_safe:
            text = (
                f"RPC {record.rpc} ({rule.effect}) was rejected although an attempt at "
                f"{executed[0].host} may have been executed"
            )
            self._log.add_violation(DUPLICATED, record.at, text, record.rpc)

    def check_retry(self, rpc: OpenRpc, record: AttemptSent) -> None:
        """Check an attempt that is not the first of its RPC."""
        if rpc.has_attempt_in_flight():
            text = f"RPC {record.rpc} was sent to {record.host} while another attempt is in flight"
            self._log.add_violation(DUPLICATED, record.at, text, record.rpc)
            return
        executed = rpc.possibly_executed()
        if not executed:
            return
        rule = self._parameters.methods[rpc.received.method]
        if rule.effect == NON_IDEMPOTENT:
            text = (
                f"RPC {record.rpc} (non-idempotent) was sent to {record.host} although an attempt "
                f"at {executed[0].host} may have been executed ({executed[0].outcome})"
            )
            self._log.add_violation(DUPLICATED, record.at, text, record.rpc)
        elif rule.effect == DEDUPLICATED:
            self._check_deduplicated(rule, executed[0], record)

    def _check_deduplicated(
        self, rule: MethodRule, first: ObservedAttempt, record: AttemptSent
    ) -> None:
        """Check that a retry is in the deduplication group and window of an earlier attempt."""
        age = record.at - first.sent_at
        is_inside = self._is_in_group(rule.scope, first.host, record.host)
        self._log.record_proximity(DUPLICATED, age / max(MIN_WINDOW_S, rule.window))
        if age <= rule.window and is_inside:
            return
        reason = f"outside the {rule.scope} of {first.host}"
        if is_inside:
            reason = f"{age:.3f} s after the first attempt"
        text = f"RPC {record.rpc} (deduplicated) was sent to {record.host} {reason}"
        self._log.add_violation(DUPLICATED, record.at, text, record.rpc)

    def _is_in_group(self, scope: str, first: Id, other: Id) -> bool:
        pod, zone = self._parameters.groups[first]
        other_pod, other_zone = self._parameters.groups[other]
        if scope == ALL_HOSTS:
            return True
        return zone == other_zone and (scope == SAME_ZONE or pod == other_pod)
