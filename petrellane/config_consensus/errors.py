"""Errors of the consensus rules: messages that a participant rejects, proposals not taken."""


class ConsensusError(Exception):
    """Base of all errors of the rules; the text is one line."""


class MessageRejected(ConsensusError):  # noqa: N818 - an answer of the protocol, no fault
    """A participant rejects a message, and its state stays as it is.

    Attributes:
        status: HTTP status of the answer.
        cause: the kind of the rejection, as the wire names it.
        text: what was expected and what was found, in one line.
        more: further fields of the answer, as JSON.
    """

    def __init__(self, status: int, cause: str, text: str, **more: object) -> None:
        super().__init__(text)
        self.status = status
        self.cause = cause
        self.text = text
        self.more = more

    def to_dict(self) -> dict[str, object]:
        """The answer's body as JSON."""
        return {"refused": self.cause, "why": self.text, **self.more}


class ProposalRejected(ConsensusError):  # noqa: N818 - as above
    """A coordinator can't take a proposal now; the text is one line."""
