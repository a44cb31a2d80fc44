"""The internal rule `agreed`: gateways admit RPCs only under settings that are in force.

No gateway admits an RPC under a generation that was not committed. If a client sends an RPC more
than `RuleParameters.generation_grace` after the first admission under a generation, no gateway
admits that RPC under an earlier generation.
"""

from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import GenerationDecided, RpcAdmitted
from petrellane.invariants.verdict import GENERATION, ViolationLog


class Generations:
    """Checks the generations of the settings; owned by the checker of the run."""

    def __init__(self, parameters: RuleParameters, log: ViolationLog) -> None:
        """Create the rule; it adds violations to the log."""
        self._parameters = parameters
        self._log = log
        self._first_admitted: dict[int, RpcAdmitted] = {}
        self._is_committed: dict[int, bool] = {}
        self._latest = 0
        self._latest_since = 0.0

    def check_admission(self, record: RpcAdmitted) -> None:
        """Check an admission against the latest generation so far."""
        if record.number > self._latest:
            self._latest = record.number
            self._latest_since = record.at
        elif (
            record.number < self._latest
            and record.since > self._latest_since + self._parameters.generation_grace
        ):
            text = (
                f"{record.gateway} admitted RPC {record.rpc} under generation {record.number}, but "
                f"the RPC was sent {record.since - self._latest_since:.3f} s after generation "
                f"{self._latest} was in force"
            )
            self._log.add_violation(GENERATION, record.at, text, record.rpc)
        self._first_admitted.setdefault(record.number, record)

    def record_decision(self, record: GenerationDecided) -> None:
        """Record whether a generation was committed."""
        self._is_committed[record.number] = record.committed

    def check_uncommitted(self) -> None:
        """Check, at the end of the run, for admissions under generations that never committed."""
        for number, first in self._first_admitted.items():
            if not self._is_committed.get(number, True):
                text = (
                    f"{first.gateway} admitted RPC {first.rpc} under generation {number}, which "
                    "was never in force"
                )
                self._log.add_violation(GENERATION, first.at, text, first.rpc)
