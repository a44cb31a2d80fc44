"""What a control process's rules cost by the number of members, in operations counted."""

import unittest

from petrellane.config_consensus import canonical_settings, messages, participant
from petrellane.config_consensus.ballots import Generation
from petrellane.config_consensus.coordinator import ChangeOutcome, Coordinator, CoordinatorState
from tests.unit.decisions.test_load_balancing import operations


class Name(str):
    """A name of which each comparison and each hash takes operations that are counted."""

    def __eq__(self, other):
        return str.__eq__(self, other)

    def __hash__(self):
        return str.__hash__(self)


class Nothing:
    """A journal that keeps nothing."""

    def append(self, record, now):
        """Take a record."""


class Roster:
    """A control process's rules before members that all answer at once, in the order of the roster."""

    def __init__(self, number):
        self.names, self.content = tuple(Name(f"g{at}") for at in range(number)), {"classes": []}
        first = Generation(
            participant.INITIAL_BALLOT,
            canonical_settings.digest(self.content),
            self.content,
            self.names,
        )
        self.states = dict.fromkeys(self.names, participant.ParticipantState(first))
        self.leader, self.now = Coordinator("c", self.names, Nothing(), 0.0), 0.0
        self.encode, self.decode = messages.Request.to_dict, messages.decode_answer
        self.down, self.cut = set(), set()  # who refuses connections, and who is not reached

    def answered(self):
        """Messages to each member, and their answers, until none is due any; how many went."""
        went = 0
        for name in self.names:
            while message := self.leader.next_message(name, self.now)[0]:
                went += 1
                if name in self.down or name in self.cut:
                    (
                        self.leader.handle_connection_refused
                        if name in self.down
                        else self.leader.handle_no_answer
                    )(name, message, self.now)
                    continue
                told = eval(
                    repr(self.encode(message))
                )  # as over a wire: nothing is the same object at the other side
                self.states[name], answer = participant.handle_message(
                    self.states[name], told, lambda content: None
                )
                answer = self.decode(message, eval(repr(answer.to_dict())))
                self.leader.handle_answer(name, message, answer, self.now)
        return went

    def seek(self):
        while self.leader.state != CoordinatorState.LEADING and self.answered():
            pass

    def change(self):
        change = self.leader.propose({"classes": [{"name": "m"}]}, (), "", self.now)
        while self.answered():
            pass
        return change


def cost(number):
    """Operations of the leader alone until it leads, and for a change, for each member."""
    roster, counted = Roster(number), []
    heard, due = roster.leader.handle_answer, roster.leader.next_message
    total = [0]

    def counting(call):
        def made(*words):
            found = []
            total[0] += operations(lambda: found.append(call(*words)))
            return found[0]

        return made

    roster.leader.handle_answer, roster.leader.next_message = counting(heard), counting(due)
    roster.encode, roster.decode = counting(roster.encode), counting(roster.decode)
    for step in (roster.seek, roster.change):
        total[0] = 0
        done = step()
        counted.append(total[0] / number)
    return counted, roster, done


class Size(unittest.TestCase):
    def test_a_members_part_of_a_change_is_in_step_with_the_roster_at_most(self):
        (few, _, _), (many, roster, change) = cost(40), cost(160)
        self.assertEqual(
            (roster.leader.state, change.outcome),
            (CoordinatorState.LEADING, ChangeOutcome.COMMITTED),
        )
        self.assertEqual({state.in_force.number for state in roster.states.values()}, {1})
        for one, other in zip(
            few, many, strict=True
        ):  # four times the members: up to four times for each
            self.assertLess(other, 4.4 * one)

    def test_a_tenth_down_and_a_region_cut_off_hold_a_change_up_until_the_cut_ends(self):
        roster = Roster(240)
        roster.seek()
        roster.down, roster.cut = (
            set(roster.names[::10]),
            set(roster.names[180:]) - set(roster.names[::10]),
        )
        change = roster.leader.propose({"classes": [{"name": "m"}]}, (), "", roster.now)
        for _ in range(40):  # four seconds
            roster.now += 0.1
            roster.answered()
            roster.leader.try_to_decide(roster.now)
        self.assertEqual(change.outcome, ChangeOutcome.ABORTED)
        self.assertEqual({one.in_force.number for one in roster.states.values()}, {0})
        roster.cut = set()
        for _ in range(20):
            roster.now += 0.1
            roster.answered()
        change = roster.leader.propose({"classes": [{"name": "n"}]}, (), "", roster.now)
        for _ in range(40):
            roster.now += 0.1
            roster.answered()
        self.assertEqual(
            (change.outcome, change.confirmed_absent), (ChangeOutcome.COMMITTED, roster.down)
        )
        self.assertEqual(
            {roster.states[name].in_force.ballot for name in set(roster.names) - roster.down},
            {change.generation.ballot},
        )
