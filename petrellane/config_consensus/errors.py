"""Errors of the consensus rules: rejected messages, rejected proposals and their texts."""

from enum import StrEnum
from http import HTTPStatus

MAX_SHOWN_LENGTH = 40  # characters of an unexpected value that an error text repeats


class RejectionCause(StrEnum):
    """The cause of a participant's rejection; the answer's key `refused` contains the value.

    A later build may define further causes, so a coordinator keeps a received cause as a string.
    """

    MALFORMED = "form"
    STALE_EPOCH = "epoch"  # the participant has promised a higher epoch
    UNKNOWN_GENERATION = "unknown"  # the participant does not have its content
    BASE_NOT_IN_FORCE = "behind"  # the base of a proposal is not in force at the participant yet
    CANNOT_COMMIT = "past"  # a later ballot is in force, or this ballot was aborted
    CONFLICTING_CONTENT = "content"  # the participant knows other settings under this ballot
    TOO_MANY_PREPARED = "crowded"
    INVALID_SETTINGS = "settings"
    NOT_ACTIVE = "elsewhere"  # another process of the gateway, or no process yet, is active
    NOT_DURABLE = "unwritten"  # the new state could not be written


class ConsensusError(Exception):
    """Base class of the errors of the configuration consensus; each error's message is one line."""


class MessageRejected(ConsensusError):  # noqa: N818 - an answer of the protocol, not a fault
    """A participant rejects a message and keeps its state unchanged.

    Attributes:
        status: The HTTP status of the answer.
        cause: The cause of the rejection.
        text: The expected and the found value, in one line.
        extra_fields: Further fields of the answer, as JSON.
    """

    def __init__(
        self, status: HTTPStatus, cause: RejectionCause, text: str, **extra_fields: object
    ) -> None:
        super().__init__(text)
        self.status = status
        self.cause = cause
        self.text = text
        self.extra_fields = extra_fields

    def to_dict(self) -> dict[str, object]:
        """Return the body of the answer as JSON."""
        return {"refused": self.cause.value, "why": self.text, **self.extra_fields}


class ProposalRejected(ConsensusError):  # noqa: N818 - an answer to staff, not a fault
    """A coordinator cannot accept a proposal now; the text is one line."""


def shorten(value: object) -> str:
    """Return the text of an unexpected value, truncated for an error text."""
    return str(value)[:MAX_SHOWN_LENGTH]
