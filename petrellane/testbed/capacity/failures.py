"""What failures cost at the rates that the plan states."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from petrellane.testbed.capacity import workload
from petrellane.testbed.capacity.figures import (
    DAY_S,
    HOUR_S,
    KILOBYTE,
    MEGABYTE,
    MS_PER_S,
    Figure,
    format_sources,
    format_value,
)
from petrellane.testbed.capacity.measurements import Measurements
from petrellane.testbed.capacity.tables import Cells, Table

MILLION = 1e6


class FailureCost(NamedTuple):
    """One cost of a failure."""

    description: str
    figure: Figure
    unit: str


class Failure(NamedTuple):
    """A failure, how often it comes as the plan states it, and what it costs."""

    name: str
    frequency: str
    costs: list[FailureCost]

    def rows(self) -> Iterator[Cells]:
        """Yield the rows of the table."""
        for cost in self.costs:
            yield (
                self.name,
                self.frequency,
                cost.description,
                format_value(cost.figure.value, cost.unit),
                format_sources(cost.figure),
            )


def failure_table(inputs: Measurements) -> Table:
    """Return the table of failures: how often each comes, and what it costs."""
    frequencies = {name: entry["often"] for name, entry in inputs.plan["rates"].items()}
    machine = frequencies["machine"]
    rack = frequencies["rack"]
    zone = frequencies["zone"]
    restart = frequencies["restart"]
    cut = frequencies["cut"]
    failures = (
        Failure("a machine is replaced", machine, _lost_machine_costs(inputs, Figure(1.0))),
        Failure("a gateway starts", machine, _gateway_start_costs(inputs)),
        Failure("a rack", rack, _lost_machine_costs(inputs, inputs.estimate("rack"))),
        Failure("a zone", zone, _lost_zone_costs(inputs)),
        Failure("a region's gateways restart at once", restart, _region_restart_costs(inputs)),
        Failure("a region is cut off for an hour", cut, _region_partition_costs(inputs)),
    )
    return Table(
        "failures",
        ("failure", "how often", "what", "cost", "from"),
        tuple(row for failure in failures for row in failure.rows()),
    )


def _list_row_bytes_to_all(inputs: Measurements) -> Figure:
    """Return the bytes from discovery for one change of the list, to all gateways."""
    per_gateway = inputs.message("news_bytes") + inputs.message("watch_bytes")
    return per_gateway * inputs.size("gateways")


def _lost_machine_costs(inputs: Measurements, machines: Figure) -> list[FailureCost]:
    """Return what it costs that so many machines leave the endpoint list."""
    rows = machines * inputs.estimate("rows")
    row_bytes = inputs.message("list_row_bytes")
    return [
        FailureCost("rows of the list to each gateway", rows, "rows"),
        FailureCost("bytes to each gateway", rows * row_bytes / KILOBYTE, "kB"),
        FailureCost(
            "bytes from discovery, if each row goes alone",
            rows * _list_row_bytes_to_all(inputs) / MEGABYTE,
            "MB",
        ),
    ]


def _lost_zone_costs(inputs: Measurements) -> list[FailureCost]:
    hosts = inputs.size("hosts") / inputs.size("zones")
    duration = inputs.estimate("zone_s")
    rows = hosts * inputs.estimate("rows")
    return [
        *_lost_machine_costs(inputs, hosts),
        FailureCost(
            "the same a second, by its length",
            rows * _list_row_bytes_to_all(inputs) / MEGABYTE / duration,
            "MB/s",
        ),
        FailureCost(
            "processor of a gateway for it, by its length",
            rows / duration * workload.list_change_ms(inputs) / MS_PER_S,
            "cores",
        ),
        FailureCost("endpoints that restart and warm up", hosts, "endpoints"),
    ]


def _quorum_calls(inputs: Measurements) -> Figure:
    """Return the calls to other gateways of one that starts, until it knows the settings."""
    return inputs.size("gateways") / 2


def _quorum_bytes(inputs: Measurements) -> Figure:
    """Return the bytes of these calls and their answers."""
    call_bytes = inputs.message("look_bytes") + inputs.message(workload.COMPLETE_ANSWER)
    return _quorum_calls(inputs) * call_bytes


def _gateway_starts_per_day(inputs: Measurements) -> Figure:
    """Return the starts of gateways a day, by their fraction of all machines."""
    gateways = inputs.size("gateways")
    machines = inputs.size("hosts") + gateways
    return (inputs.size("replaced") + inputs.size("failed")) * (gateways / machines)


def _gateway_start_costs(inputs: Measurements) -> list[FailureCost]:
    calls = _quorum_calls(inputs)
    processor_ms = calls * inputs.message("look_ms") + inputs.message("list_read_ms")
    return [
        FailureCost(
            "starts, by their share of all machines", _gateway_starts_per_day(inputs), "a day"
        ),
        FailureCost("complete list read", inputs.message("list_bytes") / MEGABYTE, "MB"),
        FailureCost("calls to other gateways until it knows", calls, "calls"),
        FailureCost("bytes of these calls", _quorum_bytes(inputs) / MEGABYTE, "MB"),
        FailureCost("its processor for these and the list", processor_ms / MS_PER_S, "s"),
    ]


def _region_restart_costs(inputs: Measurements) -> list[FailureCost]:
    gateways = inputs.size("gateways")
    region = gateways / inputs.size("regions")
    lists_mb = region * inputs.message("list_bytes") / MEGABYTE
    settings_mb = region * inputs.message("content_bytes") / MEGABYTE
    calls = region * _quorum_calls(inputs)
    return [
        FailureCost("complete lists from discovery", lists_mb, "MB"),
        FailureCost("these on one card", lists_mb / inputs.estimate("link_mb"), "s"),
        FailureCost("settings, where they lost them", settings_mb, "MB"),
        FailureCost("calls to other gateways", calls, "calls"),
        FailureCost("calls that each gateway answers", calls / gateways, "calls"),
        FailureCost("bytes of these", region * _quorum_bytes(inputs) / MEGABYTE, "MB"),
    ]


def _region_partition_costs(inputs: Measurements) -> list[FailureCost]:
    regions = inputs.size("regions")
    region = inputs.size("gateways") / regions
    changes = workload.settings_changes_per_second(inputs) * HOUR_S
    starts = _gateway_starts_per_day(inputs) / regions * (HOUR_S / DAY_S)
    rpcs = inputs.size("rpcs") / regions * HOUR_S / MILLION
    return [
        FailureCost("changes of settings that fall into it", changes, "changes"),
        FailureCost("gateways there", region, "gateways"),
        FailureCost("gateways there that start meanwhile and can't serve", starts, "gateways"),
        FailureCost(
            "others that a start has to hear, and has",
            _quorum_calls(inputs) - region,
            "too few",
        ),
        FailureCost("RPCs there in the hour, in millions", rpcs, "million"),
    ]
