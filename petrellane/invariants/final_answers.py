"""Rule `lost`: each RPC gets exactly one final answer, in time, and nothing is sent after it.

An RPC has one final answer by its deadline and the slack. A killed gateway owes nothing, nor does
one that is paused for what falls due before it is resumed.
"""

from petrellane.invariants.open_rpcs import OpenRpc
from petrellane.invariants.records import AttemptSent, Id, RpcAnswered, RpcReceived
from petrellane.invariants.verdict import LOST, ViolationLog

SHORTEST_WAIT = 1e-9  # seconds, in place of a wait of zero


class FinalAnswers:
    """Judges the final answers of one run."""

    def __init__(self, log: ViolationLog) -> None:
        """Judge into a log."""
        self._log = log

    def received_again(self, record: RpcReceived) -> None:
        """Note an RPC that is received while it is open."""
        self._log.violated(LOST, record.at, f"RPC {record.rpc} was taken twice", record.rpc)

    def answered_again(self, record: RpcAnswered) -> None:
        """Note an answer to an RPC that has one, or that is not open."""
        text = f"RPC {record.rpc} has a second final answer, {record.answer}"
        self._log.violated(LOST, record.at, text, record.rpc)

    def check_answer(self, rpc: OpenRpc, record: RpcAnswered) -> None:
        """Judge when an RPC got its answer."""
        if not rpc.is_owed:
            return
        if record.at > rpc.due:
            late = record.at - rpc.due
            text = f"RPC {record.rpc} was answered {late:.3f} s past deadline and slack"
            self._log.violated(LOST, record.at, text, record.rpc)
        else:
            received_at = rpc.received.at
            wait = record.at - received_at
            self._log.approached(LOST, wait / max(SHORTEST_WAIT, rpc.due - received_at))

    def sent_after_end(self, record: AttemptSent) -> None:
        """Note an attempt for an RPC that is over."""
        text = f"{record.gateway} sent RPC {record.rpc} to {record.host} after its end"
        self._log.violated(LOST, record.at, text, record.rpc)

    def check_unanswered(self, rpc: OpenRpc, at: float, paused: set[Id]) -> None:
        """Judge an RPC that is open at the end of the run, at `at`."""
        is_overdue = rpc.is_owed and not rpc.is_answered and at > rpc.due
        received = rpc.received
        if is_overdue and received.gateway not in paused:
            text = f"{received.gateway} took RPC {received.rpc} and gave no final answer"
            self._log.violated(LOST, rpc.due, text, received.rpc)
