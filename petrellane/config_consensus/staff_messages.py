"""Messages between staff's commands and a control process: kinds, rejections, a change's progress.

Both ends are of one build; the messages are JSON objects on the wire.
"""

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Self

from petrellane.config_consensus.changes import ChangeOutcome
from petrellane.config_consensus.message_authentication import CallResult
from petrellane.config_consensus.messages import JsonObject

CONTROL_RECIPIENT = "control"  # whom calls of staff are for, whatever the control process's name


class StaffCall(StrEnum):
    """What staff can ask of a control process: the value of a message's key `do`."""

    STATUS = "status"
    HISTORY = "history"
    SHOW = "show"
    BACK = "back"
    PROPOSE = "propose"
    CHANGE = "change"


class StaffRejection(StrEnum):
    """Why a call of staff is rejected: the value of an answer's key `refused`."""

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
    """Return the answer that rejects a call, with the reason in one line."""
    return CallResult(REJECTION_STATUS[rejection], {"refused": rejection, "why": reason})


@dataclass(frozen=True)
class ChangeProgress:
    """How far a change has come, as a control process answers it.

    Attributes:
        number: the generation's number.
        outcome: the value of a `ChangeOutcome`.
        reason: why it was aborted or is unknown, else empty or what it was begun for.
        prepared: names of the participants that have prepared it.
        absent: names of those that are down, and get it when they start.
        owed: names of those that have to put it in force and have not.
        reached_count: how many participants have it in force, or a later one.
        participant_count: of how many.
    """

    number: int
    outcome: str
    reason: str
    prepared: list[str]
    absent: list[str]
    owed: list[str]
    reached_count: int
    participant_count: int

    @classmethod
    def from_answer(cls, answer: JsonObject) -> Self:
        """Return the progress that an answer tells."""
        return cls(
            number=answer["number"],
            outcome=answer["outcome"],
            reason=answer["why"],
            prepared=answer["prepared"],
            absent=answer["absent"],
            owed=answer["owed"],
            reached_count=answer["reached"],
            participant_count=answer["of"],
        )

    @property
    def is_finished(self) -> bool:
        """Whether nothing is left to follow: it failed, or is in force wherever it is due."""
        if self.outcome in (ChangeOutcome.ABORTED, ChangeOutcome.SUPERSEDED):
            return True
        return self.outcome == ChangeOutcome.COMMITTED and not self.owed

    def describe(self) -> str:
        """Return the progress in one line."""
        prefix = f"generation {self.number}: "
        if self.outcome == ChangeOutcome.PREPARING:
            return f"{prefix}prepared at {len(self.prepared)}"
        if self.outcome != ChangeOutcome.COMMITTED:
            return f"{prefix}{self.outcome}: {self.reason}"
        text = f"{prefix}in force at {self.reached_count} of {self.participant_count}"
        if self.owed:
            text += f", not yet at {', '.join(self.owed)}"
        if self.absent:
            text += f"; down, to have it when they start: {', '.join(self.absent)}"
        return text
