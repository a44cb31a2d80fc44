"""Every decision of the gateway; the types it takes and returns are in petrellane/decisions/types.py.

Make one Gateway per instance from the settings, then tell it what happens: started, listed, place (an RPC
came), again (a call-out ended), counted, left, woken. Each call takes the clock first, answers with steps."""

import hashlib
import math
import random
from collections import deque

from petrellane.decisions.actions import (
    Abort,
    CancelAttempt,
    CounterAdd,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from petrellane.decisions.endpoint_index import AGAIN, NEW, EndpointList, Highest
from petrellane.decisions.types import (
    CANCELLED,
    DEDUPLICATED,
    ERROR,
    FULL,
    IDEMPOTENT,
    LATE,
    NEVER_SENT,
    OK,
    READY,
    UNREACHABLE,
    Rpc,
)

WINDOW = 1.0  # a lease window, as a multiple of the time in which the plan's store fills
CROWDED = 0.05  # share of failed asks from which the counter counts as crowded
HEADROOM = 1.25  # leases are this multiple of recent demand (the source's figure)
AHEAD = 0.25  # part of a window that a lease covers: what lies unused elsewhere is credit lost
PIECE = 0.1  # what is worth an ask when credit is short, as a share of the allowance
RESERVE = 0.3  # this last part of an allowance goes only to units in hand (the source's figure)
ASK_SHARE = 0.6  # our deadline for an ask, as a share of the counter's own time-out
POOL = 0.5  # of a ceiling's slack, what may lie on a count for gateways that are short of ceiling
SILENT_AFTER = 2  # failed asks in a row after which the counter counts as silent
PROBE_EVERY = 1.0  # seconds, about, between asks of a silent counter
TICK = 0.1  # seconds between looks at what is out, while anything is
IN_USE = 12  # hosts that a gateway uses at least
KNOWN = 4  # and as many more as its own call-outs can give so many samples while they speak
EXCHANGE = 5.0  # seconds after which one of the hosts in use is exchanged, when not all are
PATIENCE = 8.0  # a call-out is overdue at this multiple of its method's typical time
LATEST = 0.75  # or at this share of its soft deadline, if that comes sooner
MEMORY = 10.0  # seconds for which a host's samples speak for it
PRESSED = (
    0.2  # hosts are pressed when a call-out is expected to take this share of its soft deadline
)
BEHIND = 0.6  # pressure is full there, and a host that far behind gets nothing more
MOST = 0.9  # share of RPCs pushed back under the highest pressure: the rest shows when it ends
SPANS = (
    (64, 2.5),
    (64, 0.6),
)  # samples that tell of pressure: at least so many, those of so many seconds
PRIOR = [0.1, 0.1]  # shares of the soft deadline that speak for hosts of which little is known
MORE = 1.5  # what cold hosts may take over of those just gone, as a multiple of what these had each
LOCAL = 3.0  # odds of a host in our own zone, where crossing has a price
RETRY_BUDGET = 0.2  # further call-outs, as a share of the last hundred
PROVEN = (FULL, UNREACHABLE, NEVER_SENT)  # outcomes that prove a call-out never ran; no other does
HANDED = (
    "window ends shares held got added owed total carry part dry_until single_at since ceiling filled "
    "pooled pool_at busy out"
).split()  # what makes a lease, for the process that follows this one


def stable(text):  # a whole number below 2**63 for a text, the same in every process
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


def mean(values, default=0.0):  # the mean of some samples, or the default when there are none
    values = list(values)
    return sum(values) / len(values) if values else default


def may_have_run(rpc):
    return [attempt for attempt in rpc.attempts if attempt.outcome not in PROVEN]


class Lease:
    """One customer's credit at this gateway, for the window that is running."""

    def __init__(self, customer, now, born):
        self.customer, self.even = (
            customer,
            1 / max(1, customer.gateway_count),
        )  # our share of what is shared
        self.held = self.got = self.added = self.owed = self.total = self.pooled = self.pooling = (
            0.0
        )
        self.out, self.part, self.queue = (
            0,
            0.0,
            [],
        )  # call-outs out; of the last ledger; waits for ceiling
        self.ask, self.carry, self.waiting = (
            None,
            None,
            [],
        )  # carry: of the window before, None: unknown
        self.dry_until, self.window, self.shares, self.busy = 0.0, None, True, False
        self.single_at = self.since = self.ends = self.pool_at = (
            now  # first: when a share may be one RPC
        )
        self.ceiling = 0.0  # lives in a row never add up
        self.filled = born
        self.demand = deque(maxlen=256)
        self.fit(now)

    def fit(
        self, now
    ):  # to the customer's plan: at first, and when new settings say something else of it
        self.plan = plan = self.customer.plan
        self.pool, self.terms = (
            POOL * plan.hard_limit_slack * (self.even < 1),
            (math.inf, math.inf, 0.0),
        )
        if plan.rate:
            length = WINDOW * plan.burst / plan.rate
            self.terms = length, plan.rate * length, stable(self.customer.name) / 2**63 * length
        self.ends = self.ends if plan.rate else now
        if now < self.ends:  # the count that runs goes on to its end: those of two would add up
            before, self.dry_until = self.allowance, 0.0
            self.allowance = min(max(before, plan.burst), plan.rate * self.length)
            self.held *= min(1.0, self.allowance / before)

    def roll(self, now):
        """Enter the window that `now` lies in; credit of an older one is void."""
        if now >= self.ends:
            self.length, self.allowance, self.phase = self.terms
        if now < self.ends or self.length == math.inf:
            return
        self.window = math.floor((now + self.phase) / self.length)
        self.ends = (self.window + 1) * self.length - self.phase
        self.part = min(1.0, self.got / self.total) if self.total else self.part
        self.busy = (
            self.total > self.customer.plan.hard_limit_rate * self.even * self.length
        )  # for one of us
        self.held = self.got = self.added = self.owed = self.total = self.dry_until = (
            self.pooled
        ) = 0.0
        self.carry, self.shares = None, True

    def share(self, now, silent, units):
        """Where the ledger fails: what is missing of an even share over the customer's gateways. In silence
        at least our part of the last ledger, guarding pinned customers. Less than the units in hand is credit
        to nobody: it becomes one RPC, as seldom as shares add up to it."""
        part = max(self.even, self.part) if silent else self.even
        extra = max(0.0, self.allowance * part - self.got) if self.shares else 0.0
        if self.shares and self.held + extra < units and now >= self.single_at and self.got < units:
            extra = units - self.held
            self.single_at = now + units / (self.even * self.customer.plan.rate)
        self.held, self.got, self.owed = self.held + extra, self.got + extra, self.owed + extra

    def limit(self, now, carry):
        """The allowance; past it a customer may go on as its plan's store allows: with what the window before
        left (the carry) and what has been filled in since this one began."""
        return max(
            self.allowance, carry + self.customer.plan.rate * (now - self.ends + self.length)
        )

    def wanted(self, now):
        """Recent demand for a part of the window, times the headroom, in whole RPCs: less than one is credit
        to nobody, and many gateways would each hold one. At least the units in hand."""
        recent = [units for at, units in self.demand if now - at <= 2 * self.length]
        rate = sum(recent) / max(min(2 * self.length, now - self.since), self.length)
        ahead = rate * min(AHEAD * self.length, self.ends - now) * HEADROOM
        return min(max(self.in_hand(), ahead - ahead % mean(recent, 1.0)), self.allowance)

    def in_hand(self):  # the units of the RPCs that wait for credit
        return sum(rpc.units for rpc in self.waiting if not rpc.is_finished)

    def short(self):  # the units in hand that no credit covers
        return self.in_hand() - self.held

    def room(
        self, now, units
    ):  # whether the ceiling and what the plan allows out at once leave any
        most = self.customer.plan.max_in_flight
        return self.fill_ceiling(now) >= units and not (
            most and self.out >= max(1, most * self.even // 1)
        )

    def fill_ceiling(self, now):
        """Our even share of the ceiling's store, less what may lie in the pool: twice POOL of the slack.
        Nothing that we believe of others makes it larger: shares and pool together are never more than it."""
        plan = self.customer.plan
        if plan.hard_limit_rate:
            grown = self.ceiling + max(0.0, now - self.filled) * plan.hard_limit_rate * self.even
            self.ceiling, self.filled = min(grown, self.top()), max(now, self.filled)
        return self.ceiling if plan.hard_limit_rate else math.inf

    def idle(
        self, now
    ):  # it may be made anew without a loss, or a gain: a new one's ceiling is full
        over = now >= self.ends + min(self.length, MEMORY) and self.fill_ceiling(now) >= self.top()
        return over and not (self.out or self.waiting or self.ask or self.queue or self.pooling)

    def given(
        self, now
    ):  # what it is, as plain values, given up here: the ceiling of what waits stays
        kept = min(self.fill_ceiling(now), self.in_hand() + sum(rpc.units for rpc in self.queue))
        self.ceiling -= kept if self.customer.plan.hard_limit_rate else 0.0
        told = {name: getattr(self, name) for name in HANDED}
        self.held, self.ceiling, self.filled = 0.0, kept, math.inf  # and it grows no more
        return told | {"demand": list(self.demand)[-32:]}

    def taken(self, told):  # go on with what another process was given up
        vars(self).update({name: told[name] for name in HANDED})
        self.demand.extend((at, units) for at, units in told["demand"])

    def top(self):  # the most of the ceiling that we hold
        return (self.customer.plan.hard_limit_burst - 2 * self.pool) * self.even


class LeaseManager:  # the quota: leases credit, spends it locally, refuses when a top-up fails
    def __init__(self, counter, rng, settle):
        self.random, self.dispatch, self.leases, self.most = rng.random, settle, {}, 100
        self.look_at, self.ask_deadline = (
            -math.inf if counter else math.inf,
            0.0,
        )  # when it is asked next
        self.silent, self.born, self.asks = not counter, math.inf, deque(maxlen=32)  # (at, in time)

    def of(self, customer, now):  # the customer's lease, brought into the running window
        lease = self.leases.get(customer)
        if lease is None:
            if len(self.leases) >= self.most:  # guards memory against customers that are seen once
                self.leases = {who: old for who, old in self.leases.items() if not old.idle(now)}
                self.most = 2 * len(self.leases) + 100
            lease = self.leases[customer] = Lease(
                customer, now, max(self.born, customer.known_since)
            )
        if lease.plan is not customer.plan:
            lease.fit(now)
        lease.roll(now)
        return lease

    def spend(self, now, rpc, again=False):
        """True: the units are spent; False: refused; None: the RPC waits for an ask. With the steps."""
        lease = self.of(rpc.customer, now)
        if not again:
            lease.demand.append((now, rpc.units))
        pooled = self.pool(lease, now, rpc.units)
        if not lease.room(now, rpc.units):
            if lease.pooling >= 0 or lease.fill_ceiling(now) >= rpc.units:
                return False, pooled
            lease.queue.append(rpc)
            return None, pooled + [SetTimer(max(0.0, rpc.deadline - now), rpc)]
        if lease.held < rpc.units and (self.silent or self.crowded(now)):
            lease.share(now, self.silent, rpc.units * self.silent)
        covered = lease.held >= rpc.units or lease.allowance == math.inf
        lease.held -= rpc.units if covered else 0.0
        look = self.silent and now >= self.look_at and not lease.ask
        if (
            look
        ):  # in silence an RPC now and then brings an ask: these follow demand, and not in step
            self.look_at = now + PROBE_EVERY * (0.5 + self.random())
        if covered:
            return True, pooled + (
                self.top_up(lease, now) if look and lease.allowance < math.inf else []
            )
        if now < lease.dry_until or self.silent and not look:
            return False, pooled
        lease.waiting.append(rpc)  # the timer guards what waits longer than its client does
        steps = pooled + (self.top_up(lease, now) if lease.ask is None else [])
        if (
            lease.ask is None
        ):  # all of an allowance that is less than its units is here: no ask will help
            lease.waiting.remove(rpc)
            return False, steps
        return None, steps + [SetTimer(max(0.0, rpc.deadline - now), rpc)]

    def pool(self, lease, now, units):
        """Escrow: a gateway whose share of the ceiling is full puts a piece of it on a count of this window,
        one that is short takes from there. What is lost is safe; a copy of it gives at most the slack."""
        piece, name = (
            lease.pool * lease.even,
            stable(f"{lease.customer.name} {lease.window} ceiling"),
        )
        if not piece or lease.pooling or now < lease.pool_at or self.silent or self.crowded(now):
            return []
        level, top = lease.fill_ceiling(now), lease.top()
        busy = (
            lease.busy
            or lease.total > lease.customer.plan.hard_limit_rate * lease.even * lease.length
        )
        if (
            busy
            and level > top - piece
            and level - piece >= units
            and lease.pooled + piece <= lease.pool
        ):
            lease.ceiling -= piece
        elif level < units and now >= lease.dry_until:  # no more than fits, or it is lost
            piece = -min(lease.pool, top - level)
        else:
            return []
        lease.pooling = piece
        return [
            CounterAdd(name, piece, min(60.0, 2 * lease.length), window=lease.window, pool=lease)
        ]

    def pooled(self, now, add, outcome, total):
        """The counter's word on a piece of ceiling: what the total proves was there is ours, no more."""
        lease, got, steps, add.pool.pooling = add.pool, 0.0, [], 0.0
        if outcome == OK and add.amount < 0:
            got = min(-add.amount, max(0.0, total - add.amount))
            steps = (
                [CounterAdd(add.name, -add.amount - got, lease.length)] if got < -add.amount else []
            )
        elif outcome in PROVEN and add.amount > 0:
            got = add.amount  # it never went there
        lease.ceiling += got
        if not got and (add.amount < 0 or outcome != OK):  # empty: look later
            lease.pool_at = now + PIECE * min(lease.length, 1.0)
        if outcome == OK and add.window == lease.window:
            lease.pooled, piece = total, lease.pool * lease.even
            more = min(lease.fill_ceiling(now) - lease.in_hand(), (lease.pool - total) / 2)
            if (
                add.is_retry and total > lease.pool
            ):  # several lent at once: back with what is too much
                more = -min(add.amount, total - lease.pool)
            elif add.is_retry or add.amount < 0 or more < piece:  # else lend: its RPCs may be rare
                more = 0.0
            if more:
                lease.ceiling, lease.pooling = lease.ceiling - max(0.0, more), more
                steps.append(
                    CounterAdd(
                        add.name, more, add.ttl, window=lease.window, is_retry=more > 0, pool=lease
                    )
                )
        queue, lease.queue = lease.queue, []
        for rpc in [rpc for rpc in queue if not rpc.is_finished]:
            verdict, more = self.spend(now, rpc, True)
            steps += more + ([] if verdict is None else self.dispatch(now, rpc, verdict))
        return steps

    def top_up(self, lease, now, again=False):
        """Ask the counter for more; at most one ask is out per customer and window."""
        debt, lease.owed = lease.owed, 0.0
        amount = max(0.0, lease.wanted(now) - lease.held) + debt
        lease.added += amount
        return (
            self.post(lease, lease.window, amount, debt, again) if amount or debt or again else []
        )

    def post(self, lease, window, amount, debt=0.0, again=False):
        """One ask, which our own deadline bounds; an amount of 0 only reads."""
        name = stable(
            f"{lease.customer.name} {window}"
        )  # the same at every gateway and every start
        lease.ask = CounterAdd(
            name, amount, min(60.0, 4 * lease.length), lease, lease.window, debt, again
        )
        return [lease.ask, SetTimer(self.ask_deadline, lease.ask)]

    def fail(self, now, ask):
        """An ask that brought nothing by our deadline: what waits is refused, an add counts as spent."""
        lease, steps = ask.lease, []
        if ask.settled or lease.ask is not ask:
            return steps
        lease.ask, ask.settled = None, True
        self.asks.append((now, False))
        if (
            not self.silent
            and [ok for _, ok in self.asks][-SILENT_AFTER:] == [False] * SILENT_AFTER
        ):
            self.silent = True
            steps = [WriteLog(f"counter silent: {SILENT_AFTER} asks in a row failed")]
            self.look_at = now + PROBE_EVERY * (0.5 + self.random())
        if self.crowded(now):
            lease.share(now, self.silent, lease.in_hand())  # for what waits now
            lease.dry_until = now + PIECE * lease.length
        return steps + self.decide(lease, now)

    def crowded(self, now):
        """While some of the last asks failed, the even share goes first: guards against a slow counter."""
        lately = [ok for at, ok in self.asks if now - at <= MEMORY]
        return lately.count(False) >= SILENT_AFTER and lately.count(False) > CROWDED * len(lately)

    def counted(self, now, add, outcome, total):
        """The counter's word on an add: take what it grants, ask on, or decide what waits."""
        if add.pool:
            return self.pooled(now, add, outcome, total)
        lease = add.lease
        if outcome != OK:
            if lease and lease.window == add.window:
                if outcome == ERROR and lease.ask is add and not add.is_retry and lease.waiting:
                    lease.owed += (
                        add.debt - add.amount
                    )  # it was added: ask once more, for the total alone
                    return self.top_up(lease, now, True)
                proven = outcome in PROVEN  # else it may stand for what a share let in
                lease.added -= add.amount if proven else 0.0
                lease.owed = max(0.0, lease.owed + (add.debt if proven else add.debt - add.amount))
            return self.fail(now, add) if lease else []
        steps, self.silent = [WriteLog("counter answers again")] if self.silent else [], False
        self.asks.append((now, True))
        if lease is None or add.settled and add.amount <= 0:
            return steps
        late, add.settled = add.settled, True
        lease.roll(now)
        if lease.window == add.window:
            steps += self.grant(lease, add, total, now, late) + self.pool(
                lease, now, lease.in_hand()
            )
        if lease.ask is not add:
            return steps
        lease.ask, short = None, lease.short() > 0
        if short and lease.carry is None and lease.window == add.window and not self.crowded(now):
            if lease.total + lease.short() <= lease.limit(
                now, lease.allowance
            ):  # a carry may cover it
                return steps + self.post(lease, lease.window - 1, 0.0)
            self.dry(lease, now)
        asked = self.top_up(lease, now) if short and now >= lease.dry_until else []  # or a carry
        return steps + (asked or self.decide(lease, now))

    def grant(self, lease, add, total, now, late):
        """Take from an add what lies within the allowance and give the excess back."""
        steps, limit, asked = [], lease.limit(now, lease.carry or 0.0), add.amount - add.debt
        if not add.amount and not add.debt:  # a look at what the window before left
            lease.carry = max(0.0, lease.allowance - total)
            self.dry(lease, now)
            return []
        if (
            total < lease.added - 0.5
        ):  # less than we added ourselves: counts were lost, put ours back
            steps.append(CounterAdd(add.name, lease.added - total, lease.length))
            total = lease.added
        granted = max(
            0.0, min(asked, limit - total + asked)
        )  # the debt was let in by shares and stays
        spare = total - limit * (1 - RESERVE)
        kept = max(min(granted, lease.short()), min(granted, granted - spare), 0.0)
        new = kept - (
            min(lease.owed, kept) if late else 0.0
        )  # it came late: a share stood in for it
        lease.held, lease.got, lease.owed = (
            lease.held + new,
            lease.got + new,
            lease.owed - kept + new,
        )
        lease.total = total - asked + kept
        if kept < asked:
            lease.added -= asked - kept
            if not self.crowded(now):
                steps.append(CounterAdd(add.name, kept - asked, lease.length))
            self.dry(lease, now)
        return steps

    def dry(self, lease, now):
        """No further ask before the limit has grown by a worthwhile piece, or before the next window."""
        piece, carry = max(lease.short(), lease.allowance * PIECE), lease.carry or 0.0
        if lease.total + max(1.0, lease.short()) <= lease.limit(now, carry):
            return  # only the reserve was kept back
        lease.shares, lease.single_at = (
            False,
            max(lease.single_at, lease.ends),
        )  # at its limit, by t
        grown = (lease.total + piece - carry) / lease.customer.plan.rate
        lease.dry_until = lease.ends - lease.length + min(lease.length, max(0.0, grown))

    def decide(self, lease, now):  # settle what waited for an ask, in order of arrival
        waiting, lease.waiting, steps = lease.waiting, [], []
        for rpc in [rpc for rpc in waiting if not rpc.is_finished]:
            covered = lease.held >= rpc.units
            lease.held -= rpc.units if covered else 0.0
            steps += self.dispatch(now, rpc, covered)
        return steps


class EndpointHealth:  # what is known of one host from our own call-outs
    __slots__ = "out", "samples", "heard", "until", "rooms", "usual"

    def __init__(self):
        self.out = {}  # call-outs in flight, oldest first: how many were out before
        self.samples = []  # the last 16: (at, method's root, outcome, share of soft deadline, out beside)
        self.heard = {}  # method's root -> when it last answered one
        self.until, self.rooms, self.usual = (
            -math.inf,
            {},
            0.0,
        )  # room by method, or of any, until then

    def recent(self, root, now):  # the samples that still speak for it: of this method, or of all
        recent = [sample for sample in self.samples if now - sample[0] <= MEMORY]
        return [sample for sample in recent if sample[1] is root] or recent


class LoadBalancer:  # the hosts: which may be used, how much room each has, and the draw
    def __init__(self, rng):
        self.random, self.choices, self.choice, self.sample = (
            rng.random,
            rng.choices,
            rng.choice,
            rng.sample,
        )
        self.hosts, self.local = (
            EndpointList(EndpointHealth),
            ("", 1.0),
        )  # (zone, odds of a host there)
        self.used, self.exchanged = [], 0.0  # (host, health) in use, drawn at random
        self.out = {}  # all call-outs in flight, oldest first
        self.sizes = Highest(MEMORY)  # the capacity up to each list
        self.lately = deque(maxlen=1024)  # (at, share of the soft deadline, out beside) of the last
        self.tooks, self.usual = {}, {}  # method's root -> the last times of ok answers; their mean

    def listed(self, now, full, listings):  # take over a list or its changes
        self.sizes.put(now, self.hosts.capacity(now))
        for host, health, news in self.hosts.listed(now, full, listings):
            health.until = -math.inf
            if news == AGAIN:
                health.samples = []  # what we knew is of another process
            elif news == NEW and self.random() * len(self.hosts) < len(self.used):  # as any other
                self.used[int(self.random() * len(self.used))] = (host, health)
        self.used = [
            (host, health)
            for host, health in self.used
            if host.state == READY and self.hosts.get(host) is health
        ]

    def in_use(self, now):
        """The hosts drawn for use: as many as our own call-outs can keep known, one exchanged at times."""
        ready, used = len(self.hosts.ready()), self.used
        rate = len(self.lately) / max(1.0, now - self.lately[0][0]) if self.lately else 0.0
        want = min(ready, max(IN_USE, round(rate * MEMORY / KNOWN)))
        if len(used) > want or want < ready and now - self.exchanged >= EXCHANGE and used:
            used.remove(self.choice(used))
            self.exchanged = now
        number = 1
        while (
            short := want - len(used)
        ) > 0:  # most of a few are not in use yet; of all there are enough
            number *= 2
            used += [pair for pair in self.hosts.some(self.sample, number) if pair not in used][
                :short
            ]
        return used

    def typical(self, method):  # the usual time of an ok answer of this method
        return self.usual.get(method.identity, method.latency_objective / 8)

    def overdue(self, attempt, now):
        """Whether a call-out is out for so long, its method unanswered there since, that the host must be
        silent. Sooner hurts: an RPC of much work is as long anywhere, and the first run is waste."""
        method, health = attempt.rpc.method, self.hosts.get(attempt.endpoint)
        heard = health.heard.get(method.identity, -math.inf) if health else -math.inf
        patience = min(PATIENCE * self.typical(method), LATEST * method.latency_objective)
        return now - attempt.sent_at > patience and heard <= attempt.sent_at

    def is_outlier(self, health, method, now):
        """Out of favour: silent, unreachable, or failing much of what it takes of this method."""
        same = [attempt for attempt in health.out if attempt.rpc.method.identity is method.identity]
        return any(self.overdue(one, now) for one in same) or self.fails(
            health.recent(method.identity, now)
        )

    def fails(self, recent):
        bad = sum(sample[2] not in (OK, FULL) for sample in recent)
        return bool(recent) and (bad * 2 > len(recent) + 1 or recent[-1][2] == UNREACHABLE)

    def whole(self, now):
        """What is drawn from, in warm hosts: a cold one has its warmth's part. Guards them against a flood,
        which pressure shows late: more once hosts carry less than half of what we send; and against the work
        of hosts that have just gone: at most MORE of what lately's capacity would leave."""
        parts = [part for at, part, _ in self.lately if now - at <= SPANS[0][1]]
        carried = 2 * (1 + sum(part < 1 for part in parts)) / (1 + len(parts) + len(self.out))
        return max(self.hosts.capacity(now), self.sizes.most(now) / MORE) / min(1.0, carried)

    def room(self, host, recent, lag):  # what a host is thought to have, in no unit but its own
        fine = (sum(sample[2] == OK for sample in recent) + 2) / (len(recent) + 2)
        local = self.local[1] if host.zone == self.local[0] else 1.0
        return local * host.weight * (fine / lag) ** 2 if lag < BEHIND else 0.0

    def room_now(self, host, health, method, now, sick=False):
        """The room of a host in favour, or of a sick one. While nothing of ours is out there, it is kept for
        as long as the samples speak."""
        recent, same = health.recent(None, now), {}
        lag = self.lag(recent[-8:], health.out, now)
        if health.out or sick:
            fair = sick or not self.is_outlier(health, method, now)
            return self.room(host, health.recent(method.identity, now), lag) if fair else 0.0
        for sample in recent:
            same.setdefault(sample[1], []).append(sample)
        health.until = recent[0][0] + MEMORY if recent else math.inf
        rooms = {
            root: 0.0 if self.fails(some) else self.room(host, some, lag)
            for root, some in same.items()
        }
        health.rooms, health.usual = (
            rooms,
            0.0 if self.fails(recent) else self.room(host, recent, lag),
        )
        return rooms.get(method.identity, health.usual)

    def pick_endpoint(self, now, rpc, scope):
        """A host for the RPC, drawn at random with odds in step with room; None when none may take it."""
        method, tried = rpc.method, {attempt.endpoint for attempt in rpc.attempts}
        cold = self.hosts.cold(now)
        if cold and (lot := self.random() * self.whole(now)) < cold:  # warmth's part, in use or not
            host = self.hosts.cold_at(lot, now)
            fits = host not in tried and scope in (None, host.zone, host.pod)
            if fits and not self.is_outlier(self.hosts[host], method, now):
                return host  # else its part is for warm ones: another cold one would get two
        edge, more = self.hosts.warm_up(now), max(IN_USE, len(self.used))
        for find in (
            lambda: self.in_use(now),
            lambda: self.hosts.some_warm(self.sample, more, scope),
        ):
            ready = [
                pair
                for pair in find()
                if pair[0].started_at <= edge
                and (scope is None or scope in (pair[0].zone, pair[0].pod))
            ]
            if ready := [pair for pair in ready if pair[0] not in tried] or ready:
                break
        rooms = [
            health.rooms.get(method.identity, health.usual)
            if now < health.until
            else self.room_now(host, health, method, now)
            for host, health in ready
        ]
        if not any(rooms) and all(self.is_outlier(health, method, now) for _, health in ready):
            rooms = [self.room_now(host, health, method, now, True) for host, health in ready]
        left = len(rooms) - rooms.count(0.0)
        busy = [at for at, pair in enumerate(ready) if pair[1].out and rooms[at]]
        out = {at: len(ready[at][1].out) / ready[at][0].weight for at in busy}
        usual = 1 + sum(out.values()) / max(1, left)
        for at in out:
            rooms[at] /= (1 + out[at] / usual) ** 2
        return (
            self.choices(ready, rooms)[0][0] if left else None
        )  # None: more work would only be late

    def sent(self, attempt, now):  # a call-out has gone to its host
        health = self.hosts[attempt.endpoint]
        health.out[attempt], self.out[attempt], health.until = (
            len(health.out),
            len(self.out),
            -math.inf,
        )

    def ended(
        self, attempt, outcome, took, now
    ):  # a call-out has ended: note what it says of its host
        method, health = attempt.rpc.method, self.hosts.get(attempt.endpoint, EndpointHealth())
        beside = health.out.pop(attempt, 0)
        all_out = self.out.pop(attempt, 0)
        health.until = -math.inf
        silent, part = outcome in (CANCELLED, LATE), took / (method.latency_objective or 1.0)
        part = 1.0 if silent or outcome == FULL else part  # cut short: no less than all
        if outcome == OK:
            self.tooks.setdefault(method.identity, deque(maxlen=64)).append(took)
            self.usual[method.identity] = mean(self.tooks[method.identity])
        if (
            outcome in (OK, FULL)
            or silent
            and not any(at > attempt.sent_at for at in health.heard.values())
        ):
            self.lately.append(
                (now, part, all_out)
            )  # else the host serves others: it is sick, not behind
        if outcome in (OK, ERROR, FULL):
            health.heard[method.identity] = now
        if outcome not in (NEVER_SENT, CANCELLED) or attempt.is_cancelled:
            health.samples = [*health.samples[-15:], (now, method.identity, outcome, part, beside)]

    def lag(self, samples, out, now):
        """The share of its soft deadline that one more call-out is expected to take: as the last did or those
        out have waited, in step with how many are out; fewer out helps less: other gateways send too."""
        parts = [sample[-2] for sample in samples] + PRIOR
        usual, besides = mean(parts), mean((sample[-1] for sample in samples), 1.0)
        ages = [
            (now - attempt.sent_at) / (attempt.rpc.method.latency_objective or 1.0)
            for attempt in out
        ]
        growth = (3 + len(ages)) / (3 + besides)
        return mean(parts + [age for age in ages if age > usual]) * max(growth, math.sqrt(growth))

    def pressure(self, now):
        """How pressed the hosts are, by the last call-outs wherever they went, as we may hear little of
        each host: 0 at ease, full where a host would rest."""
        lately = [sample for sample in self.lately if now - sample[0] <= MEMORY]
        some = [
            max(least, sum(now - sample[0] <= span for sample in lately)) for least, span in SPANS
        ]
        out = [
            attempt for attempt in self.out if not self.overdue(attempt, now)
        ]  # silent is not behind
        lag = max(self.lag(lately[-number:], out, now) for number in some)  # sooner up than down
        return min(MOST, max(0.0, (lag - PRESSED) / (BEHIND - PRESSED)))


class AdmissionController:
    """Asked and answers: where an RPC goes, whether to go again, how long to wait."""

    def __init__(self, *, seed, uses_counter, must_watch, **settings):
        rng = random.Random(seed)
        self.random, self.must_watch = rng.random, must_watch
        self.leases, self.fleet = LeaseManager(uses_counter, rng, self.dispatch), LoadBalancer(rng)
        self.reconfigure(**settings)
        self.firsts = deque(
            maxlen=100
        )  # of the last call-outs: 0 for a first one, 1 for a further one
        self.values = deque(maxlen=64)  # utility per unit of work of the last RPCs
        self.pressure, self.looking = 0.0, False  # as of the last look round

    def reconfigure(
        self,
        *,
        zone,
        counter_timeout,
        may_cancel,
        max_retry_after,
        slow_start,
        slow_start_minimum,
        cross_zone_price,
        method_identities=(),
    ):
        """The settings, at the start and anew; RPCs point to their own methods and plans."""
        self.may_cancel, self.max_retry_after = may_cancel, max_retry_after
        self.fleet.hosts.warms(slow_start, slow_start_minimum)
        self.fleet.local = zone, LOCAL if cross_zone_price else 1.0
        for health in self.fleet.hosts.values():
            health.until = -math.inf
        self.leases.ask_deadline = ASK_SHARE * counter_timeout
        self.fleet.tooks = {
            root: tooks for root, tooks in self.fleet.tooks.items() if root in method_identities
        }
        self.fleet.usual = {root: mean(tooks) for root, tooks in self.fleet.tooks.items()}

    def start(self, now):  # the first steps of a life
        self.leases.born = now
        return [WatchEndpoints()] if self.must_watch else []

    def on_endpoint_events(
        self, now, full, listings
    ):  # the host list or changes; None: asking failed, ask again
        if listings is not None:
            self.fleet.listed(now, full, listings)
        return [WatchEndpoints()] if self.must_watch and listings is None else []

    def admit(
        self, now, rpc
    ):  # where to send this one: to a host, into the wait for credit, or back
        if self.shed(now, rpc):
            return [Reject(self.finish(rpc), self.max_retry_after, "pressed")]
        verdict, steps = self.leases.spend(now, rpc)
        return steps if verdict is None else steps + self.dispatch(now, rpc, verdict)

    def shed(self, now, rpc):
        """Whether the hosts are too pressed for an RPC of this utility per unit of work."""
        value = (
            rpc.method.priority_weight
            * rpc.customer.plan.price
            * rpc.units
            / self.fleet.typical(rpc.method)
        )
        self.values.append(value)
        rank = (sum(other < value for other in self.values) + self.random()) / len(self.values)
        return rank < self.pressure

    def dispatch(self, now, rpc, may_go):
        """Send an RPC whose credit is decided, or push it back at once. Room is asked for again: several that
        found it before they waited for one ask would all go past the ceiling together."""
        lease = self.leases.of(rpc.customer, now)
        if may_go and lease.room(now, rpc.units) and (steps := self.start_attempt(now, rpc, None)):
            lease.ceiling -= rpc.units
            self.firsts.append(0)
            return steps
        cause = "ceiling" if not lease.room(now, rpc.units) else "host" if may_go else "credit"
        lease.held += rpc.units if may_go else 0.0
        return [
            Reject(self.finish(rpc), max(0.0, min(self.max_retry_after, lease.ends - now)), cause)
        ]

    def start_attempt(
        self, now, rpc, scope, by=math.inf
    ):  # one call-out to a drawn host; no steps where none is
        host = self.fleet.pick_endpoint(now, rpc, scope) if rpc.deadline > now else None
        if host is None:
            return []
        attempt = SendAttempt(rpc, host, len(rpc.attempts), now, rpc.deadline - now, by)
        rpc.attempts.append(attempt)
        self.fleet.sent(attempt, now)
        self.leases.of(rpc.customer, now).out += 1
        looking, self.looking = self.looking, True
        return [attempt] + [SetTimer(TICK, self.fleet)] * (not looking)

    def on_attempt_ended(
        self, now, attempt, outcome, *, over, took=0.0, usage=0, units=0.0, report=None
    ):
        """Whether to go again after a call-out ended."""
        rpc, method = attempt.rpc, attempt.rpc.method
        attempt.outcome, rpc.is_finished = outcome, rpc.is_finished or over
        attempt in self.fleet.out and self.fleet.ended(attempt, outcome, took, now)
        lease = self.leases.of(rpc.customer, now)
        lease.out, lease.held = (
            max(0, lease.out - 1),
            lease.held - (units - rpc.units if units else 0.0),
        )
        if rpc.is_finished:
            return []
        group = self.retry_targets(now, rpc)
        useful = (
            rpc.deadline
            if method.late_priority_weight
            else rpc.arrived_at + method.latency_objective
        )
        in_time = now + self.fleet.typical(method) < min(rpc.deadline, useful)
        may = group and self.may_retry() and in_time and len(rpc.attempts) < method.max_attempts
        steps = self.start_attempt(now, rpc, *group) if may else []
        self.firsts += [1] * bool(steps)
        return steps or [self.fail_request(now, rpc)]

    def may_retry(
        self,
    ):  # guards hosts against further call-outs that add to a jam, however few each sends
        return sum(self.firsts) < RETRY_BUDGET * len(self.firsts)

    def retry_targets(self, now, rpc):
        """Zone or pod of a further call-out (None: any), and by when it may go; None where it must not."""
        ran, method = may_have_run(rpc), rpc.method
        if not ran or method.effect == IDEMPOTENT:
            return None, math.inf
        first, by = ran[0].endpoint, ran[0].sent_at + method.key_window - 0.1
        if method.effect != DEDUPLICATED or now > by:
            return None
        return {"all": None, "zone": first.zone}.get(method.key_scope, first.pod), by

    def fail_request(self, now, rpc):
        """The final answer for what will not go again: pushed back where a repeat is safe, else aborted."""
        effect, scope = rpc.method.effect, rpc.method.key_scope
        repeats_anywhere = effect == DEDUPLICATED and scope == "all"
        safe = effect == IDEMPOTENT or repeats_anywhere or not may_have_run(rpc)
        return Reject(self.finish(rpc), 0.0, "given up") if safe else Abort(self.finish(rpc))

    def finish(self, rpc):  # it has its final answer, or nobody to give it to
        rpc.is_finished = True
        return rpc

    def on_client_disconnected(self, now, rpc):  # the client has gone; nothing more is owed
        rpc.is_finished = True
        return []

    def on_response_started(
        self, now, attempt, passing=False
    ):  # its answer has begun: the host works, or is done
        passing and self.fleet.ended(attempt, OK, now - attempt.sent_at, now)
        self.fleet.hosts.get(attempt.endpoint, EndpointHealth()).heard[
            attempt.rpc.method.identity
        ] = now
        return []

    def on_counter_reply(self, now, add, outcome, total):  # the counter has answered an add
        return self.leases.counted(now, add, outcome, total)

    def on_timer(self, now, about):  # a time that we asked to be woken at
        if about is self.fleet:
            return self.run_periodic_checks(now)
        if isinstance(about, Rpc) and not (about.is_finished or about.attempts):
            return self.dispatch(now, about, False)
        if isinstance(about, CounterAdd):
            return self.leases.fail(now, about)
        return []

    def run_periodic_checks(self, now):
        """Call off what is overdue at silent hosts where it may go again; log a change of mode."""
        steps = []
        for attempt in self.fleet.out if self.may_cancel and self.may_retry() else ():
            held = not (attempt.is_cancelled or attempt.rpc.is_finished)
            if held and self.fleet.overdue(attempt, now) and self.retry_targets(now, attempt.rpc):
                attempt.is_cancelled = True
                steps.append(CancelAttempt(attempt))
        before, self.pressure = self.pressure, self.fleet.pressure(now)
        if (self.pressure > 0) != (before > 0):
            steps += [
                WriteLog(
                    f"hosts {'at ease' if before else 'pressed'}: {before:.2f} to {self.pressure:.2f}"
                )
            ]
        self.looking = bool(self.fleet.out or self.pressure)
        return steps + [SetTimer(TICK, self.fleet)] * self.looking
