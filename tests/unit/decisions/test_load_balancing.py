"""Choosing among many hosts: the same steps as a plain reference that walks every host, and a cost that does not grow with
them, in operations counted."""

import bisect
import heapq
import itertools
import math
import random
import sys
import unittest

from hypothesis import given
from hypothesis import settings as limits
from hypothesis import strategies as st

from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.decisions.endpoint_health import relative_latency
from petrellane.decisions.endpoint_index import IndexedGroups, StartTimes
from petrellane.decisions.endpoint_list import EndpointList
from petrellane.decisions.load_balancing import SUBSET_MINIMUM, LoadBalancer
from petrellane.decisions.load_shedding import OVERLOAD_FULL
from petrellane.decisions.numeric import SlidingMaximum, mean

SETTINGS = dict(
    zone="z1",
    uses_counter=False,
    counter_timeout=0.05,
    may_cancel=True,
    max_retry_after=0.5,
    slow_start=10.0,
    slow_start_minimum=0.25,
    cross_zone_price=0.5,
    must_watch=False,
)


class PlainHosts(EndpointList):
    """Warmth and readiness worked out host by host, each time anew."""

    def warmth(self, host, now):
        share = (
            max(0.0, now - host.started_at) / self.slow_start
            if host.started_at and self.slow_start
            else 1.0
        )
        return min(1.0, self.slow_start_minimum + (1 - self.slow_start_minimum) * share)

    def cold_ones(self, now):
        return sorted(
            (
                host
                for host in self
                if host.state == api.READY
                and self.slow_start
                and self.slow_start_minimum < 1
                and host.started_at > now - self.slow_start
            ),
            key=lambda host: host.started_at,
        )

    def warming_capacity(self, now):
        super().warming_capacity(
            now
        )  # the index keeps pace, as draws from it are checked against the walk
        return sum(host.weight * self.warmth(host, now) for host in self.cold_ones(now))

    def warming_endpoint_at(self, lot, now):
        sums = list(
            itertools.accumulate(
                host.weight * self.warmth(host, now) for host in self.cold_ones(now)
            )
        )
        return self.cold_ones(now)[min(bisect.bisect_right(sums, lot), len(sums) - 1)]

    def capacity(self, now):
        self.advance_warm_up(now)
        return sum(host.weight * self.warmth(host, now) for host in self if host.state == api.READY)

    def sample(self, sample, number):
        assert set(self.ready()) == {host for host in self if host.state == api.READY}
        return super().sample(sample, number)

    def sample_warm(self, sample, number, scope):
        fit = {
            host
            for host in self
            if host.state == api.READY and scope in (None, host.zone, host.pod)
        }
        assert set(self.groups.members_of(scope)) == fit - set(self.cold_ones(self.told_at))
        return super().sample_warm(sample, number, scope)

    def advance_warm_up(self, now):
        self.told_at = now
        return super().advance_warm_up(now)


class PlainFleet(LoadBalancer):
    """Rooms worked out for each host in use at each draw, none kept."""

    def typical_time(self, method):
        return mean(self.answer_times.get(method.identity, ()), method.latency_objective / 8)

    def pick_endpoint(self, now, rpc, scope):
        method, tried = rpc.method, {attempt.endpoint for attempt in rpc.attempts}
        if cold := self.endpoints.warming_capacity(now):
            lot = self.random() * self.effective_capacity(now)
            host = self.endpoints.warming_endpoint_at(lot, now) if lot < cold else None
            if (
                host
                and host not in tried
                and scope in (None, host.zone, host.pod)
                and not self.is_outlier(self.endpoints[host], method, now)
            ):
                return host
        not_warm = set(self.endpoints.cold_ones(now))
        for which in ("in use", "others"):
            pool = (
                self.current_subset(now)
                if which == "in use"
                else self.endpoints.sample_warm(
                    self.sample, max(SUBSET_MINIMUM, len(self.subset)), scope
                )
            )
            ready = [
                pair
                for pair in pool
                if pair[0] not in not_warm and scope in (None, pair[0].zone, pair[0].pod)
            ]
            ready = [pair for pair in ready if pair[0] not in tried] or ready
            if ready:
                break
        fair = [pair for pair in ready if not self.is_outlier(pair[1], method, now)] or ready
        lags = {
            host: relative_latency(health.recent(None, now)[-8:], health.in_flight, now)
            for host, health in fair
        }
        pool = [pair for pair in fair if lags[pair[0]] < OVERLOAD_FULL]
        if not pool:
            return None
        usual = 1 + mean(len(health.in_flight) / host.weight for host, health in pool)
        return self.choices(
            pool, [self.plain_room(*pair, method, now, usual, lags[pair[0]]) for pair in pool]
        )[0][0]

    def plain_room(self, host, health, method, now, usual, lag):
        recent = health.recent(method.identity, now)
        fine = (sum(sample[2] == api.OK for sample in recent) + 2) / (len(recent) + 2)
        load = 1 + len(health.in_flight) / host.weight / usual
        local = self.same_zone_odds if host.zone == self.zone else 1.0
        return local * host.weight * (fine / lag / load) ** 2


class Play:
    """One gateway with its own objects, which is told what a seed draws; `said` is all that it answered."""

    METHODS = (
        ("look", api.IDEMPOTENT, ""),
        ("lodge", api.DEDUPLICATED, "zone"),
        ("file", api.DEDUPLICATED, "pod"),
    )

    def __init__(self, seed, hosts, plain=False):
        self.gateway, self.now, self.said = AdmissionController(seed=seed, **SETTINGS), 1e6, []
        self.due, self.order = [], itertools.count()
        if plain:
            self.gateway.load_balancer.__class__ = PlainFleet
            self.gateway.load_balancer.endpoints.__class__ = PlainHosts
        self.chance = random.Random(f"play {seed}")
        self.methods = [
            api.Method(name, 0.5, 2.0, effect, scope, 1.5, late_priority_weight=0.5)
            for name, effect, scope in self.METHODS
        ]
        self.customer = api.Customer("c", api.Plan("p"))
        self.hosts = [api.Endpoint(f"h{number}") for number in range(hosts)]
        self.rows = [
            api.EndpointEvent(
                host,
                f"z{number % 3}",
                "",
                number % 7,
                api.READY,
                self.chance.choice((0.5, 1.0, 2.0)),
                self.chance.choice((0.0, self.now - self.chance.uniform(0.0, 15.0))),
            )
            for number, host in enumerate(self.hosts)
        ]
        self.carry(self.gateway.start(self.now))
        self.carry(self.gateway.on_endpoint_events(self.now, True, self.rows))

    def carry(self, steps):
        for step in steps:
            rpc = getattr(step, "rpc", None)
            about = (
                step.endpoint.address
                if isinstance(step, actions.SendAttempt)
                else getattr(step, "reason", "")
            )
            self.said.append(
                (round(self.now, 6), type(step).__name__, about, rpc and rpc.arrived_at)
            )
            if isinstance(step, actions.SendAttempt):
                outcome = self.chance.choices(
                    (api.OK, api.ERROR, api.FULL, api.UNREACHABLE, api.RESET, api.LATE),
                    (80, 4, 6, 4, 3, 3),
                )[0]
                took = self.chance.expovariate(1 / 0.08)
                heapq.heappush(self.due, (self.now + took, next(self.order), step, outcome, took))
            elif isinstance(step, actions.CancelAttempt):
                step.attempt.outcome = "to be cancelled"
            elif isinstance(step, actions.SetTimer):
                heapq.heappush(self.due, (self.now + step.delay, next(self.order), step, "", 0.0))

    def run(self, rpcs, rate, changes=0.0):
        """So many RPCs, that many a second; as a share of them, changes of the list."""
        for _ in range(rpcs):
            self.now += self.chance.expovariate(rate)
            while self.due and self.due[0][0] <= self.now:
                at, _, step, outcome, took = heapq.heappop(self.due)
                at, self.now = self.now, at
                if isinstance(step, actions.SetTimer):
                    self.carry(self.gateway.on_timer(self.now, step.subject))
                else:
                    outcome = api.CANCELLED if step.outcome else outcome
                    self.carry(
                        self.gateway.on_attempt_ended(
                            self.now, step, outcome, over=outcome == api.OK, took=took
                        )
                    )
                self.now = at
            if self.chance.random() < changes:
                self.change()
            self.place()

    def place(self):
        rpc = api.Rpc(
            self.chance.choice(self.methods), self.customer, 1.0, self.now + 2.0, self.now
        )
        self.carry(self.gateway.admit(self.now, rpc))

    def change(self):
        """Some hosts drain, go, come back cold, move or weigh otherwise; now and then the whole list comes."""
        for at in self.chance.sample(
            range(len(self.rows)), min(len(self.rows), self.chance.randint(1, 5))
        ):
            row, what = self.rows[at], self.chance.random()
            if what < 0.3:
                row = row._replace(state=self.chance.choice((api.DRAINING, api.GONE)))
            elif what < 0.8:
                row = row._replace(
                    state=api.READY, started_at=self.now - self.chance.uniform(-0.2, 0.5)
                )
            elif what < 0.9:
                row = row._replace(weight=self.chance.choice((0.0, 1.0, 3.0)))
            else:
                row = row._replace(zone=f"z{self.chance.randrange(3)}")
            self.rows[at] = row
            self.carry(self.gateway.on_endpoint_events(self.now, False, [row]))
        if self.chance.random() < 0.2:
            self.rows.sort(key=lambda row: self.chance.random())
            named = [
                row for row in self.rows if row.state != api.GONE and self.chance.random() < 0.95
            ]
            self.carry(self.gateway.on_endpoint_events(self.now, True, named))
        if self.chance.random() < 0.1:
            same = ("zone", "counter_timeout", "may_cancel", "max_retry_after", "cross_zone_price")
            self.gateway.reconfigure(
                **{key: SETTINGS[key] for key in same},
                slow_start=self.chance.choice((0.0, 5.0, 10.0)),
                slow_start_minimum=self.chance.choice((0.25, 1.0)),
                method_identities={method.identity for method in self.methods},
            )


class Same(unittest.TestCase):
    """What is kept between RPCs changes no decision."""

    def test_the_steps_of_a_walk_over_all_hosts(self):
        for seed in range(24):
            with self.subTest(seed):
                number = (3, 12, 40, 150)[seed % 4]
                kept, plain = Play(seed, number), Play(seed, number, plain=True)
                for play in (kept, plain):
                    play.run(400, (20.0, 150.0)[seed % 2], changes=0.05)
                self.assertEqual(kept.said, plain.said)
                self.assertGreater(sum(one[1] == "SendAttempt" for one in kept.said), 100)


def operations(call):
    """The operations (opcodes) that the interpreter carries out in a call."""
    count = 0

    def trace(frame, event, about):
        nonlocal count
        frame.f_trace_lines, frame.f_trace_opcodes = False, True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


class Flat(unittest.TestCase):
    """What an RPC and a change of the list cost does not grow with the hosts that are known."""

    def cost(self, hosts):
        play = Play(1, hosts)
        play.rows = [
            row._replace(started_at=play.now - number % 12 if number % 12 == 0 else 0.0)
            for number, row in enumerate(play.rows)
        ]  # one in twelve is cold
        play.carry(play.gateway.on_endpoint_events(play.now, True, play.rows))
        play.run(60, 30.0)
        placed = sorted(operations(play.place) for _ in range(30))
        changed = {True: [], False: []}
        for row in play.rows[:60]:
            for state in (api.DRAINING, api.READY):

                def told(row=row, state=state):
                    play.gateway.on_endpoint_events(play.now, False, [row._replace(state=state)])
                    play.gateway.load_balancer.endpoints.capacity(
                        play.now
                    )  # what a later RPC would have to bring up to date

                changed[bool(row.started_at)].append(operations(told))
        cold = sum(bool(row.started_at) for row in play.rows)
        return placed[-2], sorted(changed[False])[-2], sorted(changed[True])[-2], cold

    def test_a_hundred_times_the_hosts_cost_the_same(self):
        few, many = self.cost(130), self.cost(13_000)
        self.assertLess(many[0], 1.5 * few[0])
        self.assertLess(many[1], 1.5 * few[1])
        self.assertLess(
            many[2], 1.5 * few[2] + 25 * many[3]
        )  # where a cold one changes, a few steps for each cold one


class Kept(unittest.TestCase):
    """What hosts are kept in."""

    @given(st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=60))
    def test_groups_hold_what_was_put_and_not_taken(self, steps):
        groups, here = IndexedGroups(), set()
        for member, put in steps:
            if put and member not in here:
                groups.add(member, (None, member % 2))
                here.add(member)
            elif not put and member in here:
                groups.remove(member, (None, member % 2))
                here.remove(member)
            self.assertEqual(sorted(groups.members_of(None)), sorted(here))
            self.assertEqual(sorted(groups.members_of(1)), sorted(one for one in here if one % 2))
        for member in here:
            groups.remove(member, (None, member % 2))
        self.assertEqual((groups.members, groups.positions), ({}, {}))

    @given(
        st.lists(
            st.tuples(st.floats(0, 100), st.floats(0.1, 4), st.sampled_from("pptf")), max_size=60
        ),
        st.floats(0, 120),
    )
    @limits(deadline=None)
    def test_sums_over_starts_are_those_of_a_walk(self, steps, now):
        starts, here = StartTimes(), []
        for number, (start, size, what) in enumerate(steps):
            if what == "p":
                starts.add(start, size, number)
                here.append((start, size, number))
            elif what == "t" and here:
                gone = here.pop(int(size * 7) % len(here))
                self.assertIsNotNone(starts.remove(gone[0], gone[2]))
                self.assertIsNone(starts.remove(gone[0], gone[2]))
            elif what == "f" and starts.drop_until(start):
                here = [one for one in here if one[0] > start]
            self.assertEqual(sorted(starts.rows), sorted(here))
            first = starts.index_after(50.0)
            young = [one for one in here if one[0] > 50.0]
            self.assertAlmostEqual(
                starts.total_size(first, len(starts)), sum(one[1] for one in young)
            )
            grown = sum(one[1] * max(0.0, now - one[0]) for one in young)
            self.assertAlmostEqual(starts.total_age(first, len(starts), now), grown, delta=1e-7)

    @given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 9)), max_size=40))
    def test_the_highest_of_a_time_is_that_of_all_its_values(self, steps):
        highest, at, told = SlidingMaximum(5.0), 0.0, []
        for after, value in steps:
            at += after
            highest.add(at, value)
            told.append((at, value))
            self.assertEqual(
                highest.maximum(at), max(value for when, value in told if at - when <= 5.0)
            )

    def test_a_host_far_in_the_future_or_without_a_start_is_no_trouble(self):
        hosts = EndpointList(object)
        hosts.set_slow_start(10.0, 0.0)
        rows = [
            api.EndpointEvent(api.Endpoint(f"h{at}"), "", "", 0, api.READY, 1.0, start)
            for at, start in enumerate((0.0, 99.0, 500.0))
        ]
        hosts.apply_events(100.0, True, rows)
        self.assertAlmostEqual(hosts.capacity(100.0), 1.1)
        self.assertAlmostEqual(hosts.warming_capacity(505.0), 0.5)
        hosts.apply_events(600.0, False, [row._replace(state=api.GONE) for row in rows])
        self.assertEqual((hosts.capacity(600.0), len(hosts), hosts.groups.members), (0.0, 0, {}))
        self.assertEqual(
            math.inf, hosts.advance_warm_up(1.0) if hosts.set_slow_start(0.0, 0.5) is None else 0.0
        )
