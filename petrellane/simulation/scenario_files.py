"""Reads and writes scenario files: one JSON object per line, and comments after `#`.

The first object is the world. Plans, methods, customers, faults and the expectation follow; a plan
precedes its customers. A malformed line raises a `ScenarioError` with the file, the line, the
expected and the found value.
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
    """Raised for a scenario that is malformed or of another version; the message is one line."""


def parse_scenario(text: str, name: str = "scenario") -> Scenario:
    """Parse the text of a scenario file.

    Args:
        text: The text of the file.
        name: The name of the file, for error messages.

    Returns:
        The scenario.

    Raises:
        ScenarioError: The text is malformed, or of another version.
    """
    lines: list[Line] = []
    plan_names: set[str] = set()
    for number, row in enumerate(text.splitlines(), 1):
        if not row.strip() or row.lstrip().startswith("#"):
            continue
        line = _parse_line(row, f"{name}:{number}", plan_names)
        _check_position(line, f"{name}:{number}", is_first=not lines)
        if isinstance(line, Plan):
            plan_names.add(line.name)
        lines.append(line)
    if not lines:
        raise ScenarioError(f"{name}:1: expected a world, found nothing")
    return _assemble(lines, f"{name}:{len(text.splitlines())}")


def _parse_line(row: str, location: str, plan_names: Set[str]) -> Line:
    try:
        line: Line = msgspec.json.decode(row, type=Line)
    except msgspec.MsgspecError as error:
        raise ScenarioError(f"{location}: {error}") from error
    error_text = find_error(line, plan_names)
    if error_text:
        raise ScenarioError(f"{location}: {error_text}")
    return line


def _check_position(line: Line, location: str, is_first: bool) -> None:
    """Check that the first object, and no other one, is a world of the present version."""
    if isinstance(line, World) != is_first:
        raise ScenarioError(f"{location}: expected one world, as the first object")
    if isinstance(line, World) and line.model != VERSION:
        raise ScenarioError(
            f"{location}: model: expected version {VERSION}, found {line.model}: "
            "the simulation plays only scenarios of its own version"
        )


def _assemble(lines: list[Line], last_location: str) -> Scenario:
    """Return the scenario of all lines.

    Raises:
        ScenarioError: A required kind of line is missing; the error names `last_location`.
    """
    for kind, word in _REQUIRED.items():
        if not _lines_of_type(lines, kind):
            raise ScenarioError(f"{last_location}: expected at least one {word}, found none")
    expectations = _lines_of_type(lines, Expectation)
    return Scenario(
        _lines_of_type(lines, World)[0],
        _lines_of_type(lines, Plan),
        _lines_of_type(lines, Method),
        _lines_of_type(lines, Customer),
        _lines_of_type(lines, Fault),
        expectations[0] if expectations else None,
    )


def _lines_of_type(lines: list[Line], kind: type[LineT]) -> tuple[LineT, ...]:
    return tuple(line for line in lines if isinstance(line, kind))


def find_error(line: Line, plan_names: Set[str]) -> str | None:
    """Find a field of a line that has an invalid value.

    Args:
        line: A decoded line.
        plan_names: The names of the plans on earlier lines.

    Returns:
        A description of the first error; None when the line is valid.
    """
    error = _find_number_error(line)
    if error:
        return error
    if isinstance(line, Customer):
        return _find_customer_error(line, plan_names)
    find = _ERROR_FINDERS.get(type(line))
    return find(line) if find else None


def _find_number_error(line: Line) -> str | None:
    """Describe the first field whose number is negative or not finite; None when there is none."""
    for name, key in zip(line.__struct_fields__, line.__struct_encode_fields__, strict=True):
        value = getattr(line, name)
        if isinstance(value, (int, float)) and not (math.isfinite(value) and value >= 0):
            return f"{key}: expected a number from 0, found {value}"
    return None


def _find_world_error(world: World) -> str | None:
    if world.gateways and world.endpoints and world.zones and world.cores and world.pod:
        return None
    return "gateways, hosts, zones, pod and cores: expected numbers above 0, found 0"


def _find_plan_error(plan: Plan) -> str | None:
    if bool(plan.hard_limit_rate) == bool(plan.hard_limit_burst):
        return None
    return (
        "ceiling_rate and ceiling_burst: expected both above 0 or both 0, "
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
        return f"plan: expected the name of a plan on an earlier line, found {customer.plan}"
    if not customer.gateway_count:
        return "spread: expected a number from 1, found 0"
    return None


def format_scenario(scenario: Scenario, comment: str = "") -> str:
    """Return the text of a scenario file, with a comment at its head."""
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
