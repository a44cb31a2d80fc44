"""How one process of a gateway follows another, as rules free of I/O.

Two processes of one gateway are one gateway to everybody else: each lease, each share of a ceiling and each client
connection has one holder at a time. What is given was first given up, so that what gets lost on the way is held by
nobody. A connection goes over in three steps: offered, got, yours. The new process reads from it after the third one
alone, and the old one may take it back until the second has come.
"""

import math
from collections import Counter

VERSION = 1
CHUNK = 100  # leases in one message
BESIDE = 10.0  # seconds after which a process that was followed is gone: told to end within 6, killed 3.7 later


def asks():
    """What the new process says first."""
    return {"ask": VERSION}


def answers_to(message):
    """What the old process says to the first message: None where it gives what it has, else a refusal."""
    return None if message.get("ask") == VERSION else {"refused": VERSION}


def given(gateway, now, generation=None):
    """The messages that tell all leases of a module's gateway, which gives them up; the last one says so. The first tells
    which settings are agreed on, where any are; a build that does not know that word passes it over."""
    rows = [
        {
            "customer": customer.name,
            "plan": customer.plan.name,
            "first": customer.first_gateway,
            "spread": customer.gateway_count,
            "lease": finite(lease.export_state(now)),
        }
        for customer, lease in gateway.lease_manager.leases.items()
    ]
    first = [{"generation": generation}] if generation else []
    return (
        first
        + [{"leases": rows[at : at + CHUNK]} for at in range(0, len(rows), CHUNK)]
        + [{"given": len(rows)}]
    )


def finite(told):
    """The same with 0 for what has no end: where a plan has no quota, credit is never looked at."""
    return {
        name: 0.0 if isinstance(value, float) and not math.isfinite(value) else value
        for name, value in told.items()
    }


def taken(gateway, now, rows, customer_of):
    """Take over leases as they were told; `customer_of` gives the customer of a row, None where its plan is unknown.
    The number taken; a row of no form is held by nobody."""
    number = 0
    for row in rows:
        try:
            customer = customer_of(
                row["customer"], row["plan"], int(row["first"]), int(row["spread"])
            )
            if customer:
                gateway.lease_manager.lease_of(customer, now).import_state(row["lease"])
                number += 1
        except (KeyError, TypeError, ValueError):
            continue
    return number


def settled(gateway, now, customer, number):
    """So many call-outs of a customer, taken over as out, are out no more; how many of them its lease had."""
    lease = gateway.lease_manager.lease_of(customer, now)
    before, lease.in_flight = lease.in_flight, max(0, lease.in_flight - number)
    return before - lease.in_flight


def beside(gateway, now):
    """A process before may still hold its shares, as it gave none: ours of ceilings stay empty until it is surely gone."""
    gateway.lease_manager.started_at = now + BESIDE


def resumed(gateway, now):
    """What was given is gone: shares of ceilings grow again, from nothing."""
    for lease in gateway.lease_manager.leases.values():
        lease.hard_limit_filled_at = min(lease.hard_limit_filled_at, now)


class Giver:
    """The old process's end: which connections are offered and not yet got."""

    def __init__(self):
        self.offered, self.number = {}, 0

    def offer(self, thing):
        """Offer something; its number."""
        self.number += 1
        self.offered[self.number] = thing
        return self.number

    def withdraw(self, number):
        """Take back what was not got in time; False where it was got."""
        return self.offered.pop(number, None) is not None

    def got(self, number):
        """The other end has it. What was offered, now to be let go of, and the word for the other end."""
        thing = self.offered.pop(number, None)
        return thing, {"yours" if thing else "kept": number}


class Taker:
    """The new process's end: what it got and does not own yet."""

    def __init__(self):
        self.pending, self.rows, self.outs = {}, [], Counter()

    def told(self, message, thing=None):
        """A message from the old process, with what came along. The answer to it, if any; what is ours now; and
        what is to be dropped."""
        if "client" in message and thing is not None:
            self.pending[message["client"]] = thing
            return {"got": message["client"]}, None, None
        if "leases" in message:
            self.rows += message["leases"]
            self.outs.update({row["customer"]: row["lease"]["out"] for row in message["leases"]})
        owned = self.pending.pop(message.get("yours"), None)
        return None, owned, thing or self.pending.pop(message.get("kept"), None)

    def ended(self, customer):
        """An RPC of this customer has ended there; whether it was out when leases were given."""
        self.outs[customer] -= 1
        return self.outs[customer] >= 0

    def broken(self):
        """The old process is gone: what it did not make ours is nobody's, and is to be dropped."""
        pending, self.pending = list(self.pending.values()), {}
        return pending
