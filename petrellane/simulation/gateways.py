"""Gateways: the real module behind its interface, each with its own clock, list of hosts and connections."""

import orjson

from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.invariants import (
    ABORTED,
    OK,
    REJECTED,
    AttemptEnded,
    AttemptSent,
    ClientDisconnected,
    EndpointNotified,
    GatewayLifecycle,
    RpcAnswered,
    RpcReceived,
)
from petrellane.operation import hot_restart, hot_restart_messages
from petrellane.simulation.event_queue import chance
from petrellane.simulation.hosts import PendingAttempt

EPOCH = 1000.0  # what a clock without error shows when the run begins; 0 would read as `long ago`


class Node:
    """One gateway: carries out the module's steps, and tells it what became of them."""

    def __init__(self, fleet, number, name=None):
        world = fleet.world
        self.fleet, self.number, self.name = fleet, number, name or f"g{number}"
        self.zone = number % world.zones
        self.rng = chance(world.seed, "gateway", self.name)
        self.offset = EPOCH + world.skew * (2 * self.rng.random() - 1)
        self.life, self.alive, self.paused, self.gateway = 0, False, False, None
        self.queue, self.open, self.pending_attempts, self.hosts, self.seen = [], {}, {}, {}, set()
        self.leaving, self.heir, self.taker = (
            False,
            None,
            None,
        )  # another process has its place, and goes on with it
        self.customers, self.stood = (
            {},
            None,
        )  # since when it had stood still, while it reads what came meanwhile
        self.carriers = {
            actions.SendAttempt: self.send_attempt,
            actions.Reject: self.push_back,
            actions.Abort: self.abort,
            actions.CancelAttempt: self.cancel,
            actions.CounterAdd: self.add,
            actions.SetTimer: self.wake,
            actions.WriteLog: self.log,
            actions.WatchEndpoints: self.subscribe,
        }

    def clock(self):
        return self.fleet.heap.now + self.offset

    def note(self, kind, *words):
        self.fleet.note(kind(self.fleet.heap.now, self.name, *words))

    # its life

    def start(self):
        """A new process that knows nothing but the list that discovery last held."""
        if self.alive:
            return
        self.life, self.alive, self.paused, self.heir = self.life + 1, True, False, None
        self.queue, self.open, self.pending_attempts, self.hosts, self.seen = [], {}, {}, {}, set()
        self.customers, self.stood = {}, None
        more = {"node": self} if getattr(self.fleet.module, "sees_node", False) else {}
        self.gateway = self.fleet.module(
            seed=self.rng.getrandbits(60), zone=f"z{self.zone}", **self.fleet.settings, **more
        )
        self.note(GatewayLifecycle, "started")
        self.carry(self.gateway.start(self.clock()))
        self.listed(True, self.fleet.discovery.stale())
        self.fleet.discovery.watch(self)

    def kill(self):
        """The process dies: clients see their connections break, and its call-outs go on at the hosts alone."""
        if not self.alive:
            return
        self.alive, self.life, self.gateway = False, self.life + 1, None
        held, self.open = list(self.open.values()), {}
        waiting, self.queue = self.queue, []
        self.note(GatewayLifecycle, "killed")
        self.fleet.died(self)
        for pending in self.pending_attempts:
            pending.given_up = True
        held += [words[0] for call, words in waiting if call == self.place]
        for one in held:
            self.fleet.heap.after(self.fleet.network.world.latency, one.broken)

    def given(self):
        """Give up all leases, and say what they were, as the process that follows would read it."""
        messages = hot_restart.export_leases(self.gateway, self.clock())
        return orjson.loads(orjson.dumps([hot_restart_messages.encode(one) for one in messages]))

    def resumed(self):
        """The one that followed is gone: go on with what is left."""
        hot_restart.resume(self.gateway, self.clock())

    def taken_over(self, old, messages):
        """Go on with what another process gave up; what it still has out counts until it tells that it ended."""
        self.taker, plans = hot_restart.HandoffReceiver(), self.fleet.plans
        for message in messages:
            self.taker.on_message(hot_restart_messages.decode(message))
        old.heir = self

        def customer(name, plan, first, spread):
            return self.customers.setdefault(name, api.Customer(name, plans[plan], first, spread))

        hot_restart.import_leases(self.gateway, self.clock(), self.taker.lease_rows, customer)

    def settled(self, name):
        """An RPC that the process before had has ended there."""
        if self.alive and self.taker and self.taker.on_request_ended(name):
            hot_restart.release_in_flight(self.gateway, self.clock(), self.customers[name], 1)

    def pause(self):
        if self.alive and not self.paused:
            self.paused, self.stood = True, self.clock()
            self.note(GatewayLifecycle, "paused")

    def resume(self):
        """Go on: all that came meanwhile is read now, in its order."""
        if self.alive and self.paused:
            self.paused = False
            self.note(GatewayLifecycle, "resumed")
            waiting, self.queue = self.queue, []
            for call, words in waiting:
                call(*words)
            self.stood = None

    def event(self, life, call, *words):
        """Something reaches the process of one life: now, when it goes on, or never."""
        if life == self.life and self.alive:
            if self.paused:
                self.queue.append((call, words))
            else:
                call(*words)

    # what it is told

    def listed(self, full, rows):
        """The list or its changes: (machine, state, up since) each; a full one leaves out what is gone."""
        listings, named = [], set()
        for machine, state, up_since in rows:
            host = self.hosts.get(machine.name)
            if host is None:
                host = self.hosts[machine.name] = api.Endpoint(machine.name)
            named.add(machine.name)
            since = 0.0 if up_since is None else up_since + EPOCH
            listings.append(
                api.EndpointEvent(host, f"z{machine.zone}", "", machine.pod, state, 1.0, since)
            )
            self.note(EndpointNotified, machine.name, state, 0.0 if up_since is None else up_since)
        if full:
            for name in self.hosts.keys() - named:
                self.note(EndpointNotified, name, api.GONE, 0.0)
        self.carry(self.gateway.on_endpoint_events(self.clock(), full, listings))
        self.hosts = {
            name: host
            for name, host in self.hosts.items()
            if host.state != api.GONE and (name in named or not full)
        }

    def place(self, one):
        """An RPC; its patience counts from now or, as the gateway can't know when it came, from when it last looked."""
        call = one.call
        customer = self.customers.get(call.customer.name)
        if customer is None:
            told = call.customer
            customer = self.customers[told.name] = api.Customer(
                told.name,
                self.fleet.plans[told.plan],
                told.first,
                min(told.spread, self.fleet.world.gateways),
            )
        now = self.clock()
        came = now if self.stood is None else self.stood
        rpc = api.Rpc(
            call.method,
            customer,
            float(call.units),
            came + one.patience,
            came,
            is_client_retry=one.number > 0,
            is_write=call.method.effect != api.IDEMPOTENT,
        )
        self.open[rpc] = one
        self.carry(self.gateway.admit(now, rpc))

    def taken(self, one):
        """The last byte of an RPC is here; a process that stands still has it all the same."""
        call = one.call
        self.note(
            RpcReceived,
            one.rpc,
            call.customer.name,
            call.customer.plan,
            call.method.name,
            float(call.units),
            one.deadline,
        )
        self.event(self.life, self.place, one)

    def leave(self, one):
        """The client has closed its connection."""
        for rpc, other in self.open.items():
            if other is one:
                self.note(ClientDisconnected, one.rpc)
                del self.open[rpc]
                self.carry(self.gateway.on_client_disconnected(self.clock(), rpc))
                return

    def outcome(self, pending, outcome):
        self.event(pending.life, self.ended, pending, outcome)

    def ended(self, pending, outcome):
        if pending.done:
            return
        pending.done = pending.given_up = True
        del self.pending_attempts[pending]
        rpc, now = pending.attempt.rpc, self.clock()
        self.note(AttemptEnded, pending.rpc, pending.number, outcome)
        if outcome == api.OK:
            self.finish(rpc, OK)
        self.carry(
            self.gateway.on_attempt_ended(
                now,
                pending.attempt,
                outcome,
                over=rpc not in self.open,
                took=max(1e-6, now - pending.attempt.sent_at),
            )
        )

    def counted(self, add, outcome, total):
        if self.fleet.trace is not None and add.lease is not None:
            told = f"a total of {total:g}" if outcome == api.OK else outcome
            self.fleet.trace.append(
                (
                    self.fleet.heap.now,
                    self.name,
                    f"asked for {add.amount:g} units of "
                    f"{add.lease.customer.name} in window {add.window}: {told}",
                )
            )
        self.carry(self.gateway.on_counter_reply(self.clock(), add, outcome, total))

    def woken(self, about):
        self.carry(self.gateway.on_timer(self.clock(), about))

    # what it does

    def carry(self, steps):
        for step in steps:
            self.carriers[type(step)](step)

    def finish(self, rpc, answer, wait=0.0):
        one = self.open.pop(rpc, None)
        if one is None:
            if answer != OK:  # the module has ended what was over
                self.note(RpcAnswered, self.fleet.ids.get(rpc, "unknown"), answer)
            return
        self.note(RpcAnswered, one.rpc, answer)
        if self.heir:
            self.heir.settled(rpc.customer.name)
        if self.fleet.trace is not None:
            self.fleet.ids[rpc] = one.rpc
        self.fleet.heap.after(self.fleet.world.latency, one.answered, answer, wait)

    def push_back(self, step):
        self.finish(step.rpc, REJECTED, step.retry_after)

    def abort(self, step):
        self.finish(step.rpc, ABORTED)

    def send_attempt(self, step):
        """Write a call-out to its host: on a connection that stands or on a new one."""
        fleet, world, now = self.fleet, self.fleet.world, self.fleet.heap.now
        one = self.open.get(step.rpc)
        machine = fleet.machines_by_name[step.endpoint.address]
        if one is None:
            self.note(AttemptSent, fleet.ids.get(step.rpc, "unknown"), step.number, machine.name)
            return
        pending = PendingAttempt(self, step, one.call, one.rpc, machine)
        self.pending_attempts[pending] = None
        self.note(AttemptSent, one.rpc, step.number, machine.name)
        there = fleet.network.delay(self.zone, machine.zone, self.rng)
        back = fleet.network.delay(machine.zone, self.zone, self.rng)
        fleet.heap.after(max(1e-6, step.timeout), self.outcome, pending, api.LATE)
        if machine.name in self.seen and self.rng.random() < world.standing and machine.alive:
            if there is not None:
                fleet.heap.after(there, machine.receive, pending)
        elif there is None or back is None or machine.silent:
            fleet.heap.after(0.25, self.outcome, pending, api.UNREACHABLE)
        elif not machine.alive:
            fleet.heap.after(there + back, self.outcome, pending, api.UNREACHABLE)
        else:
            self.seen.add(machine.name)
            fleet.heap.at(now + there + back + there, self.arrive, pending)

    def arrive(self, pending):
        """A new connection is up and the call-out written, unless it was given up first: then it never ran."""
        if not pending.done:
            pending.host.receive(pending)

    def cancel(self, step):
        for pending in self.pending_attempts:
            if pending.attempt is step.attempt:
                pending.given_up = (
                    True  # at times others stand on its connection, and it is told later
                )
                late = 0.05 if self.rng.random() < 0.1 else 0.0
                self.fleet.heap.after(late, self.outcome, pending, api.CANCELLED)

    def add(self, step):
        self.fleet.counter.call(self, step)

    def wake(self, step):
        self.fleet.heap.after(step.delay, self.event, self.life, self.woken, step.subject)

    def log(self, step):
        if self.fleet.trace is not None:
            self.fleet.trace.append((self.fleet.heap.now, self.name, step.text))

    def subscribe(self, step):
        """The watch is on from the start."""
