"""The processes of a simulated fleet: participants, and the journals of coordinators.

A process may crash at any point. Durable state survives the crash; all other state is lost.
"""

import copy
from enum import StrEnum
from typing import Any, NamedTuple, Self

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
    """The point in its next write to the journal at which a control process crashes."""

    NONE = ""
    BEFORE_WRITE = "before"
    AFTER_WRITE = "after"


class CrashInWriteError(Exception):
    """A control process crashes in a write to its journal."""


class GenerationKey(NamedTuple):
    """The identity of a generation: its ballot, and the digest of its content."""

    ballot: ballots.Ballot
    digest: str


class SimulatedJournal:
    """The durable records of a control process.

    Attributes:
        records: The records written so far.
        crash_point: The point of the next write at which the process crashes.
    """

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []
        self.crash_point = CrashPoint.NONE

    def append(self, record: dict[str, Any], _now: float, /) -> None:
        """Add a record, unless the process crashes before the write."""
        if self.crash_point is CrashPoint.BEFORE_WRITE:
            raise CrashInWriteError
        self.records.append(record)
        if self.crash_point is CrashPoint.AFTER_WRITE:
            raise CrashInWriteError

    def copy(self) -> Self:
        """Return a copy of the journal with the same records."""
        journal = copy.copy(self)
        journal.records = list(self.records)
        return journal


class SimulatedParticipant:
    """A gateway: `state` is durable, whereas `status` is lost when its process ends."""

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
        """Start the process with its durable state."""
        self.is_running = True
        self.status = self._new_status()

    def poll_peer(self, peer: Self) -> None:
        """Merge the state of a peer, as a gateway does that starts or is in doubt."""
        query = messages.PeerQuery(peer.name).to_dict()
        report = messages.PeerState.from_dict(peer.handle(query))
        missing = participant.missing_ballots(self.state, report)
        fetched = [peer.generation_of(ballot) for ballot in missing]
        self.state = participant.merge_peer_state(self.state, report, fetched, accept)
        self.status.on_peer_answered(peer.name, self.status.stall_count)

    def generation_of(self, ballot: ballots.Ballot) -> ballots.Generation:
        """Return a generation that this gateway has in force or prepared."""
        generation = self.state.find_generation(ballot)
        assert generation is not None
        return generation

    def admits_under(self) -> set[GenerationKey] | None:
        """Return the generations that all allow what this gateway admits.

        A generation counts by ballot and content, because a ballot must not stand for two contents.

        Returns:
            The generations; None if the gateway admits nothing.
        """
        if not self.is_running or not self.status.knows_in_force:
            return None
        generations = (self.state.in_force, *self.state.prepared)
        return {GenerationKey(generation.ballot, generation.digest) for generation in generations}

    def key(self) -> tuple[object, ...]:
        """Return a key of the state, with responders only if what is in force is unknown."""
        knows_in_force = self.status.knows_in_force
        responders = () if knows_in_force else tuple(sorted(self.status.responders))
        return self.state, self.is_running, knows_in_force, responders

    def copy(self) -> Self:
        """Return a copy of the participant in the same state."""
        other = copy.copy(self)
        other.status = copy.copy(self.status)
        other.status.responders = set(self.status.responders)
        return other


def copy_coordinator(
    original: coordinator.Coordinator, journal: SimulatedJournal
) -> coordinator.Coordinator:
    """Return a copy of a coordinator in the same state that writes to another journal."""
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
    """Return a key of a coordinator's state, without the parts that have no further effect."""
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
        leadership.claim_count,
    )
