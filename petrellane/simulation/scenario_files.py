"""Reads and writes scenario files: one JSON object a line, `#` begins a comment.

The first object is the world; plans, methods, customers and faults follow, and at most one
`expect`. A malformed line raises a `ScenarioError` that names file, line, what was expected and
what was found.
"""

import math
from collections.abc import Callable, Set
from typing import Any, TypeVar

import msgspec

from petrellane.decisions.types import Effect
from petrellane.simulation import VERSION
from petrellane.simulation.scenario import (
    FAULT_TYPES,
    Customer,
    Expectation,
    Fault,
    Method,
    Plan,
    Scenario,
    ScenarioLine,
    World,
)

Line = World | Plan | Method | Customer | Fault | Expectation

LineT = TypeVar("LineT", bound=ScenarioLine)

_REQUIRED: dict[type[ScenarioLine], str] = {Plan: "plan", Method: "method", Customer: "customer"}
_EFFECTS = tuple(str(effect) for effect in Effect)


class ScenarioError(Exception):
    """A scenario that is malformed or of another version; the text is one line."""


def parse_scenario(text: str, name: str = "scenario") -> Scenario:
    """The scenario of a file's text.

    Args:
        text: Of the file.
        name: Of the file, for errors.

    Raises:
        ScenarioError: The text is malformed, or of another version.
    """
    lines: list[Line] = []
    plan_names: set[str] = set()
    for number, row in enumerate(text.splitlines(), 1):
        if not row.strip() or row.lstrip().startswith("#"):
            continue
        line = _parse_line(row, f"{name}:{number}", plan_names)
        _check_place(line, f"{name}:{number}", is_first=not lines)
        if isinstance(line, Plan):
            plan_names.add(line.name)
        lines.append(line)
    if not lines:
        raise ScenarioError(f"{name}:1: expected a world, found nothing")
    return _assemble(lines, f"{name}:{len(text.splitlines())}")


def _parse_line(row: str, place: str, plan_names: Set[str]) -> Line:
    try:
        line: Line = msgspec.json.decode(row, type=Line)
    except msgspec.MsgspecError as error:
        raise ScenarioError(f"{place}: {error}") from error
    error_text = find_error(line, plan_names)
    if error_text:
        raise ScenarioError(f"{place}: {error_text}")
    return line


def _check_place(line: Line, place: str, is_first: bool) -> None:
    """Check that the world, of this version, is the first object and the only one."""
    if isinstance(line, World) != is_first:
        raise ScenarioError(f"{place}: expected one world, as the first object")
    if isinstance(line, World) and line.model != VERSION:
        raise ScenarioError(
            f"{place}: model: expected version {VERSION}, found {line.model}: "
            "a run of another version would be another run"
        )


def _assemble(lines: list[Line], last_place: str) -> Scenario:
    """The scenario of all lines; `last_place` is named where some are missing."""
    for kind, word in _REQUIRED.items():
        if not _of_kind(lines, kind):
            raise ScenarioError(f"{last_place}: expected at least one {word}, found none")
    expectations = _of_kind(lines, Expectation)
    return Scenario(
        _of_kind(lines, World)[0],
        _of_kind(lines, Plan),
        _of_kind(lines, Method),
        _of_kind(lines, Customer),
        _of_kind(lines, Fault),
        expectations[0] if expectations else None,
    )


def _of_kind(lines: list[Line], kind: type[LineT]) -> tuple[LineT, ...]:
    return tuple(line for line in lines if isinstance(line, kind))


def find_error(line: Line, plan_names: Set[str]) -> str | None:
    """What is wrong with a line; None when nothing is.

    Args:
        line: A well-formed line.
        plan_names: The names of the plans before it.
    """
    error = _find_bad_number(line)
    if error:
        return error
    if isinstance(line, Customer):
        return _find_customer_error(line, plan_names)
    find = _ERROR_FINDERS.get(type(line))
    return find(line) if find else None


def _find_bad_number(line: Line) -> str | None:
    """The first field whose number is none that a run can use."""
    for name, key in zip(line.__struct_fields__, line.__struct_encode_fields__, strict=True):
        value = getattr(line, name)
        if isinstance(value, (int, float)) and not (math.isfinite(value) and value >= 0):
            return f"{key}: expected a number from 0, found {value}"
    return None


def _find_world_error(world: World) -> str | None:
    if world.gateways and world.endpoints and world.zones and world.cores and world.pod:
        return None
    return "gateways, hosts, zones, pod and cores: expected a number from 1, found 0"


def _find_plan_error(plan: Plan) -> str | None:
    if bool(plan.hard_limit_rate) == bool(plan.hard_limit_burst):
        return None
    return (
        "ceiling_rate and ceiling_burst: expected both or none, "
        f"found {plan.hard_limit_rate} and {plan.hard_limit_burst}"
    )


def _find_method_error(method: Method) -> str | None:
    if method.effect in _EFFECTS:
        return None
    return f"effect: expected idempotent, deduplicated or non-idempotent, found {method.effect}"


def _find_fault_error(fault: Fault) -> str | None:
    if fault.type in FAULT_TYPES:
        return None
    return f"what: expected one of {', '.join(FAULT_TYPES)}, found {fault.type}"


_ERROR_FINDERS: dict[type[ScenarioLine], Callable[[Any], str | None]] = {
    World: _find_world_error,
    Plan: _find_plan_error,
    Method: _find_method_error,
    Fault: _find_fault_error,
}


def _find_customer_error(customer: Customer, plan_names: Set[str]) -> str | None:
    if customer.plan not in plan_names:
        return f"plan: expected one that stands before it, found {customer.plan}"
    if not customer.gateway_count:
        return "spread: expected a number from 1, found 0"
    return None


def format_scenario(scenario: Scenario, comment: str = "") -> str:
    """The text of a file that `parse_scenario` takes, with a comment before it."""
    rows = [f"# {line}".rstrip() for line in comment.splitlines()]
    lines: list[ScenarioLine] = [
        scenario.world,
        *scenario.plans,
        *scenario.methods,
        *scenario.customers,
        *scenario.faults,
    ]
    if scenario.expected:
        lines.append(scenario.expected)
    rows.extend(msgspec.json.encode(line).decode() for line in lines)
    return "\n".join(rows) + "\n"
