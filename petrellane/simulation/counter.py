"""The shared counter: parts that serve adds in turn, and every way in which it loses counts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from petrellane.decisions.actions import CounterAdd
from petrellane.decisions.types import FULL, LATE, OK, Outcome
from petrellane.simulation.event_queue import seeded_random
from petrellane.simulation.network import Network

if TYPE_CHECKING:
    from petrellane.simulation.fleet import FleetSimulation
    from petrellane.simulation.gateways import SimulatedGateway

HISTORY_S = 5.0  # seconds of changes that can be rolled back
MAX_TTL_S = 60.0  # seconds after which a count is gone, whatever was asked for
MAX_BACKLOG_TIMEOUTS = 3  # a part rejects adds behind a backlog of so many time limits
SILENT_LOSS = 0.5  # fraction of adds that a silent counter never applies


class Count(NamedTuple):
    """One count, and the time at which it is gone."""

    total: float
    expires_at: float


class Change(NamedTuple):
    """A change of a count: what it was before, None where there was none."""

    at: float
    name: int
    before: Count | None


class CounterReplica:
    """The counts by name, with the changes that are needed to go back to an older state."""

    def __init__(self, counts: dict[int, Count] | None = None) -> None:
        self.counts = dict(counts or {})
        self._changes: deque[Change] = deque()

    def add(self, now: float, name: int, amount: float, ttl: float) -> float:
        """Add to a count, which starts at 0 where there is none; the total afterwards."""
        before = self.counts.get(name)
        count = before or Count(0.0, -1.0)
        if count.expires_at <= now:
            count = Count(0.0, now + min(MAX_TTL_S, ttl))
        self._changes.append(Change(now, name, before))
        while self._changes[0].at < now - HISTORY_S:
            self._changes.popleft()
        total = count.total + amount
        self.counts[name] = Count(total, count.expires_at)
        return total

    def forget(self, now: float, name: int) -> None:
        """Lose a count."""
        self._changes.append(Change(now, name, self.counts.pop(name)))

    def roll_back(self, time: float) -> None:
        """Go back to the counts of a time."""
        while self._changes and self._changes[-1].at > time:
            change = self._changes.pop()
            if change.before is None:
                self.counts.pop(change.name, None)
            else:
                self.counts[change.name] = change.before


class PendingAdd:
    """One add of a gateway, which learns of its outcome once: a total, or a timeout."""

    def __init__(self, gateway: SimulatedGateway, add: CounterAdd) -> None:
        self.gateway = gateway
        self.add = add
        self._incarnation = gateway.incarnation
        self._is_settled = False

    def settle(self, outcome: Outcome, total: float) -> None:
        """Report the outcome, unless another one was reported."""
        if not self._is_settled:
            self._is_settled = True
            self.gateway.deliver(
                self._incarnation, self.gateway.on_counter_reply, self.add, outcome, total
            )


class SimulatedCounter:
    """The counter of one run.

    While it is split, gateways of odd and of even number each have a replica of their own, one of
    which survives.

    Attributes:
        slowdown: By how much longer an add takes.
        silent_faults: While above 0 it answers nothing, and loses half of the adds.
        refusing_faults: While above 0 it rejects all adds.
    """

    def __init__(self, simulation: FleetSimulation) -> None:
        self.slowdown = 1.0
        self.silent_faults = 0
        self.refusing_faults = 0
        self._simulation = simulation
        self._rng = seeded_random(simulation.world.seed, "counter")
        self._replicas = [CounterReplica()]
        self._busy_until = [0.0] * max(1, simulation.world.counter_parts)

    def send(self, gateway: SimulatedGateway, add: CounterAdd) -> None:
        """An add leaves a gateway."""
        events = self._simulation.events
        pending = PendingAdd(gateway, add)
        delay = self._simulation.network.delay(gateway.zone, Network.COUNTER, gateway.rng)
        timeout = self._simulation.world.counter_timeout
        events.schedule_after(timeout, pending.settle, LATE, 0.0)
        if delay is not None:
            events.schedule_after(delay, self._receive, pending)

    def _receive(self, pending: PendingAdd) -> None:
        """An add has arrived, and waits for its part."""
        events = self._simulation.events
        world = self._simulation.world
        if self.refusing_faults:
            self._reply(pending, FULL, 0.0)
            return
        part = pending.add.name % len(self._busy_until)
        begins_at = max(events.now, self._busy_until[part])
        if begins_at - events.now > MAX_BACKLOG_TIMEOUTS * world.counter_timeout:
            self._reply(pending, FULL, 0.0)
            return
        duration = self.slowdown * len(self._busy_until) / world.counter_per_s
        self._busy_until[part] = begins_at + duration
        events.schedule_at(self._busy_until[part], self._serve, pending)

    def _serve(self, pending: PendingAdd) -> None:
        if self.silent_faults and self._rng.random() < SILENT_LOSS:
            return
        add = pending.add
        replica = self._replicas[pending.gateway.number % len(self._replicas)]
        total = replica.add(self._simulation.events.now, add.name, add.amount, add.ttl)
        if not self.silent_faults:
            self._reply(pending, OK, total)

    def _reply(self, pending: PendingAdd, outcome: Outcome, total: float) -> None:
        delay = self._simulation.network.delay(Network.COUNTER, pending.gateway.zone, self._rng)
        if delay is not None:
            self._simulation.events.schedule_after(delay, pending.settle, outcome, total)

    def forget(self, share: float) -> None:
        """Lose a fraction of the counts."""
        for replica in self._replicas:
            for name in sorted(replica.counts):
                if self._rng.random() < share:
                    replica.forget(self._simulation.events.now, name)

    def split(self) -> None:
        """From now on there are two replicas that know nothing of each other."""
        if len(self._replicas) == 1:
            self._replicas.append(CounterReplica(self._replicas[0].counts))

    def join(self) -> None:
        """One of two replicas survives, and the adds of the other are lost."""
        if len(self._replicas) == 2:
            lost = int(self._rng.random() < 0.5)
            del self._replicas[lost]

    def roll_back(self, seconds: float) -> None:
        """Go back to the counts of so many seconds ago."""
        for replica in self._replicas:
            replica.roll_back(self._simulation.events.now - seconds)
