"""The messages of a hot restart and their one codec.

Two processes of one gateway, the predecessor and its successor, exchange these messages; the two
may be of different versions. So the JSON keys are fixed, an unknown message is ignored, and the
codec is the only place that knows the keys. Which bytes carry a message is left to
`hot_restart_transport`, its meaning to `hot_restart`.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

JsonObject = dict[str, Any]

PROTOCOL_VERSION = 1


class TransferRequest(NamedTuple):
    """The successor asks for all that the predecessor holds."""

    version: int


class TransferRefusal(NamedTuple):
    """The predecessor keeps what it holds: it knows another version, or has a successor."""

    version: int


class ConsensusState(NamedTuple):
    """The predecessor's consensus state, as its participant reports it to others.

    Not read here: the successor compares it with its own.
    """

    state: JsonObject


class LeaseBatch(NamedTuple):
    """Some leases that the predecessor gave up; `decode_lease` reads a row."""

    rows: list[JsonObject]


class LeasesComplete(NamedTuple):
    """All leases are sent."""

    lease_count: int


class ConnectionOffer(NamedTuple):
    """A client connection, with its descriptor and the bytes that were read from it.

    `has_sent_rpc` tells whether its client has sent a command before.
    """

    number: int
    has_sent_rpc: bool = False


class ConnectionReceived(NamedTuple):
    """The successor has the descriptor, and does not read from it yet."""

    number: int


class ConnectionReleased(NamedTuple):
    """The connection belongs to the successor, which reads from it now."""

    number: int


class ConnectionRetained(NamedTuple):
    """The connection stays with the predecessor: the successor closes its descriptor."""

    number: int


class RequestEnded(NamedTuple):
    """A request of this customer has ended at the predecessor."""

    customer: str


Message = (
    TransferRequest
    | TransferRefusal
    | ConsensusState
    | LeaseBatch
    | LeasesComplete
    | ConnectionOffer
    | ConnectionReceived
    | ConnectionReleased
    | ConnectionRetained
    | RequestEnded
)

_KEYS: Mapping[type[Message], str] = {
    TransferRequest: "ask",
    TransferRefusal: "refused",
    ConsensusState: "generation",
    LeaseBatch: "leases",
    LeasesComplete: "given",
    ConnectionOffer: "client",
    ConnectionReceived: "got",
    ConnectionReleased: "yours",
    ConnectionRetained: "kept",
    RequestEnded: "ended",
}
"""The key of the JSON object that holds the first field of a message."""

_HAS_SENT_RPC_KEY = "asked"


def encode(message: Message) -> JsonObject:
    """The JSON object of a message."""
    data: JsonObject = {_KEYS[type(message)]: message[0]}
    if isinstance(message, ConnectionOffer):
        data[_HAS_SENT_RPC_KEY] = message.has_sent_rpc
    return data


def decode(data: JsonObject) -> Message | None:
    """The message of a JSON object; None where this version knows no such message."""
    for kind, key in _KEYS.items():
        if key in data:
            message = kind(data[key])
            if isinstance(message, ConnectionOffer):
                return message._replace(has_sent_rpc=bool(data.get(_HAS_SENT_RPC_KEY)))
            return message
    return None


class LeaseRecord(NamedTuple):
    """One lease as it is handed over; the decisions own the form of its `state`."""

    customer: str
    plan: str
    first_gateway: int
    gateway_count: int
    state: JsonObject


def encode_lease(record: LeaseRecord) -> JsonObject:
    """The row of a lease in a `LeaseBatch`."""
    return {
        "customer": record.customer,
        "plan": record.plan,
        "first": record.first_gateway,
        "spread": record.gateway_count,
        "lease": record.state,
    }


def decode_lease(row: JsonObject) -> LeaseRecord:
    """The lease of a row.

    Raises:
        KeyError, TypeError, ValueError: The row is malformed.
    """
    return LeaseRecord(
        row["customer"], row["plan"], int(row["first"]), int(row["spread"]), row["lease"]
    )


def in_flight_of(row: JsonObject) -> tuple[str, int]:
    """The customer of a row and how many of its attempts the predecessor has in flight.

    Raises:
        KeyError, TypeError: The row is malformed.
    """
    return row["customer"], row["lease"]["out"]
