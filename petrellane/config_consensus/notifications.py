"""The reports of participants, and the messages that are still due to each of them.

The coordinator sends a participant one message at a time. In order of priority, the message is:

1. the commit of the generation in force, if the participant lacks it;
2. the abort of an orphaned ballot, which the participant has prepared but which is neither that
   of the change in progress nor in doubt;
3. the prepare request of the change in progress;
4. a poll, once per poll interval.

After a failure, the coordinator asks the participant again after a pause. A participant that was
down therefore receives its messages when it returns.
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

POLL_INTERVAL_S = 1.0  # approximate time between polls of a participant without due messages
RETRY_INTERVAL_S = 0.1  # time between attempts while seeking or during a change
MIN_PAUSE_S = 0.01  # shortest pause before the next check for a due message

CONNECTION_REFUSED_REASON = "nobody listens there"


class NextMessage(NamedTuple):
    """The request that is due to a participant, or the pause until the next check.

    Attributes:
        request: The request; None if none is due yet.
        pause_s: The seconds until the next check at the latest; 0 if there is a request.
    """

    request: Request | None
    pause_s: float


class ParticipantDescription(NamedTuple):
    """The description of a participant's state; its field names are keys of the answer to staff.

    Attributes:
        state: The state in a few words.
        number: The number of the generation that the participant reported as in force; None before
            its first report.
    """

    state: str
    number: int | None


@dataclass
class Notifications:
    """The reports and due messages of all participants; the coordinator owns it.

    Attributes:
        reports: The last report of each participant.
        unreachable: The reason, in a few words, why each unreachable participant could not be
            reached at the last attempt.
        retry_at: The earliest time to ask a participant again after a failure, in seconds.
        last_sent_at: The time of the last request to each participant, in seconds.
        needs_content: The participants that lack the content of the generation in force.
        last_sequence: The sequence number of the last request.
        last_roster: The roster that was reported last.
    """

    reports: dict[str, PeerState] = field(default_factory=dict)
    unreachable: dict[str, str] = field(default_factory=dict)
    retry_at: dict[str, float] = field(default_factory=dict)
    last_sent_at: dict[str, float] = field(default_factory=dict)
    needs_content: set[str] = field(default_factory=set)
    last_sequence: int = 0
    last_roster: tuple[str, ...] = ()

    # Requests and their results.

    def make_request(self, name: str, epoch: Epoch, body: RequestBody, now: float) -> Request:
        """Return the next request to a participant, counted as sent now."""
        self.last_sent_at[name] = now
        self.last_sequence += 1
        return Request(name, epoch, self.last_sequence, body)

    def on_answered(self, name: str) -> None:
        """Clear the failure of a participant that has answered, whatever the answer."""
        self.retry_at.pop(name, None)
        self.unreachable.pop(name, None)

    def on_report(
        self, name: str, report: PeerState, known_rosters: Iterable[tuple[str, ...] | None]
    ) -> None:
        """Handle a participant's report of its state.

        A roster that equals a known one, or the one reported last, is replaced by that object.
        Otherwise there would be as many equal rosters as participants, and the coordinator would
        iterate over all of them at each answer.

        Args:
            name: The participant.
            report: The report.
            known_rosters: The rosters that the coordinator uses; None for one that is not known.
        """
        candidates = (*known_rosters, self.last_roster)
        equal = (known for known in candidates if known is not None and known == report.roster)
        self.last_roster = next(equal, report.roster)
        self.reports[name] = report._replace(roster=self.last_roster)
        self.needs_content.discard(name)

    def on_unreachable(self, name: str, reason: str, retry_at: float) -> None:
        """Handle a failed attempt to reach a participant."""
        self.retry_at[name] = retry_at
        self.unreachable[name] = reason

    def on_content_missing(self, name: str) -> None:
        """Schedule a commit message for a participant that lacks the content in force.

        The message contains the content; the coordinator sends it without a retry pause.
        """
        self.needs_content.add(name)
        self.retry_at.pop(name)

    # Due messages.

    def retry_pause_s(self, name: str, now: float) -> float:
        """Return the seconds until a participant may be asked again; 0 or less means now."""
        return self.retry_at.get(name, -math.inf) - now

    def poll_pause_s(self, name: str, now: float) -> float:
        """Return the seconds until a participant without due messages is polled, above 0."""
        elapsed = now - self.last_sent_at.get(name, -POLL_INTERVAL_S)
        return max(MIN_PAUSE_S, POLL_INTERVAL_S - elapsed)

    def is_poll_due(self, name: str, now: float) -> bool:
        """Return whether the coordinator has sent a participant no request for a poll interval."""
        return now - self.last_sent_at.get(name, -POLL_INTERVAL_S) >= POLL_INTERVAL_S

    def next_body(
        self, name: str, in_force: Generation, change: Change | None, in_doubt: set[Ballot]
    ) -> RequestBody | None:
        """Return the body of the message due to a participant, apart from polls.

        Args:
            name: The participant.
            in_force: The committed generation.
            change: The change in progress.
            in_doubt: The ballots that must not be aborted.

        Returns:
            The body, or None if nothing but a poll can be due.
        """
        if name in self.needs_content:
            return Commit(in_force, with_content=True)
        report = self.reports.get(name)
        if report and report.in_force < in_force.ballot:
            return Commit(in_force, with_content=in_force.ballot not in report.prepared)
        if report:
            orphaned = _first_orphaned_ballot(report, in_force, change, in_doubt)
            if orphaned:
                return Abort(orphaned)
        if change and change.needs_prepare(name):
            return Prepare(change.base, change.generation)
        return None

    def next_poll(self, name: str, now: float) -> RequestBody | None:
        """Return the body of a poll if one is due, else None."""
        return Promise() if self.is_poll_due(name, now) else None

    def describe(self, name: str, in_force: Generation | None) -> ParticipantDescription:
        """Return the description of a participant's state."""
        report = self.reports.get(name)
        number = report.in_force.number if report else None
        if name in self.unreachable:
            return ParticipantDescription(self.unreachable[name], number)
        if report is None:
            return ParticipantDescription("not heard yet", number)
        return ParticipantDescription(_describe_report(report, in_force), number)


def _first_orphaned_ballot(
    report: PeerState, in_force: Generation, change: Change | None, in_doubt: set[Ballot]
) -> Ballot | None:
    """Return the first prepared ballot of a report that will never commit, if any."""
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
