"""Simulated clients, which follow the client protocol, and their load balancer.

The load balancer in front of the gateways distributes RPCs over them, and detects the death of a
gateway only after a delay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrellane.decisions.types import DEDUPLICATED, IDEMPOTENT, KeyScope
from petrellane.decisions.types import Method as MethodSettings
from petrellane.invariants import ABORTED, OK, REJECTED
from petrellane.simulation.event_queue import seeded_random
from petrellane.simulation.scenario import Customer

if TYPE_CHECKING:
    from petrellane.simulation.fleet import FleetSimulation
    from petrellane.simulation.gateways import SimulatedGateway

MIN_PATIENCE = 0.01  # seconds; a client sends an RPC only if it waits longer for the answer
RECONNECT_PAUSE = 0.05  # seconds before jitter until a client retries after a broken connection
NO_GATEWAY_PAUSE = 0.1  # the same if the load balancer knows no live gateway
MIN_RETRY_PAUSE = 0.02  # the same after a rejection or abort, if its Retry-After is shorter
EARLY_DISCONNECT_RATE = 0.01  # fraction of RPCs whose client disconnects at a random time
EXTRA_RETRIES = 2  # further retries of a call whose last RPC no gateway answered


class ClientCall:
    """One operation of a client, with one idempotency key, sent as one RPC plus retries.

    Attributes:
        clients: The clients of the customer, which send its RPCs.
        customer: The calling customer.
        method: The called method.
        units: The cost of the call, in units.
        work: The work of the call, in core seconds.
        key: The idempotency key: the name of the customer and the number of the call.
        started_at: The time at which the call started.
        deadline: The time at which the client gives up.
        rpc_count: The number of RPCs sent so far.
        answer: The last answer; None before the first one.
        is_within_quota: Whether the quota of the customer covered the call at its start.
    """

    __slots__ = (
        "answer",
        "clients",
        "customer",
        "deadline",
        "is_within_quota",
        "key",
        "method",
        "rpc_count",
        "started_at",
        "units",
        "work",
    )

    def __init__(
        self, clients: CustomerClients, method: MethodSettings, units: int, work: float, number: int
    ) -> None:
        """Initialize a call that starts now."""
        self.clients = clients
        self.customer = clients.customer
        self.method = method
        self.units = units
        self.work = work
        self.key = (clients.customer.name, number)
        self.started_at = clients.now()
        self.deadline = self.started_at + method.deadline
        self.rpc_count = 0
        self.answer: str | None = None
        self.is_within_quota = False


class ClientRpc:
    """One RPC of a call, sent to one gateway.

    Attributes:
        call: The call that the RPC belongs to.
        name: The id of the RPC.
        number: The number of the RPC within its call, from 0.
        gateway: The gateway process that receives the RPC.
        patience: The time that the client waits for an answer, in seconds.
        deadline: The time at which the client stops waiting.
        is_over: Whether the client has received an answer or no longer waits for one.
    """

    __slots__ = ("call", "deadline", "gateway", "is_over", "name", "number", "patience")

    def __init__(self, call: ClientCall, gateway: SimulatedGateway, patience: float) -> None:
        self.call = call
        self.number = call.rpc_count
        self.name = f"{call.customer.name}-{call.key[1]}.{call.rpc_count}"
        self.gateway = gateway
        self.patience = patience
        self.deadline = call.clients.now() + patience
        self.is_over = False

    def on_answer(self, answer: str, retry_after: float) -> None:
        """Handle the last byte of an answer."""
        if not self.is_over:
            self.is_over = True
            self.call.clients.on_answer(self.call, answer, retry_after)

    def on_connection_broken(self) -> None:
        """Handle the death of the gateway before an answer."""
        if not self.is_over:
            self.is_over = True
            self.call.clients.retry(self.call, RECONNECT_PAUSE, is_unanswered=True)


class CustomerClients:
    """All clients of one customer; `FleetSimulation` owns them.

    Attributes:
        customer: The customer of the clients.
    """

    def __init__(self, simulation: FleetSimulation, customer: Customer) -> None:
        """Initialize the clients and schedule their first call."""
        world = simulation.world
        self.customer = customer
        self._simulation = simulation
        self._rng = seeded_random(world.seed, "customer", customer.name)
        self._gateway_count = min(customer.gateway_count, world.gateways)
        self._preferred = 0
        self._rate_factor = 1.0
        self._call_count = 0
        # The version of the call schedule; a change of the rate invalidates the pending call.
        self._schedule = 0
        self._method_shares = [method.share for method in simulation.scenario.methods]
        self.scale_rate(1.0)
        if customer.move_interval:
            simulation.events.schedule_after(customer.move_interval, self._change_preferred)

    def now(self) -> float:
        """Return the current simulated time, in seconds since the start of the run."""
        return self._simulation.events.now

    def scale_rate(self, factor: float) -> None:
        """Multiply the call rate by a factor and redraw the time of the next call."""
        self._rate_factor *= factor
        self._schedule += 1
        if self.customer.rate:
            self._schedule_call(self._schedule)

    def on_answer(self, call: ClientCall, answer: str, retry_after: float) -> None:
        """Handle the answer to an RPC of a call, and retry if a retry is safe."""
        call.answer = answer
        self._simulation.figures.on_answer(call, answer)
        method = call.method
        is_safe = method.effect == IDEMPOTENT or (
            method.effect == DEDUPLICATED and method.key_scope is KeyScope.ALL
        )
        if answer == REJECTED or (answer == ABORTED and is_safe):
            self.retry(call, max(MIN_RETRY_PAUSE, retry_after), is_unanswered=False)

    def retry(self, call: ClientCall, pause: float, *, is_unanswered: bool) -> None:
        """Schedule another RPC for a call, unless the call has succeeded or has no retries left.

        Args:
            call: The call to retry.
            pause: The pause before jitter, in seconds; the jittered pause is up to twice as long.
            is_unanswered: Whether no gateway answered the last RPC, which allows `EXTRA_RETRIES`
                more retries.
        """
        retries = self._simulation.world.retries
        if is_unanswered:
            retries += EXTRA_RETRIES
        if call.answer != OK and call.rpc_count <= retries:
            delay = pause * (1 + self._rng.random())
            self._simulation.events.schedule_after(delay, self._send, call)

    def _change_preferred(self) -> None:
        """Make the next gateway the preferred one, periodically."""
        self._preferred = (self._preferred + 1) % self._gateway_count
        self._simulation.events.schedule_after(self.customer.move_interval, self._change_preferred)

    def _schedule_call(self, schedule: int) -> None:
        delay = self._rng.expovariate(self.customer.rate * self._rate_factor)
        self._simulation.events.schedule_after(delay, self._start_call, schedule)

    def _start_call(self, schedule: int) -> None:
        """Start a new call and schedule the next one, unless the schedule has changed."""
        simulation = self._simulation
        rng = self._rng
        if simulation.events.now >= simulation.world.length or schedule != self._schedule:
            return
        method = rng.choices(simulation.scenario.methods, self._method_shares)[0]
        units = rng.randint(1, max(1, self.customer.units))
        self._call_count += 1
        if simulation.world.exponential:
            work = method.work * rng.expovariate(1.0)
        else:
            work = method.work * rng.uniform(0.5, 1.5)
        call = ClientCall(
            self,
            simulation.methods[method.name],
            units,
            work * (0.5 + units / 2),
            self._call_count,
        )
        simulation.figures.on_call(call)
        self._send(call)
        self._schedule_call(schedule)

    def _pick_gateway(self) -> SimulatedGateway | None:
        """Pick a gateway process of the customer as the load balancer in front does.

        Returns:
            The picked process; None if the load balancer knows no live gateway of the customer.
        """
        simulation = self._simulation
        gateways = [
            simulation.gateways[(self.customer.first_gateway + index) % len(simulation.gateways)]
            for index in range(self._gateway_count)
        ]
        alive = [gateway for gateway in gateways if simulation.appears_alive(gateway)]
        if not alive:
            return None
        preferred = gateways[self._preferred]
        if preferred in alive and self._rng.random() < self.customer.concentration:
            return simulation.pick_process(preferred, self._rng)
        return simulation.pick_process(self._rng.choice(alive), self._rng)

    def _send(self, call: ClientCall) -> None:
        """Send a new RPC of a call to a gateway, unless too little time remains."""
        simulation = self._simulation
        world = simulation.world
        remaining = call.deadline - simulation.events.now
        patience = min(remaining, call.method.deadline * world.patience)
        if patience <= MIN_PATIENCE:
            return
        gateway = self._pick_gateway()
        if gateway is None:
            self.retry(call, NO_GATEWAY_PAUSE, is_unanswered=True)
            return
        rpc = ClientRpc(call, gateway, patience)
        call.rpc_count += 1
        delay = world.latency * (1 + self._rng.random())
        simulation.events.schedule_after(delay, self._arrive, rpc)

    def _arrive(self, rpc: ClientRpc) -> None:
        """Deliver an RPC to its gateway, or retry if the gateway is dead."""
        simulation = self._simulation
        gateway = rpc.gateway
        if not gateway.is_alive:
            rpc.is_over = True
            self.retry(rpc.call, RECONNECT_PAUSE, is_unanswered=True)
            return
        gateway.receive(rpc)
        disconnects_at = rpc.deadline + 1.2 * simulation.answer_slack
        if self._rng.random() < EARLY_DISCONNECT_RATE:
            disconnects_at = rpc.deadline * self._rng.random()
        simulation.events.schedule_at(disconnects_at, self._disconnect, rpc, gateway.incarnation)

    @staticmethod
    def _disconnect(rpc: ClientRpc, incarnation: int) -> None:
        """Disconnect the client from its gateway if it still waits for an answer."""
        if not rpc.is_over:
            rpc.is_over = True
            rpc.gateway.deliver(incarnation, rpc.gateway.on_client_disconnected, rpc)
