"""Calls the decisions with what the sockets tell, and carries out the steps they answer with."""

import math
from collections import Counter

from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.gateway.client_request import BadField
from petrellane.gateway.customers import Customers
from petrellane.operation import hot_restart


class Driver:
    """The one place where the network and the module meet."""

    def __init__(self, config, scheduler, limits, log):
        self.settings, self.scheduler, self.log, self.now = (
            config.settings,
            scheduler,
            log,
            scheduler.now,
        )
        self.limits = limits
        self.gateway = AdmissionController(
            seed=config.seed,
            uses_counter=self.settings.uses_counter,
            must_watch=self.settings.must_watch,
            **self.settings.gateway,
        )
        self.customers, self.hosts, self.exchanges = Customers(), {}, {}
        self.ready, self.taking = (
            set(),
            False,
        )  # hosts that are; whether a host list is being taken over
        self.ids = {}  # id -> exchange, while it is open
        self.to = Counter() if config.by_host else None  # call-outs by host since the last figures
        self.tally = (
            Counter()
        )  # what came, went out and was answered since the last figures, by kind
        self.last = math.inf  # when all that is open has its answer, where we end
        self.upstream = self.counter = self.handover = self.agent = (
            None  # set before the first event
        )
        self.carriers = {
            api.SendAttempt: self.send_attempt,
            api.Reject: self.push_back,
            api.Abort: self.abort,
            api.CancelAttempt: self.cancel,
            api.CounterAdd: self.add,
            api.SetTimer: self.wake,
            api.WriteLog: self.note,
            api.WatchEndpoints: self.subscribe,
        }

    def carry_out(self, steps):
        for step in steps:
            self.carriers[type(step)](step)

    def start(self, known):
        self.carry_out(self.gateway.start(self.now()))
        self.listed(known._replace(full=True))  # nobody waits yet

    def renewed(self, settings, limits):
        """Other settings from now on; what is open keeps the method that it came under."""
        self.settings, self.limits = settings, limits
        self.gateway.reconfigure(**settings.gateway)

    def listed(self, told, others=None):
        """A host list, changes to it, or None when asking failed. It is taken over a share of its rows in a turn, with
        `others` called between: first what it names, then, of a whole list, the end of what it leaves out. Without `others`
        it is taken over at once. While one list is `taking`, no other may be told."""
        if told is None:
            self.carry_out(self.gateway.on_endpoint_events(self.now(), False, None))
            return
        news, self.taking, piece = bool(told.entries or told.full and self.hosts), True, []
        try:
            for row in self.rows(told):
                piece.append(row)
                if others and len(piece) == self.limits.list_rows:
                    self.take_over(piece)
                    piece = []
                    others()
            self.take_over(piece)
        finally:
            self.taking = False
        if news:
            self.log.event(
                "hosts",
                index=told.index,
                full=told.full,
                changed=len(told.entries),
                known=len(self.hosts),
                ready=len(self.ready),
            )

    def rows(self, told):
        """What a list says of each host that it is about: its name, its address, and the row for the module."""
        left = dict(self.hosts) if told.full else {}
        for entry in told.entries:
            address = "%s:%d" % entry.address
            host = self.hosts.get(entry.name)
            if host is None:
                host = self.hosts[entry.name] = api.Endpoint(address)
            host.address = address
            left.pop(entry.name, None)
            yield entry.name, entry.address, api.EndpointEvent(host, *entry[2:])
        for name, host in left.items():
            yield (
                name,
                None,
                api.EndpointEvent(
                    host, host.zone, host.kind, host.pod, api.GONE, host.weight, host.started_at
                ),
            )

    def take_over(self, rows):
        """Tell the module of some rows, then the host side of what became of their hosts."""
        if not rows:
            return
        self.carry_out(
            self.gateway.on_endpoint_events(self.now(), False, [listing for _, _, listing in rows])
        )
        for name, address, listing in rows:
            host = listing.endpoint
            if host.state == api.READY:
                self.ready.add(host)
            else:
                self.ready.discard(host)
            if host.state != api.GONE:
                self.upstream.listed(host, address)
            elif self.hosts.pop(name, None):
                self.upstream.gone(host)

    def place(self, exchange):
        """A client's RPC; BadField when it makes no sense."""
        now = self.now()
        if (
            self.agent and not self.agent.may_admit()
        ):  # before it is looked at under settings that others may have left
            self.tally["pushed generation"] += 1
            exchange.finish(b"-BUSY\r\n")
            return
        method = self.settings.methods.get(exchange.text("c"))
        plan = self.settings.plans.get(exchange.text("t"))
        if method is None:
            raise BadField("c: no such method")
        if plan is None:
            raise BadField("t: no such plan")
        if exchange.query != (method.effect == api.IDEMPOTENT):
            raise BadField("c: its method takes the other command")
        if method.effect == api.DEDUPLICATED:
            exchange.text("k")
        if exchange.id in self.ids:
            raise BadField("id: its RPC is open")
        units, gateways = exchange.units(self.settings.most_units), self.settings.gateways
        first, spread = (
            exchange.whole("first", 0, 0, gateways - 1),
            exchange.whole("spread", 1, 1, gateways),
        )
        name = exchange.customer.decode()
        customer = self.customers.of(name, plan, first, spread, now)
        came = self.scheduler.since()  # its patience may have run while we stood still
        deadline = min(came + min(exchange.patience, method.deadline), self.last)
        rpc = exchange.rpc = api.Rpc(
            method,
            customer,
            units,
            deadline,
            came,
            is_client_retry=exchange.named.get("r") == "1",
            is_write=method.effect != api.IDEMPOTENT,
        )
        self.exchanges[rpc] = self.ids[exchange.id] = exchange
        self.tally["rpcs"] += 1
        self.tell(rpc, self.gateway.admit, now, rpc)

    def taken(self, rows):
        """Take over the leases that the process before has given up; how many."""
        plans, now = self.settings.plans, self.now()
        return hot_restart.taken(
            self.gateway,
            now,
            rows,
            lambda name, plan, first, spread: (
                plan in plans and self.customers.of(name, plans[plan], first, spread, now)
            ),
        )

    def settled(self, name, number):
        """So many RPCs of a customer that the process before still had have ended."""
        for customer in self.customers.named(name):
            number -= hot_restart.settled(self.gateway, self.now(), customer, number)

    def tell(self, rpc, call, *words, **more):
        """Tell the module of an RPC. A fault of ours is logged, and the RPC has its answer all the same."""
        try:
            self.carry_out(call(*words, **more))
        except Exception as error:
            self.log.fault(error)
            self.finish(rpc, b"-ERR fault\r\n")

    def left(self, exchange):
        """A client has gone away before its answer."""
        if self.exchanges.pop(exchange.rpc, None):
            del self.ids[exchange.id]
            self.carry_out(self.gateway.on_client_disconnected(self.now(), exchange.rpc))
            self.upstream.left(exchange.rpc.attempts, self.gateway.may_cancel)

    def last_answers(self):
        """We may be killed soon: whatever is open has no time left, for the module as for its attempts."""
        for rpc in list(self.exchanges):
            rpc.deadline = min(rpc.deadline, self.now())
            self.upstream.run_out(rpc.attempts)
            if rpc in self.exchanges:  # it waits, and was never sent
                self.tell(rpc, self.gateway.on_timer, self.now(), rpc)

    def begun(self, pending, passage, length):
        """A long answer has begun, which the client gets as it comes; False where nobody waits for it. For the module
        the RPC is answered now: how soon a client reads says nothing of a host."""
        attempt = pending.attempt
        exchange = self.exchanges.get(attempt.rpc)
        if exchange:
            exchange.passage, passage.flush = passage, exchange.answered
            self.tally["long"] += 1
            self.gateway.finish(attempt.rpc)
            self.carry_out(self.gateway.on_response_started(self.now(), attempt, passing=True))
            self.finish(attempt.rpc, b"$%d\r\n" % length)
        return exchange is not None

    def ended(self, pending, outcome, value, figures):
        """An attempt's outcome; the first ok answers the client by itself."""
        attempt, now = pending.attempt, self.now()
        self.tally["out " + outcome] += 1
        if outcome == api.OK:
            self.finish(attempt.rpc, b"$%d\r\n" % len(value), value, b"\r\n")
        over, report = attempt.rpc not in self.exchanges, self.figures(figures, self.limits.figure)
        cost = report.pop("cost", 0.0)
        self.tell(
            attempt.rpc,
            self.gateway.on_attempt_ended,
            now,
            attempt,
            outcome,
            over=over,
            took=max(1e-6, now - attempt.sent_at),
            usage=int(report.pop("used", -1)) + 1,
            units=cost if cost <= self.settings.most_units else 0.0,
            report=report,
        )

    @staticmethod
    def figures(text, most):
        """Names and numbers, `a=1,b=2`; what is none, or none that a host can mean, is left out."""
        found = {}
        for part in text.decode("latin-1").split(",") if text else ():
            name, _, number = part.partition("=")
            try:
                value = float(number)
            except ValueError:
                continue
            if 0 <= value <= most:
                found[name] = value
        return found

    def counted(self, add, outcome, total):
        self.tally["add " + outcome] += 1
        self.carry_out(self.gateway.on_counter_reply(self.now(), add, outcome, total))

    def finish(self, rpc, *answer):
        exchange = self.exchanges.pop(rpc, None)
        if exchange:
            del self.ids[exchange.id]
            exchange.finish(*answer)
            if self.handover:
                self.handover.owed(rpc.customer.name)

    def send_attempt(self, step):
        exchange = self.exchanges.get(step.rpc)
        if exchange:
            self.tally["call_outs"] += 1
            if self.to is not None:
                self.to[step.endpoint.address] += 1
            self.upstream.send(exchange, step)

    def push_back(self, step):
        self.tally["pushed " + step.reason] += 1
        wait = int(step.retry_after * 1e3 + 0.999)
        self.finish(step.rpc, b"-BUSY %d\r\n" % wait if wait else b"-BUSY\r\n")

    def abort(self, step):
        self.tally["aborted"] += 1
        self.finish(step.rpc, b"-ERR aborted\r\n")

    def cancel(self, step):
        self.upstream.cancel(step.attempt)

    def add(self, step):
        self.counter.post(step)

    def wake(self, step):
        self.scheduler.after(
            step.delay, lambda: self.carry_out(self.gateway.on_timer(self.now(), step.subject))
        )

    def note(self, step):
        self.log.event("mode", text=step.text)

    def subscribe(self, step):
        """The watch is on from the start and begins anew by itself."""
