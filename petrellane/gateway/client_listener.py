"""The client side's listening socket: accepts connections, bounds their number, and ends them.

`ClientListener` knows every connected client and which of them gives way when descriptors are
short (`idle_eviction` has the order). What a client says on its connection is for
`client_connection`.
"""

from __future__ import annotations

import math
import select
import socket
from typing import TYPE_CHECKING, NamedTuple, Protocol

from petrellane.gateway.client_connection import ClientConnection
from petrellane.gateway.idle_eviction import ClientTables, eviction_candidates
from petrellane.net.stream import Stream, accept_waiting, open_listener

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from petrellane.gateway.client_request import ClientRequest
    from petrellane.gateway.response_relay import BufferBudget
    from petrellane.gateway.runtime import Address, Runtime
    from petrellane.operation.hot_restart_transport import HotRestartTransport
    from petrellane.operation.lifecycle import Lifecycle


class RequestHandler(Protocol):
    """What is called for the requests that clients send."""

    def on_request(self, request: ClientRequest) -> None:
        """Take a request in; raise InvalidFieldError where it makes no sense."""

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """End a request whose client has gone before its answer."""


class SendProgress(NamedTuple):
    """How many bytes a client has taken, and since when it has taken no more."""

    sent: int
    since: float


class ClientListener:
    """Accepts clients and keeps the table of their connections.

    Made by `GatewayProcess` at its start; ends with the last client after `end`. Owns the listening
    socket, unless it was inherited, and every `ClientConnection`. Its timers look for stalled
    clients, and for clients that may go while the gateway drains or ends.
    """

    def __init__(
        self,
        runtime: Runtime,
        lifecycle: Lifecycle,
        requests: RequestHandler,
        make_room: Callable[[int], bool],
        buffer_budget: BufferBudget,
    ) -> None:
        """Prepare to listen; `make_room` closes idle connections to endpoints.

        It is given a number of descriptors and returns whether so many more fit.
        """
        self.scheduler = runtime.scheduler
        self.limits = runtime.limits
        self.log = runtime.log
        self.lifecycle = lifecycle
        self.on_request = requests.on_request
        self.on_client_disconnected = requests.on_client_disconnected
        self.make_room = make_room
        self.buffer_budget = buffer_budget
        # In the order of their last commands; all tables of clients are ordered.
        self.clients: dict[ClientConnection, None] = {}
        self.silent: dict[ClientConnection, None] = {}
        self.single_command: dict[ClientConnection, None] = {}
        self.partial_commands: dict[ClientConnection, float] = {}
        self.slow_readers: dict[ClientConnection, SendProgress] = {}
        self.listener: socket.socket | None = None
        self.is_accepting = False
        self.is_only_bound = False
        self.last_shortage_log = 0.0
        self.last_rejection_log = 0.0
        self.rejected_connections = 0
        self.is_draining = False
        self.on_ended: Callable[[], object] | None = None
        self.end_deadline = 0.0
        self.successor: HotRestartTransport | None = None
        self.scheduler.call_later(self.limits.check_interval, self._close_stalled_clients)

    # Listening.

    def listen(self, address: Address, *, connectable: bool = True) -> None:
        """Listen at an address; clients are served from `start_accepting` on.

        Args:
            address: Where to listen.
            connectable: False binds the address alone: the kernel refuses whoever connects, as what
                is accepted must be answered.
        """
        self.listener = open_listener(address, self.limits.backlog if connectable else None)
        self.is_only_bound = not connectable

    def inherit(self, descriptor: int) -> None:
        """Listen on a socket that other processes hold as well, and that outlives this one."""
        self.listener = socket.socket(fileno=descriptor)
        self.listener.setblocking(False)

    def start_accepting(self) -> None:
        """Accept clients from now on, unless a successor does."""
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

        Where no client makes room they are closed at once, as descriptors for endpoints, the
        counter, discovery and management are never a client's. Where busy connections to endpoints
        take the room, clients wait in the backlog.
        """
        is_full = False
        if not self.listener:
            return
        if not self.make_room(1):
            self.free_descriptors("connections to hosts are all busy")
            return
        for sock in accept_waiting(
            self.listener, self.limits.accepts_per_turn, self.free_descriptors
        ):
            if is_full or not self._make_room_for_client():
                is_full = True  # for the rest of this turn
                self._reject(sock)
                continue
            client = ClientConnection(self, self._stream(sock))
            self.clients[client] = None
            self.silent[client] = None
            self.scheduler.spawn(client.run)
            if not self.make_room(1):
                return

    def adopt(self, sock: socket.socket, data: bytes, has_sent_rpc: bool) -> None:
        """Take a connection from the predecessor, with what it has read of the next command."""
        if not self._make_room_for_client():
            self._reject(sock)
            return
        client = ClientConnection(self, self._stream(sock))
        client.stream.buffer += data
        client.has_sent_rpc = has_sent_rpc
        self.clients[client] = None
        self.make_room(0)
        self.scheduler.spawn(client.run)

    def _stream(self, sock: socket.socket) -> Stream:
        return Stream(self.scheduler, self.limits, sock, break_on_half_close=True)

    def _reject(self, sock: socket.socket) -> None:
        """Close a new connection, with a line of the log a second at most."""
        sock.close()
        self.rejected_connections += 1
        now = self.scheduler.now()
        if now - self.last_rejection_log >= self.limits.check_interval:
            self.log.event(
                "no_room",
                clients=len(self.clients),
                halves=len(self.partial_commands),
                shut=self.rejected_connections,
            )
            self.last_rejection_log = now
            self.rejected_connections = 0

    # Room for clients.

    def _make_room_for_client(self) -> bool:
        """Evict an idle client where that is needed for one more; return whether there is room."""
        if len(self.clients) >= self.limits.client_capacity:
            return self._evict_idle_client()
        if len(self.single_command) > self.limits.single_command_capacity:
            self._evict_first(self.single_command)
        return True

    def free_descriptors(self, error: object) -> bool:
        """Close idle connections, as no descriptor is left, and accept again soon.

        Writes a line of the log a second at most.

        Args:
            error: What failed for want of a descriptor.

        Returns:
            Whether a client was evicted.
        """
        now = self.scheduler.now()
        if now - self.last_shortage_log >= self.limits.check_interval:
            self.last_shortage_log = now
            self.log.event("no_descriptor", clients=len(self.clients), error=str(error))
        is_evicted = self._evict_idle_client()
        self.make_room(self.limits.reserved_descriptors)
        if self.is_accepting:
            self._stop_accepting()
            self.scheduler.call_later(self.limits.accept_retry_delay, self.start_accepting)
        return is_evicted

    def _evict_idle_client(self) -> bool:
        """Close the connection that gives way first; return False where there is none."""
        now = self.scheduler.now()
        for client in self.clients:
            if client.stream.buffer and not client.handoff.is_offered:
                self.partial_commands.setdefault(client, now)
        tables = ClientTables(self.clients, self.silent, self.single_command, self.partial_commands)
        return self._evict_first(eviction_candidates(now, self.limits, tables))

    def _evict_first(self, candidates: Iterable[ClientConnection]) -> bool:
        for client in candidates:
            if client.is_idle() or self._is_stalled(client):
                client.stream.close()
                self.forget(client)
                return True
        return False

    def _is_stalled(self, client: ClientConnection) -> bool:
        """Return whether a client is in the middle of a command for too long, and owed nothing."""
        since = self.partial_commands.get(client, math.inf)
        return self.scheduler.now() - since >= self.limits.command_timeout_on_shortage and not (
            client.pending_replies or client.handoff.is_offered
        )

    def _close_stalled_clients(self) -> None:
        """Close clients that are owed nothing more and have not taken their answers for long."""
        self.scheduler.call_later(self.limits.check_interval, self._close_stalled_clients)
        now = self.scheduler.now()
        before = self.slow_readers
        self.slow_readers = {}
        clients = [
            client for client in self.clients if client.stream.unsent and not client.pending_replies
        ]
        for client in clients:
            progress = before.get(client)
            if progress is None or progress.sent != client.stream.bytes_sent:
                progress = SendProgress(client.stream.bytes_sent, now)
            self.slow_readers[client] = progress
            if now - progress.since >= self.limits.stall_timeout:
                client.stream.close()

    # The table of clients, as connections report to it.

    def on_command(self, client: ClientConnection) -> None:
        """Note that a client has sent a command, which makes it the last to give way."""
        if client in self.silent:
            self.single_command[client] = None
        else:
            self.single_command.pop(client, None)
        self.silent.pop(client, None)
        self.partial_commands.pop(client, None)
        self.clients.pop(client, None)
        self.clients[client] = None

    def forget(self, client: ClientConnection) -> None:
        """Remove a client whose connection is over."""
        self.clients.pop(client, None)
        self.silent.pop(client, None)
        self.single_command.pop(client, None)
        self.partial_commands.pop(client, None)

    # Hot restart, drain and end.

    def set_successor(self, successor: HotRestartTransport | None) -> None:
        """Stop accepting, and pass each connection on once nothing is owed on it.

        Args:
            successor: The transport that takes connections; None when the successor is gone, which
                makes this process accept again.
        """
        self.successor = successor
        if successor:
            self._stop_accepting()
        elif not self.on_ended:
            self.start_accepting()
        for client in self.clients:
            self.scheduler.call_soon(client.handoff.wake)

    def drain(self) -> None:
        """Close clients that may go, for as long as a drain lasts."""
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
        """Close each client as soon as it has all its answers, then call `on_ended`."""
        self.on_ended = on_ended
        self.end_deadline = self.scheduler.now() + self.limits.shutdown_timeout
        self._poll_end()

    def _poll_end(self) -> None:
        for client in list(self.clients):
            client.close_if_done()
        if not self.clients and not self.successor:
            self._accept()  # whoever came in the meantime is served
        if self.clients and self.scheduler.now() < self.end_deadline:
            self.scheduler.call_later(self.limits.client_poll_interval, self._poll_end)
            return
        self._stop_accepting()
        if self.listener:
            self.listener.close()
            self.listener = None
        if self.on_ended:
            self.on_ended()
