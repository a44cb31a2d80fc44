"""Runs of one gateway for `scale.py`: a size, and the hard cases of the design size."""

import dataclasses
import itertools
from typing import Any

from benchmarks.scale_content import (
    IN_SERVICE,
    TERMINATED,
    TERMINATING,
    ZONES,
    build_endpoint_row,
)
from benchmarks.scale_gateway import ModuleShape, SimulatedGateway, TakeoverTime
from benchmarks.scale_measures import percentile, resident_mb

WARM_UP_S = 5.0  # of RPCs before any is counted
STATE_CHANGES = 12
REPLACEMENT_S = 60.0
REPLACEMENT_STEPS_PER_S = 10
LIST_CHANGES_PER_S = 50
LIST_CHANGES_S = 20.0
MEETING_S = 60.0  # in which each customer is seen once
ZONE_PHASES = (("before", 5.0), ("gone", 15.0), ("back", 20.0))
ZONE_FIGURES = (
    "decision_p50_ms",
    "decision_p99_ms",
    "call_longest_ms",
    "pushed_back",
    "cores",
)

Figures = dict[str, float]


def _start(shape: ModuleShape, warm_up_s: float = WARM_UP_S) -> SimulatedGateway:
    """Return a gateway that has had RPCs for a while, none of them counted."""
    gateway = SimulatedGateway(shape)
    gateway.play(warm_up_s, shape.budget / 4)
    gateway.traffic.costs.clear(gateway.traffic.now)
    return gateway


def _costs(gateway: SimulatedGateway) -> Figures:
    return gateway.traffic.costs.to_dict(gateway.traffic.now)


def _memory(gateway: SimulatedGateway) -> float:
    """Return the megabytes by which the process grew since before the gateway."""
    return resident_mb() - gateway.memory_before


def run_module(shape: dict[str, Any]) -> Figures:
    """Return the figures of one gateway of a size."""
    module_shape = ModuleShape.from_dict(shape)
    gateway = _start(module_shape, min(WARM_UP_S, module_shape.seconds))
    gateway.play(module_shape.seconds, module_shape.budget)
    figures = {**gateway.figures, **_costs(gateway)}
    figures["memory_mb"] = _memory(gateway)
    figures["leases"] = len(gateway.controller.lease_manager.leases)
    change_cost = gateway.measure_changes(STATE_CHANGES)
    figures["list_change_ms"] = change_cost.executor
    figures["list_change_choice_ms"] = change_cost.decisions_alone
    figures["list_choice_ms"] = gateway.measure_decisions_list()
    return figures


class EndpointReplacement:
    """Replaces half of the endpoints within a minute, ten times a second some."""

    def __init__(self, gateway: SimulatedGateway) -> None:
        self.gateway = gateway
        self.started_at = gateway.traffic.now
        self.hosts = gateway.shape.hosts
        self.rate = self.hosts / 2 / REPLACEMENT_S
        self.replaced = 0
        self.takeovers: list[TakeoverTime] = []

    def on_time(self, now: float) -> None:
        """Replace what is due."""
        half = self.hosts // 2
        due = min(half, int((now - self.started_at) * self.rate))
        is_last_step = due > self.replaced and due == half
        if due - self.replaced < self.rate / REPLACEMENT_STEPS_PER_S and not is_last_step:
            return
        rows = []
        for number in range(self.replaced, due):
            rows.append(build_endpoint_row(number, TERMINATED))
            rows.append(build_endpoint_row(self.hosts + number, started_at=now))
        self.takeovers.append(self.gateway.change_list(rows))
        self.replaced = due


def run_replaced(shape: dict[str, Any]) -> Figures:
    """Return the figures while half of the endpoints are replaced in a minute."""
    module_shape = ModuleShape.from_dict(shape)
    gateway = _start(module_shape)
    replacement = EndpointReplacement(gateway)
    seconds = gateway.play(REPLACEMENT_S, module_shape.budget, replacement.on_time)
    takeovers = replacement.takeovers
    return {
        **_costs(gateway),
        "seconds": seconds,
        "replaced": replacement.replaced,
        "changes_p50_ms": percentile([takeover.total for takeover in takeovers], 0.5),
        "turn_longest_ms": max((takeover.longest_turn for takeover in takeovers), default=0.0),
        "memory_mb": _memory(gateway),
    }


def run_zone(shape: dict[str, Any]) -> Figures:
    """Return the figures before, while and after a zone's endpoints are gone, and back cold."""
    module_shape = ModuleShape.from_dict(shape)
    gateway = SimulatedGateway(module_shape)
    traffic = gateway.traffic
    figures: Figures = {}
    numbers = [number for number in range(module_shape.hosts) if number % ZONES == 1]
    for phase, phase_s in ZONE_PHASES:
        if phase != "before":
            status = TERMINATED if phase == "gone" else IN_SERVICE
            started_at = 0.0 if phase == "gone" else traffic.now
            rows = [build_endpoint_row(number, status, started_at) for number in numbers]
            takeover = gateway.change_list(rows)
            figures[f"{phase}_taken_ms"] = takeover.total
            figures[f"{phase}_turn_ms"] = takeover.longest_turn
        traffic.costs.clear(traffic.now)
        figures[f"{phase}_seconds"] = gateway.play(phase_s, module_shape.budget / 3)
        costs = _costs(gateway)
        figures |= {f"{phase}_{name}": costs[name] for name in ZONE_FIGURES}
    return {**figures, "hosts_of_zone": len(numbers), "memory_mb": _memory(gateway)}


def run_seen_once(shape: dict[str, Any]) -> Figures:
    """Return the figures with every customer once in a minute, all through one gateway."""
    module_shape = ModuleShape.from_dict(shape)
    module_shape = dataclasses.replace(module_shape, rpcs=module_shape.customers / MEETING_S)
    gateway = SimulatedGateway(module_shape)
    seconds = gateway.play(
        MEETING_S, module_shape.budget, customer_numbers=gateway.customer_numbers()
    )
    return {
        **_costs(gateway),
        "seconds": seconds,
        "customers_seen": gateway.traffic.admitted,
        "leases": len(gateway.controller.lease_manager.leases),
        "memory_mb": _memory(gateway),
    }


class FrequentChanges:
    """Changes the list fifty times a second, one endpoint's state at a time."""

    def __init__(self, gateway: SimulatedGateway) -> None:
        self.gateway = gateway
        self.started_at = gateway.traffic.now
        self.numbers = itertools.count()
        self.takeovers: list[TakeoverTime] = []

    def on_time(self, now: float) -> None:
        """Make the changes that are due."""
        while len(self.takeovers) < (now - self.started_at) * LIST_CHANGES_PER_S:
            number = next(self.numbers)
            host = number // 2 * 7 % self.gateway.shape.hosts
            status = TERMINATING if number % 2 == 0 else IN_SERVICE
            self.takeovers.append(self.gateway.change_list([build_endpoint_row(host, status)]))


def run_fifty(shape: dict[str, Any]) -> Figures:
    """Return the figures with a list that changes fifty times a second."""
    module_shape = ModuleShape.from_dict(shape)
    gateway = _start(module_shape)
    changes = FrequentChanges(gateway)
    seconds = gateway.play(LIST_CHANGES_S, module_shape.budget, changes.on_time)
    totals = [takeover.total for takeover in changes.takeovers]
    return {
        **_costs(gateway),
        "seconds": seconds,
        "changes": len(totals),
        "changes_p50_ms": percentile(totals, 0.5),
        "changes_cores": sum(totals) / 1e3 / seconds,
        "turn_longest_ms": max(
            (takeover.longest_turn for takeover in changes.takeovers), default=0.0
        ),
        "memory_mb": _memory(gateway),
    }
