"""Loopback addresses for one run, allocated so that concurrent runs do not collide."""

import contextlib
import random
import socket

from petrellane.net.stream import Address

ANY_PORT: Address = ("127.0.0.1", 0)  # the kernel assigns the port


def format_address(address: Address) -> str:
    """Return an address as host:port."""
    host, port = address
    return f"{host}:{port}"


class AddressPool:
    """Allocates ports of a random loopback IP address; owned by one run.

    The ports lie below the kernel's ephemeral range. A socket that dials an ephemeral port without
    a listener may be assigned that same port, connect to itself and so occupy the port.
    """

    def __init__(self, last_port: int) -> None:
        """Initialize a pool that allocates ports above `last_port`."""
        parts = [random.SystemRandom().randint(1, 250) for _ in range(3)]
        self.ip = "127." + ".".join(map(str, parts))
        self._last_port = last_port

    def next_port(self) -> int:
        """Return a port that has no listener and that the pool has not allocated before."""
        while True:
            self._last_port += 1
            with (
                contextlib.suppress(OSError),
                socket.create_server((self.ip, self._last_port)),
            ):
                return self._last_port

    def next_address(self) -> Address:
        """Return the pool's IP address with its next port."""
        return self.ip, self.next_port()
