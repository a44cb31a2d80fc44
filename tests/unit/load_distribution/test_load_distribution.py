"""The figures of evenness on made-up runs whose truth is known, what they are read from, and the baselines of the model."""

import contextlib
import io
import json
import os
import random
import tempfile
import unittest

from hypothesis import given
from hypothesis import settings as limits
from hypothesis import strategies as st

from petrellane import invariants
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.load_distribution import commands, sources
from petrellane.load_distribution.figures import (
    compute_figures,
    find_idle_periods,
    measure_herd,
    measure_span,
    measure_swing,
)
from petrellane.load_distribution.trace import LoadTrace, windows
from petrellane.simulation.baselines import BASELINES
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.scenario import Fault
from petrellane.simulation.sparse_traffic import measure_service, sparse_scenario
from petrellane.simulation.subsetting_baselines import ring_position
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec


def drawn(seed=1, gateways=20, hosts=10, rate=200.0, length=30.0, pick=None, sizes=None):
    """A run in which each gateway draws by `pick(chance, gateway, at)`, or evenly."""
    chance, at, told = random.Random(seed), 0.0, LoadTrace(0.0, length)
    names = [f"h{number}" for number in range(hosts)]
    told.ready = {name: [(0.0, length, (sizes or {}).get(name, 1.0))] for name in names}
    while (at := at + chance.expovariate(rate)) < length:
        gateway = f"g{chance.randrange(gateways)}"
        told.sent.append(
            (at, gateway, pick(chance, gateway, at) if pick else chance.choice(names), 1)
        )
    return told


class Chance(unittest.TestCase):
    """Independent draws show nothing but chance."""

    def test_even_draws_show_no_herd_no_swing_no_excess(self):
        above = 0
        for seed in range(12):
            found = compute_figures(drawn(seed))
            for one in found.spans[:2]:
                self.assertAlmostEqual(one.excess, 1.0, delta=0.12)
            above += found.herd > found.herd_by_chance
            self.assertEqual((found.idle, found.period), ((), None))
        self.assertLessEqual(above, 3)  # one in twenty by chance

    def test_draws_in_step_with_capacity_are_even(self):
        sizes = {"h0": 10.0, "h1": 0.5}
        names = [f"h{number}" for number in range(10)]
        weights = [sizes.get(name, 1.0) for name in names]
        told = drawn(pick=lambda chance, *_: chance.choices(names, weights)[0], sizes=sizes)
        self.assertAlmostEqual(
            measure_span(told, 30.0).peak, measure_span(told, 30.0).chance_peak, delta=0.12
        )
        self.assertGreater(
            measure_span(drawn(sizes=sizes), 30.0).peak, 3.0
        )  # even draws are not: 0.5 gets as much as 1

    def test_round_robin_is_more_even_than_chance(self):
        count = iter(range(10**6))
        found = measure_span(drawn(pick=lambda *_: f"h{next(count) % 10}"), 5.0)
        self.assertLess(found.excess, 0.9)
        self.assertGreater(found.trough, 0.95)


class Planted(unittest.TestCase):
    """What is wrong by construction is told."""

    def test_gateways_that_all_leave_and_all_come_are_a_herd(self):
        def pick(chance, gateway, at):
            return f"h{int(at) % 10}" if chance.random() < 0.3 else f"h{chance.randrange(10)}"

        told = drawn(pick=pick)
        found, by_chance = measure_herd(told)
        self.assertGreater(found, 5 * max(by_chance, 0.1))

    def test_gateways_that_each_move_by_themselves_are_none(self):
        def pick(chance, gateway, at):  # as much movement, at each gateway's own time
            return (
                f"h{(int(at) + int(gateway[1:]) * 7) % 10}"
                if chance.random() < 0.3
                else f"h{chance.randrange(10)}"
            )

        found, _ = measure_herd(drawn(pick=pick))
        self.assertLess(found, 0.6)

    def test_a_load_that_goes_up_and_down_is_no_herd(self):
        told = drawn(rate=400.0)
        told.sent = [
            one for one in told.sent if int(one[0]) % 4 < 2 or random.Random(one[0]).random() < 0.2
        ]
        found, by_chance = measure_herd(told)
        self.assertLess(found, by_chance + 0.05)

    def test_a_swing_has_its_period_and_amplitude(self):
        def pick(chance, gateway, at):
            first = chance.random() < 0.5 + (0.3 if at % 6 < 3 else -0.3)
            return f"h{chance.randrange(5) + 5 * (not first)}"

        period, amplitude = measure_swing(drawn(rate=1000.0, pick=pick))
        self.assertEqual(period, 6.0)
        self.assertAlmostEqual(amplitude, 0.6 * 1.4, delta=0.4)

    def test_an_idle_host_is_told_from_when_for_how_long(self):
        def pick(chance, gateway, at):
            return f"h{chance.randrange(10 if at < 10 or at > 22 else 9)}"

        found = find_idle_periods(drawn(pick=pick))
        self.assertEqual([one.host for one in found], ["h9"])
        self.assertAlmostEqual(found[0].since, 10.0, delta=0.5)
        self.assertAlmostEqual(found[0].seconds, 12.0, delta=0.5)
        self.assertAlmostEqual(found[0].due, 12 * 20, delta=60)

    def test_a_host_that_is_not_ready_or_owes_little_is_not_idle(self):
        told = drawn(pick=lambda chance, *_: f"h{chance.randrange(9)}")
        told.ready["h9"] = [(0.0, 4.0, 1.0), (27.0, 30.0, 1.0)]
        self.assertEqual(find_idle_periods(told), [])
        self.assertEqual(
            find_idle_periods(drawn(rate=5.0, pick=lambda chance, *_: f"h{chance.randrange(9)}")),
            [],
        )

    def test_windows_hold_hosts_that_were_ready_in_all_of_them(self):
        told = drawn()
        told.ready["h0"] = [(0.0, 12.0, 1.0), (18.0, 30.0, 1.0)]
        self.assertEqual(
            ["h0" in row for _, row in windows(told, 5.0)], [True, True, False, False, True, True]
        )
        for _, row in windows(told, 5.0):
            self.assertAlmostEqual(
                sum(sent for sent, _ in row.values()), sum(due for _, due in row.values())
            )

    @limits(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.floats(0, 20), st.sampled_from("abc"), st.sampled_from("xyz"), st.integers(0, 3)
            )
        ),
        st.dictionaries(
            st.sampled_from("xyz"), st.tuples(st.floats(0, 10), st.floats(10, 20), st.floats(0, 5))
        ),
    )
    def test_no_run_is_too_odd_to_be_told(self, sent, ready):
        found = compute_figures(
            LoadTrace(0.0, 20.0, sent, {host: [one] for host, one in ready.items()})
        )
        self.assertGreaterEqual(found.amplitude, 0.0)
        for one in found.spans:
            self.assertGreaterEqual(one.peak, 1.0 - 1e-9)
            self.assertLessEqual(one.trough, 1.0 + 1e-9)


class Sources(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def file(self, *lines, name="run.ndjson"):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            file.write(
                "".join(
                    line if isinstance(line, str) else json.dumps(line) + "\n" for line in lines
                )
            )
        return path

    HEAD = {"records": 1}

    def sent(self, at, host="h0", by="g0"):
        return {"at": at, "by": by, "sent": host}

    def test_what_is_written_is_read(self):
        run = FleetSimulation(
            sparse_scenario(5, 4, 0.5, rate=50.0, length=6.0), keep_records=True
        ).play()
        path = os.path.join(self.folder, "run")
        sources.write(path, run.records, 6.0, {"h0": 2.0})
        read = sources.read(path, 1.0)
        straight = sources.trace_from_records(run.records, 1.0, 6.0, {"h0": 2.0})
        self.assertEqual(len(read.trace.sent), len(straight.sent))
        self.assertEqual(read.trace.ready.keys(), straight.ready.keys())
        self.assertEqual((read.notes, read.left_out, read.trace.ready["h0"][0][2]), ([], 0, 2.0))
        self.assertEqual(compute_figures(read.trace).spans, compute_figures(straight).spans)

    def test_lines_that_can_not_be_read_are_told_by_number_and_the_rest_is_used(self):
        path = self.file(
            self.HEAD,
            self.sent(0.5),
            "nonsense\n",
            {"at": "x", "by": "g0", "sent": "h0"},
            {"at": 1.0, "by": "g0", "told": "h0", "state": "asleep"},
            self.sent(2.0),
            self.sent(1.0),
            '{"at": 3',
        )
        read = sources.read(path)
        self.assertEqual(
            (len(read.trace.sent), read.left_out), (2, 4)
        )  # the one at the very end of time is not within
        for number, text in (
            (3, "expected a JSON object, found nonsense"),
            (4, "expected a record"),
            (5, "expected a record"),
            (8, "the file is cut short there"),
        ):
            self.assertTrue(
                any(f"{path}:{number}: " in note and text in note for note in read.notes),
                (number, read.notes),
            )
        self.assertTrue(any("1 of 3 records come out of order" in note for note in read.notes))
        self.assertTrue(any("cut short, and told up to 2 s" in note for note in read.notes))

    def test_what_tells_nothing_is_refused_in_one_line(self):
        os.mkdir(os.path.join(self.folder, "logs"))
        other = self.file({"records": 2}, self.sent(1.0), name="old")
        for path, text in (
            (other, 'old:1: expected {"records": 1}, found'),
            (self.file(self.HEAD, {"end": 1.0}), "expected records, found none"),
            (os.path.join(self.folder, "none"), "expected a file of records or a folder of logs"),
            (os.path.join(self.folder, "logs"), "expected logs (*.log) with events, found none"),
        ):
            with self.subTest(text), self.assertRaises(sources.LoadSourceError) as found:
                sources.read(path)
            self.assertIn(text, str(found.exception))
            self.assertNotIn("\n", str(found.exception))
        self.file({"at": 1.0, "gateway": "g0", "event": "figures", "rpcs": 3}, name="logs/g0.log")
        with self.assertRaisesRegex(sources.LoadSourceError, "expected `figures` events with `to`"):
            sources.read(os.path.join(self.folder, "logs"))

    def test_logs_of_a_fleet(self):
        os.mkdir(os.path.join(self.folder, "logs"))
        for name in ("g0", "g1"):
            rows = [
                {"at": 1000.0 + at, "gateway": name, "event": "figures", "to": {"h0": 6, "h1": 4}}
                for at in range(12)
            ]
            if name == "g1":
                rows[5]["at"] = 990.0
            self.file(*rows, "no event\n", name=f"logs/{name}.log")
        read = sources.read(os.path.join(self.folder, "logs"))
        self.assertTrue(
            any("g1.log:6: the clock of g1 went back by 14.0 s" in note for note in read.notes),
            read.notes,
        )
        self.assertEqual(read.left_out, 2)
        self.assertAlmostEqual(measure_span(read.trace, 5.0).peak, 1.2)

    def test_a_host_is_ready_while_all_that_heard_of_it_have_it_so(self):
        def told(at, gateway, state):
            return invariants.EndpointNotified(at, gateway, "h0", state, 0.0)

        rows = [
            told(0.0, "a", "ready"),
            told(1.0, "b", "ready"),
            told(4.0, "a", "gone"),
            told(5.0, "b", "gone"),
            told(6.0, "b", "ready"),
            invariants.GatewayLifecycle(7.0, "a", "killed"),
            told(8.0, "b", "ready"),
        ]
        self.assertEqual(
            sources.trace_from_records(rows, 0.0, 9.0).ready["h0"],
            [(0.0, 4.0, 1.0), (8.0, 9.0, 1.0)],
        )

    def test_words_json_and_plot(self):
        path = self.file(
            self.HEAD,
            *({"at": 0.0, "by": "g0", "told": f"h{host}", "state": "ready"} for host in range(3)),
            *(self.sent(at / 20, f"h{at % 3}") for at in range(400)),
            {"end": 20.0},
        )
        svg, said = os.path.join(self.folder, "run.svg"), io.StringIO()
        with contextlib.redirect_stdout(said):
            commands.print_figures(commands.SpreadOptions(path, svg=svg))
            commands.print_figures(commands.SpreadOptions(path, as_json=True))
        *lines, last = said.getvalue().splitlines()
        self.assertTrue(lines[0].startswith("400 attempts of 1 gateways at 3 endpoints"), lines[0])
        told = json.loads(last)
        self.assertEqual(
            (told["call_outs"], told["idle"], [one["windows"] for one in told["spans"]]),
            (400, [], [20, 4]),
        )
        with open(svg) as file:
            self.assertIn("<svg", file.read(2000))
        with self.assertRaisesRegex(sources.LoadSourceError, "expected attempts between 30 s"):
            commands.print_figures(commands.SpreadOptions(path, 30.0))


class Thin(unittest.TestCase):
    """The fleet of many gateways that each see little, and other ways to choose beside the module's."""

    def play(self, who, **more):
        scenario = sparse_scenario(
            **{"gateways": 40, "endpoints": 20, "rate": 300.0, "length": 8.0, **more}
        )
        run = FleetSimulation(scenario, BASELINES[who], keep_records=True).play()
        return measure_service(run, 2.0), sources.trace_from_records(run.records, 2.0, 8.0), run

    def test_all_of_them_serve_and_break_no_rule(self):
        for who in BASELINES:
            with self.subTest(who):
                served, told, run = self.play(who, load=0.5)
                self.assertEqual(run.broken, [])
                self.assertGreater(served.ok, 0.97)

    def test_one_that_sees_all_waits_least(self):
        p99 = {who: self.play(who)[0].p99 for who in ("uniform", "two choices", "sees all")}
        self.assertLess(p99["sees all"], 0.75 * p99["two choices"])
        self.assertLess(p99["two choices"], p99["uniform"])

    def test_round_robin_is_as_even_as_it_is_here(self):
        self.assertLess(
            measure_span(self.play("round robin", gateways=2)[1], 5.0).peak, 1.08
        )  # of a few that have much each

    def test_faults_at_hosts_and_gateways_leave_none_idle_and_break_no_rule(self):
        for fault in (
            Fault("gateways killed", 4.0, 0.3, 0, 1.0),
            Fault("host slow", 4.0, 4.0, 0, 10.0),
            Fault("hosts drain", 4.0, 2.0, 0, 0.33),
            Fault("host hangs", 4.0, 3.0),
        ):
            with self.subTest(fault.type):
                run = FleetSimulation(
                    sparse_scenario(40, 20, 0.5, rate=300.0, length=10.0, faults=(fault,)),
                    keep_records=True,
                ).play()
                self.assertEqual(run.broken, [])
                told = sources.trace_from_records(run.records, 2.0, 10.0)
                self.assertEqual(
                    [
                        one
                        for one in find_idle_periods(told)
                        if one.host != "h0" or fault.type == "gateways killed"
                    ],
                    [],
                )
                self.assertLess(measure_span(told, 5.0).excess, 1.45)

    def test_a_host_that_is_back_gets_no_more_than_its_part(self):
        fault = Fault("host killed", 3.0, 2.0)
        run = FleetSimulation(
            sparse_scenario(40, 20, 0.5, rate=300.0, length=12.0, faults=(fault,)),
            keep_records=True,
        ).play()
        self.assertEqual(run.broken, [])
        sent = [
            at
            for at, _, host, _ in sources.trace_from_records(run.records, 5.0, 12.0).sent
            if host == "h0"
        ]
        for since in (5.0, 7.0, 9.0):
            self.assertLess(sum(since <= at < since + 2 for at in sent), 1.5 * 2 * 300.0 / 20)
        self.assertGreater(len(sent), 0.3 * 7 * 300.0 / 20)

    def test_a_ring_is_even_for_any_number(self):
        for number in (7, 64, 100):
            places = sorted(map(ring_position, range(number)))
            gaps = [after - before for before, after in zip(places, places[1:], strict=False)]
            self.assertLess(max(gaps), 2.01 * min(gaps))


class Few(unittest.TestCase):
    """What a gateway makes of the few samples that it has."""

    def pressure(self, takes, every=0.15):
        """The pressure after RPCs that took so long, one at a time, of a soft deadline of a second."""
        gateway = AdmissionController(
            seed=1,
            uses_counter=False,
            must_watch=False,
            zone="z",
            counter_timeout=0.05,
            may_cancel=True,
            max_retry_after=0.5,
            slow_start=0.0,
            slow_start_minimum=1.0,
            cross_zone_price=0.0,
        )
        gateway.start(100.0)
        gateway.on_endpoint_events(
            100.0,
            True,
            [
                api.EndpointEvent(api.Endpoint(f"h{at}"), "z", "", 0, api.READY, 1.0, 0.0)
                for at in range(20)
            ],
        )
        method, customer = api.Method("m", 1.0, 4.0), api.Customer("c", api.Plan("p"))
        now = 100.0
        for took in takes:
            now += max(every, took)
            rpc = api.Rpc(method, customer, 1.0, now + 4.0, now)
            attempt = next(
                step for step in gateway.admit(now, rpc) if isinstance(step, actions.SendAttempt)
            )
            gateway.on_attempt_ended(
                now + took, attempt, api.OK, over=True, took=took
            )  # the next comes later
        return gateway.load_balancer.overload(now + took)

    def test_a_run_of_long_rpcs_among_few_is_chance_and_no_pressure(self):
        self.assertEqual(self.pressure(48 * [0.1] + 16 * [0.27], every=0.15), 0.0)

    def test_all_of_them_long_is_pressure(self):
        self.assertGreater(self.pressure(64 * [0.4]), 0.2)

    def test_a_busy_gateway_sees_it_within_a_second(self):
        self.assertGreater(self.pressure(300 * [0.02] + 40 * [0.45], every=0.005), 0.05)


class Processes(unittest.TestCase):
    def test_figures_of_real_gateways_by_log_and_by_record(self):
        with LoopbackFleet(
            FleetSpec(gateways=12, hosts=8, rate=240.0, work=0.01, relays=())
        ) as lab:
            lab.start()
            lab.clients.start()
            lab.run_for(7.0)
            lab.finish_load()
            lab.run_for(
                1.5
            )  # each gateway tells its last second, which a line a second may still owe
            verdict = lab.verdict()
            came = sum(type(one) is invariants.AttemptSent for one in lab.records.history)
            events = {
                one.name: [event for event in one.events if event["event"] == "figures"]
                for one in lab.gateways
            }
            told = sources.trace_from_records(lab.records.history, 1.0, 7.0)
        self.assertEqual((verdict.counts, lab.crashes), ({}, []))
        sent = sum(sum(event["to"].values()) for rows in events.values() for event in rows)
        self.assertEqual(sent, came)
        self.assertAlmostEqual(
            sent, sum(host.ran for host in lab.hosts), delta=60
        )  # what was turned away did not run
        found = compute_figures(told)
        self.assertEqual((found.gateways, found.hosts, found.idle), (12, 8, ()))
        self.assertLess(found.spans[1].excess, 1.4)
