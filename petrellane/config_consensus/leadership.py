"""A coordinator's epoch: which participants promised it, and what they report as it takes over.

A coordinator seeks until a majority of every roster that matters has promised its epoch: that of
its configuration, that in force and each one that a participant reports. What these participants
report then includes whatever may have committed. A ballot that was prepared somewhere and may have
committed unseen is *in doubt*: it is neither committed nor aborted, but superseded by a later one.

This module holds the state of one epoch and the rules over reports; `coordinator` makes epochs
durable before they are used, and sends the messages.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from petrellane.config_consensus.ballots import Ballot, Epoch, Generation, majority
from petrellane.config_consensus.messages import PeerState

Roster = tuple[str, ...]
Reports = Mapping[str, PeerState]


class CoordinatorState(StrEnum):
    """What a coordinator does with its epoch; the values are those of the wire and the log."""

    SEEKING = "seeking"
    LEADING = "leading"
    DEPOSED = "deposed"


@dataclass(frozen=True, slots=True)
class MissingContent:
    """A generation in force whose content the coordinator has to read, and who has it."""

    ballot: Ballot
    holders: frozenset[str]


@dataclass
class Leadership:
    """The epoch of one coordinator, owned by it; a new epoch starts from no promise.

    Attributes:
        epoch: the epoch claimed last; of no effect before the first claim.
        claims: how often an epoch was claimed in this life; counted by the coordinator.
        state: seeking, leading, or deposed for good.
        reason: why it was deposed, in one line.
        promised_by: the participants that promised this epoch.
        missing_content: what has to be read before it can lead.
        in_doubt: ballots of earlier epochs that may have committed unseen.
    """

    epoch: Epoch
    claims: int = 0
    state: CoordinatorState = CoordinatorState.SEEKING
    reason: str = ""
    promised_by: set[str] = field(default_factory=set)
    missing_content: MissingContent | None = None
    in_doubt: set[Ballot] = field(default_factory=set)

    def claim(self, epoch: Epoch) -> None:
        """Start a new epoch, which the caller has made durable."""
        self.epoch = epoch
        self.promised_by = set()
        self.state = CoordinatorState.SEEKING

    def lead(self) -> None:
        """Lead from now on."""
        self.missing_content = None
        self.state = CoordinatorState.LEADING

    def depose(self, reason: str) -> None:
        """Stop for good: another coordinator has a higher epoch."""
        self.state = CoordinatorState.DEPOSED
        self.reason = reason

    def has_majorities(self, rosters: Iterable[Roster]) -> bool:
        """Whether a majority of each roster has promised this epoch."""
        return all(len(self.promised_by & set(roster)) >= majority(roster) for roster in rosters)

    def highest_in_force(self, reports: Reports) -> Ballot:
        """The latest ballot in force at a participant that promised this epoch."""
        return max(reports[name].in_force for name in self.promised_by)

    def seek_content(self, ballot: Ballot, reports: Reports) -> None:
        """Read the content of a ballot, from those that have it in force."""
        holders = (name for name in self.promised_by if reports[name].in_force == ballot)
        self.missing_content = MissingContent(ballot, frozenset(holders))

    def prepared_after(self, ballot: Ballot, reports: Reports) -> set[Ballot]:
        """Later ballots that participants that promised this epoch have prepared."""
        return {
            prepared
            for name in self.promised_by
            for prepared in reports[name].prepared
            if prepared > ballot
        }

    def may_have_committed(self, ballot: Ballot, roster: Roster, reports: Reports) -> bool:
        """Whether a ballot prepared somewhere may be in force where no report came from.

        Args:
            ballot: the ballot.
            roster: the roster in force, a majority of which had to prepare it.
            reports: what the participants reported.
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
    """The rosters of each of which a majority has to promise an epoch.

    Rosters that are one object count once; see `Notifications.on_report`.
    """
    by_identity = {id(configured): configured}
    if in_force:
        by_identity[id(in_force.roster)] = in_force.roster
    by_identity |= {id(report.roster): report.roster for report in reports.values()}
    return [roster for roster in by_identity.values() if roster]
