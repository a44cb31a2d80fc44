"""One line of what a role costs at the planned size, and its verdict against a budget."""

from __future__ import annotations

from dataclasses import dataclass

from petrellane.testbed.capacity.figures import NOT_MEASURED, Figure, format_value
from petrellane.testbed.capacity.measurements import Measurements

SHOWN_FRACTION_MINIMUM = 0.001  # a smaller fraction of a budget is shown as "under 0.1%"


@dataclass(frozen=True)
class Cost:
    """One line of what a role costs.

    Attributes:
        role: The role, as the page names it.
        description: What is counted.
        figure: Its value at the planned size.
        unit: The unit of the value.
        budget: The name of the budget that limits it; empty where there is none.
    """

    role: str
    description: str
    figure: Figure
    unit: str
    budget: str = ""

    def budget_factor(self, inputs: Measurements) -> float | None:
        """Return how many times the budget this is; None without a budget or a value."""
        if not self.budget or self.figure.value is None:
            return None
        return self.figure.value / inputs.budget(self.budget).value

    def verdict(self, inputs: Measurements) -> str:
        """Return whether the budget is met or missed, and by what factor."""
        if not self.budget:
            return ""
        factor = self.budget_factor(inputs)
        if factor is None:
            return NOT_MEASURED
        if factor > 1.0:
            return f"**missed**, {format_value(factor)} times"
        if factor >= SHOWN_FRACTION_MINIMUM:
            return f"met, {format_value(factor * 100)}% of it"
        return "met, under 0.1% of it"

    def budget_text(self, inputs: Measurements) -> str:
        """Return the budget as text; empty where there is none."""
        if not self.budget:
            return ""
        budget = inputs.budget(self.budget)
        return format_value(budget.value, budget.unit)
