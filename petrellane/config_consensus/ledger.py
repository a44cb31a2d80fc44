"""A coordinator's ledger: the changes that were proposed and decided, and what is in force.

Each step is recorded in the journal before it takes effect here, so a process that ends at any
point finds on replay whatever it may have notified anybody of. Whether a change may begin, and
how it is decided, is up to `coordinator` and `changes`.
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
    """Where records become durable."""

    def append(self, record: dict[str, Any], at: float, /) -> None:
        """Add a record; it is durable on return.

        Raises:
            OSError: nothing was added.
        """


class Ledger:
    """All changes of one journal; owned by the coordinator, for its life.

    Attributes:
        in_force: the committed generation, None until it is known.
        change: the change under way.
        history: all changes by ballot.
        decisions: the outcome of each ballot that was decided here.
        highest_number: the highest number of a generation seen.
        last_change_at: when a change began last, in seconds.
        claimed_epoch: the number of the highest epoch claimed.
    """

    def __init__(self, journal: RecordLog, records: Iterable[Mapping[str, Any]]) -> None:
        """Replay the journal's records. Raises ValueError or KeyError where one is malformed."""
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
        """Take up a record of an earlier process."""
        if isinstance(record, EpochClaimed):
            self.claimed_epoch = max(self.claimed_epoch, record.number)
        elif isinstance(record, FoundInForce):
            self.note_number(record.generation.number)
            self._advance(record.generation)
        elif isinstance(record, Proposed):
            self.note_number(record.generation.number)
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
            self._advance(change.generation)

    def _advance(self, generation: Generation) -> None:
        """Put a generation in force unless a later one is."""
        if self.in_force is None or self.in_force.ballot < generation.ballot:
            self.in_force = generation

    def note_number(self, number: int) -> None:
        """A number is in use somewhere; later proposals take higher ones."""
        self.highest_number = max(self.highest_number, number)

    # Steps; each raises what the journal's `append` raises, and was not taken then.

    def claim_epoch(self, number: int, control: str, now: float) -> Epoch:
        """Claim an epoch."""
        self.journal.append(EpochClaimed(number, control).to_dict(), now)
        self.claimed_epoch = max(self.claimed_epoch, number)
        return Epoch(number, control)

    def set_in_force(self, generation: Generation, now: float) -> None:
        """Take what participants report in force."""
        self.journal.append(FoundInForce(generation).to_dict(), now)
        self.in_force = generation

    def begin(self, change: Change, now: float) -> Change:
        """Begin a change; it is under way from then on."""
        record = Proposed(change.generation, change.excluded, change.author, change.purpose)
        self.journal.append(record.to_dict(), now)
        self.highest_number = change.generation.number
        self.last_change_at = now
        self.change = change
        self.history[change.ballot] = change
        return change

    def decide(self, outcome: ChangeOutcome, reason: str, now: float) -> None:
        """Decide the change under way; one that commits is in force from then on."""
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
        """Earlier changes whose outcome nobody knows have no effect any more."""
        for change in self.history.values():
            if change.outcome == ChangeOutcome.UNKNOWN and change.ballot < committed:
                change.outcome = ChangeOutcome.SUPERSEDED
                change.decision_reason = f"by generation {committed.number}"

    def abandon(self, reason: str) -> None:
        """Leave the change under way to another coordinator; its outcome is unknown here."""
        if self.change:
            self.change.outcome = ChangeOutcome.UNKNOWN
            self.change.decision_reason = reason
            self.change = None

    # Questions.

    def require_in_force(self) -> Generation:
        """What is in force, for a coordinator that leads and so knows it.

        Raises:
            LookupError: it is not known yet.
        """
        if self.in_force is None:
            raise LookupError("in force: not known yet")
        return self.in_force

    def next_generation(
        self, content: dict[str, Any], roster: tuple[str, ...], epoch: Epoch
    ) -> Generation:
        """Settings under the next free number."""
        in_force_number = self.in_force.number if self.in_force else 0
        ballot = Ballot(max(self.highest_number, in_force_number) + 1, epoch)
        return Generation(ballot, canonical_settings.digest(content), content, roster)

    def change_in_force(self, digest: str, roster: Sequence[str], now: float) -> Change | None:
        """The change that brought these settings in force for this roster, None for others."""
        in_force = self.in_force
        if in_force is None or in_force.digest != digest or not in_force.number:
            return None
        if set(roster) != set(in_force.roster):
            return None
        known = self.history.get(in_force.ballot)
        return known or Change.already_in_force(in_force, now)
