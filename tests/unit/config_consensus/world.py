"""A fleet of the rules alone: members, control processes, and a network that may do anything to a message. Each step is
one of a few words, so that all orders of them can be gone through."""

import copy
import hashlib

from petrellane.config_consensus import (
    ballots,
    canonical_settings,
    changes,
    coordinator,
    errors,
    messages,
    notifications,
    participant,
)

OLD = {"classes": [{"name": "look", "effect": "pure", "giveUp": 4}], "contracts": []}
NEW = {"classes": [{"name": "look", "effect": "pure", "giveUp": 2}], "contracts": []}
OTHER = {"classes": [{"name": "look", "effect": "pure", "giveUp": 3}], "contracts": []}
CONTENTS = (OLD, NEW, OTHER)


class Torn(Exception):
    """The process ended in a write to its journal."""


class Journal:
    """Records that last; `fails` makes the next write the end of the process, before or after it lasts."""

    def __init__(self):
        self.records, self.fails = [], ""

    def append(self, record, now):
        if self.fails == "before":
            raise Torn
        self.records.append(record)
        if self.fails == "after":
            raise Torn


class Member:
    """A gateway: what it remembers outlives a crash, what it knows does not."""

    def __init__(self, name, members):
        self.name, self.members, self.up = name, members, True
        self.state = participant.ParticipantState(
            ballots.Generation(
                participant.INITIAL_BALLOT, canonical_settings.digest(OLD), OLD, members
            )
        )
        self.standing = participant.ParticipantStatus(name, members, True, 0.0)
        self.standing.knows_in_force = True

    def hear(self, message):
        try:
            self.state, answer = participant.handle_message(
                self.state, message, lambda content: None
            )
            return answer.to_dict()
        except errors.MessageRejected as refusal:
            return refusal.to_dict()

    def crash(self):
        self.up, self.standing.knows_in_force = False, False

    def start(self):
        self.up, self.standing = (
            True,
            participant.ParticipantStatus(self.name, self.members, True, 0.0),
        )

    def ask(self, other):
        """Learn from another gateway, as one that starts or is in doubt does."""
        learnt = messages.PeerState.from_dict(other.hear({"do": "state"}))
        fetched = [
            other.state.find_generation(ballot)
            for ballot in participant.missing_ballots(self.state, learnt)
        ]
        self.state = participant.merge_peer_state(self.state, learnt, fetched, lambda content: None)
        self.standing.on_peer_answered(other.name, self.standing.stall_count)

    def admits(self):
        """The ballots of which all allow what is admitted here; None where nothing is admitted."""
        return (
            {one.ballot for one in (self.state.in_force, *self.state.prepared)}
            if (self.up and self.standing.knows_in_force)
            else None
        )

    def key(self):
        return (
            self.state,
            self.up,
            self.standing.knows_in_force,
            frozenset(self.standing.responders) if not self.standing.knows_in_force else 0,
        )


class Fleet:
    """Members and control processes, with the steps that can be taken now."""

    def __init__(self, members, controls, proposals=1, crashes=1, faults=1, lost=False):
        names = tuple(f"g{number}" for number in range(members))
        self.members = {name: Member(name, names) for name in names}
        self.journals = {name: Journal() for name in controls}
        self.leaders, self.late, self.looks, self.now = dict.fromkeys(controls), [], [], 0.0
        self.budget = {"propose": proposals, "crash": crashes, "fault": faults, "lose": int(lost)}

    def steps(self):
        """All that can happen next."""
        told = []
        for control, leads in self.leaders.items():
            if leads is None:
                told.append(("lead", control))
                continue
            told += [("talk", control, name) for name in self.members if self.due(leads, name)]
            if (
                leads.state == coordinator.CoordinatorState.LEADING
                and not leads.change
                and self.budget["propose"]
            ):
                told.append(("propose", control))
            if leads.change:
                told.append(("time", control))
            if self.budget["crash"]:
                told.append(("end", control))
                told += (
                    [("end " + when, control) for when in ("before", "after")]
                    if leads.change
                    else []
                )
            told += [
                ("look", control, name)
                for name, one in self.members.items()
                if not one.up and self.budget["fault"] and self.due(leads, name)
            ]
            if self.budget["fault"]:
                for name in self.members:
                    if self.due(leads, name):
                        told += [
                            ("unheard", control, name),
                            ("unanswered", control, name),
                            ("doubled", control, name),
                        ]
        for name, one in self.members.items():
            if one.up and self.budget["crash"]:
                told.append(("crash", name))
            if not one.up:
                told.append(("start", name))
            elif not one.standing.knows_in_force or one.state.prepared:
                told += [
                    ("ask", name, other)
                    for other, peer in self.members.items()
                    if other != name
                    and peer.up
                    and (other not in one.standing.responders or one.state.prepared)
                ]
        return (
            told
            + [("late", at) for at in range(len(self.late))]
            + [("refused", at) for at in range(len(self.looks))]
        )

    def due(self, leads, name):
        return (
            leads.state != coordinator.CoordinatorState.DEPOSED
            and leads.pending_message(name, self.now) is not None
        )

    def take(self, step):
        """Take one step."""
        what, who, *rest = step
        if what in ("crash", "start", "ask"):
            one = self.members[who]
            if what == "ask":
                one.ask(self.members[rest[0]])
            else:
                getattr(one, what)()
                self.budget["crash"] -= what == "crash"
        elif what == "late":
            control, name, message = self.late.pop(who)
            if self.members[name].up:
                self.members[name].hear(message.to_dict())
        elif what == "refused":  # the word of a machine that refused, when it is heard
            leads, name, message = self.looks.pop(who)
            try:
                self.leaders[leads].handle_connection_refused(name, message, self.now)
            except Torn:
                self.drop(leads)
        elif what == "lead":
            journal = self.journals[who]
            journal.fails = ""
            if self.budget["lose"] and len(journal.records) > 1:
                self.budget["lose"], journal.records = 0, []
            self.leaders[who] = coordinator.Coordinator(
                who, tuple(self.members), journal, self.now, list(journal.records)
            )
        elif what == "end":
            self.budget["crash"] -= 1
            self.drop(who)
        elif what.startswith("end "):
            self.budget["crash"] -= 1
            self.journals[who].fails = what[4:]  # it ends in its next write
        else:
            try:
                self.lead(what, who, *rest)
            except Torn:
                self.drop(who)

    def drop(self, control):
        """A control process ends, and what it waited for with it."""
        self.leaders[control] = None
        self.looks = [look for look in self.looks if look[0] != control]

    def lead(self, what, control, name=None):
        leads = self.leaders[control]
        if what == "propose":
            self.budget["propose"] -= 1
            leads.propose(CONTENTS[1 + list(self.leaders).index(control)], (), "staff", self.now)
        elif what == "time":
            leads.try_to_decide(self.now + changes.CHANGE_TIMEOUT_S)
        else:
            message, one = leads.build_message(name, self.now), self.members[name]
            if what == "look":
                self.budget["fault"] -= 1
                self.looks.append((control, name, message))
                return
            if what == "unheard" or not one.up and what != "talk":
                self.budget["fault"] -= 1
                self.late.append((control, name, message))  # it may come yet
                leads.handle_no_answer(name, message, self.now)
            elif not one.up:
                leads.handle_connection_refused(name, message, self.now)
            else:
                answer = messages.decode_answer(message, one.hear(message.to_dict()))
                if what == "doubled":
                    self.late.append((control, name, message))
                if what == "unanswered":
                    leads.handle_no_answer(name, message, self.now)
                else:
                    leads.handle_answer(name, message, answer, self.now)
                self.budget["fault"] -= what != "talk"

    def broken(self):
        """What breaks the guarantee now, in a line; None where nothing does."""
        admitting = {
            name: one.admits() for name, one in self.members.items() if one.admits() is not None
        }
        if admitting and not set.intersection(*admitting.values()):
            return "no generation allows all that is admitted: " + "; ".join(
                f"{name} {sorted(told)}" for name, told in admitting.items()
            )
        return None

    def key(self):
        """What this state is, but for what has no effect any more."""
        leads = tuple(
            (
                one
                and (
                    one.state,
                    one.epoch,
                    one.in_force and one.in_force.ballot,
                    one.change
                    and (
                        one.change.generation.ballot,
                        tuple(sorted(one.change.votes.items())),
                        sorted(one.change.confirmed_absent),
                    ),
                    sorted(one.notifications.reports.items()),
                    sorted(one.leadership.promised_by),
                    sorted(one.notifications.needs_content),
                    sorted(one.in_doubt),
                    one.leadership.missing_content and one.leadership.missing_content.ballot,
                    one.leadership.claims,
                )
            )
            for one in self.leaders.values()
        )
        late = tuple(
            (name, message.kind, message.to_dict().get("number"), message.epoch)
            for _, name, message in self.late
        )
        late += tuple(
            (
                name,
                message.sequence > self.leaders[control].change.last_sequence_when_prepared
                if self.leaders[control].change
                else 0,
            )
            for control, name, message in self.looks
        )
        return (
            tuple(repr(one.key()) for one in self.members.values()),
            repr(leads),
            late,
            tuple(self.budget.values()),
            tuple((len(one.records), one.fails) for one in self.journals.values()),
        )

    def mark(self):
        """The key, short enough to remember by the million."""
        return hashlib.blake2b(repr(self.key()).encode(), digest_size=16).digest()

    def copy(self):
        """Another fleet in the same state: what never changes is shared."""
        fleet = copy.copy(self)
        fleet.budget, fleet.late, fleet.looks = dict(self.budget), list(self.late), list(self.looks)
        fleet.members, fleet.journals, fleet.leaders = {}, {}, {}
        for name, one in self.members.items():
            fleet.members[name] = other = copy.copy(one)
            other.standing = copy.copy(one.standing)
            other.standing.responders = set(one.standing.responders)
        for name, journal in self.journals.items():
            fleet.journals[name] = other = copy.copy(journal)
            other.records = list(journal.records)
        for name, leads in self.leaders.items():
            fleet.leaders[name] = other = copy.copy(leads)
            if leads:
                other.ledger = copy.copy(leads.ledger)
                other.ledger.journal = fleet.journals[name]
                other.ledger.decisions = dict(leads.ledger.decisions)
                other.notifications = copy.copy(leads.notifications)
                for field in ("reports", "last_sent_at", "unreachable", "retry_at"):
                    setattr(other.notifications, field, dict(getattr(leads.notifications, field)))
                other.notifications.needs_content = set(leads.notifications.needs_content)
                other.leadership = copy.copy(leads.leadership)
                other.leadership.promised_by = set(leads.leadership.promised_by)
                other.leadership.in_doubt = set(leads.leadership.in_doubt)
                made = {ballot: copy.copy(change) for ballot, change in leads.history.items()}
                for change in made.values():
                    change.votes = dict(change.votes)
                    change.confirmed_absent = set(change.confirmed_absent)
                other.ledger.history = made
                other.ledger.change = made[leads.change.generation.ballot] if leads.change else None
        return fleet

    def settle(self):
        """Heal all, and let everybody speak until nobody has anything to say; what stays wrong, in a line, or None."""
        for one in self.members.values():
            if not one.up:
                one.start()
        for control in self.leaders:
            self.drop(control)
        first = next(iter(self.leaders))
        self.looks = []
        self.journals[first].fails = ""
        self.take(("lead", first))
        for _ in range(40):
            self.now += notifications.POLL_INTERVAL_S / 2
            if (
                self.leaders[first].state == coordinator.CoordinatorState.DEPOSED
            ):  # staff start it again
                self.take(("lead", first))
            for name in self.members:
                if self.due(self.leaders[first], name):
                    self.take(("talk", first, name))
            self.leaders[first].try_to_decide(self.now)
            if wrong := self.broken():
                return wrong
        for one in self.members.values():  # whoever knows nothing yet asks once more
            for other in self.members.values() if one.admits() is None else ():
                one.ask(other) if other is not one else None
        states = {
            (one.state.in_force.ballot, len(one.state.prepared)) for one in self.members.values()
        }
        if len(states) != 1 or next(iter(states))[1]:
            leads = self.leaders[first]
            return f"not at one generation after a heal: {sorted(states)}, control {leads.state} {leads.epoch} {leads.reason}"
        return (
            None
            if all(one.admits() for one in self.members.values())
            else "a gateway stays out of service"
        )


def explore(fleet, depth, most, settle_every=7):
    """Go through all orders of steps from here, to a depth and a number of states; the states seen, and the first break
    as (line, steps) or None. Breadth first: the first break found is a shortest one."""
    seen, row, number = {fleet.mark()}, [(fleet, ())], 0
    for _ in range(depth):
        following = []
        for here, path in row:
            for step in here.steps():
                there = here.copy()
                there.take(step)
                key = there.mark()
                if key in seen:
                    continue
                seen.add(key)
                number += 1
                wrong = there.broken()
                if not wrong and number % settle_every == 0:
                    wrong = there.copy().settle()
                if wrong:
                    return len(seen), (wrong, (*path, step))
                following.append((there, (*path, step)))
                if len(seen) >= most:
                    return len(seen), None
        row = following
        if not row:
            break
    return len(seen), None


def walk(fleet, random, length):
    """One run of steps drawn at random, healed at its end; the break as (line, steps) or None."""
    path = []
    for _ in range(length):
        steps = fleet.steps()
        if not steps:
            break
        path.append(random.choice(steps))
        fleet.take(path[-1])
        if wrong := fleet.broken():
            return wrong, tuple(path)
    wrong = fleet.settle()
    return (wrong, tuple(path)) if wrong else None
