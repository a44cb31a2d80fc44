"""Names of the rules, violations of them, and the verdict on a run."""

from dataclasses import dataclass
from typing import Final, NamedTuple

from petrellane.invariants.records import Id

# The operators' five rules, by their names in scenario files and reports.
LOST: Final = "lost"
DUPLICATED: Final = "twice"
DRAINING: Final = "drains"
COLD_START: Final = "cold"
HARD_LIMIT: Final = "ceilings"
RULES: Final = (LOST, DUPLICATED, DRAINING, COLD_START, HARD_LIMIT)

# Two internal rules.
RETAINED: Final = "forgotten"
GENERATION: Final = "agreed"

MAX_PROXIMITY: Final = 1.0  # the proximity at which a rule is broken


class Violation(NamedTuple):
    """One violation of a rule: its description in one line, and the ids of the RPCs involved."""

    rule: str
    at: float
    text: str
    rpcs: tuple[Id, ...]


@dataclass
class Verdict:
    """The result of checking a run.

    Attributes:
        violations: The first violations of each rule, in the order of detection.
        counts: The number of violations of each broken rule.
        nearest: The highest proximity to a violation of each of the five rules, from 0 to 1, which
            means that the limit was reached.
    """

    violations: list[Violation]
    counts: dict[str, int]
    nearest: dict[str, float]


class ViolationLog:
    """Collects the violations of one run and its proximity to each limit; owned by its checker."""

    def __init__(self, max_per_rule: int) -> None:
        """Create an empty log, which keeps `max_per_rule` violations and counts the others."""
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}
        self._max_per_rule = max_per_rule
        self._nearest = dict.fromkeys(RULES, 0.0)

    def add_violation(self, rule: str, at: float, text: str, *rpcs: Id) -> None:
        """Add a violation of a rule."""
        self.counts[rule] = self.counts.get(rule, 0) + 1
        if rule in self._nearest:
            self.record_proximity(rule, MAX_PROXIMITY)
        if self.counts[rule] <= self._max_per_rule:
            self.violations.append(Violation(rule, at, text, rpcs))

    def record_proximity(self, rule: str, proximity: float) -> None:
        """Record the proximity of the run to a violation of one of the five rules."""
        self._nearest[rule] = max(self._nearest[rule], min(proximity, MAX_PROXIMITY))

    def verdict(self) -> Verdict:
        """Return the verdict so far."""
        return Verdict(self.violations, dict(self.counts), dict(self._nearest))
