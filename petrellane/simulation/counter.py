"""The shared counter: parts that serve calls in turn, and every way in which it has been seen to lose its word."""

from collections import deque

from petrellane.decisions import types as api
from petrellane.simulation.event_queue import chance
from petrellane.simulation.network import Network

KEEP = 5.0  # seconds of changes that can be rolled back


class Copy:
    """The numbers by name, with what is needed to go back to an older state."""

    def __init__(self, names=None):
        self.names = dict(names or {})  # name -> (total, dies at)
        self.changes = deque()  # (at, name, what it was)

    def add(self, now, name, amount, ttl):
        total, dies = self.names.get(name, (0.0, -1.0))
        before = self.names.get(name)
        if dies <= now:
            total, dies = 0.0, now + min(60.0, ttl)
        self.changes.append((now, name, before))
        while self.changes[0][0] < now - KEEP:
            self.changes.popleft()
        self.names[name] = total + amount, dies
        return total + amount

    def roll_back(self, to):
        """Go back to what the names were at a time."""
        while self.changes and self.changes[-1][0] > to:
            _, name, before = self.changes.pop()
            if before is None:
                self.names.pop(name, None)
            else:
                self.names[name] = before


class Counter:
    """It stands in zone 0. While split, gateways of odd and of even number each have a copy; one of them survives."""

    def __init__(self, fleet):
        self.fleet, self.rng = fleet, chance(fleet.world.seed, "counter")
        self.copies = [Copy()]
        self.busy = [0.0] * max(1, fleet.world.counter_parts)
        self.slow, self.silent, self.refusing = 1.0, 0, 0

    def call(self, node, add):
        """A call leaves a gateway, which hears of it once: an answer, or its time-out."""
        heap, state = self.fleet.heap, [False]

        def hear(outcome, total):
            if not state[0]:
                state[0] = True
                node.event(life, node.counted, add, outcome, total)

        life = node.life
        delay = self.fleet.network.delay(node.zone, Network.COUNTER, node.rng)
        heap.after(self.fleet.world.counter_timeout, hear, api.LATE, 0.0)
        if delay is not None:
            heap.after(delay, self.arrive, node, add, hear)

    def arrive(self, node, add, hear):
        heap, world = self.fleet.heap, self.fleet.world
        if self.refusing:
            self.answer(node, hear, api.FULL, 0.0)
            return
        part = add.name % len(self.busy)
        begins = max(heap.now, self.busy[part])
        if begins - heap.now > 3 * world.counter_timeout:
            self.answer(node, hear, api.FULL, 0.0)
            return
        self.busy[part] = begins + self.slow * len(self.busy) / world.counter_per_s
        heap.at(self.busy[part], self.serve, node, add, hear)

    def serve(self, node, add, hear):
        if self.silent and self.rng.random() < 0.5:
            return  # half of what a silent counter takes is never added
        copy = self.copies[node.number % len(self.copies)]
        total = copy.add(self.fleet.heap.now, add.name, add.amount, add.ttl)
        if not self.silent:
            self.answer(node, hear, api.OK, total)

    def answer(self, node, hear, outcome, total):
        delay = self.fleet.network.delay(Network.COUNTER, node.zone, self.rng)
        if delay is not None:
            self.fleet.heap.after(delay, hear, outcome, total)

    def forget(self, share):
        """Lose this share of the names."""
        for copy in self.copies:
            for name in sorted(copy.names):
                if self.rng.random() < share:
                    copy.changes.append((self.fleet.heap.now, name, copy.names.pop(name)))

    def split(self):
        if len(self.copies) == 1:
            self.copies.append(Copy(self.copies[0].names))

    def join(self):
        """One of two copies survives, the other's adds are lost."""
        if len(self.copies) == 2:
            del self.copies[self.rng.random() < 0.5]

    def roll_back(self, seconds):
        for copy in self.copies:
            copy.roll_back(self.fleet.heap.now - seconds)
