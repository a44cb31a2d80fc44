"""A table of text, the tables of the roles' costs, and the tables that list the inputs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from petrellane.testbed.capacity.costs import Cost
from petrellane.testbed.capacity.figures import NOT_MEASURED, format_sources, format_value
from petrellane.testbed.capacity.measurements import JsonObject, Measurements

Cells = tuple[str, ...]


@dataclass(frozen=True)
class Table:
    """A table of the page: its name, the headings, and rows of as many cells."""

    name: str
    headings: Cells
    rows: tuple[Cells, ...]

    def text(self) -> str:
        """Return the table in Markdown."""
        lines = (self.headings, ("---",) * len(self.headings), *self.rows)
        return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def cost_table(name: str, costs: Sequence[Cost], inputs: Measurements) -> Table:
    """Return the table of one role's costs."""
    return Table(
        name,
        ("what", "at that size", "budget", "verdict", "from"),
        tuple(
            (
                cost.description,
                format_value(cost.figure.value, cost.unit),
                cost.budget_text(inputs),
                cost.verdict(inputs),
                format_sources(cost.figure),
            )
            for cost in costs
        ),
    )


def missed_budget_table(costs: Sequence[Cost], inputs: Measurements) -> Table:
    """Return the table of the costs that miss their budget, the worst first.

    Costs with a budget that were not measured follow.
    """
    missed = [
        (factor, cost)
        for cost in costs
        if (factor := cost.budget_factor(inputs)) is not None and factor > 1.0
    ]
    missed.sort(key=lambda entry: -entry[0])
    not_measured = [cost for cost in costs if cost.budget and cost.figure.value is None]
    return Table(
        "missed",
        ("role", "what", "at that size", "budget", "set by", "times"),
        tuple(
            (
                cost.role,
                cost.description,
                format_value(cost.figure.value, cost.unit),
                cost.budget_text(inputs),
                inputs.budget(cost.budget).set_by,
                format_value(cost.budget_factor(inputs)),
            )
            for cost in (*(cost for _, cost in missed), *not_measured)
        ),
    )


def runs_table(inputs: Measurements) -> Table:
    """Return the table of the runs that the figures come from."""
    notes = inputs.plan.get("notes", {})
    run_row = (
        "scale-1200.txt",
        NOT_MEASURED,
        "1" if inputs.run else NOT_MEASURED,
        NOT_MEASURED,
        NOT_MEASURED,
        notes.get("run", ""),
    )
    return Table(
        "runs",
        ("file", "commit", "runs", "machine", "load before and after", "note"),
        (_scale_row(inputs, notes), _messages_row(inputs, notes), run_row),
    )


def _scale_row(inputs: Measurements, notes: JsonObject) -> Cells:
    scale = inputs.scale
    machine = scale.get("machine") or {}
    cores = machine.get("cores", "?")
    memory = machine.get("memory_gb", "?")
    python = machine.get("python", "?")
    load = [format_value(value) for value in scale.get("load") or () if value is not None]
    return (
        "scale.json",
        str(scale.get("commit", NOT_MEASURED)),
        f"{len(scale.get('runs') or ())}",
        f"{cores} cores, {memory} GB, Python {python}",
        " and ".join(load) or NOT_MEASURED,
        notes.get("scale", ""),
    )


def _messages_row(inputs: Measurements, notes: JsonObject) -> Cells:
    messages = inputs.messages
    run_count = sum(entry.get("runs", 1) for entry in messages["figures"].values())
    return (
        "messages.json",
        str(messages.get("commit", NOT_MEASURED)),
        str(run_count),
        f"Python {messages.get('python', '?')}",
        format_value(messages.get("load")),
        notes.get("messages", ""),
    )


def size_table(inputs: Measurements) -> Table:
    """Return the table of the plan's sizes."""
    return Table(
        "sizes",
        ("size", "value"),
        tuple((entry["what"], f"{entry['value']:,}") for entry in inputs.plan["sizes"].values()),
    )


def budget_table(inputs: Measurements) -> Table:
    """Return the table of the plan's budgets."""
    budgets = [inputs.budget(name) for name in inputs.plan["budgets"]]
    return Table(
        "budgets",
        ("budget", "value", "set by"),
        tuple(
            (budget.description, format_value(budget.value, budget.unit), budget.set_by)
            for budget in budgets
        ),
    )


def estimate_table(inputs: Measurements) -> Table:
    """Return the table of the plan's estimates."""
    return Table(
        "estimates",
        ("estimate", "value", "basis"),
        tuple(
            (name, format_value(entry["value"], entry["unit"]), entry["basis"])
            for name, entry in inputs.plan["estimates"].items()
        ),
    )


def message_table(inputs: Measurements) -> Table:
    """Return the table of all figures of single messages and steps."""
    return Table(
        "messages",
        ("figure", "value", "runs", "what"),
        tuple(
            (
                name,
                format_value(entry["value"], entry["unit"]),
                str(entry.get("runs", 1)),
                entry["what"],
            )
            for name, entry in inputs.messages["figures"].items()
        ),
    )
