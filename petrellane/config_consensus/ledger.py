"""The ledger of a coordinator: the proposed and decided changes and the generation in force.

The ledger records each step in the journal before the step takes effect. A process that restarts
after a crash therefore finds in the journal everything that it may have sent to participants.
`coordinator` and `changes` decide whether a change may begin and how it is decided.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Protocol

from petrellane.config_consensus import canonical_settings
from petrellane.config_consensus.ballots import Ballot, Epoch, Generation
from petrellane.config_consensus.changes import (
    Change,
    ChangeOutcome,
    Decided,
    EpochClaimed,
    FoundInForce,
    Proposed,
    Record,
    parse_record,
)


class RecordLog(Protocol):
    """The interface of a journal, which makes records durable."""

    def append(self, record: dict[str, Any], at: float, /) -> None:
        """Add a record, which is durable on return.

        Raises:
            OSError: The record was not added.
        """


class Ledger:
    """All changes of one journal; the coordinator owns it for its lifetime.

    Attributes:
        in_force: The committed generation; None until it is known.
        change: The change in progress; None if there is none.
        history: All changes, by ballot.
        decisions: The outcome of each ballot that this coordinator decided.
        highest_number: The highest generation number seen.
        last_change_at: The time at which the latest change began, in seconds.
        claimed_epoch: The number of the highest epoch claimed.
    """

    def __init__(self, journal: RecordLog, records: Iterable[Mapping[str, Any]]) -> None:
        """Replay the journal's records.

        Raises:
            ValueError, KeyError: A record is malformed.
        """
        self.journal = journal
        self.in_force: Generation | None = None
        self.change: Change | None = None
        self.history: dict[Ballot, Change] = {}
        self.decisions: dict[Ballot, ChangeOutcome] = {}
        self.highest_number = 0
        self.last_change_at = -math.inf
        self.claimed_epoch = 0
        for fields in records:
            self._replay(parse_record(fields))

    def _replay(self, record: Record | None) -> None:
        """Apply a record that an earlier process wrote."""
        if isinstance(record, EpochClaimed):
            self.claimed_epoch = max(self.claimed_epoch, record.number)
        elif isinstance(record, FoundInForce):
            self.observe_number(record.generation.number)
            self._advance_in_force(record.generation)
        elif isinstance(record, Proposed):
            self.observe_number(record.generation.number)
            self.history[record.generation.ballot] = record.interrupted_change()
        elif isinstance(record, Decided):
            self._replay_decision(record)

    def _replay_decision(self, record: Decided) -> None:
        self.decisions[record.ballot] = record.outcome
        change = self.history.get(record.ballot)
        if change is None:
            return
        record.apply_to(change)
        if record.outcome == ChangeOutcome.COMMITTED:
            self._advance_in_force(change.generation)

    def _advance_in_force(self, generation: Generation) -> None:
        """Put a generation in force unless a later one is in force."""
        if self.in_force is None or self.in_force.ballot < generation.ballot:
            self.in_force = generation

    def observe_number(self, number: int) -> None:
        """Take account of a number in use, so that later proposals get higher ones."""
        self.highest_number = max(self.highest_number, number)

    # Steps. If the journal's `append` raises, the step raises the same error and has no effect.

    def claim_epoch(self, number: int, control: str, now: float) -> Epoch:
        """Claim an epoch, and return it once it is durable."""
        self.journal.append(EpochClaimed(number, control).to_dict(), now)
        self.claimed_epoch = max(self.claimed_epoch, number)
        return Epoch(number, control)

    def set_in_force(self, generation: Generation, now: float) -> None:
        """Put in force the generation that participants report as in force."""
        self.journal.append(FoundInForce(generation).to_dict(), now)
        self.in_force = generation

    def begin(self, change: Change, now: float) -> Change:
        """Begin a change, which becomes the one in progress."""
        record = Proposed(change.generation, change.excluded, change.author, change.purpose)
        self.journal.append(record.to_dict(), now)
        self.highest_number = change.generation.number
        self.last_change_at = now
        self.change = change
        self.history[change.ballot] = change
        return change

    def decide(self, outcome: ChangeOutcome, reason: str, now: float) -> None:
        """Decide the change in progress; if it commits, its generation is in force."""
        change = self.change
        if change is None:
            return
        absent = tuple(sorted(change.confirmed_absent))
        prepared = tuple(change.prepared_names())
        record = Decided(change.ballot, outcome, reason, absent, prepared)
        self.journal.append(record.to_dict(), now)
        change.outcome = outcome
        change.decision_reason = reason
        self.decisions[change.ballot] = outcome
        self.change = None
        if outcome == ChangeOutcome.COMMITTED:
            self.in_force = change.generation
            self._mark_superseded(change.ballot)

    def _mark_superseded(self, committed: Ballot) -> None:
        """Mark earlier changes of unknown outcome as superseded, as they have no effect now."""
        for change in self.history.values():
            if change.outcome == ChangeOutcome.UNKNOWN and change.ballot < committed:
                change.outcome = ChangeOutcome.SUPERSEDED
                change.decision_reason = f"by generation {committed.number}"

    def abandon(self, reason: str) -> None:
        """Leave the change in progress to another coordinator; its outcome is unknown here."""
        if self.change:
            self.change.outcome = ChangeOutcome.UNKNOWN
            self.change.decision_reason = reason
            self.change = None

    # Queries.

    def require_in_force(self) -> Generation:
        """Return the generation in force, which a coordinator that leads knows.

        Raises:
            LookupError: The generation in force is not known yet.
        """
        if self.in_force is None:
            raise LookupError("in force: expected a known generation, found none yet")
        return self.in_force

    def next_generation(
        self, content: dict[str, Any], roster: tuple[str, ...], epoch: Epoch
    ) -> Generation:
        """Return a generation of these settings under the next unused number."""
        in_force_number = self.in_force.number if self.in_force else 0
        ballot = Ballot(max(self.highest_number, in_force_number) + 1, epoch)
        return Generation(ballot, canonical_settings.digest(content), content, roster)

    def change_in_force(self, digest: str, roster: Sequence[str], now: float) -> Change | None:
        """Return the change that put these settings in force for this roster, if any."""
        in_force = self.in_force
        if in_force is None or in_force.digest != digest or not in_force.number:
            return None
        if set(roster) != set(in_force.roster):
            return None
        known = self.history.get(in_force.ballot)
        return known or Change.already_in_force(in_force, now)
