"""A fake of a host: it runs RPCs in a limited number of slots with a queue, and fails on demand.

The host reports the attempts that arrive and the RPCs that it runs to the records of the run, from
which the invariant checker works.
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
MAXIMUM_REMEMBERED = 20_000  # idempotency keys, and peer addresses
DEFAULT_WORK_S = 0.02  # mean work of a method that the host's spec does not list
MINIMUM_PARTS = 4  # in a command that carries an RPC


@dataclass(frozen=True)
class HostSpec:
    """The properties of a fake host.

    Attributes:
        name: The host's name in the endpoint list.
        mean_work_s: The mean work of an RPC in seconds, by method.
        slots: The number of RPCs that run concurrently.
        queue: The length of the queue; the host rejects RPCs when it is full.
        slow_start_s: The seconds that the host takes to warm up after a start; 0 for no warm-up.
        slow_start_minimum: The fraction of its full speed that the host has right after a start.
        seed: The seed of the random work and failures.
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
    """A fake host of a run, owned by its fleet.

    The work of each RPC is drawn from an exponential distribution.

    Attributes:
        name: The host's name in the endpoint list.
        error_rate: The share of the RPCs run by the host that fail.
        slowdown: The factor by which all work takes longer.
        silent: Whether the host accepts RPCs without starting or answering any.
        draining: Whether the host rejects all RPCs.
        started_at: The Unix time of the last restart, in seconds; 0 if the host never restarted.
        busy: The number of slots in use.
        ran: The number of RPCs that the host has run without failing.
        relayed_at: The scheduler time at which a relay last read forwarded bytes, by peer address.
        on_restart: The function called when the host crashes and when it starts again.
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
            records: The records that the host reports to.
            spec: The properties of the host.
            executed_keys: The idempotency keys that have run, shared by the hosts of a group: a
                repeated key has no effect.
            address: The address to listen at.
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
        self._closed_peers: set[Address] = set()  # peers whose gateway has closed the connection

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
        """Start queued RPCs while slots are free."""
        while self._waiting and self.busy < self._spec.slots and not self.silent:
            waiting = self._waiting.popleft()
            self.busy += 1
            seconds = waiting.work_s * self.slowdown / self._speed()
            self.scheduler.call_later(
                seconds, partial(self._complete, waiting.stream, waiting.attempt)
            )

    def on_disconnected(self, stream: Stream) -> None:
        """Record the end of a connection's attempts, which the gateway has abandoned."""
        for attempt in self._in_flight.pop(stream, ()):
            self._records.on_attempt_ended(attempt, "late")

    def on_peer_closed(self, peer: Address) -> None:
        """Handle a relay's report that a gateway has closed its connection.

        The close itself may reach the host later or never. The attempts in flight on the connection
        end now. RPCs that still arrive on it are run, but do not count as attempts.
        """
        self._closed_peers.add(peer)
        if len(self._closed_peers) > MAXIMUM_REMEMBERED:
            self._closed_peers.clear()
        for stream, attempts in self._in_flight.items():
            if self.streams.get(stream) == peer:
                for attempt in attempts:
                    self._records.on_attempt_ended(attempt, "late")

    def crash(self) -> None:
        """Stop listening and reset all connections, as the kernel does when a process crashes."""
        super().crash()
        self.on_restart()

    def start(self) -> None:
        """Start again after a crash, with an empty queue and not warmed up."""
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
        """Return the current fraction of the host's full speed; below 1 while it warms up."""
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
        """Free the slot of an attempt whose work is done, run its effect and answer it.

        If the host has crashed in the meantime, the attempt has no effect and gets no answer.
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
        """Count an RPC as run, and record its effect unless its idempotency key has run before."""
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
