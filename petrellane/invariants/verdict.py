"""Names of the rules, violations of them, and the verdict on a run."""

from dataclasses import dataclass
from typing import Final, NamedTuple

from petrellane.invariants.records import Id

# The operators' five rules, as they are named in scenario files and reports.
LOST: Final = "lost"
DUPLICATED: Final = "twice"
DRAINING: Final = "drains"
COLD_START: Final = "cold"
HARD_LIMIT: Final = "ceilings"
RULES: Final = (LOST, DUPLICATED, DRAINING, COLD_START, HARD_LIMIT)

# Two more of the project's own.
RETAINED: Final = "forgotten"
GENERATION: Final = "agreed"

AT_THE_RULE: Final = 1.0  # the distance at which a rule breaks


class Violation(NamedTuple):
    """One break of a rule: how it shows, in one line, and the RPCs that it is about."""

    rule: str
    at: float
    text: str
    rpcs: tuple[Id, ...]


@dataclass
class Verdict:
    """What came of a run.

    Attributes:
        violations: The first ones of each rule, in the order in which they were found.
        counts: How many there were of each rule that was broken.
        nearest: The nearest distance to each of the five rules; 1: at it, 0: never close.
    """

    violations: list[Violation]
    counts: dict[str, int]
    nearest: dict[str, float]


class ViolationLog:
    """Collects the violations and distances of one run; owned by its checker."""

    def __init__(self, max_per_rule: int) -> None:
        """Make an empty log that keeps so many violations of each rule and counts the others."""
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}
        self._max_per_rule = max_per_rule
        self._nearest = dict.fromkeys(RULES, 0.0)

    def violated(self, rule: str, at: float, text: str, *rpcs: Id) -> None:
        """Note that a rule was broken."""
        self.counts[rule] = self.counts.get(rule, 0) + 1
        if rule in self._nearest:
            self.approached(rule, AT_THE_RULE)
        if self.counts[rule] <= self._max_per_rule:
            self.violations.append(Violation(rule, at, text, rpcs))

    def approached(self, rule: str, distance: float) -> None:
        """Note how near the run came to one of the five rules."""
        self._nearest[rule] = max(self._nearest[rule], min(distance, AT_THE_RULE))

    def verdict(self) -> Verdict:
        """Return the verdict so far."""
        return Verdict(self.violations, dict(self.counts), dict(self._nearest))
