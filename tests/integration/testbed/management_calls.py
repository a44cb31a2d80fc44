"""Raw HTTP calls to the management address of a gateway, and to a control process."""

import contextlib
import socket

from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_gateway import FleetGateway

CONNECT_TIMEOUT_S = 2.0
READ_SIZE = 4096


def response_status(fleet: LoopbackFleet, port: int, request: bytes) -> int:
    """Send a request to a port of a fleet, which runs meanwhile; return the answer's status."""
    chunks: list[bytes] = []
    with socket.create_connection((fleet.addresses.ip, port), CONNECT_TIMEOUT_S) as sock:
        sock.sendall(request)
        sock.setblocking(False)

        def has_answered() -> bool:
            with contextlib.suppress(BlockingIOError):
                chunks.append(sock.recv(READ_SIZE))
            return bool(chunks)

        fleet.run_until(has_answered, "an answer of the management address")
    return int(chunks[0].split(b" ")[1])


def call_gateway(gateway: FleetGateway, name: str) -> None:
    """Make a management call, such as `drain`, that has to succeed."""
    request = f"POST /-/{name} HTTP/1.1\r\n\r\n".encode()
    assert response_status(gateway.fleet, gateway.management_port, request) == 200
