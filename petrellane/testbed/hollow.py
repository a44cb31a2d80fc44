"""Hollow gateways, hundreds in one process on one scheduler: all that a gateway is but its clients and hosts.

Each is a `GatewayProcess` as `serve` runs it: the watch of the host list, the links to the counter, the management listener, the
agent, the executor with the decisions. What differs: it listens for no clients, RPCs are drawn here and handed to its executor
as a client's bytes would be; call-outs go to no socket but end ok after a drawn time (`Answering`); what its module knows
of the host list are `SEEN` hosts, the share of one service of 250 among 13,000, while the list comes and is read whole.
Without its module it holds no host at all, and no RPC comes.

A process of 300 is no 300 machines: they share one core and one poll over all their descriptors, whose cost grows with their
number; where that is busy, all of them are late. The rig tells how long a turn took.
"""

import gc
import os
import random
import sys
from collections import Counter as Tally
from dataclasses import replace

import orjson

from petrellane.config import Section, parse_config, parse_endpoint_list
from petrellane.decisions import types as api
from petrellane.gateway.client_request import ClientRequest, Command
from petrellane.gateway.endpoint_watch import EndpointWatch
from petrellane.gateway.process import GatewayProcess
from petrellane.net import resp
from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.testbed.command_pipe import CommandPipe
from petrellane.testbed.services import MAXIMUM_LOG_LINES

SEEN = 52  # hosts that a module knows
WORK = 0.02  # mean seconds of a call-out
WIDE = 10  # every so many customers, one comes to all gateways; the others to `FEW`
FEW = 3
BACK = 2000  # changes that one list may bring of which each is told
EVERY = 0.5  # seconds between lines on who has heard what since
SWITCH = 0.0005  # seconds that one thread goes on for: each agent has one that writes, and they wait for each other
LINE = 300  # times in one line of the log, which then goes whole


class PendingAttempt:
    """A call-out that is out nowhere."""

    __slots__ = ("attempt",)

    def __init__(self, attempt):
        self.attempt = attempt


class Answering:
    """In the place of the connections to hosts: every call-out ends ok, after a time drawn around WORK."""

    def __init__(self, scheduler, limits, ended, rng):
        self.scheduler, self.limits, self.ended, self.random = scheduler, limits, ended, rng
        self.pools, self.counts, self.open_connections, self.out = (
            {},
            Tally(),
            0,
            {},
        )  # as figures and hand-over read them

    def on_endpoint_changed(self, host, address):
        """Nobody dials."""

    def on_endpoint_removed(self, host):
        """Nobody is connected."""

    def send(self, request, attempt):
        took = min(self.random.expovariate(1 / WORK), attempt.timeout)
        self.out[attempt] = self.scheduler.after(took, lambda: self.over(attempt, api.OK))

    def over(self, attempt, outcome):
        if timer := self.out.pop(attempt, None):
            timer.cancel()
            self.ended(PendingAttempt(attempt), outcome, b"x", b"")

    def cancel(self, attempt):
        self.scheduler.soon(self.over, attempt, api.CANCELLED)

    def on_client_disconnected(self, attempts, may_cancel=True):
        """No client leaves."""

    def expire(self, attempts):
        for attempt in attempts:
            self.over(attempt, api.LATE)


class Watch(EndpointWatch):
    """The watch of the list as it is, but that a whole list is read once for all gateways of the process that get the same:
    each would spend a tenth of a second on 13,000 hosts, one after the other on one core. `whole` has the last one."""

    whole = {}

    def decode(self, body):
        """As there."""
        body = bytes(body)
        told = self.whole.get(body) or parse_endpoint_list(Section(orjson.loads(body), "list"))
        if told.full and body not in self.whole:
            self.whole.clear()
            self.whole[body] = told
        return told


class Hollow(GatewayProcess):
    """One hollow gateway, which tells its `crowd` of each list. `fresh`: it has a list of before, and knows what is in
    force, as one of a fleet that has been at rest; else it asks for both, as after a start."""

    def __init__(self, crowd, config, number, fresh):
        super().__init__(config, limits=crowd.limits, scheduler=crowd.scheduler)
        self.crowd, self.number, self.fresh, self.first = crowd, number, fresh, config.known
        self.heard_of = config.known.index if fresh else None
        self.endpoint_pools = self.executor.endpoint_pools = Answering(
            self.scheduler, self.limits, self.executor.on_attempt_ended, crowd.random
        )
        self.executor.log, self.executor.counts = Quiet(self.log), crowd.tally

    def start(self):
        """As a node does, but that nobody listens for clients."""
        self.executor.start(self.seen(self.first))
        if self.agent:
            self.agent.load()
        self.scheduler.spawn(self.endpoint_watch.run)
        if self.config.management:
            self.management.listen(self.config.management)
        self.run_heartbeat()
        self.log_figures()
        self.begin_serving()
        if self.agent and self.fresh:
            standing = self.agent.status
            standing.responders.update(standing.roster)
            standing.set_roster(standing.roster)
            self.agent.notify_if_ready()

    def make_watch(self, index):
        return Watch(
            self.runtime, self.config.discovery, index, self, self.executor.controller.random
        )

    def seen(self, told):
        """What of a list its module knows: the hosts of its share, by their numbers."""
        if not self.crowd.module:
            return replace(told, entries=[])
        first, hosts, entries = self.number * SEEN, self.crowd.hosts, self.crowd.numbered(told)
        wanted = [(first + at) % hosts for at in range(min(SEEN, hosts))]
        return replace(told, entries=[entries[number] for number in wanted if number in entries])

    def on_endpoint_list(self, told):
        if told is None:
            self.executor.on_endpoint_list(None)
            return
        self.executor.on_endpoint_list(self.seen(told))
        before, self.heard_of = self.heard_of, told.index
        self.crowd.listed(before, told.index)

    def log_figures(self):
        """What was counted is told for the whole process, with the meter's figures."""


class Quiet:
    """A log without the line of each change of the list, of which the process tells the times of all its gateways."""

    def __init__(self, log):
        self.log = log

    def event(self, event, **figures):
        if event != "hosts":
            self.log.event(event, **figures)

    def fault(self, error):
        self.log.fault(error)


class Load:
    """RPCs at a steady rate over the hollow gateways of this process and the customers that come to each."""

    def __init__(self, crowd, told, numbers):
        self.crowd, self.rate, self.on, self.sent = crowd, told["rpcs"], False, 0
        self.random = random.Random(f"load {told['seed']} {numbers[0]}")
        self.gateways, self.methods = told["gateways"], told["methods"]
        self.wide = [number for number in range(told["customers"]) if number % WIDE == 0]
        self.narrow = {number: [] for number in numbers}
        for customer in range(told["customers"]):
            if customer % WIDE:
                for step in range(min(FEW, self.gateways)):
                    at = (self.first(customer) + step) % self.gateways
                    if at in self.narrow:
                        self.narrow[at].append(customer)

    def first(self, customer):
        return customer * 7919 % self.gateways  # a prime: neighbours come to other gateways

    def begin(self):
        self.on = self.rate > 0
        if self.on:
            self.next = self.crowd.scheduler.now()
            self.some()

    def quiet(self):
        self.on = False

    def some(self):
        """Those that are due by now, each at its own time of the schedule."""
        now, sent = self.crowd.scheduler.now(), 0
        while self.on and self.next <= now and sent < 64:
            self.next += self.random.expovariate(self.rate)
            self.one()
            sent += 1
        if self.on:
            self.crowd.scheduler.after(max(0.0, self.next - self.crowd.scheduler.now()), self.some)

    def one(self):
        node = self.random.choice(self.crowd.nodes)
        few = self.narrow[node.number]
        wide = not few or self.random.random() < 1 / WIDE
        customer = self.random.choice(self.wide if wide else few)
        first, spread = (
            (0, self.gateways) if wide else (self.first(customer), min(FEW, self.gateways))
        )
        method, self.sent = self.random.choice(self.methods), self.sent + 1
        name, query, key = method["name"], method["effect"] == "pure", ",k=k%d" % self.sent
        words = resp.words(
            b"SVC.QUERY" if query else b"SVC.SUBMIT",
            b"%016X" % (customer + 1),
            b"r%d" % self.sent,
            f"c={name},t=sold,d={method['giveUp'] // 1000},first={first},spread={spread}{'' if query else key}".encode(),
        )
        spans, end = resp.command(words, 0, node.limits)
        request = ClientRequest(words, Command(0, spans, end), self.crowd, is_query=query)
        node.executor.on_request(request)


class Crowd:
    """All hollow gateways of one process."""

    def __init__(self, told, scheduler, log):
        self.log, self.tally, self.firsts = log, Tally(), []
        self.scheduler, self.hosts, self.module = scheduler, told["hosts"], told["module"]
        self.random, self.nodes, self.answers = random.Random(told["seed"]), [], 0
        self.arrivals, self.counting, self.last = {}, False, (None, {})
        with open(told["file"], "rb") as file:
            base = parse_config(orjson.loads(file.read()))
        self.limits = Limits.of(base)
        for number in told["numbers"]:
            name = f"g{number}"
            config = replace(base, name=name, seed=told["seed"] * 10_000 + number, management=None)
            if base.consensus:
                state = os.path.join(told["folder"], name)
                os.makedirs(state, exist_ok=True)
                config = replace(
                    config,
                    management=base.consensus.members[name][0],
                    consensus=replace(base.consensus, state=state),
                )
            self.nodes.append(Hollow(self, config, number, told["fresh"]))
        self.cut = [node for node in self.nodes if node.number < told["cut"]]
        self.load = Load(self, told, told["numbers"])

    def start(self):
        for at, node in enumerate(
            self.nodes
        ):  # not all in one turn: none is to stand still meanwhile
            self.scheduler.after(at * 0.005, node.start)
        self.look()
        self.tell()

    def look(self):
        """Lines of logs that a full pipe has held back go out."""
        self.scheduler.after(0.05, self.look)
        for one in (self, *self.nodes):
            one.log.flush()

    def numbered(self, told):
        """The entries of a list by the numbers of their hosts; found once for all gateways that have the same list."""
        if self.last[0] is not told:
            self.last = told, {int(entry.name[1:]): entry for entry in told.entries}
        return self.last[1]

    def on_answered(self):
        self.answers += 1

    def is_client_gone(self):
        return False

    def listed(self, before, index):
        """One gateway has a list of this index now, and had another before."""
        now = round(self.scheduler.now(), 4)
        if before is None:
            self.firsts.append(now)
        elif self.counting:
            for one in range(max(before, index - BACK) + 1, index + 1):
                self.arrivals.setdefault(one, []).append(now)

    def tell(self):
        """Log who has heard what since the last time."""
        self.scheduler.after(EVERY, self.tell)
        arrivals, self.arrivals, firsts, self.firsts = self.arrivals, {}, self.firsts, []
        for index, times in arrivals.items():
            self.times("heard", times, index=index)
        self.times("listed", firsts)

    def times(self, event, times, **more):
        """Times of many gateways, in lines that go whole."""
        for at in range(0, len(times), LINE):
            self.log.event(
                event,
                **more,
                since=times[0],
                times=[round(one - times[0], 4) for one in times[at : at + LINE]],
            )

    def begin(self):
        self.counting = True
        self.load.begin()

    def quiet(self):
        self.load.quiet()

    def unreachable(self):
        """Connections to the management listeners of some come up, and nobody takes them."""
        for node in self.cut:
            node.management.pause_accepting()

    def reachable(self):
        for node in self.cut:
            node.management.resume_accepting()

    def figures(self):
        """Sums since the start, for the meter's line."""
        longest, self.scheduler.longest = self.scheduler.longest, 0.0
        return {
            "rpcs": self.load.sent,
            "answers": self.answers,
            "tally": self.tally,
            "turn": round(longest, 4),
        }


def run(path, meter):
    """Be the hollow gateways of one process, by the file that the rig has written, until the rig ends it."""
    with open(path, "rb") as file:
        told = orjson.loads(file.read())
    sys.setswitchinterval(SWITCH)
    scheduler = Scheduler()
    log = Logger(1, "hollow", scheduler.now, MAXIMUM_LOG_LINES)
    log.event("empty", rss=meter.resident())
    crowd = Crowd(told, scheduler, log)
    gc.collect()
    gc.freeze()
    CommandPipe(
        scheduler,
        told["words"],
        {
            "begin": crowd.begin,
            "quiet": crowd.quiet,
            "cut": crowd.unreachable,
            "heal": crowd.reachable,
        },
    )
    meter.more = crowd.figures
    scheduler.soon(crowd.start)
    scheduler.run()
    return 0
