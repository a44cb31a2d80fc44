"""The records that the rules are judged from: what clients, hosts and discovery observed.

Each record has `at`, the time in seconds of one true clock. Field names are stored and printed by
users of this package, so they stay.
"""

from collections.abc import Hashable
from typing import Final, NamedTuple

Id = Hashable  # of a gateway, an RPC, a host or a customer

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
    """A gateway has read the last byte of an RPC; its client gives up at `deadline`."""

    at: float
    gateway: Id
    rpc: Id
    customer: Id
    plan: str
    method: str
    units: float
    deadline: float


class AttemptSent(NamedTuple):
    """An attempt has left its gateway; `number` counts those of its RPC from 0."""

    at: float
    gateway: Id
    rpc: Id
    number: int
    host: Id


class AttemptEnded(NamedTuple):
    """The gateway's side of an attempt's connection saw this outcome (a name of the decisions)."""

    at: float
    gateway: Id
    rpc: Id
    number: int
    outcome: str


class AttemptArrived(NamedTuple):
    """An attempt's last byte reached its host, which may reject it; `work` is core seconds."""

    at: float
    gateway: Id
    rpc: Id
    number: int
    host: Id
    work: float


class RpcExecuted(NamedTuple):
    """A host has done an RPC's work, with its effect."""

    at: float
    rpc: Id
    host: Id


class RpcAnswered(NamedTuple):
    """The client has the last byte of a final answer: OK, REJECTED or ABORTED."""

    at: float
    gateway: Id
    rpc: Id
    answer: str


class ClientDisconnected(NamedTuple):
    """The client of an RPC has gone, and its gateway can see that."""

    at: float
    gateway: Id
    rpc: Id


class EndpointNotified(NamedTuple):
    """The endpoint list has notified a gateway of a host's state and last start.

    `up_since` is the time of the start; 0 means long ago.
    """

    at: float
    gateway: Id
    host: Id
    state: str
    up_since: float


class GatewayLifecycle(NamedTuple):
    """A gateway process has STARTED, or was KILLED, PAUSED or RESUMED."""

    at: float
    gateway: Id
    event: str


class EndpointStarted(NamedTuple):
    """A host has started cold; when warm it does `capacity` core seconds a second."""

    at: float
    host: Id
    capacity: float


class StateRetained(NamedTuple):
    """A gateway still holds `count` things of a kind that are over."""

    at: float
    gateway: Id
    kind: str
    count: int  # type: ignore[assignment]  # hides a method of tuples that nothing calls


class RpcAdmitted(NamedTuple):
    """An RPC was admitted as only generation `number` of the settings allows.

    Its client sent it at `since`.
    """

    at: float
    gateway: Id
    rpc: Id
    number: int
    since: float


class GenerationDecided(NamedTuple):
    """What became of a generation of the settings: whether it was ever to be in force."""

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
