"""Hosts: cores and slots, a waiting room, a cold start, the memory of keys that a pod or zone shares, and their faults."""

from collections import deque

from petrellane.decisions import types as api
from petrellane.invariants import AttemptArrived, EndpointStarted, RpcExecuted
from petrellane.simulation.event_queue import chance


class PendingAttempt:
    """One call-out on its way: the gateway's side ends it once, the host's side may go on for longer."""

    __slots__ = (
        "node",
        "attempt",
        "call",
        "rpc",
        "number",
        "life",
        "left",
        "done",
        "given_up",
        "host",
    )

    def __init__(self, node, attempt, call, rpc, host):
        self.node, self.attempt, self.call, self.rpc, self.host = node, attempt, call, rpc, host
        self.number, self.life, self.left = attempt.number, node.life, attempt.timeout
        self.done = self.given_up = False


class Machine:
    """One host. `alive`: its process runs; `silent`: nothing gets in or out; `hanging`: it takes and answers nothing."""

    def __init__(self, fleet, number):
        world = fleet.world
        self.fleet, self.number, self.name = fleet, number, f"h{number}"
        self.zone = number % world.zones
        self.pod = self.zone + world.zones * (number // world.zones // world.pod)
        self.rng = chance(world.seed, "host", number)
        self.speed = 0.9 + 0.2 * self.rng.random()
        self.alive, self.silent, self.hanging, self.draining = True, False, False, False
        self.slow, self.failing = 1.0, 0.0
        self.up_since, self.life = None, 0
        self.running, self.waiting = {}, deque()

    def warmth(self):
        world = self.fleet.world
        if self.up_since is None:
            return 1.0
        age = (self.fleet.heap.now - self.up_since) / world.cold
        return min(1.0, world.cold_from + (1 - world.cold_from) * age)

    def memory(self, pending):
        """The keys that this host's group remembers for the method, key -> until when; None where no key counts."""
        method = pending.call.method
        if method.effect != api.DEDUPLICATED:
            return None
        group = {"all": "all", "zone": ("zone", self.zone)}.get(method.key_scope, ("pod", self.pod))
        return self.fleet.keys.setdefault(group, {})

    def receive(self, pending):
        """The last byte of a call-out has come."""
        if self.silent:
            return
        if not self.alive:
            self.reply(pending, api.UNREACHABLE)
            return
        now, world = self.fleet.heap.now, self.fleet.world
        self.fleet.note(
            AttemptArrived(
                now, pending.node.name, pending.rpc, pending.number, self.name, pending.call.work
            )
        )
        memory = self.memory(pending)
        if memory is not None and memory.get(pending.call.key, -1.0) >= now:
            self.fleet.heap.after(
                0.001, self.reply, pending, api.OK
            )  # its first run's answer, no second run
            return
        if len(self.waiting) >= world.queue:
            self.reply(pending, api.FULL)
            return
        if memory is not None:  # kept a little longer than it is promised
            memory[pending.call.key] = now + pending.call.method.key_window + 1.0
        self.waiting.append(pending)
        self.begin()

    def begin(self):
        """Start what waits while a slot is free; what was given up is dropped where work can be called off."""
        world = self.fleet.world
        while self.waiting and len(self.running) < world.slots and not self.hanging and self.alive:
            pending = self.waiting.popleft()
            if pending.given_up and world.cancel:
                continue
            shared = max(1.0, (len(self.running) + 1) / world.cores)
            took = pending.call.work * shared * self.slow / self.speed / self.warmth()
            self.running[pending] = self.life
            self.fleet.heap.after(took, self.finish, pending, self.life)

    def finish(self, pending, life):
        if life != self.life:
            return
        if self.hanging:  # it stands still with all that it has
            self.running.pop(pending, None)
            self.waiting.appendleft(pending)
            return
        self.running.pop(pending, None)
        if self.rng.random() < self.failing:
            self.reply(pending, api.ERROR)
        else:
            self.fleet.note(RpcExecuted(self.fleet.heap.now, pending.rpc, self.name))
            self.fleet.worked += pending.call.work
            lost = self.rng.random() < self.fleet.answers_lost
            self.reply(pending, api.RESET if lost else api.OK)
        self.begin()

    def reply(self, pending, outcome):
        """The gateway hears, unless a link is cut or the host is silent."""
        delay = (
            None
            if self.silent
            else self.fleet.network.delay(self.zone, pending.node.zone, self.rng)
        )
        if delay is not None:
            self.fleet.heap.after(delay, pending.node.outcome, pending, outcome)

    def kill(self):
        """The process dies: what it had is broken off, and its life's work with it."""
        self.alive, self.life = False, self.life + 1
        held, self.running = list(self.running) + list(self.waiting), {}
        self.waiting.clear()
        for pending in held:
            self.reply(pending, api.RESET)

    def start(self):
        """A new process, cold."""
        if not self.alive:
            self.alive, self.hanging, self.up_since = True, False, self.fleet.heap.now
            self.fleet.note(
                EndpointStarted(self.fleet.heap.now, self.name, self.fleet.world.cores * self.speed)
            )
