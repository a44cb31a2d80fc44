"""How one process of a gateway takes over from another without a gap: a hot restart.

Rules free of I/O. To everybody else the two processes, predecessor and successor, are one gateway:
each lease, each share of a hard limit and each client connection has one holder at a time. The
predecessor gives things up before it sends them, so that what is lost on the way has no holder.
A connection is handed over in three steps: offered, received, released. The successor reads from it
after the third step only, and the predecessor may withdraw it until the second one.

Sockets and time limits are left to `hot_restart_transport`, the form of the messages to
`hot_restart_messages`, the state of a lease to the decisions.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Generic, NamedTuple, TypeVar

from petrellane.decisions.controller import AdmissionController
from petrellane.decisions.types import Customer
from petrellane.operation.hot_restart_messages import (
    PROTOCOL_VERSION,
    ConnectionOffer,
    ConnectionReceived,
    ConnectionReleased,
    ConnectionRetained,
    ConsensusState,
    JsonObject,
    LeaseBatch,
    LeaseRecord,
    LeasesComplete,
    Message,
    TransferRefusal,
    TransferRequest,
    decode_lease,
    encode_lease,
    in_flight_of,
)

LEASES_PER_MESSAGE = 100

PREDECESSOR_EXIT_LIMIT_S = 10.0
"""A predecessor is gone by then: it is asked to end within 6 s and killed 3.7 s later."""

CustomerLookup = Callable[[str, str, int, int], Customer | None]
"""The customer of a name, plan, first gateway and gateway count; None where there is no plan."""

ItemT = TypeVar("ItemT")


def validate_transfer_request(request: TransferRequest) -> TransferRefusal | None:
    """The refusal of a request of another version; None where the transfer may begin."""
    if request.version == PROTOCOL_VERSION:
        return None
    return TransferRefusal(PROTOCOL_VERSION)


def export_leases(
    controller: AdmissionController, now: float, consensus_state: JsonObject | None = None
) -> list[Message]:
    """Give up all leases of the predecessor.

    Args:
        controller: The predecessor's decisions, which hold the leases no more after this.
        now: Unix time.
        consensus_state: What the predecessor reports of settings that gateways agree on, where
            they do.

    Returns:
        The messages to send, in order; the last one is a `LeasesComplete`.
    """
    rows = [
        encode_lease(
            LeaseRecord(
                customer.name,
                customer.plan.name,
                customer.first_gateway,
                customer.gateway_count,
                _replace_infinities(lease.export_state(now)),
            )
        )
        for customer, lease in controller.lease_manager.leases.items()
    ]
    messages: list[Message] = []
    if consensus_state:
        messages.append(ConsensusState(consensus_state))
    messages.extend(
        LeaseBatch(rows[start : start + LEASES_PER_MESSAGE])
        for start in range(0, len(rows), LEASES_PER_MESSAGE)
    )
    messages.append(LeasesComplete(len(rows)))
    return messages


def _replace_infinities(state: JsonObject) -> JsonObject:
    """The same with 0 for infinity, which JSON lacks: credit of a plan without quota is unused."""
    return {
        name: 0.0 if isinstance(value, float) and not math.isfinite(value) else value
        for name, value in state.items()
    }


def import_leases(
    controller: AdmissionController,
    now: float,
    rows: Iterable[JsonObject],
    find_customer: CustomerLookup,
) -> int:
    """Take over the leases that a predecessor gave up.

    A malformed row, or one of an unknown plan, has no holder from then on.

    Returns:
        How many leases were taken over.
    """
    count = 0
    for row in rows:
        try:
            record = decode_lease(row)
            customer = find_customer(
                record.customer, record.plan, record.first_gateway, record.gateway_count
            )
            if customer:
                controller.lease_manager.lease_of(customer, now).import_state(record.state)
                count += 1
        except (KeyError, TypeError, ValueError):
            continue
    return count


def release_in_flight(
    controller: AdmissionController, now: float, customer: Customer, count: int
) -> int:
    """Some attempts of a customer that were in flight at the predecessor have ended.

    Returns:
        How many of them the customer's lease counted.
    """
    lease = controller.lease_manager.lease_of(customer, now)
    in_flight_before = lease.in_flight
    lease.in_flight = max(0, lease.in_flight - count)
    return int(in_flight_before - lease.in_flight)


def withhold_hard_limits(controller: AdmissionController, now: float) -> None:
    """A predecessor gave up nothing, and may still use its shares of hard limits.

    Ours stay empty until it is surely gone.
    """
    controller.lease_manager.started_at = now + PREDECESSOR_EXIT_LIMIT_S


def resume_hard_limit_refill(controller: AdmissionController, now: float) -> None:
    """The successor is gone, and what was given up with it: shares grow again, from nothing."""
    for lease in controller.lease_manager.leases.values():
        lease.hard_limit_filled_at = min(lease.hard_limit_filled_at, now)


class HandoffSender(Generic[ItemT]):
    """The predecessor's end: which connections are offered and not yet received.

    Lives as long as the link to one successor.

    Attributes:
        offered: What is offered, by the number of the offer.
    """

    def __init__(self) -> None:
        self.offered: dict[int, ItemT] = {}
        self._last_number = 0

    def offer(self, item: ItemT) -> int:
        """Offer an item; its number."""
        self._last_number += 1
        self.offered[self._last_number] = item
        return self._last_number

    def withdraw(self, number: int) -> bool:
        """Withdraw an offer; False where it was received before."""
        return self.offered.pop(number, None) is not None

    def on_received(
        self, number: int
    ) -> tuple[ItemT | None, ConnectionReleased | ConnectionRetained]:
        """The successor has an item.

        Returns:
            The item, which the predecessor has to let go of, or None where it was withdrawn; and
            the message that tells the successor which.
        """
        item = self.offered.pop(number, None)
        if item is None:
            return None, ConnectionRetained(number)
        return item, ConnectionReleased(number)


class ReceiverStep(NamedTuple, Generic[ItemT]):
    """What follows from a message: an answer, an item that is ours now, an item to drop."""

    reply: ConnectionReceived | None = None
    adopted: ItemT | None = None
    dropped: ItemT | None = None


class HandoffReceiver(Generic[ItemT]):
    """The successor's end: what it has received and does not own yet.

    Lives as long as the link to the predecessor.

    Attributes:
        lease_rows: Rows of leases that are received and not imported.
        in_flight: By customer, how many attempts the predecessor still has in flight.
    """

    def __init__(self) -> None:
        self.lease_rows: list[JsonObject] = []
        self.in_flight: Counter[str] = Counter()
        self._pending: dict[int, ItemT] = {}

    def on_message(self, message: Message | None, item: ItemT | None = None) -> ReceiverStep[ItemT]:
        """Handle a message of the predecessor.

        Args:
            message: None stands for a message that this version does not know.
            item: The connection that came with it, if any.
        """
        if isinstance(message, ConnectionOffer) and item is not None:
            self._pending[message.number] = item
            return ReceiverStep(reply=ConnectionReceived(message.number))
        if isinstance(message, LeaseBatch):
            self.lease_rows += message.rows
            self.in_flight.update(dict(in_flight_of(row) for row in message.rows))
        if isinstance(message, ConnectionReleased):
            return ReceiverStep(adopted=self._pending.pop(message.number, None), dropped=item)
        if isinstance(message, ConnectionRetained) and item is None:
            return ReceiverStep(dropped=self._pending.pop(message.number, None))
        return ReceiverStep(dropped=item)

    def on_request_ended(self, customer: str) -> bool:
        """A request of a customer has ended there; whether its lease came with it in flight."""
        self.in_flight[customer] -= 1
        return self.in_flight[customer] >= 0

    def on_sender_lost(self) -> list[ItemT]:
        """The predecessor is gone; the connections that it did not release are to be dropped."""
        pending = list(self._pending.values())
        self._pending = {}
        return pending
