"""A TCP relay that forwards connections to a target and injects network faults.

A fault applies to open and new connections until `heal`, which ends all faults. Each one simulates
a failure of the network or of a machine. The names are those used in run files, and `size` is the
number that a run file gives with the name:

- `cut`: a partition. No bytes pass in either direction and no connection is closed. New connections
  are accepted but stay silent. The relay holds bytes in flight and forwards them when the fault
  ends, as TCP retransmits segments after a partition.
- `mute`: answers are lost, and requests arrive. `deaf`: requests are lost, and answers arrive. Lost
  bytes are not retransmitted, so a connection that lost any is reset when the fault ends.
- `late`: each byte is delayed by `size` seconds in each direction.
- `lossy`: the share `size` of new connections is accepted but not forwarded.
- `half`: on each connection, only the next `size` bytes from the target pass.
- `hang`: new connections are never established. `refuse`: new connections are refused, as if the
  port had no listener.
- `reset`: open connections are reset once.
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
HANG_CONNECTIONS = 3  # connections that fill an accept queue of length 0
TARGET_CHECK_S = 0.01  # the interval between attempts to connect to the target
NOT_LISTENING = frozenset({"refuse", "hang"})


class Relay:
    """Forwards connections from one listening socket to a target.

    The fleet of a run owns and closes it.

    Attributes:
        scheduler: The scheduler of the run.
        target: The address that connections are forwarded to.
        address: The address that the relay listens at.
        listener: The listening socket; None while the relay does not listen.
        faults: The sizes of the active faults, by name.
        connections: The open connections, in the order of their acceptance.
        connection_count: The number of connections accepted so far.
        on_client_closed: The function called when a client closes a connection, with the relay's
            address on the connection to the target.
        on_forwarded: The function called when a client's bytes are forwarded to the target, with
            the same address and the scheduler time at which the relay read the last of them.
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
            target: The address to forward connections to.
            seed: The seed of the choice of lossy connections, together with the label.
            label: The name of the relay, unique within a run.
            address: The address to listen at.

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
        """Inject a fault; the module docstring defines the meaning of `size`."""
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

    def wait_for_target(self) -> None:
        """Refuse connections until the target listens, after its crash or during its start."""
        self._stop_listening()
        if self._target_check is None:
            self._check_target()

    def close(self) -> None:
        """Stop listening and close all connections permanently."""
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
        """Fill an accept queue, so that new connections get no response, as from a hung machine."""
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
        """Poll the target by dialing it; listen again once it accepts a connection."""
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
    """Return whether a non-blocking connect has succeeded."""
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return False
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _ignore_close(_: Address) -> None:
    """Ignore that a client closed a connection."""


def _ignore_bytes(_: Address, _read_at: float) -> None:
    """Ignore that bytes were forwarded to the target."""
