"""One instance at the door: the wire's ids and units on one side, the module's objects on the other."""

import json
import re
from collections import defaultdict, deque
from weakref import WeakValueDictionary

from petrellane import config
from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController

OUTCOMES = {
    "GOOD": api.OK,
    "BAD": api.ERROR,
    "LATE": api.LATE,
    "RST": api.RESET,
    "CXL": api.CANCELLED,
    "FULL": api.FULL,
    "NOCONN": api.UNREACHABLE,
    "NOP": api.NEVER_SENT,
}
STATES = {"0": api.GONE, "1": api.READY, "2": api.DRAINING}
NUMBER = re.compile(r"-?\d+(\.\d+)?(e[-+]?\d+)?", re.IGNORECASE)
FULL_KINDS = {"1", "2"}
FAILED_KIND = "3"


def seconds(text):
    """Microseconds of the wire as seconds."""
    return int(text or 0) / 1e6


def micros(value):
    """Seconds as microseconds of the wire."""
    return int(round(value * 1e6))


class Door:
    """An instance: turns events into calls of its gateway, and what these return into actions."""

    def __init__(self, number, seed, settings):
        told = config.parse_settings(config.Section(json.loads(settings), "settings"))
        self.number = number
        self.methods, self.plans, self.report_fields = told.methods, told.plans, told.report_fields
        self.hosts, self.rpcs, self.handles = {}, {}, {}
        self.customers = WeakValueDictionary()
        self.closing = []  # RPCs that may be let go of once the event's lines are made
        self.adds = defaultdict(deque)
        self.wakes, self.nonce = {}, 0
        self.gateway = AdmissionController(
            seed=seed,
            uses_counter=told.uses_counter,
            must_watch=told.must_watch,
            **told.controller_options,
        )

    def start(self, now):
        """The instance's first actions."""
        return self.say(self.gateway.start(now))

    def event(self, now, verb, fields, rows):
        """One event of the wire; gives the lines to print."""
        handler = HANDLERS.get(verb)
        lines = self.say(handler(self, now, fields, rows)) if handler else []
        while self.closing:
            rpc = self.closing.pop()
            if rpc.is_finished and all(attempt.outcome for attempt in rpc.attempts):
                self.rpcs.pop(self.handles.pop(rpc, None), None)
        return lines

    def listed(self, now, fields, rows):
        """A host list, or changes to it."""
        if fields.get("kind") == FAILED_KIND:
            return self.gateway.on_endpoint_events(now, False, None)
        listings = []
        for row in rows:
            host = self.hosts.setdefault(row["host"], api.Endpoint(row["host"]))
            listings.append(
                api.EndpointEvent(
                    host,
                    row.get("az", ""),
                    row.get("type", ""),
                    int(row.get("pod", 0)),
                    STATES.get(row.get("state", "0"), api.GONE),
                    float(row.get("share", 0)),
                    seconds(row.get("upSince")),
                )
            )
        return self.gateway.on_endpoint_events(now, fields.get("kind") in FULL_KINDS, listings)

    def demand(self, now, fields, rows):
        """A client's RPC."""
        name = fields.get("customer", "")
        customer = self.customers.get(name)
        if customer is None:
            plan = self.plans.setdefault(fields.get("gradeOfService", ""), api.Plan(""))
            customer = self.customers[name] = api.Customer(name, plan)
        customer.first_gateway = int(fields.get("setStart", 0))
        customer.gateway_count = int(fields.get("entryPoints", 0))
        rpc = api.Rpc(
            self.methods[fields["grade"]],
            customer,
            float(fields.get("priceUnits", 0)),
            seconds(fields["expires"]),
            now,
            is_client_retry=fields.get("resent") == "1",
            is_write=fields.get("write") == "1",
        )
        self.rpcs[fields["handle"]], self.handles[rpc] = rpc, fields["handle"]
        return self.gateway.admit(now, rpc)

    def answer(self, now, fields, rows):
        """How a call-out ended."""
        rpc = self.rpcs.get(fields["handle"])
        number = int(fields.get("sendNo", 0))
        if rpc is None or number >= len(rpc.attempts):
            return []
        self.closing.append(rpc)
        return self.gateway.on_attempt_ended(
            now,
            rpc.attempts[number],
            OUTCOMES.get(fields.get("outcome"), api.ERROR),
            over=fields.get("over") == "1",
            took=seconds(fields.get("took")),
            usage=int(fields.get("usage", 0)),
            units=float(fields.get("finalUnits", 0)),
            report=self.report(fields),
        )

    def streaming(self, now, fields, rows):
        """A streamed answer has begun."""
        rpc = self.rpcs.get(fields["handle"])
        return (
            self.gateway.on_response_started(now, rpc.attempts[int(fields.get("sendNo", 0))])
            if rpc
            else []
        )

    def expired(self, now, fields, rows):
        """The client has left."""
        rpc = self.rpcs.get(fields["handle"])
        if rpc is None:
            return []
        self.closing.append(rpc)
        return self.gateway.on_client_disconnected(now, rpc)

    def ring(self, now, fields, rows):
        """A timer of ours."""
        about = self.wakes.pop(int(fields["nonce"]), None)
        return self.gateway.on_timer(now, about) if about is not None else []

    def counted(self, now, fields, rows):
        """What the counter said to one add."""
        name = int(fields["cname"])
        waiting = self.adds[name]
        if not waiting:
            return []
        add = waiting.popleft()
        if not waiting:
            del self.adds[name]
        outcome = OUTCOMES.get(fields.get("outcome"), api.ERROR)
        return self.gateway.on_counter_reply(now, add, outcome, float(fields.get("reading", 0)))

    def report(self, fields):
        """A load report as a dict by field name; empty when none came."""
        values = fields.get("healthInfo", "").split(",")
        return {
            name: float(text)
            for name, text in zip(self.report_fields, values, strict=False)
            if NUMBER.fullmatch(text)
        }

    def say(self, steps):
        """The module's plain values as lines of the wire."""
        lines = []
        for step in steps:
            lines.append(SAYERS[type(step)](self, step))
            if isinstance(step, (actions.Reject, actions.Abort)):
                self.closing.append(step.rpc)
        return lines

    def say_send_attempt(self, step):
        return (
            f"DISPATCH gateway={self.number} handle={self.handles[step.rpc]} host={step.endpoint.address} "
            f"timeout={max(1, micros(step.timeout))}"
        )

    def say_push_back(self, step):
        return f"REJECT gateway={self.number} handle={self.handles[step.rpc]} retryAfter={micros(step.retry_after)}"

    def say_abort(self, step):
        return f"END_FAILED gateway={self.number} handle={self.handles[step.rpc]}"

    def say_cancel(self, step):
        return f"RECALL gateway={self.number} handle={self.handles[step.attempt.rpc]} sendNo={step.attempt.number}"

    def say_add(self, step):
        self.adds[step.name].append(step)
        return f"POST_AMOUNT gateway={self.number} cname={step.name} delta={step.amount:.7g} ttl={micros(step.ttl)}"

    def say_wake(self, step):
        self.nonce += 1
        self.wakes[self.nonce] = step.subject
        return f"WAKE_AT gateway={self.number} nonce={self.nonce} in={max(1, micros(step.delay))}"

    def say_log(self, step):
        return f"RECORD gateway={self.number} reasonText={step.text}"

    def say_subscribe(self, step):
        return f"STREAM_CHANGES gateway={self.number} on=1"


HANDLERS = {
    "PEERS_KNOWN": Door.listed,
    "DEMAND": Door.demand,
    "ANSWER": Door.answer,
    "FIRST": Door.streaming,
    "EXPIRED": Door.expired,
    "RING": Door.ring,
    "COUNTER_REPLY": Door.counted,
}
SAYERS = {
    actions.SendAttempt: Door.say_send_attempt,
    actions.Reject: Door.say_push_back,
    actions.Abort: Door.say_abort,
    actions.CancelAttempt: Door.say_cancel,
    actions.CounterAdd: Door.say_add,
    actions.SetTimer: Door.say_wake,
    actions.WriteLog: Door.say_log,
    actions.WatchEndpoints: Door.say_subscribe,
}
