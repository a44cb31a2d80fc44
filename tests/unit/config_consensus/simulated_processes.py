"""The processes of a simulated fleet: participants with their memory, and journals of coordinators.

A process may crash at any point. What it had made durable outlives the crash, the rest is lost.
"""

import copy
from enum import StrEnum
from typing import Any, Self

from petrellane.config_consensus import (
    ballots,
    canonical_settings,
    coordinator,
    errors,
    messages,
    participant,
)
from tests.unit.config_consensus.settings_examples import OLD_SETTINGS, accept


class CrashPoint(StrEnum):
    """Where in its next write to the journal a control process crashes."""

    NONE = ""
    BEFORE_WRITE = "before"
    AFTER_WRITE = "after"


class CrashInWriteError(Exception):
    """The control process crashed in a write to its journal."""


class SimulatedJournal:
    """The durable records of a control process.

    Attributes:
        records: What was written.
        crash_point: Where the process crashes in its next write.
    """

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []
        self.crash_point = CrashPoint.NONE

    def append(self, record: dict[str, Any], _now: float, /) -> None:
        """Add a record, unless the process crashes before."""
        if self.crash_point is CrashPoint.BEFORE_WRITE:
            raise CrashInWriteError
        self.records.append(record)
        if self.crash_point is CrashPoint.AFTER_WRITE:
            raise CrashInWriteError

    def copy(self) -> Self:
        """Return another journal with the same records."""
        journal = copy.copy(self)
        journal.records = list(self.records)
        return journal


class SimulatedParticipant:
    """A gateway: `state` is durable, while `status` and `is_running` end with its process."""

    def __init__(self, name: str, roster: tuple[str, ...]) -> None:
        self.name = name
        self.roster = roster
        self.is_running = True
        initial = ballots.Generation(
            participant.INITIAL_BALLOT,
            canonical_settings.digest(OLD_SETTINGS),
            OLD_SETTINGS,
            roster,
        )
        self.state = participant.ParticipantState(initial)
        self.status = self._new_status()
        self.status.knows_in_force = True

    def _new_status(self) -> participant.ParticipantStatus:
        return participant.ParticipantStatus(self.name, self.roster, True, 0.0)

    def handle(self, message: messages.JsonObject) -> messages.JsonObject:
        """Handle a request and return the answer, both as JSON."""
        try:
            self.state, answer = participant.handle_message(self.state, message, accept)
        except errors.MessageRejected as rejection:
            return rejection.to_dict()
        return answer.to_dict()

    def crash(self) -> None:
        """End the process."""
        self.is_running = False
        self.status.knows_in_force = False

    def start(self) -> None:
        """Start the process anew, with what was durable."""
        self.is_running = True
        self.status = self._new_status()

    def poll_peer(self, peer: Self) -> None:
        """Take what a peer reports, as a gateway does that starts or is in doubt."""
        question = messages.PeerQuery(peer.name).to_dict()
        report = messages.PeerState.from_dict(peer.handle(question))
        missing = participant.missing_ballots(self.state, report)
        fetched = [peer.generation_of(ballot) for ballot in missing]
        self.state = participant.merge_peer_state(self.state, report, fetched, accept)
        self.status.on_peer_answered(peer.name, self.status.stall_count)

    def generation_of(self, ballot: ballots.Ballot) -> ballots.Generation:
        """Return a generation that is in force or prepared here."""
        generation = self.state.find_generation(ballot)
        assert generation is not None
        return generation

    def admits_under(self) -> set[ballots.Ballot] | None:
        """Return the ballots that all allow what is admitted here; None: nothing is admitted."""
        if not self.is_running or not self.status.knows_in_force:
            return None
        return {generation.ballot for generation in (self.state.in_force, *self.state.prepared)}

    def key(self) -> tuple[object, ...]:
        """Return what tells this state from others; who answered is of no use once it knows."""
        knows_in_force = self.status.knows_in_force
        responders = () if knows_in_force else tuple(sorted(self.status.responders))
        return self.state, self.is_running, knows_in_force, responders

    def copy(self) -> Self:
        """Return another participant in the same state."""
        other = copy.copy(self)
        other.status = copy.copy(self.status)
        other.status.responders = set(self.status.responders)
        return other


def copy_coordinator(
    original: coordinator.Coordinator, journal: SimulatedJournal
) -> coordinator.Coordinator:
    """Return another coordinator in the same state that writes to this journal."""
    other = copy.copy(original)
    other.notifications = copy.copy(original.notifications)
    for field in ("reports", "last_sent_at", "unreachable", "retry_at", "needs_content"):
        setattr(other.notifications, field, copy.copy(getattr(original.notifications, field)))
    other.leadership = copy.copy(original.leadership)
    other.leadership.promised_by = set(original.leadership.promised_by)
    other.leadership.in_doubt = set(original.leadership.in_doubt)
    other.ledger = copy.copy(original.ledger)
    other.ledger.journal = journal
    other.ledger.decisions = dict(original.ledger.decisions)
    other.ledger.history = {
        ballot: copy.copy(change) for ballot, change in original.history.items()
    }
    for change in other.ledger.history.values():
        change.votes = dict(change.votes)
        change.confirmed_absent = set(change.confirmed_absent)
    if original.change:
        other.ledger.change = other.ledger.history[original.change.ballot]
    return other


def coordinator_key(process: coordinator.Coordinator) -> tuple[object, ...]:
    """Return what tells the state of a coordinator from others, but for what has no effect."""
    leadership = process.leadership
    notifications = process.notifications
    change = process.change
    return (
        process.state,
        process.epoch,
        process.in_force and process.in_force.ballot,
        change and (change.ballot, sorted(change.votes.items()), sorted(change.confirmed_absent)),
        sorted(notifications.reports.items()),
        sorted(leadership.promised_by),
        sorted(notifications.needs_content),
        sorted(leadership.in_doubt),
        leadership.missing_content and leadership.missing_content.ballot,
        leadership.claims,
    )
