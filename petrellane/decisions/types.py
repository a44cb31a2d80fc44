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
    """What the settings say of one method. `call_outs` is the most that one RPC may have; methods that stand for the
    same one, before and after new settings, share a `root`."""

    name: str
    soft_deadline: float
    deadline: float
    effect: str = NON_IDEMPOTENT
    key_scope: str = ""
    key_window: float = 0.0
    utility: float = 1.0
    late_utility: float = 0.0
    streamed: bool = False
    call_outs: int = 4
    root: object = None

    def __post_init__(self):
        self.root = self.root or object()


@dataclass(eq=False, slots=True)
class Plan:
    """What the settings say of one plan; a rate of 0 means no such quota."""

    name: str
    rate: float = 0.0
    store: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    max_out: int = 0
    price: float = 1.0
    over_utility: float = 0.0
    over_cost: float = 0.0


@dataclass(eq=False, slots=True, weakref_slot=True)
class Customer:
    """One customer: its id, the gateways it comes through (`spread` of them from number `first`), and since when it is known
    under this plan where it was under another one before: a share of a ceiling fills from then on."""

    name: str
    plan: Plan
    first: int = 0
    spread: int = 1
    since: float = LONG_AGO


@dataclass(eq=False, slots=True)
class Host:
    """One host as the list last told of it; `up_since` is 0 when it started long ago."""

    address: str
    zone: str = ""
    kind: str = ""
    pod: int = 0
    state: str = READY
    share: float = 1.0
    up_since: float = 0.0


class Listing(NamedTuple):
    """One row of a host list, not yet taken over into its host."""

    host: Host
    zone: str
    kind: str
    pod: int
    state: str
    share: float
    up_since: float


@dataclass(eq=False, slots=True)
class Rpc:
    """One RPC; `deadline` is the clock time at which the client gives up."""

    method: Method
    customer: Customer
    units: float
    deadline: float
    arrived: float
    resent: bool = False
    write: bool = False
    ended: bool = False
    call_outs: list = field(default_factory=list)


@dataclass(eq=False, slots=True)
class CallOut:
    """Send the RPC to the host, `by` some time or not at all; `number` counts the RPC's call-outs from 0."""

    rpc: Rpc
    host: Host
    number: int
    sent: float
    timeout: float
    by: float = inf
    outcome: str = ""
    cancelled: bool = False


class PushBack(NamedTuple):
    """End the RPC as pushed back; the client may try again after `wait`. The cause is for counts alone."""

    rpc: Rpc
    wait: float
    cause: str = ""


class Abort(NamedTuple):
    """End the RPC as aborted; nothing is promised of its effect."""

    rpc: Rpc


class Cancel(NamedTuple):
    """Stop waiting for a call-out; its outcome still comes."""

    call_out: CallOut


@dataclass(eq=False, slots=True)
class Add:
    """Add an amount to a named count and tell the total; `lease` and what follows are the module's own."""

    name: int
    amount: float
    ttl: float
    lease: object = None
    window: int = 0
    debt: float = 0.0
    again: bool = False
    settled: bool = False
    pool: object = None


class Wake(NamedTuple):
    """Call `woken` with `about` after so many seconds."""

    after: float
    about: object


class Log(NamedTuple):
    """One line for the operators."""

    text: str


class Subscribe(NamedTuple):
    """Ask the host list to send its changes."""
