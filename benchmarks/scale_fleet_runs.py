"""Runs of many controllers, and of hollow gateways, for `scale.py`."""

import statistics
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from benchmarks.scale_content import WARM_UP_S, ZONES
from benchmarks.scale_measures import resident_mb
from benchmarks.scale_traffic import SimulatedTraffic
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController

DEMAND = 1.5  # of a customer, over what its plan allows
SUBSET_CUSTOMERS = 200
RPCS_BETWEEN_LOOKS = 8  # at each gateway
NEW_HOST = "host-new"

Figures = dict[str, Any]
Subset = set[str]


def _build_controller(
    traffic: SimulatedTraffic, seed: int, method: api.Method, events: list[api.EndpointEvent]
) -> AdmissionController:
    """Return a controller that has started and has taken its endpoint list over."""
    controller = AdmissionController(
        seed=seed,
        uses_counter=True,
        must_watch=False,
        zone="",
        counter_timeout=0.08,
        may_cancel=True,
        max_retry_after=0.5,
        slow_start=WARM_UP_S,
        slow_start_minimum=0.25,
        cross_zone_price=0.0,
        method_identities={method.identity},
    )
    traffic.execute(controller, controller.start(traffic.now))
    traffic.execute(controller, controller.on_endpoint_events(traffic.now, True, events))
    return controller


def _build_events(hosts: int, zone_of: Callable[[int], str]) -> list[api.EndpointEvent]:
    return [
        api.EndpointEvent(
            api.Endpoint(f"host{number}"), zone_of(number), "", 0, api.READY, 1.0, 0.0
        )
        for number in range(hosts)
    ]


def run_spread(shape: dict[str, Any]) -> Figures:
    """Return what one customer gets that comes evenly to many gateways with one counter.

    It asks 1.5 times what its plan allows.
    """
    rate = shape["rpcs"]
    plan = api.Plan("plan", rate=rate / DEMAND, burst=4 * rate / DEMAND)
    method = api.Method("look", 1.0, 4.0, api.IDEMPOTENT)
    customer = api.Customer("customer", plan, 0, shape["gateways"])
    memory_before = resident_mb()
    traffic = SimulatedTraffic(shape["seed"])
    controllers = [
        _build_controller(traffic, number, method, _build_events(shape["hosts"], lambda _: ""))
        for number in range(shape["gateways"])
    ]
    started_at = traffic.now
    cpu_start = time.thread_time()
    now = started_at
    traffic.costs.clear(started_at)
    while (now := now + traffic.random.expovariate(rate)) < started_at + shape["seconds"]:
        if time.thread_time() - cpu_start > shape["budget"]:
            break
        traffic.advance(now)
        traffic.admit(traffic.random.choice(controllers), method, customer)
    seconds = traffic.now - started_at
    allowed = min(traffic.admitted, plan.rate * seconds + plan.burst)
    return {
        **traffic.costs.to_dict(traffic.now),
        "seconds": seconds,
        "gateways": shape["gateways"],
        "units_let_through": traffic.units,
        "units_allowed": allowed,
        "share_of_allowed": traffic.units / allowed,
        "memory_mb": resident_mb() - memory_before,
    }


class SubsetFleet:
    """Many controllers whose endpoint subsets are looked at; lives for one run."""

    def __init__(self, shape: dict[str, Any]) -> None:
        self.rate_each = shape["rpcs"]
        self.method = api.Method("look", 1.0, 4.0, api.IDEMPOTENT)
        self.traffic = SimulatedTraffic(shape["seed"])
        self.controllers = [
            _build_controller(
                self.traffic,
                number + shape["seed"] * 10_000,
                self.method,
                _build_events(shape["hosts"], lambda host: f"zone{host % ZONES}"),
            )
            for number in range(shape["gateways"])
        ]
        plan = api.Plan("plan")
        self.customers = [
            api.Customer(f"customer{number}", plan) for number in range(SUBSET_CUSTOMERS)
        ]

    def play(self, rpcs_each: int) -> None:
        """Let so many RPCs come at each gateway, at the rate of each."""
        traffic = self.traffic
        rate = self.rate_each * len(self.controllers)
        for _ in range(rpcs_each):
            for controller in self.controllers:
                traffic.advance(traffic.now + traffic.random.expovariate(rate))
                traffic.admit(controller, self.method, traffic.random.choice(self.customers))

    def subsets(self) -> list[Subset]:
        """Return the addresses in the subset of each gateway."""
        return [
            {endpoint.address for endpoint, _ in controller.load_balancer.subset}
            for controller in self.controllers
        ]

    def replace_host(self, address: str) -> None:
        """Replace one endpoint by a new one of its zone at all gateways."""
        traffic = self.traffic
        for controller in self.controllers:
            endpoints = controller.load_balancer.endpoints
            old = next(endpoint for endpoint in endpoints if endpoint.address == address)
            new = api.Endpoint(NEW_HOST, zone=old.zone, started_at=traffic.now)
            events = [
                api.EndpointEvent(old, old.zone, "", 0, api.GONE, 1.0, 0.0),
                api.EndpointEvent(new, old.zone, "", 0, api.READY, 1.0, traffic.now),
            ]
            due_actions = controller.on_endpoint_events(traffic.now, False, events)
            traffic.execute(controller, due_actions)


def _count_moves(before: list[Subset], after: list[Subset]) -> list[int]:
    """Return how many endpoints left each gateway's subset."""
    return [len(old - new) for old, new in zip(before, after, strict=True)]


def run_sets(shape: dict[str, Any]) -> Figures:
    """Return how evenly subsets cover the endpoints, and what moves when one is replaced."""
    fleet = SubsetFleet(shape)
    fleet.play(shape["each"])
    first = fleet.subsets()
    fleet.play(RPCS_BETWEEN_LOOKS)
    second = fleet.subsets()
    replaced = next(iter(second[0]))
    fleet.replace_host(replaced)
    fleet.play(RPCS_BETWEEN_LOOKS)
    third = fleet.subsets()
    memberships = Counter(address for subset in second for address in subset)
    counts = [memberships.get(f"host{number}", 0) for number in range(shape["hosts"])]
    moves = list(zip(second, _count_moves(second, third), strict=True))
    with_host = [moved for subset, moved in moves if replaced in subset]
    without_host = [moved for subset, moved in moves if replaced not in subset]
    return {
        "gateways": len(fleet.controllers),
        "hosts": shape["hosts"],
        "rpcs_each": shape["rpcs"],
        "set_mean": statistics.mean(map(len, second)),
        "sets_least": min(counts),
        "sets_mean": statistics.mean(counts),
        "sets_most": max(counts),
        "sets_deviation": statistics.pstdev(counts),
        "hosts_in_none": counts.count(0),
        "moved_without": statistics.mean(_count_moves(first, second)),
        "sets_with_the_host": len(with_host),
        "moved_with_the_host": statistics.mean(with_host or [0]),
        "moved_others": statistics.mean(without_host or [0]),
        "sets_with_the_new_host": sum(NEW_HOST in subset for subset in third),
    }


def run_hollow(shape: dict[str, Any]) -> Figures:
    """Return the figures of hollow gateways beside the real roles.

    The shape has changes of settings as a rate a second.
    """
    # Imported here, as other builds that `--base` names may not have it.
    from petrellane.testbed.scale.config import ScaleConfig, ScaleError
    from petrellane.testbed.scale.runner import play

    options = {key: value for key, value in shape.items() if key not in ("kind", "settings_rate")}
    settings_changes = round(shape.get("settings_rate", 0.0) * shape["seconds"])
    try:
        report: dict[str, Any] = dict(
            play(ScaleConfig(**options, settings_changes=settings_changes))
        )
    except ScaleError as error:
        return {"void": str(error)}
    figures = _flatten_report(report)
    numbers = {name: value for name, value in figures.items() if isinstance(value, int | float)}
    return numbers | {"void": report["void"]}


def _flatten_report(report: dict[str, Any]) -> Figures:
    """Return the report's figures by the names that the file gives them."""
    figures: Figures = {}
    for role, row in report["roles"].items():
        if row["number"]:
            figures |= {f"{role}_{name}": value for name, value in row.items()}
    for kind, row in report["roles"]["hollow"].get("by", {}).items():
        figures |= {f"hollow_to_{kind}_{name}": value for name, value in row.items()}
    for part, name in (("list", "list"), ("settings", "settings"), ("ready_s", "ready")):
        figures |= {f"{name}_{key}": value for key, value in (report.get(part) or {}).items()}
    figures["settings_lost"] = figures["settings_changes"] - figures["settings_committed"]
    figures["ready_median_s"] = figures.pop("ready_median", None)
    figures["ready_last_s"] = figures.pop("ready_last", None)
    return figures
