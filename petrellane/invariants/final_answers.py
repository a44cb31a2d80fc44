"""The rule `lost`: each RPC gets exactly one final answer in time, and no attempt follows it.

The answer is due at the RPC's deadline plus `RuleParameters.answer_slack`. A gateway that was
killed has to answer no RPC. A gateway that was paused does not have to answer RPCs whose deadline
passed before it resumed; its other answers are due no earlier than the slack after it resumed.
"""

from petrellane.invariants.open_rpcs import OpenRpc
from petrellane.invariants.records import AttemptSent, Id, RpcAnswered, RpcReceived
from petrellane.invariants.verdict import LOST, ViolationLog

MIN_WAIT_S = 1e-9  # minimum divisor; the wait may be 0


class FinalAnswers:
    """Checks the final answers; owned by the checker of the run."""

    def __init__(self, log: ViolationLog) -> None:
        """Create the rule; it adds violations to the log."""
        self._log = log

    def report_repeated_receipt(self, record: RpcReceived) -> None:
        """Report an RPC that a gateway receives although the RPC is already open."""
        self._log.add_violation(LOST, record.at, f"RPC {record.rpc} was received twice", record.rpc)

    def report_repeated_answer(self, record: RpcAnswered) -> None:
        """Report an answer to an RPC that already has one, or that is not open."""
        text = f"RPC {record.rpc} has a second final answer, {record.answer}"
        self._log.add_violation(LOST, record.at, text, record.rpc)

    def check_answer(self, rpc: OpenRpc, record: RpcAnswered) -> None:
        """Check the time of an answer."""
        if not rpc.needs_answer:
            return
        if record.at > rpc.answer_due_at:
            late = record.at - rpc.answer_due_at
            text = f"RPC {record.rpc} was answered {late:.3f} s after its deadline and the slack"
            self._log.add_violation(LOST, record.at, text, record.rpc)
        else:
            received_at = rpc.received.at
            wait = record.at - received_at
            self._log.record_proximity(
                LOST, wait / max(MIN_WAIT_S, rpc.answer_due_at - received_at)
            )

    def report_late_attempt(self, record: AttemptSent) -> None:
        """Report an attempt of an RPC that has ended."""
        text = f"{record.gateway} sent RPC {record.rpc} to {record.host} after its end"
        self._log.add_violation(LOST, record.at, text, record.rpc)

    def check_unanswered(self, rpc: OpenRpc, at: float, paused: set[Id]) -> None:
        """Check an RPC that is open at the end of the run, at the time `at`."""
        is_overdue = rpc.needs_answer and not rpc.is_answered and at > rpc.answer_due_at
        received = rpc.received
        if is_overdue and received.gateway not in paused:
            text = f"{received.gateway} received RPC {received.rpc} and sent no final answer"
            self._log.add_violation(LOST, rpc.answer_due_at, text, received.rpc)
