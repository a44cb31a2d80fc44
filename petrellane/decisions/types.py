"""The values that the decisions are given: methods, plans, customers, endpoints and RPCs.

The services that report events make these values and share them with the decisions; what the
decisions ask for in return is in `petrellane.decisions.actions`. Times are seconds with fractions,
on whatever clock the caller hands in. The values of the enumerations are stable: they go into
logs, records and the adapters of the wire formats.

The dataclasses have identity in place of equality, and no generated `repr`: an RPC, its attempts
and its customer refer to each other, and each generated method slows down the start of `serve`.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, NotRequired, Self, TypedDict

if TYPE_CHECKING:
    from petrellane.decisions.actions import SendAttempt


class Effect(StrEnum):
    """What running a method twice does."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"  # endpoints that share the idempotency key run it once
    NON_IDEMPOTENT = "non-idempotent"


class KeyScope(StrEnum):
    """Which endpoints share an idempotency key."""

    ALL = "all"
    ZONE = "zone"  # those in the zone of the first attempt
    POD = "pod"  # those in the pod of the first attempt

    @classmethod
    def parse(cls, word: str) -> Self:
        """The scope of a word of the settings: any other word, or none, means the pod."""
        return cls(word) if word in (cls.ALL, cls.ZONE) else cls.POD


class Outcome(StrEnum):
    """How an attempt, or an add to the counter, ended."""

    OK = "ok"
    ERROR = "error"
    LATE = "late"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    UNREACHABLE = "unreachable"
    NEVER_SENT = "never-sent"


class EndpointState(StrEnum):
    """Whether an endpoint takes attempts."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class RejectionReason(StrEnum):
    """Why an RPC is rejected; for counts and logs alone."""

    OVERLOAD = "pressed"
    HARD_LIMIT = "ceiling"
    QUOTA = "credit"
    ENDPOINT = "host"  # no endpoint may take it
    GIVEN_UP = "given up"  # an attempt failed, and it is not sent again


# Members under names of the module: a class attribute of an enumeration costs more on the hot path.
IDEMPOTENT = Effect.IDEMPOTENT
DEDUPLICATED = Effect.DEDUPLICATED
NON_IDEMPOTENT = Effect.NON_IDEMPOTENT

OK = Outcome.OK
ERROR = Outcome.ERROR
LATE = Outcome.LATE
RESET = Outcome.RESET
CANCELLED = Outcome.CANCELLED
FULL = Outcome.FULL
UNREACHABLE = Outcome.UNREACHABLE
NEVER_SENT = Outcome.NEVER_SENT

READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
GONE = EndpointState.GONE

LONG_AGO = float("-inf")  # seconds: earlier than any time of the clock


@dataclass(eq=False, repr=False, slots=True)
class Method:
    """What the settings say of one method; lives as long as the settings.

    Attributes:
        name: Its name on the wire.
        latency_objective: Seconds within which an answer is worth `priority_weight`.
        deadline: Seconds after which the client gives up.
        effect: What running it twice does.
        key_scope: Which endpoints share an idempotency key; for `DEDUPLICATED` alone.
        key_window: Seconds for which an endpoint remembers an idempotency key.
        priority_weight: Worth of an answer in time.
        late_priority_weight: Worth of an answer after the latency objective; 0 for none.
        is_streaming: Read from the settings, and decides nothing.
        max_attempts: The maximum of attempts for one RPC.
        identity: Shared by the values that stand for the same method before and after new settings.
    """

    name: str
    latency_objective: float
    deadline: float
    effect: Effect = NON_IDEMPOTENT
    key_scope: KeyScope = KeyScope.POD
    key_window: float = 0.0
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    is_streaming: bool = False
    max_attempts: int = 4
    identity: object = None

    def __post_init__(self) -> None:
        self.identity = self.identity or object()


@dataclass(eq=False, repr=False, slots=True)
class Plan:
    """What the settings say of one plan; lives as long as the settings.

    Attributes:
        name: Its name in the settings.
        rate: Quota in units a second; 0 for no quota.
        burst: Units that a full quota holds.
        hard_limit_rate: Hard limit in units a second; 0 for no hard limit.
        hard_limit_burst: Units that a full hard limit holds.
        hard_limit_slack: Units of the hard limit that gateways may lend each other.
        max_in_flight: Maximum of attempts in flight at once; 0 for no maximum.
        price: What one unit is worth.
        over_quota_weight: Worth of an RPC beyond the quota; read from the settings, and decides
            nothing.
        over_quota_cost: Cost of an RPC beyond the quota; decides nothing either.
    """

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


class ControllerSettings(TypedDict):
    """The settings that `AdmissionController` takes by keyword, at its start and anew.

    `AdmissionController.reconfigure` says what each means.
    """

    zone: str
    counter_timeout: float
    may_cancel: bool
    max_retry_after: float
    slow_start: float
    slow_start_minimum: float
    cross_zone_price: float
    method_identities: NotRequired[Collection[object]]


@dataclass(eq=False, repr=False, slots=True, weakref_slot=True)
class Customer:
    """One customer, as long as its gateway knows it.

    Attributes:
        name: Its id on the wire.
        plan: The plan it is under; the owner replaces it when the settings change.
        first_gateway: The number of the first gateway that it comes through.
        gateway_count: How many gateways it comes through, from that one on.
        known_since: Since when it is known under this plan, where it was under another one
            before: its share of a hard limit fills from then on.
    """

    name: str
    plan: Plan
    first_gateway: int = 0
    gateway_count: int = 1
    known_since: float = LONG_AGO


@dataclass(eq=False, repr=False, slots=True)
class Endpoint:
    """One endpoint as the endpoint list last described it.

    Attributes:
        address: Where it listens; for logs and callers, never looked into here.
        zone: The zone it runs in.
        kind: Its kind of machine; reported by callers, and decides nothing.
        pod: The number of its pod.
        state: Whether it takes attempts.
        weight: Its capacity, as a multiple of an ordinary endpoint's.
        started_at: When its process started; 0 for long ago.
    """

    address: str
    zone: str = ""
    kind: str = ""
    pod: int = 0
    state: EndpointState = READY
    weight: float = 1.0
    started_at: float = 0.0


class EndpointEvent(NamedTuple):
    """One row of an endpoint list or of its changes, not yet taken over into its endpoint."""

    endpoint: Endpoint
    zone: str
    kind: str
    pod: int
    state: EndpointState
    weight: float
    started_at: float


@dataclass(eq=False, repr=False, slots=True)
class Rpc:
    """One RPC of a client, until its last attempt has ended.

    Attributes:
        method: What is called.
        customer: Who calls.
        units: Units that it costs of quota and hard limit.
        deadline: The time at which the client gives up.
        arrived_at: The time at which it came.
        is_client_retry: Whether the client says that it sent it before; reported by callers, and
            decides nothing.
        is_write: Whether it changes something; decides nothing either.
        is_finished: Whether it has its final answer, or nobody to give it to.
        attempts: Its attempts so far, oldest first.
    """

    method: Method
    customer: Customer
    units: float
    deadline: float
    arrived_at: float
    is_client_retry: bool = False
    is_write: bool = False
    is_finished: bool = False
    attempts: list["SendAttempt"] = field(default_factory=list)
