"""Agreement among real processes, with faults between them. What a gateway admits is told by the methods that it lets
through: `before` is of generation 1 alone, `after` of generation 2 alone."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import unittest.mock

from petrellane import invariants
from petrellane.config_consensus import message_authentication
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Stream
from petrellane.testbed.clients import Customer, Method
from petrellane.testbed.fake_server import FakeServer
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec, build_settings
from petrellane.testbed.processes import Build, Process, ProcessSpec
from petrellane.testbed.records import ArrivedAttempt, ReceivedRpc, Records
from petrellane.testbed.relay import Relay
from petrellane.testbed.run_file import RunFileError, parse_run_file

BEFORE, AFTER = ("before",), ("after",)
LOAD = [
    Method("look", 0.3),
    Method("lodge", 0.1, "deduplicated"),
    Method("post", 0.1, "non-idempotent"),
    Method("before", 0.25),
    Method("after", 0.25),
]


@contextlib.contextmanager
def fleet(gateways=3, rate=150.0, plants=None, control_plant=None, **more):
    """A fleet under load that has generation 1 in force; `plants` maps a gateway's number to a plant."""
    shape = FleetSpec(
        gateways=gateways,
        agreement=True,
        rate=rate,
        methods=LOAD,
        proves={"before": 1, "after": 2},
        settings=build_settings(SettingsSpec(gateways)),
        work=0.004,
        **more,
    )
    with LoopbackFleet(shape) as lab:
        for number, plant in (plants or {}).items():
            plant_in(lab.gateways[number], plant)
        lab.start(controls=())
        lab.controls["control"] = control = control_of(lab, "control", control_plant)
        control.start()
        lab.run_until(
            lambda: control.ask("status").get("state") == "leading", "a control process that leads"
        )
        told = lab.change_settings(first(lab))
        assert told["outcome"] == "committed", told
        lab.clients.start()
        lab.run_for(0.3)
        yield lab


def first(lab):
    return build_settings(SettingsSpec(lab.spec.gateways, extra_methods=BEFORE))


def second(lab):
    return build_settings(SettingsSpec(lab.spec.gateways, extra_methods=AFTER))


def control_of(lab, name, plant=None, step="", **more):
    from petrellane.testbed.fleet_control import FleetControl

    control = FleetControl(lab, name, **more)
    if plant:
        plant_in(control, plant, step)
    return control


def plant_in(party, plant, step=""):
    party.build, party.environ = (
        Build(module="tests.integration.testbed.planted"),
        {"LAB_PLANT": plant, "LAB_STEP": step},
    )


class Judged(unittest.TestCase):
    """What every run is asked at its end."""

    def judge(self, lab, broken=(), crashes=0):
        lab.finish_load()
        verdict = lab.verdict()
        self.assertEqual(
            sorted(verdict.counts), sorted(broken), f"{verdict.violations[:3]}\n{lab.timeline()}"
        )
        self.assertEqual(len(lab.crashes), crashes, lab.crashes)
        self.assertFalse(lab.faults, lab.faults[:2])
        return verdict

    def settles(self, lab, number, patience=10.0):
        lab.run_until(
            lambda: lab.agreed_generation() == number, f"generation {number} everywhere", patience
        )

    def admits(self, lab, seconds=0.5):
        """The probing methods that gateways let through from now on, once what is out is answered."""
        lab.run_for(0.3)
        before = dict(lab.records.counts)
        lab.run_for(seconds)
        return {
            name
            for name in ("before", "after")
            if lab.records.counts.get((name, "ok"), 0) > before.get((name, "ok"), 0)
        }


class Changes(Judged):
    def test_a_change_without_a_fault_pushes_nothing_back(self):
        with fleet() as lab:
            self.assertEqual(self.admits(lab), {"before"})
            self.assertEqual(lab.change_settings(second(lab))["reached"], 3)
            self.assertEqual(self.admits(lab), {"after"})
            self.judge(lab)
            self.assertFalse(
                [kind for kind in lab.records.counts if kind[1] == invariants.REJECTED]
            )

    def test_open_rpcs_keep_the_method_that_is_dropped(self):
        with fleet(rate=120.0) as lab:
            for host in lab.hosts:
                host.slowdown = 40.0
            lab.run_until(
                lambda: (
                    sum(
                        one.received.method == "before"
                        for one in lab.records.checker.open_rpcs.by_id.values()
                    )
                    > 5
                ),
                "RPCs out",
            )
            lab.clients.stop()
            lab.run_for(0.03)  # the last of them are taken by now
            before = dict(lab.records.counts)
            self.assertEqual(lab.change_settings(second(lab))["reached"], 3)
            self.judge(lab)
            after = {
                kind: number - before.get(kind, 0) for kind, number in lab.records.counts.items()
            }
            answers = {
                answer
                for (method, answer), number in after.items()
                if number and method == "before"
            }
            self.assertIn("ok", answers)
            self.assertLessEqual(
                answers, {"ok", "pushed back"}
            )  # one of much work may be given up, as ever

    def doubt(self, plant=None):
        """Three of seven are cut off between the decision and its word, and healed later."""
        with fleet(7, plants=dict.fromkeys(range(7), plant) if plant else None) as lab:
            control, names = lab.controls["control"], ["g4", "g5", "g6"]
            for relay in lab.between("agent", to=names, of=["control"]):
                relay.fault("late", 0.15)
            number = control.ask("propose", settings=second(lab))["number"]
            lab.run_until(lambda: control.events[-1].get("number") == number, "a decision")
            lab.partition(names)
            self.settled = lab.run_until(
                lambda: lab.agreed_generation(["g0", "g1", "g2", "g3"]) == number,
                "a majority in force",
            )
            allowed = self.admits(lab, 1.0)
            in_doubt = [one.last_event("generation")["possible"] for one in lab.gateways[4:]]
            lab.heal()
            self.settles(lab, number, 4.0)
            lab.finish_load()
            verdict = lab.verdict()
            return verdict.counts, allowed, in_doubt

    def test_who_is_cut_off_in_doubt_admits_what_both_allow(self):
        counts, allowed, in_doubt = self.doubt()
        self.assertEqual((counts, allowed, in_doubt), ({}, {"after"}, [[2], [2], [2]]))

    def test_without_the_meet_that_breaks(self):
        self.assertIn("agreed", self.doubt("no_meet")[0])

    def absent(self, plant=None, old=True):
        """One is down for the whole change and starts later with its old file, cut off from the control process."""
        with fleet(4, plants={3: plant} if plant else None) as lab:
            late = lab.gateways[3]
            late.kill()
            told = lab.change_settings(second(lab))
            self.assertEqual(
                (told["outcome"], told["absent"], told["owed"]), ("committed", ["g3"], [])
            )
            lab.run_for(0.7)
            for relay in lab.between("agent", to=["g3"], of=["control"]):
                relay.fault("cut")
            if old:  # a new machine: not even its memory is left
                for name in os.listdir(os.path.join(late.folder, "state")):
                    os.unlink(os.path.join(late.folder, "state", name))
            late.start()
            lab.run_until(lambda: late.ready, "g3 serves")
            lab.run_for(1.0)
            found = lab.agreed_generation(["g3"])
            lab.heal()
            lab.finish_load()
            return lab.verdict().counts, found

    def test_who_was_down_asks_before_it_serves(self):
        self.assertEqual(self.absent(), ({}, 2))

    def test_without_asking_that_breaks(self):
        self.assertIn("agreed", self.absent("knows_at_once", old=False)[0])

    def test_who_hears_of_too_few_does_not_serve(self):
        with fleet(5) as lab:
            late = lab.gateways[4]
            late.kill()
            lab.partition(["g4"])
            late.start()
            lab.run_for(2.0)
            self.assertFalse(late.ready)
            lab.heal()
            lab.run_until(lambda: late.ready, "g4 serves")
            self.judge(lab)

    def stopped(self, plant=None):
        """One is stopped from before the prepare to after the decision, and goes on with RPCs in its socket buffers; staff
        vouched that it had ended."""
        with fleet(4, plants={3: plant} if plant else None, rate=300.0) as lab:
            lab.partition(["g3"])  # or it would be told within a second
            lab.gateways[3].pause()
            lab.run_for(0.3)
            told = lab.change_settings(second(lab), without=["g3"])
            self.assertEqual(told["outcome"], "committed", told)
            lab.run_for(0.8)
            lab.gateways[3].resume()
            lab.run_for(1.0)
            pushed = sum(
                number
                for (_, answer), number in lab.records.counts.items()
                if answer == invariants.REJECTED
            )
            lab.heal()
            self.settles(lab, 2)
            lab.finish_load()
            return lab.verdict().counts, pushed

    def test_who_was_stopped_meanwhile_admits_nothing_before_it_knows(self):
        counts, pushed = self.stopped()
        self.assertEqual(counts, {})
        self.assertGreater(pushed, 0)  # what waited there is answered at once

    def test_without_the_fence_that_breaks(self):
        self.assertIn("agreed", self.stopped("never_stood_still")[0])

    def silent(self, plant=None):
        """One says nothing all along: it may be serving."""
        with fleet(4, control_plant=plant) as lab:
            lab.partition(["g3"])
            control = lab.controls["control"]
            number = control.ask("propose", settings=second(lab))["number"]

            def over():
                told = control.ask("change", number=number)
                return told if told["outcome"] != "preparing" else None

            told = lab.run_until(over, "an end")
            lab.run_for(1.2)
            allowed = self.admits(lab, 0.8)
            lab.heal()
            lab.run_for(1.5)
            lab.finish_load()
            return (
                told["outcome"],
                told["why"],
                allowed,
                lab.agreed_generation(),
                lab.verdict().counts,
            )

    def test_a_silent_gateway_ends_the_change(self):
        outcome, why, allowed, number, counts = self.silent()
        self.assertEqual((outcome, allowed, number, counts), ("aborted", {"before"}, 1, {}))
        self.assertIn("no word from g3", why)

    def test_where_silent_counts_as_down_that_breaks(self):
        self.assertIn("agreed", self.silent("silent_is_absent")[4])

    def test_where_a_majority_is_enough_that_breaks(self):
        self.assertIn("agreed", self.silent("majority_is_enough")[4])

    def test_answers_lost_requests_arriving(self):
        with fleet() as lab:
            relays = lab.between("agent", of=["control"])
            for relay in relays:
                relay.fault("mute")
            told = lab.change_settings(second(lab))
            self.assertEqual(told["outcome"], "aborted")
            self.assertEqual(self.admits(lab, 0.4), set())  # all in doubt: what both allow
            lab.heal()
            self.settles(lab, 1)
            self.assertEqual(self.admits(lab), {"before"})
            self.judge(lab)

    def test_a_refusal_by_an_older_build(self):
        with fleet(plants={1: "refuses"}) as lab:
            told = lab.change_settings(
                build_settings(SettingsSpec(3, extra_methods=("before", "x", "y")))
            )
            self.assertEqual(
                (told["outcome"], told["why"]),
                ("aborted", "refused by g1: settings.classes: expected three at most"),
            )
            self.settles(lab, 1)
            self.judge(lab)

    def test_clocks_and_memory_that_can_not_be_written(self):
        with fleet() as lab:
            lab.gateways[1].kill()
            lab.gateways[1].skew_s = 2.0
            lab.gateways[1].start()
            lab.run_until(lambda: lab.gateways[1].ready, "g1 serves with its clock off")
            folder = os.path.join(lab.gateways[2].folder, "state")
            os.rename(folder, folder + ".away")
            told = lab.change_settings(second(lab))
            self.assertEqual(told["outcome"], "aborted")
            self.assertIn("refused by g2", told["why"])
            os.rename(folder + ".away", folder)
            lab.records.generation_by_method["after"] = 3
            self.assertEqual(lab.change_settings(second(lab))["reached"], 3)
            self.judge(lab)

    def test_what_was_learnt_without_a_folder_is_kept(self):
        """A gateway that can't write learns from others all the same, and standing still takes it no step back."""
        with fleet() as lab:
            one = lab.gateways[2]
            one.kill()
            self.assertEqual(lab.change_settings(second(lab))["absent"], ["g2"])
            plant_in(one, "unwritable")
            one.start()
            lab.run_until(lambda: one.ready, "g2 serves")
            self.assertEqual(lab.agreed_generation(["g2"]), 2)
            one.pause()
            lab.run_for(1.3)
            one.resume()
            self.assertEqual(self.admits(lab, 1.0), {"after"})
            numbers = [event["number"] for event in one.events if event["event"] == "generation"]
            self.assertEqual(numbers[numbers.index(2) :], [2])  # never back to the first
            self.judge(lab)

    def by_hand(self, plant=None):
        with fleet(plants=dict.fromkeys(range(3), plant) if plant else None) as lab:
            one = lab.gateways[0]
            one.write_config(
                {
                    **one.config(),
                    "settings": {
                        **build_settings(SettingsSpec(3, extra_methods=AFTER)),
                        "locality": "z",
                    },
                }
            )
            one.process.signal(signal.SIGHUP)
            lab.run_until(lambda: one.last_event("reloaded"), "the file is read")
            allowed = self.admits(lab)
            lab.finish_load()
            lab.verdict()
            return allowed, one.last_event("drift")

    def test_a_file_by_hand_is_told_as_drift(self):
        allowed, drift = self.by_hand()
        self.assertEqual(allowed, {"before"})
        self.assertIn("method before: gone", drift["lines"])

    def test_without_that_a_file_by_hand_is_taken(self):
        self.assertEqual(self.by_hand("takes_the_file")[0], {"before", "after"})

    def test_a_process_that_follows_has_the_generation(self):
        with fleet(follow=True) as lab:
            lab.gateways[0].replace()
            self.assertEqual(lab.change_settings(second(lab))["reached"], 3)
            lab.run_for(0.5)
            self.assertEqual(self.admits(lab), {"after"})
            self.judge(lab)

    def test_a_drained_gateway_takes_part(self):
        with fleet() as lab:
            one = lab.gateways[1]
            lab.fronts[1].taken_in = False
            staff(one, "drain")
            self.assertEqual(lab.change_settings(second(lab))["reached"], 3)
            staff(one, "resume")
            lab.fronts[1].taken_in = True
            self.assertEqual(self.admits(lab), {"after"})
            self.judge(lab)

    def test_a_roster_with_one_too_few_and_one_too_many(self):
        with fleet(4) as lab:
            control = lab.controls["control"]
            control.kill()
            ways = {one.name: one.management_addresses("control") for one in lab.gateways[:3]}
            control.roster = ways | {
                "ghost": "%s:%d" % (lab.addresses.ip, lab.addresses.next_port())
            }
            control.start()
            lab.run_until(lambda: control.ask("status").get("state") == "leading", "it leads again")
            told = lab.change_settings(
                second(lab)
            )  # g3 is a member of what is in force: it is asked all the same
            self.assertEqual(told["outcome"], "aborted")
            self.assertIn("g3 (no address in the roster)", told["why"])
            lab.gateways[3].kill()  # it is taken off for good, by staff's word
            lab.records.generation_by_method["after"] = 3
            told = lab.change_settings(second(lab), without=["g3"])
            self.assertEqual((told["outcome"], told["absent"]), ("committed", ["ghost"]))
            lab.gateways[3].start()
            lab.run_until(
                lambda: lab.gateways[3].last_event("not_on_roster"),
                "g3 is told that it is no member",
            )
            self.assertFalse(lab.gateways[3].ready)
            self.judge(lab)


class Ceilings(Judged):
    def test_a_ceiling_is_lowered_everywhere_with_the_counter_down(self):
        old, new = (
            build_settings(SettingsSpec(3, quota=400.0, hard_limit=ceiling))
            for ceiling in (60.0, 20.0)
        )
        shape = FleetSpec(
            gateways=3,
            agreement=True,
            rate=150.0,
            settings=old,
            work=0.002,
            customers=[Customer(7, "sold", gateway_count=3)],
        )
        with LoopbackFleet(shape) as lab:
            lab.start()
            lab.clients.start()
            lab.run_for(1.5)
            lab.counter.quiet = True
            lab.run_for(0.5)
            self.assertEqual(lab.change_settings(new)["outcome"], "committed")
            lab.run_for(1.0)
            lab.records.checker.terms.hard_limits["sold"] = invariants.HardLimit(
                20.0, 20.0, 2.0 + 0.15 * 20
            )
            level, at = lab.records.checker.hard_limits.buckets["%016x" % 7]
            lab.records.checker.hard_limits.buckets["%016x" % 7] = min(level, 20.0), at
            began, ok = lab.records.now(), self.ok(lab)
            lab.run_for(3.0)
            served = (self.ok(lab) - ok) / (lab.records.now() - began)
            self.judge(lab)
            self.assertLess(served, 22.0)

    @staticmethod
    def ok(lab):
        return sum(number for (_, answer), number in lab.records.counts.items() if answer == "ok")


class Kills(Judged):
    """Whoever is killed at any step, another control process brings all to one generation."""

    def control_killed(self, step, empty=False):
        with fleet() as lab:
            old = lab.controls["control"]
            old.kill()
            dying = lab.controls["control"] = control_of(
                lab, "control", "steps", step, journal=old.journal
            )
            dying.start()
            if not step.startswith("epoch"):
                lab.run_until(lambda: dying.ask("status").get("state") == "leading", "it leads")
                dying.ask("propose", settings=second(lab))
            lab.run_until(lambda: lab.crashes, "it ends at its step")
            lab.crashes.clear()  # that one was meant
            lab.run_for(0.7)
            serving = self.admits(lab, 0.6)
            journal = {"journal": os.path.join(lab.folder, "empty.db") if empty else old.journal}
            heir = lab.controls["control"] = control_of(lab, "heir", **journal)
            heir.start()
            lab.run_until(lambda: heir.ask("status").get("settled"), "the next one leads", 15)
            status = heir.ask("status")
            self.settles(lab, status["in_force"]["number"])
            allowed = self.admits(lab)
            lab.finish_load()
            committed = {1: True, 2: "after" in allowed}
            for number, decided in committed.items():
                lab.records.add(invariants.GenerationDecided(lab.records.now(), number, decided))
            verdict = lab.records.close()
            self.assertEqual(
                verdict.counts, {}, f"{step}: {verdict.violations[:2]}\n{lab.timeline()}"
            )
            return serving, allowed

    def test_before_and_after_each_step(self):
        for step, meanwhile, then in (
            ("epoch before", {"before"}, {"before"}),
            ("epoch after", {"before"}, {"before"}),
            ("proposed before", {"before"}, {"before"}),
            ("proposed after", {"before"}, {"before"}),
            ("decided before", set(), {"before"}),
            ("decided after", set(), {"after"}),
        ):
            with self.subTest(step):
                self.assertEqual(self.control_killed(step), (meanwhile, then))

    def test_with_an_empty_journal(self):
        for step in (
            "decided before",
            "decided after",
        ):  # nobody can tell: the settings in force come again
            with self.subTest(step):
                self.assertEqual(self.control_killed(step, empty=True), (set(), {"before"}))

    def test_a_gateway_killed_at_each_write(self):
        for step in (
            "2 before",
            "2 after",
            "3 before",
            "3 after",
        ):  # 1: at its start, 2: the prepare, 3: the commit
            with self.subTest(step), fleet() as lab:
                one = lab.gateways[2]
                one.kill()
                plant_in(one, "saved", step)
                one.start()
                lab.run_until(lambda one=one: one.ready, "g2 serves")
                lab.run_for(1.2)  # its memory was written at the start, and the epoch is an old one
                number = lab.controls["control"].ask("propose", settings=second(lab))["number"]
                lab.run_until(lambda: lab.crashes, "it ends at its write")
                lab.crashes.clear()
                one.build, one.environ = Build(), {}
                one.start()
                control = lab.controls["control"]
                told = lab.run_until(
                    lambda number=number, control=control: control.ended_change(number),
                    "an end of the change",
                )
                self.assertIn(told["outcome"], ("committed", "aborted"))
                self.settles(lab, 2 if told["outcome"] == "committed" else 1)
                self.judge(lab)

    def test_a_gateway_that_is_started_before_its_end_was_reported(self):
        """What its predecessor had received is answered by nobody, and sent again by nobody."""
        with fleet() as lab:
            gateway = lab.gateways[2]

            def received():
                open_rpcs = lab.records.open_rpcs
                return {name for name, rpc in open_rpcs.items() if rpc.gateway == gateway.name}

            lab.run_until(received, "an RPC that g2 has received")
            gateway.process.popen.kill()  # not by the fleet, which learns it from its output alone
            gateway.process.popen.wait()
            gateway.start()
            self.assertEqual(received(), set())
            self.assertEqual([crash.name for crash in lab.crashes], [gateway.name])
            lab.run_until(lambda: gateway.ready, "g2 serves")
            self.judge(lab, crashes=1)

    def test_the_end_is_reported_in_the_turn_of_the_last_line(self):
        """Else clients of a gateway that logs and ends see its connections close before that."""
        events, ends = [], []
        scheduler = Scheduler()
        with tempfile.TemporaryDirectory() as folder:
            process = Process(
                scheduler,
                ProcessSpec("writer", [], folder, build=Build(module="platform")),
                lambda _, event: events.append(event),
                ends.append,
            )
            self.addCleanup(process.close)
            process.popen.wait()
            scheduler.run_once(0)
            self.assertEqual(len(events), 1)
            self.assertEqual(ends, [process])

    def test_the_control_process_and_a_gateway_killed_together(self):
        with fleet() as lab:
            control, one = lab.controls["control"], lab.gateways[2]
            number = control.ask("propose", settings=second(lab))["number"]
            lab.run_until(lambda: control.events[-1].get("number") == number, "a decision")
            control.kill()
            one.kill()
            one.start()  # it asks the other two, of which each may be in doubt or not
            lab.run_until(lambda: one.ready, "g2 serves without a control process")
            lab.run_for(0.5)
            control.start()
            lab.run_until(lambda: control.ask("status").get("settled"), "it leads again")
            self.settles(lab, number)
            self.judge(lab)

    def test_two_control_processes_at_once(self):
        with fleet() as lab:
            other = lab.controls["other"] = control_of(lab, "other")
            other.start()
            lab.run_until(lambda: other.ask("status").get("state") == "leading", "the other leads")
            lab.run_until(
                lambda: lab.controls["control"].ask("status").get("state") == "deposed",
                "the first is deposed",
            )
            self.assertIn("refused", lab.controls["control"].ask("propose", settings=first(lab)))
            number = other.ask("propose", settings=second(lab))["number"]
            self.assertEqual(
                lab.run_until(lambda: other.ended_change(number), "an end")["outcome"],
                "committed",
            )
            self.judge(lab)


class Staff(Judged):
    """The command line, and who calls without a key."""

    def called(self, lab, *words, **environ):
        ended = []
        process = subprocess.Popen(
            [sys.executable, "-m", "petrellane", "settings", *words],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={**os.environ, **environ},
            text=True,
        )
        lab.run_until(lambda: process.poll() is not None, f"settings {words[0]} ends", 20)
        ended.append(process.stdout.read())
        process.stdout.close()
        return process.returncode, ended[0].strip()

    def test_exit_codes_and_words(self):
        with fleet() as lab:
            control = ["--control", lab.controls["control"].file]
            file = os.path.join(lab.folder, "new.json")

            def write(told):
                with open(file, "w") as out:
                    json.dump(told, out)

            write({"settings": second(lab)})
            code, said = self.called(lab, "propose", file, *control)
            self.assertEqual((code, said), (0, "generation 2: in force at 3 of 3"))
            wrong = second(lab)
            wrong["classes"][0]["giveUp"] = 0
            write(wrong)
            code, said = self.called(lab, "propose", file, *control)
            self.assertEqual(
                (code, said),
                (2, "refused: settings.classes[0].giveUp: expected a number above 0, found 0"),
            )
            write({"classes": second(lab)["classes"]})
            self.assertEqual(
                self.called(lab, "propose", file, *control),
                (2, "refused: settings.contracts: missing, expected a list of objects"),
            )
            self.assertEqual(
                self.called(lab, "diff", "1", "2", *control)[1].splitlines()[0],
                "method after: new, effect idempotent, deadline 2 s, soft deadline 1 s, utility 1",
            )
            code, said = self.called(lab, "back", "1", *control, "--json")
            self.assertEqual(
                (code, json.loads(said)["number"], json.loads(said)["outcome"]), (0, 3, "committed")
            )
            self.assertEqual(len(self.called(lab, "history", *control)[1].splitlines()), 3)
            self.assertIn("generation 3", self.called(lab, "status", *control)[1])
            self.assertEqual(self.called(lab, "show", "9", *control)[0], 2)
            lab.gateways[1].pause()
            write(second(lab))
            code, said = self.called(lab, "propose", file, *control)
            self.assertEqual((code, said[:44]), (4, "generation 4: aborted: no word from g1 (noth"))
            lab.gateways[1].resume()
            lab.controls["control"].kill()
            self.assertEqual(self.called(lab, "propose", file, *control)[0], 5)
            with open(os.path.join(lab.folder, "bad.toml"), "w") as out:
                out.write(
                    'name = "c"\nlisten = "127.0.0.1:1"\njournal = "j"\nkey_file = "key"\n[gateways]\n'
                    'g0 = "127.0.0.1:1"\ng1 = "127.0.0.1:1"\n'
                )
            code, said = self.called(lab, "status", "--control", out.name)
            self.assertEqual(
                (code, said),
                (2, "petrellane: gateways.g1: expected an address of its own, found that of g0"),
            )

    def test_who_has_no_key_changes_nothing(self):
        with fleet(1) as lab:
            one = lab.gateways[0]
            for body, mark, status in (
                (b'{"do":"promise","epoch_of":[9,"x"],"to":"g0"}', "0" * 64, 401),
                (b"{", "", 401),
            ):
                head = f"POST /-/agreement HTTP/1.1\r\nContent-Length: {len(body)}\r\nPetrellane-Seal: {mark}\r\n\r\n"
                self.assertEqual(status_of(one, lab, head.encode() + body), status)
            self.assertEqual(status_of(one, lab, b"POST /-/agreement HTTP/1.1\r\n\r\n"), 411)
            self.assertEqual(
                status_of(
                    one, lab, b"POST /-/agreement HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"
                ),
                413,
            )
            self.assertEqual(status_of(one, lab, b"GET /-/agreement HTTP/1.1\r\n\r\n"), 405)
            control = lab.controls["control"]
            self.assertEqual(control.ask("status")["gateways"]["g0"]["state"], "in force")
            for age, statuses in (
                (0.0, (200, 401)),
                (100.0, (401, 401)),
            ):  # staff's call counts once, and while it is new
                with unittest.mock.patch("time.time", lambda true=time.time, age=age: true() - age):
                    body, own = message_authentication.sign_request(
                        lab.key, {"do": "history", "to": "control"}
                    )
                head = (
                    f"POST /-/settings HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
                    f"Petrellane-Seal: {own.decode()}\r\n\r\n"
                )
                for status in statuses:
                    self.assertEqual(status_of(control, lab, head.encode() + body), status)


def status_of(party, lab, data):
    """The status that a gateway's management, or a control process, answers some bytes with."""
    port = party.management_port if party in lab.gateways else party.port
    with socket.create_connection((lab.addresses.ip, port), 2) as sock:
        sock.sendall(data)
        sock.setblocking(False)
        found = []

        def answered():
            with contextlib.suppress(BlockingIOError):
                found.append(sock.recv(4096))
            return found

        lab.run_until(answered, "an answer of staff's listener")
    return int(found[0].split(b" ")[1])


def staff(gateway, call):
    assert status_of(gateway, gateway.fleet, f"POST /-/{call} HTTP/1.1\r\n\r\n".encode()) == 200


class Echo(FakeServer):
    def serve(self, stream):
        while True:
            stream.fill()
            stream.write(bytes(stream.buffer))
            stream.buffer.clear()


class Relays(unittest.TestCase):
    """Each fault does what it says, seen from both ends."""

    def setUp(self):
        self.scheduler = Scheduler()
        self.echo = Echo(self.scheduler)
        self.relay = Relay(self.scheduler, self.echo.address)
        self.addCleanup(self.echo.close)
        self.addCleanup(self.relay.close)

    def run_for(self, call, patience=5.0):
        """Run a call in a greenlet to its end; what it gave."""
        told = []

        def run():
            told.append(call())

        self.scheduler.spawn(run)
        until = time.monotonic() + patience
        while not told and time.monotonic() < until:
            self.scheduler.run_once(10)
        return told[0]

    def dial(self):
        from petrellane.testbed.fake_server import LIMITS

        return Stream.dial(self.scheduler, LIMITS, self.relay.address, 0.3)

    def ask(self, stream, text=b"hello", patience=0.3):
        stream.write(text)
        try:
            while len(stream.buffer) < len(text or b"hello"):
                stream.fill(patience)
        except Exception as error:
            return type(error).__name__, bytes(stream.buffer)
        found = bytes(stream.buffer)
        stream.buffer.clear()
        return found

    def test_faults(self):
        def play():
            stream = self.dial()
            said = [self.ask(stream)]
            self.relay.fault("cut")
            said.append(self.ask(stream))
            self.relay.heal()
            said.append(self.ask(stream, b""))  # it was held, not lost
            self.relay.fault("late", 0.1)
            began = self.scheduler.monotonic()
            said.append((self.ask(stream, patience=1.0), self.scheduler.monotonic() - began > 0.2))
            self.relay.heal()
            self.relay.fault("half", 3)
            said.append(self.ask(stream))
            self.relay.heal()
            self.relay.fault("reset")
            said.append(self.ask(stream)[0])
            for fault in ("mute", "deaf"):
                stream = self.dial()
                self.relay.fault(fault)
                said.append(self.ask(stream))
                self.relay.heal()
                said.append(self.ask(stream)[0])
            for fault in ("refuse", "hang"):
                self.relay.fault(fault)
                try:
                    self.dial()
                except OSError as error:
                    said.append(type(error).__name__)
                self.relay.heal()
            self.relay.fault("lossy", 1.0)
            said.append(self.ask(self.dial()))
            self.relay.heal()
            return said + [self.ask(self.dial())]

        self.assertEqual(
            self.run_for(play),
            [
                b"hello",
                ("TimeoutError", b""),
                b"hello",
                (b"hello", True),
                ("TimeoutError", b"hel"),
                "Closed",
                ("TimeoutError", b""),
                "Closed",
                ("TimeoutError", b""),
                "Closed",
                "ConnectionRefusedError",
                "TimeoutError",
                ("TimeoutError", b""),
                b"hello",
            ],
        )


class Order(unittest.TestCase):
    """What two sockets tell in the wrong order within a long turn of the rig is no break; what is wrong is told."""

    def told(self, turns):
        clock = [0.0]
        methods, groups = (
            {"post": invariants.MethodRule("deduplicated", "all", 9.0)},
            {"a": (1, "z"), "b": (1, "z")},
        )
        records = Records(invariants.Terms(methods, {}, groups), lambda: clock[0])
        records.on_received(ReceivedRpc("r", "g0", "c", "free", "post", 1.0, 2.0))
        first = records.on_attempt_arrived(ArrivedAttempt("r", "a", 0.1))
        for _ in range(5):
            records.turns, clock[0] = records.turns + 1, clock[0] + 0.1
        records.on_attempt_arrived(ArrivedAttempt("r", "b", 0.1))
        for _ in range(turns):
            records.turns += 1
        clock[0] += 0.2  # the turn takes its time
        records.on_gateway_killed("other")
        records.on_attempt_ended(first, "late")
        return records.close().counts

    def test_an_end_that_is_read_late_in_a_long_turn(self):
        self.assertEqual(self.told(0), {})
        self.assertEqual(self.told(1), {})

    def answered_first(self, stood_still):
        """An answer that is read before the host's side of the call-out that led to it."""
        clock = [0.0]
        records = Records(
            invariants.Terms({"look": invariants.MethodRule("idempotent")}, {}, {}),
            lambda: clock[0],
        )
        records.turns = 10
        records.on_received(ReceivedRpc("r", "g0", "c", "free", "look", 1.0, 2.0))
        if stood_still:
            records.last_stall = records.turns
        records.on_answered("r", invariants.REJECTED, "look")
        records.on_attempt_ended(records.on_attempt_arrived(ArrivedAttempt("r", "a", 0.1)), "late")
        return records.close().counts

    def test_what_hosts_got_while_the_rig_stood_still_comes_before_the_answer(self):
        self.assertEqual(self.answered_first(True), {})

    def test_what_is_sent_after_the_answer_is_told_where_it_did_not(self):
        self.assertEqual(self.answered_first(False), {"lost": 1})

    def test_an_end_that_comes_two_turns_later(self):
        self.assertEqual(self.told(2), {"twice": 1})

    def left(self, at, sent, came=None):
        """A client with 2 s of patience leaves, and a call-out comes to a host after that."""
        clock, calls = [0.0], []
        records = Records(
            invariants.Terms(
                {"look": invariants.MethodRule("idempotent")}, {}, {}, answer_slack=0.0
            ),
            lambda: clock[0],
            lambda seconds, call: calls.append((clock[0] + seconds, call)),
        )
        records.on_received(ReceivedRpc("r", "g0", "c", "free", "look", 1.0, 2.0))
        clock[0] = at
        records.on_client_disconnected("r")
        (due, told), clock[0] = calls[0], at + sent
        if sent < due - at:
            records.on_attempt_ended(
                records.on_attempt_arrived(ArrivedAttempt("r", "a", 0.1, read_at=came)), "late"
            )
        records.turns, clock[0] = 10, max(due, at + sent)
        told()
        if sent >= due - at:
            records.on_attempt_ended(
                records.on_attempt_arrived(ArrivedAttempt("r", "a", 0.1, read_at=came)), "late"
            )
        return records.close().counts

    def test_what_crosses_a_client_that_leaves_in_its_last_moment_is_no_fault(self):
        self.assertEqual(self.left(1.98, 0.03), {})

    def test_a_client_that_left_in_its_last_moment_is_owed_no_answer(self):
        self.assertEqual(self.left(1.98, 0.09), {})

    def test_an_attempt_that_begins_long_after_its_client_left_is_told(self):
        self.assertEqual(self.left(1.0, 0.15), {"lost": 1})

    def test_an_attempt_that_began_in_time_and_was_held_up_on_its_way_is_not(self):
        self.assertEqual(self.left(1.0, 0.15, came=1.05), {})


class Hosts(Judged):
    """What happens between gateways and hosts, judged from the host list that each gateway has heard and what hosts get."""

    def played(self, plant=None, work=0.01, seconds=2.0, rate=150.0, hosts=6, slots=8, **shape):
        """A fleet with relays to hosts in the midst of its load; gives the lab, and its verdict after `do`."""
        shape = {
            "relays": ("discovery", "hosts"),
            "settings": build_settings(SettingsSpec(3)),
            **shape,
        }
        with LoopbackFleet(
            FleetSpec(gateways=3, hosts=hosts, rate=rate, work=work, slots=slots, **shape)
        ) as lab:
            for one in lab.gateways:
                if plant:
                    plant_in(one, plant)
            lab.start()
            lab.clients.start()
            lab.run_for(0.5)
            self.do(lab)
            lab.run_for(seconds)
            lab.finish_load()
            return lab, lab.verdict()

    def drains(self, plant=None):
        def do(lab):
            for host in lab.hosts[:2]:
                lab.discovery.put(host.name, host.host_port, "terminating")
            lab.run_for(1.7)  # the grace of the lab, and what is out
            self.before = [host.ran for host in lab.hosts]

        self.do = do
        lab, verdict = self.played(plant, seconds=0.8)
        return [
            host.ran - before for host, before in zip(lab.hosts, self.before, strict=True)
        ], verdict

    def test_a_host_that_drains_gets_nothing_more(self):
        ran, verdict = self.drains()
        self.assertEqual((ran[:2], verdict.counts), ([0, 0], {}), verdict.violations[:2])
        self.assertGreater(min(ran[2:]), 0)
        self.assertGreaterEqual(len([told for told in verdict.nearest.values() if told]), 1)

    def test_who_goes_on_to_one_that_drains_is_told(self):
        self.assertEqual(list(self.drains("goes_on_to_drained")[1].counts), ["drains"])

    def test_a_drain_that_a_gateway_has_not_heard_of_binds_it_not(self):
        def do(lab):
            for relay in lab.between("discovery", to=["g0"]):
                relay.fault("cut")
            lab.discovery.put("h0", lab.hosts[0].host_port, "terminating")
            lab.run_for(2.5)
            self.late = {
                one.gateway
                for one in lab.records.history
                if isinstance(one, invariants.AttemptSent)
                and one.host == "h0"
                and one.at > lab.records.now() - 0.8
            }
            lab.heal()

        self.do = do
        _, verdict = self.played(seconds=2.0)
        self.assertEqual((self.late, verdict.counts), ({"g0"}, {}), verdict.violations[:2])

    def cold(self, plant=None):
        """One of four hosts starts again, cold, at three quarters of what all can do."""

        def do(lab):
            host = lab.hosts[0]
            host.crash()
            lab.discovery.put(host.name, host.host_port, "terminated")
            lab.run_for(0.3)
            host.start()
            lab.discovery.put(host.name, host.host_port, since=host.started_at)
            self.before = host.ran

        self.do = do
        lab, verdict = self.played(
            plant,
            hosts=4,
            slots=1,
            work=0.01,
            rate=220.0,
            seconds=4.0,
            settings=build_settings(SettingsSpec(3, slow_start_s=8.0, slow_start_minimum=0.05)),
        )
        return lab.hosts[0].ran - self.before, verdict

    def test_a_host_that_starts_cold_is_not_pushed_over(self):
        ran, verdict = self.cold()
        self.assertEqual(verdict.counts, {}, verdict.violations[:2])
        self.assertGreater(ran, 3)

    def test_who_pushes_a_cold_host_over_is_told(self):
        self.assertEqual(list(self.cold("emptiest_first")[1].counts), ["cold"])

    FAULTS = (
        ("cut", 1.0),
        ("mute", 1.0),
        ("deaf", 1.0),
        ("late", 0.3),
        ("lossy", 0.5),
        ("half", 9),
        ("hang", 1.0),
        ("refuse", 1.0),
        ("reset", 1.0),
    )

    def faults(self, faults, plant=None, seconds=0.7, **shape):
        """Each fault in turn between all gateways and a third of the hosts."""

        def do(lab):
            for name, size in faults:
                lab.records.note(f"{name} at h0 and h1")
                for relay in lab.between("host", to=["h0", "h1"]):
                    relay.fault(name, size)
                lab.run_for(seconds)
                lab.heal()
                lab.run_for(0.2)

        self.do = do
        return self.played(plant, seconds=0.5, **shape)

    def test_faults_between_gateways_and_hosts_break_no_rule(self):
        lab, verdict = self.faults(self.FAULTS)
        self.assertEqual(verdict.counts, {}, f"{verdict.violations[:3]}\n{lab.timeline()}")
        self.assertFalse(lab.crashes)
        answers = {answer for _, answer in lab.records.counts}
        self.assertLessEqual(answers, {invariants.OK, invariants.REJECTED, invariants.ABORTED})
        self.assertGreater(lab.records.counts["look", invariants.OK], 300)

    def test_who_sends_again_what_may_have_run_is_told(self):
        posts = [Method("post", 1.0, "non-idempotent")]
        self.assertEqual(
            list(self.faults([("mute", 1.0)], "runs_twice", 1.5, methods=posts)[1].counts),
            ["twice"],
        )


class Starts(Judged):
    """What a process that starts waits for."""

    def alone(self, trouble, patience, plant=None):
        """Two start while discovery is of no use and the counter is silent: what has come within so many seconds."""
        shape = FleetSpec(
            gateways=2,
            hosts=2,
            relays=(),
            rate=50.0,
            settings=build_settings(SettingsSpec(2, quota=200.0)),
            methods=[Method("look")],
            customers=[Customer(1, "sold", gateway_count=2)],
        )
        with LoopbackFleet(shape) as lab:
            lab.counter.quiet, lab.discovery.away = True, trouble == "silent"
            for one in lab.gateways:
                if trouble == "refuses":
                    lab.discovery.listeners[one.name].crash()
                if plant:
                    plant_in(one, plant)
            until = time.monotonic() + patience
            lab.start(ready=False)
            while time.monotonic() < until and not all(one.ready for one in lab.gateways):
                lab.run_turn()
            if not all(one.ready for one in lab.gateways):
                return "not ready"
            lab.clients.start()
            while time.monotonic() < until and not lab.records.counts.get(("look", invariants.OK)):
                lab.run_turn()
            self.assertEqual(
                [status_of(one, lab, b"GET /-/ready HTTP/1.1\r\n\r\n") for one in lab.gateways],
                [200, 200],
            )
            self.judge(lab)
            self.assertLessEqual(
                {answer for _, answer in lab.records.counts},
                {invariants.OK, invariants.REJECTED},
            )
            return "serves" if lab.records.counts.get(("look", invariants.OK)) else "serves nobody"

    def test_a_start_waits_for_nobody(self):
        for trouble in ("refuses", "silent"):
            with self.subTest(trouble):
                self.assertEqual(self.alone(trouble, 10.0), "serves")

    def test_who_waits_for_discovery_is_not_ready(self):
        self.assertEqual(self.alone("refuses", 2.5, "waits_for_discovery"), "not ready")

    def test_a_start_imports_what_serves_alone(self):
        """The command line's library took a third of a start's CPU time: a fleet that starts at once shares few cores."""
        ended = subprocess.run(
            [sys.executable, "-X", "importtime", "-m", "petrellane", "serve"],
            capture_output=True,
            text=True,
            timeout=30,
            env={**os.environ, "PROXY_CONFIG": ""},
        )
        *rows, last = ended.stderr.splitlines()
        self.assertEqual(
            (ended.returncode, last),
            (2, "petrellane: PROXY_CONFIG: missing, expected the path of a JSON file"),
        )
        names = {row.rpartition("|")[2].strip() for row in rows}
        self.assertIn("petrellane.gateway.process", names)
        ours = {name.split(".")[1] for name in names if name.startswith("petrellane.")}
        self.assertLessEqual(ours, {"config", "decisions", "gateway", "net", "operation"})
        self.assertFalse(
            {name.partition(".")[0] for name in names}
            & {"typer", "click", "rich", "msgspec", "tomllib", "hashlib"}
        )


class Runs(unittest.TestCase):
    """Run files, and that nothing is left of a run."""

    def test_what_is_out_of_form_is_named(self):
        for text, words in (
            ("[lab]\ngateways = 0", "lab.gateways: expected 1 to 300, found 0"),
            ("[lab]\nspeed = 1", "unknown field `speed`"),
            ('[[step]]\nat = 1.0\ndo = "x"', "step[0].do: expected one of"),
            ('[[step]]\nat = 99.0\ndo = "cut"', "step[0].at: expected 0 to 10"),
            ('[[step]]\nat = 1.0\ndo = "kill"\nwho = ["g7"]', "step[0].who: expected g0 to g2"),
            ("[lab", "Expected ']'"),
            ('[expect]\nbroken = ["x"]', "expect.broken: expected rules"),
        ):
            with self.subTest(text), self.assertRaises(RunFileError) as found:
                parse_run_file(text, "run.toml")
            self.assertIn(words, str(found.exception))
            self.assertNotIn("\n", str(found.exception))

    def test_a_run_file_from_the_command_line(self):
        file = os.path.join(os.path.dirname(__file__), "runs", "change-under-faults.toml")
        ended = subprocess.run(
            [sys.executable, "-m", "petrellane", "testbed", "run", file],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(ended.returncode, 0, ended.stdout + ended.stderr)
        self.assertIn("no rule broken", ended.stdout)
        self.assertIn('g0: generation {"number":1', ended.stdout)

    def test_nothing_is_left_of_a_lab_that_is_killed(self):
        code = (
            "import os\nfrom petrellane.testbed.fleet import LoopbackFleet\n"
            "from petrellane.testbed.fleet_spec import FleetSpec\nlab = LoopbackFleet(FleetSpec(gateways=2, hosts=1))\n"
            "lab.start()\nprint(*[one.process.popen.pid for one in lab.gateways], flush=True)\n"
            "os.kill(os.getpid(), 9)\n"
        )
        ended = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=30
        )
        numbers = list(map(int, ended.stdout.split()))
        self.assertEqual(len(numbers), 2, ended.stderr)
        until = time.monotonic() + 5
        while any(map(alive, numbers)) and time.monotonic() < until:
            time.sleep(0.02)
        self.assertFalse([number for number in numbers if alive(number)])


def alive(number):
    try:
        with open(f"/proc/{number}/stat") as file:
            return file.read().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False
