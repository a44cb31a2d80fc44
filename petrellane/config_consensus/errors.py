"""Errors of the consensus rules: messages that a participant rejects, proposals that a coordinator rejects."""

from typing import Any


class ConsensusError(Exception):
    """Base of all errors of the rules; the text is one line."""


class MessageRejected(ConsensusError):
    """A participant rejects a message and its state stays as it is.

    Attributes:
        status: HTTP status of the answer.
        cause: the kind of the rejection, as the wire names it.
        text: what was expected and what was found, in one line.
        more: further fields of the answer.
    """

    def __init__(self, status: int, cause: str, text: str, **more: Any) -> None:  # noqa: ANN401 - JSON values
        super().__init__(text)
        self.status = status
        self.cause = cause
        self.text = text
        self.more = more

    def to_dict(self) -> dict[str, Any]:
        """The answer's body, as JSON."""
        return {"refused": self.cause, "why": self.text, **self.more}


class ProposalRejected(ConsensusError):
    """A coordinator can't take a proposal now; the text is one line."""
