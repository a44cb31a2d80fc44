"""The protocol of a hot restart, in which one gateway process takes over from another.

The module contains no I/O. Peers see the two processes, predecessor and successor, as one gateway:
at most one of them holds each lease, each share of a hard limit and each client connection. The
predecessor gives up leases and shares before it sends them, so neither process holds leases and
shares that are lost in transit. The handoff of a connection has three steps: offered, received,
released. The successor reads from the connection only after the third step, and the predecessor
may withdraw the offer until it learns of the second step.

`hot_restart_transport` owns the sockets and timeouts, `hot_restart_messages` the encoding of the
messages, and the package `decisions` the state of a lease.
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
"""The time by which a predecessor has exited: it gets SIGTERM within 6 s, SIGKILL 3.7 s later."""

CustomerLookup = Callable[[str, str, int, int], Customer | None]
"""Finds a customer by name, plan, first gateway and gateway count; None for an unknown plan."""

ItemT = TypeVar("ItemT")


def validate_transfer_request(request: TransferRequest) -> TransferRefusal | None:
    """Return the refusal of a request of another protocol version; None if the version matches."""
    if request.version == PROTOCOL_VERSION:
        return None
    return TransferRefusal(PROTOCOL_VERSION)


def export_leases(
    controller: AdmissionController, now: float, consensus_state: JsonObject | None = None
) -> list[Message]:
    """Give up all leases of the predecessor and encode them for the successor.

    Args:
        controller: The predecessor's admission controller; afterwards its leases contain only the
            hard-limit units of waiting RPCs.
        now: The current Unix time.
        consensus_state: The predecessor's state in the consensus on settings, if the gateways
            use consensus.

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
    """Return the state with 0 in place of each number that JSON cannot encode.

    The credit of a plan without quota is infinite, and the gateway does not use it.
    """
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

    The lease of a malformed row, or of a row with an unknown plan, is lost.

    Args:
        controller: The successor's admission controller.
        now: The current Unix time.
        rows: The encoded leases.
        find_customer: The function that finds the customer of a row.

    Returns:
        The number of imported leases.
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
    """Release attempts of a customer that were in flight at the predecessor and have ended.

    Args:
        controller: The successor's admission controller.
        now: The current Unix time.
        customer: The customer of the attempts.
        count: The number of attempts that have ended.

    Returns:
        The number by which the in-flight count of the customer's lease decreased.
    """
    lease = controller.lease_manager.lease_of(customer, now)
    in_flight_before = lease.in_flight
    lease.in_flight = max(0, lease.in_flight - count)
    return int(in_flight_before - lease.in_flight)


def withhold_hard_limits(controller: AdmissionController, now: float) -> None:
    """Keep the successor's hard limits empty until the predecessor must have exited.

    A predecessor that did not answer may still use its shares of the hard limits.
    """
    controller.lease_manager.started_at = now + PREDECESSOR_EXIT_LIMIT_S


def resume_hard_limit_refill(controller: AdmissionController, now: float) -> None:
    """Restart the refill of the predecessor's hard limits after the successor has exited.

    The units that the predecessor handed over are lost with the successor.
    """
    for lease in controller.lease_manager.leases.values():
        lease.hard_limit_filled_at = min(lease.hard_limit_filled_at, now)


class HandoffSender(Generic[ItemT]):
    """The predecessor's side of the handoff: the offers that the successor has not received.

    The transport owns one instance for each successor, while that successor is connected.

    Attributes:
        offered: The offered items, by offer number.
    """

    def __init__(self) -> None:
        self.offered: dict[int, ItemT] = {}
        self._last_number = 0

    def offer(self, item: ItemT) -> int:
        """Offer an item and return the number of the offer."""
        self._last_number += 1
        self.offered[self._last_number] = item
        return self._last_number

    def withdraw(self, number: int) -> bool:
        """Withdraw an offer and return whether it was still pending."""
        return self.offered.pop(number, None) is not None

    def on_received(
        self, number: int
    ) -> tuple[ItemT | None, ConnectionReleased | ConnectionRetained]:
        """Handle the successor's confirmation that it has received an item.

        Returns:
            A pair of the item, which the predecessor must release (None if the offer was
            withdrawn), and the message that tells the successor the result.
        """
        item = self.offered.pop(number, None)
        if item is None:
            return None, ConnectionRetained(number)
        return item, ConnectionReleased(number)


class ReceiverStep(NamedTuple, Generic[ItemT]):
    """The result of a message at the successor.

    Attributes:
        reply: The message to send to the predecessor, if any.
        adopted: The item that now belongs to the successor, if any.
        dropped: The item that the successor must close, if any.
    """

    reply: ConnectionReceived | None = None
    adopted: ItemT | None = None
    dropped: ItemT | None = None


class HandoffReceiver(Generic[ItemT]):
    """The successor's side of the handoff: the received items that it does not own yet.

    The successor creates one instance for its transfer from the predecessor.

    Attributes:
        lease_rows: The received leases that are not imported yet.
        in_flight: The attempts in flight at the predecessor by customer name, less the requests
            that the predecessor has reported as ended.
    """

    def __init__(self) -> None:
        self.lease_rows: list[JsonObject] = []
        self.in_flight: Counter[str] = Counter()
        self._pending: dict[int, ItemT] = {}

    def on_message(self, message: Message | None, item: ItemT | None = None) -> ReceiverStep[ItemT]:
        """Handle a message of the predecessor.

        Args:
            message: The message; None for a message that this version does not know.
            item: The connection that the message carries, if any.

        Returns:
            The reply to send and the items to adopt or to close.
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
        """Handle the end of a customer's request at the predecessor.

        Returns:
            Whether the in-flight count that arrived with the customer's lease was still positive.
        """
        self.in_flight[customer] -= 1
        return self.in_flight[customer] >= 0

    def on_sender_lost(self) -> list[ItemT]:
        """Handle the end of the link; return the unreleased items, which the caller must close."""
        pending = list(self._pending.values())
        self._pending = {}
        return pending
