"""What each participant has reported, and what it still has to be notified of.

A participant is sent one message at a time, in this order of need: the committed generation that
it lacks, the abort of an orphaned ballot (one that it prepared and that belongs to no change under
way), the change to prepare, and otherwise a poll now and then. One that did not answer is asked
again after a pause; one that comes back late is notified then.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from petrellane.config_consensus.ballots import Ballot, Epoch, Generation
from petrellane.config_consensus.changes import Change
from petrellane.config_consensus.messages import (
    Abort,
    Commit,
    PeerState,
    Prepare,
    Promise,
    Request,
    RequestBody,
)

POLL_INTERVAL_S = 1.0  # about, between polls of a participant that is to be notified of nothing
RETRY_INTERVAL_S = 0.1  # until one that did not answer is asked again while a change is under way
MIN_PAUSE_S = 0.01  # shortest pause before looking anew for a message

NOBODY_LISTENS = "nobody listens there"


class NextMessage(NamedTuple):
    """The request that a participant is due.

    Attributes:
        request: the request; None where nothing is due yet.
        pause_s: seconds after which to look again at the latest; 0 where there is a request.
    """

    request: Request | None
    pause_s: float


class ParticipantDescription(NamedTuple):
    """Where a participant stands, as staff see it.

    Attributes:
        state: in a few words.
        number: that of the generation it reported in force; None before its first report.
    """

    state: str
    number: int | None


@dataclass
class Notifications:
    """Reports and due messages by participant; owned by the coordinator, for its life.

    Attributes:
        reports: the last report of each participant.
        unreachable: why a participant could not be reached last time, in a few words.
        retry_at: when one that failed is asked again at the earliest.
        last_sent_at: when each was sent a request last.
        needs_content: participants that lack the content of what is in force.
        last_sequence: sequence number of the last request.
        last_roster: the roster reported last.
    """

    reports: dict[str, PeerState] = field(default_factory=dict)
    unreachable: dict[str, str] = field(default_factory=dict)
    retry_at: dict[str, float] = field(default_factory=dict)
    last_sent_at: dict[str, float] = field(default_factory=dict)
    needs_content: set[str] = field(default_factory=set)
    last_sequence: int = 0
    last_roster: tuple[str, ...] = ()

    # What was sent and what came of it.

    def make_request(self, name: str, epoch: Epoch, body: RequestBody, now: float) -> Request:
        """The next request to a participant, counted as sent now."""
        self.last_sent_at[name] = now
        self.last_sequence += 1
        return Request(name, epoch, self.last_sequence, body)

    def on_answered(self, name: str) -> None:
        """A participant has answered, whatever it said."""
        self.retry_at.pop(name, None)
        self.unreachable.pop(name, None)

    def on_report(
        self, name: str, report: PeerState, known_rosters: Iterable[tuple[str, ...] | None]
    ) -> None:
        """A participant has reported its state.

        A roster that equals a known one, or the one reported last, is kept as that object: else
        as many equal rosters as there are participants would be gone through at each answer.
        """
        candidates = (*known_rosters, self.last_roster)
        equal = (known for known in candidates if known is not None and known == report.roster)
        self.last_roster = next(equal, report.roster)
        self.reports[name] = report._replace(roster=self.last_roster)
        self.needs_content.discard(name)

    def on_unreachable(self, name: str, reason: str, retry_at: float) -> None:
        """A participant could not be reached."""
        self.retry_at[name] = retry_at
        self.unreachable[name] = reason

    def on_content_missing(self, name: str) -> None:
        """A participant lacks the content of what is in force; it is sent at once."""
        self.needs_content.add(name)
        self.retry_at.pop(name)

    # What is due.

    def retry_pause(self, name: str, now: float) -> float:
        """Seconds until a participant may be asked again after a failure; 0 or less: now."""
        return self.retry_at.get(name, -math.inf) - now

    def poll_pause(self, name: str, now: float) -> float:
        """Seconds until a participant that is due nothing is polled, never quite 0."""
        elapsed = now - self.last_sent_at.get(name, -POLL_INTERVAL_S)
        return max(MIN_PAUSE_S, POLL_INTERVAL_S - elapsed)

    def is_poll_due(self, name: str, now: float) -> bool:
        """Whether a participant has been sent nothing for a poll interval."""
        return now - self.last_sent_at.get(name, -POLL_INTERVAL_S) >= POLL_INTERVAL_S

    def next_body(
        self, name: str, in_force: Generation, change: Change | None, in_doubt: set[Ballot]
    ) -> RequestBody | None:
        """What a participant has to be notified of or asked for; None: nothing but polls.

        Args:
            name: the participant.
            in_force: the committed generation.
            change: the change under way.
            in_doubt: ballots that must not be aborted.
        """
        if name in self.needs_content:
            return Commit(in_force, with_content=True)
        report = self.reports.get(name)
        if report and report.in_force < in_force.ballot:
            return Commit(in_force, with_content=in_force.ballot not in report.prepared)
        if report:
            orphaned = _first_orphaned(report, in_force, change, in_doubt)
            if orphaned:
                return Abort(orphaned)
        if change and change.awaits(name):
            return Prepare(change.base, change.generation)
        return None

    def next_poll(self, name: str, now: float) -> RequestBody | None:
        """A poll where one is due."""
        return Promise() if self.is_poll_due(name, now) else None

    def describe(self, name: str, in_force: Generation | None) -> ParticipantDescription:
        """Where a participant stands."""
        report = self.reports.get(name)
        number = report.in_force.number if report else None
        if name in self.unreachable:
            return ParticipantDescription(self.unreachable[name], number)
        if report is None:
            return ParticipantDescription("not heard yet", number)
        return ParticipantDescription(_describe_report(report, in_force), number)


def _first_orphaned(
    report: PeerState, in_force: Generation, change: Change | None, in_doubt: set[Ballot]
) -> Ballot | None:
    """The first prepared ballot of a report that will never commit."""
    for ballot in report.prepared:
        is_open = ballot in in_doubt or (change is not None and ballot == change.ballot)
        if not is_open and ballot > in_force.ballot:
            return ballot
    return None


def _describe_report(report: PeerState, in_force: Generation | None) -> str:
    if in_force is None or report.in_force != in_force.ballot:
        return "behind"
    if report.digest != in_force.digest:
        return "another content under this number"
    return "in doubt" if report.prepared else "in force"
