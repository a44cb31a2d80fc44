"""A coordinator's rules, free of I/O: one control process brings all participants to agree.

    seeking    ask all to promise the epoch; once a majority of every roster that matters has, what
               they report tells what is in force. A later ballot that may have committed unseen is
               superseded: the settings in force are proposed again under a later number
    leading    one change at a time:
      propose  a generation under the highest number seen + 1, recorded in the journal
      prepare  ask all participants, of the old roster and the new, that were not excluded
      decide   by the votes (`changes`), recorded in the journal before anybody is notified
      notify   all participants until each has the outcome (`notifications`); orphaned ballots end
    deposed    another coordinator has a higher epoch: nothing more is sent

A commit is sent only after every participant that serves has prepared, so from then on none admits
under the old generation alone; an abort is sent only for a ballot that never will commit.

`next_message` gives the request that a participant is due, the three `handle_` methods take what
came of it. Where the journal's `append` raises OSError, the step has not been taken.
`leadership` has the rules of an epoch, `changes` those of votes, `notifications` what is due.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from petrellane.config_consensus import canonical_settings
from petrellane.config_consensus.ballots import NO_EPOCH, Ballot, Epoch, Generation, majority
from petrellane.config_consensus.changes import Change, ChangeOutcome, rejected_by
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
    NOBODY_LISTENS,
    POLL_INTERVAL_S,
    RETRY_INTERVAL_S,
    NextMessage,
    Notifications,
    ParticipantDescription,
)

__all__ = ["ChangeOutcome", "Coordinator", "CoordinatorState"]

MAX_EPOCH_CLAIMS = 5  # epochs claimed while seeking: ends the contest of two that start at once

SUPERSEDING_AUTHOR = "the control process"


class Coordinator:
    """What one control process knows and does, from its start to its end.

    Attributes:
        name: the name of the control process.
        roster: the configured participants.
        ledger: the changes, and what is in force.
        leadership: the epoch and its promises.
        notifications: reports of participants and what they are due.
    """

    def __init__(
        self,
        name: str,
        roster: Sequence[str],
        journal: RecordLog,
        now: float,
        records: Iterable[Mapping[str, Any]] = (),
    ) -> None:
        """Replay the journal's records and claim the next epoch. Raises what `append` raises."""
        self.name = name
        self.roster = tuple(roster)
        self.ledger = Ledger(journal, records)
        self.leadership = Leadership(NO_EPOCH)
        self.notifications = Notifications()
        self.claim_epoch(self.ledger.claimed_epoch + 1, now)

    # What others look at.

    @property
    def state(self) -> CoordinatorState:
        """Seeking, leading or deposed."""
        return self.leadership.state

    @property
    def reason(self) -> str:
        """Why the coordinator was deposed, in one line; empty before."""
        return self.leadership.reason

    @property
    def epoch(self) -> Epoch:
        """The epoch claimed last."""
        return self.leadership.epoch

    @property
    def in_force(self) -> Generation | None:
        """The committed generation, None until it is known."""
        return self.ledger.in_force

    @property
    def change(self) -> Change | None:
        """The change under way."""
        return self.ledger.change

    @property
    def history(self) -> Mapping[Ballot, Change]:
        """All changes by ballot."""
        return self.ledger.history

    @property
    def in_doubt(self) -> set[Ballot]:
        """Ballots of earlier epochs that may have committed unseen."""
        return self.leadership.in_doubt

    @property
    def participant_states(self) -> Mapping[str, PeerState]:
        """The last report of each participant."""
        return self.notifications.reports

    def describe_participant(self, name: str) -> ParticipantDescription:
        """Where a participant stands."""
        return self.notifications.describe(name, self.in_force)

    def all_participants(self) -> tuple[str, ...]:
        """The participants of the configured roster and of the one in force."""
        in_force = self.in_force.roster if self.in_force else ()
        return tuple(dict.fromkeys((*self.roster, *in_force)))

    def claim_epoch(self, number: int, now: float) -> None:
        """Claim a new epoch and ask all participants anew."""
        self.leadership.claims += 1  # also where the journal fails
        self.leadership.claim(self.ledger.claim_epoch(number, self.name, now))

    # Requests.

    def next_message(self, name: str, now: float) -> NextMessage:
        """The request that a participant is due now, or how long to wait for one."""
        pause = self.notifications.retry_pause(name, now)
        if pause > 0:
            return NextMessage(None, pause)
        message = self.build_message(name, now)
        if message is not None:
            return NextMessage(message, 0.0)
        return NextMessage(None, self.notifications.poll_pause(name, now))

    def build_message(self, name: str, now: float) -> Request | None:
        """The request that a participant is due, however soon after a failure; None: none."""
        body = self.pending_message(name, now)
        if body is None:
            return None
        return self.notifications.make_request(name, self.epoch, body, now)

    def pending_message(self, name: str, now: float) -> RequestBody | None:
        """What a participant is due; nothing is counted as sent."""
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

    # What came of requests.

    def handle_answer(self, name: str, message: Request, answer: Answer, now: float) -> None:
        """Take a participant's answer to a request."""
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
        """Take the content in force; initial settings of a file, number 0, are taken as well."""
        leadership = self.leadership
        if not isinstance(answer, Generation):  # the participant has moved on meanwhile
            leadership.missing_content = None
            leadership.promised_by.discard(name)
            return
        missing = leadership.missing_content
        if self.state == CoordinatorState.SEEKING and missing and answer.ballot == missing.ballot:
            self.ledger.set_in_force(answer, now)
            leadership.missing_content = None
            self.try_to_lead(now)

    def _handle_report(self, name: str, message: Request, report: PeerState, now: float) -> None:
        """Take a participant's state, and its vote where it was asked for one."""
        self._remember_report(name, report)
        if self.state == CoordinatorState.SEEKING:
            self.try_to_lead(now)
            return
        if report.in_force > self.ledger.require_in_force().ballot:
            self._seek_again(name, report, now)
            return
        change = self.change
        if change and change.is_excluded_alive(name, message.sequence):
            self.abort_change(f"{name} was counted out, and answers", now)
            return
        if change and change.is_prepared(message, report):
            change.record_prepared(name, self.notifications.last_sequence)
        self.try_to_decide(now)

    def _seek_again(self, name: str, report: PeerState, now: float) -> None:
        """A later generation committed before us, and only now we hear of it."""
        if self.change:
            self.abort_change(f"generation {report.in_force.number} is in force at {name}", now)
        self.leadership.state = CoordinatorState.SEEKING
        self.try_to_lead(now)

    def _remember_report(self, name: str, report: PeerState) -> None:
        in_force_roster = self.in_force.roster if self.in_force else None
        self.notifications.on_report(name, report, (self.roster, in_force_roster))
        self.ledger.note_number(report.in_force.number)
        for ballot in report.prepared:
            self.ledger.note_number(ballot.number)
        self.leadership.promised_by.add(name)

    def _handle_rejection(
        self, name: str, message: Request, rejection: Rejection, now: float
    ) -> None:
        if rejection.is_for_epoch:
            self._handle_higher_epoch(name, rejection, now)
            return
        notifications = self.notifications
        notifications.retry_at[name] = now + (RETRY_INTERVAL_S if self.change else POLL_INTERVAL_S)
        if rejection.is_for_content:
            notifications.on_content_missing(name)
        elif self.change and message.kind is MessageKind.PREPARE:
            self.abort_change(rejected_by(name, rejection.reason), now)

    def _handle_higher_epoch(self, name: str, rejection: Rejection, now: float) -> None:
        """Claim a higher epoch while seeking; step down while leading."""
        promised = rejection.promised
        if promised is None or promised <= self.epoch:
            return  # malformed, or the answer to a request of an earlier epoch of ours
        if self.state == CoordinatorState.SEEKING and self.leadership.claims < MAX_EPOCH_CLAIMS:
            self.claim_epoch(promised.number + 1, now)
        else:
            reason = f"{name} follows another control process: {rejection.reason}"
            self.leadership.depose(reason)
            self.ledger.abandon(reason)

    def handle_connection_refused(self, name: str, message: Request, now: float) -> None:
        """Nobody listens where a participant should: refused at each of its addresses."""
        self.notifications.on_unreachable(name, NOBODY_LISTENS, now + self._retry_interval())
        if self.change:
            self.change.record_absent(name, message.sequence)
        self.try_to_decide(now)

    def handle_no_answer(
        self, name: str, _message: Request, now: float, reason: str = "no answer"
    ) -> None:
        """No readable answer came; whether the request arrived is not known."""
        self.notifications.on_unreachable(name, reason, now + self._retry_interval())
        if self.change:
            self.change.retract_absence(name)
        self.try_to_decide(now)

    def _retry_interval(self) -> float:
        is_urgent = self.change is not None or self.state == CoordinatorState.SEEKING
        return RETRY_INTERVAL_S if is_urgent else POLL_INTERVAL_S

    # Taking over.

    def try_to_lead(self, now: float) -> None:
        """Lead, once enough have promised and what is in force is known with its content."""
        leadership = self.leadership
        reports = self.notifications.reports
        if not leadership.has_majorities(quorum_rosters(self.roster, self.in_force, reports)):
            return
        highest = leadership.highest_in_force(reports)
        if self.in_force is None or self.in_force.ballot < highest:
            leadership.seek_content(highest, reports)
            return
        leadership.lead()
        prepared = leadership.prepared_after(self.in_force.ballot, reports)
        leadership.in_doubt = {ballot for ballot in prepared if self.may_be_decided(ballot)}
        self._supersede_in_doubt(now)

    def may_be_decided(self, ballot: Ballot) -> bool:
        """Whether a ballot prepared somewhere may have committed where nobody reported."""
        if self.ledger.decisions.get(ballot) in (ChangeOutcome.ABORTED, ChangeOutcome.SUPERSEDED):
            return False
        roster = self.ledger.require_in_force().roster
        return self.leadership.may_have_committed(ballot, roster, self.notifications.reports)

    def _supersede_in_doubt(self, now: float) -> None:
        """Propose the settings in force anew where a ballot may have committed unseen."""
        in_force = self.ledger.require_in_force()
        in_doubt = {ballot for ballot in self.in_doubt if ballot > in_force.ballot}
        self.leadership.in_doubt = in_doubt
        if in_doubt and not self.change:
            purpose = (
                "back to what is in force: nobody can tell "
                f"whether generation {max(in_doubt).number} was decided"
            )
            self._begin_change(in_force.content, (), SUPERSEDING_AUTHOR, now, purpose)

    # A change.

    def propose(
        self, content: dict[str, Any], excluded: Sequence[str], author: str, now: float
    ) -> Change:
        """Begin a change of settings, or join the same one.

        Args:
            content: the settings.
            excluded: participants that are not asked, as they are known to be down.
            author: who proposes.
            now: the time, in seconds.

        Raises:
            ProposalRejected: it can't be taken now.
            OSError: the journal could not be written, and no change began.
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
        """Decide the change under way, if its votes or the time allow it; to be called often."""
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
        """Abort the change under way."""
        self.decide(ChangeOutcome.ABORTED, reason, now)

    def decide(self, outcome: ChangeOutcome, reason: str, now: float) -> None:
        """Decide the change under way, durably; participants are notified from then on."""
        self.ledger.decide(outcome, reason, now)
