"""What is let through beyond quotas over a whole fleet, and a policy that sees the true stores late to hold it against.

The definition is in docs/history/acceptance.md. `Stores` is the truth, `Late` a way to decide in place of the module's, `spent` what
a run's records say.
"""

from collections import Counter, deque

from petrellane import invariants
from petrellane.decisions import actions
from petrellane.simulation.baselines import TwoChoices
from petrellane.simulation.scenario import Scenario


class Stores:
    """One true store for each customer, over all gateways; times are seconds of the run."""

    def __init__(self):
        self.levels = {}  # customer's name -> (level, at)

    def level(self, name, plan, now):
        level, at = self.levels.get(name, (plan.store, now))
        return min(plan.store, level + plan.rate * (now - at))

    def take(self, name, plan, now, units) -> bool:
        """An RPC is sent on for the first time: whether it is inside; only then it takes its units."""
        level = self.level(name, plan, now)
        inside = not plan.rate or level >= units
        self.levels[name] = level - units * inside, now
        return inside


class Late(TwoChoices):
    """Lets in what the true store, as it was `late` seconds ago, holds, less what this gateway has let in since."""

    late, past = (
        0.25,
        None,
    )  # the true stores and what they were are shared by all gateways of a run

    def __init__(self, *, seed, node, **settings):
        super().__init__(seed=seed, node=node, **settings)
        self.own = {}

    def place(self, now, rpc):
        name, plan = rpc.customer.name, rpc.customer.plan
        own = self.own.setdefault(name, deque())
        while own and own[0][0] <= now - self.late:
            own.popleft()
        seen = self.past.seen(name, plan, now - self.late)
        if (
            plan.rate
            and min(plan.store, seen + plan.rate * self.late) - sum(units for _, units in own)
            < rpc.units
        ):
            rpc.is_finished = True
            return [actions.Reject(rpc, 0.0, "credit")]
        steps = super().place(now, rpc)
        if any(isinstance(step, actions.SendAttempt) for step in steps):
            own.append((now, rpc.units))
            self.past.take(name, plan, now, rpc.units)
        return steps


class Past:
    """The true stores, and what they were a while ago."""

    def __init__(self, late):
        self.late, self.stores, self.before = late, Stores(), {}

    def take(self, name, plan, now, units):
        levels = self.before.setdefault(name, deque([(plan.store, -1e9)]))
        self.stores.take(name, plan, now, units)
        levels.append(self.stores.levels[name])
        while len(levels) > 1 and levels[1][1] <= now - 2 * self.late:
            levels.popleft()

    def seen(self, name, plan, at):
        """The level at a time up to `late` ago."""
        level, since = next(
            (one for one in reversed(self.before.get(name, ())) if one[1] <= at), (plan.store, at)
        )
        return min(plan.store, level + plan.rate * (at - since))


def late(seconds: float) -> type:
    """The policy, for one run."""
    return type("Late", (Late,), {"late": seconds, "past": Past(seconds)})


def spent(scenario: Scenario, records: list) -> dict:
    """By plan, and in all: units sent, units beyond, and the cost of these by the definition, at an over_cost of 1."""
    plans, prices = (
        {plan.name: plan for plan in scenario.plans},
        {one.name: one.utility for one in scenario.methods},
    )
    sent, asked, rpcs, first = Stores(), Stores(), {}, set()
    found = {name: Counter() for name in (*plans, "all")}
    for record in sorted(records, key=lambda one: one.at):
        if type(record) is invariants.RpcReceived:
            rpcs[record.rpc] = record
            plan = plans[record.plan]
            worth = record.units * prices[record.method] * plan.price
            inside = asked.take(record.customer, plan, record.at, record.units)
            for name in (record.plan, "all"):
                found[name]["asked inside"] += worth * inside
                found[name]["asked"] += record.units
        elif type(record) is invariants.AttemptSent and record.rpc not in first:
            first.add(record.rpc)
            told = rpcs[record.rpc]
            plan = plans[told.plan]
            inside = sent.take(told.customer, plan, record.at, told.units)
            for name in (told.plan, "all"):
                found[name]["sent"] += told.units
                found[name]["beyond"] += told.units * (not inside)
                found[name]["price"] += told.units * prices[told.method] * plan.price * (not inside)
    return {
        name: {
            "asked": one["asked"],
            "sent": one["sent"],
            "beyond": one["beyond"],
            "cost": one["price"] / one["asked inside"] if one["asked inside"] else 0.0,
        }
        for name, one in found.items()
    }
