"""Formats a run as a timeline of the events that concern its violations.

`petrellane replay` and `petrellane property-search` print these texts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from petrellane.invariants import (
    AttemptArrived,
    AttemptEnded,
    AttemptSent,
    ClientDisconnected,
    EndpointNotified,
    EndpointStarted,
    GatewayLifecycle,
    Record,
    RpcAnswered,
    RpcExecuted,
    RpcReceived,
    StateRetained,
    Violation,
)
from petrellane.simulation.fleet import Run, TraceLine

DETAIL_S = 2.0  # time before the first violation that is shown in full
MAX_LINES = 120  # earlier lines are omitted and counted

CHECKER = "CHECKER"  # the party of lines that report a violation
COUNTER_ADD = "asked for"  # text that marks an add to the counter in the trace


def _describe_received(record: RpcReceived) -> str:
    return (
        f"takes {record.rpc} ({record.method}, {record.units:g} units of {record.customer}, "
        f"until {record.deadline:.3f})"
    )


def _describe_sent(record: AttemptSent) -> str:
    return f"sends {record.rpc} to {record.host}, attempt {record.number}"


def _describe_attempt_ended(record: AttemptEnded) -> str:
    return f"sees attempt {record.number} of {record.rpc} end: {record.outcome}"


def _describe_arrived(record: AttemptArrived) -> str:
    return f"has attempt {record.number} of {record.rpc}, {record.work:.3f} core seconds"


def _describe_executed(record: RpcExecuted) -> str:
    return f"has run {record.rpc}"


def _describe_answered(record: RpcAnswered) -> str:
    return f"answers {record.rpc}: {record.answer}"


def _describe_disconnected(record: ClientDisconnected) -> str:
    return f"sees the client of {record.rpc} leave"


def _describe_notified(record: EndpointNotified) -> str:
    text = f"is notified that {record.host} is {record.state}"
    if record.up_since:
        text += f", up since {record.up_since:.3f}"
    return text


def _describe_started(_record: EndpointStarted) -> str:
    return "starts cold"


def _describe_retained(record: StateRetained) -> str:
    return f"still holds {record.count} {record.kind} that are over"


def _describe_lifecycle(record: GatewayLifecycle) -> str:
    return record.event


_DESCRIPTIONS: dict[type, Callable[[Any], str]] = {
    RpcReceived: _describe_received,
    AttemptSent: _describe_sent,
    AttemptEnded: _describe_attempt_ended,
    AttemptArrived: _describe_arrived,
    RpcExecuted: _describe_executed,
    RpcAnswered: _describe_answered,
    ClientDisconnected: _describe_disconnected,
    EndpointNotified: _describe_notified,
    EndpointStarted: _describe_started,
    StateRetained: _describe_retained,
    GatewayLifecycle: _describe_lifecycle,
}


def describe_record(record: Record) -> str:
    """Describe a record in words, without its time and its party."""
    return _DESCRIPTIONS.get(type(record), str)(record)


@dataclass(frozen=True)
class _Focus:
    """The objects that the first violation of each rule concerns; selects the lines to show.

    Attributes:
        violations: The first violation of each rule.
        rpcs: The ids of the RPCs of these violations.
        hosts: The endpoints to which these RPCs were sent.
        customers: The customers that sent these RPCs.
        customer_rpcs: The ids of all RPCs of these customers.
        start: The time from which related records are shown, in seconds of the run.
    """

    violations: list[Violation]
    rpcs: set[object]
    hosts: set[object]
    customers: set[object]
    customer_rpcs: set[object]
    start: float

    def concerns(self, record: Record) -> bool:
        """Return whether a record is related to the violations."""
        if isinstance(record, GatewayLifecycle):
            return True
        if isinstance(record, (EndpointNotified, EndpointStarted)):
            return record.host in self.hosts
        if isinstance(record, AttemptArrived):
            return record.rpc in self.rpcs or record.host in self.hosts
        if isinstance(record, AttemptSent):
            is_first_of_customer = record.number == 0 and record.rpc in self.customer_rpcs
            return record.rpc in self.rpcs or is_first_of_customer
        return getattr(record, "rpc", None) in self.rpcs

    def shows_record(self, record: Record) -> bool:
        """Return whether a record is shown."""
        if isinstance(record, (GatewayLifecycle, EndpointStarted)):
            return True
        return self.start <= record.at and self.concerns(record)

    def shows_trace(self, line: TraceLine) -> bool:
        """Return whether a trace line is shown.

        Adds to the counter are shown only for the customers of the violations, from `start` on.
        """
        if COUNTER_ADD not in line.text:
            return True
        is_customers = any(f" of {customer} " in line.text for customer in self.customers)
        return line.at >= self.start and is_customers


def _find_focus(run: Run) -> _Focus:
    first_violations = {violation.rule: violation for violation in reversed(run.verdict.violations)}
    violations = list(first_violations.values())
    rpcs: set[object] = {rpc for violation in violations for rpc in violation.rpcs}
    records = run.records or []
    received = [record for record in records if isinstance(record, RpcReceived)]
    customers: set[object] = {record.customer for record in received if record.rpc in rpcs}
    return _Focus(
        violations,
        rpcs,
        hosts={
            record.host
            for record in records
            if isinstance(record, AttemptSent) and record.rpc in rpcs
        },
        customers=customers,
        customer_rpcs={record.rpc for record in received if record.customer in customers},
        start=min((violation.at for violation in violations), default=0.0) - DETAIL_S,
    )


def _party_of(record: Record) -> str:
    """Return the name of the endpoint or gateway that a record belongs to; empty for none."""
    if isinstance(record, (AttemptArrived, RpcExecuted, EndpointStarted)):
        return str(record.host)
    return str(getattr(record, "gateway", ""))


def format_timeline(run: Run) -> list[str]:
    """Return the lines of the timeline of a run that kept its records.

    The timeline shows faults, changes of mode, lifecycle events of gateways and starts of endpoints
    over the whole run. Records related to the first violation of each rule are shown from
    `DETAIL_S` before the earliest of these violations.
    """
    focus = _find_focus(run)
    lines = [line for line in run.trace or [] if focus.shows_trace(line)]
    lines += [
        TraceLine(record.at, _party_of(record), describe_record(record))
        for record in run.records or []
        if focus.shows_record(record)
    ]
    lines += [
        TraceLine(violation.at, CHECKER, f"{violation.rule}: {violation.text}")
        for violation in focus.violations
    ]
    lines.sort(key=lambda line: line.at)
    left_out = max(0, len(lines) - MAX_LINES)
    texts = [f"{line.at:9.3f}  {line.component:8}  {line.text}" for line in lines[left_out:]]
    if left_out:
        texts.insert(0, f"{'':9}  ({left_out} earlier lines left out)")
    return texts


def format_verdict(run: Run) -> str:
    """Return one line with the broken rules, or with the nearest distance to each rule."""
    if run.verdict.counts:
        return "broken: " + ", ".join(
            f"{rule} {count} times" for rule, count in sorted(run.verdict.counts.items())
        )
    nearest = ", ".join(f"{rule} {distance:.2f}" for rule, distance in run.verdict.nearest.items())
    return f"no rule broken; nearest (1 is at the rule): {nearest}"
