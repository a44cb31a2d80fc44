"""Long lists of methods and hosts, by the operations and turns that they cost and never by time."""

import json
import unittest
from unittest import mock

from petrellane import config
from petrellane.config import endpoints
from petrellane.decisions import types as api
from tests.integration.gateway.configuration import endpoint_row
from tests.integration.gateway.scenario import GatewayScenario


class Name(str):
    """A name that counts how often it is looked up or compared."""

    asked = 0

    def __hash__(self):
        Name.asked += 1
        return str.__hash__(self)

    def __eq__(self, other):
        Name.asked += 1
        return str.__eq__(self, other)


def told(number, **more):
    """A settings object with so many methods and plans, and whatever else the first method says."""
    rows = [
        {
            "name": Name(f"m{at}"),
            "effect": "token",
            "keyScope": "all",
            "window": 4000000,
            "goalTime": 1000000,
            "giveUp": 4000000,
            "worth": 1.5,
            "lateWorth": 0.5,
            "streamed": False,
        }
        for at in range(number)
    ]
    rows[0] |= more
    return config.Section(
        {
            "classes": rows,
            "contracts": [
                {"name": Name(f"p{at}"), "quotaRate": 5, "storeSize": 9} for at in range(number)
            ],
        },
        "settings",
    )


class Slopes(unittest.TestCase):
    """What settings cost grows in step with their rows."""

    def cost(self, call):
        Name.asked = 0
        call()
        return Name.asked

    def test_settings_are_read_in_step_with_their_rows(self):
        few, many = (
            self.cost(lambda rows=rows: config.parse_settings(rows))
            for rows in (told(40), told(400))
        )
        self.assertGreater(few, 0)
        self.assertLessEqual(many, 12 * few)

    def test_settings_follow_others_in_step_with_their_rows(self):
        """Also where the first method says another thing; all else keeps its object, and that one its root."""
        costs = []
        for number in (40, 400):
            before, now = (
                config.parse_settings(told(number)),
                config.parse_settings(told(number, worth=2.0)),
            )
            costs.append(
                self.cost(lambda before=before, now=now: config.reload_settings(before, now))
            )
            after = config.reload_settings(before, now)
            other = [name for name, row in after.methods.items() if row is not before.methods[name]]
            self.assertEqual((other, after.methods["m0"].priority_weight), (["m0"], 2.0))
            self.assertIs(after.methods["m0"].identity, before.methods["m0"].identity)
            self.assertTrue(all(row is before.plans[name] for name, row in after.plans.items()))
        self.assertLessEqual(costs[1], 12 * costs[0])

    def test_what_is_wrong_in_the_last_row_is_told_in_one_line(self):
        for wrong, text in (
            ({"name": "m7"}, 'settings.classes: expected each name once, found "m7" twice'),
            ({"giveUp": 0}, "settings.classes[399].giveUp: expected a number above 0, found 0"),
            (
                {"giveUp": None},
                "settings.classes[399].giveUp: expected a number above 0, found null",
            ),
            (
                {"giveUp": 10**400},
                "settings.classes[399].giveUp: expected a number above 0, found 1000",
            ),
            (
                {"worth": float("nan")},
                "settings.classes[399].worth: expected a number from 0, found nan",
            ),
            ({"worth": True}, "settings.classes[399].worth: expected a number from 0, found true"),
            ({"worth": -1}, "settings.classes[399].worth: expected a number from 0, found -1"),
            (
                {"effect": "odd"},
                "settings.classes[399].effect: expected one of pure, token, side_effect",
            ),
        ):
            rows = told(400)
            rows.value["classes"][-1] |= wrong
            with self.assertRaises(config.ConfigError) as raised:
                config.parse_settings(rows)
            self.assertTrue(str(raised.exception).startswith(text), str(raised.exception)[:99])


def walked(*words):
    raise AssertionError("walked")


class Table(dict):
    """One that nobody may walk."""

    __iter__ = keys = values = items = walked


class Group(set):
    """One that nobody may walk."""

    __iter__ = walked


class HostLists(unittest.TestCase):
    """A gateway with hosts a and b, eight rows a turn, and lists of hosts that are not ready besides."""

    SHARE, MANY = 8, 400

    def setUp(self):
        self.net = net = GatewayScenario(1)
        self.addCleanup(net.close)
        net.do_limits(f"list_rows={self.SHARE}")
        net.do_world("a", "b")
        net.do_connect("c")
        self.told, self.checked = [], []  # (turn, rows) and the turns of checked rows
        self.tell, check = (
            net.gateway.executor.controller.on_endpoint_events,
            config.parse_endpoint_entry,
        )
        net.gateway.executor.controller.on_endpoint_events = self.listed
        patch = mock.patch.object(
            endpoints,
            "parse_endpoint_entry",
            lambda row: self.checked.append(net.turn_count) or check(row),
        )
        patch.start()
        self.addCleanup(patch.stop)

    def listed(self, now, full, rows):
        if rows is not None:
            self.told.append((self.net.turn_count, rows))
        return self.tell(now, full, rows)

    def row(self, name, state="terminating", **more):
        at = self.net.listeners[name].getsockname()[1] if name in self.net.listeners else 1
        return endpoint_row(name, f"127.0.0.1:{at}", state) | more

    def answer(self, full, *rows):
        self.net.endpoint_list_index += 1
        body = json.dumps(
            {"index": self.net.endpoint_list_index, "snapshot": full, "endpoints": rows}
        )
        return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"

    def says(self, full, *rows):
        self.net.do_says(self.answer(full, *rows))

    def many(self, number=MANY, kind="x"):
        return [self.row(f"{kind}{at}") for at in range(number)]

    def until(self, holds):
        self.net.until("a list", holds)

    def in_force(self):
        self.until(lambda: self.net.gateway.endpoint_watch.index == self.net.endpoint_list_index)

    def names(self):
        """The names in the order in which the module was told of them, each with its state."""
        by_host = {host: name for name, host in self.before.items()}
        return [
            (by_host.get(row.endpoint, row.endpoint.address), row.state)
            for _, rows in self.told
            for row in rows
        ]

    def longest(self):
        """The most rows that were told in one turn, and that were checked in one."""
        turns = [turn for turn, rows in self.told for _ in rows]
        return tuple(max(map(of.count, set(of)), default=0) for of in (turns, self.checked))

    def served(self, rpc):
        self.net.do_send("c", rpc, "look")
        self.net.do_takes(rpc)
        self.net.do_answers(rpc, "$served")
        self.net.do_reads("c", "$served")

    def test_rpcs_are_answered_while_a_long_list_is_checked_and_taken_over(self):
        node = self.net.gateway
        self.says(True, self.row("a", "in_service"), *self.many(), self.row("b", "in_service"))
        self.until(lambda: self.checked)
        self.served("r1")
        self.assertEqual(
            (self.told, node.endpoint_watch.index, self.net.pending_watch), ([], 1, None)
        )
        self.until(lambda: len(self.told) > 2)
        self.served("r2")
        self.assertTrue(node.executor.applying_endpoint_list)
        self.assertEqual(
            (node.endpoint_watch.index, self.net.pending_watch, self.net.log_lines("hosts")[1:]),
            (1, None, []),
        )
        self.in_force()
        self.assertEqual(self.longest(), (self.SHARE, self.SHARE))
        (line,) = self.net.log_lines("hosts")[1:]
        self.assertLessEqual(
            {"full": True, "changed": 402, "known": 402, "ready": 2}.items(),
            json.loads(line).items(),
        )
        self.net.do_watch("from=2&")

    def test_what_a_list_leaves_out_ends_last_and_in_shares_too(self):
        self.says(True, *self.many(), self.row("a", "in_service"), self.row("b", "in_service"))
        self.in_force()
        self.told.clear()
        self.says(True, self.row("b", "in_service"))
        self.in_force()
        self.assertEqual(self.longest()[0], self.SHARE)
        rows = [row for _, rows in self.told for row in rows]
        self.assertEqual([row.state for row in rows], [api.READY] + [api.GONE] * 401)
        self.assertEqual(
            (
                list(self.net.gateway.executor.endpoints),
                len(self.net.gateway.executor.ready_endpoints),
            ),
            (["b"], 1),
        )
        self.served("r1")

    def test_a_short_list_is_taken_over_in_the_turn_in_which_it_is_whole(self):
        self.says(True, self.row("a", "in_service"), self.row("y"))
        self.in_force()
        self.assertEqual(({turn for turn, _ in self.told}, len(self.told)), (set(self.checked), 1))
        self.assertEqual(
            [(row.state, row.endpoint.address.endswith(":1")) for row in self.told[0][1]],
            [(api.READY, False), (api.DRAINING, True), (api.GONE, False)],
        )

    def test_a_list_whose_last_row_is_of_no_form_changes_nothing(self):
        before = dict(self.net.gateway.executor.endpoints)
        self.says(True, *self.many(), self.row("a", weight=-1))
        self.until(lambda: self.net.log_lines("discovery_away"))
        (line,) = self.net.log_lines("discovery_away")
        self.assertEqual(
            json.loads(line)["error"],
            "list.endpoints[400].weight: expected a number from 0, found -1",
        )
        self.assertEqual(
            (self.told, self.net.gateway.executor.endpoints, self.longest()[1]),
            ([], before, self.SHARE),
        )
        self.net.do_watch("from=1&")
        self.served("r1")

    def test_a_change_right_behind_a_long_list_comes_after_it(self):
        self.before = dict(self.net.gateway.executor.endpoints)
        self.says(True, *self.many(), self.row("a", "in_service"), self.row("b", "in_service"))
        self.net.peers[-1].sock.send(
            self.answer(False, self.row("a")).encode()
        )  # it does not wait for the call
        self.in_force()
        self.assertEqual(
            self.names()[-3:], [("a", api.READY), ("b", api.READY), ("a", api.DRAINING)]
        )
        self.assertEqual(len(self.net.gateway.executor.ready_endpoints), 1)
        for rpc in ("r1", "r2", "r3"):
            self.served(rpc)
            self.assertEqual(self.net.endpoint_of(rpc).role, "b")

    def test_a_list_of_a_discovery_that_is_left_while_it_is_checked_is_dropped(self):
        self.says(True, *self.many())
        self.until(lambda: len(self.checked) > 2 * self.SHARE)
        self.net.do_moves("discovery")
        self.net.do_tells("whole", "a")
        self.assertEqual(list(self.net.gateway.executor.endpoints), ["a"])
        self.assertEqual([len(rows) for _, rows in self.told], [2])
        self.assertLess(len(self.checked), self.MANY)
        self.served("r1")

    def test_a_list_that_is_being_taken_over_is_in_force_before_that_of_the_next_discovery(self):
        """And what the one between told, which was left while it waited for that, is dropped."""
        self.before = dict(self.net.gateway.executor.endpoints)
        self.says(True, *self.many(), self.row("a", "in_service"))
        self.until(lambda: len(self.told) > 2)
        old = self.net.gateway.endpoint_watch
        self.net.do_moves("discovery")
        self.checked.clear()
        self.says(True, self.row("w"))
        self.until(lambda: self.checked)  # it has its one row, and waits
        self.net.do_moves("discovery")
        self.says(True, self.row("b", "in_service"))
        self.in_force()
        self.assertEqual((old.is_ended, old.index), (True, 2))
        names = self.names()
        self.assertEqual(
            names[self.MANY : self.MANY + 3],
            [
                ("a", api.READY),
                ("b", api.GONE),
                ("127.0.0.1:%d" % (self.net.listeners["b"].getsockname()[1]), api.READY),
            ],
        )
        self.assertEqual(
            [state for _, state in names[self.MANY + 3 :]], [api.GONE] * (self.MANY + 1)
        )
        self.assertEqual(list(self.net.gateway.executor.endpoints), ["b"])
        self.served("r1")

    def test_a_change_costs_what_it_names(self):
        self.says(True, *self.many(), self.row("a", "in_service"), self.row("b", "in_service"))
        self.in_force()
        executor = self.net.gateway.executor
        executor.endpoints, executor.ready_endpoints = (
            Table(executor.endpoints),
            Group(executor.ready_endpoints),
        )
        self.says(False, self.row("a"), self.row("x7", "terminated"), self.row("x8", "in_service"))
        self.in_force()
        self.assertLessEqual(
            {"known": 401, "ready": 2}.items(), json.loads(self.net.log_lines("hosts")[-1]).items()
        )

    def test_hosts_have_a_pool_while_it_holds_anything(self):
        self.says(True, *self.many(), self.row("a", "in_service"))
        self.in_force()
        pools = self.net.gateway.endpoint_pools.pools
        self.assertEqual(pools, {})
        self.served("r1")
        self.assertEqual(
            [pool.address for pool in pools.values()], [self.net.listeners["a"].getsockname()]
        )
        self.net.do_wait(17)
        self.net.clients.pop("c").sock.close()  # idle for so long, it was let go
        self.assertEqual(pools, {})
        self.net.do_connect("c")
        self.served("r2")
