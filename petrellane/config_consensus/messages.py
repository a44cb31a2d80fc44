"""Messages of the protocol and the answers to them: typed here, JSON objects on the wire.

A coordinator sends a `Request` to one participant at a time; a participant reads it as a
`ReceivedRequest` and answers with its state, with a generation, or with a rejection, which the
coordinator reads by `decode_answer`. Participants ask each other for state and content in the
same way. The wire keeps its keys: "possible" is prepared, "denied" and "deny" are aborted,
"members" is the roster, "epoch_of" is the sender's epoch and "order" its sequence number.

This module translates and checks form. What a message does is decided in `participant` and
`coordinator`; who sent it is checked in `message_authentication`.
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

MAX_REASON_LENGTH = 300  # characters of a rejection's reason that are kept

# Causes of a participant that lacks a generation which the request builds on.
CONTENT_CAUSES = (RejectionCause.BASE_NOT_IN_FORCE, RejectionCause.UNKNOWN_GENERATION)

JsonObject = dict[str, Any]


class MessageKind(StrEnum):
    """What a request asks for; the values are the wire's."""

    STATE = "state"
    CONTENT = "content"
    PROMISE = "promise"
    PREPARE = "prepare"
    COMMIT = "commit"
    ABORT = "deny"


@dataclass(frozen=True, slots=True)
class ReadContent:
    """Asks for the generation of a ballot."""

    kind: ClassVar[MessageKind] = MessageKind.CONTENT
    ballot: Ballot

    def to_dict(self) -> JsonObject:
        """The body as JSON."""
        return {"do": self.kind.value, **self.ballot.to_dict()}


@dataclass(frozen=True, slots=True)
class Promise:
    """Asks for a promise of the sender's epoch; every answer reports the participant's state."""

    kind: ClassVar[MessageKind] = MessageKind.PROMISE

    def to_dict(self) -> JsonObject:
        """The body as JSON."""
        return {"do": self.kind.value}


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks to prepare a generation that follows `base`, the one in force."""

    kind: ClassVar[MessageKind] = MessageKind.PREPARE
    base: Ballot
    generation: Generation

    def to_dict(self) -> JsonObject:
        """The body as JSON."""
        return {
            "do": self.kind.value,
            "base": self.base.to_dict(),
            **self.generation.to_dict(),
        }


@dataclass(frozen=True, slots=True)
class Commit:
    """Notifies of a committed generation, with its content unless the participant has it."""

    kind: ClassVar[MessageKind] = MessageKind.COMMIT
    generation: Generation
    with_content: bool

    def to_dict(self) -> JsonObject:
        """The body as JSON."""
        if self.with_content:
            return {"do": self.kind.value, **self.generation.to_dict()}
        return {"do": self.kind.value, **self.generation.identity_to_dict()}


@dataclass(frozen=True, slots=True)
class Abort:
    """Notifies that a ballot will never commit."""

    kind: ClassVar[MessageKind] = MessageKind.ABORT
    ballot: Ballot

    def to_dict(self) -> JsonObject:
        """The body as JSON."""
        return {"do": self.kind.value, **self.ballot.to_dict()}


RequestBody = ReadContent | Promise | Prepare | Commit | Abort


@dataclass(frozen=True, slots=True)
class Request:
    """A coordinator's message to one participant.

    `sequence` rises with each request of a coordinator: it tells whether an answer, or the
    refusal of a connection, belongs to a request from before or after some event.
    """

    recipient: str
    epoch: Epoch
    sequence: int
    body: RequestBody

    @property
    def kind(self) -> MessageKind:
        """What the request asks for."""
        return self.body.kind

    def to_dict(self) -> JsonObject:
        """The request as JSON."""
        return {
            **self.body.to_dict(),
            "to": self.recipient,
            "epoch_of": list(self.epoch),
            "order": self.sequence,
        }


@dataclass(frozen=True, slots=True)
class PeerQuery:
    """A participant's question to another one: for its state, or for the content of a ballot."""

    recipient: str
    ballot: Ballot | None = None

    def to_dict(self) -> JsonObject:
        """The question as JSON."""
        if self.ballot is None:
            return {"do": MessageKind.STATE.value, "to": self.recipient}
        kind = MessageKind.CONTENT.value
        return {"do": kind, "to": self.recipient, **self.ballot.to_dict()}


class ReceivedRequest:
    """A request as it reaches a participant; it lives for one call.

    Kind and epoch are read at once, the rest when a rule asks for it: a stale epoch is rejected
    whatever else the request holds, and the content of a generation that is known is not hashed.
    All methods raise ValueError where the field they read is malformed.
    """

    __slots__ = ("_fields", "epoch", "kind")

    def __init__(self, kind: MessageKind, epoch: Epoch | None, fields: Mapping[str, Any]) -> None:
        self.kind = kind
        self.epoch = epoch
        self._fields = fields

    @classmethod
    def from_dict(cls, fields: Mapping[str, Any]) -> Self:
        """Read kind and epoch; questions for state and content have no epoch.

        Raises:
            MessageRejected: the kind is unknown.
            ValueError: the epoch is malformed.
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
        """Whether the settings came along, not only their ballot."""
        return "content" in self._fields

    def ballot(self) -> Ballot:
        """The ballot that the request is about."""
        return parse_ballot(self._fields)

    def base(self) -> Ballot:
        """The ballot that a generation to prepare follows."""
        return parse_ballot(self._fields.get("base"))

    def generation(self) -> Generation:
        """The generation that came along, checked against its digest."""
        return parse_generation(self._fields, digest)


class PeerState(NamedTuple):
    """What a participant reports of its state, without contents."""

    in_force: Ballot
    digest: str
    prepared: tuple[Ballot, ...]
    aborted: tuple[Ballot, ...]
    roster: tuple[str, ...]

    @classmethod
    def from_dict(cls, fields: Mapping[str, Any]) -> Self:
        """Read a report.

        Raises:
            ValueError: the report is malformed.
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
    """A participant's answer that rejects a request."""

    cause: str  # a `RejectionCause`, or that of a later build
    reason: str
    promised: Epoch | None  # the epoch it follows, where it gave one

    @property
    def is_for_epoch(self) -> bool:
        """Whether the participant follows a higher epoch."""
        return self.cause == RejectionCause.STALE_EPOCH

    @property
    def is_for_content(self) -> bool:
        """Whether the participant lacks a generation that the request builds on."""
        return self.cause in CONTENT_CAUSES


class MalformedAnswer(NamedTuple):
    """An answer that can't be read."""

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
    """The answer to a request, from JSON; one that can't be read is a `MalformedAnswer`."""
    try:
        if request.kind is MessageKind.CONTENT:
            return parse_generation(fields, digest)
        if "refused" not in fields:
            return PeerState.from_dict(fields)
    except ValueError as error:
        if "refused" not in fields:
            return MalformedAnswer(str(error))
    return _decode_rejection(fields)
