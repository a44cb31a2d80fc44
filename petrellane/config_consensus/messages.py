"""Messages of the protocol and their answers, typed in the code and JSON objects on the wire.

A coordinator sends a `Request` to one participant at a time. The participant parses it as a
`ReceivedRequest` and answers with its state, a generation or a rejection, which the coordinator
parses with `decode_answer`. Participants query each other for state and content in the same way.

Some wire keys and values differ from the terms of the code: "possible" is prepared, "denied" and
"deny" are aborted and abort, "members" is the roster, "epoch_of" is the sender's epoch and "order"
is the sender's sequence number.

This module converts messages and checks their form. `participant` and `coordinator` decide the
effect of a message; `message_authentication` verifies its sender.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Any, ClassVar, NamedTuple, Self

from petrellane.config_consensus import state_keys
from petrellane.config_consensus.ballots import (
    Ballot,
    Epoch,
    Generation,
    parse_ballot,
    parse_epoch,
    parse_generation,
)
from petrellane.config_consensus.canonical_settings import digest
from petrellane.config_consensus.errors import MessageRejected, RejectionCause, shorten

MAX_REASON_LENGTH = 300  # characters; a longer reason of a rejection is truncated

# Causes of a rejection by a participant that lacks a generation on which the request depends.
MISSING_GENERATION_CAUSES = (RejectionCause.BASE_NOT_IN_FORCE, RejectionCause.UNKNOWN_GENERATION)

JsonObject = dict[str, Any]


class MessageKind(StrEnum):
    """The kind of a request; the values appear on the wire."""

    STATE = "state"
    CONTENT = "content"
    PROMISE = "promise"
    PREPARE = "prepare"
    COMMIT = "commit"
    ABORT = "deny"


@dataclass(frozen=True, slots=True)
class ReadContent:
    """A request for the generation of a ballot, with its content."""

    kind: ClassVar[MessageKind] = MessageKind.CONTENT
    ballot: Ballot

    def to_dict(self) -> JsonObject:
        """Return the body as JSON."""
        return {"do": self.kind.value, **self.ballot.to_dict()}


@dataclass(frozen=True, slots=True)
class Promise:
    """A request to promise the sender's epoch; the answer reports the participant's state."""

    kind: ClassVar[MessageKind] = MessageKind.PROMISE

    def to_dict(self) -> JsonObject:
        """Return the body as JSON."""
        return {"do": self.kind.value}


@dataclass(frozen=True, slots=True)
class Prepare:
    """A request to prepare a generation that follows `base`, the ballot in force."""

    kind: ClassVar[MessageKind] = MessageKind.PREPARE
    base: Ballot
    generation: Generation

    def to_dict(self) -> JsonObject:
        """Return the body as JSON."""
        return {
            "do": self.kind.value,
            "base": self.base.to_dict(),
            **self.generation.to_dict(),
        }


@dataclass(frozen=True, slots=True)
class Commit:
    """The notification of a committed generation.

    Attributes:
        generation: The committed generation.
        with_content: Whether the message carries the settings, for a participant without them.
    """

    kind: ClassVar[MessageKind] = MessageKind.COMMIT
    generation: Generation
    with_content: bool

    def to_dict(self) -> JsonObject:
        """Return the body as JSON."""
        if self.with_content:
            return {"do": self.kind.value, **self.generation.to_dict()}
        return {"do": self.kind.value, **self.generation.identity_to_dict()}


@dataclass(frozen=True, slots=True)
class Abort:
    """The notification that a ballot will never commit."""

    kind: ClassVar[MessageKind] = MessageKind.ABORT
    ballot: Ballot

    def to_dict(self) -> JsonObject:
        """Return the body as JSON."""
        return {"do": self.kind.value, **self.ballot.to_dict()}


RequestBody = ReadContent | Promise | Prepare | Commit | Abort


@dataclass(frozen=True, slots=True)
class Request:
    """A message of a coordinator to one participant.

    Attributes:
        recipient: The name of the participant.
        epoch: The epoch of the coordinator.
        sequence: A number that increases with each request of the coordinator. It shows whether an
            answer or a refused connection belongs to a request sent before or after an event.
        body: The body, which depends on the kind of the request.
    """

    recipient: str
    epoch: Epoch
    sequence: int
    body: RequestBody

    @property
    def kind(self) -> MessageKind:
        """The kind of the request."""
        return self.body.kind

    def to_dict(self) -> JsonObject:
        """Return the request as JSON."""
        return {
            **self.body.to_dict(),
            "to": self.recipient,
            "epoch_of": list(self.epoch),
            "order": self.sequence,
        }


@dataclass(frozen=True, slots=True)
class PeerQuery:
    """A participant's query to another one: for its state, or for the content of a ballot."""

    recipient: str
    ballot: Ballot | None = None

    def to_dict(self) -> JsonObject:
        """Return the query as JSON."""
        if self.ballot is None:
            return {"do": MessageKind.STATE.value, "to": self.recipient}
        kind = MessageKind.CONTENT.value
        return {"do": kind, "to": self.recipient, **self.ballot.to_dict()}


class ReceivedRequest:
    """A request as a participant receives it; it exists for the duration of one call.

    `from_dict` parses the kind and the epoch. The methods parse the other fields on demand, so a
    stale epoch is rejected whatever the other fields contain, and the content of a known generation
    is not hashed. `ballot`, `base` and `generation` raise ValueError for a malformed field.
    """

    __slots__ = ("_fields", "epoch", "kind")

    def __init__(self, kind: MessageKind, epoch: Epoch | None, fields: Mapping[str, Any]) -> None:
        self.kind = kind
        self.epoch = epoch
        self._fields = fields

    @classmethod
    def from_dict(cls, fields: Mapping[str, Any]) -> Self:
        """Parse the kind and the epoch; queries for state and content have no epoch.

        Raises:
            MessageRejected: The kind is unknown.
            ValueError: The epoch is malformed.
        """
        found: Any = fields.get("do")
        try:
            kind = MessageKind(found)
        except ValueError:
            raise MessageRejected(
                HTTPStatus.BAD_REQUEST,
                RejectionCause.MALFORMED,
                f"do: expected a known word, found {shorten(found)}",
            ) from None
        if kind in (MessageKind.STATE, MessageKind.CONTENT):
            return cls(kind, None, fields)
        return cls(kind, parse_epoch(fields.get("epoch_of")), fields)

    @property
    def has_content(self) -> bool:
        """Whether the request contains the settings and not only their ballot."""
        return "content" in self._fields

    def ballot(self) -> Ballot:
        """Return the ballot to which the request refers."""
        return parse_ballot(self._fields)

    def digest(self) -> str:
        """Return the digest of the settings to which the request refers; empty without one."""
        return str(self._fields.get("digest", ""))

    def base(self) -> Ballot:
        """Return the ballot that the generation to prepare follows."""
        return parse_ballot(self._fields.get("base"))

    def generation(self) -> Generation:
        """Return the generation in the request, verified against its digest."""
        return parse_generation(self._fields, digest)


class PeerState(NamedTuple):
    """The state that a participant reports, without the contents of generations.

    Attributes:
        in_force: The ballot in force.
        digest: The digest of the settings in force.
        prepared: The prepared ballots whose outcome the participant does not know.
        aborted: The latest ballots that the participant knows will never commit.
        roster: The roster in force.
    """

    in_force: Ballot
    digest: str
    prepared: tuple[Ballot, ...]
    aborted: tuple[Ballot, ...]
    roster: tuple[str, ...]

    @classmethod
    def from_dict(cls, fields: Mapping[str, Any]) -> Self:
        """Parse a report.

        Raises:
            ValueError: The report is malformed.
        """
        prepared = fields.get(state_keys.PREPARED, [])
        aborted = fields.get(state_keys.ABORTED, [])
        roster = fields.get(state_keys.ROSTER, [])
        if not all(isinstance(rows, list) for rows in (prepared, aborted, roster)):
            raise ValueError("possible, denied, members: expected lists")
        in_force = fields.get(state_keys.IN_FORCE)
        ballot = parse_ballot(in_force)
        return cls(
            ballot,
            str(in_force.get("digest")) if isinstance(in_force, dict) else "",
            tuple(map(parse_ballot, prepared)),
            tuple(map(parse_ballot, aborted)),
            tuple(map(str, roster)),
        )


class Rejection(NamedTuple):
    """The answer of a participant that rejects a request.

    Attributes:
        cause: The value of a `RejectionCause`, or of a cause that a later build defines.
        reason: The reason, truncated to `MAX_REASON_LENGTH` characters.
        promised: The epoch that the participant has promised, if the answer contains it.
    """

    cause: str
    reason: str
    promised: Epoch | None

    @property
    def is_stale_epoch(self) -> bool:
        """Whether the participant has promised a higher epoch."""
        return self.cause == RejectionCause.STALE_EPOCH

    @property
    def is_missing_generation(self) -> bool:
        """Whether the participant lacks a generation on which the request depends."""
        return self.cause in MISSING_GENERATION_CAUSES


class MalformedAnswer(NamedTuple):
    """An answer that cannot be parsed."""

    reason: str


Answer = PeerState | Generation | Rejection | MalformedAnswer


def _decode_rejection(fields: Mapping[str, Any]) -> Rejection:
    try:
        promised = parse_epoch(fields.get("promised"))
    except ValueError:
        promised = None
    reason = str(fields.get("why", ""))[:MAX_REASON_LENGTH]
    return Rejection(str(fields["refused"]), reason, promised)


def decode_answer(request: Request, fields: Mapping[str, Any]) -> Answer:
    """Return the answer to a request, or a `MalformedAnswer` if the JSON cannot be parsed."""
    try:
        if request.kind is MessageKind.CONTENT:
            return parse_generation(fields, digest)
        if "refused" not in fields:
            return PeerState.from_dict(fields)
    except ValueError as error:
        if "refused" not in fields:
            return MalformedAnswer(str(error))
    return _decode_rejection(fields)
