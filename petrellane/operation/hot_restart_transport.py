"""Carries a hot restart between two processes, over a Unix socket in a folder that both see.

Service: it owns the listener and the time limits. Packets are in `hot_restart_link`, the messages
in `hot_restart_messages`; what they mean, and who owns what when, is in `hot_restart`.
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
"""Connections that wait at the listener: one successor, and some that were killed while asking."""


def socket_name(gateway: str) -> str:
    """The name of a gateway's socket; other gateways may have theirs in the same folder."""
    return f"petrellane-{hashlib.blake2b(gateway.encode(), digest_size=8).hexdigest()}.sock"


def _socket_folder() -> str:
    return os.environ.get("TMPDIR") or "/tmp"


class ClientHandoff(NamedTuple):
    """A client connection on its way: its socket, what was read from it, whether it has asked."""

    sock: socket.socket
    data: bytes
    has_asked: bool


@dataclass(frozen=True)
class HotRestartHandlers:
    """What the gateway does at the steps of a hot restart.

    Attributes:
        export_state: Gives up what the successor is to have; the messages that carry it.
        on_successor: Called with the transport once there is a successor to offer connections to,
            and with None when it is gone again.
        import_leases: Takes over rows of leases; how many.
        adopt_connection: Takes over a client connection: its socket, what was read from it, and
            whether its client has sent a command before.
        release_in_flight: Called with a customer and how many of its requests ended that the
            predecessor had in flight.
        on_predecessor_still_running: The predecessor goes on with all that it holds.
    """

    export_state: Callable[[], list[Message]]
    on_successor: Callable[["HotRestartTransport | None"], None]
    import_leases: Callable[[list[JsonObject]], int]
    adopt_connection: Callable[[socket.socket, bytes, bool], None]
    release_in_flight: Callable[[str, int], None]
    on_predecessor_still_running: Callable[[], None]


class HotRestartTransport:
    """Both ends of a hot restart: first the successor's, then the predecessor's.

    One per process, owned by the gateway, from its start to its end.

    Attributes:
        consensus_state: What the predecessor reports of settings that gateways agree on; None
            before that came, and where they do not.
        links: The connections of processes that may become our successor, oldest first.
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
        """Where the socket is.

        Paths of sockets are short and those of folders are not, so the path starts at the folder's
        descriptor.

        Raises:
            OSError: There is no such folder.
        """
        if self._folder is None:
            self._folder = os.open(_socket_folder(), os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._folder}/{self._socket_name}"

    # The successor's end.

    def request_transfer(self, on_ready: Callable[[], None]) -> None:
        """Ask the predecessor for what it holds.

        Args:
            on_ready: Called once there is nothing more to wait for.
        """
        self._on_ready = on_ready
        self._receiver = hot_restart.HandoffReceiver()
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.connect(self.socket_path())
        except OSError:  # no predecessor, or only its file is left, or we have no descriptor
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
            has_asked = isinstance(message, ConnectionOffer) and message.has_asked
            handoff = ClientHandoff(packet.sock, packet.data, has_asked)
        step = self._receiver.on_message(message, handoff)
        if step.reply:
            link.send(step.reply)
        if step.owned:
            self._handlers.adopt_connection(*step.owned)
        if step.dropped:
            step.dropped.sock.close()
        if isinstance(message, ConsensusState):
            self.consensus_state = message.state or self.consensus_state
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
        """A predecessor that stands still keeps what it has; what it sends later has no holder."""
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

    def _finish_transfer(self, how: str, **figures: int) -> None:
        """Go on without the predecessor, once; `how` and the figures go to the log."""
        on_ready = self._on_ready
        self._on_ready = None
        if not on_ready:
            return
        self._log.event("succeeds", how=how, **figures)
        if how == "not answered":
            self._handlers.on_predecessor_still_running()
        on_ready()
        self.listen()

    # The predecessor's end.

    def listen(self) -> None:
        """Let a successor find us; the socket file of a process that is gone is replaced.

        Where that can't be, nobody can take over without a loss; all else goes on.
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
            if (
                len(self.links) >= self._limits.max_requests
            ):  # the oldest that is no successor makes way
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
        """Accept again soon: the listener would be ready at every poll."""
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
        refusal = hot_restart.answer_transfer_request(request)
        if refusal or self._successor:
            link.send(refusal or TransferRefusal(PROTOCOL_VERSION))
            return
        self._successor = link
        self._sender = hot_restart.HandoffSender()
        messages = self._handlers.export_state()
        self._log.event("succeeded", leases=_exported_leases(messages))
        for message in messages:
            link.send(message)
        self._handlers.on_successor(self)

    def _on_successor_lost(self, link: MessageLink) -> None:
        """What is here is ours again; what was given up has no holder."""
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
        has_asked: bool,
        on_settled: Callable[[bool], None],
    ) -> None:
        """Offer a client connection to the successor.

        Args:
            sock: The client's socket, from which nothing is read while the offer stands.
            data: What was read from it.
            has_asked: Whether the client has sent a command before.
            on_settled: Called once, with whether the connection is the successor's now.

        Raises:
            RuntimeError: There is no successor.
        """
        sender = self._sender
        if self._successor is None or sender is None:
            raise RuntimeError("no successor to offer a connection to")
        number = sender.offer(on_settled)
        self._successor.send(ConnectionOffer(number, has_asked), data, sock.fileno())
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

    def report_request_ended(self, customer: str) -> None:
        """A request of this customer has ended here; a successor is notified."""
        if self._successor:
            self._successor.send(RequestEnded(customer))

    @property
    def has_unsent(self) -> bool:
        """Whether a successor still has messages to get."""
        return self._successor is not None and self._successor.has_unsent

    def close(self) -> None:
        """Let no successor find us any more."""
        if self._folder is not None:
            os.close(self._folder)
            self._folder = None
        if self._listener:
            if self._listener.fileno() in self._scheduler.event_handlers:
                self._scheduler.unregister(self._listener.fileno())
            self._listener.close()
            self._listener = None


def _exported_leases(messages: list[Message]) -> int:
    """The count of the `LeasesComplete` that ends the messages."""
    last = messages[-1]
    if not isinstance(last, LeasesComplete):
        raise TypeError(f"expected LeasesComplete as the last message, found {last!r}")
    return last.lease_count
