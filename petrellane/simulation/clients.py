"""Clients, who keep to the protocol, and the front, which distributes their RPCs over gateways.

The front is late to detect that a gateway has died.
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

MIN_PATIENCE = 0.01  # seconds before its deadline, from which on a client sends nothing
BROKEN_PAUSE = 0.05  # seconds, about, until a client sends again after its connection broke
NO_GATEWAY_PAUSE = 0.1  # the same where the front has no gateway
MIN_RETRY_PAUSE = 0.02  # the same after an answer that asks for less
EARLY_LEAVE_RATE = 0.01  # fraction of RPCs whose client leaves at a random time
FREE_RETRIES = 2  # retries beyond the world's for an RPC that no gateway took


class ClientCall:
    """What one client wants done: one idempotency key and one amount of work, in some RPCs.

    Attributes:
        clients: Of the customer; they send its RPCs.
        customer: Who calls.
        method: What is called.
        units: Units that it costs.
        work: Core seconds.
        key: The customer's name and the number of the call.
        started_at: When it was sent first.
        deadline: When the client gives up.
        rpc_count: RPCs sent so far.
        answer: The last answer.
        is_within_quota: Whether the customer's quota covered it.
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
        """Make a call that starts now."""
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
    """One RPC of a call, at one gateway.

    Attributes:
        call: Whose RPC it is.
        name: Its id.
        number: Counts the call's RPCs from 0.
        gateway: Where it is sent.
        patience: Seconds that its client waits for it.
        deadline: When its client gives up.
        is_over: Whether its client has an answer, or none to expect.
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
        """The client has the last byte of an answer."""
        if not self.is_over:
            self.is_over = True
            self.call.clients.on_answer(self.call, answer, retry_after)

    def on_connection_broken(self) -> None:
        """The gateway died before it answered."""
        if not self.is_over:
            self.is_over = True
            self.call.clients.retry(self.call, BROKEN_PAUSE, is_free=True)


class CustomerClients:
    """All clients of one customer.

    Attributes:
        customer: Whose clients they are.
    """

    def __init__(self, simulation: FleetSimulation, customer: Customer) -> None:
        """Make the clients, and schedule their first call."""
        world = simulation.world
        self.customer = customer
        self._simulation = simulation
        self._rng = seeded_random(world.seed, "customer", customer.name)
        self._gateway_count = min(customer.gateway_count, world.gateways)
        self._preferred = 0
        self._rate_factor = 1.0
        self._call_count = 0
        # The number of the schedule of calls: a change of the rate makes a new one.
        self._schedule = 0
        self._method_shares = [method.share for method in simulation.scenario.methods]
        self.scale_rate(1.0)
        if customer.move_interval:
            simulation.events.schedule_after(customer.move_interval, self._move)

    def now(self) -> float:
        """The time of the run."""
        return self._simulation.events.now

    def scale_rate(self, factor: float) -> None:
        """Send so many times faster than until now; the time of the next call is drawn anew."""
        self._rate_factor *= factor
        self._schedule += 1
        if self.customer.rate:
            self._schedule_call(self._schedule)

    def on_answer(self, call: ClientCall, answer: str, retry_after: float) -> None:
        """An RPC of a call was answered; retry where that is safe."""
        call.answer = answer
        self._simulation.figures.on_answer(call, answer)
        method = call.method
        is_safe = method.effect == IDEMPOTENT or (
            method.effect == DEDUPLICATED and method.key_scope is KeyScope.ALL
        )
        if answer == REJECTED or (answer == ABORTED and is_safe):
            self.retry(call, max(MIN_RETRY_PAUSE, retry_after), is_free=False)

    def retry(self, call: ClientCall, pause: float, *, is_free: bool) -> None:
        """Send another RPC for a call, unless its client has sent enough of them.

        Args:
            call: What to send again.
            pause: Seconds, about.
            is_free: Whether no gateway took the one before: it doesn't count, within bounds.
        """
        retries = self._simulation.world.retries
        if is_free:
            retries += FREE_RETRIES
        if call.answer != OK and call.rpc_count <= retries:
            delay = pause * (1 + self._rng.random())
            self._simulation.events.schedule_after(delay, self._send, call)

    def _move(self) -> None:
        """From now on the next gateway is the preferred one."""
        self._preferred = (self._preferred + 1) % self._gateway_count
        self._simulation.events.schedule_after(self.customer.move_interval, self._move)

    def _schedule_call(self, schedule: int) -> None:
        delay = self._rng.expovariate(self.customer.rate * self._rate_factor)
        self._simulation.events.schedule_after(delay, self._start_call, schedule)

    def _start_call(self, schedule: int) -> None:
        """Start a new call, and schedule the next one."""
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
        """A gateway of the customer as the front picks it, among those that it thinks alive."""
        simulation = self._simulation
        gateways = [
            simulation.gateways[(self.customer.first_gateway + index) % len(simulation.gateways)]
            for index in range(self._gateway_count)
        ]
        alive = [gateway for gateway in gateways if simulation.front_sees(gateway)]
        if not alive:
            return None
        preferred = gateways[self._preferred]
        if preferred in alive and self._rng.random() < self.customer.concentration:
            return simulation.pick_process(preferred, self._rng)
        return simulation.pick_process(self._rng.choice(alive), self._rng)

    def _send(self, call: ClientCall) -> None:
        """Send a new RPC of a call to a gateway."""
        simulation = self._simulation
        world = simulation.world
        remaining = call.deadline - simulation.events.now
        patience = min(remaining, call.method.deadline * world.patience)
        if patience <= MIN_PATIENCE:
            return
        gateway = self._pick_gateway()
        if gateway is None:
            self.retry(call, NO_GATEWAY_PAUSE, is_free=True)
            return
        rpc = ClientRpc(call, gateway, patience)
        call.rpc_count += 1
        delay = world.latency * (1 + self._rng.random())
        simulation.events.schedule_after(delay, self._arrive, rpc)

    def _arrive(self, rpc: ClientRpc) -> None:
        """An RPC has arrived at its gateway, which may be dead."""
        simulation = self._simulation
        gateway = rpc.gateway
        if not gateway.is_alive:
            rpc.is_over = True
            self.retry(rpc.call, BROKEN_PAUSE, is_free=True)
            return
        gateway.receive(rpc)
        leaves_at = rpc.deadline + 1.2 * simulation.answer_slack
        if self._rng.random() < EARLY_LEAVE_RATE:
            leaves_at = rpc.deadline * self._rng.random()
        simulation.events.schedule_at(leaves_at, self._leave, rpc, gateway.incarnation)

    @staticmethod
    def _leave(rpc: ClientRpc, incarnation: int) -> None:
        """The client gives up, if it still waits."""
        if not rpc.is_over:
            rpc.is_over = True
            rpc.gateway.deliver(incarnation, rpc.gateway.on_client_disconnected, rpc)
