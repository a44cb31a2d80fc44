"""Other ways to choose a host, behind the module's interface: what the model plays beside it, judged by the same invariant checker.

Each is written from its published description, as plainly as it goes, and decides which host alone: nothing is pushed back
for pressure, there is no quota, and a further call-out follows only an outcome that proves that the one before never ran.
All keep to hosts that the list calls ready, and weigh by the list's shares where their description has weights.

- `uniform`, `round robin` (from a place drawn at each start, as all gateways have the list in one order), `two choices` by
  own call-outs out (Mitzenmacher 2001), `least outstanding` by the same over all hosts.
- `subset` (Google SRE book, chapter 20): the list is shuffled by a round that gateways share, each has its own piece of it.
  `ring subset` (Ward and others 2022, without history): hosts and gateways lie evenly on a ring in an order that fits any
  number, each has the hosts that follow its place. `aperture` (Finagle): the ring is cut into as many arcs as gateways, each
  has what its arc covers, hosts at its ends by the part covered. In all, two choices within the set.
- `local queue` (Vargaftik and others 2020) and `reported load` (after Prequal, 2024): a host's answers tell how many it has;
  the platform's answers don't, so neither can be had there. The first keeps the last word of each host and adds its own;
  the second takes the least of a pool of the last words, each used a few times.
- `sees all` knows every host's queue now: what nobody can do, and the end of what there is to gain.
"""

import random

from petrellane.decisions import actions
from petrellane.decisions import types as api


class Baseline:
    """What all have in common; `pick` is their own. `node` is the model's gateway: its number, and what it could see."""

    sees_node = True

    def __init__(self, *, seed, node, may_cancel=True, **settings):
        self.random, self.node = random.Random(seed), node
        self.ready, self.out = [], {}

    def start(self, now):
        return []

    def on_endpoint_events(self, now, full, listings):
        named = {row.endpoint for row in listings}
        self.ready = [host for host in self.ready if host not in named and not full]
        for row in listings:
            row.endpoint.state, row.endpoint.weight = row.state, row.weight or 1.0
            if row.state == api.READY:
                self.ready.append(row.endpoint)
                self.out.setdefault(row.endpoint, 0)
        self.ready.sort(
            key=lambda host: int(host.address[1:])
        )  # the list's order, the same everywhere
        self.list_changed()
        return []

    def list_changed(self):
        """The list has changed."""

    def admit(self, now, rpc):
        among = self.among(rpc)
        if not among:
            rpc.is_finished = True
            return [actions.Reject(rpc, 0.0, "host")]
        host = self.pick(among, now)
        self.out[host] += 1
        attempt = actions.SendAttempt(rpc, host, len(rpc.attempts), now, rpc.deadline - now)
        rpc.attempts.append(attempt)
        return [attempt]

    def among(self, rpc):
        """The hosts that it may go to: not where it has been, if there are others."""
        tried = {attempt.endpoint for attempt in rpc.attempts}
        return [host for host in self.ready if host not in tried] or self.ready

    def on_attempt_ended(self, now, attempt, outcome, *, over, **told):
        rpc = attempt.rpc
        attempt.outcome = outcome
        self.out[attempt.endpoint] = max(0, self.out.get(attempt.endpoint, 0) - 1)
        self.heard(attempt.endpoint, outcome, now)
        if over:
            return []
        proven = outcome in (api.FULL, api.UNREACHABLE, api.NEVER_SENT)
        if proven and len(rpc.attempts) < rpc.method.max_attempts and rpc.deadline > now:
            return self.admit(now, rpc)
        rpc.is_finished = True
        ran = any(
            one.outcome not in (api.FULL, api.UNREACHABLE, api.NEVER_SENT) for one in rpc.attempts
        )
        safe = rpc.method.effect == api.IDEMPOTENT or not ran
        return [actions.Reject(rpc, 0.0, "given up") if safe else actions.Abort(rpc)]

    def heard(self, host, outcome, now):
        """A call-out has ended there."""

    def on_client_disconnected(self, now, rpc):
        rpc.is_finished = True
        return []

    def on_counter_reply(self, now, add, outcome, total):
        return []

    def on_timer(self, now, about):
        return []

    def pick(self, among, now):
        raise NotImplementedError


class Uniform(Baseline):
    def pick(self, among, now):
        return self.random.choices(among, [host.weight for host in among])[0]


class RoundRobin(Baseline):
    place_in = None

    def pick(self, among, now):
        self.place_in = (
            self.random.randrange(1 << 20) if self.place_in is None else self.place_in + 1
        )
        return among[self.place_in % len(among)]


class TwoChoices(Baseline):
    def pick(self, among, now):
        pair = self.random.choices(among, [host.weight for host in among], k=2)
        return min(pair, key=lambda host: self.out[host] / host.weight)


class LeastOutstanding(Baseline):
    def pick(self, among, now):
        least = min(self.out[host] / host.weight for host in among)
        return self.random.choice([host for host in among if self.out[host] / host.weight == least])


class Subset(TwoChoices):
    SIZE = 20  # hosts of a set: the figure that the descriptions name as usual

    def list_changed(self):
        self.set_of = dict.fromkeys(self.subset(), 1.0)

    def subset(self):
        size = min(self.SIZE, len(self.ready))
        pieces = max(1, len(self.ready) // size) if size else 1
        turn, piece = divmod(self.node.number, pieces)
        order = list(self.ready)
        random.Random(f"round {turn}").shuffle(order)
        return order[piece * size : (piece + 1) * size]

    def among(self, rpc):
        hosts = [host for host in self.set_of if host.state == api.READY]
        tried = {attempt.endpoint for attempt in rpc.attempts}
        return [host for host in hosts if host not in tried] or hosts or super().among(rpc)


def place_of(number):
    """The number's place on a ring from 0 to 1: its bits the other way round, even for any count of numbers."""
    place, half = 0.0, 0.5
    while number:
        place, half, number = place + half * (number & 1), half / 2, number >> 1
    return place


class RingSubset(Subset):
    def subset(self):
        ring = sorted(self.ready, key=lambda host: place_of(int(host.address[1:])))
        mine = place_of(self.node.number)
        first = next(
            (at for at, host in enumerate(ring) if place_of(int(host.address[1:])) >= mine), 0
        )
        return [ring[(first + step) % len(ring)] for step in range(min(self.SIZE, len(ring)))]


class Aperture(Subset):
    def list_changed(self):
        hosts, gateways = len(self.ready), len(self.node.fleet.nodes) or 1
        width = max(1 / gateways, min(1.0, self.SIZE / hosts if hosts else 1.0))
        begin, self.set_of = self.node.number / gateways, {}
        for at, host in enumerate(self.ready):
            here = sum(
                max(
                    0.0, min(begin + width, (at + 1) / hosts + turn) - max(begin, at / hosts + turn)
                )
                for turn in (0, 1)
            )
            if here > 0:
                self.set_of[host] = here * hosts

    def pick(self, among, now):
        weights = [self.set_of.get(host, 1.0) for host in among]
        pair = self.random.choices(among, weights, k=2)
        return min(pair, key=lambda host: self.out[host] / self.set_of.get(host, 1.0))


def queue_at(node, host):
    """What a host has now, as it would tell in an answer."""
    machine = node.fleet.machines_by_name[host.address]
    return (len(machine.running) + len(machine.waiting)) / host.weight


class LocalQueue(Baseline):
    def list_changed(self):
        self.thought = {host: getattr(self, "thought", {}).get(host, 0.0) for host in self.ready}

    def pick(self, among, now):
        least = min(self.thought.get(host, 0.0) for host in among)
        host = self.random.choice([host for host in among if self.thought.get(host, 0.0) == least])
        self.thought[host] = self.thought.get(host, 0.0) + 1 / host.weight
        return host

    def heard(self, host, outcome, now):
        if outcome == api.OK and host in self.thought:
            self.thought[host] = queue_at(self.node, host)


class ReportedLoad(Baseline):
    POOL, USES, OLD = (
        16,
        3,
        1.0,
    )  # words kept, times that one is used, seconds after which it is dropped

    def __init__(self, **words):
        super().__init__(**words)
        self.words = []  # [host, queue, uses left, when]

    def pick(self, among, now):
        self.words = [word for word in self.words if now - word[3] < self.OLD and word[2] > 0]
        known = [word for word in self.words if word[0] in among]
        if len(known) < 2:
            return self.random.choices(among, [host.weight for host in among])[0]
        best = min(known, key=lambda word: word[1])
        best[1], best[2] = best[1] + 1, best[2] - 1
        return best[0]

    def heard(self, host, outcome, now):
        if outcome == api.OK:
            self.words = [
                *self.words[-self.POOL + 1 :],
                [host, queue_at(self.node, host), self.USES, now],
            ]


class SeesAll(Baseline):
    def pick(self, among, now):
        return min(among, key=lambda host: (queue_at(self.node, host), self.random.random()))


BASELINES = {
    "uniform": Uniform,
    "round robin": RoundRobin,
    "two choices": TwoChoices,
    "least outstanding": LeastOutstanding,
    "subset": Subset,
    "ring subset": RingSubset,
    "aperture": Aperture,
    "local queue": LocalQueue,
    "reported load": ReportedLoad,
    "sees all": SeesAll,
}
