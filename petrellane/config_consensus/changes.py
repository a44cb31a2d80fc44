"""A change of settings: its votes, its decision and its records in the journal.

A `Change` collects votes as in Paxos Commit and derives the decision from them:

    committed  Every participant that was asked has prepared or is confirmed absent, and the
               participants that prepared are a majority of the previous roster and of the new one.
    aborted    All of them have voted, but one of these majorities is missing; or a participant has
               not voted in time.

A participant is absent if its machine refuses the connection. A refusal confirms the absence only
if the coordinator sent that request after the last of the other participants had prepared: a
gateway that starts later asks its peers before it serves.

The journal keeps records as JSON objects, which `to_dict` and `parse_record` convert. A record is
durable before the coordinator notifies any participant of its content.
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

CHANGE_TIMEOUT_S = 3.0  # a change aborts if a participant has not voted within this time

INTERRUPTED_REASON = "the control process ended before it was decided"
ALREADY_IN_FORCE_REASON = "in force already"
REJECTED_PREFIX = "refused by"  # starts the reason of a change that a participant rejected


class ChangeOutcome(StrEnum):
    """The outcome of a change; the values appear on the wire and in the journal."""

    PREPARING = "preparing"
    COMMITTED = "committed"
    ABORTED = "aborted"
    SUPERSEDED = "superseded"
    UNKNOWN = "unknown"


class Vote(StrEnum):
    """A participant's vote on a change."""

    PREPARED = "prepared"
    ABSENT = "absent"


def rejection_reason(name: str, reason: str) -> str:
    """Return the reason of a change that a participant rejected."""
    return f"{REJECTED_PREFIX} {name}: {reason}"


def is_rejection(reason: str) -> bool:
    """Return whether an aborted change has this reason because a participant rejected it.

    An answer to staff contains only the text of the reason, so the text's prefix is checked.
    """
    return reason.startswith(REJECTED_PREFIX)


class Decision(NamedTuple):
    """The outcome of a change, and the reason for it in one line."""

    outcome: ChangeOutcome
    reason: str


@dataclass
class Change:
    """One proposal and its votes; owned by the coordinator, which keeps it in its history.

    Attributes:
        generation: The proposed generation.
        base: The ballot in force at the time of the proposal.
        participants: The participants that have to vote: those of the previous and the new roster,
            without `excluded`.
        excluded: The participants that the proposer excludes from the vote.
        started_at: The time of the proposal, in seconds.
        previous_roster: The roster in force at the time of the proposal.
        votes: The votes so far; a participant without an entry has not voted.
        last_sequence_before_proposal: The sequence number of the last request before the proposal.
        last_sequence_when_prepared: The sequence number of the last request that had been sent when
            a participant most recently prepared.
        confirmed_absent: The participants whose machine refused a request sent after that one.
        outcome: The outcome; PREPARING until the change is decided.
        purpose: The purpose of the proposal in one line; empty for a proposal of staff.
        decision_reason: The reason for the outcome, in one line.
        author: The author of the proposal.
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
        """Return a change of an earlier process, whose outcome is unknown."""
        return cls(
            generation=generation,
            base=INITIAL_BALLOT,
            participants=(),
            excluded=excluded,
            started_at=0.0,
            previous_roster=(),
            outcome=ChangeOutcome.UNKNOWN,
            decision_reason=INTERRUPTED_REASON,
            author=author,
        )

    @classmethod
    def already_in_force(cls, generation: Generation, now: float) -> Self:
        """Return a committed change for settings in force that are not in the history."""
        return cls(
            generation=generation,
            base=generation.ballot,
            participants=(),
            excluded=(),
            started_at=now,
            previous_roster=(),
            outcome=ChangeOutcome.COMMITTED,
            decision_reason=ALREADY_IN_FORCE_REASON,
        )

    @property
    def reason(self) -> str:
        """The purpose of the change while it is preparing, then the reason for its outcome."""
        return self.purpose if self.outcome is ChangeOutcome.PREPARING else self.decision_reason

    @property
    def ballot(self) -> Ballot:
        """The ballot of the proposed generation."""
        return self.generation.ballot

    def prepared_names(self) -> list[str]:
        """Return the sorted names of the participants that prepared."""
        return sorted(name for name, vote in self.votes.items() if vote is Vote.PREPARED)

    def to_dict(self) -> dict[str, Any]:
        """Return the change as JSON, for staff."""
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

    def needs_prepare(self, name: str) -> bool:
        """Return whether a participant needs a first or a repeated prepare request."""
        return (
            name in self.participants
            and self.votes.get(name) is not Vote.PREPARED
            and name not in self.confirmed_absent
        )

    def is_excluded_but_alive(self, name: str, sequence: int) -> bool:
        """Return whether an excluded participant answered a request sent after the proposal."""
        return name in self.excluded and sequence > self.last_sequence_before_proposal

    def confirms_prepare(self, request: Request, report: PeerState) -> bool:
        """Return whether a report answers this change's prepare request and shows it prepared."""
        body = request.body
        if not isinstance(body, Prepare) or body.generation.number != self.ballot.number:
            return False
        return self.ballot in report.prepared or report.in_force >= self.ballot

    def record_prepared(self, name: str, last_sequence: int) -> None:
        """Record that a participant prepared; absent participants then have to be asked again.

        Args:
            name: The participant that prepared.
            last_sequence: The sequence number of the last request sent to any participant.
        """
        if self.votes.get(name) is Vote.PREPARED:
            return
        self.votes[name] = Vote.PREPARED
        self.confirmed_absent.clear()
        self.last_sequence_when_prepared = last_sequence

    def record_absent(self, name: str, sequence: int) -> None:
        """Record that a participant's machine refused the connection.

        Args:
            name: The participant.
            sequence: The sequence number of the request for which the connection was refused.
        """
        if name not in self.participants or self.votes.get(name) is Vote.PREPARED:
            return
        self.votes[name] = Vote.ABSENT
        if sequence > self.last_sequence_when_prepared:
            self.confirmed_absent.add(name)

    def retract_absence(self, name: str) -> None:
        """Discard a recorded absence: the participant did not answer, so its process may run."""
        if self.votes.get(name) is Vote.ABSENT:
            del self.votes[name]
            self.confirmed_absent.discard(name)

    # The decision.

    def decision(
        self, roster: tuple[str, ...], now: float, unreachable: Mapping[str, str]
    ) -> Decision | None:
        """Return the decision that the votes and the time allow.

        Args:
            roster: The roster that the change puts in force.
            now: The time, in seconds.
            unreachable: The reason why each unreachable participant could not be reached; the
                reason of an abort repeats it.

        Returns:
            The decision, or None while the change is undecided.
        """
        pending = self._pending_participants()
        first = next(pending, None)  # each answer repeats this search, which usually ends early
        if first is not None:
            if now - self.started_at < CHANGE_TIMEOUT_S:
                return None
            return self._timeout_decision(sorted((first, *pending)), unreachable)
        prepared = {name for name in self.participants if self.votes.get(name) is Vote.PREPARED}
        for members in (self.previous_roster, roster):
            if members and len(prepared & set(members)) < majority(members):
                return self._no_majority_decision(prepared, members)
        if self.excluded and now - self.started_at < 2 * STALL_LIMIT_S:
            return None  # an excluded gateway may have only stalled: it has to detect that first
        return Decision(ChangeOutcome.COMMITTED, self.purpose)

    def _pending_participants(self) -> Iterator[str]:
        """Return an iterator over participants that are neither prepared nor confirmed absent."""
        votes = self.votes  # local variables: each answer iterates over the participants
        confirmed_absent = self.confirmed_absent
        prepared = Vote.PREPARED
        return (
            name
            for name in self.participants
            if votes.get(name) is not prepared and name not in confirmed_absent
        )

    @staticmethod
    def _timeout_decision(names: list[str], unreachable: Mapping[str, str]) -> Decision:
        causes = (f"{name} ({unreachable.get(name, 'no answer')})" for name in names)
        return Decision(ChangeOutcome.ABORTED, "no word from " + ", ".join(causes))

    def _no_majority_decision(self, prepared: set[str], members: Collection[str]) -> Decision:
        absent = ", ".join(sorted(self.confirmed_absent)) or "none"
        return Decision(
            ChangeOutcome.ABORTED,
            f"no majority: {len(prepared & set(members))} of {len(members)} gateways prepared, "
            f"nobody listens at {absent}",
        )


# Records of the journal.


@dataclass(frozen=True, slots=True)
class EpochClaimed:
    """The record that the coordinator claimed an epoch, which it never claims again."""

    kind: ClassVar[str] = "epoch"
    number: int
    control: str

    def to_dict(self) -> dict[str, Any]:
        """Return the record as JSON."""
        return {"kind": self.kind, "number": self.number, "control": self.control}


@dataclass(frozen=True, slots=True)
class FoundInForce:
    """The record that participants reported this generation as in force."""

    kind: ClassVar[str] = "in_force"
    generation: Generation

    def to_dict(self) -> dict[str, Any]:
        """Return the record as JSON."""
        return {"kind": self.kind, "generation": self.generation.to_dict()}


@dataclass(frozen=True, slots=True)
class Proposed:
    """The record of a proposal, which begins a change."""

    kind: ClassVar[str] = "proposed"
    generation: Generation
    excluded: tuple[str, ...]
    author: str
    reason: str = ""

    def to_dict(self) -> dict[str, Any]:
        """Return the record as JSON."""
        return {
            "kind": self.kind,
            "generation": self.generation.to_dict(),
            "without": list(self.excluded),
            "by": self.author,
            "why": self.reason,
        }

    def interrupted_change(self) -> Change:
        """Return the change, whose outcome is unknown unless a `Decided` record follows."""
        return Change.interrupted(self.generation, self.excluded, self.author)


@dataclass(frozen=True, slots=True)
class Decided:
    """The record of a decision, which commits or aborts a change."""

    kind: ClassVar[str] = "decided"
    ballot: Ballot
    outcome: ChangeOutcome
    reason: str
    absent: tuple[str, ...]
    prepared: tuple[str, ...]

    def to_dict(self) -> dict[str, Any]:
        """Return the record as JSON."""
        return {
            "kind": self.kind,
            **self.ballot.to_dict(),
            "outcome": self.outcome.value,
            "why": self.reason,
            "absent": list(self.absent),
            "prepared": list(self.prepared),
        }

    def apply_to(self, change: Change) -> None:
        """Apply the decision to a change that was read from the journal."""
        change.outcome = self.outcome
        change.decision_reason = self.reason
        change.confirmed_absent = set(self.absent)
        change.votes = dict.fromkeys(self.prepared, Vote.PREPARED)


Record = EpochClaimed | FoundInForce | Proposed | Decided


def parse_record(fields: Mapping[str, Any]) -> Record | None:
    """Return the record of the journal that a JSON object represents.

    Returns:
        The record, or None if this build does not know its kind.

    Raises:
        ValueError: The record is malformed.
        KeyError: A field is missing.
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
