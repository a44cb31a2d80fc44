"""The report of a scale run, worked out from its observations; free of I/O.

The report is a stored format: its last line of output is kept in docs/runs, and the page of
capacity reads it. Its keys and their order are therefore fixed, and it is a dict here.
Rates are per second over all processes of a role; times are in seconds.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from petrellane.testbed.metered import (
    BYTES_IN,
    BYTES_OUT,
    NO_TRAFFIC,
    TRAFFIC_FIGURES,
)
from petrellane.testbed.scale.config import ScaleConfig
from petrellane.testbed.scale.observations import (
    ROLES,
    USAGE_FIGURES,
    MeterLine,
    ProcessObservation,
    RunObservations,
)

MAX_TURN_S = 0.5  # a longer turn of the testbed spoils its own times
MAX_HOLLOW_TURN_S = 1.0  # after which a hollow gateway asks what it may have missed
MAX_OUTCOME_LENGTH = 200
BYTES_PER_MIB = 2**20

Report = dict[str, Any]


def make_report(config: ScaleConfig, run: RunObservations) -> Report:
    """Return the report of a run."""
    roles = {role: _role_figures(run.processes[role]) for role in ROLES}
    roles["hollow"] |= _hollow_figures(config, run)
    report: Report = {
        "scale": msgspec.to_builtins(config),
        "seconds": run.end - run.begin,
        "roles": roles,
        "list": _list_figures(run),
        "settings": _settings_figures(run),
        "ready_s": {
            "median": _median(run.ready_after),
            "last": run.ready_after[-1] if run.ready_after else None,
        },
        "sums": _sums(run),
        "start": run.start,
        "stood_still": run.stood_still,
        "void": "; ".join(_faults(run, roles["hollow"].get("turn_s", 0.0))),
    }
    if config.restart_at:
        report["restart"] = _restart_figures(run)
    return report


def propagation_times(
    changes: Iterable[tuple[float, Iterable[float]]],
) -> dict[str, float | None]:
    """Return how long changes take to reach the first, the median and the last gateway.

    Args:
        changes: When each change was made, and when each gateway had it.

    Returns:
        The median over the changes, but the maximum for the last gateway; None without changes.
    """
    delays = []
    for made_at, arrivals in changes:
        sorted_delays = sorted(arrival - made_at for arrival in arrivals)
        if sorted_delays:
            delays.append(sorted_delays)
    return {
        "first_s": _median([change[0] for change in delays]),
        "median_s": _median([statistics.median(change) for change in delays]),
        "last_s": max((change[-1] for change in delays), default=None),
    }


def total_usage(meter_lines: Sequence[MeterLine]) -> dict[str, float]:
    """Return what processes spent since they began, from the last line of each."""
    rows = [row for line in meter_lines for row in line["by"].values()]
    totals = {"cpu_s": sum(line["cpu"] for line in meter_lines)}
    for index, figure in enumerate(TRAFFIC_FIGURES):
        totals[figure] = sum(row[index] for row in rows)
    return totals


def _median(values: Sequence[float]) -> float | None:
    return statistics.median(values) if values else None


def _role_figures(processes: Sequence[ProcessObservation]) -> Report:
    """Return a role's figures over its processes."""
    measured = [process for process in processes if process.is_measured]
    rss = sum(process.meter_lines[-1]["rss"] for process in measured)
    role: Report = {
        "number": sum(process.gateway_count for process in measured),
        "rss_mb": rss / BYTES_PER_MIB,
    }
    for index, figure in enumerate(USAGE_FIGURES):
        role[figure] = sum(process.usage[index] for process in processes)
    kinds = sorted({kind for process in processes for kind in process.traffic})
    role["by"] = {kind: _traffic_figures(processes, kind) for kind in kinds}
    return role


def _traffic_figures(processes: Sequence[ProcessObservation], kind: str) -> dict[str, float]:
    """Return a role's traffic on the streams of one kind."""
    rows = [process.traffic.get(kind, [0.0] * len(TRAFFIC_FIGURES)) for process in processes]
    return {figure: sum(row[index] for row in rows) for index, figure in enumerate(TRAFFIC_FIGURES)}


def _hollow_figures(config: ScaleConfig, run: RunObservations) -> Report:
    """Return the figures that only processes of hollow gateways have."""
    measured = [process for process in run.processes["hollow"] if process.is_measured]
    if not measured:
        return {}
    held = sum(process.meter_lines[-1]["rss"] - (process.empty_rss or 0) for process in measured)
    turns = [
        line.get("turn", 0.0)
        for process in measured
        for line in process.meter_lines
        if line["at"] >= run.begin
    ]
    return {"rss_mb_each": held / BYTES_PER_MIB / config.hollow, "turn_s": max(turns)}


def _list_figures(run: RunObservations) -> Report:
    """Return how the changes of the endpoint list reached the gateways."""
    changes = [
        (made_at, run.list_arrivals.get(index, []))
        for index, made_at in sorted(run.list_changes.items())
    ]
    return {
        "changes": len(changes),
        "reached": _reached_by_all(run, changes),
        **propagation_times(changes),
    }


def _settings_figures(run: RunObservations) -> Report:
    """Return how the changes of settings came into force at the gateways."""
    committed = [change for change in run.proposed_changes if change.is_committed]
    changes = [
        (change.proposed_at, list(run.generations.get(change.number, {}).values()))
        for change in committed
    ]
    return {
        "changes": len(run.proposed_changes),
        "committed": len(committed),
        "reached": _reached_by_all(run, changes),
        **propagation_times(changes),
        "outcomes": [
            f"{change.outcome}: {change.reason}"[:MAX_OUTCOME_LENGTH]
            for change in run.proposed_changes
        ],
    }


def _reached_by_all(run: RunObservations, changes: Sequence[tuple[float, Sequence[float]]]) -> int:
    """Return how many changes are in force at all gateways."""
    return sum(len(arrivals) >= run.gateway_count for _, arrivals in changes)


def _sums(run: RunObservations) -> Report:
    """Return sums since the start, which have to agree at both ends of a connection."""
    last_lines = {
        role: [process.meter_lines[-1] for process in processes if process.meter_lines]
        for role, processes in run.processes.items()
    }
    hollow = last_lines["hollow"]
    gateways = hollow + last_lines["real"]
    counter = last_lines["counter"]
    discovery = last_lines["discovery"]
    return {
        "rpcs": sum(line.get("rpcs", 0) for line in hollow),
        "answers": sum(line.get("answers", 0) for line in hollow),
        "tally": _tally(hollow),
        "adds": sum(line["adds"] for line in counter),
        "discovery_calls": sum(line["calls"] for line in discovery),
        "discovery_refused": sum(line["refused"] for line in discovery),
        "counter_bytes": {
            "gateways": _bytes_in_out(gateways, "counter"),
            "counter": _bytes_in_out(counter, "adds")[::-1],
        },
        "discovery_bytes": {
            "gateways": _bytes_in_out(gateways, "discovery"),
            "discovery": _bytes_in_out(discovery, "discovery")[::-1],
        },
    }


def _tally(meter_lines: Sequence[MeterLine]) -> dict[str, int]:
    """Return the sums of what hollow gateways count."""
    tally: dict[str, int] = {}
    for line in meter_lines:
        for name, number in line.get("tally", {}).items():
            tally[name] = tally.get(name, 0) + number
    return tally


def _bytes_in_out(meter_lines: Sequence[MeterLine], kind: str) -> list[int]:
    """Return the bytes that came and that went on streams of one kind."""
    rows = [line["by"].get(kind, NO_TRAFFIC) for line in meter_lines]
    return [sum(row[BYTES_IN] for row in rows), sum(row[BYTES_OUT] for row in rows)]


def _faults(run: RunObservations, hollow_turn_s: float) -> list[str]:
    """Return what makes a run prove nothing, a line each."""
    faults = list(run.faults)
    if run.longest_turn > MAX_TURN_S:
        faults.append(
            f"the testbed stood still for {run.longest_turn:.2f} s: this machine is too busy"
        )
    if hollow_turn_s > MAX_HOLLOW_TURN_S:
        faults.append(
            f"a process of hollow gateways stood still for {hollow_turn_s:.2f} s: "
            "fewer in one would do"
        )
    return faults


def _restart_figures(run: RunObservations) -> Mapping[str, Any]:
    """Return how fast restarted gateways had a list and were ready."""
    return {
        "listed": len(run.first_lists),
        "ready": len(run.ready_after),
        "list_median_s": _median(run.first_lists),
        "list_last_s": max(run.first_lists, default=None),
    }
