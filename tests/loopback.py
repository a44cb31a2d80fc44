"""Loopback helpers for tests of gateway processes.

The module imports no petrellane code, because the compatibility tests also use it to start
processes of other checkouts.
"""

import contextlib
import os
import pathlib
import socket
import threading
from collections.abc import Callable

HOST = "127.0.0.1"

Address = tuple[str, int]


def address_text(address: Address) -> str:
    """Return an address as HOST:PORT."""
    host, port = address
    return f"{host}:{port}"


def free_address() -> Address:
    """Return a loopback address whose port is currently free."""
    with socket.create_server((HOST, 0)) as probe:
        address: Address = probe.getsockname()
    return address


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
