"""What the processes of a scale run reported, as values for the report.

Lines of meters and of changes are in the form in which the processes log them; `metered` writes
the former, the testbed's `propose` the latter.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from petrellane.testbed.metered import TRAFFIC_FIGURES
from petrellane.testbed.testbed import ScaleTestbed

ROLES = ("hollow", "real", "control", "discovery", "counter")
USAGE_FIGURES = ("cpu_s", *TRAFFIC_FIGURES)

MeterLine = Mapping[str, Any]


@dataclass(frozen=True)
class ProcessObservation:
    """One process of a run.

    Attributes:
        gateway_count: The gateways in it; 1 for any other process.
        is_running: Whether it runs at the end.
        meter_lines: What its meter logged, in order.
        empty_rss: Its memory before it held a gateway, in bytes; None where it does not say.
        usage: What it spent a second in the steady phase, as USAGE_FIGURES.
        traffic: The figures of traffic by what its streams are for, as TRAFFIC_FIGURES.
    """

    gateway_count: int
    is_running: bool
    meter_lines: Sequence[MeterLine]
    empty_rss: int | None
    usage: Sequence[float]
    traffic: Mapping[str, Sequence[float]]

    @property
    def is_measured(self) -> bool:
        """Whether it runs and has logged a line."""
        return self.is_running and bool(self.meter_lines)


@dataclass(frozen=True)
class ProposedChange:
    """One change of settings: when it was proposed, its number, its outcome and the reason."""

    proposed_at: float
    number: int | None
    outcome: str | None
    reason: str

    @property
    def is_committed(self) -> bool:
        """Whether all gateways have it."""
        return self.outcome == "committed"


@dataclass(frozen=True)
class RunObservations:
    """All that a run's report is worked out from; made once at its end.

    Attributes:
        begin: When the steady phase began, in seconds of the machine's clock.
        end: When it ended.
        processes: The processes by role.
        list_changes: When each change of the endpoint list was made, by its index.
        list_arrivals: When gateways had each change, by its index.
        proposed_changes: The changes of settings, in order.
        generations: When each gateway had a generation in force, by its number.
        ready_after: Seconds until each gateway was ready.
        first_lists: Seconds until each restarted gateway had its list.
        gateway_count: The gateways of the run.
        faults: What went wrong, a line each.
        longest_turn: Seconds of the testbed's longest turn.
        stood_still: How often gateways noted that they stood still.
        start: What each role spent until the steady phase.
    """

    begin: float
    end: float
    processes: Mapping[str, Sequence[ProcessObservation]]
    list_changes: Mapping[int, float]
    list_arrivals: Mapping[int, Sequence[float]]
    proposed_changes: Sequence[ProposedChange]
    generations: Mapping[int | None, Mapping[str, float]]
    ready_after: Sequence[float]
    first_lists: Sequence[float]
    gateway_count: int
    faults: Sequence[str]
    longest_turn: float
    stood_still: int
    start: Mapping[str, Any]


def collect(
    testbed: ScaleTestbed, start: Mapping[str, Any], begin: float, end: float
) -> RunObservations:
    """Take from a testbed what its processes reported between two times of the clock."""
    return RunObservations(
        begin=begin,
        end=end,
        processes={role: processes_of(testbed, role, begin, end) for role in ROLES},
        list_changes=testbed.reports.list_changes,
        list_arrivals=testbed.reports.list_arrivals,
        proposed_changes=[_proposed_change(change) for change in testbed.changes.proposed],
        generations=testbed.reports.generations,
        ready_after=sorted(testbed.reports.ready_after.values()),
        first_lists=testbed.reports.first_lists,
        gateway_count=len(testbed.names),
        faults=list(testbed.reports.faults),
        longest_turn=testbed.longest_turn_s,
        stood_still=sum(
            event["event"] == "stood_still"
            for process in testbed.processes
            for event in process.events
        ),
        start=start,
    )


def processes_of(
    testbed: ScaleTestbed, role: str, begin: float, end: float
) -> list[ProcessObservation]:
    """Return the processes of one role, with what they spent between two times."""
    processes = []
    for party in testbed.processes_of_role(role):
        usage, traffic = party.usage(begin, end)
        process = ProcessObservation(
            gateway_count=party.gateway_count,
            is_running=party.process.is_running,
            meter_lines=party.meter_lines,
            empty_rss=party.empty_rss,
            usage=usage,
            traffic=traffic,
        )
        processes.append(process)
    return processes


def meter_lines_of(testbed: ScaleTestbed, role: str) -> list[MeterLine]:
    """Return the last line of each meter of a role."""
    return [party.meter_lines[-1] for party in testbed.processes_of_role(role) if party.meter_lines]


def _proposed_change(change: Mapping[str, Any]) -> ProposedChange:
    return ProposedChange(
        proposed_at=change["since"],
        number=change["number"],
        outcome=change["outcome"],
        reason=change["why"],
    )
