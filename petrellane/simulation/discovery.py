"""The host list: late by chance, later still by faults, and in order at each gateway. From its first trouble on, gateways
call for it one call after the other, by the rules that they have on sockets."""

from collections import Counter, deque

from petrellane.decisions import types as api
from petrellane.operation.backoff import Backoff, PollFailure, PollTimes
from petrellane.simulation.event_queue import chance

TIMES = PollTimes(
    max_interval=5.0,
    first_interval=5.0,
    max_hold=3.8,
    grace=1.0,
    poll_timeout=2.0,
    initial_pause=0.1,
)  # as petrellane/net/limits.py has them


class Discovery:
    """`rows` is the list as discovery has it; gateways are told of changes, each at a time of its own."""

    def __init__(self, fleet):
        self.fleet, self.rng, self.late = fleet, chance(fleet.world.seed, "discovery"), 0.0
        self.rows = {machine: (machine, api.READY, None) for machine in fleet.machines}
        self.before = dict(
            self.rows
        )  # as it was up to a second ago: what a gateway that starts holds
        self.next = {}  # node -> when its last word reaches it
        self.trouble, self.rate, self.served = (
            Counter(),
            [],
            deque(),
        )  # kinds that are on; limits; calls lately
        self.index, self.changed, self.callers = (
            0,
            {},
            None,
        )  # callers: node -> its calls, from the first trouble on
        self.calls, self.refused = Counter(), Counter()  # by second

    def stale(self):
        """The list that a gateway has kept from before its start."""
        return [row for row in self.before.values() if row[1] != api.GONE]

    def told(self, machine, state):
        """Discovery itself learns of this now."""
        row = self.rows[machine] = (machine, state, machine.up_since)
        self.fleet.heap.after(1.0, self.before.__setitem__, machine, row)
        self.index += 1
        self.changed[machine] = self.index
        for node in self.fleet.living():
            if self.callers is None:
                self.tell(node, False, [row])
            else:
                self.callers[node].look()

    def noticed(self, machine, state, times=1.0):
        """Discovery learns within the world's notice, if it is still so then."""
        self.fleet.heap.after(
            self.rng.random() * self.fleet.world.notice * times, self.look, machine, state
        )

    def look(self, machine, state):
        up = machine.alive and not machine.silent
        if up == (state == api.READY) and (self.rows[machine][1], self.rows[machine][2]) != (
            state,
            machine.up_since,
        ):
            self.told(machine, state)

    def tell(self, node, full, rows):
        at = max(
            self.fleet.heap.now + 0.02 + 0.4 * self.rng.random() + self.late * self.rng.random(),
            self.next.get(node, 0.0),
        )
        self.next[node] = at
        self.fleet.heap.at(at, node.event, node.life, node.listed, full, rows)

    def watch(self, node):
        """A gateway has begun to watch: the whole list as it is when the answer leaves."""
        if self.callers is not None:
            self.callers[node] = Caller(self, node)
            self.callers[node].call()
            return
        self.tell(node, True, self.whole())

    def whole(self):
        return [row for row in self.rows.values() if row[1] != api.GONE]

    # trouble

    def begin(self, kind, rate=0.0):
        """`silent`: no call is answered; `refused`: none arrives; `turned away`: none over so many a second. All watches
        break. What gives the end of it."""
        if self.callers is None:
            self.callers = {node: Caller(self, node, self.index) for node in self.fleet.living()}
            for caller in self.callers.values():
                caller.begin()  # the watch that it has
        self.trouble[kind] += 1
        if rate:
            self.rate.append(rate)
        for caller in self.callers.values():
            caller.breaks(kind)

        def end():
            self.trouble[kind] -= 1
            if rate:
                self.rate.remove(rate)

        return end

    def turns_away(self):
        """Whether this call is one too many."""
        now = self.fleet.heap.now
        while self.served and self.served[0] <= now - 1.0:
            self.served.popleft()
        if self.rate and len(self.served) >= min(self.rate):
            return True
        self.served.append(now)
        return False


class Caller:
    """The calls of one life of a gateway; `version` is what it has heard up to, None for nothing."""

    def __init__(self, discovery, node, version=None):
        self.discovery, self.node, self.life, self.version = discovery, node, node.life, version
        self.heap, self.number, self.watching = discovery.fleet.heap, 0, False
        self.backoff = Backoff(
            chance(discovery.fleet.world.seed, "calls", node.name, node.life).random, TIMES
        )

    def begin(self):
        self.number += 1
        self.backoff.start_poll(self.heap.now, self.version is not None)
        self.watching = True
        self.after(self.backoff.remaining_hold(self.heap.now), self.none)

    def after(self, seconds, call, *words):
        """Later, unless this call is over by then."""
        number = self.number
        self.heap.after(
            seconds, lambda: number == self.number and self.life == self.node.life and call(*words)
        )

    def call(self):
        """One call, which arrives at once; it is answered when there is something to tell, or its hold is over."""
        discovery, second = self.discovery, int(self.heap.now)
        discovery.calls[second] += 1
        self.begin()
        self.watching = False
        if discovery.trouble["refused"]:
            self.fails(PollFailure.FAILED)
        elif discovery.trouble["silent"]:
            self.number += 1
            self.after(self.backoff.deadline - self.heap.now, self.fails, PollFailure.TIMED_OUT)
        elif discovery.turns_away():
            discovery.refused[second] += 1
            self.fails(PollFailure.REJECTED)
        else:
            self.watching = True
            self.look()

    def look(self):
        """Answer, if this is the watch of a gateway that does not know all."""
        discovery = self.discovery
        if not self.watching or self.version == discovery.index or self.life != self.node.life:
            return
        rows = (
            discovery.whole()
            if self.version is None
            else [
                row
                for machine, row in discovery.rows.items()
                if discovery.changed.get(machine, 0) > self.version
            ]
        )
        discovery.tell(self.node, self.version is None, rows)
        self.version = discovery.index
        self.over(True)

    def none(self):
        self.over(False)

    def over(self, news):
        self.number, self.watching = self.number + 1, False
        self.backoff.on_success(news)
        self.after(
            2 * self.discovery.fleet.world.latency, self.call
        )  # the answer, and the call behind it

    def fails(self, outcome):
        self.number, self.watching = self.number + 1, False
        self.after(self.backoff.pause_after(outcome, self.heap.now), self.call)

    def breaks(self, kind):
        """Its watch gets no answer any more: it ends at once, or nothing is heard of it."""
        if self.watching and kind == "silent":
            self.number, self.watching = self.number + 1, False
            self.after(self.backoff.deadline - self.heap.now, self.fails, PollFailure.TIMED_OUT)
        elif self.watching:
            self.fails(PollFailure.FAILED)
