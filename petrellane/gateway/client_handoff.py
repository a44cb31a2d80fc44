"""How one client's connection goes to the successor of a hot restart: between two commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

import greenlet

if TYPE_CHECKING:
    from petrellane.gateway.client_connection import ClientConnection
    from petrellane.operation.hot_restart_transport import HotRestartTransport


class ConnectionHandoff:
    """Offers one connection to the successor.

    Owned by its `ClientConnection`, as long as that lives; it runs in the connection's greenlet.
    While the connection is offered, its socket is neither read nor written here.
    """

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.parked: greenlet.greenlet | None = None  # waits until nothing is owed, or is offered
        self.stays_until = 0.0
        self.is_offered = False
        self.is_passed_on: bool | None = None  # None while the successor has not answered

    def is_due(self) -> bool:
        """Return whether the successor is to have the connection; not within a long command."""
        listener = self.connection.listener
        return (
            listener.successor is not None
            and len(self.connection.stream.buffer) <= listener.limits.max_handoff_data
            and listener.scheduler.now() >= self.stays_until
        )

    def run(self) -> bool:
        """Wait until nothing is owed, then pass the connection on.

        Returns:
            Whether it is the successor's now; False where it stays here.

        Raises:
            Closed: The client has left meanwhile.
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
            self._park(listener.limits.client_poll_interval)
        connection.raise_if_broken()
        successor = listener.successor
        if successor and not connection.is_closing and self._offer(successor):
            return True
        connection.stream.set_reading_paused(False)
        return False

    def _offer(self, successor: HotRestartTransport) -> bool:
        """Offer the connection and wait for the answer; return whether it is passed on."""
        connection = self.connection
        listener = connection.listener
        stream = connection.stream
        stream.detach()
        self.is_offered = True
        self.is_passed_on = None
        successor.offer_connection(
            stream.sock, bytes(stream.buffer), connection.has_sent_rpc, self._on_answer
        )
        while self.is_passed_on is None:
            self._park()
        if self.is_passed_on:
            return True
        self.is_offered = False
        self.stays_until = listener.scheduler.now() + listener.limits.handoff_timeout
        stream.attach()
        return False

    def _on_answer(self, is_passed_on: bool) -> None:
        self.is_passed_on = is_passed_on
        self.connection.listener.scheduler.call_soon(self.wake)

    def _park(self, timeout: float | None = None) -> None:
        self.parked = greenlet.getcurrent()
        self.connection.listener.scheduler.wait(timeout)
        self.parked = None

    def wake(self) -> None:
        """Let the connection look again, as something has changed that it may wait for."""
        if self.parked:
            self.parked.switch()
        elif self.connection.stream.reader:
            self.connection.stream.reader.switch(False)
