"""The handoff of a client connection to the successor of a hot restart, between two commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

import greenlet

from petrellane.gateway.connection_part import ConnectionPart

if TYPE_CHECKING:
    from petrellane.gateway.client_connection import ClientConnection
    from petrellane.operation.hot_restart_transport import HotRestartTransport


class ConnectionHandoff(ConnectionPart):
    """Hands one client connection to the successor.

    Owned by its `ClientConnection` for the life of the connection, and run by the connection's
    greenlet. While the connection is offered, this process neither reads nor writes its socket.
    """

    def __init__(self, connection: ClientConnection) -> None:
        super().__init__(connection)
        # The greenlet that waits until all replies are written, or until the successor answers.
        self.waiting_greenlet: greenlet.greenlet | None = None
        self.next_offer_at = 0.0  # Unix time before which the connection is not offered again
        self.is_offered = False
        self.is_handed_off: bool | None = None  # None while the successor has not answered

    def is_due(self) -> bool:
        """Return whether the connection should go to the successor now.

        It stays here while more of a command is buffered than one offer can carry, and for
        `handoff_timeout` after a failed offer.
        """
        listener = self.connection.listener
        return (
            listener.successor is not None
            and len(self.connection.stream.buffer) <= listener.limits.max_handoff_data
            and listener.scheduler.now() >= self.next_offer_at
        )

    def run(self) -> bool:
        """Wait until all replies are sent, then hand the connection off.

        Returns:
            Whether the successor has taken the connection; False if it stays in this process.

        Raises:
            Closed: The client has disconnected in the meantime.
        """
        connection = self.connection
        listener = connection.listener
        connection.stream.set_reading_paused(True)
        while (
            (connection.pending_replies or connection.stream.unsent)
            and not connection.stream.broken
            and not connection.is_closing
            and listener.successor
        ):
            self._wait(listener.limits.client_poll_interval)
        connection.raise_if_broken()
        successor = listener.successor
        if successor and not connection.is_closing and self._offer(successor):
            return True
        connection.stream.set_reading_paused(False)
        return False

    def _offer(self, successor: HotRestartTransport) -> bool:
        """Offer the connection and wait for the answer; return whether the successor takes it."""
        connection = self.connection
        listener = connection.listener
        stream = connection.stream
        stream.detach()
        self.is_offered = True
        self.is_handed_off = None
        successor.offer_connection(
            stream.sock, bytes(stream.buffer), connection.has_sent_rpc, self._on_answer
        )
        while self.is_handed_off is None:
            self._wait()
        if self.is_handed_off:
            return True
        self.is_offered = False
        self.next_offer_at = listener.scheduler.now() + listener.limits.handoff_timeout
        stream.attach()
        return False

    def _on_answer(self, is_handed_off: bool) -> None:
        self.is_handed_off = is_handed_off
        self.connection.listener.scheduler.call_soon(self.wake)

    def _wait(self, timeout: float | None = None) -> None:
        self.waiting_greenlet = greenlet.getcurrent()
        self.connection.listener.scheduler.wait(timeout)
        self.waiting_greenlet = None

    def wake(self) -> None:
        """Resume the connection's greenlet, which then rechecks the state of the connection."""
        if self.waiting_greenlet:
            self.waiting_greenlet.switch()
        elif not self.has_ended and self.connection.stream.reader:
            self.connection.stream.reader.switch(False)
