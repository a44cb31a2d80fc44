"""Endpoints: cores and slots, a queue, slow start, shared idempotency keys, and their faults.

An endpoint works on attempts and replies; when it starts, dies or misbehaves is decided by
`endpoint_faults`, and what the endpoint list says of it by `discovery`.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.types import (
    DEDUPLICATED,
    ERROR,
    FULL,
    OK,
    RESET,
    UNREACHABLE,
    KeyScope,
    Outcome,
)
from petrellane.invariants import AttemptArrived, EndpointStarted, RpcExecuted
from petrellane.simulation.event_queue import seeded_random

if TYPE_CHECKING:
    from petrellane.simulation.clients import ClientCall
    from petrellane.simulation.fleet import FleetSimulation
    from petrellane.simulation.gateways import SimulatedGateway

DUPLICATE_REPLY_DELAY = 0.001  # seconds until a duplicate gets the answer of the first execution
KEY_SLACK = 1.0  # seconds for which a key is remembered beyond its window

KeyGroup = tuple[str, int]
"""Which endpoints share a memory of idempotency keys: a kind of group and its number."""

KeyMemory = dict[tuple[str, int], float]
"""Until when each idempotency key, a customer and the number of its call, is remembered."""


class PendingAttempt:
    """One attempt on its way; the gateway's side ends once, the endpoint's may go on for longer.

    Attributes:
        gateway: Whose attempt it is.
        attempt: As the decisions know it.
        call: What the client wants done.
        rpc: The id of the RPC.
        number: Counts the RPC's attempts from 0.
        endpoint: Where it goes.
        incarnation: Of the gateway, when it was sent.
        is_ended: Whether the gateway knows its outcome.
        is_abandoned: Whether the gateway waits for it no more.
    """

    __slots__ = (
        "attempt",
        "call",
        "endpoint",
        "gateway",
        "incarnation",
        "is_abandoned",
        "is_ended",
        "number",
        "rpc",
    )

    def __init__(
        self,
        gateway: SimulatedGateway,
        attempt: SendAttempt,
        call: ClientCall,
        rpc: str,
        endpoint: SimulatedEndpoint,
    ) -> None:
        self.gateway = gateway
        self.attempt = attempt
        self.call = call
        self.rpc = rpc
        self.endpoint = endpoint
        self.number = attempt.number
        self.incarnation = gateway.incarnation
        self.is_ended = False
        self.is_abandoned = False


class SimulatedEndpoint:
    """One endpoint over all its incarnations; lives as long as the run.

    Attributes:
        name: Its address.
        zone: The zone that it runs in.
        pod: The endpoints of one pod share idempotency keys.
        started_at: When its process started; None where that was before the run.
        is_alive: Whether its process runs.
        is_unreachable: Whether nothing gets in or out.
        is_hanging: Whether it accepts and answers nothing.
        slowdown: By how much longer it takes.
        error_rate: The fraction of attempts that it answers with an error.
        running: The attempts that it works on, with its incarnation when they began.
        waiting: The attempts in its queue.
    """

    def __init__(self, simulation: FleetSimulation, number: int) -> None:
        world = simulation.world
        self.name = f"h{number}"
        self.zone = number % world.zones
        self.pod = self.zone + world.zones * (number // world.zones // world.pod)
        self.started_at: float | None = None
        self.is_alive = True
        self.is_unreachable = False
        self.is_hanging = False
        self.slowdown = 1.0
        self.error_rate = 0.0
        self.running: dict[PendingAttempt, int] = {}
        self.waiting: deque[PendingAttempt] = deque()
        self._simulation = simulation
        self._rng = seeded_random(world.seed, "host", number)
        self._speed = 0.9 + 0.2 * self._rng.random()
        self._incarnation = 0

    def receive(self, pending: PendingAttempt) -> None:
        """The last byte of an attempt has arrived."""
        if self.is_unreachable:
            return
        if not self.is_alive:
            self._reply(pending, UNREACHABLE)
            return
        self._record_arrival(pending)
        now = self._simulation.events.now
        keys = self._key_memory(pending)
        if keys is not None and keys.get(pending.call.key, -1.0) >= now:
            self._simulation.events.schedule_after(DUPLICATE_REPLY_DELAY, self._reply, pending, OK)
            return
        if len(self.waiting) >= self._simulation.world.queue:
            self._reply(pending, FULL)
            return
        if keys is not None:
            keys[pending.call.key] = now + pending.call.method.key_window + KEY_SLACK
        self.waiting.append(pending)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start attempts from the queue while a slot is free.

        Abandoned ones are dropped where work can be cancelled.
        """
        world = self._simulation.world
        while (
            self.waiting
            and len(self.running) < world.slots
            and not self.is_hanging
            and self.is_alive
        ):
            pending = self.waiting.popleft()
            if pending.is_abandoned and world.cancel:
                continue
            sharing = max(1.0, (len(self.running) + 1) / world.cores)
            work = pending.call.work
            duration = work * sharing * self.slowdown / self._speed / self._warmth()
            self.running[pending] = self._incarnation
            self._simulation.events.schedule_after(
                duration, self._finish, pending, self._incarnation
            )

    def kill(self) -> None:
        """The process dies, and what it worked on or had in its queue is reset."""
        self.is_alive = False
        self._incarnation += 1
        lost = [*self.running, *self.waiting]
        self.running = {}
        self.waiting.clear()
        for pending in lost:
            self._reply(pending, RESET)

    def start(self) -> None:
        """A new process starts, cold, unless there is one."""
        if self.is_alive:
            return
        now = self._simulation.events.now
        self.is_alive = True
        self.is_hanging = False
        self.started_at = now
        capacity = self._simulation.world.cores * self._speed
        self._simulation.record(EndpointStarted(now, self.name, capacity))

    def _warmth(self) -> float:
        """The fraction of its capacity that it has now."""
        world = self._simulation.world
        if self.started_at is None:
            return 1.0
        age = (self._simulation.events.now - self.started_at) / world.slow_start
        return min(1.0, world.slow_start_minimum + (1 - world.slow_start_minimum) * age)

    def _key_memory(self, pending: PendingAttempt) -> KeyMemory | None:
        """The memory of keys that it shares for a method; None where no key counts."""
        method = pending.call.method
        if method.effect != DEDUPLICATED:
            return None
        group: KeyGroup = ("pod", self.pod)
        if method.key_scope is KeyScope.ALL:
            group = ("all", 0)
        elif method.key_scope is KeyScope.ZONE:
            group = ("zone", self.zone)
        return self._simulation.idempotency_keys.setdefault(group, {})

    def _record_arrival(self, pending: PendingAttempt) -> None:
        self._simulation.record(
            AttemptArrived(
                self._simulation.events.now,
                pending.gateway.name,
                pending.rpc,
                pending.number,
                self.name,
                pending.call.work,
            )
        )

    def _finish(self, pending: PendingAttempt, incarnation: int) -> None:
        """An attempt's work is done, unless its process died meanwhile."""
        if incarnation != self._incarnation:
            return
        self.running.pop(pending, None)
        if self.is_hanging:
            self.waiting.appendleft(pending)
            return
        if self._rng.random() < self.error_rate:
            self._reply(pending, ERROR)
        else:
            now = self._simulation.events.now
            self._simulation.record(RpcExecuted(now, pending.rpc, self.name))
            is_lost = self._rng.random() < self._simulation.lost_answer_rate
            self._reply(pending, RESET if is_lost else OK)
        self.start_waiting()

    def _reply(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Report an outcome to the gateway, unless a link is cut or the endpoint unreachable."""
        if self.is_unreachable:
            return
        delay = self._simulation.network.delay(self.zone, pending.gateway.zone, self._rng)
        if delay is not None:
            self._simulation.events.schedule_after(
                delay, pending.gateway.report_outcome, pending, outcome
            )
