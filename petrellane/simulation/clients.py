"""Clients, who keep to the protocol, and the front that deals their RPCs out, late to notice that a gateway has died."""

from petrellane.decisions import types as api
from petrellane.invariants import ABORTED, OK, REJECTED
from petrellane.simulation.event_queue import chance


class Call:
    """What one client wants done: one key, one amount of work, up to so many tries."""

    __slots__ = (
        "customer",
        "method",
        "units",
        "work",
        "key",
        "began",
        "until",
        "tries",
        "answer",
        "inside",
        "source",
    )

    def __init__(self, source, method, units, work, key, began):
        self.source, self.customer, self.method, self.units = source, source.customer, method, units
        self.work, self.key, self.began, self.until = work, key, began, began + method.deadline
        self.tries, self.answer, self.inside = 0, None, None


class Try:
    """One RPC of a call, at one gateway."""

    __slots__ = ("call", "rpc", "number", "node", "deadline", "patience", "over")

    def __init__(self, call, rpc, node, patience, now):
        self.call, self.rpc, self.number, self.node = call, rpc, call.tries, node
        self.patience, self.deadline, self.over = patience, now + patience, False

    def answered(self, answer, wait):
        if not self.over:
            self.over = True
            self.call.source.answered(self, answer, wait)

    def broken(self):
        """The gateway died with it."""
        if not self.over:
            self.over = True
            self.call.source.again(self.call, 0.05, True)


class Source:
    """All clients of one customer."""

    def __init__(self, fleet, customer):
        world = fleet.world
        self.fleet, self.customer = fleet, customer
        self.rng = chance(world.seed, "customer", customer.name)
        self.spread = min(customer.spread, world.gateways)
        self.favourite, self.flood, self.count, self.chain = 0, 1.0, 0, 0
        self.shares = [method.share for method in fleet.methods_told]
        self.pace(1.0)
        if customer.moves:
            fleet.heap.after(customer.moves, self.move)

    def move(self):
        """From now on most RPCs come in at the next gateway of the set."""
        self.favourite = (self.favourite + 1) % self.spread
        self.fleet.heap.after(self.customer.moves, self.move)

    def pace(self, times):
        """Ask so many times faster than until now; the call that would have come next is drawn anew."""
        self.flood, self.chain = self.flood * times, self.chain + 1
        if self.customer.rate:
            self.fleet.heap.after(
                self.rng.expovariate(self.customer.rate * self.flood), self.ask, self.chain
            )

    def ask(self, chain):
        """A new call, and the next one's time."""
        fleet, rng = self.fleet, self.rng
        if fleet.heap.now >= fleet.world.length or chain != self.chain:
            return
        told = rng.choices(fleet.methods_told, self.shares)[0]
        units = rng.randint(1, max(1, self.customer.units))
        self.count += 1
        work = told.work * (
            rng.expovariate(1.0) if fleet.world.exponential else rng.uniform(0.5, 1.5)
        )
        call = Call(
            self,
            fleet.methods[told.name],
            units,
            work * (0.5 + units / 2),
            (self.customer.name, self.count),
            fleet.heap.now,
        )
        fleet.figures.asked(call)
        self.send(call)
        fleet.heap.after(rng.expovariate(self.customer.rate * self.flood), self.ask, chain)

    def pick(self):
        """A gateway of the customer's set, as the front deals them out: the dead ones it knows of left out."""
        set_of = [
            self.fleet.nodes[(self.customer.first + at) % len(self.fleet.nodes)]
            for at in range(self.spread)
        ]
        up = [node for node in set_of if self.fleet.front_sees(node)]
        if not up:
            return None
        favourite = set_of[self.favourite]
        if favourite in up and self.rng.random() < self.customer.skew:
            return self.fleet.twin(favourite, self.rng)
        return self.fleet.twin(self.rng.choice(up), self.rng)

    def send(self, call):
        """A try: a new RPC id at a gateway."""
        fleet, world, now = self.fleet, self.fleet.world, self.fleet.heap.now
        patience = min(call.until - now, call.method.deadline * world.patience)
        if patience <= 0.01:
            return
        node = self.pick()
        if node is None:
            self.again(call, 0.1, True)
            return
        one = Try(call, f"{self.customer.name}-{call.key[1]}.{call.tries}", node, patience, now)
        call.tries += 1
        fleet.heap.after(world.latency * (1 + self.rng.random()), self.reach, one)

    def reach(self, one):
        """The RPC is at its gateway, which may be dead."""
        fleet, node = self.fleet, one.node
        if not node.alive:
            one.over = True
            self.again(one.call, 0.05, True)
            return
        node.taken(one)
        early = self.rng.random() < 0.01
        gives_up = (
            one.deadline + 1.2 * fleet.answer_slack
            if not early
            else one.deadline * self.rng.random()
        )
        fleet.heap.at(gives_up, self.leave, one, node.life)

    def leave(self, one, life):
        if not one.over:
            one.over = True
            one.node.event(life, one.node.leave, one)

    def answered(self, one, answer, wait):
        call = one.call
        call.answer = answer
        self.fleet.figures.answered(call, answer)
        method = call.method
        repeats = (
            method.effect == api.IDEMPOTENT
            or method.effect == api.DEDUPLICATED
            and method.key_scope == "all"
        )
        if answer == REJECTED or answer == ABORTED and repeats:
            self.again(call, max(0.02, wait), False)

    def again(self, call, pause, free):
        """Another try, unless the client has had enough of them; one that no gateway took is free, within bounds."""
        if call.answer != OK and call.tries <= self.fleet.world.retries + 2 * free:
            self.fleet.heap.after(pause * (1 + self.rng.random()), self.send, call)


class Figures:
    """What the clients got of what they asked: the measure by which builds are ordered, beside the rules."""

    def __init__(self, fleet):
        self.fleet, self.stores = fleet, {}
        self.offered = self.served = self.beyond = self.used = 0.0
        self.answers = {}

    def asked(self, call):
        """The quota's store sees every first try: what it covers is inside."""
        plan, now = self.fleet.plans[call.customer.plan], self.fleet.heap.now
        level, since = self.stores.get(call.customer.name, (plan.burst, now))
        level = min(plan.burst, level + plan.rate * (now - since))
        call.inside = not plan.rate or level >= call.units
        self.stores[call.customer.name] = level - call.units * call.inside, now
        if call.inside:
            self.offered += call.units * call.method.priority_weight * plan.price

    def answered(self, call, answer):
        self.answers[answer] = self.answers.get(answer, 0) + 1
        if answer == OK:
            self.used += call.units
            self.beyond += call.units * (not call.inside)
            plan, took = self.fleet.plans[call.customer.plan], self.fleet.heap.now - call.began
            if call.inside:
                worth = (
                    1.0
                    if took <= call.method.latency_objective
                    else call.method.late_priority_weight
                )
                self.served += worth * call.units * call.method.priority_weight * plan.price

    def summary(self) -> dict:
        """The ok share of the utility asked inside quotas, units served beyond them as a share, and the answers."""
        return {
            "ok share": self.served / self.offered if self.offered else 1.0,
            "beyond quota": self.beyond / self.used if self.used else 0.0,
            **self.answers,
        }
