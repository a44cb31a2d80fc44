"""Clients in an open loop: RPCs come at intended times, whatever became of those before.

A front deals a customer's RPCs out among the gateways of its set. Clients keep to the protocol:
one RPC at a time on a connection, a new connection where all are busy, and a second attempt on a
new one where a kept connection was closed under a command.
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
GRACE_S = 0.3  # past its patience, after which a client stops listening
SUSPECT_S = 0.25  # before a gateway that could not be reached is tried again
MINIMUM_PATIENCE_S = 0.001  # of a second attempt
BULK_STRING = 0x24

# What an exchange may end with beside the answers that the invariants know and errors of a host.
AGAIN = "again"  # the connection ended without an answer
LATE = "late"  # no answer came in time
GONE = "gone"  # the client closed its connection
SPOILT = "spoilt"  # an answer to another RPC


@dataclass(frozen=True)
class Method:
    """What clients ask: `share` of the RPCs, with `patience` in seconds."""

    name: str
    share: float = 1.0
    effect: str = "idempotent"
    patience: float = 2.0


@dataclass(frozen=True)
class Customer:
    """Who asks: `share` of the RPCs, through `gateway_count` gateways from `first_gateway` on."""

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
    """One RPC of a client.

    Attributes:
        name: Its id.
        method: What is asked.
        customer: Who asks.
        intended: The scheduler's time at which it was due to be sent.
        leave_at: The scheduler's time at which its client leaves; None where that is drawn.
    """

    name: str
    method: Method
    customer: Customer
    intended: float
    leave_at: float | None = None


@dataclass(frozen=True)
class Load:
    """What clients send: `rate` RPCs a second of these methods and customers."""

    rate: float
    methods: Sequence[Method]
    customers: Sequence[Customer]


class Front:
    """What clients know of one gateway.

    Attributes:
        name: The gateway's name.
        address: Where it is reached.
        idle: Connections that stand and are not in use.
        avoided_until: The scheduler's time until which others are tried first.
        taken_in: Whether RPCs go there at all.
    """

    def __init__(self, name: str, address: Address) -> None:
        """Make a front without connections."""
        self.name = name
        self.address = address
        self.idle: list[Stream] = []
        self.avoided_until = 0.0
        self.taken_in = True


class Clients:
    """The load of a run, owned by its fleet.

    Attributes:
        rate: RPCs a second.
        on: Whether RPCs are sent.
        out: RPCs in flight.
        leaving: The share of RPCs whose client closes its connection within its patience.
        half_closing: The share of these that end their sending first and close later.
        turned_back: RPCs that found no gateway.
        rpc_count: RPCs sent by the load so far.
        load: What is sent; its rate is that of the start.
        seed: The begin of the RPCs' ids.
        waits: For each answer the seconds since the intended time, and its kind.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        records: Records,
        fronts: Sequence[Front],
        load: Load,
        seed: int = 0,
    ) -> None:
        """Make clients that send nothing yet; `seed` is of all their draws."""
        self.rate = load.rate
        self.on = False
        self.out = 0
        self.leaving = 0.0
        self.half_closing = 0.0
        self.turned_back = 0
        self.waits: list[tuple[float, str]] = []
        self._scheduler = scheduler
        self._records = records
        self._fronts = fronts
        self.load = load
        self.seed = seed
        self._random = random.Random(f"{seed} clients")
        self.rpc_count = 0
        self._next_at = 0.0

    def start(self) -> None:
        """Send from now on."""
        self.on = True
        self._next_at = self._scheduler.monotonic()
        self._arrive()

    def stop(self) -> None:
        """Send no more; what is in flight goes on."""
        self.on = False

    def send(self, rpc: ClientRpc) -> None:
        """Send one RPC, and wait for its end; in a greenlet."""
        customer = rpc.customer
        numbers = [
            (customer.first_gateway + step) % len(self._fronts)
            for step in range(customer.gateway_count)
        ]
        self._random.shuffle(numbers)
        now = self._scheduler.monotonic()
        fronts = [self._fronts[number] for number in numbers]
        fronts.sort(key=lambda front: not front.taken_in or front.avoided_until > now)
        deadline = None
        for front in fronts:
            if not front.taken_in:
                continue
            for stream, was_idle in self._connections(front):
                if deadline is None:
                    deadline = self._scheduler.monotonic() + rpc.method.patience
                    self._record_received(rpc, front)
                verdict = self._exchange(stream, rpc, deadline)
                if rpc.name not in self._records.open_rpcs:
                    # It died with its gateway: nobody may send it again.
                    stream.close()
                    return
                if verdict == AGAIN and was_idle:
                    continue  # the connection was closed under our command
                self._finish(front, stream, rpc, verdict)
                return
            front.avoided_until = self._scheduler.monotonic() + SUSPECT_S
        self.turned_back += 1

    def _arrive(self) -> None:
        """Send what is due, and come back at the next intended time."""
        while self.on and self._next_at <= self._scheduler.monotonic():
            self._scheduler.spawn(self._send_drawn, self._next_at)
            self._next_at += self._random.expovariate(self.rate)
        if self.on:
            delay = max(0.0, self._next_at - self._scheduler.monotonic())
            self._scheduler.call_later(delay, self._arrive)

    def _send_drawn(self, intended: float) -> None:
        """Draw one RPC, and send it."""
        methods = self.load.methods
        method = self._random.choices(methods, [method.share for method in methods])[0]
        customers = self.load.customers
        customer = self._random.choices(customers, [customer.share for customer in customers])[0]
        self.rpc_count += 1
        self.out += 1
        try:
            self.send(ClientRpc(f"{self.seed}-{self.rpc_count:08x}", method, customer, intended))
        finally:
            self.out -= 1

    def _record_received(self, rpc: ClientRpc, front: Front) -> None:
        self._records.on_received(
            ReceivedRpc(
                rpc.name,
                front.name,
                rpc.customer.key,
                rpc.customer.plan,
                rpc.method.name,
                rpc.customer.units,
                rpc.method.patience,
            )
        )

    def _connections(self, front: Front) -> Iterator[tuple[Stream, bool]]:
        """Yield an idle connection where one stands, then a new one; with whether it was idle."""
        while front.idle:
            stream = front.idle.pop()
            if stream.is_read_idle() and not stream.buffer:
                yield stream, True
                break
            stream.close()
        try:
            yield Stream.dial(self._scheduler, LIMITS, front.address, DIAL_TIMEOUT_S), False
        except OSError:
            return

    def _exchange(self, stream: Stream, rpc: ClientRpc, deadline: float) -> str:
        """Send an RPC on a connection; return the kind of its answer, or AGAIN, LATE or GONE."""
        # A first attempt may have taken some of the patience.
        left = max(MINIMUM_PATIENCE_S, deadline - self._scheduler.monotonic())
        stream.write(_command(rpc, left))
        leaves = rpc.leave_at is not None
        if not leaves and self.leaving:
            leaves = self._random.random() < self.leaving
        wait = self._random.random() * left if leaves else left + GRACE_S
        if rpc.leave_at is None:
            until = self._scheduler.monotonic() + wait
        else:
            until = min(deadline, rpc.leave_at)
        try:
            while (reply := resp.parse_reply(stream.buffer, 0, LIMITS)) is None:
                stream.fill(max(0.0, until - self._scheduler.monotonic()))
        except TimeoutError:
            if not leaves:
                return LATE
            self._leave(stream, rpc)
            return GONE
        except (Closed, resp.Malformed):
            return AGAIN
        return _take_answer(stream, rpc, reply)

    def _leave(self, stream: Stream, rpc: ClientRpc) -> None:
        """Close a connection before its answer."""
        # Recorded first: the close takes some time, within which it may be seen.
        self._records.on_client_disconnected(rpc.name)
        if self.half_closing and self._random.random() < self.half_closing:
            stream.write_eof()
            self._scheduler.wait(GRACE_S)
        stream.close()

    def _finish(self, front: Front, stream: Stream, rpc: ClientRpc, verdict: str) -> None:
        """Record the end of an RPC; keep its connection where it may be used again."""
        method = rpc.method.name
        is_host_error = verdict.startswith("ERR")
        if verdict in (invariants.OK, invariants.REJECTED) or is_host_error:
            front.idle.append(stream)
            answer = invariants.ABORTED if is_host_error else verdict
            self._records.on_answered(rpc.name, answer, method)
            self.waits.append((self._scheduler.monotonic() - rpc.intended, verdict))
            return
        # No answer, or none that a host made: it is lost, unless its gateway was killed.
        stream.close()
        counts = self._records.counts
        counts[method, verdict] = counts.get((method, verdict), 0) + 1


def _command(rpc: ClientRpc, patience_s: float) -> bytes:
    """Return the bytes that ask for an RPC."""
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
    """Remove an answer from the buffer; return its kind."""
    text = b""
    if isinstance(reply.content, tuple):
        start, end = reply.content
        text = bytes(stream.buffer[start:end])
    del stream.buffer[: reply.end]
    if reply.kind == BULK_STRING:
        return invariants.OK if text == rpc.name.encode() else SPOILT
    return invariants.REJECTED if text.startswith(b"BUSY") else text.decode("latin-1")
