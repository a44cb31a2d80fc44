"""Loopback addresses of one run, so that runs beside each other never meet."""

import contextlib
import random
import socket

from petrellane.net.stream import Address

ANY_PORT: Address = ("127.0.0.1", 0)  # the kernel picks a port


def format_address(address: Address) -> str:
    """Return an address as host:port."""
    host, port = address
    return f"{host}:{port}"


class AddressPool:
    """Gives away ports of a loopback address that belongs to one run alone.

    The ports are below those that the kernel gives away by itself: a socket with one of those
    could connect to itself when it dials a port where nobody listens, and then holds the port.
    """

    def __init__(self, last_port: int) -> None:
        """Make a pool whose first port comes after `last_port`."""
        parts = [random.SystemRandom().randint(1, 250) for _ in range(3)]
        self.ip = "127." + ".".join(map(str, parts))
        self._last_port = last_port

    def next_port(self) -> int:
        """Return a port where nobody listens and that was not given away before."""
        while True:
            self._last_port += 1
            with (
                contextlib.suppress(OSError),
                socket.create_server((self.ip, self._last_port)),
            ):
                return self._last_port

    def next_address(self) -> Address:
        """Return the address of the next port."""
        return self.ip, self.next_port()
