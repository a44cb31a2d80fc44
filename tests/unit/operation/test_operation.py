"""The rules of operation, without a socket."""

import copy
import math
import random
import unittest
from collections import Counter

import orjson
from hypothesis import given
from hypothesis import strategies as some

from petrellane import config
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.gateway.response_relay import BufferBudget
from petrellane.net.limits import Limits
from petrellane.operation import hot_restart, hot_restart_messages, management_requests
from petrellane.operation.backoff import Backoff, PollFailure, PollTimes
from petrellane.operation.lifecycle import Lifecycle, LifecycleState
from tests.integration.gateway.configuration import BASE_CONFIG

SETTINGS = dict(
    zone="z",
    uses_counter=True,
    counter_timeout=0.05,
    may_cancel=True,
    max_retry_after=0.5,
    slow_start=10.0,
    slow_start_minimum=0.25,
    cross_zone_price=0.0,
    must_watch=False,
)


class States(unittest.TestCase):
    def test_each_call_in_each_state(self):
        """What each call answers, and the state that follows."""
        for before, call, answer, after in (
            (LifecycleState.SERVING, "drain", True, "draining"),
            (LifecycleState.SERVING, "resume", True, LifecycleState.SERVING),
            ("draining", "drain", True, "draining"),
            ("draining", "resume", True, LifecycleState.SERVING),
            (LifecycleState.DRAINED, "drain", True, LifecycleState.DRAINED),
            (LifecycleState.DRAINED, "resume", True, LifecycleState.SERVING),
            (LifecycleState.ENDING, "drain", True, LifecycleState.ENDING),
            (LifecycleState.ENDING, "resume", False, LifecycleState.ENDING),
        ):
            service = Lifecycle(0.5, 1.8)
            service.state = before
            said = service.drain(10.0) if call == "drain" else service.resume()
            self.assertEqual((said, service.state), (answer, after), (before, call))

    @given(some.lists(some.sampled_from(["drain", "resume", "end", "empty"]), max_size=12))
    def test_nothing_leads_back_from_the_end(self, told):
        """Whatever is called, a gateway that ends goes on ending, and one that isn't ready lets clients go in time."""
        service, now, ending = Lifecycle(0.5, 1.8), 100.0, False
        service.start()
        for what in told:
            now += 0.1
            {
                "drain": lambda now=now: service.drain(now),
                "resume": service.resume,
                "end": lambda now=now: service.begin_shutdown(now),
                "empty": lambda: service.complete_drain(0),
            }[what]()
            ending = ending or what == "end"
            self.assertEqual(service.state == LifecycleState.ENDING, ending)
            self.assertEqual(service.is_ready, service.state == LifecycleState.SERVING)
            self.assertEqual(service.closes_idle_connections(now + 0.6), not service.is_ready)

    def test_said_again_a_drain_keeps_its_times(self):
        service = Lifecycle(0.5, 1.8)
        service.drain(10.0)
        service.drain(11.0)
        self.assertTrue(service.closes_idle_connections(10.5))
        self.assertFalse(service.accepts_command(11.9, connected_at=3.0))
        self.assertTrue(
            service.accepts_command(11.9, connected_at=11.0)
        )  # it came late and asks in vain, but is heard

    def test_ending_takes_nothing_behind_what_is_owed(self):
        service = Lifecycle(0.5, 1.8, 0.5, 3.0)
        service.start()
        self.assertEqual(service.final_answer_time(1.0), math.inf)
        service.begin_shutdown(10.0)
        self.assertTrue(
            service.accepts_command(10.4, 3.0, has_pending_replies=True)
        )  # as before, through the change-over
        self.assertTrue(
            service.accepts_command(12.0, 3.0, has_pending_replies=False)
        )  # a command that had begun
        self.assertFalse(service.accepts_command(10.6, 3.0, has_pending_replies=True))
        self.assertEqual(service.final_answer_time(1.0), 11.5)
        self.assertEqual(
            service.final_answer_time(9.0), 13.5
        )  # a kill waits no longer than for three seconds


class Calls(unittest.TestCase):
    def test_what_is_refused(self):
        for head, status in (
            (b"GET /-/ready HTTP/1.1\r\nHost: x", 0),
            (b"GET /-/ready?a HTTP/1.0", 0),
            (b"POST /-/ready HTTP/1.1", 405),
            (b"GET /-/drain HTTP/1.1", 405),
            (b"GET / HTTP/1.1", 404),
            (b"GET /-/ready", 400),
            (b"GET /-/ready RESP/2", 400),
            (b"", 400),
            (b"GET /-/ready HTTP/1.1\r\nno colon", 400),
            (b"*1\r\n$4\r\nPING", 400),
        ):
            path, found = self.verdict(head)
            self.assertEqual((bool(path), found), (not status, status), head)

    @given(some.binary(max_size=200))
    def test_any_bytes_have_a_verdict(self, head):
        path, status = self.verdict(head)
        self.assertTrue(
            path in management_requests.METHODS if path else status in management_requests.REASONS
        )

    @staticmethod
    def verdict(head):
        """The path of a request and 0, or None and the status that refuses it."""
        try:
            return management_requests.parse_path(head), 0
        except management_requests.RequestError as error:
            return None, error.status


class Succession(unittest.TestCase):
    @given(
        some.lists(
            some.tuples(
                some.sampled_from(["offer", "back", "to_new", "to_old"]), some.integers(0, 3)
            ),
            max_size=40,
        ),
        some.booleans(),
    )
    def test_a_connection_has_one_reader(self, told, cut):
        """Offers, words on their way both ways, and times that run out, in any order: nobody reads what another does,
        and when the link is cut nothing has two holders."""
        giver, taker, to_new, to_old = (
            hot_restart.HandoffSender(),
            hot_restart.HandoffReceiver(),
            [],
            [],
        )
        here, there = set(), set()
        things = iter(range(100))
        for what, which in told:
            if what == "offer":
                thing = next(things)
                to_new.append(
                    (hot_restart_messages.ConnectionOffer(giver.offer(thing), False), thing)
                )
            elif what == "back" and giver.offered:
                number = sorted(giver.offered)[which % len(giver.offered)]
                here.add(giver.offered[number])
                giver.withdraw(number)
            elif what == "to_new" and to_new:
                message, thing = to_new.pop(0)
                answer, ours, dropped = taker.on_message(
                    message, None if thing is None else (thing,)
                )
                there |= set(ours or ())
                self.assertFalse(set(dropped or ()) & there)
                to_old += [answer] if answer else []
            elif what == "to_old" and to_old:
                _, answer = giver.on_received(to_old.pop(0).number)
                to_new.append((answer, None))
            self.assertFalse(here & there)
        if cut:
            here |= set(giver.offered.values())
            dropped = {thing for (thing,) in taker.on_sender_lost()}
            self.assertFalse(here & there or dropped & there)

    def lease(self, plan, rpcs=()):
        """A gateway's leases with one of this plan, some of its ceiling spent by RPCs that wait."""
        gateway = AdmissionController(**SETTINGS, seed=1)
        gateway.start(100.0)
        customer = api.Customer("c", plan)
        lease = gateway.lease_manager.lease_of(customer, 110.0)
        lease.waiting += rpcs
        return gateway, lease

    def test_what_is_given_has_one_holder(self):
        """Ceiling and credit are the new process's, but for what waits here; here neither grows any more."""
        plan = api.Plan("p", rate=5.0, burst=10.0, hard_limit_rate=2.0, hard_limit_burst=8.0)
        waits = api.Rpc(api.Method("m", 1.0, 2.0), api.Customer("c", plan), 3.0, 112.0, 110.0)
        old, lease = self.lease(plan, [waits])
        before, lease.available, lease.in_flight = lease.refill_hard_limit(110.0), 4.0, 2
        messages = [
            hot_restart_messages.encode(one) for one in hot_restart.export_leases(old, 110.0)
        ]
        rows = [row for message in messages for row in message.get("leases", ())]
        rows = orjson.loads(orjson.dumps(rows))
        new = AdmissionController(**SETTINGS, seed=2)
        new.start(110.0)
        customers = {"c": api.Customer("c", plan)}
        number = hot_restart.import_leases(
            new, 110.0, rows + [{"customer": "c"}, {}], lambda name, *_: customers[name]
        )
        follows = new.lease_manager.lease_of(customers["c"], 110.0)
        self.assertEqual(
            (number, follows.available, follows.in_flight, lease.available), (1, 4.0, 2, 0.0)
        )
        self.assertEqual(lease.hard_limit, 3.0)
        self.assertAlmostEqual(lease.hard_limit + follows.refill_hard_limit(110.0), before)
        self.assertEqual(lease.refill_hard_limit(150.0), 3.0)
        self.assertAlmostEqual(follows.refill_hard_limit(111.0), min(before - 3.0 + 2.0, 8.0))
        hot_restart.release_in_flight(new, 110.0, customers["c"], 5)
        self.assertEqual(follows.in_flight, 0)
        hot_restart.resume(old, 150.0)  # the new one is gone: what it had is nobody's
        self.assertAlmostEqual(lease.refill_hard_limit(151.0), 5.0)

    def test_a_plan_without_a_quota(self):
        """Its credit has no end, which no message can say: it goes over as nothing, and is never looked at."""
        gateway, lease = self.lease(api.Plan("open"))
        lease.available = lease.granted = float("inf")
        messages = [
            hot_restart_messages.encode(one) for one in hot_restart.export_leases(gateway, 110.0)
        ]
        messages = orjson.loads(orjson.dumps(messages))
        new = AdmissionController(**SETTINGS, seed=2)
        new.start(110.0)
        customer = api.Customer("c", api.Plan("open"))
        hot_restart.import_leases(new, 110.0, messages[0]["leases"], lambda *_: customer)
        self.assertEqual(new.lease_manager.lease_of(customer, 110.0).available, 0.0)
        for _ in range(2):
            new.admit(110.0, api.Rpc(api.Method("m", 1.0, 2.0), customer, 3.0, 112.0, 110.0))

    def test_an_old_process_that_gives_nothing(self):
        """Its shares may still fill: a customer's ceiling fills in one process at a time."""
        gateway, _ = self.lease(api.Plan("q"))
        hot_restart.predecessor_still_running(gateway, 110.0)
        plan = api.Plan("p", rate=5.0, burst=10.0, hard_limit_rate=2.0, hard_limit_burst=8.0)
        lease = gateway.lease_manager.lease_of(api.Customer("d", plan), 111.0)
        self.assertEqual(
            [lease.refill_hard_limit(at) for at in (112.0, 119.9, 121.0)], [0.0, 0.0, 2.0]
        )

    def test_another_version_is_refused(self):
        version = hot_restart_messages.PROTOCOL_VERSION
        request = hot_restart_messages.TransferRequest(version)
        self.assertIsNone(hot_restart.answer_transfer_request(request))
        refusal = hot_restart.answer_transfer_request(hot_restart_messages.TransferRequest(0))
        self.assertEqual(hot_restart_messages.encode(refusal), {"refused": version})

    def test_messages_keep_their_wire_form(self):
        """Processes of two versions talk to each other: keys and their order stay."""
        messages = hot_restart_messages
        for message, text in (
            (messages.TransferRequest(1), b'{"ask":1}'),
            (messages.TransferRefusal(1), b'{"refused":1}'),
            (messages.ConsensusState({"a": 1}), b'{"generation":{"a":1}}'),
            (messages.LeaseBatch([{"customer": "c"}]), b'{"leases":[{"customer":"c"}]}'),
            (messages.LeasesComplete(3), b'{"given":3}'),
            (messages.ConnectionOffer(7, True), b'{"client":7,"asked":true}'),
            (messages.ConnectionOffer(7, False), b'{"client":7,"asked":false}'),
            (messages.ConnectionReceived(7), b'{"got":7}'),
            (messages.ConnectionReleased(7), b'{"yours":7}'),
            (messages.ConnectionRetained(7), b'{"kept":7}'),
            (messages.RequestEnded("c"), b'{"ended":"c"}'),
        ):
            with self.subTest(text):
                self.assertEqual(orjson.dumps(messages.encode(message)), text)
                decoded = messages.decode(orjson.loads(text))
                self.assertEqual((type(decoded), decoded), (type(message), message))
        record = messages.LeaseRecord("c", "p", 3, 2, {"out": 1})
        row = b'{"customer":"c","plan":"p","first":3,"spread":2,"lease":{"out":1}}'
        self.assertEqual(orjson.dumps(messages.encode_lease(record)), row)
        self.assertEqual(messages.decode_lease(orjson.loads(row)), record)
        self.assertIsNone(messages.decode({"another": 1}))


class Settings(unittest.TestCase):
    """New settings, told to the module and read by the one place for configuration."""

    def test_a_lease_goes_on_under_another_plan(self):
        """Neither its ceiling nor what is out is lost or made anew; the window that runs goes on to its end, with what the
        new plan gives in so long, and the next is the new plan's."""
        customer = api.Customer(
            "c", api.Plan("p", rate=5.0, burst=10.0, hard_limit_rate=2.0, hard_limit_burst=8.0)
        )
        gateway = AdmissionController(**SETTINGS, seed=1)
        gateway.start(100.0)
        lease = gateway.lease_manager.lease_of(customer, 101.0)
        before, lease.in_flight, lease.available = lease.refill_hard_limit(101.0), 3, 4.0
        customer.plan = api.Plan(
            "p", rate=1.0, burst=10.0, hard_limit_rate=1.0, hard_limit_burst=8.0
        )
        self.assertIs(gateway.lease_manager.lease_of(customer, 101.0), lease)
        self.assertEqual(
            (lease.in_flight, lease.refill_hard_limit(101.0), lease.allowance, lease.available),
            (3, before, 2.0, 0.8),
        )
        ends = lease.window_end
        self.assertLessEqual(ends, 103.0)
        gateway.lease_manager.lease_of(customer, ends)
        self.assertEqual((lease.allowance, lease.available, lease.window_length), (10.0, 0.0, 10.0))
        customer.plan = api.Plan(
            "p", rate=1.0, burst=10.0, hard_limit_rate=1.0, hard_limit_burst=1.0
        )
        self.assertEqual(
            gateway.lease_manager.lease_of(customer, 101.0).refill_hard_limit(101.0), 1.0
        )

    def test_what_is_known_of_a_method_outlives_its_change_and_not_its_end(self):
        before = config.parse_settings(config.Section(BASE_CONFIG["settings"], "settings"))
        told = copy.deepcopy(BASE_CONFIG["settings"])
        told["classes"][0]["effect"] = "side_effect"
        del told["classes"][1]
        now = config.reload_settings(
            before, config.parse_settings(config.Section(told, "settings"))
        )
        gateway = AdmissionController(
            seed=1, uses_counter=True, must_watch=False, **before.controller_options
        )
        host, customer = api.Endpoint("h"), api.Customer("c", before.plans["basic"])
        gateway.start(0.0)
        gateway.on_endpoint_events(
            0.0, True, [api.EndpointEvent(host, "", "", 0, api.READY, 1.0, 0.0)]
        )
        for name in ("look", "lodge"):
            attempt = actions.SendAttempt(
                api.Rpc(before.methods[name], customer, 1.0, 9.0, 1.0), host, 0, 1.0, 8.0
            )
            gateway.load_balancer.on_attempt_started(attempt)
            gateway.on_attempt_ended(1.1, attempt, api.OK, over=True, took=0.07)
        gateway.reconfigure(**now.controller_options)
        look = now.methods["look"]
        self.assertIsNot(look, before.methods["look"])
        self.assertIs(now.methods["post"], before.methods["post"])
        self.assertIs(now.plans["basic"], before.plans["basic"])
        self.assertAlmostEqual(gateway.load_balancer.typical_time(look), 0.07)
        self.assertNotIn(before.methods["lodge"].identity, gateway.load_balancer.answer_times)

    def test_a_file_that_lacks_what_the_one_in_force_has(self):
        before = config.parse_config(copy.deepcopy(BASE_CONFIG))
        for path in (
            ["name"],
            ["settings", "limits"],
            ["settings", "limits", "maxAttempts"],
            ["limits", "sockets"],
        ):
            told = copy.deepcopy(BASE_CONFIG)
            place = told
            for step in path[:-1]:
                place = place[step]
            del place[path[-1]]
            with self.assertRaisesRegex(config.ConfigError, "^" + ".".join(path) + ": missing"):
                config.parse_config(told, None, before)
        told = copy.deepcopy(BASE_CONFIG)
        del told["known"]  # the last host list is no setting
        config.parse_config(told, None, before)


class Waiting(unittest.TestCase):
    """The budget of bytes that wait."""

    def test_bodies_beyond_the_room_come_one_after_the_other(self):
        """The first body goes on when there is no room, and stays the first however often it grows."""
        budget = BufferBudget(Limits(256, 1.0, 1.0, 1, 1.0, waiting=1000))
        for size in (300, 600):
            budget.reserve("first", size)
            budget.reserve("second", size)
        self.assertEqual(
            (budget.has_room("first"), budget.has_room("second"), budget.has_room("third")),
            (True, False, False),
        )
        budget.reserve("first", 900)
        self.assertEqual((budget.has_room("first"), budget.has_room("second")), (True, False))
        budget.reserve("first", 0)
        self.assertEqual(
            (budget.has_room("second"), budget.has_room("third"), budget.reserved),
            (True, True, 600),
        )
        budget.reserve("second", 0)
        self.assertEqual((budget.reserved, budget.bodies), (0, {}))


class Backoffs(unittest.TestCase):
    """When discovery is called next."""

    def backoff(self, draw, at_first=Limits.watch_next):
        return Backoff(
            draw,
            PollTimes(
                Limits.watch_next,
                at_first,
                Limits.watch_hold,
                Limits.watch_grace,
                Limits.watch_timeout,
                Limits.backoff_first,
            ),
        )

    @given(
        some.lists(
            some.tuples(
                some.sampled_from(
                    [
                        PollFailure.FAILED,
                        PollFailure.TIMED_OUT,
                        PollFailure.REJECTED,
                        "news",
                        "none",
                    ]
                ),
                some.floats(0, 1),
                some.booleans(),
            ),
            max_size=40,
        ),
        some.randoms(),
        some.booleans(),
    )
    def test_the_next_call_begins_in_time(self, outcomes, chance, moved):
        """Whatever becomes of calls, and however much of their time they took, the next begins within the bound; it is never
        at once after a failure, and what may be held leaves its grace."""
        backoff, now, began = (
            self.backoff(chance.random, Limits.watch_first if moved else Limits.watch_next),
            100.0,
            None,
        )
        for outcome, share, watches in outcomes:
            watches = watches or not moved  # at another address the whole list is asked for
            if began is not None:
                self.assertLessEqual(
                    now - began, (Limits.watch_first if moved else Limits.watch_next) + 1e-9
                )
            began, until = now, backoff.start_poll(now, watches and not moved)
            self.assertLessEqual(until - began, Limits.watch_next)
            dialed = began + share * share * (until - began)
            self.assertLessEqual(
                dialed + backoff.remaining_hold(dialed),
                max(dialed, until - backoff.times.grace) + 1e-9,
            )
            now = until if outcome == PollFailure.TIMED_OUT else began + share * (until - began)
            if outcome in (PollFailure.FAILED, PollFailure.TIMED_OUT, PollFailure.REJECTED):
                pause = backoff.pause_after(outcome, now)
                self.assertGreater(pause, 0.0)
                now += pause
            else:
                backoff.on_success(outcome == "news")
                moved = False

    def test_times_that_leave_no_room_are_refused(self):
        for most, at_first, hold in ((5.0, 3.0, 4.0), (5.0, 2.0, 3.8)):
            with self.assertRaises(ValueError):
                Backoff(random.random, PollTimes(most, at_first, hold, 1.0, 2.0, 0.1))

    def test_a_crowd_that_is_turned_away_comes_back_spread(self):
        """Two hundred at once, time and again: no second but the first sees many more than its part, and in the long run a
        call each four seconds and a half is all that comes."""
        seconds = Counter()
        for seed in range(200):
            backoff, now = self.backoff(random.Random(seed).random), 0.0
            while now < 60:
                seconds[int(now)] += 1
                backoff.start_poll(now, True)
                now += backoff.pause_after(PollFailure.REJECTED, now)
        self.assertLess(max(count for second, count in seconds.items() if second), 75)
        self.assertLess(sum(seconds[second] for second in range(10, 60)) / 50, 46)

    def test_watches_in_step_come_apart(self):
        """Two hundred that had news at once, and none after that."""
        seconds = Counter()
        for seed in range(200):
            backoff, now = self.backoff(random.Random(seed).random), 0.0
            backoff.on_success(True)
            while now < 60:
                backoff.start_poll(now, True)
                now += backoff.remaining_hold(now)
                backoff.on_success(False)
                seconds[int(now)] += 1
        self.assertLess(max(count for second, count in seconds.items()), 95)
        self.assertLess(sum(seconds[second] for second in range(10, 60)) / 50, 60)
