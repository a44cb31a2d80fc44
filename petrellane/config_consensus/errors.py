"""Errors of consensus: messages that a participant rejects, proposals not taken, and their text."""

from enum import StrEnum
from http import HTTPStatus

SHOWN_LENGTH = 40  # characters of an unexpected value that an error repeats


class RejectionCause(StrEnum):
    """Why a participant rejects a message; the values are those of an answer's key `refused`.

    A later build may have further ones, so a coordinator keeps the cause that it reads as text.
    """

    MALFORMED = "form"
    STALE_EPOCH = "epoch"  # the participant follows a higher one
    UNKNOWN_GENERATION = "unknown"  # its content is not here
    BASE_NOT_IN_FORCE = "behind"  # the generation that a proposal follows is not in force here yet
    CANNOT_COMMIT = "past"  # a later ballot is in force, or this one was aborted
    TOO_MANY_PREPARED = "crowded"
    INVALID_SETTINGS = "settings"
    NOT_ACTIVE = "elsewhere"  # another process of the gateway takes part, or none yet
    NOT_DURABLE = "unwritten"  # the new state could not be written


class ConsensusError(Exception):
    """Base of all errors of the rules; the text is one line."""


class MessageRejected(ConsensusError):  # noqa: N818 - an answer of the protocol, no fault
    """A participant rejects a message, and its state stays as it is.

    Attributes:
        status: HTTP status of the answer.
        cause: the kind of the rejection.
        text: what was expected and what was found, in one line.
        more: further fields of the answer, as JSON.
    """

    def __init__(
        self, status: HTTPStatus, cause: RejectionCause, text: str, **more: object
    ) -> None:
        super().__init__(text)
        self.status = status
        self.cause = cause
        self.text = text
        self.more = more

    def to_dict(self) -> dict[str, object]:
        """The answer's body as JSON."""
        return {"refused": self.cause.value, "why": self.text, **self.more}


class ProposalRejected(ConsensusError):  # noqa: N818 - as above
    """A coordinator can't take a proposal now; the text is one line."""


def shorten(value: object) -> str:
    """An unexpected value, short enough for an error text."""
    return str(value)[:SHOWN_LENGTH]
