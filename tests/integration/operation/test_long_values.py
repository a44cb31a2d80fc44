"""Tests of many concurrent long values in one process with a low memory limit."""

import socket
import time
from collections.abc import Iterator

import pytest

from tests.integration.operation.deployment import (
    WAIT_TIMEOUT_S,
    Deployment,
    GatewayProcess,
    read_answer,
    read_commands,
    send_rpc,
)

SIZE = 4 * 1024 * 1024
CLIENTS = 32
MEMORY_MB = 64
SMALL_BUFFER = 8192
MAX_TRIES = 50  # the gateway initially rejects some RPCs, as the deployment has one endpoint
FAST_RPCS = 20


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    """Yield a deployment with little memory, whose endpoint answers some RPCs with long values."""
    created = Deployment(f"limits.memory_mb={MEMORY_MB}")
    created.rows[0]["address"] = created.serve(serve_endpoint)
    created.write(created.config)
    yield created
    created.close()


def serve_endpoint(sock: socket.socket) -> None:
    """Answer RPCs whose ids start with `long` with a long value, others with a short one."""
    for parts in read_commands(sock):
        size = SIZE if parts[2].startswith(b"long") else 5
        sock.sendall(b"*3\r\n$%d\r\n" % size + b"x" * size + b"\r\n$-1\r\n$-1\r\n")


def start_long_value(deployment: Deployment, number: int) -> socket.socket:
    """Return a connection on which a long value has started to arrive; it is not read."""
    sock = socket.socket()
    deployment.resources.callback(sock.close)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.settimeout(WAIT_TIMEOUT_S)
    sock.connect(deployment.address)
    for attempt in range(MAX_TRIES):
        send_rpc(sock, b"long%d.%d" % (number, attempt), customer=number + 2)
        if sock.recv(1, socket.MSG_PEEK) == b"$":
            break
        read_answer(sock)
        time.sleep(0.05)
    return sock


def check_long_value(sock: socket.socket) -> None:
    """Read a long value and check that it is complete."""
    head = b"$%d\r\n" % SIZE
    received = 0
    first = b""
    while received < len(head) + SIZE + 2:
        data = sock.recv(1 << 20)
        assert data, received
        first = first or data
        received += len(data)
    assert first.startswith(head)


def test_clients_that_stop_reading(deployment: Deployment, old: GatewayProcess) -> None:
    """Clients that stop reading keep the process within its memory limit and delay no others.

    Each client finally receives its complete value.
    """
    clients = [start_long_value(deployment, number) for number in range(CLIENTS)]
    durations_s = []
    answers = []
    memory_kb = 0
    for number in range(FAST_RPCS):
        started_at = time.monotonic()
        client = deployment.connect()
        send_rpc(client, b"fast%d" % number)
        answers.append(read_answer(client)[:1])
        durations_s.append(time.monotonic() - started_at)
        time.sleep(0.05)
        memory_kb = max(memory_kb, old.resident_kb())
    assert max(durations_s) < 1.0
    assert answers.count(b"$") > 10
    assert memory_kb / 1024 < MEMORY_MB
    assert old.descriptor_count() < 256
    for sock in clients:
        check_long_value(sock)
