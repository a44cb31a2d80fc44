"""The I/O-free rules of a coordinator, which makes all participants agree on one generation.

A coordinator is in one of three states:

    seeking    It asks all participants to promise its epoch. Once a majority of every relevant
               roster has promised, their reports show what is in force. If a later ballot may have
               committed although no report shows it, the coordinator supersedes that ballot: it
               proposes the settings in force again, under a higher number.
    leading    It handles one change at a time:
      propose  It records a generation in the journal, under the highest number seen + 1.
      prepare  It asks all participants of the previous and the new roster to prepare the
               generation, except those that the proposer excluded.
      decide   It derives the decision from the votes (`changes`), and records the decision in the
               journal before it notifies any participant.
      notify   It notifies all participants until each has the outcome (`notifications`), and aborts
               orphaned ballots.
    deposed    Another coordinator has a higher epoch. This coordinator sends no further requests.

The coordinator sends a commit only after every participant that serves has prepared. From then on,
no participant admits under the previous generation alone. The coordinator sends an abort only for a
ballot that will never commit.

`next_message` returns the request that is due to a participant. `handle_answer`,
`handle_connection_refused` and `handle_no_answer` process its result. If the journal's `append`
raises OSError, the step has not been taken. `leadership` contains the rules of epochs, `changes`
those of votes, and `notifications` decides which message is due.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from petrellane.config_consensus import canonical_settings
from petrellane.config_consensus.ballots import NO_EPOCH, Ballot, Epoch, Generation, majority
from petrellane.config_consensus.changes import Change, ChangeOutcome, rejection_reason
from petrellane.config_consensus.errors import ProposalRejected
from petrellane.config_consensus.leadership import (
    CoordinatorState,
    Leadership,
    quorum_rosters,
)
from petrellane.config_consensus.ledger import Ledger, RecordLog
from petrellane.config_consensus.messages import (
    Answer,
    MalformedAnswer,
    MessageKind,
    PeerState,
    Promise,
    ReadContent,
    Rejection,
    Request,
    RequestBody,
)
from petrellane.config_consensus.notifications import (
    CONNECTION_REFUSED_REASON,
    POLL_INTERVAL_S,
    RETRY_INTERVAL_S,
    NextMessage,
    Notifications,
    ParticipantDescription,
)

__all__ = ["ChangeOutcome", "Coordinator", "CoordinatorState"]

# While seeking; without a limit, two coordinators could supersede each other's epochs forever.
MAX_EPOCH_CLAIMS = 5

SUPERSEDING_AUTHOR = "the control process"


class Coordinator:
    """Brings all participants to agree on one generation; owned by its control process.

    Attributes:
        name: The identity of the control process in its epochs.
        roster: The names of the configured participants.
        ledger: The changes and the generation in force.
        leadership: The epoch and the promises for it.
        notifications: The reports of the participants and the messages that are due to them.
    """

    def __init__(
        self,
        name: str,
        roster: Sequence[str],
        journal: RecordLog,
        now: float,
        records: Iterable[Mapping[str, Any]] = (),
    ) -> None:
        """Replay the journal's records and claim the next epoch.

        Args:
            name: The identity of the process, which no other one has: see `ballots.claimant`.
            roster: The names of the configured participants.
            journal: The journal to write to.
            now: The time, in seconds.
            records: The records that the journal contains.

        Raises:
            ValueError, KeyError: A record is malformed.
            OSError: The journal could not be written.
        """
        self.name = name
        self.roster = tuple(roster)
        self.ledger = Ledger(journal, records)
        self.leadership = Leadership(NO_EPOCH)
        self.notifications = Notifications()
        self.claim_epoch(self.ledger.claimed_epoch + 1, now)

    # State that other modules read.

    @property
    def state(self) -> CoordinatorState:
        """The state: seeking, leading or deposed."""
        return self.leadership.state

    @property
    def reason(self) -> str:
        """The reason why the coordinator was deposed, in one line; empty until then."""
        return self.leadership.reason

    @property
    def epoch(self) -> Epoch:
        """The epoch that was claimed most recently."""
        return self.leadership.epoch

    @property
    def in_force(self) -> Generation | None:
        """The generation in force; None until it is known."""
        return self.ledger.in_force

    @property
    def change(self) -> Change | None:
        """The change in progress, if any."""
        return self.ledger.change

    @property
    def history(self) -> Mapping[Ballot, Change]:
        """All changes, by ballot."""
        return self.ledger.history

    @property
    def in_doubt(self) -> set[Ballot]:
        """The ballots of earlier epochs that may have committed although no report shows it."""
        return self.leadership.in_doubt

    @property
    def participant_states(self) -> Mapping[str, PeerState]:
        """The last report of each participant."""
        return self.notifications.reports

    def describe_participant(self, name: str) -> ParticipantDescription:
        """Return the description of a participant's state, for staff."""
        return self.notifications.describe(name, self.in_force)

    def all_participants(self) -> tuple[str, ...]:
        """Return the participants of the configured roster and of the roster in force."""
        in_force = self.in_force.roster if self.in_force else ()
        return tuple(dict.fromkeys((*self.roster, *in_force)))

    def claim_epoch(self, number: int, now: float) -> None:
        """Claim a new epoch, which all participants are asked to promise."""
        self.leadership.claim_count += 1  # a claim counts even if the journal write fails
        self.leadership.start_epoch(self.ledger.claim_epoch(number, self.name, now))

    # Requests.

    def next_message(self, name: str, now: float) -> NextMessage:
        """Return the request that is due to a participant now, or the time until the next check."""
        pause = self.notifications.retry_pause_s(name, now)
        if pause > 0:
            return NextMessage(None, pause)
        message = self.build_message(name, now)
        if message is not None:
            return NextMessage(message, 0.0)
        return NextMessage(None, self.notifications.poll_pause_s(name, now))

    def build_message(self, name: str, now: float) -> Request | None:
        """Return the request that is due to a participant, ignoring pauses after failures.

        Returns:
            The request, counted as sent; None if no request is due.
        """
        body = self.pending_message(name, now)
        if body is None:
            return None
        return self.notifications.make_request(name, self.epoch, body, now)

    def pending_message(self, name: str, now: float) -> RequestBody | None:
        """Return the body of the request due to a participant, without counting it as sent."""
        if self.state == CoordinatorState.DEPOSED:
            return None
        if self.state == CoordinatorState.SEEKING:
            missing = self.leadership.missing_content
            if missing and name in missing.holders:
                return ReadContent(missing.ballot)
            if name not in self.leadership.promised_by:
                return Promise()
            return self.notifications.next_poll(name, now)
        in_force = self.ledger.require_in_force()
        body = self.notifications.next_body(name, in_force, self.change, self.in_doubt)
        return body or self.notifications.next_poll(name, now)

    # Results of requests.

    def handle_answer(self, name: str, message: Request, answer: Answer, now: float) -> None:
        """Handle a participant's answer to a request."""
        self.notifications.on_answered(name)
        if self.state == CoordinatorState.DEPOSED:
            return
        if message.kind is MessageKind.CONTENT:
            self._handle_content(name, answer, now)
        elif isinstance(answer, Rejection):
            self._handle_rejection(name, message, answer, now)
        elif isinstance(answer, PeerState):
            self._handle_report(name, message, answer, now)
        elif isinstance(answer, MalformedAnswer):
            reason = f"answers out of form: {answer.reason}"
            self.handle_no_answer(name, message, now, reason)

    def _handle_content(self, name: str, answer: Answer, now: float) -> None:
        """Handle the content in force, which may be generation 0 from a gateway's own file."""
        leadership = self.leadership
        if not isinstance(answer, Generation):  # e.g. it has a later generation in force
            leadership.missing_content = None
            leadership.promised_by.discard(name)
            return
        missing = leadership.missing_content
        if self.state == CoordinatorState.SEEKING and missing and answer.ballot == missing.ballot:
            self.ledger.set_in_force(answer, now)
            leadership.missing_content = None
            self.try_to_lead(now)

    def _handle_report(self, name: str, message: Request, report: PeerState, now: float) -> None:
        """Handle a participant's reported state, and its vote if the request asked for one."""
        self._record_report(name, report)
        if self.state == CoordinatorState.SEEKING:
            self.try_to_lead(now)
            return
        if report.in_force > self.ledger.require_in_force().ballot:
            self._resume_seeking(name, report, now)
            return
        change = self.change
        if change and change.is_excluded_but_alive(name, message.sequence):
            self.abort_change(f"{name} was counted out, and answers", now)
            return
        if change and change.confirms_prepare(message, report):
            change.record_prepared(name, self.notifications.last_sequence)
        self.try_to_decide(now)

    def _resume_seeking(self, name: str, report: PeerState, now: float) -> None:
        """Seek again after a participant reported a later generation than the one known here."""
        if self.change:
            self.abort_change(f"generation {report.in_force.number} is in force at {name}", now)
        self.leadership.state = CoordinatorState.SEEKING
        self.try_to_lead(now)

    def _record_report(self, name: str, report: PeerState) -> None:
        in_force_roster = self.in_force.roster if self.in_force else None
        self.notifications.on_report(name, report, (self.roster, in_force_roster))
        self.ledger.observe_number(report.in_force.number)
        for ballot in report.prepared:
            self.ledger.observe_number(ballot.number)
        self.leadership.promised_by.add(name)

    def _handle_rejection(
        self, name: str, message: Request, rejection: Rejection, now: float
    ) -> None:
        if rejection.is_stale_epoch:
            self._handle_higher_epoch(name, rejection, now)
            return
        notifications = self.notifications
        notifications.retry_at[name] = now + (RETRY_INTERVAL_S if self.change else POLL_INTERVAL_S)
        if rejection.is_missing_generation:
            notifications.on_content_missing(name)
        elif self.change and message.kind is MessageKind.PREPARE:
            self.abort_change(rejection_reason(name, rejection.reason), now)

    def _handle_higher_epoch(self, name: str, rejection: Rejection, now: float) -> None:
        """Claim a higher epoch while seeking, or step down.

        The coordinator steps down if it leads or has used up its claims.
        """
        promised = rejection.promised
        if promised is None or promised <= self.epoch:
            return  # malformed, or an answer to a request of an earlier epoch of this coordinator
        if (
            self.state == CoordinatorState.SEEKING
            and self.leadership.claim_count < MAX_EPOCH_CLAIMS
        ):
            self.claim_epoch(promised.number + 1, now)
        else:
            reason = f"{name} follows another control process: {rejection.reason}"
            self.leadership.step_down(reason)
            self.ledger.abandon(reason)

    def handle_connection_refused(self, name: str, message: Request, now: float) -> None:
        """Handle a request for which each of the participant's addresses refused the connection."""
        self.notifications.on_unreachable(
            name, CONNECTION_REFUSED_REASON, now + self._retry_interval_s()
        )
        if self.change:
            self.change.record_absent(name, message.sequence)
        self.try_to_decide(now)

    def handle_no_answer(
        self, name: str, _message: Request, now: float, reason: str = "no answer"
    ) -> None:
        """Handle a request without a valid answer; it may have reached the participant."""
        self.notifications.on_unreachable(name, reason, now + self._retry_interval_s())
        if self.change:
            self.change.retract_absence(name)
        self.try_to_decide(now)

    def _retry_interval_s(self) -> float:
        is_urgent = self.change is not None or self.state == CoordinatorState.SEEKING
        return RETRY_INTERVAL_S if is_urgent else POLL_INTERVAL_S

    # Becoming the leader.

    def try_to_lead(self, now: float) -> None:
        """Start to lead if the majorities have promised and the content in force is known."""
        leadership = self.leadership
        reports = self.notifications.reports
        if not leadership.has_majorities(quorum_rosters(self.roster, self.in_force, reports)):
            return
        highest = leadership.highest_in_force(reports)
        if self.in_force is None or self.in_force.ballot < highest:
            leadership.seek_content(highest, reports)
            return
        leadership.become_leader()
        prepared = leadership.prepared_ballots_after(self.in_force.ballot, reports)
        leadership.in_doubt = {ballot for ballot in prepared if self.is_in_doubt(ballot)}
        self._supersede_in_doubt(now)

    def is_in_doubt(self, ballot: Ballot) -> bool:
        """Return whether a prepared ballot may have committed although no report shows it."""
        if self.ledger.decisions.get(ballot) in (ChangeOutcome.ABORTED, ChangeOutcome.SUPERSEDED):
            return False
        roster = self.ledger.require_in_force().roster
        return self.leadership.may_have_committed(ballot, roster, self.notifications.reports)

    def _supersede_in_doubt(self, now: float) -> None:
        """Propose the settings in force again if ballots in doubt remain."""
        in_force = self.ledger.require_in_force()
        in_doubt = {ballot for ballot in self.in_doubt if ballot > in_force.ballot}
        self.leadership.in_doubt = in_doubt
        if in_doubt and not self.change:
            purpose = (
                "back to what is in force: nobody can tell "
                f"whether generation {max(in_doubt).number} was decided"
            )
            self._begin_change(in_force.content, (), SUPERSEDING_AUTHOR, now, purpose)

    # Changes.

    def propose(
        self, content: dict[str, Any], excluded: Sequence[str], author: str, now: float
    ) -> Change:
        """Begin a change of settings, or return the change to the same settings if there is one.

        Args:
            content: The settings.
            excluded: The participants that are not asked, because they are known to be down.
            author: The author of the proposal.
            now: The time, in seconds.

        Returns:
            The new change, the change in progress, or the change that put these settings in force.

        Raises:
            ProposalRejected: The coordinator cannot accept the proposal now.
            OSError: The journal could not be written, and no change began.
        """
        if self.state != CoordinatorState.LEADING:
            reason = self.reason or "a majority of the gateways has not answered yet"
            raise ProposalRejected(f"{self.state}: {reason}")
        digest = canonical_settings.digest(content)
        if self.change:
            if self.change.generation.digest == digest:
                return self.change
            raise ProposalRejected(f"generation {self.change.generation.number} is under way")
        finished = self.ledger.change_in_force(digest, self.roster, now)
        if finished:
            return finished
        self._check_excluded(excluded)
        return self._begin_change(content, excluded, author, now)

    def _check_excluded(self, excluded: Sequence[str]) -> None:
        if unknown := sorted(set(excluded) - set(self.all_participants())):
            raise ProposalRejected(f"without: expected names of the roster, found {unknown[0]}")
        if len(set(self.roster) - set(excluded)) < majority(self.roster):
            raise ProposalRejected("without: expected a majority of the gateways to be left")

    def _begin_change(
        self,
        content: dict[str, Any],
        excluded: Sequence[str],
        author: str,
        now: float,
        purpose: str = "",
    ) -> Change:
        in_force = self.ledger.require_in_force()
        last_sequence = self.notifications.last_sequence
        change = Change(
            generation=self.ledger.next_generation(content, self.roster, self.epoch),
            base=in_force.ballot,
            participants=tuple(name for name in self.all_participants() if name not in excluded),
            excluded=tuple(excluded),
            started_at=now,
            previous_roster=in_force.roster,
            purpose=purpose,
            author=author,
            last_sequence_before_proposal=last_sequence,
            last_sequence_when_prepared=last_sequence,
        )
        return self.ledger.begin(change, now)

    def try_to_decide(self, now: float) -> None:
        """Decide the change in progress if its votes or the time allow it.

        The owner calls this periodically, because a change may time out.
        """
        if self.state != CoordinatorState.LEADING:
            return
        if self.change is None:
            if self.in_doubt and now - self.ledger.last_change_at >= POLL_INTERVAL_S:
                self._supersede_in_doubt(now)
            return
        decision = self.change.decision(self.roster, now, self.notifications.unreachable)
        if decision:
            self.decide(decision.outcome, decision.reason, now)

    def abort_change(self, reason: str, now: float) -> None:
        """Abort the change in progress."""
        self.decide(ChangeOutcome.ABORTED, reason, now)

    def decide(self, outcome: ChangeOutcome, reason: str, now: float) -> None:
        """Record the decision of the change in progress; notifications follow it."""
        self.ledger.decide(outcome, reason, now)
