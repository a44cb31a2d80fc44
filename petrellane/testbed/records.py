"""Records of what the parties of a run observe, ordered by one clock, for the invariant checker.

Gateways write no records. Hosts report the attempts that they receive and clients report the
answers that they read, so an attempt that never reaches a host is not observed. The generation that
a gateway applies is inferred from an admitted RPC whose method exists in one generation only.

A record can be reordered until it is older than SETTLE_S and the testbed has run SETTLE_TURNS
scheduler turns since. Within that time, records are put in the order in which the events must have
happened: a gateway closes the connection of one attempt before it sends the next attempt of the
same RPC, but two sockets may report these events in reverse order. Data that is in a socket when a
turn begins is read by the end of the next turn. After a stall of the testbed, a client's answer may
be read before attempts that hosts received earlier. Only then are those attempts put before the
answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from petrellane import invariants

SETTLE_S = 0.05  # the shortest time for which a record can be reordered
SETTLE_TURNS = 2  # the fewest scheduler turns for which a record can be reordered
DISCONNECT_DETECTION_S = 0.1  # after a client's disconnect; attempts may still begin in this time
MAX_OPEN_RPCS = 50_000  # RPCs kept, including finished ones
DEFAULT_HISTORY = 20_000  # number of records kept
BEFORE_DEADLINE_S = 1e-6  # how long before the deadline the latest disconnect is recorded


class ReceivedRpc(NamedTuple):
    """An RPC that a client sends to a gateway and abandons after `timeout` seconds."""

    rpc: str
    gateway: str
    customer: str
    plan: str
    method: str
    units: float
    timeout: float


class ArrivedAttempt(NamedTuple):
    """An attempt that a host has received.

    Attributes:
        rpc: The RPC's id.
        host: The host's name.
        work: The work of the attempt, in core seconds.
        key: The idempotency key; None if there is none.
        is_late: Whether the gateway closed the connection earlier, so that only the effect counts.
        read_at: The clock time at which a relay read the attempt; None if no relay did.
    """

    rpc: str
    host: str
    work: float
    key: str | None = None
    is_late: bool = False
    read_at: float | None = None


@dataclass(eq=False, slots=True)
class HostAttempt:
    """An attempt as its host observed it.

    Attributes:
        rpc: The RPC's id.
        number: The number of the attempt within its RPC, from 0.
        host: The host's name.
        gateway: The gateway that sent the attempt; None if the attempt is not recorded.
        key: The idempotency key; None if there is none.
        is_over: Whether the end of the attempt is recorded or need not be.
    """

    rpc: str
    number: int
    host: str
    gateway: str | None
    key: str | None = None
    is_over: bool = False


@dataclass(slots=True)
class OpenRpc:
    """An RPC that a gateway has received.

    Attributes:
        gateway: The gateway's name.
        method: The RPC's method.
        received_at: The time of the receipt, in seconds since the run began.
        deadline: The deadline of the RPC, in seconds since the run began.
        attempts: The number of attempts that hosts have received.
    """

    gateway: str
    method: str
    received_at: float
    deadline: float
    attempts: int = 0


class Records:
    """The records of one run and its invariant checker; owned by the fleet of the run.

    Attributes:
        checker: The invariant checker, which receives each record once its order is final.
        open_rpcs: The RPCs that gateways have received, by id.
        history: The latest records passed to the checker.
        counts: The number of answers, by method and kind.
        timeline: The notes, each with its time in seconds since the run began.
        generation_by_method: The generation number, by method that exists in one generation only.
        disconnected_at: The time of the client's disconnect in seconds since the run began, by RPC.
        late_attempts: The RPC, number and delay in seconds of attempts begun after a disconnect.
        turns: The number of scheduler turns that the testbed has run.
        last_stall_turn: The turn of the testbed's last stall of more than SETTLE_S.
    """

    def __init__(
        self,
        terms: invariants.RuleParameters,
        clock: Callable[[], float],
        schedule: Callable[[float, Callable[[], None]], object] | None = None,
        max_history: int = DEFAULT_HISTORY,
    ) -> None:
        """Start the records of a run at the current time.

        Args:
            terms: The parameters of the invariants.
            clock: The function that returns the time, in seconds.
            schedule: The function that makes a call after a delay; required if clients disconnect.
            max_history: The number of records kept in `history`.
        """
        self.checker = invariants.InvariantChecker(terms)
        self.clock = clock
        self.began = clock()
        self.schedule = schedule
        self.open_rpcs: dict[str, OpenRpc] = {}
        self.history: deque[invariants.Record] = deque(maxlen=max_history)
        self._unsettled: deque[tuple[invariants.Record, int]] = (
            deque()
        )  # each with the turn it was added in
        self.turns = 0
        self.last_stall_turn = -2 * SETTLE_TURNS
        self.counts: dict[tuple[str, str], int] = {}
        self.timeline: list[tuple[float, str]] = []
        self.generation_by_method: dict[str, int] = {}
        self.disconnected_at: dict[str, float] = {}
        self.late_attempts: list[tuple[str, int, float]] = []

    def keep_all(self) -> None:
        """Keep every record of the run, without the limit of `max_history`."""
        self.history = deque(self.history)

    def now(self) -> float:
        """Return the seconds since the run began."""
        return self.clock() - self.began

    def note(self, text: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append((self.now(), text))

    # Ordering.

    def add(self, record: invariants.Record) -> None:
        """Add a record, and pass those whose order is final on to the checker."""
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
        """Insert a record before an unsettled record, with the time of the latter."""
        other, turn = self._unsettled[index]
        self._unsettled.insert(index, (record._replace(at=other.at), turn))

    def _add_before_answer(self, record: invariants.AttemptSent | invariants.AttemptEnded) -> None:
        """Add a record; after a recent stall of the testbed, put it before its RPC's answer."""
        if self.turns - self.last_stall_turn < 2 * SETTLE_TURNS:
            for index, (other, _) in enumerate(self._unsettled):
                if isinstance(other, invariants.RpcAnswered) and other.rpc == record.rpc:
                    self._insert(index, record)
                    return
        self.add(record)

    # Observations of the parties.

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
        """Record that a host has received an attempt.

        An attempt begins when a relay reads it. One that begins within DISCONNECT_DETECTION_S of
        its client's disconnect but arrives later violates no invariant and is not recorded.
        """
        rpc, host, work, key, is_late, read_at = arrived
        received = self.open_rpcs.get(rpc)
        if received is None or is_late:
            return HostAttempt(rpc, 0, host, None, key, is_over=True)
        number = received.attempts
        received.attempts += 1
        if self._crossed_disconnect(rpc, number, read_at):
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

    def _crossed_disconnect(self, rpc: str, number: int, read_at: float | None) -> bool:
        """Return whether an attempt began within the detection time, but arrives after it."""
        if rpc not in self.disconnected_at:
            return False
        began = self.now() if read_at is None else read_at - self.began
        delay = began - self.disconnected_at[rpc]
        if delay > 0:
            self.late_attempts.append((rpc, number, delay))
        return delay <= DISCONNECT_DETECTION_S < self.now() - self.disconnected_at[rpc]

    def on_attempt_ended(self, attempt: HostAttempt, outcome: str) -> None:
        """Record the end of an attempt at its host: answered, rejected or abandoned."""
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
        """Record that a host has executed an RPC."""
        self.add(invariants.RpcExecuted(self.now(), attempt.rpc, attempt.host))

    def on_answered(self, rpc: str, answer: str, method: str) -> None:
        """Record that a client has received an answer."""
        received = self.open_rpcs.get(rpc)
        self.counts[method, answer] = self.counts.get((method, answer), 0) + 1
        if received is not None:
            self.add(invariants.RpcAnswered(self.now(), received.gateway, rpc, answer))

    def on_client_disconnected(self, rpc: str) -> None:
        """Record that the client of an RPC closes its connection.

        The checker receives the disconnect DISCONNECT_DETECTION_S later, when the gateway has
        detected it: an attempt in flight during the close violates no invariant. The time of the
        record is never after the deadline, because a client waits for no answer past it.
        """
        received = self.open_rpcs.get(rpc)
        if received is None:
            return
        if self.schedule is None:
            raise ValueError(
                f"RPC {rpc}: expected a scheduler to record its client's disconnect, found None"
            )
        self.disconnected_at[rpc] = self.now()
        self.schedule(DISCONNECT_DETECTION_S, partial(self._add_disconnect, rpc, received))

    def _add_disconnect(self, rpc: str, received: OpenRpc) -> None:
        at = min(self.now(), received.deadline - BEFORE_DEADLINE_S)
        self.add(invariants.ClientDisconnected(at, received.gateway, rpc))

    def on_gateway_killed(self, gateway: str) -> None:
        """Record that a gateway was killed, and drop its open RPCs: they expect no answer."""
        self.add(invariants.GatewayLifecycle(self.now(), gateway, "killed"))
        self.open_rpcs = {
            rpc: received for rpc, received in self.open_rpcs.items() if received.gateway != gateway
        }

    # Results.

    def describe(self, rpc: Hashable) -> list[str]:
        """Return the kept records of an RPC, formatted as one line each."""
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
        """Check the remaining records; return the verdict on the run."""
        while self._unsettled:
            self.observe(self._unsettled.popleft()[0])
        return self.checker.close(self.now())
