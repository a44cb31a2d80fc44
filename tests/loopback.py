"""What tests of gateway processes need on loopback; free of program code.

The tests of compatibility start processes of other checkouts with it as well.
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
    """Return an address that nobody listens on now."""
    with socket.create_server((HOST, 0)) as probe:
        address: Address = probe.getsockname()
    return address


def serve_connections(
    resources: contextlib.ExitStack, handler: Callable[[socket.socket], None]
) -> str:
    """Serve connections, a thread each.

    Args:
        resources: The listening socket ends with them.
        handler: Serves one connection until it returns; an error of the socket ends it too.

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
        config: The file of its configuration, in the folder where gateways find each other.
        management: The address of its management API.
        listener: The listening socket.
    """
    return {
        **os.environ,
        "PROXY_CONFIG": str(config),
        "PROXY_MANAGEMENT": address_text(management),
        "PROXY_LISTEN_FD": str(listener.fileno()),
        "TMPDIR": str(config.parent),
    }
