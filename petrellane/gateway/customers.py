"""Who the RPCs are of: one object for a customer under one plan and in one set of gateways, while anything holds on to it.

What an RPC says of its customer is that RPC's word alone. Two that say different things of the same customer (it has another
plan since a moment ago, or one of them is mistaken or lies) have a lease each: what one is judged by never changes what an
earlier or a later one is. The shared count goes by the customer's name, so that what both take of a window is added up.
"""

from weakref import WeakValueDictionary

from petrellane.decisions import types as api


class Customers:
    """Customers as RPCs name them; one that nothing points to any more is forgotten."""

    def __init__(self):
        self.usual, self.others = (
            WeakValueDictionary(),
            WeakValueDictionary(),
        )  # by name; by all that was said

    def of(self, name, plan, first, spread, now):
        """The customer that an RPC is of. One that is known under other words as well begins with no share of a ceiling:
        it may just have had that of the other plan."""
        usual = self.usual.get(name)
        if usual is not None and (usual.plan.name, usual.first_gateway, usual.gateway_count) == (
            plan.name,
            first,
            spread,
        ):
            usual.plan = plan  # as the settings say now
            return usual
        key = name, plan.name, first, spread
        other = self.others.get(key)
        if other is None:
            other = api.Customer(name, plan, first, spread, api.LONG_AGO if usual is None else now)
            if usual is None:
                self.usual[name] = other
            else:
                self.others[key] = other
        other.plan = plan
        return other

    def named(self, name):
        """All that are known by a name."""
        usual = self.usual.get(name)
        return [usual] * (usual is not None) + [
            one for key, one in self.others.items() if key[0] == name
        ]
