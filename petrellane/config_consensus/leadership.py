"""The epoch of a coordinator: the promises for it and the participants' reports.

A coordinator seeks until a majority of every relevant roster has promised its epoch: the configured
roster, the roster in force and each roster that a participant reports. The reports of these
participants then include every generation that may have committed. A ballot is *in doubt* if a
participant has prepared it and it may have committed although no report shows it. The coordinator
neither commits nor aborts such a ballot, but supersedes it by a later one.

This module holds the state of one epoch and the rules over reports. `coordinator` makes each epoch
durable before it uses it, and sends the messages.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from petrellane.config_consensus.ballots import Ballot, Epoch, Generation, majority
from petrellane.config_consensus.messages import PeerState

Roster = tuple[str, ...]
Reports = Mapping[str, PeerState]


class CoordinatorState(StrEnum):
    """The state of a coordinator's epoch; the values appear on the wire and in the log."""

    SEEKING = "seeking"
    LEADING = "leading"
    DEPOSED = "deposed"


@dataclass(frozen=True, slots=True)
class MissingContent:
    """A generation in force whose content the coordinator has to read.

    Attributes:
        ballot: The ballot of the generation.
        holders: The names of the participants that have it in force.
    """

    ballot: Ballot
    holders: frozenset[str]


@dataclass
class Leadership:
    """The epoch of one coordinator, which owns this object; a new epoch starts without promises.

    Attributes:
        epoch: The epoch that was claimed most recently; it has no meaning before the first claim.
        claim_count: The number of claims by this process, including failed ones; the coordinator
            increments it.
        state: The state; DEPOSED is final.
        reason: The reason why the coordinator was deposed, in one line.
        promised_by: The participants that promised this epoch.
        missing_content: The content that has to be read before the coordinator can lead.
        in_doubt: The ballots of earlier epochs that may have committed although no report shows it.
    """

    epoch: Epoch
    claim_count: int = 0
    state: CoordinatorState = CoordinatorState.SEEKING
    reason: str = ""
    promised_by: set[str] = field(default_factory=set)
    missing_content: MissingContent | None = None
    in_doubt: set[Ballot] = field(default_factory=set)

    def start_epoch(self, epoch: Epoch) -> None:
        """Start a new epoch, which the caller has already made durable."""
        self.epoch = epoch
        self.promised_by = set()
        self.state = CoordinatorState.SEEKING

    def become_leader(self) -> None:
        """Change the state to LEADING."""
        self.missing_content = None
        self.state = CoordinatorState.LEADING

    def step_down(self, reason: str) -> None:
        """Change the state to DEPOSED, because another coordinator has a higher epoch."""
        self.state = CoordinatorState.DEPOSED
        self.reason = reason

    def has_majorities(self, rosters: Iterable[Roster]) -> bool:
        """Return whether a majority of each roster has promised this epoch."""
        return all(len(self.promised_by & set(roster)) >= majority(roster) for roster in rosters)

    def highest_in_force(self, reports: Reports) -> Ballot:
        """Return the highest ballot in force at a participant that promised this epoch."""
        return max(reports[name].in_force for name in self.promised_by)

    def seek_content(self, ballot: Ballot, reports: Reports) -> None:
        """Mark a content as missing, to be read from the participants that have it in force."""
        holders = (name for name in self.promised_by if reports[name].in_force == ballot)
        self.missing_content = MissingContent(ballot, frozenset(holders))

    def prepared_ballots_after(self, ballot: Ballot, reports: Reports) -> set[Ballot]:
        """Return the later ballots that are prepared at participants that promised this epoch."""
        return {
            prepared
            for name in self.promised_by
            for prepared in reports[name].prepared
            if prepared > ballot
        }

    def may_have_committed(self, ballot: Ballot, roster: Roster, reports: Reports) -> bool:
        """Return whether a prepared ballot may have committed although no report shows it.

        Args:
            ballot: A ballot that a participant has prepared.
            roster: The roster in force; a majority of it has to prepare the ballot.
            reports: The reports of the participants.

        Returns:
            False if a participant reports the ballot as aborted, or if too many participants have
            not prepared it for a majority of the roster.
        """
        if any(ballot in reports[name].aborted for name in self.promised_by):
            return False
        never_prepared = [
            name
            for name in roster
            if name in self.promised_by and ballot not in reports[name].prepared
        ]
        return len(never_prepared) <= len(roster) - majority(roster)


def quorum_rosters(
    configured: Roster, in_force: Generation | None, reports: Reports
) -> list[Roster]:
    """Return the rosters; a majority of each of them has to promise an epoch.

    The function compares rosters by identity, because `Notifications.on_report` keeps equal rosters
    as one object. It leaves out empty rosters.
    """
    by_identity = {id(configured): configured}
    if in_force:
        by_identity[id(in_force.roster)] = in_force.roster
    by_identity |= {id(report.roster): report.roster for report in reports.values()}
    return [roster for roster in by_identity.values() if roster]
