"""The account of the memory that all parts of a gateway hold, against the limit of the process.

A limit on each connection does not limit the process. The account therefore adds up what all
connections, requests, responses and leases hold, in the process and in the kernel's socket queues.
Each kind has its share of the capacity, so that no kind can use up the memory of the others: input
(parts of commands), bodies (long commands), output (responses that clients have not received) and
clients (connections). The remainder is for requests in flight. When a share is used up, the gateway
refuses the oldest incomplete commands, pauses reading long bodies and long responses, or rejects
new RPCs. It never drops a response.

The shares count what is in use, and the kernel counts what is resident. The account is therefore
told the resident memory of the process as well. When that reaches `resident_limit`, for whatever
reason, each share shrinks to `SHORTAGE_LIMIT`, so that no more is read than is let go.

The rules perform no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from petrellane.decisions.shared_limits import (
    NO_PEERS,
    ObjectCost,
    OwnMemory,
    available_descriptors,
    object_capacity,
    resident_limit,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from petrellane.gateway.peer_monitor import Peers
    from petrellane.gateway.response_relay import ResponseRelay
    from petrellane.net.limits import Limits

KIBIBYTE = 1024

USABLE_SHARE = 0.75  # of the memory limit; the rest is for late counts and the kernel's queues
# The same, for clients and their short commands beyond those that have room at their highest cost.
USABLE_SHARE_FOR_CLIENTS = 0.85
CLIENT_SHARE = 0.3  # of the capacity, for client connections
INPUT_SHARE = 0.15  # of the capacity, for parts of commands
OUTPUT_SHARE = 0.35  # of the capacity, for responses on their way to clients
LEASE_SHARE = 0.1  # of the capacity, for leases
SHORTAGE_LIMIT = 256 * KIBIBYTE  # of each share, while resident memory is at its limit

CLIENT_COST = 12 * KIBIBYTE  # objects of one client connection, without its buffers
ENDPOINT_CONNECTION_COST = 12 * KIBIBYTE  # the same, of a connection to an endpoint
REQUEST_COST = 20 * KIBIBYTE  # objects of one request, and the kernel's queue of its response
LEASE_COST = 3 * KIBIBYTE  # one customer and its lease
RECEIVE_BUFFER_FACTOR = 4  # a kernel buffer holds at most this multiple of its nominal size
FREE_OUTPUT_DIVISOR = 8  # one long response may use 1/8 of the output share that is free
FREE_INPUT_DIVISOR = 4  # one connection may read ahead 1/4 of the input share that is free


class ResourceCounts(NamedTuple):
    """The numbers of objects whose memory the account estimates.

    Attributes:
        clients: The connected clients.
        endpoint_connections: The connections to endpoints, established or not.
        leases: The leases of customers.
        requests: The requests in flight.
    """

    clients: int
    endpoint_connections: int
    leases: int
    requests: int


class NoPeers:
    """Stands for the other processes of the gateway where there are none."""

    usage = NO_PEERS

    def refresh(self) -> None:
        """Do nothing."""


class MemoryShare:
    """The bytes that the holders of one kind hold, and the limit of their sum.

    Attributes:
        base_limit: The limit, in bytes, while memory is not short.
        holdings: The bytes of each holder, in the order in which they began to hold any, or were
            last moved to the end.
        used: The sum of all holdings, in bytes.
    """

    def __init__(self, limit: int, is_short: Callable[[], bool] = lambda: False) -> None:
        """Start without holders.

        Args:
            limit: The limit, in bytes.
            is_short: Returns whether the memory of the whole process is short.
        """
        self.base_limit = limit
        self._is_short = is_short
        self.holdings: dict[object, int] = {}
        self.used = 0

    @property
    def limit(self) -> int:
        """The limit of the sum, in bytes."""
        return min(self.base_limit, SHORTAGE_LIMIT) if self._is_short() else self.base_limit

    @property
    def is_full(self) -> bool:
        """Whether the holders together have reached the limit."""
        return self.used >= self.limit

    @property
    def free(self) -> int:
        """The bytes below the limit; 0 if it is reached."""
        return max(0, self.limit - self.used)

    def set(self, holder: object, size: int) -> None:
        """Set the bytes of a holder, which keeps its position; 0 removes it."""
        self.used += size - self.holdings.get(holder, 0)
        if size:
            self.holdings[holder] = size
        else:
            self.holdings.pop(holder, None)

    def move_to_end(self, holder: object) -> None:
        """Make a holder the last one in the order, because it has made progress."""
        if holder in self.holdings:
            self.holdings[holder] = self.holdings.pop(holder)

    def has_room(self, holder: object) -> bool:
        """Return whether a holder may grow.

        The first holder may always grow, so that at least one of them completes.
        """
        return not self.is_full or not self.holdings or self.is_first(holder)

    def is_first(self, holder: object) -> bool:
        """Return whether a holder is the first one."""
        return next(iter(self.holdings), None) is holder


class MemoryAccount:
    """What all parts of the process hold.

    `GatewayProcess` creates one account per process, which the client side and the endpoint side
    share.

    Attributes:
        limits: The limits of the process.
        peers: What the other processes of the gateway hold.
        capacity: The bytes that all parts may hold together.
        bodies: The bytes of long commands, from their first part until their replies.
        input: The bytes of other commands that are not complete, the least recent progress first.
        output: The bytes of responses that their clients have not received.
        held_responses: The number of responses that wait for room in `output`.
        relays: The relays of long responses that are in progress.
        requests: The bytes of other commands in flight that `REQUEST_COST` does not include.
        resident_limit: The bytes of resident memory at which memory is short.
    """

    def __init__(
        self,
        limits: Limits,
        counts: Callable[[], ResourceCounts],
        mapped_bytes: Callable[[], int],
        peers: Peers | None = None,
    ) -> None:
        """Start with the memory that a process needs by itself, as far as the limits tell it.

        Args:
            limits: The limits of the process.
            counts: Returns the current numbers of objects.
            mapped_bytes: Returns the bytes that all mapped buffers use now.
            peers: The other processes of the gateway; None if there never are any.
        """
        self.limits = limits
        self.peers = peers or NoPeers()
        self._counts = counts
        self._mapped_bytes = mapped_bytes
        self._unmapped = 0  # resident bytes that are not in mapped buffers, when last measured
        self._baseline = 0
        self._measured = ResourceCounts(0, 0, 0, 0)  # when resident memory was last measured
        self.resident_limit = 0
        self._limit_for_clients = 0  # resident bytes, see `USABLE_SHARE_FOR_CLIENTS`
        self.capacity = 0
        self.bodies = MemoryShare(limits.buffer_budget, self.is_short)
        self.input = MemoryShare(0, self.is_short)
        self.output = MemoryShare(0, self.is_short)
        self.held_responses = 0
        self.relays: set[ResponseRelay] = set()
        self.requests = MemoryShare(limits.memory, self.is_short)
        self.set_baseline(limits.process_memory)

    def set_baseline(self, resident: int) -> None:
        """Set the bytes that the process needs before it serves clients."""
        self._baseline = resident
        self._unmapped = resident - self._mapped_bytes()
        self._set_limits(resident)

    def set_resident(self, resident: int) -> None:
        """Set the resident memory of the process, in bytes, as the kernel counts it now.

        The limits of all shares follow, as they depend on what the other processes hold.
        """
        self._unmapped = resident - self._mapped_bytes()
        self._measured = self._counts()
        self._set_limits(resident)

    def _set_limits(self, resident: int) -> None:
        limit = self._share_of(USABLE_SHARE, resident)
        self._limit_for_clients = self._share_of(USABLE_SHARE_FOR_CLIENTS, resident)
        self.resident_limit = max(limit, self._baseline + self.limits.min_memory_capacity)
        self.capacity = self.resident_limit - self._baseline
        self.input.base_limit = int(self.capacity * INPUT_SHARE)
        self.output.base_limit = int(self.capacity * OUTPUT_SHARE)

    def _share_of(self, usable_share: float, resident: int) -> int:
        """Return the part of this process of a share of the memory limit, in bytes."""
        return resident_limit(
            int(self.limits.memory * usable_share),
            OwnMemory(resident, self._baseline),
            self.peers.usage,
            is_replaceable=self.limits.is_replaceable,
        )

    def resident(self) -> int:
        """Return the bytes that are resident: mapped buffers now, the rest when last measured."""
        return self._unmapped + self._mapped_bytes()

    def _free_resident(self) -> int:
        """Return the bytes that may become resident for what is not sure to have room at its cost.

        There are none without the room that a process keeps free for its successor, as nothing
        else would then be left for what the kernel holds.
        """
        if not self.limits.is_replaceable:
            return 0
        limit = self._limit_for_clients
        if self.peers.usage.processes > 1:  # all but the newest are about to end
            limit = max(limit, self._baseline + self.limits.min_memory_capacity)
        return max(0, limit - self.resident())

    def is_short(self) -> bool:
        """Return whether resident memory has reached its limit."""
        return self.resident() >= self.resident_limit

    def set_request(self, request: object, size: int) -> None:
        """Account for the command of a request in flight.

        Args:
            request: The request.
            size: The size of its command, in bytes.
        """
        if size > self.limits.max_frame_size:
            self.bodies.set(request, size)
        elif size > self.limits.uncounted_size:
            self.requests.set(request, size)

    def is_counting(self, connection: object) -> bool:
        """Return whether a connection holds a part of a command that is accounted for."""
        return connection in self.input.holdings or connection in self.bodies.holdings

    def forget_input(self, connection: object) -> None:
        """Remove the part of a command that a connection held."""
        self.input.set(connection, 0)
        self.bodies.set(connection, 0)

    def forget(self, holder: object) -> None:
        """Remove all that a connection or a request held."""
        for share in (self.bodies, self.input, self.output, self.requests):
            if holder in share.holdings:
                share.set(holder, 0)

    @property
    def descriptor_limit(self) -> int:
        """The maximum number of descriptors that this process may hold beside the others."""
        return available_descriptors(
            self.limits.sockets, self.peers.usage, is_replaceable=self.limits.is_replaceable
        )

    @property
    def client_capacity(self) -> int:
        """The maximum number of connected clients.

        Descriptors limit it. Memory does where it is measured to be short, not by what clients may
        cost at most: that limits what they may send. A number that has room at that cost may always
        connect.
        """
        descriptors = self.limits.client_capacity(self.descriptor_limit)
        cost = ObjectCost(
            CLIENT_COST + self.limits.uncounted_size,
            RECEIVE_BUFFER_FACTOR * self.limits.min_receive_buffer,
        )
        by_memory = object_capacity(self._free_resident(), self._measured.clients, cost)
        return min(descriptors, max(self.reserved_clients, by_memory))

    @property
    def reserved_clients(self) -> int:
        """The number of clients that have room whatever they hold."""
        return int(self.capacity * CLIENT_SHARE) // self._max_client_cost

    @property
    def _max_client_cost(self) -> int:
        return CLIENT_COST + self.limits.client_receive_buffer

    @property
    def lease_capacity(self) -> int:
        """The number of leases beyond which unused ones are dropped early."""
        return int(self.capacity * LEASE_SHARE) // LEASE_COST

    def used(self) -> int:
        """Return the bytes that all parts hold."""
        counts = self._counts()
        return (
            counts.clients * self._max_client_cost
            + counts.endpoint_connections * ENDPOINT_CONNECTION_COST
            + counts.leases * LEASE_COST
            + counts.requests * REQUEST_COST
            + self.bodies.used
            + self.input.used
            + self.output.used
            + self.requests.used
        )

    def may_admit(self, size: int) -> bool:
        """Return whether a request of this size, in bytes, may be admitted.

        Connections and responses alone never keep out all requests of an ordinary size, and none
        while resident memory has room, whatever everything may cost at most.
        """
        is_small = size <= self.limits.uncounted_size
        has_memory = is_small or not self.requests.holdings or not self.requests.is_full
        if has_memory and self.used() + REQUEST_COST + size <= self.capacity:
            return True
        if not is_small:
            return False
        requests = self._counts().requests
        if requests - self.held_responses < self.limits.min_requests:
            return True
        cost = ObjectCost(
            REQUEST_COST + self.limits.min_relay_window,
            self.limits.relay_unsent_in_kernel
            + RECEIVE_BUFFER_FACTOR * self.limits.endpoint_receive_buffer,
        )
        free = self._free_resident()
        return requests < object_capacity(free, self._measured.requests, cost)

    def read_ahead(self) -> int:
        """Return how many bytes of unhandled commands one connection may read."""
        share = self.input.free // FREE_INPUT_DIVISOR
        return max(self.limits.min_read_ahead, min(self.limits.max_read_ahead, share))

    def relay_window(self) -> int:
        """Return how many bytes of one long response the gateway may hold."""
        share = self.output.free // FREE_OUTPUT_DIVISOR
        return max(self.limits.min_relay_window, min(self.limits.relay_window, share))
