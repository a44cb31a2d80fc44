"""A relay between two parties: a listening socket whose connections lead to a target, with faults.

A fault holds for what comes from then on and for connections that are open; `heal` ends all. Each
fault acts as the network or a machine would; their names are those of run files:

- `cut`: nothing passes either way, and nobody is notified: connections stay open and silent, new
  ones come up and say nothing; what was under way is held back, and passes when healed, as
  segments that are sent again do.
- `mute`: answers are lost, requests arrive. `deaf`: the other way round. What is lost stays lost:
  the connection is broken from then on, and ends when healed.
- `late`: each byte takes so many seconds more, each way.
- `lossy`: a share of new connections is accepted and leads nowhere.
- `half`: so many bytes of what comes next from the target pass on each connection, and no more.
- `hang`: new connections never come up. `refuse`: new ones are refused, as where nobody listens.
- `reset`: open connections are reset, once.
"""

import random
import select
import socket
from collections.abc import Callable

from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address
from petrellane.testbed.addresses import ANY_PORT, format_address
from petrellane.testbed.relay_connection import RelayConnection

BACKLOG = 256
HANG_CONNECTIONS = 3  # that fill a queue of length 0
TARGET_CHECK_S = 0.01  # between two looks whether the target listens
NOT_LISTENING = frozenset({"refuse", "hang"})


class Relay:
    """One listening socket, and where it leads.

    Owned by the fleet of a run, which closes it.

    Attributes:
        scheduler: The scheduler of the run.
        target: Where connections lead.
        address: Where it listens.
        listener: The listening socket; None while nothing listens.
        faults: The faults in force, by name, with their sizes.
        connections: The open connections, in the order in which they came.
        connection_count: Connections accepted so far.
        on_client_closed: Called when a client closes a connection, with the address that the
            target knows it by.
        on_forwarded: Called when bytes of a client have reached the target, with that address and
            the time at which the last of them were read here, in the scheduler's seconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        target: Address,
        seed: int = 0,
        label: str = "",
        address: Address = ANY_PORT,
    ) -> None:
        """Listen at an address.

        Args:
            scheduler: The scheduler of the run.
            target: Where connections lead.
            seed: Of the draws of lossy connections, with the label.
            label: Names this relay among those of a run.
            address: Where to listen.

        Raises:
            OSError: The address is not free.
        """
        self.scheduler = scheduler
        self.target = target
        self.address = address
        self.listener: socket.socket | None = None
        self.faults: dict[str, float] = {}
        self.connections: dict[RelayConnection, None] = {}
        self.connection_count = 0
        self.on_client_closed: Callable[[Address], object] = _ignore_close
        self.on_forwarded: Callable[[Address, float], object] = _ignore_bytes
        self._random = random.Random(f"{seed} {label}")
        self._queue_fill: list[socket.socket] = []
        self._target_check: socket.socket | None = None
        self._listen()

    @property
    def host_port(self) -> str:
        """The address as host:port."""
        return format_address(self.address)

    def fault(self, name: str, size: float = 1.0) -> None:
        """Let a fault hold from now on; the module says what its size is."""
        if name == "reset":
            for connection in list(self.connections):
                connection.end(reset=True)
            return
        self.faults[name] = size
        if name in NOT_LISTENING and self.listener is not None:
            self._stop_listening()
            if name == "hang":
                self._fill_queue()
        for connection in list(self.connections):
            connection.on_faults_changed()

    def heal(self) -> None:
        """End all faults."""
        self.faults.clear()
        for sock in self._queue_fill:
            sock.close()
        self._queue_fill = []
        if self.listener is None and self._target_check is None:
            self._listen()
        for connection in list(self.connections):
            connection.on_faults_changed()

    def follow_target(self) -> None:
        """Refuse connections until somebody listens at the target, which has died or starts."""
        self._stop_listening()
        if self._target_check is None:
            self._check_target()

    def close(self) -> None:
        """End for good, with all connections."""
        self._stop_listening()
        if self._target_check is not None:
            self._target_check.close()
        for sock in self._queue_fill:
            sock.close()
        for connection in list(self.connections):
            connection.end()

    def _listen(self) -> None:
        sock = self._bind()
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self.listener = sock
        self.address = sock.getsockname()
        self.scheduler.register(sock.fileno(), select.POLLIN, self._on_connections)

    def _bind(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.address)
        return sock

    def _stop_listening(self) -> None:
        if self.listener is not None:
            self.scheduler.unregister(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def _fill_queue(self) -> None:
        """Fill a listening queue: whoever connects waits, as the machine answers nothing."""
        listener = self._bind()
        listener.listen(0)
        self._queue_fill = [listener]
        for _ in range(HANG_CONNECTIONS):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._queue_fill.append(sock)
            sock.setblocking(False)
            sock.connect_ex(self.address)

    def _on_connections(self, _: int) -> None:
        while self.listener is not None:
            try:
                sock, _address = self.listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            self.connection_count += 1
            lost = self._random.random() < self.faults.get("lossy", 0.0)
            self.connections[RelayConnection(self, sock, lost)] = None

    def _check_target(self) -> None:
        """Listen again once the target does."""
        sock = self._target_check
        if sock is None or not _is_connected(sock):
            if sock is not None:
                sock.close()
            self._target_check = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._target_check.setblocking(False)
            self._target_check.connect_ex(self.target)
            self.scheduler.call_later(TARGET_CHECK_S, self._check_target)
            return
        sock.close()
        self._target_check = None
        if self.listener is None and not self.faults.keys() & NOT_LISTENING:
            self._listen()


def _is_connected(sock: socket.socket) -> bool:
    """Return whether a socket that dials has come through."""
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _ignore_close(_: Address) -> None:
    """Do nothing when a client closes a connection."""


def _ignore_bytes(_: Address, _read_at: float) -> None:
    """Do nothing when bytes have reached the target."""
