"""The steps of the decisions' scenario files, played against `AdmissionController` alone.

The notation is in tests/README.md.
"""

import contextlib
import re

from petrellane.decisions import actions
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController

SETTINGS = dict(
    zone="z1",
    uses_counter=True,
    counter_timeout=0.05,
    may_cancel=True,
    max_retry_after=0.5,
    slow_start=10.0,
    slow_start_minimum=0.25,
    cross_zone_price=0.0,
    must_watch=False,
)
PLAN_NAMES = dict(
    burst="burst",
    ceiling="hard_limit_rate",
    top="hard_limit_burst",
    slack="hard_limit_slack",
    out="max_in_flight",
    cost="over_quota_cost",
    over="over_quota_weight",
)
SETTING_NAMES = dict(
    counter="uses_counter",
    cold="slow_start",
    cold_from="slow_start_minimum",
    max_wait="max_retry_after",
)
CUSTOMER_NAMES = dict(first="first_gateway", spread="gateway_count")
METHOD_NAMES = dict(
    soft="latency_objective",
    dl="deadline",
    scope="key_scope",
    keep="key_window",
    late="late_priority_weight",
    utility="priority_weight",
)


def value(text):
    return float(text) if re.fullmatch(r"-?\d+(\.\d+)?", text) else text


def options(words):
    return {name: value(text) for name, text in (word.split("=", 1) for word in words)}


class Scene:
    """One scenario: the gateway under test, and what it has said since the last `do` line."""

    def __init__(self, seed):
        self.seed, self.now, self.gateway, self.settings = seed, 1000.0, None, dict(SETTINGS)
        self.methods, self.plans, self.customers, self.hosts, self.rpcs = {}, {}, {}, {}, {}
        self.adds, self.wakes, self.said, self.log, self.ledger = [], [], [], [], {}

    def close(self):
        """Nothing to give back."""

    def take(self, steps):
        for step in steps:
            kind = type(step).__name__
            if isinstance(step, actions.SetTimer):
                self.wakes.append(
                    (self.now + step.delay, len(self.wakes), step.subject, self.gateway)
                )
            elif isinstance(step, actions.CounterAdd):
                self.adds.append((step, self.gateway))
            elif isinstance(step, actions.WriteLog):
                self.log.append(step.text)
            rpc = (
                step.attempt.rpc
                if isinstance(step, actions.CancelAttempt)
                else getattr(step, "rpc", None)
            )
            self.said.append((kind, rpc, step))

    def do_set(self, *words):
        self.settings.update(
            {SETTING_NAMES.get(key, key): val for key, val in options(words).items()}
        )

    def do_method(self, name, effect, *words):
        given = {METHOD_NAMES.get(key, key): val for key, val in options(words).items()}
        self.methods[name] = api.Method(
            name, **{"latency_objective": 1.0, "deadline": 4.0, "effect": effect, **given}
        )

    def do_plan(self, name, *words):
        given = {PLAN_NAMES.get(key, key): val for key, val in options(words).items()}
        self.plans[name] = api.Plan(name, **given)

    def do_start(self, *words):
        self.wakes, self.adds, self.gateways = [], [], {}
        self.begin()

    def begin(self):
        self.gateway = AdmissionController(seed=self.seed, **self.settings)
        self.take(self.gateway.start(self.now))
        if self.hosts:
            self.list_all()

    def do_at(self, number):
        """Go on at the gateway of this number, which starts when it is first named."""
        self.gateways.setdefault("0", self.gateway)
        if number not in self.gateways:
            self.begin()
        self.gateway = self.gateways.setdefault(number, self.gateway)

    def list_all(self):
        rows = [
            api.EndpointEvent(h, h.zone, h.kind, h.pod, h.state, h.weight, h.started_at)
            for h in self.hosts.values()
        ]
        self.take(self.gateway.on_endpoint_events(self.now, True, rows))

    def do_host(self, *words):
        names = [word for word in words if "=" not in word]
        given = options(word for word in words if "=" in word)
        rows = []
        for name in names:
            host = self.hosts.setdefault(name, api.Endpoint(name))
            rows.append(
                api.EndpointEvent(
                    host,
                    given.get("zone", "z1"),
                    "std",
                    int(given.get("pod", 0)),
                    given.get("state", api.READY),
                    given.get("share", 1.0),
                    self.now - given["age"] if "age" in given else 0.0,
                )
            )
        self.take(self.gateway.on_endpoint_events(self.now, False, rows))

    def do_list(self, *names):
        self.hosts = {name: self.hosts[name] for name in names}
        self.list_all()

    def do_customer(self, name, plan, *words):
        self.customers[name] = api.Customer(
            name, self.plans[plan], **{CUSTOMER_NAMES[k]: int(v) for k, v in options(words).items()}
        )

    def do_retune(self, name, plan):
        """New settings say another thing of the customer's plan."""
        self.customers[name].plan = self.plans[plan]

    def do_rpc(self, name, method, customer, *words):
        given = options(words)
        rpc = self.rpcs[name] = api.Rpc(
            self.methods[method],
            self.customers[customer],
            given.get("units", 1.0),
            self.now + given.get("left", 4.0),
            self.now,
        )
        self.take(self.gateway.admit(self.now, rpc))

    def do_flood(self, count, method, customer, *words):
        given = options(words)
        for index in range(int(count)):
            self.do_rpc(
                f"flood{index}",
                method,
                customer,
                *(w for w in words if w.startswith(("units", "left"))),
            )
            if given.get("count") == "ok":
                self.do_count("ok")
            rpc = self.rpcs[f"flood{index}"]
            if "serve" in given and rpc.attempts:
                self.end(rpc, given.get("as", api.OK), given["serve"])
            self.do_wait(str(given.get("every", 0)))

    def do_scan(self, count, method, plan):
        """So many customers that are seen once, all served."""
        for index in range(int(count)):
            self.do_customer(f"once{index}", plan)
            self.do_rpc("once", method, f"once{index}")
            self.do_count("ok")
            self.end(self.rpcs["once"], api.OK)

    def do_wait(self, length):
        until = self.now + float(length)
        while due := [wake for wake in self.wakes if wake[0] <= until]:
            wake = min(due, key=lambda entry: entry[:2])
            self.wakes.remove(wake)
            self.now = max(self.now, wake[0])
            with self.acting(wake[3]):
                self.take(self.gateway.on_timer(self.now, wake[2]))
        self.now = until

    def do_count(self, outcome, *words):
        if outcome == "lost":
            self.ledger.clear()
            return
        given, turn = options(words), 0
        while self.adds and (turn := turn + 1) < given.get("turns", 19) + 1:
            (add, asker), total = self.adds.pop(0), 0.0
            if outcome in (api.OK, api.ERROR):
                total = self.ledger[add.name] = (
                    self.ledger.get(add.name, given.get("others", 0.0)) + add.amount
                )
            with self.acting(asker):
                self.take(self.gateway.on_counter_reply(self.now, add, outcome, total))

    @contextlib.contextmanager
    def acting(self, gateway):
        before, self.gateway = self.gateway, gateway
        yield
        self.gateway = before

    def end(self, rpc, outcome, took=0.1, units=0.0):
        attempt = rpc.attempts[-1]
        assert not attempt.outcome, "it has no call-out out"
        self.take(
            self.gateway.on_attempt_ended(
                self.now, attempt, outcome, over=outcome == api.OK, took=took, units=units
            )
        )

    def do_answer(self, name, outcome, *words):
        self.end(self.rpcs[name], outcome, **options(words))

    def do_serve(self):
        for rpc in self.rpcs.values():
            if rpc.attempts and not rpc.attempts[-1].outcome:
                self.end(rpc, api.OK)

    def do_leave(self, name):
        self.take(self.gateway.on_client_disconnected(self.now, self.rpcs[name]))

    def do_unknown(self, *words):
        self.take(self.gateway.on_timer(self.now, "nobody"))
        self.take(
            self.gateway.on_counter_reply(self.now, actions.CounterAdd(7, 1.0, 1.0), "odd", 0.0)
        )

    def do_expect(self, what, *words):
        if what == "log":
            assert any(" ".join(words) in line for line in self.log), self.log
            return
        rpc = self.rpcs[words[0]]
        kinds = [kind for kind, about, _ in self.said if about is rpc]
        if what in ("held", "nothing"):
            assert kinds == [], kinds
            return
        wanted = {
            "sent": "SendAttempt",
            "rejected": "Reject",
            "aborted": "Abort",
            "cancelled": "CancelAttempt",
        }[what]
        assert kinds and kinds[-1] == wanted, kinds
        on = options(words[1:]).get("on")
        assert on is None or rpc.attempts[-1].endpoint.address in on.split(","), rpc.attempts[
            -1
        ].endpoint.address
        self.said = [entry for entry in self.said if entry[1] is not rpc]

    def do_tally(self, kind, low, high):
        if kind == "asked":
            number = sum(step.amount for name, _, step in self.said if name == "CounterAdd")
        elif kind.startswith("on:"):
            number = sum(
                name == "SendAttempt" and step.endpoint.address in kind[3:].split(",")
                for name, _, step in self.said
            )
        elif kind == "hosts":
            number = len({step.endpoint for name, _, step in self.said if name == "SendAttempt"})
        elif kind == "units":
            number = sum(
                rpc.units
                for name, rpc, step in self.said
                if name == "SendAttempt" and step.number == 0
            )
        else:
            number = sum(name == kind for name, _, _ in self.said)
        assert float(low) <= number <= float(high), f"{number} of {kind}"

    def do_leases(self, low, high):
        assert int(low) <= len(self.gateway.lease_manager.leases) <= int(high), len(
            self.gateway.lease_manager.leases
        )

    def do_forgets(self):
        gone = [
            host.address for host, _ in self.gateway.load_balancer.subset if host.state == api.GONE
        ]
        assert not gone, gone

    def do_clear(self):
        self.said = []

    def do_world(self, *words):
        self.do_method("look", api.IDEMPOTENT)
        self.do_method("lodge", api.DEDUPLICATED, "scope=all", "keep=2", "late=0.5")
        self.do_method("zoned", api.DEDUPLICATED, "scope=zone", "keep=2", "late=0.5")
        self.do_method("celled", api.DEDUPLICATED, "scope=cell", "keep=2")
        self.do_method("post", api.NON_IDEMPOTENT, "utility=3", "keep=5", "late=0.5")
        self.do_plan("basic", "rate=2", "burst=10")
        self.do_plan("capped", "rate=20", "burst=40", "ceiling=40", "top=80", "slack=8")
        self.do_plan("open")
        for name in ("ann", "dan", "fay", "gil"):
            self.do_customer(name, "basic", "spread=2")
        self.do_customer("bob", "capped", "spread=2")
        self.do_customer("eve", "open", "spread=2")
        self.settings.update(
            {SETTING_NAMES.get(key, key): val for key, val in options(words).items()}
        )
        self.do_start()
        self.do_host("a", "b", "zone=z1", "pod=1")
        self.do_host("c", "d", "zone=z2", "pod=2")
