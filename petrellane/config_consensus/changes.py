"""A change of settings: the votes of its participants, its outcome, and its records in the journal.

A `Change` collects votes as in Paxos Commit and says when it can be decided:

    committed  every participant that was asked has prepared or is confirmed absent, and those
               that prepared are a majority of the previous roster and of the new one
    aborted    the same without these majorities, or somebody has not voted in time

A participant is absent where its machine refuses the connection, and confirmed absent only by a
refusal after the last of the others has prepared: one that starts later asks its peers before it
serves. Records are durable before anybody is notified of what they say; the journal keeps them as
JSON objects, which `to_dict` and `parse_record` translate.
"""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, ClassVar, NamedTuple, Self

from petrellane.config_consensus import canonical_settings
from petrellane.config_consensus.ballots import (
    Ballot,
    Epoch,
    Generation,
    majority,
    parse_generation,
)
from petrellane.config_consensus.messages import PeerState, Prepare, Request
from petrellane.config_consensus.participant import INITIAL_BALLOT, STALL_LIMIT_S

CHANGE_TIMEOUT_S = 3.0  # a change aborts when a participant has not voted by then

INTERRUPTED = "the control process ended before it was decided"
ALREADY_IN_FORCE = "in force already"
REJECTED_PREFIX = "refused by"  # begins the reason of a change that a participant rejected


class ChangeOutcome(StrEnum):
    """What became of a change; the values are those of the wire and of the journal."""

    PREPARING = "preparing"
    COMMITTED = "committed"
    ABORTED = "aborted"
    SUPERSEDED = "superseded"
    UNKNOWN = "unknown"


class Vote(StrEnum):
    """A participant's vote on a change."""

    PREPARED = "prepared"
    ABSENT = "absent"


def rejected_by(name: str, reason: str) -> str:
    """The reason of a change that a participant rejected."""
    return f"{REJECTED_PREFIX} {name}: {reason}"


def is_rejection(reason: str) -> bool:
    """Whether the reason of an aborted change is that a participant rejected it.

    An answer to staff has the reason alone, so it is recognized by that text.
    """
    return reason.startswith(REJECTED_PREFIX)


class Decision(NamedTuple):
    """The outcome that a change has reached, and why, in one line."""

    outcome: ChangeOutcome
    reason: str


@dataclass
class Change:
    """One proposal and its votes; owned by the coordinator, which keeps it in its history.

    Attributes:
        generation: what is proposed.
        base: the ballot in force when it was proposed.
        participants: who has to vote: the old roster and the new one without `excluded`.
        excluded: participants that the proposer counts out.
        started_at: time of the proposal, in seconds.
        previous_roster: the roster in force when it was proposed.
        votes: the votes so far; a participant without one has not voted.
        last_sequence_before_proposal: sequence number of the last request before the proposal.
        last_sequence_when_prepared: that of the last request when a participant prepared last.
        confirmed_absent: participants that were absent after that.
        outcome: PREPARING until it is decided.
        purpose: why it was proposed, in one line; empty for a proposal of staff.
        decision_reason: why it has the outcome that it has, in one line.
        author: who proposed it.
    """

    generation: Generation
    base: Ballot
    participants: tuple[str, ...]
    excluded: tuple[str, ...]
    started_at: float
    previous_roster: tuple[str, ...]
    votes: dict[str, Vote] = field(default_factory=dict)
    last_sequence_before_proposal: int = 0
    last_sequence_when_prepared: int = 0
    confirmed_absent: set[str] = field(default_factory=set)
    outcome: ChangeOutcome = ChangeOutcome.PREPARING
    purpose: str = ""
    decision_reason: str = ""
    author: str = ""

    @classmethod
    def interrupted(cls, generation: Generation, excluded: tuple[str, ...], author: str) -> Self:
        """The change of an earlier process, whose outcome is unknown."""
        return cls(
            generation=generation,
            base=INITIAL_BALLOT,
            participants=(),
            excluded=excluded,
            started_at=0.0,
            previous_roster=(),
            outcome=ChangeOutcome.UNKNOWN,
            decision_reason=INTERRUPTED,
            author=author,
        )

    @classmethod
    def already_in_force(cls, generation: Generation, now: float) -> Self:
        """The change to settings in force that this coordinator did not bring about."""
        return cls(
            generation=generation,
            base=generation.ballot,
            participants=(),
            excluded=(),
            started_at=now,
            previous_roster=(),
            outcome=ChangeOutcome.COMMITTED,
            decision_reason=ALREADY_IN_FORCE,
        )

    @property
    def reason(self) -> str:
        """Why it was proposed, and from its outcome on why it has that one; in one line."""
        return self.purpose if self.outcome is ChangeOutcome.PREPARING else self.decision_reason

    @property
    def ballot(self) -> Ballot:
        """The ballot of the proposed generation."""
        return self.generation.ballot

    def prepared_names(self) -> list[str]:
        """The participants that prepared, sorted."""
        return sorted(name for name, vote in self.votes.items() if vote is Vote.PREPARED)

    def to_dict(self) -> dict[str, Any]:
        """The change as staff see it, as JSON."""
        return {
            "number": self.ballot.number,
            "epoch": list(self.ballot.epoch),
            "digest": self.generation.digest,
            "outcome": self.outcome.value,
            "why": self.reason,
            "by": self.author,
            "without": list(self.excluded),
            "prepared": self.prepared_names(),
            "absent": sorted(self.confirmed_absent),
        }

    # Votes.

    def awaits(self, name: str) -> bool:
        """Whether a participant has to be asked to prepare, for the first time or once more."""
        return (
            name in self.participants
            and self.votes.get(name) is not Vote.PREPARED
            and name not in self.confirmed_absent
        )

    def is_excluded_alive(self, name: str, sequence: int) -> bool:
        """Whether a participant that was counted out answered a request since the proposal."""
        return name in self.excluded and sequence > self.last_sequence_before_proposal

    def is_prepared(self, request: Request, report: PeerState) -> bool:
        """Whether a request asked to prepare this change, and the report says it is prepared."""
        body = request.body
        if not isinstance(body, Prepare) or body.generation.number != self.ballot.number:
            return False
        return self.ballot in report.prepared or report.in_force >= self.ballot

    def record_prepared(self, name: str, last_sequence: int) -> None:
        """Count a participant as prepared; absent ones are to be asked once more then.

        Args:
            name: the participant.
            last_sequence: sequence number of the last request sent to anybody.
        """
        if self.votes.get(name) is Vote.PREPARED:
            return
        self.votes[name] = Vote.PREPARED
        self.confirmed_absent.clear()
        self.last_sequence_when_prepared = last_sequence

    def record_absent(self, name: str, sequence: int) -> None:
        """Count a participant whose machine refused the connection as absent.

        Args:
            name: the participant.
            sequence: that of the request for which the connection was refused.
        """
        if name not in self.participants or self.votes.get(name) is Vote.PREPARED:
            return
        self.votes[name] = Vote.ABSENT
        if sequence > self.last_sequence_when_prepared:
            self.confirmed_absent.add(name)

    def retract_absence(self, name: str) -> None:
        """Forget that a participant was absent: it may run, as it only didn't answer."""
        if self.votes.get(name) is Vote.ABSENT:
            del self.votes[name]
            self.confirmed_absent.discard(name)

    # The decision.

    def decision(
        self, roster: tuple[str, ...], now: float, unreachable: Mapping[str, str]
    ) -> Decision | None:
        """The decision that the votes allow by now.

        Args:
            roster: the roster that the change brings into force.
            now: the time, in seconds.
            unreachable: why participants could not be reached, for the reason.

        Returns:
            The decision, None while it is open.
        """
        waiting = self._waiting()
        first = next(waiting, None)  # searched anew at each answer, mostly found at once
        if first is not None:
            if now - self.started_at < CHANGE_TIMEOUT_S:
                return None
            return self._timed_out(sorted((first, *waiting)), unreachable)
        prepared = {name for name in self.participants if self.votes.get(name) is Vote.PREPARED}
        for members in (self.previous_roster, roster):
            if members and len(prepared & set(members)) < majority(members):
                return self._without_majority(prepared, members)
        if self.excluded and now - self.started_at < 2 * STALL_LIMIT_S:
            return None  # one that was excluded and merely stalls has to notice its stall first
        return Decision(ChangeOutcome.COMMITTED, self.purpose)

    def _waiting(self) -> Iterator[str]:
        """Participants that have neither prepared nor been confirmed absent."""
        votes = self.votes  # looked up once: a roster is gone through at each answer
        confirmed_absent = self.confirmed_absent
        prepared = Vote.PREPARED
        return (
            name
            for name in self.participants
            if votes.get(name) is not prepared and name not in confirmed_absent
        )

    @staticmethod
    def _timed_out(names: list[str], unreachable: Mapping[str, str]) -> Decision:
        causes = (f"{name} ({unreachable.get(name, 'no answer')})" for name in names)
        return Decision(ChangeOutcome.ABORTED, "no word from " + ", ".join(causes))

    def _without_majority(self, prepared: set[str], members: Collection[str]) -> Decision:
        absent = ", ".join(sorted(self.confirmed_absent)) or "none"
        return Decision(
            ChangeOutcome.ABORTED,
            f"no majority: {len(prepared & set(members))} of {len(members)} gateways prepared, "
            f"nobody listens at {absent}",
        )


# Records of the journal.


@dataclass(frozen=True, slots=True)
class EpochClaimed:
    """The coordinator takes an epoch; it never takes the same one again."""

    kind: ClassVar[str] = "epoch"
    number: int
    control: str

    def to_dict(self) -> dict[str, Any]:
        """The record as JSON."""
        return {"kind": self.kind, "number": self.number, "control": self.control}


@dataclass(frozen=True, slots=True)
class FoundInForce:
    """The coordinator learned from participants which generation is in force."""

    kind: ClassVar[str] = "in_force"
    generation: Generation

    def to_dict(self) -> dict[str, Any]:
        """The record as JSON."""
        return {"kind": self.kind, "generation": self.generation.to_dict()}


@dataclass(frozen=True, slots=True)
class Proposed:
    """A change begins."""

    kind: ClassVar[str] = "proposed"
    generation: Generation
    excluded: tuple[str, ...]
    author: str
    reason: str = ""

    def to_dict(self) -> dict[str, Any]:
        """The record as JSON."""
        return {
            "kind": self.kind,
            "generation": self.generation.to_dict(),
            "without": list(self.excluded),
            "by": self.author,
            "why": self.reason,
        }

    def interrupted_change(self) -> Change:
        """The change of an earlier process, whose outcome is unknown unless a record follows."""
        return Change.interrupted(self.generation, self.excluded, self.author)


@dataclass(frozen=True, slots=True)
class Decided:
    """A change commits or aborts."""

    kind: ClassVar[str] = "decided"
    ballot: Ballot
    outcome: ChangeOutcome
    reason: str
    absent: tuple[str, ...]
    prepared: tuple[str, ...]

    def to_dict(self) -> dict[str, Any]:
        """The record as JSON."""
        return {
            "kind": self.kind,
            **self.ballot.to_dict(),
            "outcome": self.outcome.value,
            "why": self.reason,
            "absent": list(self.absent),
            "prepared": list(self.prepared),
        }

    def apply_to(self, change: Change) -> None:
        """Set a change that was read from the journal to its decision."""
        change.outcome = self.outcome
        change.decision_reason = self.reason
        change.confirmed_absent = set(self.absent)
        change.votes = dict.fromkeys(self.prepared, Vote.PREPARED)


Record = EpochClaimed | FoundInForce | Proposed | Decided


def parse_record(fields: Mapping[str, Any]) -> Record | None:
    """A record of the journal from JSON; None for a kind that this build doesn't know.

    Raises:
        ValueError: the record is malformed.
        KeyError: a field is missing.
    """
    kind = fields["kind"]
    if kind == EpochClaimed.kind:
        return EpochClaimed(fields["number"], fields.get("control", ""))
    if kind == FoundInForce.kind:
        return FoundInForce(parse_generation(fields["generation"], canonical_settings.digest))
    if kind == Proposed.kind:
        return Proposed(
            parse_generation(fields["generation"], canonical_settings.digest),
            tuple(fields.get("without", ())),
            fields.get("by", ""),
            fields.get("why", ""),
        )
    if kind == Decided.kind:
        return Decided(
            Ballot(fields["number"], Epoch(*fields["epoch"])),
            ChangeOutcome(fields["outcome"]),
            fields["why"],
            tuple(fields.get("absent", ())),
            tuple(fields.get("prepared", ())),
        )
    return None
