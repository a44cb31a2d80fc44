"""A test double of a host: it runs RPCs in a few slots, queues some, and fails on demand.

What reaches it and what it runs goes to the records of the run, which the invariants are judged
from.
"""

import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

from petrellane import invariants
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address, Stream
from petrellane.testbed.addresses import ANY_PORT
from petrellane.testbed.fake_server import FakeServer
from petrellane.testbed.records import ArrivedAttempt, HostAttempt, Records

TWO_NULLS = b"$-1\r\n$-1\r\n"
MAXIMUM_REMEMBERED = 20_000  # idempotency keys and peers
DEFAULT_WORK_S = 0.02  # of a method without a figure of its own
MINIMUM_PARTS = 4  # of a command that carries an RPC


@dataclass(frozen=True)
class HostSpec:
    """What a host is like.

    Attributes:
        name: Its name in the endpoint list.
        mean_work_s: Mean seconds of work by method.
        slots: RPCs that run at a time.
        queue: RPCs that wait at most; further ones are rejected.
        slow_start_s: Seconds that it takes to warm up after a start; 0 for none.
        slow_start_minimum: The part of its speed that it has at the start.
        seed: Of the draws of work and failures.
    """

    name: str
    mean_work_s: Mapping[str, float]
    slots: int = 8
    queue: int = 32
    slow_start_s: float = 0.0
    slow_start_minimum: float = 1.0
    seed: int = 0


@dataclass(frozen=True)
class _WaitingAttempt:
    stream: Stream
    attempt: HostAttempt
    work_s: float


class FakeHost(FakeServer):
    """One host of a run; the work of an RPC is drawn from an exponential distribution.

    Attributes:
        name: Its name in the endpoint list.
        error_rate: The share of what it runs that fails.
        slowdown: The factor by which all work takes longer.
        silent: Whether it takes RPCs and neither runs nor answers them.
        draining: Whether it rejects all RPCs.
        started_at: Unix time of its last start; 0 when it never crashed.
        busy: Slots in use.
        ran: RPCs that it has run.
        relayed_at: By peer when a relay last read bytes from there, in the scheduler's seconds.
        on_restart: Called when it crashes and when it starts again.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        records: Records,
        spec: HostSpec,
        executed_keys: dict[str | None, None],
        address: Address = ANY_PORT,
    ) -> None:
        """Listen at an address.

        Args:
            scheduler: The scheduler of the run.
            records: Where it reports what it sees.
            spec: What it is like.
            executed_keys: Idempotency keys that have run, which the hosts of a group share: a
                repeat has no effect.
            address: Where to listen.
        """
        super().__init__(scheduler, address)
        self.name = spec.name
        self.error_rate = 0.0
        self.slowdown = 1.0
        self.silent = False
        self.draining = False
        self.started_at = 0.0
        self.busy = 0
        self.ran = 0
        self.relayed_at: dict[Address | None, float] = {}
        self.on_restart: Callable[[], object] = _ignore
        self._spec = spec
        self._records = records
        self._executed_keys = executed_keys
        self._random = random.Random(f"{spec.seed} {spec.name}")
        self._waiting: deque[_WaitingAttempt] = deque()
        self._in_flight: dict[Stream, list[HostAttempt]] = {}
        self._closed_peers: set[Address] = set()  # whose gateway has closed the connection

    def serve(self, stream: Stream) -> None:
        """Answer PING and RPCs."""
        for parts in self.commands(stream):
            if parts[0] == b"PING":
                stream.write(b"+PONG\r\n")
            elif parts[0] in (b"SVC.QUERY", b"SVC.SUBMIT") and len(parts) >= MINIMUM_PARTS:
                self._receive(stream, parts)
            else:
                stream.write(b"-SYNTAX\r\n")

    def run_waiting(self) -> None:
        """Start as many waiting RPCs as there are free slots."""
        while self._waiting and self.busy < self._spec.slots and not self.silent:
            waiting = self._waiting.popleft()
            self.busy += 1
            seconds = waiting.work_s * self.slowdown / self._speed()
            self.scheduler.call_later(
                seconds, partial(self._complete, waiting.stream, waiting.attempt)
            )

    def on_disconnected(self, stream: Stream) -> None:
        """End the attempts of a connection: the gateway has given them up."""
        for attempt in self._in_flight.pop(stream, ()):
            self._records.on_attempt_ended(attempt, "late")

    def on_peer_closed(self, peer: Address) -> None:
        """Take note from a relay that a gateway has closed its connection.

        The end may arrive here later or never. What is in flight on it is over; what comes from
        there yet is work, with its effect, but no attempt.
        """
        self._closed_peers.add(peer)
        if len(self._closed_peers) > MAXIMUM_REMEMBERED:
            self._closed_peers.clear()
        for stream, attempts in self._in_flight.items():
            if self.streams.get(stream) == peer:
                for attempt in attempts:
                    self._records.on_attempt_ended(attempt, "late")

    def crash(self) -> None:
        """Stop listening, and reset all connections, as when its process dies."""
        super().crash()
        self.on_restart()

    def start(self) -> None:
        """Start again, cold."""
        self.started_at = self.scheduler.now()
        self.busy = 0
        self.silent = False
        self._waiting.clear()
        self.listen_again()
        self.on_restart()
        self._records.add(
            invariants.EndpointStarted(self._records.now(), self.name, float(self._spec.slots))
        )

    def _speed(self) -> float:
        """Return the part of its speed that it has by now, as it warms up."""
        spec = self._spec
        if not (self.started_at and spec.slow_start_s):
            return 1.0
        since_start = self.scheduler.now() - self.started_at
        minimum = spec.slow_start_minimum
        return min(1.0, minimum + (1 - minimum) * since_start / spec.slow_start_s)

    def _receive(self, stream: Stream, parts: list[bytes]) -> None:
        rpc = parts[2].decode()
        fields = dict(part.split("=", 1) for part in parts[3].decode().split(",") if "=" in part)
        mean_work_s = self._spec.mean_work_s.get(fields.get("c", ""), DEFAULT_WORK_S)
        work_s = mean_work_s * self._random.expovariate(1.0)
        peer = self.streams.get(stream)
        is_late = peer in self._closed_peers
        if len(self.relayed_at) > MAXIMUM_REMEMBERED:
            self.relayed_at.clear()
        attempt = self._records.on_attempt_arrived(
            ArrivedAttempt(
                rpc, self.name, work_s, fields.get("k"), is_late, self.relayed_at.get(peer)
            )
        )
        if self.silent:
            self._in_flight.setdefault(stream, []).append(attempt)
        elif self.draining or len(self._waiting) >= self._spec.queue:
            self._records.on_attempt_ended(attempt, "full")
            stream.write(b"-BUSY\r\n")
        else:
            self._in_flight.setdefault(stream, []).append(attempt)
            self._waiting.append(_WaitingAttempt(stream, attempt, work_s))
            self.run_waiting()

    def _complete(self, stream: Stream, attempt: HostAttempt) -> None:
        """Free the slot of an attempt whose work is done, and answer it.

        A host that has crashed meanwhile does neither run nor answer it.
        """
        self.busy -= 1
        if self.listener is not None:
            fails = self._random.random() < self.error_rate
            if not fails:
                self._execute(attempt)
            if attempt in self._in_flight.get(stream, ()) and not self.silent:
                self._in_flight[stream].remove(attempt)
                self._records.on_attempt_ended(attempt, "error" if fails else "ok")
                self._answer(stream, attempt, fails)
        self.run_waiting()

    def _execute(self, attempt: HostAttempt) -> None:
        """Take note that an RPC ran, unless its idempotency key has run before."""
        self.ran += 1
        if attempt.key is None or attempt.key not in self._executed_keys:
            self._executed_keys[attempt.key] = None
            self._records.on_executed(attempt)
        if len(self._executed_keys) > MAXIMUM_REMEMBERED:
            for key in list(self._executed_keys)[: MAXIMUM_REMEMBERED // 2]:
                del self._executed_keys[key]

    def _answer(self, stream: Stream, attempt: HostAttempt, fails: bool) -> None:
        if fails:
            stream.write(b"-ERR failed\r\n")
            return
        value = attempt.rpc.encode()
        stream.write(b"*3\r\n$%d\r\n%b\r\n%b" % (len(value), value, TWO_NULLS))


def _ignore() -> None:
    """Do nothing."""
