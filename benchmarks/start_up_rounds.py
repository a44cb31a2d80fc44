"""Rounds of starts over a fleet of real gateways, for `start_up_time.py`."""

import dataclasses
import os
import pathlib
import signal
import sys
import time
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from benchmarks.start_up_probe import LISTEN_VARIABLE
from benchmarks.start_up_starts import (
    PATIENCE_S,
    PING,
    READY,
    GatewayStart,
    percentiles,
    restrict_cores,
)
from petrellane.net.stream import Stream
from petrellane.testbed.clients import Customer, Method
from petrellane.testbed.fake_discovery import DiscoveryListener
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_control import FleetControl
from petrellane.testbed.fleet_gateway import FleetGateway
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings
from petrellane.testbed.processes import Build

ROOT = pathlib.Path(__file__).resolve().parent.parent
BOUND_S = 10.0
FLEET_START_PATIENCE_S = 120.0
KILLED_OF_TEN = 7
STAGES = (
    "interpreter",
    "imports",
    "configuration",
    "listening",
    "started",
    PING,
    READY,
    "answer",
    "ok",
)
DISCOVERY_STATES = ("up", "refuses", "503", "silent")

Row = dict[str, Any]  # one round in the JSON line
Cores = set[int] | None


class Round(NamedTuple):
    """How gateways restart (`roll` or `kill`), and the state of discovery and the counter."""

    restart: str
    discovery: str
    counter: str


ROUNDS = (
    Round("roll", "up", "up"),
    Round("roll", "refuses", "silent"),
    *(Round("kill", state, "up" if state == "up" else "silent") for state in DISCOVERY_STATES),
)


def reject_all(stream: Stream, listener: DiscoveryListener) -> None:  # noqa: ARG001 - as `serve`
    """Answer each request of discovery with 503."""
    while True:
        while (end := stream.buffer.find(b"\r\n\r\n")) < 0:
            stream.fill()
        stream.buffer.consume(end + 4)
        stream.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def set_states(fleet: LoopbackFleet, discovery: str, is_counter_silent: bool) -> None:
    """Bring discovery and the counter into a state."""
    fleet.counter.unresponsive = is_counter_silent
    fleet.discovery.unresponsive = discovery == "silent"
    vars(fleet.discovery).pop("serve", None)
    if discovery == "503":
        fleet.discovery.serve = reject_all  # type: ignore[method-assign]  # for this state alone
    for listener in fleet.discovery.listeners.values():
        if discovery == "refuses":
            listener.crash()
            continue
        if discovery == "503":
            for stream in list(listener.streams):
                stream.close()
        listener.listen_again()


def prepare_gate(folder: pathlib.Path) -> pathlib.Path:
    """Return a script that runs Python once it can read a line from the pipe `gate`.

    The testbed starts processes one after another; they wait there, and go on together.
    """
    gate = folder / "gate"
    script = folder / "gated"
    if not gate.exists():
        os.mkfifo(gate)
        script.write_text(f'#!/bin/sh\nread line < {gate}\nexec {sys.executable} "$@"\n')
        script.chmod(0o700)
    return script


def restart_killed(fleet: LoopbackFleet, cores: Cores) -> list[GatewayStart]:
    """Kill seven gateways in ten, and start them again at once."""
    killed = [gateway for gateway in fleet.gateways if gateway.number % 10 < KILLED_OF_TEN]
    for gateway in killed:
        if gateway.process is not None:
            gateway.process.expected = True
            gateway.process.popen.kill()
    for gateway in killed:
        gateway.kill()
    script = prepare_gate(pathlib.Path(fleet.folder))
    gate = os.open(script.with_name("gate"), os.O_RDWR)
    starts = []
    for gateway in killed:
        build = gateway.build
        gateway.build = dataclasses.replace(build, python=str(script))
        starts.append(GatewayStart(gateway, cores))
        gateway.build = build
        fleet.run_turn()
    fleet.run_for(1.0)
    began = time.time()
    os.write(gate, b"\n" * len(starts))
    for start in starts:
        start.watch(began)
    fleet.run_until(lambda: all(start.is_over for start in starts), "all ready", 2 * PATIENCE_S)
    os.close(gate)
    return starts


def restart_group(
    fleet: LoopbackFleet, group: Sequence[FleetGateway], cores: Cores
) -> list[GatewayStart]:
    """Ask gateways to end, and start each again as soon as it has ended."""
    ending = list(group)
    starts: list[GatewayStart] = []
    for gateway in group:
        if gateway.process is not None:
            gateway.process.expected = True
            gateway.process.signal(signal.SIGTERM)

    def start_ended() -> bool:
        for gateway in list(ending):
            if gateway.process is not None and gateway.process.is_running:
                continue
            ending.remove(gateway)
            start = GatewayStart(gateway, cores)
            starts.append(start)
            start.watch(start.began)
        return not ending and all(start.is_over for start in starts)

    fleet.run_until(start_ended, "a tenth ready", 2 * PATIENCE_S)
    return starts


def restart_rolling(fleet: LoopbackFleet, cores: Cores) -> list[GatewayStart]:
    """Restart a tenth of the gateways after another."""
    starts: list[GatewayStart] = []
    for step in range(10):
        group = [gateway for gateway in fleet.gateways if gateway.number % 10 == step]
        starts += restart_group(fleet, group, cores)
    return starts


def summarize(name: str, starts: Sequence[GatewayStart]) -> Row:
    """Return the figures of a round."""
    stages = [start.stages() for start in starts]
    ready = [max(row[PING], row[READY]) for row in stages if PING in row and READY in row]
    began = [start.began for start in starts]
    summary: Row = {
        "row": name,
        "starts": len(starts),
        "begun within": round(max(began) - min(began), 2),
        "ready within 10 s": sum(seconds <= BOUND_S for seconds in ready),
        "ready": percentiles(ready),
    }
    for stage in (*STAGES, "cpu", "waited"):
        reached = [row[stage] for row in stages if stage in row]
        summary[stage] = percentiles(reached)
        if len(reached) < len(stages):
            summary[stage + " never"] = len(stages) - len(reached)
    return summary


def build_spec(gateways: int, has_consensus: bool) -> FleetSpec:
    """Return a fleet with a light load."""
    return FleetSpec(
        gateways=gateways,
        hosts=20,
        relays=(),
        rate=60.0,
        work=0.01,
        agreement=has_consensus,
        settings=build_settings(SettingsSpec(gateways, quota=500.0)),
        methods=[Method("look")],
        customers=[Customer(number + 1, "sold", gateway_count=gateways) for number in range(20)],
    )


def start_fleet(fleet: LoopbackFleet, has_consensus: bool, cores: Cores) -> None:
    """Start all gateways with the probe of stages, and the load."""
    for gateway in fleet.gateways:
        gateway.build = Build(module="benchmarks.start_up_probe", cwd=str(ROOT))
        gateway.environ = {LISTEN_VARIABLE: str(gateway.port)}
        gateway.start()
        restrict_cores(gateway, cores)
        fleet.run_turn()
    if has_consensus:
        fleet.controls["control"] = FleetControl(fleet, "control")
        fleet.controls["control"].start()
    fleet.run_until(
        lambda: all(gateway.ready for gateway in fleet.gateways),
        "all gateways ready",
        FLEET_START_PATIENCE_S,
    )
    fleet.clients.start()
    fleet.run_for(3.0)


def play_rounds(
    gateways: int, rounds: Sequence[Round], cores: Cores, has_consensus: bool
) -> Iterator[Row]:
    """Play rounds at one fleet, and yield the figures of each."""
    with LoopbackFleet(build_spec(gateways, has_consensus)) as fleet:
        start_fleet(fleet, has_consensus, cores)
        for restart, discovery, counter in rounds:
            set_states(fleet, discovery, counter == "silent")
            fleet.run_for(1.0)
            fleet.longest_stall_s = 0.0
            play = restart_killed if restart == "kill" else restart_rolling
            starts = play(fleet, cores)
            name = f"{restart}, discovery {discovery}, counter {counter}"
            yield {
                **summarize(name + ", agreed" * has_consensus, starts),
                "gateways": gateways,
                "crashes": len(fleet.crashes),
                "rig": round(fleet.longest_stall_s, 2),
            }
            set_states(fleet, "up", False)
            fleet.run_for(3.0)
