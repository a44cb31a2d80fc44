"""The records from which the rules are checked: observations of clients, hosts and discovery.

Each record has `at`, its time in seconds of one accurate clock. The users of this package store and
print the names of the fields, so the names must not change.
"""

from collections.abc import Hashable
from typing import Final, NamedTuple

Id = Hashable  # id of a gateway, an RPC, a host or a customer

# Final answers of an RPC.
OK: Final = "ok"
REJECTED: Final = "pushed back"
ABORTED: Final = "aborted"

READY: Final = "ready"  # the state of an endpoint that takes attempts

# Events of a gateway process.
STARTED: Final = "started"
KILLED: Final = "killed"
PAUSED: Final = "paused"
RESUMED: Final = "resumed"


class RpcReceived(NamedTuple):
    """A gateway has read the last byte of an RPC, whose client stops waiting at `deadline`."""

    at: float
    gateway: Id
    rpc: Id
    customer: Id
    plan: str
    method: str
    units: float
    deadline: float


class AttemptSent(NamedTuple):
    """A gateway has sent an attempt; `number` counts the attempts of the RPC from 0."""

    at: float
    gateway: Id
    rpc: Id
    number: int
    host: Id


class AttemptEnded(NamedTuple):
    """A gateway has observed the outcome of an attempt at its end of the connection.

    `outcome` is the name of the outcome in `decisions`.
    """

    at: float
    gateway: Id
    rpc: Id
    number: int
    outcome: str


class AttemptArrived(NamedTuple):
    """The last byte of an attempt has reached its host, which may reject it.

    `work` is in core seconds.
    """

    at: float
    gateway: Id
    rpc: Id
    number: int
    host: Id
    work: float


class RpcExecuted(NamedTuple):
    """A host has executed an RPC, which has taken effect."""

    at: float
    rpc: Id
    host: Id


class RpcAnswered(NamedTuple):
    """The client has received the last byte of a final answer: OK, REJECTED or ABORTED."""

    at: float
    gateway: Id
    rpc: Id
    answer: str


class ClientDisconnected(NamedTuple):
    """The client of an RPC has disconnected, which its gateway can detect."""

    at: float
    gateway: Id
    rpc: Id


class EndpointNotified(NamedTuple):
    """Discovery has notified a gateway of a host's state and last start.

    `up_since` is the time of the start; 0 means that the host started long ago.
    """

    at: float
    gateway: Id
    host: Id
    state: str
    up_since: float


class GatewayLifecycle(NamedTuple):
    """A gateway process has STARTED, or was KILLED, PAUSED or RESUMED, as `event` states."""

    at: float
    gateway: Id
    event: str


class EndpointStarted(NamedTuple):
    """A host has started cold; its capacity when warm is in core seconds per second."""

    at: float
    host: Id
    capacity: float


class StateRetained(NamedTuple):
    """A gateway retains `count` objects of a kind although they are no longer needed."""

    at: float
    gateway: Id
    kind: str
    count: int  # type: ignore[assignment]  # hides `tuple.count`, which is not used


class RpcAdmitted(NamedTuple):
    """A gateway has admitted an RPC under settings that only generation `number` contains.

    The client sent the RPC at `since`.
    """

    at: float
    gateway: Id
    rpc: Id
    number: int
    since: float


class GenerationDecided(NamedTuple):
    """A generation of the settings was decided; `committed` is False if its change aborted."""

    at: float
    number: int
    committed: bool


Record = (
    RpcReceived
    | AttemptSent
    | AttemptEnded
    | AttemptArrived
    | RpcExecuted
    | RpcAnswered
    | ClientDisconnected
    | EndpointNotified
    | GatewayLifecycle
    | EndpointStarted
    | StateRetained
    | RpcAdmitted
    | GenerationDecided
)
