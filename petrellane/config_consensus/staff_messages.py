"""Messages between the commands of staff (operators) and a control process.

The messages are JSON objects. Both processes run the same build, so they need no compatibility with
other versions.
"""

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Self

from petrellane.config_consensus.changes import ChangeOutcome
from petrellane.config_consensus.message_authentication import CallResult
from petrellane.config_consensus.messages import JsonObject

CONTROL_RECIPIENT = "control"  # recipient of every call of staff, instead of a process name


class StaffCall(StrEnum):
    """The kinds of calls that staff can make: the values of a message's key `do`."""

    STATUS = "status"
    HISTORY = "history"
    SHOW = "show"
    BACK = "back"
    PROPOSE = "propose"
    CHANGE = "change"


class StaffRejection(StrEnum):
    """The reason for rejecting a call of staff; the answer's key `refused` contains the value."""

    MALFORMED = "form"
    UNKNOWN = "unknown"
    SETTINGS = "settings"
    NOT_NOW = "not now"
    JOURNAL = "journal"


REJECTION_STATUS = {
    StaffRejection.MALFORMED: HTTPStatus.BAD_REQUEST,
    StaffRejection.UNKNOWN: HTTPStatus.NOT_FOUND,
    StaffRejection.SETTINGS: HTTPStatus.UNPROCESSABLE_ENTITY,
    StaffRejection.NOT_NOW: HTTPStatus.CONFLICT,
    StaffRejection.JOURNAL: HTTPStatus.INSUFFICIENT_STORAGE,
}


def reject_call(rejection: StaffRejection, reason: str) -> CallResult:
    """Return the answer that rejects a call, with the reason in one line of text."""
    return CallResult(REJECTION_STATUS[rejection], {"refused": rejection, "why": reason})


@dataclass(frozen=True)
class ChangeProgress:
    """The progress of a change, as reported by the control process.

    Attributes:
        number: The number of the generation.
        outcome: The value of a `ChangeOutcome`.
        reason: The reason for the outcome or, if there is none, the purpose of the change; may be
            empty.
        prepared: The names of the participants that have prepared the generation.
        absent: The names of the participants that are down; they receive it when they start.
        pending: The names of the participants that have yet to put the generation in force.
        reached_count: The number of participants that have it, or a later one, in force.
        participant_count: The number of all participants.
    """

    number: int
    outcome: str
    reason: str
    prepared: list[str]
    absent: list[str]
    pending: list[str]
    reached_count: int
    participant_count: int

    @classmethod
    def from_answer(cls, answer: JsonObject) -> Self:
        """Parse the progress from an answer of the control process."""
        return cls(
            number=answer["number"],
            outcome=answer["outcome"],
            reason=answer["why"],
            prepared=answer["prepared"],
            absent=answer["absent"],
            pending=answer["owed"],
            reached_count=answer["reached"],
            participant_count=answer["of"],
        )

    @property
    def is_finished(self) -> bool:
        """Whether the change was aborted or superseded, or is in force at all live participants."""
        if self.outcome in (ChangeOutcome.ABORTED, ChangeOutcome.SUPERSEDED):
            return True
        return self.outcome == ChangeOutcome.COMMITTED and not self.pending

    def describe(self) -> str:
        """Return the progress as one line of text."""
        prefix = f"generation {self.number}: "
        if self.outcome == ChangeOutcome.PREPARING:
            return f"{prefix}prepared at {len(self.prepared)}"
        if self.outcome != ChangeOutcome.COMMITTED:
            return f"{prefix}{self.outcome}: {self.reason}"
        text = f"{prefix}in force at {self.reached_count} of {self.participant_count}"
        if self.pending:
            text += f", not yet at {', '.join(self.pending)}"
        if self.absent:
            text += f"; down, to have it when they start: {', '.join(self.absent)}"
        return text
