"""What every party of a run saw, in the order of one clock, handed to the invariant checker as it comes.

Gateways write no records: what one sent is what hosts got, what it answered is what clients read. A call-out that never
reached a host is not seen. Under which settings a gateway admits is told by what it lets through: a method that one
generation alone has proves that generation.

What is seen within `SETTLE` seconds, and within two turns of the rig however long these take, is put in the order in which
it must have happened: a gateway closes the connection of one call-out before it sends the next of the same RPC, but two
sockets may tell it the other way round. What was in a socket when a turn began is read by the end of the next. After the
rig stood still, a client's answer may be read before what hosts got earlier: that is put before the answer too, then and
only then.
"""

from collections import deque
from dataclasses import dataclass

from petrellane import invariants

SETTLE = 0.05
TURNS = 2
CROSSED = 0.1  # seconds after a client's end in which an attempt for it may still begin
MOST = 50_000  # RPCs remembered after their end


@dataclass(eq=False, slots=True)
class Call:
    """One call-out, as its host saw it come."""

    rpc: str
    number: int
    host: str
    gateway: str | None
    key: str | None = None
    over: bool = False


class Records:
    """Records of one run, and its invariant checker. `proves` maps a method to the number of the one generation that has it; `gone`
    an RPC to when its client left it; `sent_after` holds (RPC, number, seconds) of attempts that began after that; `after`
    makes a call after some seconds."""

    def __init__(self, terms, clock, after=None, keep=20_000):
        self.checker, self.clock, self.began = invariants.InvariantChecker(terms), clock, clock()
        self.open, self.kept, self.most = {}, deque(maxlen=keep), keep
        self.pending, self.turns = (
            deque(),
            0,
        )  # (record, turn) that are still put in order; turns of the rig so far
        self.stood_still = (
            -2 * TURNS
        )  # the turn after which the rig last stood still for longer than SETTLE
        self.counts, self.told, self.proves = {}, [], {}
        self.gone, self.sent_after, self.after = {}, [], after

    def keep_all(self):
        """Keep every record of the run, as it is to be written or counted as a whole."""
        self.kept = deque(self.kept)

    def now(self):
        """Seconds since the run began."""
        return self.clock() - self.began

    def take(self, record):
        self.pending.append((record, self.turns))
        while (
            self.pending
            and self.pending[0][0].at < self.now() - SETTLE
            and self.pending[0][1] <= self.turns - TURNS
        ):
            self.judge(self.pending.popleft()[0])

    def before_the_answer(self, record):
        """Take a record of an RPC, before its answer where the rig has just stood still and that is still put in order."""
        if self.turns - self.stood_still < 2 * TURNS:
            for at, (other, turn) in enumerate(self.pending):
                if isinstance(other, invariants.RpcAnswered) and other.rpc == record.rpc:
                    self.pending.insert(at, (record._replace(at=other.at), turn))
                    return
        self.take(record)

    def judge(self, record):
        self.checker.observe(record)
        self.kept.append(record)

    def tell(self, text):
        """A line of the time line."""
        self.told.append((self.now(), text))

    def taken(self, rpc, gateway, customer, plan, method, units, patience):
        if len(self.open) > MOST:
            for old in list(self.open)[: MOST // 2]:
                del self.open[old]
        now = self.now()
        self.open[rpc] = [gateway, 0, method, now, now + patience]
        self.take(
            invariants.RpcReceived(now, gateway, rpc, customer, plan, method, units, now + patience)
        )

    def sent(self, rpc, host, work, key=None, late=False, came=None):
        """A call-out has reached a host; `late`: after its gateway had given it up, when only its effect counts. `came`:
        when a relay read it, where there is one. What began in time by that and comes after the end is no fault, and no
        call-out."""
        told = self.open.get(rpc)
        if told is None or late:
            return Call(rpc, 0, host, None, key, True)
        gateway, number, method, since, _ = told
        told[1] += 1
        if rpc in self.gone:
            after = (self.now() if came is None else came - self.began) - self.gone[rpc]
            if after > 0:
                self.sent_after.append((rpc, number, after))
            if after <= CROSSED < self.now() - self.gone[rpc]:
                return Call(rpc, number, host, None, key, True)
        self.before_the_answer(invariants.AttemptSent(self.now(), gateway, rpc, number, host))
        self.take(invariants.AttemptArrived(self.now(), gateway, rpc, number, host, work))
        if method in self.proves and not number:
            self.take(invariants.RpcAdmitted(self.now(), gateway, rpc, self.proves[method], since))
        return Call(rpc, number, host, gateway, key)

    def ended(self, call, outcome):
        """A call-out is over at its host: answered, turned away, or given up by the gateway."""
        if call.over:
            return
        call.over = True
        record = invariants.AttemptEnded(self.now(), call.gateway, call.rpc, call.number, outcome)
        for at, (other, turn) in enumerate(self.pending):
            if (
                isinstance(other, invariants.AttemptSent)
                and other.rpc == call.rpc
                and other.number > call.number
            ):
                self.pending.insert(at, (record._replace(at=other.at), turn))
                return
        self.before_the_answer(record)

    def ran(self, call):
        self.take(invariants.RpcExecuted(self.now(), call.rpc, call.host))

    def answered(self, rpc, answer, method):
        told = self.open.get(rpc)
        self.counts[method, answer] = self.counts.get((method, answer), 0) + 1
        if told is not None:
            self.take(invariants.RpcAnswered(self.now(), told[0], rpc, answer))

    def left(self, rpc):
        """Its client closes its connection. For the invariant checker that holds from when the gateway has surely seen it: what
        crossed the end on its way is no fault. By its deadline it waits for no answer, also where that comes before the
        record of this."""
        if told := self.open.get(rpc):
            self.gone[rpc] = self.now()
            self.after(
                CROSSED,
                lambda: self.take(
                    invariants.ClientDisconnected(min(self.now(), told[4] - 1e-6), told[0], rpc)
                ),
            )

    def forget(self, gateway):
        """A gateway was killed: it owes nothing."""
        self.take(invariants.GatewayLifecycle(self.now(), gateway, "killed"))
        self.open = {rpc: told for rpc, told in self.open.items() if told[0] != gateway}

    def about(self, rpc):
        """What was seen of an RPC, a line each."""
        return [
            f"{one.at:8.3f} {type(one).__name__} "
            + " ".join(
                f"{name}={value}"
                for name, value in one._asdict().items()
                if name not in ("at", "rpc")
            )
            for one in self.kept
            if getattr(one, "rpc", None) == rpc
        ]

    def close(self):
        """The verdict, up to now."""
        while self.pending:
            self.judge(self.pending.popleft()[0])
        return self.checker.close(self.now())
