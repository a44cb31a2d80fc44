"""The transport of a hot restart: a Unix socket in a folder that both processes can access.

The transport owns the listener and the timeouts. `hot_restart_link` sends and receives the packets,
`hot_restart_messages` encodes the messages, and `hot_restart` defines their semantics and which
process owns a connection at each step.
"""

import hashlib
import os
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import accept_waiting
from petrellane.operation import hot_restart
from petrellane.operation.hot_restart_link import MessageLink, Packet
from petrellane.operation.hot_restart_messages import (
    PROTOCOL_VERSION,
    AttemptedIds,
    ConnectionOffer,
    ConnectionReceived,
    ConsensusState,
    JsonObject,
    LeasesComplete,
    Message,
    RequestEnded,
    TransferRefusal,
    TransferRequest,
)

_BACKLOG = 4
"""The listener's backlog: one successor and a few that were killed while they connected."""


def socket_name(gateway: str) -> str:
    """Return the file name of a gateway's socket; gateways may share the folder."""
    return _file_name(gateway, "sock")


def shared_file_path(gateway: str, suffix: str) -> str:
    """Return the path of a file that the processes of one gateway share."""
    return os.path.join(_socket_folder(), _file_name(gateway, suffix))


def _file_name(gateway: str, suffix: str) -> str:
    return f"petrellane-{hashlib.blake2b(gateway.encode(), digest_size=8).hexdigest()}.{suffix}"


def _socket_folder() -> str:
    return os.environ.get("TMPDIR") or "/tmp"


class ClientHandoff(NamedTuple):
    """A client connection during its handoff.

    Attributes:
        sock: The client's socket.
        data: The bytes that the predecessor has read but not processed.
        has_sent_rpc: Whether the client has sent an RPC before.
    """

    sock: socket.socket
    data: bytes
    has_sent_rpc: bool


def _ignore(_digests: list[int]) -> None:
    """Ignore ids; a process that admits no RPCs needs none."""


@dataclass(frozen=True)
class HotRestartHandlers:
    """The gateway's callbacks for the steps of a hot restart.

    Attributes:
        export_state: The function that gives up the state for the successor and returns the
            messages that contain it.
        on_successor: The callback for a change of the successor. The transport calls it with
            itself when it can offer connections to a successor, and with None when that successor
            disconnects.
        import_leases: The function that imports rows of leases and returns their number.
        adopt_connection: The function that takes over a client connection, given its socket, the
            bytes that the predecessor has read but not processed, and whether the client has sent
            an RPC before.
        release_in_flight: The callback for ended requests of the predecessor, with the customer
            name and their number.
        on_predecessor_still_running: The callback for a predecessor that hands over no state and
            may continue to use it.
        import_attempted_ids: The callback for hashes of the ids of RPCs that must not run again.
    """

    export_state: Callable[[], list[Message]]
    on_successor: Callable[["HotRestartTransport | None"], None]
    import_leases: Callable[[list[JsonObject]], int]
    adopt_connection: Callable[[socket.socket, bytes, bool], None]
    release_in_flight: Callable[[str, int], None]
    on_predecessor_still_running: Callable[[], None]
    import_attempted_ids: Callable[[list[int]], None] = _ignore


class HotRestartTransport:
    """Both sides of a hot restart: first the successor's, then the predecessor's.

    The gateway process owns one instance for its whole lifetime.

    Attributes:
        consensus_state: The predecessor's state in the consensus on settings; None before it
            arrives and if the gateways do not use consensus.
        links: The connections from processes that may become the successor, oldest first.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        log: Logger,
        gateway_name: str,
        handlers: HotRestartHandlers,
    ) -> None:
        self.consensus_state: JsonObject | None = None
        self.links: dict[MessageLink, None] = {}
        self._scheduler = scheduler
        self._limits = limits
        self._log = log
        self._handlers = handlers
        self._socket_name = socket_name(gateway_name)
        self._folder: int | None = None
        self._listener: socket.socket | None = None
        self._successor: MessageLink | None = None
        self._sender: hot_restart.HandoffSender[Callable[[bool], None]] | None = None
        self._predecessor: MessageLink | None = None
        self._receiver: hot_restart.HandoffReceiver[ClientHandoff] = hot_restart.HandoffReceiver()
        self._on_ready: Callable[[], None] | None = None

    def socket_path(self) -> str:
        """Return the path of the socket.

        The maximum length of a socket path is shorter than the path of a folder may be, so the
        path refers to the folder by its descriptor.

        Raises:
            OSError: The folder cannot be opened.
        """
        if self._folder is None:
            self._folder = os.open(_socket_folder(), os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._folder}/{self._socket_name}"

    # The successor's side.

    def request_transfer(self, on_ready: Callable[[], None]) -> None:
        """Request the predecessor's leases and connections.

        Args:
            on_ready: The callback that the transport calls once, when the transfer of the leases
                is complete or has failed.
        """
        self._on_ready = on_ready
        self._receiver = hot_restart.HandoffReceiver()
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.connect(self.socket_path())
        except OSError:  # no predecessor, a stale socket file, or no free descriptor
            if sock:
                sock.close()
            self._scheduler.call_soon(self._finish_transfer, "none before")
            return
        self._predecessor = MessageLink(
            self._scheduler,
            self._limits,
            sock,
            self._on_predecessor_packet,
            self._on_predecessor_lost,
        )
        self._predecessor.send(TransferRequest(PROTOCOL_VERSION))
        self._scheduler.call_later(self._limits.transfer_timeout, self._on_transfer_timeout)

    def _on_predecessor_packet(self, link: MessageLink, packet: Packet) -> None:
        message = packet.message
        handoff = None
        if packet.sock:
            has_sent_rpc = isinstance(message, ConnectionOffer) and message.has_sent_rpc
            handoff = ClientHandoff(packet.sock, packet.data, has_sent_rpc)
        step = self._receiver.on_message(message, handoff)
        if step.reply:
            link.send(step.reply)
        if step.adopted:
            self._handlers.adopt_connection(*step.adopted)
        if step.dropped:
            step.dropped.sock.close()
        self._on_predecessor_message(link, message)

    def _on_predecessor_message(self, link: MessageLink, message: Message | None) -> None:
        """Handle a message that carries no connection."""
        if isinstance(message, ConsensusState):
            self.consensus_state = message.state or self.consensus_state
        elif isinstance(message, AttemptedIds):
            self._handlers.import_attempted_ids(message.digests)
        elif isinstance(message, RequestEnded):
            if self._receiver.on_request_ended(message.customer):
                self._handlers.release_in_flight(message.customer, 1)
        elif isinstance(message, LeasesComplete):
            rows = self._receiver.lease_rows
            self._receiver.lease_rows = []
            self._finish_transfer("given", leases=self._handlers.import_leases(rows))
        elif isinstance(message, TransferRefusal):
            link.close()

    def _on_transfer_timeout(self) -> None:
        """Close the link to a predecessor that does not respond.

        The predecessor keeps its connections; leases that it gives up later are lost.
        """
        if self._on_ready and self._predecessor:
            self._predecessor.close()

    def _on_predecessor_lost(self, _link: MessageLink) -> None:
        for handoff in self._receiver.on_sender_lost():
            handoff.sock.close()
        for customer, count in self._receiver.in_flight.items():
            if count > 0:
                self._handlers.release_in_flight(customer, count)
        self._predecessor = None
        self._finish_transfer("not answered")

    def _finish_transfer(self, outcome: str, **log_fields: int) -> None:
        """Log the outcome of the transfer, start to serve and listen for a successor.

        Only the first call for a transfer has an effect.
        """
        on_ready = self._on_ready
        self._on_ready = None
        if not on_ready:
            return
        self._log.event("succeeds", how=outcome, **log_fields)
        if outcome == "not answered":
            self._handlers.on_predecessor_still_running()
        on_ready()
        self.listen()

    # The predecessor's side.

    def listen(self) -> None:
        """Listen for a successor and replace the socket file of an earlier process.

        If the process cannot listen, it still serves clients, but a successor cannot take over its
        leases and connections.
        """
        self.close()
        try:
            self._listener = self._bind()
        except OSError as error:
            self._log.event("no_hand_over", folder=_socket_folder(), error=str(error))
            return
        self._resume_accepting()

    def _bind(self) -> socket.socket:
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            listener.setblocking(False)
            path = f"{self.socket_path()}.{os.getpid()}"
            if os.path.lexists(path):
                os.unlink(path)
            listener.bind(path)
            os.chmod(path, 0o600)
            listener.listen(_BACKLOG)
            os.rename(path, self.socket_path())
        except OSError:
            listener.close()
            raise
        return listener

    def _resume_accepting(self) -> None:
        if self._listener and self._listener.fileno() not in self._scheduler.event_handlers:
            self._scheduler.register(
                self._listener.fileno(), select.POLLIN, self._accept, urgent=True
            )

    def _accept(self, _events: int) -> None:
        if not self._listener:
            return
        for sock in accept_waiting(self._listener, 1, self._on_descriptor_shortage):
            if len(self.links) >= self._limits.max_requests:
                # Closes the oldest link that does not belong to the successor.
                next(link for link in self.links if link is not self._successor).close()
            link = MessageLink(
                self._scheduler,
                self._limits,
                sock,
                self._on_successor_packet,
                self._on_successor_lost,
            )
            self.links[link] = None

    def _on_descriptor_shortage(self, _error: OSError) -> None:
        """Pause accepting for `accept_retry_delay`.

        Otherwise every poll would report the listener as ready.
        """
        if self._listener:
            self._scheduler.unregister(self._listener.fileno())
            self._scheduler.call_later(self._limits.accept_retry_delay, self._resume_accepting)

    def _on_successor_packet(self, link: MessageLink, packet: Packet) -> None:
        if packet.sock:
            packet.sock.close()
        message = packet.message
        if isinstance(message, TransferRequest):
            self._on_transfer_request(link, message)
        elif isinstance(message, ConnectionReceived) and link is self._successor and self._sender:
            on_settled, reply = self._sender.on_received(message.number)
            if on_settled:
                on_settled(True)
            link.send(reply)

    def _on_transfer_request(self, link: MessageLink, request: TransferRequest) -> None:
        refusal = hot_restart.validate_transfer_request(request)
        if refusal or self._successor:
            link.send(refusal or TransferRefusal(PROTOCOL_VERSION))
            return
        self._successor = link
        self._sender = hot_restart.HandoffSender()
        messages = self._handlers.export_state()
        self._log.event("succeeded", leases=_exported_lease_count(messages))
        for message in messages:
            link.send(message)
        self._handlers.on_successor(self)

    def _on_successor_lost(self, link: MessageLink) -> None:
        """Keep the connections that the successor does not own and listen for another successor.

        The leases that the predecessor gave up are lost with the successor.
        """
        self.links.pop(link, None)
        sender = self._sender
        if link is not self._successor or sender is None:
            return
        self._successor = None
        self._sender = None
        self._handlers.on_successor(None)
        for on_settled in list(sender.offered.values()):
            on_settled(False)
        self.listen()

    def offer_connection(
        self,
        sock: socket.socket,
        data: bytes,
        has_sent_rpc: bool,
        on_settled: Callable[[bool], None],
    ) -> None:
        """Offer a client connection to the successor.

        Args:
            sock: The client's socket; the caller must not read from it while the offer is pending.
            data: The bytes that the caller has read from the socket but not processed.
            has_sent_rpc: Whether the client has sent an RPC before.
            on_settled: The callback for the result of the offer; the transport calls it once, with
                whether the connection now belongs to the successor.

        Raises:
            RuntimeError: There is no successor.
        """
        sender = self._sender
        if self._successor is None or sender is None:
            raise RuntimeError("expected a connected successor for the offer, found none")
        number = sender.offer(on_settled)
        self._successor.send(ConnectionOffer(number, has_sent_rpc), data, sock.fileno())
        self._scheduler.call_later(
            self._limits.handoff_timeout, partial(self._withdraw_offer, sender, number, on_settled)
        )

    @staticmethod
    def _withdraw_offer(
        sender: hot_restart.HandoffSender[Callable[[bool], None]],
        number: int,
        on_settled: Callable[[bool], None],
    ) -> None:
        if sender.withdraw(number):
            on_settled(False)

    def report_attempted_ids(self, digests: list[int]) -> None:
        """Tell the successor, if any, the ids of RPCs that must not run again."""
        if self._successor:
            self._successor.send(AttemptedIds(digests))

    def report_request_ended(self, customer: str) -> None:
        """Tell the successor, if any, that a request of this customer has ended."""
        if self._successor:
            self._successor.send(RequestEnded(customer))

    @property
    def has_unsent(self) -> bool:
        """Whether messages to the successor are still waiting for the socket."""
        return self._successor is not None and self._successor.has_unsent

    def close(self) -> None:
        """Stop listening for a successor."""
        if self._folder is not None:
            os.close(self._folder)
            self._folder = None
        if self._listener:
            if self._listener.fileno() in self._scheduler.event_handlers:
                self._scheduler.unregister(self._listener.fileno())
            self._listener.close()
            self._listener = None


def _exported_lease_count(messages: list[Message]) -> int:
    """Return the number of leases from the `LeasesComplete` that ends the messages."""
    last = messages[-1]
    if not isinstance(last, LeasesComplete):
        raise TypeError(f"expected LeasesComplete as the last message, found {last!r}")
    return last.lease_count
