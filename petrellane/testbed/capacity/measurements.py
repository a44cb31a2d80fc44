"""The plan and the measured files, looked up by name.

Each look-up returns a `Figure` that names its source. A name that the plan lacks is an error; a
figure that the runs lack is "not measured". Reading the files is the caller's job.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from petrellane.testbed.capacity.figures import CapacityError, Figure

CURRENT_BUILD = "this"
PREVIOUS_BUILD = "base"

JsonObject = Mapping[str, Any]


@dataclass(frozen=True)
class Budget:
    """A limit that the plan sets: its value and unit, what is limited, and who set it."""

    value: float
    unit: str
    description: str
    set_by: str


@dataclass(frozen=True)
class SlopePoint:
    """The median of a figure's runs at one value of a size; None where no run succeeded."""

    size_value: float
    median: float | None


@dataclass(frozen=True)
class Slope:
    """The line through a figure's points, as the scale runs have stored it."""

    unit: str
    intercept: float
    slope: float | None
    spread: tuple[float | None, float | None]
    is_line: bool | None
    note: str
    points: tuple[SlopePoint, ...]

    @classmethod
    def from_dict(cls, stored: JsonObject) -> Slope:
        """Read a slope from its stored form."""
        minimum, maximum = stored.get("spread") or (None, None)
        return cls(
            unit=stored.get("unit", ""),
            intercept=stored["intercept"],
            slope=stored.get("slope"),
            spread=(minimum, maximum),
            is_line=stored.get("line"),
            note=stored.get("note") or "",
            points=tuple(SlopePoint(point[0], point[1]) for point in stored["points"]),
        )


def _require_tables(file_name: str, content: JsonObject, names: Sequence[str]) -> None:
    for name in names:
        if not isinstance(content.get(name), dict):
            shown = str(content.get(name))[:40]
            raise CapacityError(f"{file_name}: {name}: expected a table, found {shown}")


def _plan_entry(table: JsonObject, table_name: str, name: str) -> JsonObject:
    if name not in table:
        raise CapacityError(f"capacity.toml: {table_name}.{name}: missing, expected a figure")
    entry: JsonObject = table[name]
    return entry


class Measurements:
    """The inputs of all tables; made once for a page and never changed.

    Raises CapacityError where an input lacks one of its tables.
    """

    def __init__(
        self,
        plan: JsonObject,
        scale: JsonObject,
        messages: JsonObject,
        run: JsonObject | None = None,
    ) -> None:
        _require_tables("capacity.toml", plan, ("sizes", "budgets", "estimates", "rates", "shown"))
        _require_tables("scale.json", scale, ("slopes",))
        _require_tables("messages.json", messages, ("figures",))
        self.plan = plan
        self.scale = scale
        self.messages = messages
        self.run: JsonObject = run or {}

    def size_value(self, name: str) -> float:
        """Return a size of the plan as a number."""
        return float(_plan_entry(self.plan["sizes"], "sizes", name)["value"])

    def size(self, name: str) -> Figure:
        """Return a size of the plan."""
        return Figure(self.size_value(name))

    def budget(self, name: str) -> Budget:
        """Return a budget of the plan."""
        entry = _plan_entry(self.plan["budgets"], "budgets", name)
        return Budget(entry["value"], entry["unit"], entry["what"], entry["by"])

    def estimate(self, name: str) -> Figure:
        """Return an estimate of the plan."""
        entry = _plan_entry(self.plan["estimates"], "estimates", name)
        return Figure(float(entry["value"]), (f"estimate {name}",))

    def message(self, name: str) -> Figure:
        """Return a figure of benchmarks/messages.py."""
        entry = self.messages["figures"].get(name)
        return Figure(entry["value"] if entry else None, (f"messages {name}",))

    def slope(self, size: str, figure: str, build: str = CURRENT_BUILD) -> Slope | None:
        """Return the slope of a figure by a size; None where the scale runs have none."""
        stored = self.scale["slopes"].get(build, {}).get(size, {}).get(figure)
        return Slope.from_dict(stored) if stored else None

    def figure_at(
        self, size: str, figure: str, size_value: float, build: str = CURRENT_BUILD
    ) -> Figure:
        """Return a figure at a value of one size.

        It is the median of the runs where that value was run, and else taken from the slope.
        """
        source = f"scale {build}/{size} {figure}"
        slope = self.slope(size, figure, build)
        if slope is None:
            return Figure(None, (source,))
        for point in slope.points:
            if point.size_value == size_value and point.median is not None:
                return Figure(float(point.median), (source,))
        if slope.slope is None:
            return Figure(None, (source,))
        suffix = " (no line)" if slope.is_line is False else ""
        return Figure(
            slope.intercept + slope.slope * size_value,
            (f"{source}, by its slope{suffix}",),
        )

    def run_figure(self, *path: str) -> Figure:
        """Return a figure of the run at full size, by its path in the report."""
        entry: Any = self.run
        for key in path:
            entry = entry.get(key) if isinstance(entry, dict) else None
        value = entry if isinstance(entry, int | float) else None
        return Figure(value, (f"run {' '.join(path)}",))

    def run_figure_per_process(self, role: str, figure: str) -> Figure:
        """Return a role's figure for one of its processes, or for one hollow gateway."""
        return self.run_figure("roles", role, figure) / self.run_figure("roles", role, "number")

    def combined_figure(
        self, figure: str, sizes: Sequence[str], build: str = CURRENT_BUILD
    ) -> Figure:
        """Return a figure where several sizes are large at once.

        The sizes were run one at a time, so this is a sum: the figure by the first size, and what
        each of the others adds to its smallest point.
        """
        first, *others = sizes
        total = self.figure_at(first, figure, self.size_value(first), build)
        for size in others:
            slope = self.slope(size, figure, build)
            minimum = 0.0
            if slope is not None:
                minimum = min((point.size_value for point in slope.points), default=0.0)
            total = total + (
                self.figure_at(size, figure, self.size_value(size), build)
                - self.figure_at(size, figure, minimum, build)
            )
        return total
