"""The simulated shared counter: shards that serve adds sequentially, and the counter faults."""

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

HISTORY_S = 5.0  # seconds for which changes can be rolled back
MAX_TTL_S = 60.0  # seconds; the maximum TTL of a count, whatever TTL the gateway requests
MAX_BACKLOG_TIMEOUTS = 3  # a shard with a longer backlog, in counter timeouts, rejects adds
SILENT_LOSS_RATE = 0.5  # fraction of adds that a silent counter does not apply


class Count(NamedTuple):
    """The total of one count and its expiry time."""

    total: float
    expires_at: float


class Change(NamedTuple):
    """A change of a count; `before` is its previous value, None for a new count."""

    at: float
    name: int
    before: Count | None


class CounterReplica:
    """The counts of one replica by name, with the recent changes that a rollback needs."""

    def __init__(self, counts: dict[int, Count] | None = None) -> None:
        self.counts = dict(counts or {})
        self._changes: deque[Change] = deque()

    def add(self, now: float, name: int, amount: float, ttl: float) -> float:
        """Add to a count and return its new total; a missing or expired count starts at 0."""
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

    def lose(self, now: float, name: int) -> None:
        """Remove a count, as in a loss of data."""
        self._changes.append(Change(now, name, self.counts.pop(name)))

    def roll_back(self, time: float) -> None:
        """Restore the counts of an earlier time."""
        while self._changes and self._changes[-1].at > time:
            change = self._changes.pop()
            if change.before is None:
                self.counts.pop(change.name, None)
            else:
                self.counts[change.name] = change.before


class PendingAdd:
    """An add of a gateway that awaits its outcome; the gateway receives only the first outcome."""

    def __init__(self, gateway: SimulatedGateway, add: CounterAdd) -> None:
        self.gateway = gateway
        self.add = add
        self._incarnation = gateway.incarnation
        self._is_settled = False

    def settle(self, outcome: Outcome, total: float) -> None:
        """Report the outcome to the gateway, unless an earlier outcome was reported."""
        if not self._is_settled:
            self._is_settled = True
            self.gateway.deliver(
                self._incarnation, self.gateway.on_counter_reply, self.add, outcome, total
            )


class SimulatedCounter:
    """The counter of one run; `FleetSimulation` owns it.

    During a split, gateways with odd and with even numbers use separate replicas. Only one replica
    survives the end of the split.

    Attributes:
        slowdown: The factor by which faults lengthen the service time of an add.
        silent_faults: The number of active faults in which the counter sends no replies and does
            not apply the fraction `SILENT_LOSS_RATE` of the adds.
        rejecting_faults: The number of active faults in which the counter rejects all adds.
    """

    def __init__(self, simulation: FleetSimulation) -> None:
        self.slowdown = 1.0
        self.silent_faults = 0
        self.rejecting_faults = 0
        self._simulation = simulation
        self._rng = seeded_random(simulation.world.seed, "counter")
        self._replicas = [CounterReplica()]
        self._busy_until = [0.0] * max(1, simulation.world.counter_parts)

    def send(self, gateway: SimulatedGateway, add: CounterAdd) -> None:
        """Send an add from a gateway to the counter and start its timeout."""
        events = self._simulation.events
        pending = PendingAdd(gateway, add)
        delay = self._simulation.network.delay(gateway.zone, Network.COUNTER, gateway.rng)
        timeout = self._simulation.world.counter_timeout
        events.schedule_after(timeout, pending.settle, LATE, 0.0)
        if delay is not None:
            events.schedule_after(delay, self._receive, pending)

    def _receive(self, pending: PendingAdd) -> None:
        """Reject an arriving add, or queue it at its shard."""
        events = self._simulation.events
        world = self._simulation.world
        if self.rejecting_faults:
            self._reply(pending, FULL, 0.0)
            return
        shard = pending.add.name % len(self._busy_until)
        begins_at = max(events.now, self._busy_until[shard])
        if begins_at - events.now > MAX_BACKLOG_TIMEOUTS * world.counter_timeout:
            self._reply(pending, FULL, 0.0)
            return
        duration = self.slowdown * len(self._busy_until) / world.counter_per_s
        self._busy_until[shard] = begins_at + duration
        events.schedule_at(self._busy_until[shard], self._serve, pending)

    def _serve(self, pending: PendingAdd) -> None:
        if self.silent_faults and self._rng.random() < SILENT_LOSS_RATE:
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

    def lose_counts(self, fraction: float) -> None:
        """Lose each count with a probability of `fraction`."""
        for replica in self._replicas:
            for name in sorted(replica.counts):
                if self._rng.random() < fraction:
                    replica.lose(self._simulation.events.now, name)

    def split(self) -> None:
        """Split the counter into two replicas that do not communicate."""
        if len(self._replicas) == 1:
            self._replicas.append(CounterReplica(self._replicas[0].counts))

    def end_split(self) -> None:
        """End a split: a randomly drawn replica survives, and the adds to the other are lost."""
        if len(self._replicas) == 2:
            lost = int(self._rng.random() < 0.5)
            del self._replicas[lost]

    def roll_back(self, seconds: float) -> None:
        """Restore the counts of `seconds` seconds ago, within `HISTORY_S`."""
        for replica in self._replicas:
            replica.roll_back(self._simulation.events.now - seconds)
