"""All tables of the page, in its order."""

from __future__ import annotations

from collections.abc import Callable

from petrellane.testbed.capacity import (
    alternatives,
    failures,
    gateway_costs,
    service_costs,
    slope_tables,
    tables,
)
from petrellane.testbed.capacity.costs import Cost
from petrellane.testbed.capacity.measurements import JsonObject, Measurements
from petrellane.testbed.capacity.tables import Table

# The table of each role, and what works out its costs; in the order of the page.
ROLES: dict[str, Callable[[Measurements], list[Cost]]] = {
    "data-path": gateway_costs.data_path_costs,
    "control-part": gateway_costs.control_part_costs,
    "control-process": service_costs.control_process_costs,
    "discovery": service_costs.discovery_costs,
    "counter": service_costs.counter_costs,
    "hosts": service_costs.host_costs,
}


def all_costs(inputs: Measurements) -> list[Cost]:
    """Return the costs of all roles, in order."""
    return [cost for role_costs in ROLES.values() for cost in role_costs(inputs)]


def build_tables(
    plan: JsonObject,
    scale: JsonObject,
    messages: JsonObject,
    run: JsonObject | None = None,
) -> list[Table]:
    """Work out all tables of the page.

    Args:
        plan: The content of benchmarks/capacity.toml.
        scale: The content of benchmarks/scale.json.
        messages: The content of benchmarks/messages.json.
        run: The report of the run at full size; None where there is none.

    Raises:
        CapacityError: An input lacks a table, or the plan a name.
    """
    inputs = Measurements(plan, scale, messages, run)
    role_tables = [
        tables.cost_table(name, role_costs(inputs), inputs) for name, role_costs in ROLES.items()
    ]
    return [
        tables.runs_table(inputs),
        tables.size_table(inputs),
        tables.budget_table(inputs),
        *role_tables,
        alternatives.settings_distribution_table(inputs),
        alternatives.counter_partition_table(inputs),
        alternatives.list_partition_table(inputs),
        alternatives.region_table(inputs),
        failures.failure_table(inputs),
        tables.missed_budget_table(all_costs(inputs), inputs),
        slope_tables.comparison_table(inputs),
        slope_tables.slope_table(inputs),
        slope_tables.prediction_table(inputs),
        slope_tables.case_table(inputs),
        tables.message_table(inputs),
        tables.estimate_table(inputs),
    ]
