"""The customers of RPCs: one object for each customer name, plan and set of gateways.

What an RPC states about its customer applies to that RPC only. Two RPCs that state different plans
or sets of gateways for one customer use separate leases, so that neither changes the limits of the
other. Such a difference means that the plan has just changed, or that a client sends wrong
values, by mistake or on purpose. The shared counter counts by customer name, so that the use of
both leases adds up in a window.
"""

from __future__ import annotations

from typing import NamedTuple
from weakref import WeakValueDictionary

from petrellane.decisions.types import LONG_AGO, Customer, Plan


class CustomerKey(NamedTuple):
    """The properties that an RPC states about its customer.

    Attributes:
        name: The customer name.
        plan: The name of the plan.
        first_gateway: The number of the first gateway that receives the customer's RPCs.
        gateway_count: The number of gateways that receive them, from the first one on.
    """

    name: str
    plan: str
    first_gateway: int
    gateway_count: int


class Customers:
    """The table of the customers that RPCs name.

    Owned by the action executor. It holds weak references only: a customer that no lease and no
    open RPC refers to disappears, which bounds the size of the table.
    """

    def __init__(self) -> None:
        self.by_name: WeakValueDictionary[str, Customer] = WeakValueDictionary()
        # Further objects for names in `by_name`, with another plan or set of gateways.
        self.by_key: WeakValueDictionary[CustomerKey, Customer] = WeakValueDictionary()

    def get_or_create(
        self, name: str, plan: Plan, first_gateway: int, gateway_count: int, now: float
    ) -> Customer:
        """Return the customer of an RPC, and create it if it does not exist.

        A new object for a name that is in use starts with none of its share of a hard limit,
        because the customer may have just used up the share under the other plan.

        Args:
            name: The customer name.
            plan: The customer's plan, from the current settings.
            first_gateway: The number of the first gateway that receives the customer's RPCs.
            gateway_count: The number of gateways that receive them, from the first one on.
            now: The current time, in Unix seconds.
        """
        primary = self.by_name.get(name)
        if (
            primary is not None
            and primary.plan.name == plan.name
            and primary.first_gateway == first_gateway
            and primary.gateway_count == gateway_count
        ):
            primary.plan = plan  # a reload may have replaced the plan of this name
            return primary
        key = CustomerKey(name, plan.name, first_gateway, gateway_count)
        variant = self.by_key.get(key)
        if variant is None:
            known_since = LONG_AGO if primary is None else now
            variant = Customer(name, plan, first_gateway, gateway_count, known_since)
            if primary is None:
                self.by_name[name] = variant
            else:
                self.by_key[key] = variant
        variant.plan = plan
        return variant

    def find_by_name(self, name: str) -> list[Customer]:
        """Return all customer objects with a name, whatever their plans and sets of gateways."""
        primary = self.by_name.get(name)
        customers = [] if primary is None else [primary]
        customers.extend(variant for key, variant in self.by_key.items() if key.name == name)
        return customers
