"""The decisions' leases, led through a script of RPCs and counts."""

from typing import Any

from petrellane.decisions import actions, leases, types
from petrellane.decisions.controller import AdmissionController
from petrellane.operation import hot_restart, hot_restart_messages

Json = Any

SETTINGS = {
    "zone": "z1",
    "counter_timeout": 0.05,
    "may_cancel": True,
    "max_retry_after": 0.5,
    "slow_start": 10.0,
    "slow_start_minimum": 0.25,
    "cross_zone_price": 0.0,
}

# What a lease is made of: the key in a hand-over, and the attribute that holds it here.
LEASE_KEYS = leases.STORED_FIELDS

# The figures of a plan: the key in a recording, and the field that holds it here.
PLAN_FIELDS = {
    "rate": "rate",
    "store": "burst",
    "ceiling_rate": "hard_limit_rate",
    "ceiling_burst": "hard_limit_burst",
    "ceiling_slack": "hard_limit_slack",
}


class Leases:
    """The decisions of one gateway, notified of RPCs and counts as a script says."""

    def __init__(self, plans: dict[str, dict[str, float]], now: float) -> None:
        self.controller = AdmissionController(
            seed=0x5EED, uses_counter=True, must_watch=False, **SETTINGS
        )
        self.plans = {
            name: types.Plan(name, **{PLAN_FIELDS[key]: figures[key] for key in figures})
            for name, figures in plans.items()
        }
        self.method = types.Method("look", 1.0, 4.0, types.IDEMPOTENT)
        self.customers: dict[str, types.Customer] = {}
        self.ledger: dict[int, float] = {}
        self.adds: list[actions.CounterAdd] = []
        self.rpcs: list[types.Rpc] = []
        self._take(self.controller.start(now))
        endpoints = [types.Endpoint(f"127.0.0.1:{port}") for port in (1, 2)]
        rows = [
            types.EndpointEvent(endpoint, "z1", "std", 0, types.READY, 1.0, 0.0)
            for endpoint in endpoints
        ]
        self._take(self.controller.on_endpoint_events(now, True, rows))

    def _take(self, steps: list[Any]) -> None:
        self.adds += [step for step in steps if isinstance(step, actions.CounterAdd)]

    def customer(self, name: str, plan: str, first: int, spread: int) -> types.Customer | None:
        """The customer of that name; None where its plan is unknown."""
        if plan not in self.plans:
            return None
        if name not in self.customers:
            self.customers[name] = types.Customer(name, self.plans[plan], first, spread)
        return self.customers[name]

    def play(self, script: list[Json]) -> None:
        """Take the steps of a script.

        These are ["rpc", at, name, plan, first, spread, units], ["count", at, outcome] and
        ["end", at, index].
        """
        for what, now, *words in script:
            if what == "rpc":
                *named, units = words
                customer = self.customer(*named)
                rpc = types.Rpc(self.method, customer, units, now + 4.0, now)
                self.rpcs.append(rpc)
                self._take(self.controller.admit(now, rpc))
            elif what == "count":
                self._count(now, words[0])
            elif what == "end":
                attempt = self.rpcs[words[0]].attempts[-1]
                self._take(
                    self.controller.on_attempt_ended(
                        now, attempt, types.OK, is_final=True, duration=0.1, units=0.0
                    )
                )

    def _count(self, now: float, outcome: str) -> None:
        adds, self.adds = self.adds, []
        for add in adds:
            total = self.ledger.get(add.name, 0.0) + (add.amount if outcome == "ok" else 0.0)
            self.ledger[add.name] = total
            answered = total if outcome == "ok" else 0.0
            self._take(self.controller.on_counter_reply(now, add, outcome, answered))

    def export_state(self, now: float, generation: Json = None) -> list[Json]:
        """The messages that give all leases up."""
        exported = hot_restart.export_leases(self.controller, now, generation)
        return [hot_restart_messages.encode(message) for message in exported]

    def import_state(self, now: float, rows: list[Json]) -> int:
        """Take leases over; how many."""
        return hot_restart.import_leases(self.controller, now, rows, self.customer)

    def release_in_flight(self, now: float, name: str, number: int) -> int:
        """End RPCs that the process before had in flight; how many the lease counted."""
        return hot_restart.release_in_flight(self.controller, now, self.customers[name], number)

    def values(self) -> dict[str, Json]:
        """What each lease is: the stored keys and their values, and its recent demand."""
        found = {}
        for customer, lease in self.controller.lease_manager.leases.items():
            stored = {key: getattr(lease, name) for key, name in LEASE_KEYS.items()}
            stored["demand"] = [list(pair) for pair in lease.demand]
            found[customer.name] = {
                "plan": customer.plan.name,
                "first": customer.first_gateway,
                "spread": customer.gateway_count,
                "lease": stored,
            }
        return found
