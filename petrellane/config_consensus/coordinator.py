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
               else abort: at once where one refuses, after WAIT where one is silent. Noted, then told
      tell     to all, until each has it; whoever comes back late is told then. Strays are denied
    deposed    another control process has a higher epoch: nothing more is sent

A commit is told only after every member that serves has prepared, so none admits under the old generation alone from then
on; an abort is told only where no commit ever will be. What was decided is in the journal before anybody is told.

`next` gives the message that a member is due, `heard`, `refused` and `silent` take what came of it; `Journal.note` raises
where a step could not be made durable, and the step has not been taken then.
"""

import itertools
import math
from dataclasses import dataclass, field

from petrellane.config_consensus import safe_settings
from petrellane.config_consensus.ballots import (
    Ballot,
    Epoch,
    Generation,
    epoch_of,
    generation_of,
    majority,
)
from petrellane.config_consensus.participant import FENCE, FIRST, learnt_of

SEEKING, LEADING, DEPOSED = "seeking", "leading", "deposed"
PREPARING, COMMITTED, ABORTED, SUPERSEDED, UNKNOWN = (
    "preparing",
    "committed",
    "aborted",
    "superseded",
    "unknown",
)
RISES = 5  # times that a control process takes a higher epoch while it seeks: two that start at once end it
WAIT = 3.0  # seconds until a change is given up for members that say nothing
LOOK = 1.0  # seconds, about, between looks at a member that is due nothing
AGAIN = (
    0.1  # seconds before a member that did not answer is asked again while a change is under way
)


class NotNow(Exception):
    """A proposal that can't be taken; the text is one line."""


@dataclass
class Change:
    """One proposal. `replies` maps a member to what it said: "prepared", "absent" or nothing yet."""

    generation: Generation
    base: Ballot
    needed: tuple
    without: tuple
    began: float
    members_before: tuple
    replies: dict = field(default_factory=dict)
    first: int = 0  # the order of the last message before it
    settled: int = 0  # and of the last one sent when the last of those that serve prepared
    confirmed: set = field(default_factory=set)
    outcome: str = PREPARING
    why: str = ""
    by: str = ""

    def told(self):
        ballot = self.generation.ballot
        return {
            "number": ballot.number,
            "epoch": list(ballot.epoch),
            "digest": self.generation.digest,
            "outcome": self.outcome,
            "why": self.why,
            "by": self.by,
            "without": list(self.without),
            "prepared": sorted(name for name, said in self.replies.items() if said == "prepared"),
            "absent": sorted(self.confirmed),
        }


class Leader:
    """What one control process knows and does."""

    def __init__(self, name, members, journal, now, records=()):
        self.name, self.members, self.journal = name, tuple(members), journal
        self.state, self.why = SEEKING, ""
        self.in_force = None  # the generation, once it is known
        self.seen, self.asked_at = {}, {}
        self.promised, self.down, self.fault = set(), {}, {}
        self.unknown = (
            set()
        )  # ballots that may have been decided before us, which are neither told nor denied
        self.whole = set()  # members that are to be told what is in force with its content
        self.top = 0  # the highest number seen
        self.roster = ()  # the last that was heard
        self.order = itertools.count(1)
        self.last = 0
        self.change, self.history, self.decided = None, {}, {}
        self.tried = -math.inf  # when a change began last
        self.wanted = None  # a ballot of which the content is looked for, and who has it
        highest = 0
        for record in records:
            highest = max(highest, self.remember(record))
        self.epoch, self.rises = None, 0
        self.rise(highest + 1, now)

    # What the journal tells.

    def remember(self, record):
        """Take up one record; the epoch number that it names, or 0."""
        kind = record["kind"]
        if kind == "epoch":
            return record["number"]
        if kind in ("proposed", "in_force"):
            generation = generation_of(record["generation"], safe_settings.digest)
            self.top = max(self.top, generation.number)
            if kind == "in_force":
                self.in_force = max(
                    filter(None, (self.in_force, generation)), key=lambda one: one.ballot
                )
            else:
                change = self.history[generation.ballot] = Change(
                    generation,
                    FIRST,
                    (),
                    tuple(record.get("without", ())),
                    0.0,
                    (),
                    by=record.get("by", ""),
                )
                change.outcome, change.why = (
                    UNKNOWN,
                    "the control process ended before it was decided",
                )
        elif kind == "decided":
            ballot = Ballot(record["number"], Epoch(*record["epoch"]))
            self.decided[ballot] = record["outcome"]
            if change := self.history.get(ballot):
                change.outcome, change.why = record["outcome"], record["why"]
                change.confirmed = set(record.get("absent", ()))
                change.replies = dict.fromkeys(record.get("prepared", ()), "prepared")
                if record["outcome"] == COMMITTED:
                    self.in_force = max(
                        filter(None, (self.in_force, change.generation)), key=lambda one: one.ballot
                    )
        return 0

    def rise(self, number, now):
        """Take a new epoch and ask everybody anew."""
        epoch, self.rises = Epoch(number, self.name), self.rises + 1
        self.journal.note({"kind": "epoch", "number": number, "control": self.name}, now)
        self.epoch, self.promised, self.state = epoch, set(), SEEKING

    # What each member is due.

    def everyone(self):
        """Members old and new: those of our roster and those that what is in force names."""
        named = self.in_force.members if self.in_force else ()
        return tuple(dict.fromkeys((*self.members, *named)))

    def next(self, name, now):
        """The message that a member is due now; or None, and the seconds to wait at most."""
        if now < self.fault.get(name, -math.inf):
            return None, self.fault[name] - now
        message = self.message(name, now)
        return message, 0.0 if message else max(0.01, LOOK - (now - self.asked_at.get(name, -LOOK)))

    def message(self, name, now):
        """The message that a member is due, however soon after the last, with its order; None where it is due none."""
        message = self.due(name, now) if self.state != DEPOSED else None
        if message is not None:
            self.asked_at[name], self.last = now, next(self.order)
            message |= {"to": name, "epoch_of": list(self.epoch), "order": self.last}
        return message

    def due(self, name, now):
        if self.state == SEEKING:
            if self.wanted and name in self.wanted[1]:
                return {
                    "do": "content",
                    "number": self.wanted[0].number,
                    "epoch": list(self.wanted[0].epoch),
                }
            return {"do": "promise"} if name not in self.promised or self.stale(name, now) else None
        seen, change = self.seen.get(name), self.change
        if name in self.whole:
            return {"do": "commit"} | self.in_force.told()
        if seen and seen.in_force < self.in_force.ballot:
            held = seen.possible and self.in_force.ballot in seen.possible
            return {"do": "commit"} | (self.in_force.named() if held else self.in_force.told())
        kept = {change.generation.ballot, *self.unknown} if change else self.unknown
        for ballot in seen.possible if seen else ():
            if ballot not in kept and ballot > self.in_force.ballot:
                return {"do": "deny", "number": ballot.number, "epoch": list(ballot.epoch)}
        if (
            change
            and name in change.needed
            and change.replies.get(name) != "prepared"
            and (name not in change.confirmed)
        ):
            return {
                "do": "prepare",
                "base": {"number": change.base.number, "epoch": list(change.base.epoch)},
                **change.generation.told(),
            }
        return {"do": "promise"} if self.stale(name, now) else None

    def stale(self, name, now):
        return now - self.asked_at.get(name, -LOOK) >= LOOK

    # What came of it.

    def heard(self, name, message, answer, now):
        """A member's answer to a message: what it remembers, a content, or why it refused."""
        self.fault.pop(name, None)
        self.down.pop(name, None)
        if self.state == DEPOSED:
            return
        if message["do"] == "content":
            self.fetched(name, answer, now)
            return
        if "refused" in answer:
            self.turned_down(name, message, answer, now)
            return
        try:
            learnt = learnt_of(answer)
        except ValueError as error:
            self.silent(name, message, now, f"answers out of form: {error}")
            return
        self.seen[name] = self.one_roster(learnt)
        self.whole.discard(name)
        self.top = max([self.top, learnt.in_force.number, *(one.number for one in learnt.possible)])
        self.promised.add(name)
        if self.state == SEEKING:
            self.lead(now)
            return
        if (
            learnt.in_force > self.in_force.ballot
        ):  # it was decided before us, and we know it only now
            if self.change:
                self.give_up(f"generation {learnt.in_force.number} is in force at {name}", now)
            self.state = SEEKING
            self.lead(now)
            return
        change = self.change
        if change and name in change.without and message["order"] > change.first:
            self.give_up(f"{name} was counted out, and answers", now)
            return
        if (
            change
            and message["do"] == "prepare"
            and message["number"] == change.generation.number
            and (
                change.generation.ballot in learnt.possible
                or learnt.in_force >= change.generation.ballot
            )
        ):
            if change.replies.get(name) != "prepared":
                change.replies[name] = "prepared"
                change.confirmed.clear()  # whoever seemed absent is looked at once more
                change.settled = self.last
        self.judge(now)

    def turned_down(self, name, message, answer, now):
        cause, why = answer["refused"], str(answer.get("why", ""))[:300]
        if cause == "epoch":
            try:
                promised = epoch_of(answer.get("promised"))
            except ValueError:
                promised = self.epoch
            if promised <= self.epoch:
                return  # it was said to an earlier message of ours
            if self.state == SEEKING and self.rises < RISES:
                self.rise(promised.number + 1, now)
            else:
                self.depose(f"{name} follows another control process: {why}")
            return
        self.fault[name] = now + (AGAIN if self.change else LOOK)
        if cause in ("behind", "unknown"):  # it is told what is in force first, whole
            self.whole.add(name)
            self.fault.pop(name)
            return
        if self.change and message["do"] == "prepare":
            self.give_up(f"refused by {name}: {why}", now)

    def depose(self, why):
        """Another control process leads. What became of our change is its to find out."""
        self.state, self.why = DEPOSED, why
        if self.change:
            self.change.outcome, self.change.why = UNKNOWN, why
            self.change = None

    def refused(self, name, message, now):
        """Nobody listens where a member should: its machine refused the connection, at every address."""
        self.fault[name] = now + (AGAIN if self.change or self.state == SEEKING else LOOK)
        self.down[name] = "nobody listens there"
        change = self.change
        if change and name in change.needed and change.replies.get(name) != "prepared":
            change.replies[name] = "absent"
            if message["order"] > change.settled:
                change.confirmed.add(name)
        self.judge(now)

    def silent(self, name, message, now, why="no answer"):
        """No answer came, or none that can be read; whether the message arrived is not known."""
        self.fault[name] = now + (AGAIN if self.change or self.state == SEEKING else LOOK)
        self.down[name] = why
        change = self.change
        if change and change.replies.get(name) == "absent":
            change.replies.pop(name)
            change.confirmed.discard(name)
        self.judge(now)

    # Taking over.

    def sets(self):
        """The sets of members of each of which a majority has to be heard; rosters that are one object are one set."""
        named = {id(self.members): self.members}
        if self.in_force:
            named[id(self.in_force.members)] = self.in_force.members
        named |= {id(learnt.members): learnt.members for learnt in self.seen.values()}
        return [one for one in named.values() if one]

    def one_roster(self, learnt):
        """The same, with a roster that equals ours, that in force or the last one heard as the same object: else as many
        equal ones as there are members would be looked through at each answer."""
        known = (self.members, self.in_force and self.in_force.members, self.roster)
        self.roster = next((one for one in known if one == learnt.members), learnt.members)
        return learnt._replace(members=self.roster)

    def lead(self, now):
        """Lead, once enough have promised and what is in force is known with its content."""
        if any(len(self.promised & set(one)) < majority(one) for one in self.sets()):
            return
        highest = max(self.seen[name].in_force for name in self.promised)
        if self.in_force is None or self.in_force.ballot < highest:
            self.wanted = (
                highest,
                {name for name in self.promised if self.seen[name].in_force == highest},
            )
            return
        self.wanted, self.state = None, LEADING
        doubts = {
            one
            for name in self.promised
            for one in self.seen[name].possible
            if one > self.in_force.ballot
        }
        self.unknown = {one for one in doubts if self.may_be_decided(one)}
        self.supersede(now)

    def supersede(self, now):
        """What may have been decided is put behind: the settings in force come again under a later number."""
        self.unknown = {one for one in self.unknown if one > self.in_force.ballot}
        if self.unknown and not self.change:
            self.begin(
                self.in_force.content,
                (),
                now,
                "the control process",
                "back to what is in force: nobody can tell "
                f"whether generation {max(self.unknown).number} was decided",
            )

    def may_be_decided(self, ballot):
        """Whether a ballot that was prepared somewhere may be in force at a gateway that has not answered."""
        if self.decided.get(ballot) in (ABORTED, SUPERSEDED):
            return False
        if any(ballot in self.seen[name].denied for name in self.promised):
            return False
        members = self.in_force.members  # a majority of these had to prepare it
        never = [
            name
            for name in members
            if name in self.promised and ballot not in self.seen[name].possible
        ]
        return len(never) <= len(members) - majority(members)

    def fetched(self, name, answer, now):
        """The content that was looked for. A gateway's own file, number 0, is taken as it is there."""
        try:
            generation = generation_of(answer, safe_settings.digest)
        except ValueError:  # it has moved on meanwhile
            self.wanted = None
            self.promised.discard(name)
            return
        if self.state == SEEKING and self.wanted and generation.ballot == self.wanted[0]:
            self.journal.note({"kind": "in_force", "generation": generation.told()}, now)
            self.in_force, self.wanted = generation, None
            self.lead(now)

    # A change.

    def propose(self, content, without, by, now):
        """Begin a change, or join the same one; the Change. Raises NotNow; Journal.note may raise."""
        if self.state != LEADING:
            raise NotNow(
                f"{self.state}: {self.why or 'a majority of the gateways has not answered yet'}"
            )
        digest = safe_settings.digest(content)
        if self.change:
            if self.change.generation.digest == digest:
                return self.change
            raise NotNow(f"generation {self.change.generation.number} is under way")
        if (
            self.in_force.digest == digest
            and self.in_force.number
            and set(self.members) == set(self.in_force.members)
        ):
            return self.history.get(self.in_force.ballot) or Change(
                self.in_force,
                self.in_force.ballot,
                (),
                (),
                now,
                (),
                outcome=COMMITTED,
                why="in force already",
            )
        if unknown := sorted(set(without) - set(self.everyone())):
            raise NotNow(f"without: expected names of the roster, found {unknown[0]}")
        if len(set(self.members) - set(without)) < majority(self.members):
            raise NotNow("without: expected a majority of the gateways to be left")
        return self.begin(content, without, now, by, "")

    def begin(self, content, without, now, by, why):
        ballot = Ballot(max(self.top, self.in_force.number) + 1, self.epoch)
        generation = Generation(ballot, safe_settings.digest(content), content, self.members)
        self.journal.note(
            {
                "kind": "proposed",
                "generation": generation.told(),
                "without": list(without),
                "by": by,
                "why": why,
            },
            now,
        )
        self.top, self.tried = ballot.number, now
        needed = tuple(name for name in self.everyone() if name not in without)
        self.change = self.history[ballot] = Change(
            generation,
            self.in_force.ballot,
            needed,
            tuple(without),
            now,
            self.in_force.members,
            why=why,
            by=by,
            first=self.last,
            settled=self.last,
        )
        return self.change

    def judge(self, now):
        """Decide the change that is under way, if it can be; to be called often."""
        change = self.change
        if self.state != LEADING:
            return
        if not change:
            if self.unknown and now - self.tried >= LOOK:
                self.supersede(now)
            return
        left = (
            name
            for name in change.needed
            if change.replies.get(name) != "prepared" and name not in change.confirmed
        )
        first = next(left, None)  # looked for anew at each answer, and mostly found at once
        if first is None:
            done = {name for name in change.needed if change.replies.get(name) == "prepared"}
            for members in filter(None, (change.members_before, self.members)):
                if len(done & set(members)) < majority(members):
                    self.give_up(
                        f"no majority: {len(done & set(members))} of {len(members)} gateways prepared, "
                        f"nobody listens at {', '.join(sorted(change.confirmed)) or 'none'}",
                        now,
                    )
                    return
            if change.without and now - change.began < 2 * FENCE:
                return  # whoever was counted out and merely stands still is to notice that it did
            self.decide(COMMITTED, change.why, now)
        elif now - change.began >= WAIT:
            self.give_up(
                "no word from "
                + ", ".join(
                    f"{name} ({self.down.get(name, 'no answer')})"
                    for name in sorted((first, *left))
                ),
                now,
            )

    def give_up(self, why, now):
        self.decide(ABORTED, why, now)

    def decide(self, outcome, why, now):
        change = self.change
        ballot = change.generation.ballot
        self.journal.note(
            {
                "kind": "decided",
                "number": ballot.number,
                "epoch": list(ballot.epoch),
                "outcome": outcome,
                "why": why,
                "absent": sorted(change.confirmed),
                "prepared": sorted(
                    name for name, said in change.replies.items() if said == "prepared"
                ),
            },
            now,
        )
        change.outcome, change.why, self.decided[ballot] = outcome, why, outcome
        self.change = None
        if outcome == COMMITTED:
            self.in_force = change.generation
            for other in self.history.values():
                if other.outcome == UNKNOWN and other.generation.ballot < ballot:
                    other.outcome, other.why = SUPERSEDED, f"by generation {ballot.number}"

    def at(self, name):
        """Where a member stands, in a word, and the number in force there."""
        seen = self.seen.get(name)
        number = seen.in_force.number if seen else None
        if name in self.down:
            return self.down[name], number
        if not seen:
            return "not heard yet", number
        if self.in_force and seen.in_force == self.in_force.ballot:
            if seen.digest != self.in_force.digest:
                return "another content under this number", number
            return "in doubt" if seen.possible else "in force", number
        return "behind", number
