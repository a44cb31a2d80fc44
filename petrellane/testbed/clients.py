"""Clients in an open loop: RPCs come at intended times, whatever became of those before, through a front that deals a
customer's RPCs out among the gateways of its set. They keep to the protocol: one RPC at a time on a connection, a new one
where all are busy, and once more on a new one where a kept connection was closed under a command."""

import random
from dataclasses import dataclass

from petrellane import invariants
from petrellane.net import resp
from petrellane.net.stream import Closed, Stream
from petrellane.testbed.fakes import LIMITS
from petrellane.testbed.records import ReceivedRpc


@dataclass
class Method:
    """What clients ask: `share` of the RPCs, by the command that its effect wants."""

    name: str
    share: float = 1.0
    effect: str = "idempotent"
    patience: float = 2.0


@dataclass
class Customer:
    """Who asks: a part of the RPCs, through `spread` gateways from number `first`."""

    number: int
    plan: str
    share: float = 1.0
    first: int = 0
    spread: int = 1
    units: float = 1.0


class Front:
    """What clients know of one gateway: where it is, whether it is taken in, and connections that stand."""

    SUSPECT = 0.25  # seconds before a gateway that could not be reached is tried again

    def __init__(self, name, address):
        self.name, self.address = name, address
        self.idle, self.avoid, self.taken_in = [], 0.0, True


class Clients:
    """The load of a run; `rate` RPCs a second. A share of them, `leaving`, is left by its client: it closes its connection
    some time within its patience."""

    DIAL = 0.5
    SLACK = 0.3  # seconds past its patience after which a client stops listening

    def __init__(self, scheduler, records, fronts, methods, customers, rate, seed=0):
        self.scheduler, self.records, self.fronts = scheduler, records, fronts
        self.methods, self.customers, self.rate = methods, customers, rate
        self.random = random.Random(f"{seed} clients")
        self.on, self.number, self.out, self.turned_back, self.seed = False, 0, 0, 0, seed
        self.leaving, self.halves = (
            0.0,
            0.0,
        )  # the share; and of these, who end their sending and close later
        self.waits = []  # seconds that answers took, from the intended time

    def start(self):
        self.on, self.next = True, self.scheduler.monotonic()
        self.arrive()

    def stop(self):
        self.on = False

    def arrive(self):
        """Send what is due, and ring again at the next intended time."""
        while self.on and self.next <= self.scheduler.monotonic():
            self.scheduler.spawn(self.ask, self.next)
            self.next += self.random.expovariate(self.rate)
        if self.on:
            self.scheduler.after(max(0.0, self.next - self.scheduler.monotonic()), self.arrive)

    def ask(self, intended):
        """One RPC, to its end."""
        method = self.random.choices(self.methods, [one.share for one in self.methods])[0]
        customer = self.random.choices(self.customers, [one.share for one in self.customers])[0]
        self.number += 1
        self.out += 1
        try:
            self.send(method, customer, "%s-%08x" % (self.seed, self.number), intended)
        finally:
            self.out -= 1

    def send(self, method, customer, rpc, intended, leave_at=None):
        """One RPC; `leave_at`: when its client leaves for sure, by the scheduler's clock."""
        names = [(customer.first + step) % len(self.fronts) for step in range(customer.spread)]
        self.random.shuffle(names)
        now, known, until = self.scheduler.monotonic(), False, 0.0
        for front in sorted(
            (self.fronts[name] for name in names),
            key=lambda one: not one.taken_in or one.avoid > now,
        ):
            if not front.taken_in:
                continue
            for stream, kept in self.streams(front):
                if not known:
                    known, until = True, self.scheduler.monotonic() + method.patience
                    self.records.on_received(
                        ReceivedRpc(
                            rpc,
                            front.name,
                            "%016x" % customer.number,
                            customer.plan,
                            method.name,
                            customer.units,
                            method.patience,
                        )
                    )
                verdict = self.exchange(stream, method, customer, rpc, until, leave_at)
                if (
                    rpc not in self.records.open_rpcs
                ):  # it died with its gateway: nobody may ask again in its name
                    stream.close()
                    return
                if verdict == "again" and kept:
                    continue  # it was closed under our command
                self.end(front, stream, method, rpc, verdict, intended)
                return
            front.avoid = self.scheduler.monotonic() + front.SUSPECT
        self.turned_back += 1

    def streams(self, front):
        """Connections to try: one that stands, then a new one. Each with whether it stood before."""
        while front.idle:
            stream = front.idle.pop()
            if stream.quiet() and not stream.buffer:
                yield stream, True
                break
            stream.close()
        try:
            yield Stream.dial(self.scheduler, LIMITS, front.address, self.DIAL), False
        except OSError:
            return

    def exchange(self, stream, method, customer, rpc, until, leave_at=None):
        """Ask on a connection, with patience until some time; the answer's kind, "again" where it ended with none, "late"
        where none came in time."""
        left = max(
            0.001, until - self.scheduler.monotonic()
        )  # a first try may have taken some of it
        fields = (
            f"c={method.name},t={customer.plan},d={int(left * 1e3)},units={customer.units:g},"
            f"spread={customer.spread},first={customer.first}"
        )
        if method.effect == invariants.DEDUPLICATED:
            fields += f",k={rpc[-8:]}"
        verb = b"SVC.QUERY" if method.effect == invariants.IDEMPOTENT else b"SVC.SUBMIT"
        stream.write(resp.words(verb, b"%016x" % customer.number, rpc.encode(), fields.encode()))
        leaves = leave_at is not None or self.leaving and self.random.random() < self.leaving
        wait = self.random.random() * left if leaves else left + self.SLACK
        until = self.scheduler.monotonic() + wait if leave_at is None else min(until, leave_at)
        try:
            while not (found := resp.answer(stream.buffer, 0, LIMITS)):
                stream.fill(max(0.0, until - self.scheduler.monotonic()))
        except TimeoutError:
            if not leaves:
                return "late"
            self.records.on_client_disconnected(
                rpc
            )  # first: the close takes some time, within which it may be seen
            if self.halves and self.random.random() < self.halves:
                stream.finish()
                self.scheduler.wait(self.SLACK)
            stream.close()
            return "gone"
        except (Closed, resp.Malformed):
            return "again"
        kind, content, end = found
        text = bytes(stream.buffer[slice(*content)]) if content else b""
        del stream.buffer[:end]
        if kind == 0x24:
            return invariants.OK if text == rpc.encode() else "spoilt"
        return invariants.REJECTED if text.startswith(b"BUSY") else text.decode("latin-1")

    def end(self, front, stream, method, rpc, verdict, intended):
        if verdict in (invariants.OK, invariants.REJECTED) or verdict.startswith("ERR"):
            front.idle.append(stream)
            self.records.on_answered(
                rpc, verdict if verdict[:3] != "ERR" else invariants.ABORTED, method.name
            )
            self.waits.append((self.scheduler.monotonic() - intended, verdict))
        else:  # nothing, or nothing that a host made: it is lost, unless its gateway was killed
            stream.close()
            self.records.counts[method.name, verdict] = (
                self.records.counts.get((method.name, verdict), 0) + 1
            )
