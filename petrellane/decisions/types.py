"""The values that the decision logic works on: methods, plans, customers, endpoints and RPCs.

The services that report events create these values and share them with the decision logic, whose
results are in `petrellane.decisions.actions`. Times are in seconds, with fractions, on the caller's
clock. The values of the enumerations are stable, because they appear in logs, records and the
adapters of the wire formats.

The dataclasses compare by identity and have no generated `repr`: an RPC, its attempts and its
customer refer to each other, and each generated method slows down the start of `serve`.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple, NotRequired, Self, TypedDict

if TYPE_CHECKING:
    from petrellane.decisions.actions import SendAttempt


class Effect(StrEnum):
    """The effect of running a method more than once."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"  # endpoints that share an idempotency key run it only once
    NON_IDEMPOTENT = "non-idempotent"


class KeyScope(StrEnum):
    """The endpoints that share an idempotency key."""

    ALL = "all"
    ZONE = "zone"  # endpoints in the zone of the first attempt
    POD = "pod"  # endpoints in the pod of the first attempt

    @classmethod
    def parse(cls, word: str) -> Self:
        """Return the scope that a word of the settings names; other words mean the pod."""
        return cls(word) if word in (cls.ALL, cls.ZONE) else cls.POD


class Outcome(StrEnum):
    """The outcome of an attempt or of an addition to the counter."""

    OK = "ok"
    ERROR = "error"
    LATE = "late"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    UNREACHABLE = "unreachable"
    NEVER_SENT = "never-sent"


class EndpointState(StrEnum):
    """Whether an endpoint accepts attempts."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class RejectionReason(StrEnum):
    """The reason for the rejection of an RPC, for metrics and logs only."""

    OVERLOAD = "pressed"
    HARD_LIMIT = "ceiling"
    QUOTA = "credit"
    ENDPOINT = "host"  # no endpoint is eligible
    GIVEN_UP = "given up"  # an attempt failed, and the RPC is not retried


# Module-level aliases: attribute access on an enumeration is too slow for the hot path.
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

LONG_AGO = float("-inf")  # seconds; earlier than any time of the clock


@dataclass(eq=False, repr=False, slots=True)
class Method:
    """One method as the settings define it; lives as long as the settings.

    Attributes:
        name: The name of the method on the wire.
        latency_objective: The seconds within which a response has the value `priority_weight`.
        deadline: The seconds after which the client gives up.
        effect: The effect of running the method more than once.
        key_scope: The endpoints that share an idempotency key; only used with `DEDUPLICATED`.
        key_window: The seconds for which an endpoint remembers an idempotency key.
        priority_weight: The value of a response within the latency objective.
        late_priority_weight: The value of a later response; 0 if it has none.
        is_streaming: Whether the method streams its responses; a setting that no decision uses.
        max_attempts: The maximum number of attempts for one RPC.
        identity: An object that represents this method across changes of the settings.
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
    """One plan as the settings define it; lives as long as the settings.

    Attributes:
        name: The name of the plan in the settings.
        rate: The quota, in units per second; 0 for no quota.
        burst: The units of a full quota.
        hard_limit_rate: The hard limit, in units per second; 0 for no hard limit.
        hard_limit_burst: The units of a full hard limit.
        hard_limit_slack: The units of the hard limit that gateways may lend each other.
        max_in_flight: The maximum number of attempts in flight; 0 for no maximum.
        price: The value of one unit.
        over_quota_weight: The value of an RPC beyond the quota; a setting that no decision uses.
        over_quota_cost: The cost of an RPC beyond the quota; a setting that no decision uses.
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

    @property
    def has_empty_quota(self) -> bool:
        """Whether there is a quota whose store holds nothing, so that it covers no RPC."""
        return bool(self.rate) and not self.burst


class ControllerSettings(TypedDict):
    """The settings that `AdmissionController` takes as keyword arguments, initially and on reload.

    `AdmissionController.reconfigure` describes each setting.
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
    """One customer, for as long as the gateway keeps it in memory.

    Attributes:
        name: The customer's id on the wire.
        plan: The customer's plan, which the owner replaces when the settings change.
        first_gateway: The number of the first gateway that serves the customer.
        gateway_count: The number of gateways that serve it, counted from the first one.
        known_since: The time at which the gateway first saw the customer with this plan and these
            gateways, if it knew the customer with others before. The gateway's share of the hard
            limit fills from that time.
    """

    name: str
    plan: Plan
    first_gateway: int = 0
    gateway_count: int = 1
    known_since: float = LONG_AGO


@dataclass(eq=False, repr=False, slots=True)
class Endpoint:
    """One endpoint, as the endpoint list last described it.

    Attributes:
        address: The address that it listens on, which the decision logic never interprets.
        zone: The zone that it runs in.
        kind: The machine type, which callers report and no decision uses.
        pod: The number of its pod.
        state: Whether it accepts attempts.
        weight: The capacity, as a multiple of a standard endpoint's.
        started_at: The start time of its process; 0 for long ago.
    """

    address: str
    zone: str = ""
    kind: str = ""
    pod: int = 0
    state: EndpointState = READY
    weight: float = 1.0
    started_at: float = 0.0


class EndpointEvent(NamedTuple):
    """One row of an endpoint list or of its changes, not yet applied to its endpoint."""

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
        method: The method that the client calls.
        customer: The customer that sends the RPC.
        units: The units that it costs, of quota and of hard limit.
        deadline: The time at which the client gives up.
        arrived_at: The time at which the RPC arrived.
        is_client_retry: Whether the client marked it as a retry, which callers report and no
            decision uses.
        is_write: Whether it changes data, which callers report and no decision uses.
        is_finished: Whether it has its final answer or its client has disconnected.
        attempts: The attempts so far, oldest first.
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
