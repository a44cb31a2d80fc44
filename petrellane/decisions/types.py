"""The plain types that petrellane.decisions.controller takes and returns. Times are seconds, with fractions."""

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = "idempotent", "deduplicated", "non-idempotent"
OK, ERROR, LATE, RESET, CANCELLED = "ok", "error", "late", "reset", "cancelled"
FULL, UNREACHABLE, NEVER_SENT = "full", "unreachable", "never-sent"
LONG_AGO = float("-inf")
READY, DRAINING, GONE = "ready", "draining", "gone"


@dataclass(eq=False, slots=True)
class Method:
    """What the settings say of one method. `max_attempts` is the most that one RPC may have; methods that stand for the
    same one, before and after new settings, share an `identity`."""

    name: str
    latency_objective: float
    deadline: float
    effect: str = NON_IDEMPOTENT
    key_scope: str = ""
    key_window: float = 0.0
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    is_streaming: bool = False
    max_attempts: int = 4
    identity: object = None

    def __post_init__(self):
        self.identity = self.identity or object()


@dataclass(eq=False, slots=True)
class Plan:
    """What the settings say of one plan; a rate of 0 means no such quota."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    hard_limit_rate: float = 0.0
    hard_limit_burst: float = 0.0
    hard_limit_slack: float = 0.0
    max_in_flight: int = 0
    price: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0


@dataclass(eq=False, slots=True, weakref_slot=True)
class Customer:
    """One customer: its id, the gateways it comes through (`gateway_count` of them from number `first_gateway`), and since when it is known
    under this plan where it was under another one before: a share of a ceiling fills from then on."""

    name: str
    plan: Plan
    first_gateway: int = 0
    gateway_count: int = 1
    known_since: float = LONG_AGO


@dataclass(eq=False, slots=True)
class Endpoint:
    """One host as the list last told of it; `started_at` is 0 when it started long ago."""

    address: str
    zone: str = ""
    kind: str = ""
    pod: int = 0
    state: str = READY
    weight: float = 1.0
    started_at: float = 0.0


class EndpointEvent(NamedTuple):
    """One row of a host list, not yet taken over into its host."""

    endpoint: Endpoint
    zone: str
    kind: str
    pod: int
    state: str
    weight: float
    started_at: float


@dataclass(eq=False, slots=True)
class Rpc:
    """One RPC; `deadline` is the clock time at which the client gives up."""

    method: Method
    customer: Customer
    units: float
    deadline: float
    arrived_at: float
    is_client_retry: bool = False
    is_write: bool = False
    is_finished: bool = False
    attempts: list = field(default_factory=list)


@dataclass(eq=False, slots=True)
class SendAttempt:
    """Send the RPC to the host, `send_by` some time or not at all; `number` counts the RPC's call-outs from 0."""

    rpc: Rpc
    endpoint: Endpoint
    number: int
    sent_at: float
    timeout: float
    send_by: float = inf
    outcome: str = ""
    is_cancelled: bool = False


class Reject(NamedTuple):
    """End the RPC as pushed back; the client may try again after `wait`. The cause is for counts alone."""

    rpc: Rpc
    retry_after: float
    reason: str = ""


class Abort(NamedTuple):
    """End the RPC as aborted; nothing is promised of its effect."""

    rpc: Rpc


class CancelAttempt(NamedTuple):
    """Stop waiting for a call-out; its outcome still comes."""

    attempt: SendAttempt


@dataclass(eq=False, slots=True)
class CounterAdd:
    """Add an amount to a named count and tell the total; `lease` and what follows are the module's own."""

    name: int
    amount: float
    ttl: float
    lease: object = None
    window: int = 0
    debt: float = 0.0
    is_retry: bool = False
    settled: bool = False
    pool: object = None


class SetTimer(NamedTuple):
    """Call `woken` with `about` after so many seconds."""

    delay: float
    subject: object


class WriteLog(NamedTuple):
    """One line for the operators."""

    text: str


class WatchEndpoints(NamedTuple):
    """Ask the host list to send its changes."""
