"""Open-loop clients: RPCs are sent at intended times, whether or not earlier ones have finished.

The clients spread a customer's RPCs at random among the gateways of the customer's set. They follow
the protocol: one RPC at a time per connection, a new connection when all are busy, and a second
attempt on a new connection when the gateway closed a reused connection before it answered.
"""

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from petrellane import invariants
from petrellane.net import resp
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address, Closed, Stream
from petrellane.testbed.fake_server import LIMITS
from petrellane.testbed.records import ReceivedRpc, Records

DIAL_TIMEOUT_S = 0.5
GRACE_S = 0.3  # how long a client waits past its deadline, and from half-close to close
AVOID_AFTER_FAILED_DIAL_S = 0.25  # how long clients try other gateways first
MINIMUM_PATIENCE_S = 0.001  # the shortest timeout of an attempt
BULK_STRING = 0x24

# Outcomes of an exchange besides the answers in `invariants` and host errors.
NO_ANSWER = "again"  # the connection ended before a well-formed answer arrived
TIMED_OUT = "late"  # no answer arrived by the deadline
DISCONNECTED = "gone"  # the client closed the connection
MISMATCHED = "spoilt"  # the answer belongs to another RPC


@dataclass(frozen=True)
class Method:
    """A method that clients call.

    Attributes:
        name: The method's name.
        share: The method's relative weight when the load draws an RPC.
        effect: The method's effect class, one of those in `invariants`.
        patience: The timeout of an RPC, in seconds.
    """

    name: str
    share: float = 1.0
    effect: str = "idempotent"
    patience: float = 2.0


@dataclass(frozen=True)
class Customer:
    """A customer whose clients send RPCs.

    Attributes:
        number: The customer's number, from which its id is formatted.
        plan: The customer's plan.
        share: The customer's relative weight when the load draws an RPC.
        first_gateway: The index of the first gateway in the customer's set.
        gateway_count: The number of consecutive gateways in the customer's set.
        units: The units that each RPC of the customer costs.
    """

    number: int
    plan: str
    share: float = 1.0
    first_gateway: int = 0
    gateway_count: int = 1
    units: float = 1.0

    @property
    def key(self) -> str:
        """The customer's id on the wire."""
        return f"{self.number:016x}"


@dataclass(frozen=True)
class ClientRpc:
    """An RPC that a client sends.

    Attributes:
        name: The RPC's id.
        method: The method that the client calls.
        customer: The customer that the client belongs to.
        intended: The scheduler time at which the RPC was due to be sent, in seconds.
        disconnect_at: The scheduler time of the client's disconnect; None to draw it at random.
    """

    name: str
    method: Method
    customer: Customer
    intended: float
    disconnect_at: float | None = None


@dataclass(frozen=True)
class Load:
    """The load that clients generate.

    Attributes:
        rate: The initial rate, in RPCs per second.
        methods: The methods that RPCs are drawn from.
        customers: The customers that RPCs are drawn from.
    """

    rate: float
    methods: Sequence[Method]
    customers: Sequence[Customer]


class GatewayConnections:
    """The clients' connection pool for one gateway.

    Attributes:
        name: The gateway's name.
        address: The address at which clients reach the gateway.
        idle: The open connections that no RPC uses.
        avoided_until: The scheduler time until which clients try other gateways first.
        in_rotation: Whether clients send RPCs to the gateway.
    """

    def __init__(self, name: str, address: Address) -> None:
        """Initialize a pool without connections."""
        self.name = name
        self.address = address
        self.idle: list[Stream] = []
        self.avoided_until = 0.0
        self.in_rotation = True


class Clients:
    """Generates the load of a run; owned by its fleet.

    Attributes:
        rate: The current rate, in RPCs per second.
        on: Whether the load sends RPCs.
        in_flight: The number of RPCs in flight.
        disconnect_share: The share of RPCs whose client disconnects before the deadline.
        half_close_share: The share of those clients that half-close their connection first.
        unrouted_count: The number of RPCs for which no gateway was reachable.
        rpc_count: The number of RPCs that the load has drawn so far.
        load: The load to generate; `rate` replaces its rate after the start.
        seed: The seed of the load, which is also the prefix of RPC ids.
        waits: The seconds from the intended time to the answer, and its kind, for each answer.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        records: Records,
        gateway_connections: Sequence[GatewayConnections],
        load: Load,
        seed: int = 0,
    ) -> None:
        """Initialize stopped clients; `seed` determines all random draws."""
        self.rate = load.rate
        self.on = False
        self.in_flight = 0
        self.disconnect_share = 0.0
        self.half_close_share = 0.0
        self.unrouted_count = 0
        self.waits: list[tuple[float, str]] = []
        self._scheduler = scheduler
        self._records = records
        self._fronts = gateway_connections
        self.load = load
        self.seed = seed
        self._random = random.Random(f"{seed} clients")
        self.rpc_count = 0
        self._next_at = 0.0

    def start(self) -> None:
        """Start to send RPCs."""
        self.on = True
        self._next_at = self._scheduler.monotonic()
        self._arrive()

    def stop(self) -> None:
        """Stop sending RPCs; RPCs in flight continue."""
        self.on = False

    def send(self, rpc: ClientRpc) -> None:
        """Send one RPC and wait until it ends; must run in a greenlet."""
        customer = rpc.customer
        numbers = [
            (customer.first_gateway + step) % len(self._fronts)
            for step in range(customer.gateway_count)
        ]
        self._random.shuffle(numbers)
        now = self._scheduler.monotonic()
        gateway_connections = [self._fronts[number] for number in numbers]
        gateway_connections.sort(
            key=lambda connections: not connections.in_rotation or connections.avoided_until > now
        )
        deadline = None
        for connections in gateway_connections:
            if not connections.in_rotation:
                continue
            for stream, was_idle in self._connections(connections):
                if deadline is None:
                    deadline = self._scheduler.monotonic() + rpc.method.patience
                    self._record_received(rpc, connections)
                verdict = self._exchange(stream, rpc, deadline)
                if rpc.name not in self._records.open_rpcs:
                    # The gateway was killed, which ended the RPC: the client must not retry it.
                    stream.close()
                    return
                if verdict == NO_ANSWER and was_idle:
                    continue  # the gateway closed the reused connection before it answered
                self._finish(connections, stream, rpc, verdict)
                return
            connections.avoided_until = self._scheduler.monotonic() + AVOID_AFTER_FAILED_DIAL_S
        self.unrouted_count += 1

    def _arrive(self) -> None:
        """Send all RPCs that are due, and reschedule itself for the next intended time."""
        while self.on and self._next_at <= self._scheduler.monotonic():
            self._scheduler.spawn(self._send_drawn, self._next_at)
            self._next_at += self._random.expovariate(self.rate)
        if self.on:
            delay = max(0.0, self._next_at - self._scheduler.monotonic())
            self._scheduler.call_later(delay, self._arrive)

    def _send_drawn(self, intended: float) -> None:
        """Draw a method and a customer at random, and send an RPC."""
        methods = self.load.methods
        method = self._random.choices(methods, [method.share for method in methods])[0]
        customers = self.load.customers
        customer = self._random.choices(customers, [customer.share for customer in customers])[0]
        self.rpc_count += 1
        self.in_flight += 1
        try:
            self.send(ClientRpc(f"{self.seed}-{self.rpc_count:08x}", method, customer, intended))
        finally:
            self.in_flight -= 1

    def _record_received(self, rpc: ClientRpc, connections: GatewayConnections) -> None:
        self._records.on_received(
            ReceivedRpc(
                rpc.name,
                connections.name,
                rpc.customer.key,
                rpc.customer.plan,
                rpc.method.name,
                rpc.customer.units,
                rpc.method.patience,
            )
        )

    def _connections(self, connections: GatewayConnections) -> Iterator[tuple[Stream, bool]]:
        """Yield an open idle connection, if there is one, and then a new connection.

        Each connection is paired with whether it was idle. There is no new connection if the
        gateway cannot be reached.
        """
        while connections.idle:
            stream = connections.idle.pop()
            if stream.is_read_idle() and not stream.buffer:
                yield stream, True
                break
            stream.close()
        try:
            yield Stream.dial(self._scheduler, LIMITS, connections.address, DIAL_TIMEOUT_S), False
        except OSError:
            return

    def _exchange(self, stream: Stream, rpc: ClientRpc, deadline: float) -> str:
        """Send an RPC; return the kind of its answer, or NO_ANSWER, TIMED_OUT or DISCONNECTED."""
        # A first attempt may have used part of the timeout.
        left = max(MINIMUM_PATIENCE_S, deadline - self._scheduler.monotonic())
        stream.write(_command(rpc, left))
        leaves = rpc.disconnect_at is not None
        if not leaves and self.disconnect_share:
            leaves = self._random.random() < self.disconnect_share
        wait = self._random.random() * left if leaves else left + GRACE_S
        if rpc.disconnect_at is None:
            until = self._scheduler.monotonic() + wait
        else:
            until = min(deadline, rpc.disconnect_at)
        try:
            while (reply := resp.parse_reply(stream.buffer, 0, LIMITS)) is None:
                stream.fill(max(0.0, until - self._scheduler.monotonic()))
        except TimeoutError:
            if not leaves:
                return TIMED_OUT
            self._disconnect(stream, rpc)
            return DISCONNECTED
        except (Closed, resp.Malformed):
            return NO_ANSWER
        return _take_answer(stream, rpc, reply)

    def _disconnect(self, stream: Stream, rpc: ClientRpc) -> None:
        """Disconnect before the answer arrives."""
        # Recorded first, because the gateway may see the disconnect before this method returns.
        self._records.on_client_disconnected(rpc.name)
        if self.half_close_share and self._random.random() < self.half_close_share:
            stream.write_eof()
            self._scheduler.wait(GRACE_S)
        stream.close()

    def _finish(
        self, connections: GatewayConnections, stream: Stream, rpc: ClientRpc, verdict: str
    ) -> None:
        """Record the end of an RPC; keep its connection if it can be reused."""
        method = rpc.method.name
        is_host_error = verdict.startswith("ERR")
        if verdict in (invariants.OK, invariants.REJECTED) or is_host_error:
            connections.idle.append(stream)
            answer = invariants.ABORTED if is_host_error else verdict
            self._records.on_answered(rpc.name, answer, method)
            self.waits.append((self._scheduler.monotonic() - rpc.intended, verdict))
            return
        # No valid answer arrived: the RPC counts as lost unless its gateway was killed.
        stream.close()
        counts = self._records.counts
        counts[method, verdict] = counts.get((method, verdict), 0) + 1


def _command(rpc: ClientRpc, patience_s: float) -> bytes:
    """Return the encoded request of an RPC."""
    customer = rpc.customer
    fields = (
        f"c={rpc.method.name},t={customer.plan},d={int(patience_s * 1e3)},"
        f"units={customer.units:g},spread={customer.gateway_count},first={customer.first_gateway}"
    )
    if rpc.method.effect == invariants.DEDUPLICATED:
        fields += f",k={rpc.name[-8:]}"
    verb = b"SVC.QUERY" if rpc.method.effect == invariants.IDEMPOTENT else b"SVC.SUBMIT"
    return resp.encode_command(verb, customer.key.encode(), rpc.name.encode(), fields.encode())


def _take_answer(stream: Stream, rpc: ClientRpc, reply: resp.Reply) -> str:
    """Remove an answer from the stream's buffer; return its kind."""
    text = b""
    if isinstance(reply.content, tuple):
        start, end = reply.content
        text = bytes(stream.buffer[start:end])
    stream.buffer.consume(reply.end)
    if reply.kind == BULK_STRING:
        return invariants.OK if text == rpc.name.encode() else MISMATCHED
    return invariants.REJECTED if text.startswith(b"BUSY") else text.decode("latin-1")
