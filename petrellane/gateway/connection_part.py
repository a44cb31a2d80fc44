"""What the parts of a client connection have in common."""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrellane.gateway.client_connection import ClientConnection


class ConnectionPart:
    """A part of a client connection, which owns it.

    The part refers to the connection weakly: what a connection holds is then freed when the
    connection ends, and not by a later garbage collection.
    """

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = weakref.ref(connection)

    @property
    def has_ended(self) -> bool:
        """Whether the connection has ended and been freed."""
        return self._connection() is None

    @property
    def connection(self) -> ClientConnection:
        """The connection.

        Raises:
            ReferenceError: The connection has ended.
        """
        connection = self._connection()
        if connection is None:
            raise ReferenceError("the connection has ended")
        return connection
