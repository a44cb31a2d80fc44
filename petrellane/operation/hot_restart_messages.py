"""The messages of a hot restart and their codec.

Two processes of one gateway, the predecessor and its successor, exchange these messages. The
processes may run different versions, so the JSON keys are fixed, a process ignores an unknown
message, and only this codec contains the keys. `hot_restart_link` frames the messages as packets,
and `hot_restart` defines their semantics.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

JsonObject = dict[str, Any]

PROTOCOL_VERSION = 1


class TransferRequest(NamedTuple):
    """Requests the leases and client connections of the predecessor."""

    version: int


class TransferRefusal(NamedTuple):
    """Refuses a transfer: the predecessor speaks another version or already has a successor."""

    version: int


class ConsensusState(NamedTuple):
    """The predecessor's consensus state, as its participant reports it to other participants.

    The codec does not interpret the state; the successor compares it with its own.
    """

    state: JsonObject


class LeaseBatch(NamedTuple):
    """A batch of leases that the predecessor gave up; `decode_lease` decodes a row."""

    rows: list[JsonObject]


class LeasesComplete(NamedTuple):
    """Marks the end of the leases and contains their number."""

    lease_count: int


class ConnectionOffer(NamedTuple):
    """Offers a client connection; its packet carries the descriptor and the unprocessed bytes.

    Attributes:
        number: The number of the offer.
        has_sent_rpc: Whether the client has sent an RPC before.
    """

    number: int
    has_sent_rpc: bool = False


class ConnectionReceived(NamedTuple):
    """Confirms that the successor has the descriptor; it does not read from it yet."""

    number: int


class ConnectionReleased(NamedTuple):
    """Transfers the connection to the successor, which now reads from it."""

    number: int


class ConnectionRetained(NamedTuple):
    """Withdraws the offer: the predecessor keeps the connection, the successor closes its copy."""

    number: int


class RequestEnded(NamedTuple):
    """Reports that a request of this customer has ended at the predecessor."""

    customer: str


class AttemptedIds(NamedTuple):
    """Hashes of the ids of RPCs that may have run at the predecessor and must not run again."""

    digests: list[int]


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
    | AttemptedIds
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
    AttemptedIds: "attempted",
}
"""The JSON key of the first field of each message, which also identifies the message."""

_HAS_SENT_RPC_KEY = "asked"


def encode(message: Message) -> JsonObject:
    """Return the JSON object of a message."""
    data: JsonObject = {_KEYS[type(message)]: message[0]}
    if isinstance(message, ConnectionOffer):
        data[_HAS_SENT_RPC_KEY] = message.has_sent_rpc
    return data


def decode(data: JsonObject) -> Message | None:
    """Return the message of a JSON object; None if this version does not know the message."""
    for kind, key in _KEYS.items():
        if key in data:
            message = kind(data[key])
            if isinstance(message, ConnectionOffer):
                return message._replace(has_sent_rpc=bool(data.get(_HAS_SENT_RPC_KEY)))
            return message
    return None


class LeaseRecord(NamedTuple):
    """One lease in a transfer; the package `decisions` defines the format of `state`."""

    customer: str
    plan: str
    first_gateway: int
    gateway_count: int
    state: JsonObject


def encode_lease(record: LeaseRecord) -> JsonObject:
    """Return the row of a lease in a `LeaseBatch`."""
    return {
        "customer": record.customer,
        "plan": record.plan,
        "first": record.first_gateway,
        "spread": record.gateway_count,
        "lease": record.state,
    }


def decode_lease(row: JsonObject) -> LeaseRecord:
    """Return the lease of a row.

    Raises:
        KeyError: The row lacks a field.
        TypeError: A field has the wrong type.
        ValueError: A field is not a number.
    """
    return LeaseRecord(
        row["customer"], row["plan"], int(row["first"]), int(row["spread"]), row["lease"]
    )


def in_flight_of(row: JsonObject) -> tuple[str, int]:
    """Return the customer name of a row and the number of attempts in flight at the predecessor.

    Raises:
        KeyError: The row lacks a field.
        TypeError: A field has the wrong type.
    """
    return row["customer"], row["lease"]["out"]
