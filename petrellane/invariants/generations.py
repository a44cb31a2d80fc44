"""Rule `agreed`, of the project's own: RPCs are admitted under settings that are in force.

None is admitted under a generation that was not decided, and none that came later than the grace
after another was admitted under a later generation.
"""

from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import GenerationDecided, RpcAdmitted
from petrellane.invariants.verdict import GENERATION, ViolationLog


class Generations:
    """Judges the generations of the settings in one run."""

    def __init__(self, parameters: RuleParameters, log: ViolationLog) -> None:
        """Judge by these terms into a log."""
        self._parameters = parameters
        self._log = log
        self._first_admitted: dict[int, RpcAdmitted] = {}
        self._is_committed: dict[int, bool] = {}
        self._latest = 0
        self._latest_since = 0.0

    def check_admission(self, record: RpcAdmitted) -> None:
        """Judge an admission against the latest generation so far."""
        if record.number > self._latest:
            self._latest = record.number
            self._latest_since = record.at
        elif (
            record.number < self._latest
            and record.since > self._latest_since + self._parameters.generation_grace
        ):
            text = (
                f"{record.gateway} admitted RPC {record.rpc}, which came "
                f"{record.since - self._latest_since:.3f} s after generation {self._latest} was "
                f"in force, under generation {record.number}"
            )
            self._log.violated(GENERATION, record.at, text, record.rpc)
        self._first_admitted.setdefault(record.number, record)

    def decided(self, record: GenerationDecided) -> None:
        """Note what became of a generation."""
        self._is_committed[record.number] = record.committed

    def check_undecided(self) -> None:
        """Judge, at the end of the run, admissions under generations that were never in force."""
        for number, first in self._first_admitted.items():
            if not self._is_committed.get(number, True):
                text = (
                    f"{first.gateway} admitted RPC {first.rpc} under generation {number}, which "
                    "was never in force"
                )
                self._log.violated(GENERATION, first.at, text, first.rpc)
