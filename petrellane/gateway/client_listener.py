"""The listening socket for clients: accepts connections, limits their number and closes them.

`ClientListener` holds the table of connected clients. It evicts one of them when descriptors run
short; `idle_eviction` defines the order. `client_connection` handles the commands on a connection.
"""

from __future__ import annotations

import select
import socket
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple, Protocol

from petrellane.gateway.client_connection import ClientConnection
from petrellane.gateway.client_input import ShedReason
from petrellane.gateway.idle_eviction import ClientTables, eviction_candidates, is_stalled
from petrellane.gateway.memory_account import KIBIBYTE, RECEIVE_BUFFER_FACTOR
from petrellane.gateway.memory_monitor import MemoryMonitor
from petrellane.net.stream import Stream, accept_waiting, open_listener

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from petrellane.gateway.client_request import ClientRequest
    from petrellane.gateway.memory_account import MemoryAccount
    from petrellane.gateway.runtime import Address, Runtime
    from petrellane.operation.hot_restart_transport import HotRestartTransport
    from petrellane.operation.lifecycle import Lifecycle


class RequestHandler(Protocol):
    """The receiver of the requests that clients send."""

    def on_request(self, request: ClientRequest) -> None:
        """Accept a request; raise InvalidFieldError if the settings do not allow it."""

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """Cancel a request whose client disconnected before the reply."""


class SendProgress(NamedTuple):
    """The progress of writing to a client.

    Attributes:
        delivered: The bytes that the client's kernel has received so far.
        since: The time since which that number has not changed, in Unix seconds.
    """

    delivered: int
    since: float


class ClientListener:
    """Accepts clients and holds the tables of their connections.

    Created by `GatewayProcess` at start-up. After `end` it stops once the last client has
    disconnected. Owns every `ClientConnection` and the listening socket; other processes share an
    inherited socket. Its timers close clients that have stalled, and clients without pending
    replies while the gateway drains or shuts down.
    """

    def __init__(
        self,
        runtime: Runtime,
        lifecycle: Lifecycle,
        requests: RequestHandler,
        make_room: Callable[[int], bool],
        memory: MemoryAccount,
    ) -> None:
        """Create the tables; `listen` or `inherit` provides the socket.

        Args:
            runtime: The scheduler, limits and log.
            lifecycle: The lifecycle of the process.
            requests: The receiver of the clients' requests.
            make_room: Closes idle connections to endpoints until the given number of descriptors
                is free; returns whether they are.
            memory: The account of the memory that clients hold.
        """
        self.scheduler = runtime.scheduler
        self.limits = runtime.limits
        self.log = runtime.log
        self.lifecycle = lifecycle
        self.on_request = requests.on_request
        self.on_client_disconnected = requests.on_client_disconnected
        self.make_room = make_room
        self.memory = memory
        self.backlogged: set[ClientConnection] = set()  # clients with commands for the next turn
        self.counts: Counter[str] = Counter()  # events since the last `figures` log line
        # In the order of the last commands; eviction relies on the order of all these tables.
        self.clients: dict[ClientConnection, None] = {}
        self.silent: dict[ClientConnection, None] = {}
        self.single_command: dict[ClientConnection, None] = {}
        self.partial_commands: dict[ClientConnection, float] = {}
        self.slow_readers: dict[ClientConnection, SendProgress] = {}
        self.listener: socket.socket | None = None
        self.is_accepting = False
        self.is_only_bound = False
        # The Unix time since which the accept queue may hold clients; None if it was found empty.
        self.accept_queue_since: float | None = None
        self.last_shortage_log = 0.0
        self.last_rejection_log = 0.0
        self.rejected_connections = 0
        self.is_draining = False
        self.on_ended: Callable[[], object] | None = None
        self.end_deadline = 0.0
        self.successor: HotRestartTransport | None = None
        self.scheduler.call_later(self.limits.check_interval, self._close_stalled_clients)
        self.memory_monitor = MemoryMonitor(runtime, memory, self.clients)

    # Listening.

    def listen(self, address: Address, *, connectable: bool = True) -> None:
        """Listen on an address; `start_accepting` begins to serve clients.

        Args:
            address: The address to listen on.
            connectable: If False, the gateway only binds the address, and the kernel refuses
                connections until `start_accepting`: it must not accept clients that may never be
                served.
        """
        self.listener = open_listener(
            address,
            self.limits.backlog if connectable else None,
            self.limits.client_receive_buffer,
        )
        self.is_only_bound = not connectable

    def inherit(self, descriptor: int) -> None:
        """Use a listening socket that other processes share and that outlives this process."""
        self.listener = socket.socket(fileno=descriptor)
        self.listener.setblocking(False)
        size = self.limits.client_receive_buffer
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def start_accepting(self) -> None:
        """Accept clients from now on, unless a successor accepts them."""
        if self.listener and not self.successor and not self.is_accepting:
            self.is_accepting = True
            if self.is_only_bound:
                self.listener.listen(self.limits.backlog)
                self.is_only_bound = False
            self.scheduler.register(self.listener.fileno(), select.POLLIN, self._accept)

    def _stop_accepting(self) -> None:
        if self.is_accepting and self.listener:
            self.is_accepting = False
            self.scheduler.unregister(self.listener.fileno())

    def _accept(self, _events: int = 0) -> None:
        """Accept new clients.

        If no client can be evicted for a new one, the listener closes the new connection
        immediately: clients never use the descriptors that are reserved for endpoints, the counter,
        discovery and management. If busy connections to endpoints or the other process of a hot
        restart hold what new clients need, these wait in the backlog.
        """
        is_full = False
        if not self.listener:
            return
        if not self.make_room(1):
            self.free_descriptors("connections to hosts are all busy")
            return
        if self._must_wait_for_peers():
            return
        if self.accept_queue_since is None:
            self.accept_queue_since = self.scheduler.earliest_arrival()
        accepted = 0
        for sock in accept_waiting(
            self.listener, self.limits.accepts_per_turn, self.free_descriptors
        ):
            accepted += 1
            if is_full or not self._make_room_for_client():
                is_full = True  # reject all other clients in this turn
                self._reject(sock)
                continue
            client = ClientConnection(self, self._open_stream(sock))
            client.connected_since = self.accept_queue_since
            self.clients[client] = None
            self.silent[client] = None
            self.scheduler.spawn(client.run)
            if not self.make_room(1) or (self._has_peers() and self._is_full()):
                return
        if accepted < self.limits.accepts_per_turn:
            self.accept_queue_since = None

    def adopt(self, sock: socket.socket, data: bytes, has_sent_rpc: bool) -> None:
        """Take over a connection from the predecessor.

        Args:
            sock: The socket of the connection.
            data: The bytes of the next command that the predecessor has read.
            has_sent_rpc: Whether the client has sent an RPC.
        """
        # The predecessor still counts the connection, so its descriptor is no additional one.
        capacity = self.limits.client_capacity(self.limits.sockets)
        if len(self.clients) >= capacity and not self._evict_idle_client():
            self._reject(sock)
            return
        client = ClientConnection(self, self._open_stream(sock))
        client.stream.buffer.append(data)
        client.has_sent_rpc = has_sent_rpc
        self.clients[client] = None
        self.make_room(0)
        self.scheduler.spawn(client.run)

    def _open_stream(self, sock: socket.socket) -> Stream:
        if len(self.clients) >= self.memory.reserved_clients:
            size = self.limits.min_receive_buffer
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        stream = Stream(self.scheduler, self.limits, sock, break_on_half_close=True)
        # Larger reads would be allocated and not filled, which fragments the heap.
        kernel_size = RECEIVE_BUFFER_FACTOR * self.limits.client_receive_buffer
        stream.receive_size = min(self.limits.receive_size, kernel_size)
        return stream

    def _reject(self, sock: socket.socket) -> None:
        """Close a new connection, and log at most one line per `check_interval`."""
        sock.close()
        self.counts["closed no room"] += 1
        self.rejected_connections += 1
        now = self.scheduler.now()
        if now - self.last_rejection_log >= self.limits.check_interval:
            self._log_no_room(shut=self.rejected_connections)
            self.last_rejection_log = now
            self.rejected_connections = 0

    def _log_no_room(self, shut: int) -> None:
        """Log why a new client finds no room, and what is held.

        Args:
            shut: The number of new clients that were closed for it since the last line; 0 if new
                clients wait until the other process gives something up.
        """
        memory = self.memory
        peers = memory.peers.usage
        self.log.event(
            "no_room",
            clients=len(self.clients),
            capacity=memory.client_capacity,
            halves=len(self.partial_commands),
            shut=shut,
            memory_short=memory.is_short(),
            resident_kb=memory.resident() // KIBIBYTE,
            limit_kb=memory.resident_limit // KIBIBYTE,
            held_kb=memory.used() // KIBIBYTE,
            descriptor_limit=memory.descriptor_limit,
            peers=peers.processes,
            peers_kb=peers.resident // KIBIBYTE,
            peers_descriptors=peers.descriptors,
        )

    def _is_full(self) -> bool:
        """Return whether no more clients may connect, by what is held just now."""
        if len(self.clients) < self.memory.client_capacity:
            return False
        self.memory_monitor.refresh()
        return len(self.clients) >= self.memory.client_capacity

    def _has_peers(self) -> bool:
        return self.memory.peers.usage.processes > 0

    def _must_wait_for_peers(self) -> bool:
        """Return whether new clients have to wait until other processes give something up.

        Accepting is paused for a moment then.
        """
        if not self._is_full() or not self._has_peers():
            return False
        # Those above the capacity came from the predecessor, and are no reason to evict others.
        if len(self.clients) == self.memory.client_capacity and self._evict_idle_client():
            return False
        self.counts["waited for peers"] += 1
        now = self.scheduler.now()
        if now - self.last_rejection_log >= self.limits.check_interval:
            self.last_rejection_log = now
            self._log_no_room(shut=0)
        self._pause_accepting()
        return True

    # Eviction.

    def _make_room_for_client(self) -> bool:
        """Return whether one more client may connect; evict an idle one if that is necessary."""
        if self._is_full():
            return self._evict_idle_client()
        if len(self.single_command) > self.limits.single_command_capacity:
            self._evict_first(self.single_command)
        return True

    def free_descriptors(self, error: object) -> bool:
        """Close idle connections because no descriptor is free, and pause accepting for a moment.

        Logs at most one line per `check_interval`.

        Args:
            error: The failure that the shortage caused.

        Returns:
            Whether a client was evicted.
        """
        now = self.scheduler.now()
        if now - self.last_shortage_log >= self.limits.check_interval:
            self.last_shortage_log = now
            self.log.event("no_descriptor", clients=len(self.clients), error=str(error))
        is_evicted = self._evict_idle_client()
        self.make_room(self.limits.reserved_descriptors)
        self._pause_accepting()
        return is_evicted

    def _pause_accepting(self) -> None:
        if self.is_accepting:
            self._stop_accepting()
            self.scheduler.call_later(self.limits.accept_retry_delay, self.start_accepting)

    def _evict_idle_client(self) -> bool:
        """Evict the first candidate; return False if no client can be evicted."""
        now = self.scheduler.now()
        for client in self.clients:
            if client.stream.buffer and not client.handoff.is_offered:
                self.partial_commands.setdefault(client, now)
        tables = ClientTables(self.clients, self.silent, self.single_command, self.partial_commands)
        return self._evict_first(eviction_candidates(now, self.limits, tables))

    def _evict_first(self, candidates: Iterable[ClientConnection]) -> bool:
        for client in candidates:
            if not client.has_delivered_replies():
                continue
            if self._is_stalled(client):
                is_input_left = client.stream.is_reading_paused
                client.shed(ShedReason.EVICTED)
                if is_input_left:
                    # A close resets the connection, and the client may not have its reply yet.
                    return False
            elif not client.is_idle() and not client.has_lingered():
                continue
            self.counts["closed evicted"] += 1
            client.stream.close()
            self.remove(client)
            return True
        return False

    def _is_stalled(self, client: ClientConnection) -> bool:
        """Return whether a client has stopped within a command and may be evicted."""
        noticed_at = self.partial_commands.get(client)
        if noticed_at is None or client.handoff.is_offered:
            return False
        if not client.input.is_partial_command():
            return False
        now = self.scheduler.now()
        last_input_at = now if client.has_unread_input() else client.last_input_at
        return is_stalled(now, self.limits, noticed_at, last_input_at)

    def _close_stalled_clients(self) -> None:
        """Close clients that have not read their last replies for `stall_timeout`.

        The idle time of the other slow readers begins when they have received all replies.
        """
        self.scheduler.call_later(self.limits.check_interval, self._close_stalled_clients)
        now = self.scheduler.now()
        before = self.slow_readers
        self.slow_readers = {}
        clients = [
            client
            for client in self.clients
            if not client.pending_replies and not client.stream.has_delivered_all()
        ]
        for client in clients:
            progress = before.get(client)
            delivered = client.stream.bytes_sent - client.stream.unacknowledged_bytes()
            if progress is None or progress.delivered != delivered:
                progress = SendProgress(delivered, now)
            self.slow_readers[client] = progress
            # The client may receive its last reply at any time before the next check.
            client.idle_since = now + self.limits.check_interval
            if now - progress.since >= self.limits.stall_timeout:
                self.counts["closed unread"] += 1
                client.stream.close()

    def commands_per_turn(self) -> int:
        """Return how many commands of one client may be handled before its greenlet yields.

        The turn is shared, so that many clients that flood do not delay the others.
        """
        share = self.limits.waiting_commands_per_turn // max(1, len(self.backlogged))
        return max(1, min(self.limits.commands_per_turn, share))

    # The tables of clients, which the connections update.

    def on_command(self, client: ClientConnection) -> None:
        """Record that a client has sent a command, which makes it the last one to be evicted."""
        if client in self.silent:
            self.single_command[client] = None
        else:
            self.single_command.pop(client, None)
        self.silent.pop(client, None)
        self.partial_commands.pop(client, None)
        self.clients.pop(client, None)
        self.clients[client] = None

    def remove(self, client: ClientConnection) -> None:
        """Remove a client whose connection is closed."""
        self.clients.pop(client, None)
        self.silent.pop(client, None)
        self.single_command.pop(client, None)
        self.partial_commands.pop(client, None)
        self.backlogged.discard(client)

    # Hot restart, draining and shutdown.

    def set_successor(self, successor: HotRestartTransport | None) -> None:
        """Stop accepting clients, and hand each connection off once its replies are sent.

        Args:
            successor: The transport that takes the connections; None when the successor has ended,
                in which case this process accepts clients again unless it is shutting down.
        """
        self.successor = successor
        if successor:
            self._stop_accepting()
        elif not self.on_ended:
            self.start_accepting()
        for client in self.clients:
            self.scheduler.call_soon(client.handoff.wake)

    def drain(self) -> None:
        """Close clients that have no reply pending, for as long as the gateway drains."""
        if not self.is_draining:
            self.is_draining = True
            self._poll_drain()

    def _poll_drain(self) -> None:
        self.is_draining = not self.lifecycle.passes_health_check
        if self.is_draining:
            for client in list(self.clients):
                client.close_if_done()
            if self.lifecycle.complete_drain(len(self.clients)):
                self.log.event(self.lifecycle.state)
            self.scheduler.call_later(self.limits.client_poll_interval, self._poll_drain)

    def end(self, on_ended: Callable[[], object]) -> None:
        """Close each client after its last reply, then call `on_ended`.

        The listener calls `on_ended` after `shutdown_timeout` even if clients are left.
        """
        self.on_ended = on_ended
        self.end_deadline = self.scheduler.now() + self.limits.shutdown_timeout
        self._poll_end()

    def _poll_end(self) -> None:
        for client in list(self.clients):
            client.close_if_done()
        if not self.clients and not self.successor:
            self._accept()  # serve clients that have connected in the meantime
        if self.clients and self.scheduler.now() < self.end_deadline:
            self.scheduler.call_later(self.limits.client_poll_interval, self._poll_end)
            return
        self._stop_accepting()
        if self.listener:
            self.listener.close()
            self.listener = None
        if self.on_ended:
            self.on_ended()
