"""The rules of agreement and what they remember, without a gateway: laws, all orders of events for small fleets, seeded runs
for larger ones, planted faults, files cut at any byte."""

import gc
import os
import random
import sqlite3
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from petrellane.config_consensus import (
    ballots,
    canonical_settings,
    errors,
    journal,
    message_authentication,
    messages,
    notifications,
    participant,
    safe_settings,
    settings_diff,
    state_store,
)
from tests.unit.config_consensus.planted import PLANTS, planted
from tests.unit.config_consensus.world import CONTENTS, NEW, OLD, OTHER, Fleet, explore, walk

number = some.integers(0, 5)
method = some.fixed_dictionaries(
    {
        "name": some.sampled_from("abc"),
        "effect": some.sampled_from(["pure", "token", "side_effect"]),
    },
    optional={
        "goalTime": number,
        "giveUp": number,
        "keyScope": some.sampled_from(["cell", "zone", "all", ""]),
        "window": number,
        "worth": number,
        "streamed": some.booleans(),
    },
)
plan = some.fixed_dictionaries(
    {"name": some.sampled_from("pqr")},
    optional={
        key: number
        for key in (
            "quotaRate",
            "storeSize",
            "ceilingRate",
            "ceilingBurst",
            "ceilingSlack",
            "maxOut",
            "pays",
        )
    },
)
some_settings = some.fixed_dictionaries(
    {
        "classes": some.lists(method, max_size=3, unique_by=lambda row: row["name"]),
        "contracts": some.lists(plan, max_size=3, unique_by=lambda row: row["name"]),
    },
    optional={
        "limits": some.fixed_dictionaries(
            {}, optional={"maxAttempts": number, "mayCancel": some.booleans()}
        ),
        "replicasOfMe": number,
        "newer": number,
        "report": some.fixed_dictionaries(
            {"fields": some.lists(some.sampled_from("xyz"), unique=True)}
        ),
    },
)


def drawn(seed):
    """A fleet, its chance and the length of its run, from a seed."""
    chance = random.Random(seed)
    fleet = Fleet(
        chance.choice((1, 2, 3, 3, 4, 5)),
        chance.choice((("a",), ("a", "b"))),
        proposals=chance.choice((1, 2, 4)),
        crashes=chance.choice((0, 1, 3, 6)),
        faults=chance.choice((0, 3, 12)),
        lost=chance.random() < 0.3,
    )
    return fleet, chance, chance.choice((20, 60, 150))


class Policy(unittest.TestCase):
    @given(some_settings, some_settings, some_settings)
    def test_the_meet_is_a_greatest_lower_bound(self, one, other, third):
        both = safe_settings.meet(one, other)
        self.assertEqual(both, safe_settings.meet(other, one))
        self.assertEqual(safe_settings.meet(one, one), canonical_settings.with_defaults(one))
        self.assertEqual(
            safe_settings.meet(both, third),
            safe_settings.meet(one, safe_settings.meet(other, third)),
        )
        self.assertTrue(safe_settings.allows(one, both) and safe_settings.allows(other, both))

    @given(some_settings, some_settings)
    def test_the_meet_allows_nothing_that_either_forbids(self, one, other):
        met = safe_settings.meet(one, other)
        for told in (
            canonical_settings.with_defaults(one),
            canonical_settings.with_defaults(other),
        ):
            methods = {row["name"]: row for row in told["classes"]}
            for row in met["classes"]:
                there = methods[row["name"]]
                self.assertEqual(
                    row["effect"] == "pure", there["effect"] == "pure"
                )  # the same command
                self.assertFalse(
                    row["effect"] == "side_effect" and there["effect"] == "token"
                )  # its key is asked for
                self.assertLessEqual(row["giveUp"], there["giveUp"])
                if there["effect"] == "side_effect":  # nothing that may have run goes again
                    self.assertEqual((row["keyScope"], row["window"]), ("none", 0))
            plans = {row["name"]: row for row in told["contracts"]}
            for row in met["contracts"]:
                for rate in ("quotaRate", "ceilingRate", "maxOut"):
                    if plans[row["name"]][rate]:
                        self.assertTrue(0 < row[rate] <= plans[row["name"]][rate])
            self.assertLessEqual(met["limits"]["maxAttempts"], told["limits"]["maxAttempts"])

    @given(some_settings, some.randoms())
    def test_what_says_the_same_has_one_digest(self, told, chance):
        mixed = dict(chance.sample(list(told.items()), len(told)))
        mixed["classes"] = chance.sample(told["classes"], len(told["classes"]))
        mixed = {"locality": "own", **mixed, "unsaid": None}
        self.assertEqual(canonical_settings.digest(told), canonical_settings.digest(mixed))
        self.assertEqual(settings_diff.describe_changes(told, mixed), [])

    @given(some_settings, some_settings)
    def test_a_change_is_told_and_only_a_change(self, one, other):
        self.assertEqual(
            not settings_diff.describe_changes(one, other),
            canonical_settings.with_defaults(one) == canonical_settings.with_defaults(other),
        )

    def test_words_of_a_change(self):
        before = {
            "classes": [{"name": "look", "effect": "pure", "giveUp": 4_000_000}],
            "contracts": [{"name": "sold", "ceilingRate": 40}],
        }
        after = {
            "classes": [{"name": "post", "effect": "side_effect"}],
            "contracts": [{"name": "sold", "ceilingRate": 20}],
            "limits": {"maxAttempts": 2},
        }
        self.assertEqual(
            settings_diff.describe_changes(before, after),
            [
                "method look: gone",
                "method post: new, effect non-idempotent",
                "plan sold: ceiling 40 to 20",
                "all: attempts 1 to 2",
            ],
        )


class Members(unittest.TestCase):
    def state(self, *possible):
        names = ("g0", "g1", "g2")
        made = [
            ballots.Generation(
                ballots.Ballot(at, ballots.Epoch(1, "a")),
                canonical_settings.digest(told),
                told,
                names,
            )
            for at, told in enumerate(CONTENTS)
        ]
        return participant.ParticipantState(
            made[0], ballots.Epoch(1, "a"), tuple(made[at] for at in possible)
        ), made

    def hear(self, state, do, generation, epoch=(1, "a"), **more):
        told = {
            "do": do,
            "epoch_of": list(epoch),
            "base": {"number": 0, "epoch": [1, "a"]},
            **generation.to_dict(),
            **more,
        }
        return participant.handle_message(state, told, lambda content: None)

    def test_a_late_commit_changes_nothing(self):
        state, made = self.state(1, 2)
        state, _ = self.hear(state, "commit", made[2])
        self.assertEqual(self.hear(state, "commit", made[1])[0].in_force, made[2])

    def test_what_was_prepared_later_stays_possible(self):
        state, made = self.state(1, 2)
        state, _ = self.hear(state, "commit", made[1])
        self.assertEqual((state.in_force, state.prepared), (made[1], (made[2],)))
        self.assertEqual(participant.admissible_settings(state), safe_settings.meet(NEW, OTHER))

    def test_what_is_refused(self):
        state, made = self.state()
        later = ballots.Generation(
            ballots.Ballot(1, ballots.Epoch(1, "a")), canonical_settings.digest(NEW), NEW
        )
        denied, _ = self.hear(state, "deny", made[1])
        for cause, given_state, message in (
            ("epoch", state, {"epoch": (0, "a")}),
            ("form", state, {"digest": "00"}),
            ("form", state, {"number": -1}),
            ("form", state, {"content": 3}),
            ("behind", state, {"base": {"number": 1, "epoch": [1, "a"]}}),
            ("past", denied, {}),
            ("form", state, {"do": "else"}),
            ("form", state, {"epoch_of": "x"}),
        ):
            with (
                self.subTest(cause=cause, **message),
                self.assertRaises(errors.MessageRejected) as found,
            ):
                self.hear(given_state, message.pop("do", "prepare"), later, **message)
            self.assertEqual(found.exception.cause, cause)
        with self.assertRaises(errors.MessageRejected) as found:
            participant.handle_message(
                state,
                {
                    "do": "prepare",
                    "epoch_of": [1, "a"],
                    "base": {"number": 0, "epoch": [1, "a"]},
                    **later.to_dict(),
                },
                lambda content: "settings.classes: wrong",
            )
        self.assertEqual(
            (found.exception.status, found.exception.text), (422, "settings.classes: wrong")
        )

    @given(
        some.dictionaries(
            some.sampled_from(["do", "epoch_of", "number", "epoch", "digest", "content", "base"]),
            some.one_of(
                some.none(),
                number,
                some.text(max_size=3),
                some.lists(number, max_size=2),
                some.sampled_from(["prepare", "commit", "deny", "promise", "content", "state"]),
            ),
        )
    )
    def test_any_message_has_an_answer(self, message):
        state, _ = self.state(1)
        try:
            after, told = participant.handle_message(state, message, lambda content: None)
            self.assertTrue(after.promised >= state.promised and "refused" not in told.to_dict())
        except errors.MessageRejected as refusal:
            self.assertIn(refusal.status, (400, 404, 409, 422))

    def test_who_stood_still_asks_again(self):
        standing = participant.ParticipantStatus("g0", ("g0", "g1", "g2"), True, 0.0)
        self.assertFalse(standing.may_admit(0.1))
        standing.on_peer_answered("g1", 0)
        self.assertTrue(standing.may_admit(0.1))
        self.assertFalse(
            standing.may_admit(0.1 + participant.STALL_LIMIT_S)
        )  # seen before anything else is told
        self.assertTrue(standing.check_stall(0.1 + participant.STALL_LIMIT_S))
        self.assertFalse(standing.knows_in_force)
        standing.on_peer_answered("g1", 0)  # an answer to what was asked before
        self.assertFalse(standing.knows_in_force)
        standing.on_peer_answered("g1", standing.stall_count)
        self.assertTrue(standing.knows_in_force)
        standing.set_roster(("g1", "g2"))
        standing.on_peer_answered("g2", standing.stall_count)
        self.assertFalse(standing.knows_in_force)  # no member: nobody tells it of changes


class Orders(unittest.TestCase):
    """All orders of messages, losses, doublings and crashes for small fleets: states counted, none broken."""

    def test_two_gateways(self):
        states, found = explore(Fleet(2, ("a",)), 99, 10_000)
        self.assertIsNone(found)
        self.assertGreater(states, 2_000)

    def test_three_gateways(self):
        states, found = explore(Fleet(3, ("a",), faults=0), 99, 10_000)
        self.assertIsNone(found)
        self.assertGreater(states, 3_000)

    def test_two_control_processes(self):
        states, found = explore(Fleet(2, ("a", "b"), crashes=0, faults=0), 99, 10_000)
        self.assertIsNone(found)
        self.assertGreater(states, 2_000)

    def test_a_control_process_that_loses_its_journal(self):
        states, found = explore(Fleet(3, ("a",), crashes=2, faults=0, lost=True), 99, 12_000)
        self.assertIsNone(found)

    def test_seeded_runs_of_up_to_five(self):
        for seed in range(2_500):
            fleet, chance, length = drawn(seed)
            self.assertIsNone(walk(fleet, chance, length), seed)


class Larger(RuleBasedStateMachine):
    """Six gateways and two control processes, in whatever order hypothesis thinks of; healed at the end."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet(6, ("a", "b"), proposals=3, crashes=6, faults=12)

    @rule(at=some.integers(0, 10_000))
    def step(self, at):
        steps = self.fleet.steps()
        if steps:
            self.fleet.take(steps[at % len(steps)])

    @invariant()
    def holds(self):
        assert self.fleet.broken() is None, self.fleet.broken()

    def teardown(self):
        wrong = self.fleet.settle()
        assert wrong is None, wrong


LargerFleets = Larger.TestCase
LargerFleets.settings = settings(
    max_examples=60, stateful_step_count=60, derandomize=True, deadline=None
)


def found_by_a_seed(name):
    def test(self):
        with planted(name):
            for seed in range(12_000):
                fleet, chance, length = drawn(seed)
                if walk(fleet, chance, length):
                    return
        self.fail("nothing found it")

    return test


class Planted(unittest.TestCase):
    """Each planted fault is found."""


for plant in PLANTS:
    setattr(Planted, "test_" + plant.replace(" ", "_"), found_by_a_seed(plant))


class Leaders(unittest.TestCase):
    def lead(self, fleet, times=30):
        for _ in range(times):
            fleet.now += notifications.POLL_INTERVAL_S / 2
            for name in fleet.members:
                if fleet.due(fleet.leaders["a"], name):
                    fleet.take(("talk", "a", name))
            fleet.leaders["a"].try_to_decide(fleet.now)
        return fleet.leaders["a"]

    def fleet(self, members=3):
        fleet = Fleet(members, ("a",))
        fleet.take(("lead", "a"))
        self.lead(fleet)
        return fleet

    def test_a_gateway_that_is_counted_out_and_answers_ends_the_change(self):
        fleet = self.fleet()
        leads = fleet.leaders["a"]
        change = leads.propose(NEW, ("g2",), "staff", fleet.now)
        self.lead(fleet)
        self.assertEqual(
            (change.outcome, change.reason), ("aborted", "g2 was counted out, and answers")
        )

    def test_one_that_is_counted_out_may_stand_still(self):
        """Nothing is decided without it before it would notice that it did."""
        fleet = self.fleet()
        leads, began = fleet.leaders["a"], fleet.now
        fleet.members["g2"].crash()
        change = leads.propose(NEW, ("g2",), "staff", fleet.now)
        while change.outcome == "preparing":
            self.lead(fleet, 1)
        self.assertEqual(change.outcome, "committed")
        self.assertGreaterEqual(fleet.now - began, 2 * participant.STALL_LIMIT_S)

    def test_what_can_not_be_proposed(self):
        fleet = self.fleet()
        leads = fleet.leaders["a"]
        for without in (("nobody",), ("g0", "g1")):
            with self.assertRaises(errors.ProposalRejected):
                leads.propose(NEW, without, "staff", fleet.now)
        first = leads.propose(NEW, (), "staff", fleet.now)
        self.assertIs(
            leads.propose(dict(NEW), (), "staff", fleet.now), first
        )  # the same one twice is one
        with self.assertRaises(errors.ProposalRejected):
            leads.propose(OTHER, (), "staff", fleet.now)
        self.lead(fleet)
        self.assertEqual(first.outcome, "committed")
        self.assertIs(leads.propose(dict(NEW), (), "staff", fleet.now), first)

    def test_a_journal_that_takes_nothing_decides_nothing(self):
        fleet = self.fleet()
        leads = fleet.leaders["a"]
        change = leads.propose(NEW, (), "staff", fleet.now)
        leads.ledger.journal.fails = "before"
        with self.assertRaises(Exception):  # noqa: B017
            for name in fleet.members:
                message = leads.build_message(name, fleet.now)
                answer = fleet.members[name].hear(leads.build_message(name, fleet.now).to_dict())
                leads.handle_answer(
                    name, message, messages.decode_answer(message, answer), fleet.now
                )
        self.assertEqual(change.outcome, "preparing")
        self.assertEqual(leads.in_force.content, OLD)
        leads.ledger.journal.fails = ""
        leads.try_to_decide(fleet.now)
        self.assertEqual(change.outcome, "committed")


class Remembered(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def states(self):
        state, made = Members().state()
        return [
            state,
            state._replace(prepared=(made[1],)),
            participant.put_in_force(state, made[1]),
        ]

    def test_what_is_saved_is_loaded(self):
        for state in self.states():
            state_store.StateStore(self.folder.name, "g0").save(state)
            kept = state_store.StateStore(self.folder.name, "g0")
            self.assertEqual(kept.load(), (state, None))
            self.assertEqual(state_store.StateStore(self.folder.name, "g1").load(), (None, None))

    def test_a_file_that_is_cut_is_known_to_be(self):
        """Cut at any byte, the last file is never taken for whole, and the one before is still there."""
        kept, states = state_store.StateStore(self.folder.name, "g0"), self.states()
        for state in states[:2]:
            kept.save(state)
        path = kept.paths[kept.sequence_number % 2]
        whole = open(path, "rb").read()
        for length in range(len(whole)):
            with open(path, "wb") as file:
                file.write(whole[:length])
            found, why = state_store.StateStore(self.folder.name, "g0").load()
            self.assertEqual(found, states[0])
            self.assertTrue(why and "\n" not in why)
        with open(path, "wb") as file:
            file.write(whole.replace(b'"version":1', b'"version":2'))
        self.assertIn(
            "expected version 1", state_store.StateStore(self.folder.name, "g0").load()[1]
        )

    def test_a_folder_that_can_not_be_written(self):
        kept, states = state_store.StateStore(self.folder.name, "g0"), self.states()
        kept.save(states[0])
        kept.folder, kept.paths = "/nowhere", ["/nowhere/0", "/nowhere/1"]
        with self.assertRaises(OSError):
            kept.save(states[1])

    def path(self):
        return os.path.join(self.folder.name, "journal.db")

    def test_the_journal_keeps_what_was_noted(self):
        kept = journal.Journal(self.path())
        kept.append({"kind": "epoch", "number": 1}, 5.0)
        with self.assertRaises(journal.JournalError) as found:  # one process at a time
            journal.Journal(self.path())
        self.assertIn("another control process has it", str(found.exception))
        kept.close()
        self.assertEqual(
            journal.Journal(self.path()).records(), [{"kind": "epoch", "number": 1, "at": 5.0}]
        )

    def test_a_journal_cut_at_any_byte_is_whole_or_refused(self):
        kept = journal.Journal(self.path())
        for at in range(40):
            kept.append({"kind": "epoch", "number": at, "text": "x" * 200}, float(at))
        kept.close()
        whole = open(self.path(), "rb").read()
        for length in [*range(0, len(whole), 509), len(whole) - 1]:
            with open(self.path(), "wb") as file:
                file.write(whole[:length])
            try:
                kept = journal.Journal(self.path())
                self.assertIn(len(kept.records()), (0, 40))  # an empty file is a new journal
                kept.close()
            except journal.JournalError as error:
                self.assertNotIn("\n", str(error))

    def test_a_damaged_journal_is_refused_by_its_first_problem_and_closed(self):
        kept = journal.Journal(self.path())
        for at in range(40):
            kept.append({"kind": "epoch", "number": at, "text": "x" * 200}, float(at))
        kept.close()
        whole = open(self.path(), "rb").read()
        with open(self.path(), "wb") as file:
            file.write(whole[:-509])
        gc.disable()  # what is left open is not closed by chance
        self.addCleanup(gc.enable)
        with self.assertRaises(journal.JournalError) as found:
            journal.Journal(self.path())
        self.assertIn("expected a whole journal, found On tree page", str(found.exception))
        descriptors = [
            os.readlink(one.path) for one in os.scandir("/proc/self/fd") if one.is_symlink()
        ]
        self.assertNotIn(os.path.realpath(self.path()), descriptors)

    def test_a_journal_of_another_version(self):
        base = sqlite3.connect(self.path())
        base.execute("CREATE TABLE records (x)")
        base.execute("PRAGMA user_version = 7")
        base.close()
        with self.assertRaises(journal.JournalError) as found:
            journal.Journal(self.path())
        self.assertIn(
            "expected a journal of version 1, found 7: start the build that wrote it",
            str(found.exception),
        )


class Sealed(unittest.TestCase):
    def test_only_who_has_the_key_is_understood(self):
        body, own = message_authentication.sign_request(b"k" * 16, {"do": "state", "to": "g0"})
        self.assertEqual(
            message_authentication.verify_request(b"k" * 16, "g0", own, body)["do"], "state"
        )
        for key, name, mark, text in (
            (b"j" * 16, "g0", own, body),
            (b"k" * 16, "g1", own, body),
            (b"k" * 16, "g0", b"", body),
            (b"k" * 16, "g0", own, body[:-1] + b" }"),
        ):
            with self.assertRaises(message_authentication.AuthenticationError):
                message_authentication.verify_request(key, name, mark, text)
        answer, mark = message_authentication.sign_response(b"k" * 16, own, {"a": 1})
        self.assertEqual(
            message_authentication.verify_response(b"k" * 16, own, mark, answer), {"a": 1}
        )
        other = message_authentication.sign_request(b"k" * 16, {"do": "state", "to": "g0"})[1]
        with self.assertRaises(
            message_authentication.AuthenticationError
        ):  # an answer to another question
            message_authentication.verify_response(b"k" * 16, other, mark, answer)
