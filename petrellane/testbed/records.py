"""What every party of a run observed, in the order of one clock, for the invariant checker.

Gateways write no records: what one sent is what hosts got, and what it answered is what clients
read. An attempt that never reached a host is not observed. Under which settings a gateway admits
is known by what it admits: a method that one generation alone has proves that generation.

What is observed within SETTLE_S, and within SETTLE_TURNS of the testbed however long these take,
is put in the order in which it must have happened: a gateway closes the connection of one attempt
before it sends the next of the same RPC, but two sockets may report it the other way round. What
was in a socket when a turn began is read by the end of the next. After the testbed stood still, a
client's answer may be read before what hosts got earlier: that is put before the answer too, then
and only then.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from petrellane import invariants

SETTLE_S = 0.05
SETTLE_TURNS = 2
CROSSING_S = 0.1  # after a client has left, in which an attempt for it may still begin
MAX_OPEN_RPCS = 50_000  # RPCs remembered, also after their end
DEFAULT_HISTORY = 20_000  # records kept
BEFORE_DEADLINE_S = 1e-6  # by which a client that leaves at its deadline is recorded earlier


class ReceivedRpc(NamedTuple):
    """An RPC that a client sends to a gateway, and gives up after `timeout` seconds."""

    rpc: str
    gateway: str
    customer: str
    plan: str
    method: str
    units: float
    timeout: float


class ArrivedAttempt(NamedTuple):
    """An attempt that has reached a host.

    Attributes:
        rpc: The RPC's id.
        host: The host's name.
        work: Core seconds that it takes.
        key: Its idempotency key; None without.
        is_late: Whether its gateway had given it up by then, so that only its effect counts.
        read_at: When a relay read it, by the clock; None without a relay.
    """

    rpc: str
    host: str
    work: float
    key: str | None = None
    is_late: bool = False
    read_at: float | None = None


@dataclass(eq=False, slots=True)
class HostAttempt:
    """One attempt as its host saw it come; `is_over` once its end is recorded, or need not be."""

    rpc: str
    number: int
    host: str
    gateway: str | None
    key: str | None = None
    is_over: bool = False


@dataclass(slots=True)
class OpenRpc:
    """An RPC that a gateway has received."""

    gateway: str
    method: str
    received_at: float
    deadline: float
    attempts: int = 0


class Records:
    """The records of one run, and its invariant checker; lives as long as the run.

    Attributes:
        checker: The invariant checker, which gets each record once its order is settled.
        open_rpcs: The RPCs that gateways have received, by id.
        history: The last records that the checker got.
        counts: Answers by method and kind.
        timeline: What was noted, each with its time.
        generation_by_method: The number of the one generation that has a method.
        disconnected_at: When the clients of RPCs left them.
        late_attempts: Attempts that began after that: RPC, number, and seconds.
        turns: Turns of the testbed so far.
        last_stall: The turn after which the testbed last stood still for longer than SETTLE_S.
    """

    def __init__(
        self,
        terms: invariants.RuleParameters,
        clock: Callable[[], float],
        schedule: Callable[[float, Callable[[], None]], object] | None = None,
        max_history: int = DEFAULT_HISTORY,
    ) -> None:
        """Begin a run now.

        Args:
            terms: The figures of the rules.
            clock: Returns the time in seconds.
            schedule: Makes a call after some seconds; needed where clients leave.
            max_history: How many records are kept.
        """
        self.checker = invariants.InvariantChecker(terms)
        self.clock = clock
        self.began = clock()
        self.schedule = schedule
        self.open_rpcs: dict[str, OpenRpc] = {}
        self.history: deque[invariants.Record] = deque(maxlen=max_history)
        self._unsettled: deque[tuple[invariants.Record, int]] = deque()  # each with its turn
        self.turns = 0
        self.last_stall = -2 * SETTLE_TURNS
        self.counts: dict[tuple[str, str], int] = {}
        self.timeline: list[tuple[float, str]] = []
        self.generation_by_method: dict[str, int] = {}
        self.disconnected_at: dict[str, float] = {}
        self.late_attempts: list[tuple[str, int, float]] = []

    def keep_all(self) -> None:
        """Keep every record of the run, as it is to be written or counted completely."""
        self.history = deque(self.history)

    def now(self) -> float:
        """Return the seconds since the run began."""
        return self.clock() - self.began

    def note(self, text: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append((self.now(), text))

    # Order.

    def add(self, record: invariants.Record) -> None:
        """Add a record, and pass on those whose order is settled."""
        self._unsettled.append((record, self.turns))
        while self._unsettled and self._is_settled(*self._unsettled[0]):
            self.observe(self._unsettled.popleft()[0])

    def _is_settled(self, record: invariants.Record, turn: int) -> bool:
        return record.at < self.now() - SETTLE_S and turn <= self.turns - SETTLE_TURNS

    def observe(self, record: invariants.Record) -> None:
        """Pass a record on to the invariant checker, and keep it."""
        self.checker.observe(record)
        self.history.append(record)

    def _insert(self, index: int, record: invariants.Record) -> None:
        """Insert a record before an unsettled one, with that one's time."""
        other, turn = self._unsettled[index]
        self._unsettled.insert(index, (record._replace(at=other.at), turn))

    def _add_before_answer(self, record: invariants.AttemptSent | invariants.AttemptEnded) -> None:
        """Add a record, before its RPC's answer where the testbed has just stood still."""
        if self.turns - self.last_stall < 2 * SETTLE_TURNS:
            for index, (other, _) in enumerate(self._unsettled):
                if isinstance(other, invariants.RpcAnswered) and other.rpc == record.rpc:
                    self._insert(index, record)
                    return
        self.add(record)

    # What parties report.

    def on_received(self, received: ReceivedRpc) -> None:
        """Record that a gateway has received an RPC."""
        if len(self.open_rpcs) > MAX_OPEN_RPCS:
            for rpc in list(self.open_rpcs)[: MAX_OPEN_RPCS // 2]:
                del self.open_rpcs[rpc]
        rpc, gateway, customer, plan, method, units, timeout = received
        now = self.now()
        deadline = now + timeout
        self.open_rpcs[rpc] = OpenRpc(gateway, method, now, deadline)
        self.add(invariants.RpcReceived(now, gateway, rpc, customer, plan, method, units, deadline))

    def on_attempt_arrived(self, arrived: ArrivedAttempt) -> HostAttempt:
        """Record that an attempt has reached a host.

        What began in time, by when a relay read it, and arrives after its client has left is no
        fault and is not recorded.
        """
        rpc, host, work, key, is_late, read_at = arrived
        received = self.open_rpcs.get(rpc)
        if received is None or is_late:
            return HostAttempt(rpc, 0, host, None, key, is_over=True)
        number = received.attempts
        received.attempts += 1
        if self._has_crossed_client(rpc, number, read_at):
            return HostAttempt(rpc, number, host, None, key, is_over=True)
        gateway = received.gateway
        self._add_before_answer(invariants.AttemptSent(self.now(), gateway, rpc, number, host))
        self.add(invariants.AttemptArrived(self.now(), gateway, rpc, number, host, work))
        if received.method in self.generation_by_method and not number:
            generation = self.generation_by_method[received.method]
            self.add(
                invariants.RpcAdmitted(self.now(), gateway, rpc, generation, received.received_at)
            )
        return HostAttempt(rpc, number, host, gateway, key)

    def _has_crossed_client(self, rpc: str, number: int, read_at: float | None) -> bool:
        """Return whether an attempt began in time and arrives after its client has left."""
        if rpc not in self.disconnected_at:
            return False
        began = self.now() if read_at is None else read_at - self.began
        delay = began - self.disconnected_at[rpc]
        if delay > 0:
            self.late_attempts.append((rpc, number, delay))
        return delay <= CROSSING_S < self.now() - self.disconnected_at[rpc]

    def on_attempt_ended(self, attempt: HostAttempt, outcome: str) -> None:
        """Record that an attempt is over at its host: answered, rejected, or given up."""
        if attempt.is_over:
            return
        attempt.is_over = True
        record = invariants.AttemptEnded(
            self.now(), attempt.gateway, attempt.rpc, attempt.number, outcome
        )
        for index, (other, _) in enumerate(self._unsettled):
            if (
                isinstance(other, invariants.AttemptSent)
                and other.rpc == attempt.rpc
                and other.number > attempt.number
            ):
                self._insert(index, record)
                return
        self._add_before_answer(record)

    def on_executed(self, attempt: HostAttempt) -> None:
        """Record that a host has done an RPC's work."""
        self.add(invariants.RpcExecuted(self.now(), attempt.rpc, attempt.host))

    def on_answered(self, rpc: str, answer: str, method: str) -> None:
        """Record that a client has an answer."""
        received = self.open_rpcs.get(rpc)
        self.counts[method, answer] = self.counts.get((method, answer), 0) + 1
        if received is not None:
            self.add(invariants.RpcAnswered(self.now(), received.gateway, rpc, answer))

    def on_client_disconnected(self, rpc: str) -> None:
        """Record that the client of an RPC closes its connection.

        For the invariant checker that holds from when the gateway has surely seen it: what crossed
        the close on its way is no fault. By its deadline the client waits for no answer, also
        where that comes before this record.
        """
        received = self.open_rpcs.get(rpc)
        if received is None:
            return
        if self.schedule is None:
            raise ValueError("expected a scheduler, as clients leave in this run")
        self.disconnected_at[rpc] = self.now()
        self.schedule(CROSSING_S, partial(self._add_disconnect, rpc, received))

    def _add_disconnect(self, rpc: str, received: OpenRpc) -> None:
        at = min(self.now(), received.deadline - BEFORE_DEADLINE_S)
        self.add(invariants.ClientDisconnected(at, received.gateway, rpc))

    def on_gateway_killed(self, gateway: str) -> None:
        """Record that a gateway was killed: it owes no answer any more."""
        self.add(invariants.GatewayLifecycle(self.now(), gateway, "killed"))
        self.open_rpcs = {
            rpc: received for rpc, received in self.open_rpcs.items() if received.gateway != gateway
        }

    # Results.

    def describe(self, rpc: Hashable) -> list[str]:
        """Return what was observed of an RPC, a line each."""
        lines = []
        for record in self.history:
            if getattr(record, "rpc", None) != rpc:
                continue
            figures = " ".join(
                f"{name}={value}"
                for name, value in record._asdict().items()
                if name not in ("at", "rpc")
            )
            lines.append(f"{record.at:8.3f} {type(record).__name__} {figures}")
        return lines

    def close(self) -> invariants.Verdict:
        """Return the verdict on all that was recorded up to now."""
        while self._unsettled:
            self.observe(self._unsettled.popleft()[0])
        return self.checker.close(self.now())
