"""One run of `benchmarks/scale.py`, in a process of its own: `python benchmarks/scale_play.py JSON`, one JSON line back.

A module run has a whole gateway without sockets' peers: configuration, executor, host side and decisions as `serve` puts them
together, on a clock that is told. RPCs of made-up customers come evenly drawn, are answered after 10 to 100 ms (one in a
hundred is turned away once), and a counter without faults answers within 2 ms. What a call of the decisions took is the
thread's CPU time (`time.thread_time`), so that a busy machine does not count; a run ends at its simulated length or once
it has used its CPU seconds, whichever is first. Memory is by how much the process's resident size grew. The build that is
played is the one that PYTHONPATH names.
"""

import gc
import heapq
import itertools
import json
import os
import random
import resource
import statistics
import sys
import time
from collections import Counter

import orjson

from petrellane.config import Section, parse_config, parse_endpoint_list, parse_settings
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.gateway.process import GatewayProcess
from petrellane.net.scheduler import Scheduler

EFFECTS = ("pure", "token", "side_effect")
ZONES = 12
COLD = 30.0  # seconds in which a host warms up
ANSWER = (0.01, 0.1)  # seconds that a host takes, evenly drawn
TURNED_AWAY = 0.01  # share of call-outs that their host is too full for
COUNTER = 0.002  # seconds to the counter's answer
WARM = 5.0  # seconds of RPCs before any is counted
LEAST_RPCS = 150  # however little CPU is left
LEDGER = 20.0  # seconds for which the made-up counter keeps a count, and up to as much longer
FACED = 10.0  # seconds in which a list must be taken over


def at(values, share):
    """The value below which so large a part of some values lies; 0 of none."""
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def resident():
    """Resident megabytes of this process."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


def timed(call, *words):
    """What a call gives and its CPU milliseconds."""
    began = time.thread_time()
    given = call(*words)
    return given, (time.thread_time() - began) * 1e3


def text_of_settings(methods):
    """A settings object of so many methods and four plans, as bytes: made piece by piece, as memory is measured."""
    text = bytearray(b'{"classes":[')
    for number in range(methods):
        row = {
            "name": f"service{number // 16}.method{number % 16}",
            "effect": EFFECTS[number % 3],
            "goalTime": 1_000_000,
            "giveUp": 4_000_000,
            "worth": 1.0 + number % 4,
            "window": 5_000_000,
            "keyScope": "all",
        }
        text += b"," * bool(number) + orjson.dumps(row)
    plans = [
        {
            "name": f"plan{number}",
            "quotaRate": 20.0 * (number + 1),
            "storeSize": 80.0 * (number + 1),
            "pays": 1.0,
        }
        for number in range(4)
    ]
    rest = {
        "contracts": plans,
        "familyInfo": {"mayCount": True, "counterTimeout": 80_000},
        "locality": "zone0",
        "limits": {
            "maxAttempts": 4,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfter": 500_000,
        },
        "obligations": {"cold": int(COLD * 1e6), "coldFrom": 0.25},
    }
    return bytes(text + b"]," + orjson.dumps(rest)[1:])


def row_of_host(number, status="in_service", since=0.0):
    """A host as discovery tells of it."""
    return {
        "name": f"host{number}",
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7000",
        "zone": f"zone{number % ZONES}",
        "type": "standard",
        "group": number % 48,
        "status": status,
        "weight": 1.0,
        "since_ms": int(since * 1e3),
    }


def text_of_list(hosts):
    """A whole host list, as bytes."""
    text = bytearray(b'{"index":1,"snapshot":true,"endpoints":[')
    for number in range(hosts):
        text += b"," * bool(number) + orjson.dumps(row_of_host(number))
    return bytes(text + b"]}")


def changes(index, rows):
    """Changes to a host list, as the executor is told of them."""
    return parse_endpoint_list(Section({"index": index, "endpoints": rows}, "list"))


class Clock:
    """A told time; while `live`, it goes on by itself as well."""

    def __init__(self):
        self.told, self.live = 1000.0, None

    def __call__(self):
        return self.told + (time.monotonic() - self.live if self.live is not None else 0.0)


class Ledger:
    """A counter without faults, which forgets counts that nobody has added to for a while."""

    def __init__(self):
        self.counts, self.before, self.turned = Counter(), Counter(), 0.0

    def add(self, now, name, amount):
        """Add, and tell the total."""
        if now - self.turned > LEDGER:
            self.counts, self.before, self.turned = Counter(), self.counts, now
        if name not in self.counts:
            self.counts[name] = self.before.get(name, 0.0)
        self.counts[name] += amount
        return self.counts[name]


class Costs:
    """CPU milliseconds of what was called, since `clear`."""

    def __init__(self, now):
        self.clear(now)

    def clear(self, now):
        self.since, self.total, self.longest = now, 0.0, 0.0
        self.decisions, self.agains, self.adds, self.rpcs, self.pushed = [], [], 0, 0, 0

    def figures(self, now):
        return {
            "decision_p50_ms": at(self.decisions, 0.5),
            "decision_p99_ms": at(self.decisions, 0.99),
            "decision_longest_ms": max(self.decisions, default=0.0),
            "call_longest_ms": self.longest,
            "again_p50_ms": at(self.agains, 0.5),
            "again_p99_ms": at(self.agains, 0.99),
            "cores": self.total / 1e3 / max(1e-9, now - self.since),
            "adds_per_rpc": self.adds / max(1, self.rpcs),
            "pushed_back": self.pushed / max(1, self.rpcs),
            "rpcs_measured": self.rpcs,
        }


class Traffic:
    """RPCs for one module, or for several that share a counter. Costs are of place() with what settles the RPC after an ask,
    and of again(), apart; `total` is of every call."""

    def __init__(self, seed, now=1000.0):
        self.random, self.ledger, self.now = random.Random(seed), Ledger(), now
        self.due, self.order, self.costs, self.owed = [], itertools.count(), Costs(self.now), {}
        self.units, self.placed = 0.0, 0

    def call(self, gateway, call, *words, **more):
        began = time.thread_time()
        steps = call(*words, **more)
        cost = (time.thread_time() - began) * 1e3
        self.costs.total += cost
        self.costs.longest = max(self.costs.longest, cost)
        self.carry(gateway, steps)
        return steps, cost

    def later(self, seconds, what, gateway, about):
        heapq.heappush(self.due, (self.now + seconds, next(self.order), what, gateway, about))

    def carry(self, gateway, steps):
        for step in steps:
            kind = type(step)
            if kind is actions.SendAttempt:
                self.units += step.rpc.units * (step.number == 0)
                self.later(self.random.uniform(*ANSWER), "answer", gateway, step)
            elif kind is actions.CounterAdd:
                self.costs.adds += 1
                self.later(COUNTER, "counted", gateway, step)
            elif kind is actions.SetTimer:
                self.later(step.delay, "woken", gateway, step.subject)
            elif kind is actions.Reject:
                self.costs.pushed += 1

    def settled(self, steps, cost):
        """A call settled these RPCs and took so long: each has its part."""
        decided = [
            step.rpc
            for step in steps
            if isinstance(step, actions.SendAttempt | actions.Reject) and step.rpc in self.owed
        ]
        for rpc in decided:
            self.costs.decisions.append(self.owed.pop(rpc) + cost / len(decided))

    def place(self, gateway, method, customer, units=1.0):
        rpc = api.Rpc(method, customer, units, self.now + method.deadline, self.now)
        self.costs.rpcs += 1
        self.placed += 1
        self.owed[rpc] = 0.0
        steps, cost = self.call(gateway, gateway.admit, self.now, rpc)
        self.settled(steps, cost)
        if rpc in self.owed:  # it waits for credit
            self.owed[rpc] = cost

    def until(self, now):
        """Make what is due by then happen."""
        while self.due and self.due[0][0] <= now:
            self.now, _, what, gateway, about = heapq.heappop(self.due)
            if what == "answer":
                full = self.random.random() < TURNED_AWAY
                _, cost = self.call(
                    gateway,
                    gateway.on_attempt_ended,
                    self.now,
                    about,
                    api.FULL if full else api.OK,
                    over=not full,
                    took=self.now - about.sent_at,
                )
                self.costs.agains.append(cost)
            elif what == "counted":
                self.settled(
                    *self.call(
                        gateway,
                        gateway.on_counter_reply,
                        self.now,
                        about,
                        api.OK,
                        self.ledger.add(self.now, about.name, about.amount),
                    )
                )
            else:
                self.settled(*self.call(gateway, gateway.on_timer, self.now, about))
        self.now = now


class Rig:
    """One gateway on a told clock, its settings and list read from bytes as they would come."""

    def __init__(self, told):
        self.told, self.clock, self.index, self.figures = told, Clock(), 1, {}
        words, rows = text_of_settings(told["methods"]), text_of_list(told["hosts"])
        self.before, raw = resident(), orjson.loads(words)
        times = []
        while len(times) < 5 and sum(times) < 300.0:
            times.append(timed(parse_settings, Section(raw, "settings"))[1])
        self.figures["settings_read_ms"] = statistics.median(times)
        self.node = GatewayProcess(
            parse_config(
                {
                    "name": "g0",
                    "seed": "1",
                    "listen": "127.0.0.1:1",
                    "discovery": "127.0.0.1:1",
                    "counter": "127.0.0.1:1",
                    "settings": raw,
                }
            ),
            os.open(os.devnull, os.O_WRONLY),
            scheduler=Scheduler(monotonic=self.clock),
        )
        self.executor, self.gateway = self.node.executor, self.node.executor.controller
        self.node.scheduler.offset = 0.0
        self.executor.start(self.node.config.known)
        gc.collect()
        gc.freeze()  # as `serve` does
        times = []
        while len(times) < 5 and sum(times) < 100.0:
            listed, took = timed(lambda: parse_endpoint_list(Section(orjson.loads(rows), "list")))
            times.append(took)
        self.figures["list_parse_ms"] = statistics.median(times)
        self.figures["list_whole_ms"], self.figures["list_turn_ms"] = self.take(
            listed, told["hosts"]
        )
        self.traffic = Traffic(told["seed"], self.clock.told)
        self.methods = list(self.executor.settings.methods.values())
        self.plans, self.number = list(self.executor.settings.plans.values()), itertools.count()

    def take(self, listed, known=None):
        """Have the executor take a list over; the CPU milliseconds in all and of the longest turn. `known`: so many hosts
        must be known then."""
        scheduler, done, spent, end = self.node.scheduler, [], [], time.monotonic() + FACED
        self.clock.live = time.monotonic()

        def told():
            self.node.on_endpoint_list(listed)
            done.append(True)

        scheduler.spawn(told)
        while (
            not done
            or scheduler.ready
            or known is not None
            and len(self.executor.endpoints) != known
        ):
            if time.monotonic() > end:
                raise SystemExit(
                    f"list: expected it taken over in {FACED:g} s, found {len(self.executor.endpoints)} hosts"
                )
            spent.append(timed(scheduler.turn, 0)[1])
        self.clock.told, self.clock.live = self.clock(), None
        return sum(spent), max(spent)

    def change(self, rows):
        """Changes to the list; CPU milliseconds in all and of the longest turn."""
        self.index += 1
        self.clock.told = self.traffic.now
        return self.take(changes(self.index, rows))

    def customer(self, number=None):
        number = self.traffic.random.randrange(self.told["customers"]) if number is None else number
        return self.executor.customers.get_or_create(
            f"customer{number}", self.plans[number % len(self.plans)], 0, 4, self.traffic.now
        )

    def play(self, seconds, each=None, budget=None, number=None):
        """RPCs for so many seconds of the told clock, or until the CPU time is used up; the seconds played. `each` is called
        before every RPC; `number` gives the next customer's number."""
        traffic, began, cpu = self.traffic, self.traffic.now, time.thread_time()
        at = began
        while (at := at + traffic.random.expovariate(self.told["rpcs"])) < began + seconds:
            if (
                budget is not None
                and time.thread_time() - cpu > budget
                and traffic.costs.rpcs >= LEAST_RPCS
            ):
                break
            if each:
                each(at)
            traffic.until(at)
            traffic.place(
                self.gateway,
                traffic.random.choice(self.methods),
                self.customer(next(number) if number else None),
            )
        return traffic.now - began

    def flips(self, times):
        """CPU milliseconds of one host's change of state, by the executor, and by the decisions alone."""
        by_driver, alone = [], []
        for number in range(times):
            which = number // 2 % self.told["hosts"]
            state = "terminating" if number % 2 == 0 else "in_service"
            by_driver.append(self.change([row_of_host(which, state)])[0])
        for number in range(times):
            host = self.executor.endpoints[f"host{number // 2 % self.told['hosts']}"]
            state = api.DRAINING if number % 2 == 0 else api.READY
            row = api.EndpointEvent(
                host, host.zone, host.kind, host.pod, state, host.weight, host.started_at
            )
            alone.append(timed(self.gateway.on_endpoint_events, self.traffic.now, False, [row])[1])
        return statistics.median(by_driver), statistics.median(alone)

    def alone(self):
        """CPU milliseconds in which the decisions alone take a whole list over."""
        rows = [
            api.EndpointEvent(
                api.Endpoint(name),
                host.zone,
                host.kind,
                host.pod,
                host.state,
                host.weight,
                host.started_at,
            )
            for name, host in self.executor.endpoints.items()
        ]
        fresh = AdmissionController(
            seed=1, uses_counter=True, must_watch=False, **self.executor.settings.controller_options
        )
        return timed(fresh.on_endpoint_events, self.traffic.now, True, rows)[1]


def module(told):
    """Figures of one gateway of a size."""
    rig = Rig(told)
    rig.play(min(WARM, told["seconds"]), budget=told["budget"] / 4)
    rig.traffic.costs.clear(rig.traffic.now)
    rig.play(told["seconds"], budget=told["budget"])
    found = {**rig.figures, **rig.traffic.costs.figures(rig.traffic.now)}
    found["memory_mb"] = resident() - rig.before
    found["leases"] = len(rig.gateway.lease_manager.leases)
    found["list_change_ms"], found["list_change_choice_ms"] = rig.flips(12)
    found["list_choice_ms"] = rig.alone()
    return found


def replaced(told):
    """Half of the hosts replaced within a minute, ten times a second some, while RPCs come."""
    rig, took, turns, gone = Rig(told), [], [], 0
    rig.play(WARM, budget=told["budget"] / 4)
    rig.traffic.costs.clear(rig.traffic.now)
    began, rate = rig.traffic.now, told["hosts"] / 2 / 60

    def each(now):
        nonlocal gone
        due = min(told["hosts"] // 2, int((now - began) * rate))
        if due - gone >= rate / 10 or due > gone and due == told["hosts"] // 2:
            rows = [
                row
                for number in range(gone, due)
                for row in (
                    row_of_host(number, "terminated"),
                    row_of_host(told["hosts"] + number, since=now),
                )
            ]
            whole, turn = rig.change(rows)
            took.append(whole)
            turns.append(turn)
            gone = due

    seconds = rig.play(60.0, each, told["budget"])
    return {
        **rig.traffic.costs.figures(rig.traffic.now),
        "seconds": seconds,
        "replaced": gone,
        "changes_p50_ms": at(took, 0.5),
        "turn_longest_ms": max(turns, default=0.0),
        "memory_mb": resident() - rig.before,
    }


def zone(told):
    """A zone's hosts gone at once, and fifteen seconds later back at once and cold."""
    rig, found = Rig(told), {}
    rows = [number for number in range(told["hosts"]) if number % ZONES == 1]
    for phase, seconds in (("before", 5.0), ("gone", 15.0), ("back", 20.0)):
        if phase != "before":
            status, since = (
                ("terminated", 0.0) if phase == "gone" else ("in_service", rig.traffic.now)
            )
            whole, turn = rig.change([row_of_host(number, status, since) for number in rows])
            found |= {f"{phase}_taken_ms": whole, f"{phase}_turn_ms": turn}
        rig.traffic.costs.clear(rig.traffic.now)
        played = rig.play(seconds, budget=told["budget"] / 3)
        told_of = rig.traffic.costs.figures(rig.traffic.now)
        found |= {
            f"{phase}_seconds": played,
            **{
                f"{phase}_{name}": told_of[name]
                for name in (
                    "decision_p50_ms",
                    "decision_p99_ms",
                    "call_longest_ms",
                    "pushed_back",
                    "cores",
                )
            },
        }
    return {**found, "hosts_of_zone": len(rows), "memory_mb": resident() - rig.before}


def seen_once(told):
    """Every customer once in a minute, all through one gateway: the most that one can have of them."""
    rig = Rig({**told, "rpcs": told["customers"] / 60})
    order = itertools.count()
    seconds = rig.play(60.0, budget=told["budget"], number=order)
    return {
        **rig.traffic.costs.figures(rig.traffic.now),
        "seconds": seconds,
        "customers_seen": rig.traffic.placed,
        "leases": len(rig.gateway.lease_manager.leases),
        "memory_mb": resident() - rig.before,
    }


def fifty(told):
    """A list that changes fifty times a second, one host's state at a time."""
    rig, took, turns, count = Rig(told), [], [], itertools.count()
    rig.play(WARM, budget=told["budget"] / 4)
    rig.traffic.costs.clear(rig.traffic.now)
    began, done = rig.traffic.now, 0

    def each(now):
        nonlocal done
        while done < (now - began) * 50:
            number = next(count)
            which = number // 2 * 7 % told["hosts"]
            whole, turn = rig.change(
                [row_of_host(which, "terminating" if number % 2 == 0 else "in_service")]
            )
            took.append(whole)
            turns.append(turn)
            done += 1

    seconds = rig.play(20.0, each, told["budget"])
    return {
        **rig.traffic.costs.figures(rig.traffic.now),
        "seconds": seconds,
        "changes": done,
        "changes_p50_ms": at(took, 0.5),
        "changes_cores": sum(took) / 1e3 / seconds,
        "turn_longest_ms": max(turns, default=0.0),
        "memory_mb": resident() - rig.before,
    }


def spread(told):
    """One customer that comes evenly to so many gateways, at 1.5 times what its plan allows, and one counter for all."""
    rate, gateways = told["rpcs"], told["gateways"]
    plan = api.Plan("plan", rate=rate / 1.5, burst=4 * rate / 1.5)
    method, customer = (
        api.Method("look", 1.0, 4.0, api.IDEMPOTENT),
        api.Customer("customer", plan, 0, gateways),
    )
    before, traffic, all_of = resident(), Traffic(told["seed"]), []
    for number in range(gateways):
        gateway = AdmissionController(
            seed=number,
            uses_counter=True,
            must_watch=False,
            zone="",
            counter_timeout=0.08,
            may_cancel=True,
            max_retry_after=0.5,
            slow_start=COLD,
            slow_start_minimum=0.25,
            cross_zone_price=0.0,
            method_identities={method.identity},
        )
        traffic.carry(gateway, gateway.start(traffic.now))
        traffic.carry(
            gateway,
            gateway.on_endpoint_events(
                traffic.now,
                True,
                [
                    api.EndpointEvent(api.Endpoint(f"host{host}"), "", "", 0, api.READY, 1.0, 0.0)
                    for host in range(told["hosts"])
                ],
            ),
        )
        all_of.append(gateway)
    began, cpu, now = traffic.now, time.thread_time(), traffic.now
    traffic.costs.clear(began)
    while (now := now + traffic.random.expovariate(rate)) < began + told["seconds"]:
        if time.thread_time() - cpu > told["budget"]:
            break
        traffic.until(now)
        traffic.place(traffic.random.choice(all_of), method, customer)
    seconds = traffic.now - began
    allowed = min(traffic.placed, plan.rate * seconds + plan.burst)
    return {
        **traffic.costs.figures(traffic.now),
        "seconds": seconds,
        "gateways": gateways,
        "units_let_through": traffic.units,
        "units_allowed": allowed,
        "share_of_allowed": traffic.units / allowed,
        "memory_mb": resident() - before,
    }


def sets(told):
    """The hosts in use over many gateways: in how many sets each host is, and how many of a set move when one host is
    replaced, beside as many RPCs without that."""
    method, plan = api.Method("look", 1.0, 4.0, api.IDEMPOTENT), api.Plan("plan")
    traffic, all_of, hosts = Traffic(told["seed"]), [], told["hosts"]
    for number in range(told["gateways"]):
        gateway = AdmissionController(
            seed=number + told["seed"] * 10_000,
            uses_counter=True,
            must_watch=False,
            zone="",
            counter_timeout=0.08,
            may_cancel=True,
            max_retry_after=0.5,
            slow_start=COLD,
            slow_start_minimum=0.25,
            cross_zone_price=0.0,
            method_identities={method.identity},
        )
        traffic.carry(gateway, gateway.start(traffic.now))
        traffic.carry(
            gateway,
            gateway.on_endpoint_events(
                traffic.now,
                True,
                [
                    api.EndpointEvent(
                        api.Endpoint(f"host{host}"),
                        f"zone{host % ZONES}",
                        "",
                        0,
                        api.READY,
                        1.0,
                        0.0,
                    )
                    for host in range(hosts)
                ],
            ),
        )
        all_of.append(gateway)
    customers = [api.Customer(f"customer{number}", plan) for number in range(200)]

    def play(each):
        """So many RPCs at each gateway, at the rate of each."""
        for _ in range(each):
            for gateway in all_of:
                traffic.until(traffic.now + traffic.random.expovariate(told["rpcs"] * len(all_of)))
                traffic.place(gateway, method, traffic.random.choice(customers))

    def in_use():
        return [{host.address for host, _ in gateway.load_balancer.subset} for gateway in all_of]

    play(told["each"])
    first = in_use()
    play(8)
    second = in_use()
    gone = next(iter(second[0]))
    for gateway in all_of:
        host = next(host for host in gateway.load_balancer.endpoints if host.address == gone)
        new = api.Endpoint("host-new", zone=host.zone, started_at=traffic.now)
        traffic.carry(
            gateway,
            gateway.on_endpoint_events(
                traffic.now,
                False,
                [
                    api.EndpointEvent(host, host.zone, "", 0, api.GONE, 1.0, 0.0),
                    api.EndpointEvent(new, host.zone, "", 0, api.READY, 1.0, traffic.now),
                ],
            ),
        )
    play(8)
    third = in_use()
    counts = Counter(address for one in second for address in one)
    in_sets = [counts.get(f"host{number}", 0) for number in range(hosts)]
    had = [
        len(before - after) for before, after in zip(second, third, strict=True) if gone in before
    ]
    rest = [
        len(before - after)
        for before, after in zip(second, third, strict=True)
        if gone not in before
    ]
    return {
        "gateways": len(all_of),
        "hosts": hosts,
        "rpcs_each": told["rpcs"],
        "set_mean": statistics.mean(map(len, second)),
        "sets_least": min(in_sets),
        "sets_mean": statistics.mean(in_sets),
        "sets_most": max(in_sets),
        "sets_deviation": statistics.pstdev(in_sets),
        "hosts_in_none": in_sets.count(0),
        "moved_without": statistics.mean(
            len(one - other) for one, other in zip(first, second, strict=True)
        ),
        "sets_with_the_host": len(had),
        "moved_with_the_host": statistics.mean(had or [0]),
        "moved_others": statistics.mean(rest or [0]),
        "sets_with_the_new_host": sum("host-new" in one for one in third),
    }


def hollow(told):
    """Figures of hollow gateways beside the real roles; changes of settings are told as so many a second."""
    from petrellane.testbed.scale.config import ScaleConfig, ScaleError
    from petrellane.testbed.scale.runner import play

    words = {key: value for key, value in told.items() if key not in ("kind", "settings_rate")}
    try:
        found = play(
            ScaleConfig(
                **words, settings_changes=round(told.get("settings_rate", 0.0) * told["seconds"])
            )
        )
    except ScaleError as trouble:
        return {"void": str(trouble)}
    figures = {
        f"{role}_{name}": value
        for role, row in found["roles"].items()
        if row["number"]
        for name, value in row.items()
    }
    for kind, row in found["roles"]["hollow"].get("by", {}).items():
        figures |= {f"hollow_to_{kind}_{name}": value for name, value in row.items()}
    for part, name in (("list", "list"), ("settings", "settings"), ("ready_s", "ready")):
        figures |= {f"{name}_{key}": value for key, value in (found.get(part) or {}).items()}
    figures["settings_lost"] = figures["settings_changes"] - figures["settings_committed"]
    figures["ready_median_s"], figures["ready_last_s"] = (
        figures.pop("ready_median", None),
        figures.pop("ready_last", None),
    )
    return {name: value for name, value in figures.items() if isinstance(value, int | float)} | {
        "void": found["void"]
    }


KINDS = {
    one.__name__: one for one in (module, replaced, zone, seen_once, fifty, spread, sets, hollow)
}


def main(text):
    told = json.loads(text)
    print(json.dumps(KINDS[told["kind"]](told)))


if __name__ == "__main__":
    main(sys.argv[1])
