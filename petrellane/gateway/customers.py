"""Which customer an RPC is of: one object per customer, plan and set of gateways.

What an RPC says of its customer is that RPC's word alone. Two RPCs that say different things of
the same customer (its plan has just changed, or one of them is mistaken or lies) have a lease each:
what one is judged by never changes what an earlier or a later one is. The shared counter goes by
the customer's name, so that what both take of a window is added up.
"""

from __future__ import annotations

from typing import NamedTuple
from weakref import WeakValueDictionary

from petrellane.decisions.types import LONG_AGO, Customer, Plan


class CustomerKey(NamedTuple):
    """All that an RPC says of its customer."""

    name: str
    plan: str
    first_gateway: int
    gateway_count: int


class Customers:
    """Customers as RPCs name them.

    Owned by the action executor. Holds weak references alone: a customer that no lease and no open
    RPC refers to is forgotten, which bounds the tables.
    """

    def __init__(self) -> None:
        self.by_name: WeakValueDictionary[str, Customer] = WeakValueDictionary()
        # Those that are known under other words as well, by all that was said of them.
        self.by_key: WeakValueDictionary[CustomerKey, Customer] = WeakValueDictionary()

    def get_or_create(
        self, name: str, plan: Plan, first_gateway: int, gateway_count: int, now: float
    ) -> Customer:
        """Return the customer that an RPC is of.

        A customer that is known under other words as well begins with no share of a hard limit: it
        may just have had that of the other plan.

        Args:
            name: The customer's name.
            plan: Its plan, as the settings say now.
            first_gateway: The first gateway that its RPCs come to.
            gateway_count: How many gateways they come to.
            now: The time, in seconds.
        """
        usual = self.by_name.get(name)
        if (
            usual is not None
            and usual.plan.name == plan.name
            and usual.first_gateway == first_gateway
            and usual.gateway_count == gateway_count
        ):
            usual.plan = plan  # as the settings say now
            return usual
        key = CustomerKey(name, plan.name, first_gateway, gateway_count)
        other = self.by_key.get(key)
        if other is None:
            known_since = LONG_AGO if usual is None else now
            other = Customer(name, plan, first_gateway, gateway_count, known_since)
            if usual is None:
                self.by_name[name] = other
            else:
                self.by_key[key] = other
        other.plan = plan
        return other

    def find_by_name(self, name: str) -> list[Customer]:
        """Return every customer that is known by a name."""
        usual = self.by_name.get(name)
        customers = [] if usual is None else [usual]
        customers.extend(other for key, other in self.by_key.items() if key.name == name)
        return customers
