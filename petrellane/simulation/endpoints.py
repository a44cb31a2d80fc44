"""Simulated endpoints with cores, slots, a queue, slow start and shared idempotency keys.

An endpoint executes attempts and replies to them. The handlers in `endpoint_faults` start, kill and
impair endpoints, and `discovery` maintains their states in the endpoint list.
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

DUPLICATE_REPLY_DELAY = (
    0.001  # seconds until an endpoint answers a duplicate of an accepted attempt
)
KEY_SLACK = 1.0  # seconds for which an endpoint retains a key beyond its window

KeyGroup = tuple[str, int]
"""A group of endpoints that share idempotency keys: the kind of the group and its number."""

KeyExpiries = dict[tuple[str, int], float]
"""The expiry time of each idempotency key, which is a customer and the number of its call."""


class PendingAttempt:
    """One attempt between a gateway and an endpoint.

    The attempt ends once for the gateway; the endpoint may continue to execute it afterwards.

    Attributes:
        gateway: The gateway process that sends the attempt.
        attempt: The action that sent the attempt.
        call: The call of the client.
        rpc: The id of the RPC.
        number: The number of the attempt within its RPC, from 0.
        endpoint: The endpoint that receives the attempt.
        incarnation: The incarnation of the gateway that sent the attempt.
        is_ended: Whether the gateway knows the outcome.
        is_abandoned: Whether the gateway no longer waits for the outcome.
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
    """One endpoint across its incarnations; `FleetSimulation` owns it.

    Attributes:
        name: The address of the endpoint.
        zone: The number of the zone that the endpoint runs in.
        pod: The number of its pod; the endpoints of a pod can share idempotency keys.
        started_at: The time at which the process started; None if it started before the run.
        is_alive: Whether the process is running.
        is_unreachable: Whether the endpoint is disconnected from the network.
        is_hanging: Whether the endpoint queues attempts without executing them.
        slowdown: The factor by which faults lengthen the execution of an attempt.
        error_rate: The fraction of attempts that the endpoint answers with an error.
        running: The attempts in execution, with the incarnation in which each one began.
        waiting: The attempts in the queue.
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
        """Handle the last byte of an attempt: answer it, reject it or add it to the queue."""
        if self.is_unreachable:
            return
        if not self.is_alive:
            self._reply(pending, UNREACHABLE)
            return
        self._record_arrival(pending)
        now = self._simulation.events.now
        keys = self._shared_keys(pending)
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

        The endpoint drops abandoned attempts if the scenario allows the cancellation of work.
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
            duration = work * sharing * self.slowdown / self._speed / self._warm_up_fraction()
            self.running[pending] = self._incarnation
            self._simulation.events.schedule_after(
                duration, self._finish, pending, self._incarnation
            )

    def kill(self) -> None:
        """Kill the process and reset all attempts in execution and in the queue."""
        self.is_alive = False
        self._incarnation += 1
        lost = [*self.running, *self.waiting]
        self.running = {}
        self.waiting.clear()
        for pending in lost:
            self._reply(pending, RESET)

    def start(self) -> None:
        """Start a new, cold process unless a process is running."""
        if self.is_alive:
            return
        now = self._simulation.events.now
        self.is_alive = True
        self.is_hanging = False
        self.started_at = now
        capacity = self._simulation.world.cores * self._speed
        self._simulation.record(EndpointStarted(now, self.name, capacity))

    def _warm_up_fraction(self) -> float:
        """Return the fraction of its full capacity that the endpoint has at its present age."""
        world = self._simulation.world
        if self.started_at is None:
            return 1.0
        age = (self._simulation.events.now - self.started_at) / world.slow_start
        return min(1.0, world.slow_start_minimum + (1 - world.slow_start_minimum) * age)

    def _shared_keys(self, pending: PendingAttempt) -> KeyExpiries | None:
        """Return the keys shared within the scope of the method; None without deduplication."""
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
        """Finish the execution of an attempt, unless its process has died."""
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
        """Send an outcome to the gateway, unless the endpoint or its link is disconnected."""
        if self.is_unreachable:
            return
        delay = self._simulation.network.delay(self.zone, pending.gateway.zone, self._rng)
        if delay is not None:
            self._simulation.events.schedule_after(
                delay, pending.gateway.report_outcome, pending, outcome
            )
