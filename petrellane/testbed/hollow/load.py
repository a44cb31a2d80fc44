"""The open-loop load generator of one process of hollow gateways."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from petrellane.gateway.client_request import ClientRequest, Command, RequestOwner
from petrellane.net import resp
from petrellane.net.buffers import ReceiveBuffer
from petrellane.net.scheduler import Scheduler
from petrellane.testbed.hollow.gateway import HollowGateway
from petrellane.testbed.hollow.parameters import LoadMethod, LoadParameters

WIDE_CUSTOMER_INTERVAL = 10  # every tenth customer sends requests to all gateways
GATEWAYS_PER_CUSTOMER = 3  # for customers that do not use all gateways
FIRST_GATEWAY_STEP = 7919  # a prime, so that consecutive customers use different gateways
MAX_REQUESTS_PER_TURN = 64
QUERY_COMMAND = b"SVC.QUERY"
SUBMIT_COMMAND = b"SVC.SUBMIT"


class LoadTarget(RequestOwner, Protocol):
    """The interface of the group whose gateways get the load."""

    scheduler: Scheduler
    gateways: list[HollowGateway]


class HollowLoad:
    """The load of one process, owned by its group.

    Attributes:
        sent: The number of requests sent so far.
        wide_customers: The customers that send requests to all gateways.
        customers_by_gateway: The customers that use only a few gateways, by gateway number.
    """

    def __init__(
        self, target: LoadTarget, parameters: LoadParameters, numbers: Sequence[int]
    ) -> None:
        """Assign customers to gateways; no request is sent before `begin`.

        Args:
            target: The group whose gateways get the requests.
            parameters: The rate, the seed, the customers and the methods.
            numbers: The numbers of the gateways in this process.
        """
        self.target = target
        self.rate = parameters.rate
        self.gateway_count = parameters.gateway_count
        self.methods = parameters.methods
        self.random = random.Random(f"load {parameters.seed} {numbers[0]}")
        self.is_active = False
        self.sent = 0
        self.next_at = 0.0
        customers = range(parameters.customer_count)
        self.wide_customers = [
            customer for customer in customers if customer % WIDE_CUSTOMER_INTERVAL == 0
        ]
        self.customers_by_gateway: dict[int, list[int]] = {number: [] for number in numbers}
        for customer in customers:
            if customer % WIDE_CUSTOMER_INTERVAL:
                self._assign(customer)

    def _assign(self, customer: int) -> None:
        """Assign a customer to those of its gateways that are in this process."""
        for step in range(min(GATEWAYS_PER_CUSTOMER, self.gateway_count)):
            number = (self.first_gateway(customer) + step) % self.gateway_count
            if number in self.customers_by_gateway:
                self.customers_by_gateway[number].append(customer)

    def first_gateway(self, customer: int) -> int:
        """Return the number of the first gateway of a customer."""
        return customer * FIRST_GATEWAY_STEP % self.gateway_count

    def begin(self) -> None:
        """Start sending requests, if the rate is positive."""
        self.is_active = self.rate > 0
        if self.is_active:
            self.next_at = self.target.scheduler.now()
            self._send_due()

    def end(self) -> None:
        """Stop sending requests."""
        self.is_active = False

    def _send_due(self) -> None:
        """Send the requests that are due, and schedule the next call.

        A call sends a bounded number of requests; overdue ones follow in the next turn.
        """
        now = self.target.scheduler.now()
        sent = 0
        while self.is_active and self.next_at <= now and sent < MAX_REQUESTS_PER_TURN:
            self.next_at += self.random.expovariate(self.rate)
            self._send()
            sent += 1
        if self.is_active:
            delay = max(0.0, self.next_at - self.target.scheduler.now())
            self.target.scheduler.call_later(delay, self._send_due)

    def _send(self) -> None:
        """Send a request of a random customer to a random gateway."""
        gateway = self.random.choice(self.target.gateways)
        narrow = self.customers_by_gateway[gateway.number]
        is_wide = not narrow or self.random.random() < 1 / WIDE_CUSTOMER_INTERVAL
        customer = self.random.choice(self.wide_customers if is_wide else narrow)
        method = self.random.choice(self.methods)
        self.sent += 1
        buffer = self._command(customer, method, is_wide=is_wide)
        parsed = resp.parse_command(buffer, 0, gateway.limits)
        if parsed is None:
            raise ValueError("generated request: expected a complete command, found a partial one")
        spans, end = parsed
        command = Command(0, spans, end)
        request = ClientRequest(buffer, command, self.target, is_query=method.is_query)
        gateway.executor.on_request(request)

    def _command(self, customer: int, method: LoadMethod, *, is_wide: bool) -> ReceiveBuffer:
        """Return the request as the bytes that a client sends."""
        first_gateway = 0
        gateway_count = self.gateway_count
        if not is_wide:
            first_gateway = self.first_gateway(customer)
            gateway_count = min(GATEWAYS_PER_CUSTOMER, self.gateway_count)
        fields = (
            f"c={method.name},t=sold,d={method.deadline_ms},"
            f"first={first_gateway},spread={gateway_count}"
        )
        if not method.is_query:
            fields += f",k=k{self.sent}"
        encoded = resp.encode_command(
            QUERY_COMMAND if method.is_query else SUBMIT_COMMAND,
            b"%016X" % (customer + 1),
            b"r%d" % self.sent,
            fields.encode(),
        )
        return ReceiveBuffer(encoded)
