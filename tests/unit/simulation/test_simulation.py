"""The fleet model: a fixed set of seeds, planted breaks, hard cases, what a cut leaves, and bad input."""

import dataclasses
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ProcessPoolExecutor

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.endpoint_list_delay_model import play_outage
from petrellane.invariants import (
    AttemptArrived,
    AttemptEnded,
    AttemptSent,
    ClientDisconnected,
    EndpointNotified,
    EndpointStarted,
    GatewayLifecycle,
    HardLimit,
    InvariantChecker,
    MethodRule,
    RpcAnswered,
    RpcReceived,
    Terms,
)
from petrellane.net.limits import Limits
from petrellane.operation.backoff import PollTimes
from petrellane.simulation.discovery import POLL_TIMES
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.property_search import search
from petrellane.simulation.scenario_files import ScenarioError, format_scenario, parse_scenario
from petrellane.simulation.scenario_generation import (
    generate_scenario,
    mutate,
    with_hot_restarts,
)
from petrellane.simulation.shrinking import shrink
from petrellane.simulation.timeline import format_timeline
from tests.unit.simulation.planted import CHANGES, needed, planted

HERE = pathlib.Path(__file__).parent
SEEDS = 1500  # scenarios that CI plays, a third of them neighbours of the nearest


FOLLOWED = range(1, 401)


def follows(seed):
    """The rules broken by a scenario in which processes follow others."""
    return FleetSimulation(with_hot_restarts(generate_scenario(seed), seed)).play().broken


class Model(unittest.TestCase):
    """Runs of the fleet."""

    def test_no_rule_is_broken(self):
        tally = search(1, SEEDS, enough=1)
        self.assertEqual([], [(found.name, found.counts) for found in tally.found])
        self.assertEqual(SEEDS, tally.runs)

    def test_planted_breaks_are_found(self):
        changes = [change for change in CHANGES if not change.get("missed")]
        self.assertGreaterEqual(len(changes), 10)
        self.assertEqual(
            {"lost", "twice", "drains", "cold", "ceilings", "forgotten"},
            {one["rule"] for one in changes},
        )
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            results = dict(
                zip((one["name"] for one in changes), pool.map(needed, changes), strict=True)
            )
        self.assertEqual([], [name for name, number in results.items() if number is None])

    def test_a_seed_is_the_same_run_to_the_letter(self):
        for seed in (3, 17, 40):
            first, second = (
                FleetSimulation(generate_scenario(seed), keep_records=True).play() for _ in range(2)
            )
            self.assertEqual(first.records, second.records)
            self.assertEqual(first.figures, second.figures)

    def test_processes_that_follow_others(self):
        """No rule is broken wherever the hand-over is cut, and the given being kept as well is noticed."""
        with ProcessPoolExecutor(os.cpu_count()) as pool:
            broken = [
                (seed, found)
                for seed, found in zip(
                    FOLLOWED, pool.map(follows, FOLLOWED, chunksize=10), strict=True
                )
                if found
            ]
        self.assertEqual([], broken)
        both = planted(
            {
                "name": "what is given is kept as well",
                "module": "leases",
                "before": "self.available = 0.0\n        self.hard_limit = kept\n"
                "        self.hard_limit_filled_at = math.inf",
                "after": "self.hard_limit += stored['ceiling']",
            }
        )
        path = HERE / "scenarios" / "followed-and-gone.ndjson"
        self.assertEqual(
            ["ceilings"],
            FleetSimulation(parse_scenario(path.read_text(), path.name), both).play().broken,
        )

    def test_a_change_is_told_in_time_after_discovery_is_back(self):
        """Sixty gateways, at the calls that discovery serves a little less than one a second for each."""
        self.assertEqual(
            POLL_TIMES,
            PollTimes(
                max_interval=Limits.watch_interval,
                first_interval=Limits.watch_interval,
                max_hold=Limits.max_watch_hold,
                grace=Limits.watch_grace,
                poll_timeout=Limits.watch_timeout,
                initial_pause=Limits.initial_backoff,
            ),
        )
        for trouble in ("refused", "silent", "turned away"):
            with self.subTest(trouble):
                took, calls, refused, broken = play_outage(1, 60, trouble, 50.0)
                self.assertNotIn(None, took)
                self.assertLess(max(took), 6.0)
                self.assertEqual(([], 0), (broken, sum(refused[10:])))
                self.assertLess(max(calls[10:]), 50)

    def test_hard_cases(self):
        for path in sorted((HERE / "scenarios").glob("*.ndjson")):
            with self.subTest(path.name):
                scenario = parse_scenario(path.read_text(), path.name)
                run = FleetSimulation(scenario).play()
                self.assertEqual(scenario.expected.broken, run.broken, run.verdict.violations)
                self.assertGreater(run.figures.ok_share, 0)

    def test_what_is_found_is_cut_down_and_told(self):
        change = next(
            one for one in CHANGES if one["name"] == "any deduplicated RPC may be pushed back"
        )
        gateway = planted(change)
        scenario = generate_scenario(needed(change))  # its first seed is 1
        small = shrink(scenario, "twice", 60, gateway)
        self.assertLess(len(format_scenario(small)), len(format_scenario(scenario)))
        run = FleetSimulation(
            parse_scenario(format_scenario(small)), gateway, keep_records=True
        ).play()
        self.assertIn("twice", run.broken)
        self.assertIn("was pushed back though a call-out", "\n".join(format_timeline(run)))

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.integers(0, 10**9), st.integers(0, 3))
    def test_a_file_holds_the_whole_scenario(self, seed, steps):
        scenario = generate_scenario(seed)
        for step in range(steps):
            scenario = mutate(scenario, seed + step)
        self.assertEqual(scenario, parse_scenario(format_scenario(scenario, "of a seed")))


class BadScenario(unittest.TestCase):
    """What a file out of form is told."""

    def refused(self, text, *words):
        with self.assertRaises(ScenarioError) as caught:
            parse_scenario(text, "a.ndjson")
        for word in words:
            self.assertIn(word, str(caught.exception))
        self.assertNotIn("\n", str(caught.exception))

    def test_lines_out_of_form(self):
        lines = format_scenario(generate_scenario(1)).splitlines()
        self.refused("", "a.ndjson:1", "expected a world")
        self.refused("{", "a.ndjson:1")
        self.refused(lines[1], "a.ndjson:1", "expected one world")
        self.refused(
            lines[0].replace('"model":1', '"model":7'), "a.ndjson:1", "expected version 1, found 7"
        )
        self.refused(
            "\n".join([lines[0], "# word", lines[1].replace('"rate"', '"rat"')]),
            "a.ndjson:3",
            "rat",
        )
        self.refused(
            "\n".join([*lines, '{"kind":"fault","what":"rain","at":1}']),
            f":{len(lines) + 1}",
            "found rain",
        )
        self.refused(
            "\n".join([*lines, '{"kind":"fault","what":"flood","at":-1}']),
            "expected a number from 0, found -1",
        )
        self.refused("\n".join(lines[:1]), "expected at least one plan")

    def test_the_command_line(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bad.ndjson"
            path.write_text('{"kind":"world"}\n')
            for words, code, text in (
                (["replay", str(path)], 2, "bad.ndjson:1"),
                (["replay", folder + "/none"], 2, "expected a scenario file"),
                (["replay", "--seed", "x"], 2, "expected a whole number, found x"),
                (["replay", "--seed", "5"], 0, "no rule broken"),
                (["property-search", "--seeds", "0"], 2, "seeds"),
            ):
                done = subprocess.run(
                    [sys.executable, "-m", "petrellane", *words], capture_output=True, text=True
                )
                self.assertEqual(code, done.returncode, done.stderr)
                self.assertIn(text, done.stdout + done.stderr)


class Judged(unittest.TestCase):
    """The checker on records made by hand: each rule broken, and only come near."""

    def setUp(self):
        self.referee = InvariantChecker(
            Terms(
                {
                    "look": MethodRule("idempotent"),
                    "post": MethodRule("non-idempotent"),
                    "lodge": MethodRule("deduplicated", "zone", 1.0),
                },
                {"chain": HardLimit(10.0, 20.0, 2.0)},
                {"a": (0, 0), "b": (1, 0), "c": (2, 1)},
            )
        )

    def verdict(self, *records):
        for record in records:
            self.referee.observe(record)
        return self.referee.close(100.0)

    def rpc(self, method="look", at=1.0, plan="", units=1.0, rpc="r"):
        return RpcReceived(at, "g", rpc, "who", plan, method, units, at + 2.0)

    def test_an_answer_that_never_comes(self):
        self.assertEqual({"lost": 1}, self.verdict(self.rpc()).counts)

    def test_an_answer_just_within_the_slack_and_one_after_it(self):
        verdict = self.verdict(self.rpc(), RpcAnswered(3.04, "g", "r", "aborted"))
        self.assertEqual({}, verdict.counts)
        self.assertGreater(verdict.nearest["lost"], 0.99)
        self.setUp()
        self.assertEqual(
            {"lost": 1}, self.verdict(self.rpc(), RpcAnswered(3.06, "g", "r", "aborted")).counts
        )

    def test_a_killed_gateway_owes_nothing_and_a_client_that_left_early_is_owed_nothing(self):
        self.assertEqual({}, self.verdict(self.rpc(), GatewayLifecycle(2.0, "g", "killed")).counts)
        self.assertEqual({}, self.verdict(self.rpc(), ClientDisconnected(2.0, "g", "r")).counts)
        self.assertEqual(
            {"lost": 1}, self.verdict(self.rpc(), ClientDisconnected(3.06, "g", "r")).counts
        )

    def test_a_key_is_good_for_its_zone_and_window(self):
        first = [
            self.rpc("lodge"),
            AttemptSent(1.0, "g", "r", 0, "a"),
            AttemptEnded(1.5, "g", "r", 0, "late"),
        ]
        self.assertEqual(
            {},
            self.verdict(
                *first,
                AttemptSent(1.9, "g", "r", 1, "b"),
                AttemptEnded(2.1, "g", "r", 1, "ok"),
                RpcAnswered(2.1, "g", "r", "ok"),
            ).counts,
        )
        for at, host in ((1.9, "c"), (2.1, "b")):
            self.setUp()
            verdict = self.verdict(
                *first,
                AttemptSent(at, "g", "r", 1, host),
                AttemptEnded(2.2, "g", "r", 1, "ok"),
                RpcAnswered(2.2, "g", "r", "ok"),
            )
            self.assertEqual({"twice": 1}, verdict.counts)

    def test_a_cold_host_bears_its_budget_and_twice_its_root_and_two(self):
        """N is 10 here, so 18.3; who was not told of the start is not to blame, from over a third of the work on."""
        for number, told, broken in (
            (18, 18, {}),
            (19, 19, {"cold": 1}),
            (19, 13, {"cold": 1}),
            (19, 12, {}),
        ):
            referee = InvariantChecker(dataclasses.replace(self.referee.terms, mean_work=0.075))
            referee.observe(EndpointStarted(1.0, "a", 1.0))
            referee.observe(EndpointNotified(1.0, "knows", "a", "ready", 1.0))
            referee.observe(EndpointNotified(1.0, "not", "a", "ready", 0.0))
            for at in range(number):
                referee.observe(
                    AttemptArrived(1.0, "not" if at < number - told else "knows", at, 0, "a", 0.075)
                )
            self.assertEqual(broken, referee.close(100.0).counts, (number, told))

    def test_call_outs_that_overlap(self):
        self.assertEqual(
            1,
            self.verdict(
                self.rpc(),
                AttemptSent(1.0, "g", "r", 0, "a"),
                AttemptSent(1.1, "g", "r", 1, "b"),
                RpcAnswered(1.2, "g", "r", "ok"),
            ).counts["twice"],
        )

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.floats(0, 3), st.integers(1, 6)), min_size=1, max_size=40))
    def test_a_ceiling_holds_for_every_span(self, draws):
        """Independent of a store: no span may hold more than burst, slack and what the rate gives in it."""
        self.setUp()
        now, taken, broken = 0.0, [], False
        for number, (pause, units) in enumerate(draws):
            now += pause
            taken.append((now, units))
            self.referee.observe(self.rpc(at=now, plan="chain", units=float(units), rpc=number))
            self.referee.observe(AttemptSent(now, "g", number, 0, "a"))
            broken = broken or any(
                sum(of for _, of in taken[first:]) > 22.0 + 10.0 * (now - taken[first][0]) + 1e-6
                for first in range(len(taken))
            )
        self.assertEqual(broken, "ceilings" in self.referee.log.counts)
