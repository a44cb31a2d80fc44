"""The actions that the decision logic returns to its caller.

Every event method of the controller returns a list of actions, and the caller executes them in
order. The caller reports the results, such as the outcome of an attempt, a reply of the counter or
an expired timer, as new events.
"""

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from petrellane.decisions.types import Endpoint, Outcome, Rpc

if TYPE_CHECKING:
    from petrellane.decisions.leases import Lease


@dataclass(eq=False, repr=False, slots=True)
class SendAttempt:
    """Send an RPC to an endpoint; the object identifies the attempt until its end is reported.

    Attributes:
        rpc: The RPC to send.
        endpoint: The endpoint that receives it.
        number: The index of the attempt among the RPC's attempts, from 0.
        sent_at: The time at which the controller decided to send it.
        timeout: The seconds after which the attempt ends with the outcome `LATE`.
        send_by: The deadline for writing the attempt to the endpoint.
        outcome: The outcome of the attempt; None while it is in flight.
        is_cancelled: Whether the controller has requested its cancellation.
    """

    rpc: Rpc
    endpoint: Endpoint
    number: int
    sent_at: float
    timeout: float
    send_by: float = inf
    outcome: Outcome | None = None
    is_cancelled: bool = False


class Reject(NamedTuple):
    """Reject an RPC; the client may safely send it again.

    Attributes:
        rpc: The RPC to reject.
        retry_after: The seconds that the client should wait before it retries (Retry-After).
        reason: The reason, for metrics and logs only; the controller sets a `RejectionReason`.
    """

    rpc: Rpc
    retry_after: float
    reason: str = ""


class Abort(NamedTuple):
    """Fail an RPC that may or may not have taken effect."""

    rpc: Rpc


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt; the caller still reports its outcome."""

    attempt: SendAttempt


class PendingTopUp:
    """The purpose of an addition to a window's count: to get more credit or to read the total.

    Attributes:
        lease: The lease that is topped up.
        window: The lease's window at the time of the request.
        unreported: The part of the added units that a fair share has already granted.
        is_reread: Whether it only reads the total again, because a reply had no readable total.
        is_settled: Whether the top-up was answered or has timed out, so that no RPC waits for it.
    """

    __slots__ = ("is_reread", "is_settled", "lease", "unreported", "window")

    def __init__(
        self, lease: "Lease", window: int | None, unreported: float, *, is_reread: bool
    ) -> None:
        self.lease = lease
        self.window = window
        self.unreported = unreported
        self.is_reread = is_reread
        self.is_settled = False


class PendingEscrowMove(NamedTuple):
    """The purpose of an addition to an escrow's count: to lend or borrow units of a hard limit.

    Attributes:
        lease: The lease whose hard limit lends or borrows.
        window: The lease's window at the time of the request.
        is_follow_up: Whether it lends more units after a first portion was lent.
    """

    lease: "Lease"
    window: int | None
    is_follow_up: bool


MAX_COUNTER_AMOUNT = 1e9  # units that the counter accepts in one addition, in either direction
MIN_COUNTER_TTL = 0.001  # seconds; the counter takes whole milliseconds, from 1
MAX_COUNTER_TTL = 60.0  # seconds; the counter keeps no count for longer


@dataclass(eq=False, repr=False, slots=True)
class CounterAdd:
    """Add an amount to a named count of the shared counter and report the new total.

    Attributes:
        name: The name of the count.
        amount: The units to add; negative to return units, 0 to read the total. At most
            `MAX_COUNTER_AMOUNT` in either direction.
        ttl: The seconds after which the counter may delete the count, from `MIN_COUNTER_TTL` to
            `MAX_COUNTER_TTL`.
        purpose: The operation that the reply completes; None if nothing waits for the reply, for
            example when units are returned.
    """

    name: int
    amount: float
    ttl: float
    purpose: PendingTopUp | PendingEscrowMove | None = None


class PeriodicCheck:
    """The subject of the timer for a controller's periodic checks."""

    __slots__ = ()


TimerSubject: TypeAlias = PeriodicCheck | Rpc | CounterAdd
"""The subject of a timer: the periodic checks, the deadline of an RPC that waits for credit, or the
timeout of an addition to the counter."""


class SetTimer(NamedTuple):
    """Report the subject back to the controller after `delay` seconds."""

    delay: float
    subject: TimerSubject


COUNTER_UNREACHABLE = "counter_unreachable"
COUNTER_RECOVERED = "counter_recovered"
OVERLOAD_STARTED = "overload_started"
OVERLOAD_ENDED = "overload_ended"


class WriteLog(NamedTuple):
    """Write one log line for the operators.

    Attributes:
        event: The name of the event, one of the four constants above.
        text: Human-readable details.
    """

    event: str
    text: str


class WatchEndpoints(NamedTuple):
    """Start a watch of the endpoint list and its changes, or renew it."""


Action: TypeAlias = (
    SendAttempt | Reject | Abort | CancelAttempt | CounterAdd | SetTimer | WriteLog | WatchEndpoints
)
