"""What the decisions ask their caller to do.

Every call of the controller returns a list of actions, which the caller executes in their order.
The caller reports what became of them as events; only `WriteLog` has no consequence.
"""

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from petrellane.decisions.types import Endpoint, Outcome, Rpc

if TYPE_CHECKING:
    from petrellane.decisions.leases import Lease


@dataclass(eq=False, repr=False, slots=True)
class SendAttempt:
    """Send an RPC to an endpoint; the value stands for the attempt until its end is reported.

    Attributes:
        rpc: What is sent.
        endpoint: Where to.
        number: Counts the RPC's attempts from 0.
        sent_at: The time at which it was decided.
        timeout: Seconds after which the attempt has ended `LATE`.
        send_by: The time from which it may not be written any more.
        outcome: How it ended; None while it is in flight.
        is_cancelled: Whether it was asked to be cancelled.
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
    """End an RPC as rejected: it had no effect, and the client may send it again.

    Attributes:
        rpc: What ends.
        retry_after: Seconds that the client is asked to wait.
        reason: Why, for counts and logs alone; a `RejectionReason` where the controller says it.
    """

    rpc: Rpc
    retry_after: float
    reason: str = ""


class Abort(NamedTuple):
    """End an RPC as aborted; nothing is promised of its effect."""

    rpc: Rpc


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt; its outcome is still to be reported."""

    attempt: SendAttempt


class PendingTopUp:
    """The purpose of an add to the count of a window: more credit for a lease, or its total.

    Attributes:
        lease: What is topped up.
        window: The window of the lease in which it was made.
        unreported: The part of the amount that was spent already.
        is_reread: Whether it only asks for the total again, as an answer could not be read.
        is_settled: Whether the RPCs that waited for its answer were decided without it.
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
    """The purpose of an add to the escrow's count: to lend units of a hard limit, or borrow some.

    Attributes:
        lease: Whose hard limit it is.
        window: The window of the lease in which it was made.
        is_follow_up: Whether it lends more, after a first piece.
    """

    lease: "Lease"
    window: int | None
    is_follow_up: bool


@dataclass(eq=False, repr=False, slots=True)
class CounterAdd:
    """Add an amount to a named count of the shared counter and report the total.

    Attributes:
        name: The count.
        amount: What to add: negative to give back, 0 to read.
        ttl: Seconds after which the counter may forget the count.
        purpose: What its answer is for, private to the decisions; None where nothing waits for it,
            as where something is given back.
    """

    name: int
    amount: float
    ttl: float
    purpose: PendingTopUp | PendingEscrowMove | None = None


class PeriodicCheck:
    """The subject of the timer of one controller's periodic checks."""

    __slots__ = ()


TimerSubject: TypeAlias = PeriodicCheck | Rpc | CounterAdd
"""What a timer is for: periodic checks, the deadline of an RPC that waits for credit, or the
timeout of an add to the counter."""


class SetTimer(NamedTuple):
    """Report that `delay` seconds have passed, with the subject."""

    delay: float
    subject: TimerSubject


COUNTER_UNREACHABLE = "counter_unreachable"
COUNTER_RECOVERED = "counter_recovered"
OVERLOAD_STARTED = "overload_started"
OVERLOAD_ENDED = "overload_ended"


class WriteLog(NamedTuple):
    """Write one line for the operators.

    Attributes:
        event: What happened, one of the four names above.
        text: Details for people.
    """

    event: str
    text: str


class WatchEndpoints(NamedTuple):
    """Ask for the endpoint list and its changes."""


Action: TypeAlias = (
    SendAttempt | Reject | Abort | CancelAttempt | CounterAdd | SetTimer | WriteLog | WatchEndpoints
)
