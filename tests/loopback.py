"""Loopback helpers for tests of gateway processes.

The module imports no petrellane code, because the compatibility tests also use it to start
processes of other checkouts.
"""

import contextlib
import itertools
import os
import pathlib
import random
import socket
import threading
from collections.abc import Callable

HOST = "127.0.0.1"
FIRST_PORT = 10_000
LAST_FIRST_PORT = 25_000  # leaves thousands of ports below the ephemeral range, from 32,768

Address = tuple[str, int]


def address_text(address: Address) -> str:
    """Return an address as HOST:PORT."""
    host, port = address
    return f"{host}:{port}"


def parse_address(text: str) -> Address:
    """Return the address that a text states as HOST:PORT."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class UnusedAddresses:
    """Gives out loopback addresses that a process may bind later.

    They belong to a random loopback IP address, and their ports lie below the kernel's ephemeral
    range. An ephemeral port of 127.0.0.1 that is let go can be taken by any other process, or by a
    socket that dials, before the process binds it. `petrellane.testbed.addresses` does the same.
    """

    def __init__(self) -> None:
        source = random.SystemRandom()
        self.ip = "127." + ".".join(str(source.randint(1, 250)) for _ in range(3))
        self._ports = itertools.count(source.randint(FIRST_PORT, LAST_FIRST_PORT))

    def next_address(self) -> Address:
        """Return an address that nobody listens on and that was not given out before."""
        while True:
            address = self.ip, next(self._ports)
            with contextlib.suppress(OSError), socket.create_server(address):
                return address


_unused_addresses = UnusedAddresses()


def free_address() -> Address:
    """Return an unused loopback address, which this process gives out only once."""
    return _unused_addresses.next_address()


def serve_connections(
    resources: contextlib.ExitStack, handler: Callable[[socket.socket], None]
) -> str:
    """Serve connections at a new address, each in a separate thread.

    Args:
        resources: The exit stack that closes the listening socket.
        handler: The function that serves one connection; socket errors also end the connection.

    Returns:
        The address as HOST:PORT.
    """
    listener = resources.enter_context(socket.create_server((HOST, 0)))

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=handle, args=(sock,), daemon=True).start()

    def handle(sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            handler(sock)

    threading.Thread(target=accept, daemon=True).start()
    resources.callback(listener.shutdown, socket.SHUT_RDWR)
    return address_text(listener.getsockname())


def gateway_environment(
    config: pathlib.Path, management: Address, listener: socket.socket
) -> dict[str, str]:
    """Return the environment of a gateway process that inherits its listening socket.

    Args:
        config: The configuration file, in the directory that gateways share to find each other.
        management: The address of the management API.
        listener: The listening socket to inherit.
    """
    return {
        **os.environ,
        "PROXY_CONFIG": str(config),
        "PROXY_MANAGEMENT": address_text(management),
        "PROXY_LISTEN_FD": str(listener.fileno()),
        "TMPDIR": str(config.parent),
    }
