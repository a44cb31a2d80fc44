"""One control process's part in agreement, as rules free of I/O. On one page:

    seeking    promise E to all; once a majority of every set of members that matters has answered, what they remember
               tells what is in force. A later generation that may have been decided by another control process, and of
               which nobody can tell, is superseded: the settings in force come again under a new number.
    leading    one change at a time:
      propose  G = in force's number and all numbers seen + 1; noted in the journal
      prepare  to all members, old and new, that staff did not count out
      absent   a member where nobody listens: the machine refused the connection. It counts as absent only while it does so
               after the last of the others has prepared; what starts there later asks before it serves
      decide   commit once all are prepared or absent, and the prepared are a majority of the old members and of the new;
               else abort: at once where one refuses, after CHANGE_TIMEOUT_S where one is silent. Noted, then told
      tell     to all, until each has it; whoever comes back late is told then. Orphaned ballots are aborted
    deposed    another control process has a higher epoch: nothing more is sent

A commit is told only after every member that serves has prepared, so none admits under the old generation alone from then
on; an abort is told only where no commit ever will be. What was decided is in the journal before anybody is told.

`next_message` gives the message that a member is due, `handle_answer`, `handle_connection_refused` and `handle_no_answer` take what came of it; `Journal.append` raises
where a step could not be made durable, and the step has not been taken then.
"""

import itertools
import math
from dataclasses import dataclass, field
from enum import StrEnum

from petrellane.config_consensus import safe_settings
from petrellane.config_consensus.ballots import (
    Ballot,
    Epoch,
    Generation,
    majority,
    parse_epoch,
    parse_generation,
)
from petrellane.config_consensus.errors import ProposalRejected
from petrellane.config_consensus.participant import INITIAL_BALLOT, STALL_LIMIT_S, parse_peer_state


class CoordinatorState(StrEnum):
    """What a coordinator does with its epoch."""

    SEEKING = "seeking"
    LEADING = "leading"
    DEPOSED = "deposed"


class ChangeOutcome(StrEnum):
    """What became of a change; PREPARING until it is decided."""

    PREPARING = "preparing"
    COMMITTED = "committed"
    ABORTED = "aborted"
    SUPERSEDED = "superseded"
    UNKNOWN = "unknown"


MAX_EPOCH_CLAIMS = 5  # times that a control process takes a higher epoch while it seeks: two that start at once end it
CHANGE_TIMEOUT_S = 3.0  # seconds until a change is given up for members that say nothing
POLL_INTERVAL_S = 1.0  # seconds, about, between looks at a member that is due nothing
RETRY_INTERVAL_S = (
    0.1  # seconds before a member that did not answer is asked again while a change is under way
)


@dataclass
class Change:
    """One proposal. `replies` maps a member to what it said: "prepared", "absent" or nothing yet."""

    generation: Generation
    base: Ballot
    participants: tuple
    excluded: tuple
    started_at: float
    previous_roster: tuple
    votes: dict = field(default_factory=dict)
    first_message: int = 0  # the order of the last message before it
    settled_message: int = 0  # and of the last one sent when the last of those that serve prepared
    confirmed_absent: set = field(default_factory=set)
    outcome: ChangeOutcome = ChangeOutcome.PREPARING
    reason: str = ""
    author: str = ""

    def to_dict(self):
        ballot = self.generation.ballot
        return {
            "number": ballot.number,
            "epoch": list(ballot.epoch),
            "digest": self.generation.digest,
            "outcome": self.outcome,
            "why": self.reason,
            "by": self.author,
            "without": list(self.excluded),
            "prepared": sorted(name for name, said in self.votes.items() if said == "prepared"),
            "absent": sorted(self.confirmed_absent),
        }


class Coordinator:
    """What one control process knows and does."""

    def __init__(self, name, members, journal, now, records=()):
        self.name, self.roster, self.journal = name, tuple(members), journal
        self.state, self.reason = CoordinatorState.SEEKING, ""
        self.in_force = None  # the generation, once it is known
        self.participant_states, self.last_sent_at = {}, {}
        self.promised_by, self.unreachable, self.retry_at = set(), {}, {}
        self.in_doubt = (
            set()
        )  # ballots that may have been decided before us, which are neither told nor denied
        self.needs_content = set()  # members that are to be told what is in force with its content
        self.highest_number = 0  # the highest number seen
        self.last_roster = ()  # the last that was heard
        self.message_counter = itertools.count(1)
        self.last_message = 0
        self.change, self.history, self.decisions = None, {}, {}
        self.last_change_at = -math.inf  # when a change began last
        self.wanted_content = None  # a ballot of which the content is looked for, and who has it
        highest = 0
        for record in records:
            highest = max(highest, self.replay(record))
        self.epoch, self.epoch_claims = None, 0
        self.claim_epoch(highest + 1, now)

    # What the journal tells.

    def replay(self, record):
        """Take up one record; the epoch number that it names, or 0."""
        kind = record["kind"]
        if kind == "epoch":
            return record["number"]
        if kind in ("proposed", "in_force"):
            generation = parse_generation(record["generation"], safe_settings.digest)
            self.highest_number = max(self.highest_number, generation.number)
            if kind == "in_force":
                self.in_force = max(
                    filter(None, (self.in_force, generation)), key=lambda one: one.ballot
                )
            else:
                change = self.history[generation.ballot] = Change(
                    generation,
                    INITIAL_BALLOT,
                    (),
                    tuple(record.get("without", ())),
                    0.0,
                    (),
                    author=record.get("by", ""),
                )
                change.outcome, change.reason = (
                    ChangeOutcome.UNKNOWN,
                    "the control process ended before it was decided",
                )
        elif kind == "decided":
            ballot = Ballot(record["number"], Epoch(*record["epoch"]))
            self.decisions[ballot] = ChangeOutcome(record["outcome"])
            if change := self.history.get(ballot):
                change.outcome, change.reason = ChangeOutcome(record["outcome"]), record["why"]
                change.confirmed_absent = set(record.get("absent", ()))
                change.votes = dict.fromkeys(record.get("prepared", ()), "prepared")
                if record["outcome"] == ChangeOutcome.COMMITTED:
                    self.in_force = max(
                        filter(None, (self.in_force, change.generation)), key=lambda one: one.ballot
                    )
        return 0

    def claim_epoch(self, number, now):
        """Take a new epoch and ask everybody anew."""
        epoch, self.epoch_claims = Epoch(number, self.name), self.epoch_claims + 1
        self.journal.append({"kind": "epoch", "number": number, "control": self.name}, now)
        self.epoch, self.promised_by, self.state = epoch, set(), CoordinatorState.SEEKING

    # What each member is due.

    def all_participants(self):
        """Members old and new: those of our roster and those that what is in force names."""
        named = self.in_force.roster if self.in_force else ()
        return tuple(dict.fromkeys((*self.roster, *named)))

    def next_message(self, name, now):
        """The message that a member is due now; or None, and the seconds to wait at most."""
        if now < self.retry_at.get(name, -math.inf):
            return None, self.retry_at[name] - now
        message = self.build_message(name, now)
        return message, 0.0 if message else max(
            0.01, POLL_INTERVAL_S - (now - self.last_sent_at.get(name, -POLL_INTERVAL_S))
        )

    def build_message(self, name, now):
        """The message that a member is due, however soon after the last, with its order; None where it is due none."""
        message = (
            self.pending_message(name, now) if self.state != CoordinatorState.DEPOSED else None
        )
        if message is not None:
            self.last_sent_at[name], self.last_message = now, next(self.message_counter)
            message |= {"to": name, "epoch_of": list(self.epoch), "order": self.last_message}
        return message

    def pending_message(self, name, now):
        if self.state == CoordinatorState.SEEKING:
            if self.wanted_content and name in self.wanted_content[1]:
                return {
                    "do": "content",
                    "number": self.wanted_content[0].number,
                    "epoch": list(self.wanted_content[0].epoch),
                }
            return (
                {"do": "promise"}
                if name not in self.promised_by or self.is_poll_due(name, now)
                else None
            )
        seen, change = self.participant_states.get(name), self.change
        if name in self.needs_content:
            return {"do": "commit"} | self.in_force.to_dict()
        if seen and seen.in_force < self.in_force.ballot:
            held = seen.prepared and self.in_force.ballot in seen.prepared
            return {"do": "commit"} | (
                self.in_force.identity_to_dict() if held else self.in_force.to_dict()
            )
        kept = {change.generation.ballot, *self.in_doubt} if change else self.in_doubt
        for ballot in seen.prepared if seen else ():
            if ballot not in kept and ballot > self.in_force.ballot:
                return {"do": "deny", "number": ballot.number, "epoch": list(ballot.epoch)}
        if (
            change
            and name in change.participants
            and change.votes.get(name) != "prepared"
            and (name not in change.confirmed_absent)
        ):
            return {
                "do": "prepare",
                "base": {"number": change.base.number, "epoch": list(change.base.epoch)},
                **change.generation.to_dict(),
            }
        return {"do": "promise"} if self.is_poll_due(name, now) else None

    def is_poll_due(self, name, now):
        return now - self.last_sent_at.get(name, -POLL_INTERVAL_S) >= POLL_INTERVAL_S

    # What came of it.

    def handle_answer(self, name, message, answer, now):
        """A member's answer to a message: what it remembers, a content, or why it refused."""
        self.retry_at.pop(name, None)
        self.unreachable.pop(name, None)
        if self.state == CoordinatorState.DEPOSED:
            return
        if message["do"] == "content":
            self.handle_content(name, answer, now)
            return
        if "refused" in answer:
            self.handle_rejection(name, message, answer, now)
            return
        try:
            learnt = parse_peer_state(answer)
        except ValueError as error:
            self.handle_no_answer(name, message, now, f"answers out of form: {error}")
            return
        self.participant_states[name] = self.intern_roster(learnt)
        self.needs_content.discard(name)
        self.highest_number = max(
            [self.highest_number, learnt.in_force.number, *(one.number for one in learnt.prepared)]
        )
        self.promised_by.add(name)
        if self.state == CoordinatorState.SEEKING:
            self.try_to_lead(now)
            return
        if (
            learnt.in_force > self.in_force.ballot
        ):  # it was decided before us, and we know it only now
            if self.change:
                self.abort_change(f"generation {learnt.in_force.number} is in force at {name}", now)
            self.state = CoordinatorState.SEEKING
            self.try_to_lead(now)
            return
        change = self.change
        if change and name in change.excluded and message["order"] > change.first_message:
            self.abort_change(f"{name} was counted out, and answers", now)
            return
        if (
            change
            and message["do"] == "prepare"
            and message["number"] == change.generation.number
            and (
                change.generation.ballot in learnt.prepared
                or learnt.in_force >= change.generation.ballot
            )
        ):
            if change.votes.get(name) != "prepared":
                change.votes[name] = "prepared"
                change.confirmed_absent.clear()  # whoever seemed absent is looked at once more
                change.settled_message = self.last_message
        self.try_to_decide(now)

    def handle_rejection(self, name, message, answer, now):
        cause, why = answer["refused"], str(answer.get("why", ""))[:300]
        if cause == "epoch":
            try:
                promised = parse_epoch(answer.get("promised"))
            except ValueError:
                promised = self.epoch
            if promised <= self.epoch:
                return  # it was said to an earlier message of ours
            if self.state == CoordinatorState.SEEKING and self.epoch_claims < MAX_EPOCH_CLAIMS:
                self.claim_epoch(promised.number + 1, now)
            else:
                self.depose(f"{name} follows another control process: {why}")
            return
        self.retry_at[name] = now + (RETRY_INTERVAL_S if self.change else POLL_INTERVAL_S)
        if cause in ("behind", "unknown"):  # it is told what is in force first, whole
            self.needs_content.add(name)
            self.retry_at.pop(name)
            return
        if self.change and message["do"] == "prepare":
            self.abort_change(f"refused by {name}: {why}", now)

    def depose(self, why):
        """Another control process leads. What became of our change is its to find out."""
        self.state, self.reason = CoordinatorState.DEPOSED, why
        if self.change:
            self.change.outcome, self.change.reason = ChangeOutcome.UNKNOWN, why
            self.change = None

    def handle_connection_refused(self, name, message, now):
        """Nobody listens where a member should: its machine refused the connection, at every address."""
        self.retry_at[name] = now + (
            RETRY_INTERVAL_S
            if self.change or self.state == CoordinatorState.SEEKING
            else POLL_INTERVAL_S
        )
        self.unreachable[name] = "nobody listens there"
        change = self.change
        if change and name in change.participants and change.votes.get(name) != "prepared":
            change.votes[name] = "absent"
            if message["order"] > change.settled_message:
                change.confirmed_absent.add(name)
        self.try_to_decide(now)

    def handle_no_answer(self, name, message, now, why="no answer"):
        """No answer came, or none that can be read; whether the message arrived is not known."""
        self.retry_at[name] = now + (
            RETRY_INTERVAL_S
            if self.change or self.state == CoordinatorState.SEEKING
            else POLL_INTERVAL_S
        )
        self.unreachable[name] = why
        change = self.change
        if change and change.votes.get(name) == "absent":
            change.votes.pop(name)
            change.confirmed_absent.discard(name)
        self.try_to_decide(now)

    # Taking over.

    def quorum_rosters(self):
        """The sets of members of each of which a majority has to be heard; rosters that are one object are one set."""
        named = {id(self.roster): self.roster}
        if self.in_force:
            named[id(self.in_force.roster)] = self.in_force.roster
        named |= {id(learnt.roster): learnt.roster for learnt in self.participant_states.values()}
        return [one for one in named.values() if one]

    def intern_roster(self, learnt):
        """The same, with a roster that equals ours, that in force or the last one heard as the same object: else as many
        equal ones as there are members would be looked through at each answer."""
        known = (self.roster, self.in_force and self.in_force.roster, self.last_roster)
        self.last_roster = next((one for one in known if one == learnt.roster), learnt.roster)
        return learnt._replace(roster=self.last_roster)

    def try_to_lead(self, now):
        """Lead, once enough have promised and what is in force is known with its content."""
        if any(len(self.promised_by & set(one)) < majority(one) for one in self.quorum_rosters()):
            return
        highest = max(self.participant_states[name].in_force for name in self.promised_by)
        if self.in_force is None or self.in_force.ballot < highest:
            self.wanted_content = (
                highest,
                {
                    name
                    for name in self.promised_by
                    if self.participant_states[name].in_force == highest
                },
            )
            return
        self.wanted_content, self.state = None, CoordinatorState.LEADING
        doubts = {
            one
            for name in self.promised_by
            for one in self.participant_states[name].prepared
            if one > self.in_force.ballot
        }
        self.in_doubt = {one for one in doubts if self.may_be_decided(one)}
        self.supersede_in_doubt(now)

    def supersede_in_doubt(self, now):
        """What may have been decided is put behind: the settings in force come again under a later number."""
        self.in_doubt = {one for one in self.in_doubt if one > self.in_force.ballot}
        if self.in_doubt and not self.change:
            self.begin_change(
                self.in_force.content,
                (),
                now,
                "the control process",
                "back to what is in force: nobody can tell "
                f"whether generation {max(self.in_doubt).number} was decided",
            )

    def may_be_decided(self, ballot):
        """Whether a ballot that was prepared somewhere may be in force at a gateway that has not answered."""
        if self.decisions.get(ballot) in (ChangeOutcome.ABORTED, ChangeOutcome.SUPERSEDED):
            return False
        if any(ballot in self.participant_states[name].aborted for name in self.promised_by):
            return False
        members = self.in_force.roster  # a majority of these had to prepare it
        never = [
            name
            for name in members
            if name in self.promised_by and ballot not in self.participant_states[name].prepared
        ]
        return len(never) <= len(members) - majority(members)

    def handle_content(self, name, answer, now):
        """The content that was looked for. A gateway's own file, number 0, is taken as it is there."""
        try:
            generation = parse_generation(answer, safe_settings.digest)
        except ValueError:  # it has moved on meanwhile
            self.wanted_content = None
            self.promised_by.discard(name)
            return
        if (
            self.state == CoordinatorState.SEEKING
            and self.wanted_content
            and generation.ballot == self.wanted_content[0]
        ):
            self.journal.append({"kind": "in_force", "generation": generation.to_dict()}, now)
            self.in_force, self.wanted_content = generation, None
            self.try_to_lead(now)

    # A change.

    def propose(self, content, without, by, now):
        """Begin a change, or join the same one; the Change. Raises ProposalRejected; Journal.append may raise."""
        if self.state != CoordinatorState.LEADING:
            raise ProposalRejected(
                f"{self.state}: {self.reason or 'a majority of the gateways has not answered yet'}"
            )
        digest = safe_settings.digest(content)
        if self.change:
            if self.change.generation.digest == digest:
                return self.change
            raise ProposalRejected(f"generation {self.change.generation.number} is under way")
        if (
            self.in_force.digest == digest
            and self.in_force.number
            and set(self.roster) == set(self.in_force.roster)
        ):
            return self.history.get(self.in_force.ballot) or Change(
                self.in_force,
                self.in_force.ballot,
                (),
                (),
                now,
                (),
                outcome=ChangeOutcome.COMMITTED,
                reason="in force already",
            )
        if unknown := sorted(set(without) - set(self.all_participants())):
            raise ProposalRejected(f"without: expected names of the roster, found {unknown[0]}")
        if len(set(self.roster) - set(without)) < majority(self.roster):
            raise ProposalRejected("without: expected a majority of the gateways to be left")
        return self.begin_change(content, without, now, by, "")

    def begin_change(self, content, without, now, by, why):
        ballot = Ballot(max(self.highest_number, self.in_force.number) + 1, self.epoch)
        generation = Generation(ballot, safe_settings.digest(content), content, self.roster)
        self.journal.append(
            {
                "kind": "proposed",
                "generation": generation.to_dict(),
                "without": list(without),
                "by": by,
                "why": why,
            },
            now,
        )
        self.highest_number, self.last_change_at = ballot.number, now
        needed = tuple(name for name in self.all_participants() if name not in without)
        self.change = self.history[ballot] = Change(
            generation,
            self.in_force.ballot,
            needed,
            tuple(without),
            now,
            self.in_force.roster,
            reason=why,
            author=by,
            first_message=self.last_message,
            settled_message=self.last_message,
        )
        return self.change

    def try_to_decide(self, now):
        """Decide the change that is under way, if it can be; to be called often."""
        change = self.change
        if self.state != CoordinatorState.LEADING:
            return
        if not change:
            if self.in_doubt and now - self.last_change_at >= POLL_INTERVAL_S:
                self.supersede_in_doubt(now)
            return
        left = (
            name
            for name in change.participants
            if change.votes.get(name) != "prepared" and name not in change.confirmed_absent
        )
        first = next(left, None)  # looked for anew at each answer, and mostly found at once
        if first is None:
            done = {name for name in change.participants if change.votes.get(name) == "prepared"}
            for members in filter(None, (change.previous_roster, self.roster)):
                if len(done & set(members)) < majority(members):
                    self.abort_change(
                        f"no majority: {len(done & set(members))} of {len(members)} gateways prepared, "
                        f"nobody listens at {', '.join(sorted(change.confirmed_absent)) or 'none'}",
                        now,
                    )
                    return
            if change.excluded and now - change.started_at < 2 * STALL_LIMIT_S:
                return  # whoever was counted out and merely stands still is to notice that it did
            self.decide(ChangeOutcome.COMMITTED, change.reason, now)
        elif now - change.started_at >= CHANGE_TIMEOUT_S:
            self.abort_change(
                "no word from "
                + ", ".join(
                    f"{name} ({self.unreachable.get(name, 'no answer')})"
                    for name in sorted((first, *left))
                ),
                now,
            )

    def abort_change(self, why, now):
        self.decide(ChangeOutcome.ABORTED, why, now)

    def decide(self, outcome, why, now):
        change = self.change
        ballot = change.generation.ballot
        self.journal.append(
            {
                "kind": "decided",
                "number": ballot.number,
                "epoch": list(ballot.epoch),
                "outcome": outcome,
                "why": why,
                "absent": sorted(change.confirmed_absent),
                "prepared": sorted(
                    name for name, said in change.votes.items() if said == "prepared"
                ),
            },
            now,
        )
        change.outcome, change.reason, self.decisions[ballot] = outcome, why, outcome
        self.change = None
        if outcome == ChangeOutcome.COMMITTED:
            self.in_force = change.generation
            for other in self.history.values():
                if other.outcome == ChangeOutcome.UNKNOWN and other.generation.ballot < ballot:
                    other.outcome, other.reason = (
                        ChangeOutcome.SUPERSEDED,
                        f"by generation {ballot.number}",
                    )

    def describe_participant(self, name):
        """Where a member stands, in a word, and the number in force there."""
        seen = self.participant_states.get(name)
        number = seen.in_force.number if seen else None
        if name in self.unreachable:
            return self.unreachable[name], number
        if not seen:
            return "not heard yet", number
        if self.in_force and seen.in_force == self.in_force.ballot:
            if seen.digest != self.in_force.digest:
                return "another content under this number", number
            return "in doubt" if seen.prepared else "in force", number
        return "behind", number
