"""Rule `twice`: no RPC takes effect twice.

Attempts of an RPC never overlap. A retry, or a rejection, is only for what cannot have run or may
run again. Beside these, an effect that hosts report twice for one RPC is a violation, whoever is to
blame.
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

SHORTEST_WINDOW = 1e-9  # seconds, in place of a window of zero


class Effects:
    """Judges attempts, rejections and executions of one run."""

    def __init__(self, parameters: RuleParameters, log: ViolationLog) -> None:
        """Judge by these terms into a log."""
        self._parameters = parameters
        self._log = log
        # The effect of each RPC that must not run twice, and where it ran; kept to the end.
        self._executions: dict[Id, tuple[str, Id | None]] = {}

    def track(self, rpc: Id, method: str) -> None:
        """Remember an RPC that must not run twice."""
        effect = self._parameters.methods[method].effect
        if effect != IDEMPOTENT:
            self._executions.setdefault(rpc, (effect, None))

    def check_execution(self, record: RpcExecuted) -> None:
        """Judge the work of a host."""
        effect, before = self._executions.get(record.rpc, (IDEMPOTENT, None))
        if effect == IDEMPOTENT:
            return
        self._executions[record.rpc] = effect, record.host
        if before is not None:
            text = f"RPC {record.rpc} ({effect}) ran at {before} and at {record.host}"
            self._log.violated(DUPLICATED, record.at, text, record.rpc)

    def check_rejection(self, rpc: OpenRpc, record: RpcAnswered) -> None:
        """Judge a rejection, after which the client may send the RPC again."""
        rule = self._parameters.methods[rpc.received.method]
        executed = rpc.possibly_executed()
        is_safe = rule.effect == IDEMPOTENT or (
            rule.effect == DEDUPLICATED and rule.scope == ALL_HOSTS
        )
        if executed and not is_safe:
            text = (
                f"RPC {record.rpc} ({rule.effect}) was pushed back though a call-out at "
                f"{executed[0].host} may have run"
            )
            self._log.violated(DUPLICATED, record.at, text, record.rpc)

    def check_retry(self, rpc: OpenRpc, record: AttemptSent) -> None:
        """Judge an attempt that is not the first of its RPC."""
        if rpc.has_attempt_in_flight():
            text = f"RPC {record.rpc} went to {record.host} while an earlier call-out is out"
            self._log.violated(DUPLICATED, record.at, text, record.rpc)
            return
        executed = rpc.possibly_executed()
        if not executed:
            return
        rule = self._parameters.methods[rpc.received.method]
        if rule.effect == NON_IDEMPOTENT:
            text = (
                f"RPC {record.rpc} (non-idempotent) went to {record.host} though a call-out at "
                f"{executed[0].host} may have run ({executed[0].outcome})"
            )
            self._log.violated(DUPLICATED, record.at, text, record.rpc)
        elif rule.effect == DEDUPLICATED:
            self._check_deduplicated(rule, executed[0], record)

    def _check_deduplicated(
        self, rule: MethodRule, first: ObservedAttempt, record: AttemptSent
    ) -> None:
        """Judge a retry that its host discards if it is in the first one's group and window."""
        age = record.at - first.sent_at
        is_inside = self._is_in_group(rule.scope, first.host, record.host)
        self._log.approached(DUPLICATED, age / max(SHORTEST_WINDOW, rule.window))
        if age <= rule.window and is_inside:
            return
        reason = f"outside the {rule.scope} of {first.host}"
        if is_inside:
            reason = f"{age:.3f} s after the first"
        text = f"RPC {record.rpc} (deduplicated) went to {record.host} {reason}"
        self._log.violated(DUPLICATED, record.at, text, record.rpc)

    def _is_in_group(self, scope: str, first: Id, other: Id) -> bool:
        pod, zone = self._parameters.groups[first]
        other_pod, other_zone = self._parameters.groups[other]
        if scope == ALL_HOSTS:
            return True
        return zone == other_zone and (scope == SAME_ZONE or pod == other_pod)
