"""What happens between gateways and hosts.

It is judged from the list of hosts that each gateway has been sent and from what hosts got.
"""

from collections.abc import Callable, Hashable, Sequence
from dataclasses import replace
from typing import NamedTuple

from petrellane import invariants
from petrellane.testbed.clients import Method
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_relays import RouteKind
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings
from tests.integration.testbed.fleets import finish, plant_fault

SPEC = FleetSpec(
    gateways=3,
    hosts=6,
    rate=150.0,
    work=0.01,
    slots=8,
    relays=("discovery", "hosts"),
    settings=build_settings(SettingsSpec(3)),
)
# Three quarters of what four hosts can do.
COLD_START_SPEC = replace(
    SPEC,
    hosts=4,
    slots=1,
    rate=220.0,
    settings=build_settings(SettingsSpec(3, slow_start_s=8.0, slow_start_minimum=0.05)),
)
RELAY_FAULTS = (
    ("cut", 1.0),
    ("mute", 1.0),
    ("deaf", 1.0),
    ("late", 0.3),
    ("lossy", 0.5),
    ("half", 9),
    ("hang", 1.0),
    ("refuse", 1.0),
    ("reset", 1.0),
)


class HostRun(NamedTuple):
    """A fleet after its run, and the verdict on that."""

    fleet: LoopbackFleet
    verdict: invariants.Verdict


def play(
    act: Callable[[LoopbackFleet], None], seconds: float, fault: str = "", spec: FleetSpec = SPEC
) -> HostRun:
    """Run a fleet with relays to its hosts under load.

    Args:
        act: What happens in the midst of it.
        seconds: For which it goes on then.
        fault: The planted fault of all gateways; "" for none.
        spec: What the fleet is made of.
    """
    with LoopbackFleet(spec) as fleet:
        for gateway in fleet.gateways:
            if fault:
                plant_fault(gateway, fault)
        fleet.start()
        fleet.clients.start()
        fleet.run_for(0.5)
        act(fleet)
        fleet.run_for(seconds)
        return HostRun(fleet, finish(fleet))


class DrainRun(NamedTuple):
    """How many RPCs each host ran after two of them had drained, and the verdict."""

    executed: list[int]
    verdict: invariants.Verdict


def play_drain(fault: str = "") -> DrainRun:
    """Drain the first two hosts."""
    executed_before: list[int] = []

    def drain(fleet: LoopbackFleet) -> None:
        for host in fleet.hosts[:2]:
            fleet.discovery.put(host.name, host.host_port, "terminating")
        fleet.run_for(1.7)  # the grace of a drain, and what is in flight
        executed_before.extend(host.ran for host in fleet.hosts)

    fleet, verdict = play(drain, 0.8, fault)
    executed = [
        host.ran - before for host, before in zip(fleet.hosts, executed_before, strict=True)
    ]
    return DrainRun(executed, verdict)


def test_a_host_that_drains_gets_nothing_more() -> None:
    executed, verdict = play_drain()
    assert executed[:2] == [0, 0], verdict.violations[:2]
    assert verdict.counts == {}, verdict.violations[:2]
    assert min(executed[2:]) > 0
    assert any(verdict.nearest.values())


def test_where_draining_is_ignored_the_rule_is_broken() -> None:
    assert list(play_drain("draining_is_ignored").verdict.counts) == [invariants.DRAINING]


def test_a_drain_that_a_gateway_has_not_been_notified_of_does_not_bind_it() -> None:
    late_senders: set[Hashable] = set()

    def drain_behind_partition(fleet: LoopbackFleet) -> None:
        for relay in fleet.between(RouteKind.DISCOVERY, to=["g0"]):
            relay.fault("cut")
        fleet.discovery.put("h0", fleet.hosts[0].host_port, "terminating")
        fleet.run_for(2.5)
        late_senders.update(
            record.gateway
            for record in fleet.records.history
            if isinstance(record, invariants.AttemptSent)
            and record.host == "h0"
            and record.at > fleet.records.now() - 0.8
        )
        fleet.heal()

    _, verdict = play(drain_behind_partition, 2.0)
    assert late_senders == {"g0"}, verdict.violations[:2]
    assert verdict.counts == {}, verdict.violations[:2]


class ColdStartRun(NamedTuple):
    """How many RPCs a host ran after a cold start, and the verdict."""

    executed: int
    verdict: invariants.Verdict


def play_cold_start(fault: str = "") -> ColdStartRun:
    """Start one of four hosts again, cold."""
    executed_before: list[int] = []

    def restart_host(fleet: LoopbackFleet) -> None:
        host = fleet.hosts[0]
        host.crash()
        fleet.discovery.put(host.name, host.host_port, "terminated")
        fleet.run_for(0.3)
        host.start()
        fleet.discovery.put(host.name, host.host_port, since=host.started_at)
        executed_before.append(host.ran)

    fleet, verdict = play(restart_host, 4.0, fault, COLD_START_SPEC)
    return ColdStartRun(fleet.hosts[0].ran - executed_before[0], verdict)


def test_a_host_that_starts_cold_is_not_overloaded() -> None:
    executed, verdict = play_cold_start()
    assert verdict.counts == {}, verdict.violations[:2]
    assert executed > 3


def test_where_the_newest_host_comes_first_a_cold_one_is_overloaded() -> None:
    assert list(play_cold_start("newest_host_first").verdict.counts) == [invariants.COLD_START]


def play_relay_faults(
    faults: Sequence[tuple[str, float]],
    seconds: float,
    planted_fault: str = "",
    spec: FleetSpec = SPEC,
) -> HostRun:
    """Inject each fault in turn, for some seconds, between all gateways and the first two hosts."""

    def inject(fleet: LoopbackFleet) -> None:
        for name, size in faults:
            fleet.records.note(f"{name} at h0 and h1")
            for relay in fleet.between(RouteKind.HOST, to=["h0", "h1"]):
                relay.fault(name, size)
            fleet.run_for(seconds)
            fleet.heal()
            fleet.run_for(0.2)

    return play(inject, 0.5, planted_fault, spec)


def test_faults_between_gateways_and_hosts_break_no_rule() -> None:
    fleet, verdict = play_relay_faults(RELAY_FAULTS, 0.7)
    assert verdict.counts == {}, f"{verdict.violations[:3]}\n{fleet.timeline()}"
    assert not fleet.crashes
    answers = {answer for _, answer in fleet.records.counts}
    assert answers <= {invariants.OK, invariants.REJECTED, invariants.ABORTED}
    assert fleet.records.counts["look", invariants.OK] > 300


def test_where_every_method_is_retried_posts_run_twice() -> None:
    spec = replace(SPEC, methods=[Method("post", 1.0, invariants.NON_IDEMPOTENT)])
    _, verdict = play_relay_faults([("mute", 1.0)], 1.5, "every_method_is_retried", spec)
    assert list(verdict.counts) == [invariants.DUPLICATED]
