"""Faults and bursts of `attempts_after_disconnect.py`: what makes RPCs wait, and clients leave."""

import json
import random
from functools import partial
from typing import NamedTuple

from petrellane.net import resp
from petrellane.net.stream import Closed, Stream
from petrellane.testbed.clients import ClientRpc, Customer
from petrellane.testbed.fake_host import FakeHost
from petrellane.testbed.fake_server import LIMITS
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.run_file import RunFile, parse_run_file

LATE_SHARE = 1 / 3  # of connections to endpoints, which come up late
LATEST_S = 1.5
REJECTING_AT = (0.12, 0.3, 0.48, 0.66, 0.84)  # when endpoints reject, as shares of the run
REJECTING_FOR = 0.04  # as a share of the run
BURSTS_AT = (0.2, 0.36, 0.55, 0.72, 0.93)  # as shares of the run
BURST_CLIENTS = 200
PIPELINING_CLIENTS = 150
PIPELINED_COMMANDS = 200
BURST_CUSTOMER = 9
PIPELINED = resp.encode_command(
    b"SVC.QUERY", b"%016x" % BURST_CUSTOMER, b"none", b"c=none,t=free,d=1000"
)


class Step(NamedTuple):
    """One fault; times are shares of the run.

    Attributes:
        at: When it begins.
        fault: What happens.
        party: Whom it happens to; empty for all.
        between: The kind of relay that it is injected into, if any.
        length: How long it lasts.
        size: How strong it is, as the fault says.
    """

    at: float
    fault: str
    party: str
    between: str
    length: float
    size: float


STEPS = (
    Step(0.02, "late", "h0", "hosts", 0.2, 0.05),
    Step(0.05, "hang", "h1", "hosts", 0.15, 1),
    Step(0.05, "fail", "h2", "", 0.9, 0.5),
    Step(0.1, "fail", "h3", "", 0.3, 0.5),
    Step(0.25, "counter quiet", "", "", 0.1, 1),
    Step(0.3, "slow", "h0", "", 0.3, 8),
    Step(0.4, "stop", "g1", "", 0.03, 1),
    Step(0.45, "lossy", "h3", "hosts", 0.2, 0.5),
    Step(0.5, "stop", "g2", "", 0.04, 1),
    Step(0.6, "hang", "h2", "hosts", 0.1, 1),
    Step(0.65, "counter refuses", "", "", 0.1, 1),
    Step(0.7, "late", "h1", "hosts", 0.2, 0.08),
    Step(0.75, "silent", "h3", "", 0.15, 1),
    Step(0.85, "stop", "g0", "", 0.03, 1),
    Step(0.9, "reset", "h0", "hosts", 0.0, 1),
)


def format_step(step: Step, seconds: float) -> str:
    """Return a step as the testbed's run file has it."""
    lines = [
        "[[step]]",
        f"at = {step.at * seconds:.3f}",
        f'do = "{step.fault}"',
        f"who = {json.dumps([step.party] if step.party else [])}",
        f"for = {step.length * seconds:.3f}",
        f"size = {step.size:g}",
    ]
    if step.between:
        lines.append(f'between = ["{step.between}"]')
    return "\n".join(lines) + "\n"


def build_run(seed: int, seconds: float, rate: float) -> RunFile:
    """Return the run with its faults."""
    head = (
        f"[lab]\ngateways = 4\nhosts = 4\nseconds = {seconds}\nrate = {rate}\nseed = {seed}\n"
        'work = 0.1\nrelays = ["counter", "hosts"]\n'
    )
    return parse_run_file("\n".join([head, *(format_step(step, seconds) for step in STEPS)]))


def delay_connections(host: FakeHost, generator: random.Random) -> None:
    """Let some connections to an endpoint come up late: nothing is read from them before."""
    handle = host.handle_connection

    def handle_late(stream: Stream) -> None:
        if generator.random() < LATE_SHARE:
            host.scheduler.wait(generator.random() * LATEST_S)
            host.relayed_at[host.streams.get(stream)] = host.scheduler.monotonic()
        handle(stream)

    host.handle_connection = handle_late  # type: ignore[method-assign]  # delays what it does


def reject_for(fleet: LoopbackFleet, generator: random.Random, seconds: float) -> None:
    """Let all endpoints but one reject for a while, so that many RPCs wait for a retry."""
    hosts = generator.sample(fleet.hosts, len(fleet.hosts) - 1)
    for host in hosts:
        host.draining = True

    def accept_again() -> None:
        for host in hosts:
            host.draining = False

    fleet.scheduler.call_later(seconds, accept_again)


class Burst:
    """Clients that ask one gateway at once, and all leave at the same time.

    Other connections give the gateway many commands at once just before that.
    """

    def __init__(self, fleet: LoopbackFleet, generator: random.Random, number: int) -> None:
        self.number = number  # of the bursts of a run, for the RPCs' names
        self.clients = fleet.clients
        self.scheduler = fleet.scheduler
        self.random = generator
        self.connections = generator.choice(fleet.gateway_connections)
        self.stay_s = 0.02 + 0.4 * generator.random()
        first = fleet.gateway_connections.index(self.connections)
        self.customer = Customer(BURST_CUSTOMER, "free", first_gateway=first, gateway_count=1)
        self.disconnect_at = self.scheduler.monotonic() + self.stay_s
        self.until = self.disconnect_at + 1.0

    def start(self, is_quiet: bool) -> None:
        """Let the clients come, and without `is_quiet` the pipelining ones too."""
        for number in range(BURST_CLIENTS):
            self.scheduler.spawn(self._ask, f"burst-{self.number}-{number}")
        for _ in range(0 if is_quiet else PIPELINING_CLIENTS):
            delay_s = max(0.0, self.stay_s - 0.1 * self.random.random())
            self.scheduler.call_later(delay_s, lambda: self.scheduler.spawn(self._pipeline))

    def _ask(self, name: str) -> None:
        clients = self.clients
        clients.in_flight += 1
        try:
            rpc = ClientRpc(
                f"{clients.seed}-{name}",
                self.random.choice(clients.load.methods),
                self.customer,
                self.scheduler.monotonic(),
                self.disconnect_at,
            )
            clients.send(rpc)
        finally:
            clients.in_flight -= 1

    def _pipeline(self) -> None:
        try:
            stream = Stream.dial(self.scheduler, LIMITS, self.connections.address, 1.0)
            stream.write(PIPELINED * PIPELINED_COMMANDS)
            while self.scheduler.monotonic() < self.until:
                stream.fill(self.until - self.scheduler.monotonic())
                stream.buffer.clear()
        except (OSError, Closed, TimeoutError):
            pass
        finally:
            stream.close()


def schedule_disturbances(
    fleet: LoopbackFleet, generator: random.Random, seconds: float, is_quiet: bool
) -> None:
    """Have endpoints delay connections, and schedule rejections and bursts."""
    for host in fleet.hosts:
        delay_connections(host, generator)

    def reject() -> None:
        reject_for(fleet, generator, REJECTING_FOR * seconds)

    def burst(number: int) -> None:
        Burst(fleet, generator, number).start(is_quiet)

    for share in REJECTING_AT:
        fleet.scheduler.call_later(share * seconds, reject)
    for number, share in enumerate(BURSTS_AT):
        fleet.scheduler.call_later(share * seconds, partial(burst, number))
