"""Tests of hot restarts in which a process is killed, is stopped, or sends malformed messages."""

import contextlib
import signal
import socket
import time
from collections.abc import Iterator

import orjson
import pytest

from tests.integration.operation.deployment import (
    READY_PATH,
    WAIT_TIMEOUT_S,
    Deployment,
    GatewayProcess,
    read_answer,
    send_and_check,
    send_rpc,
)

REQUEST = b'{"ask":1}\n'


@contextlib.contextmanager
def hot_restart_link(deployment: Deployment) -> Iterator[socket.socket]:
    """Yield a connection to the running process like that of a successor."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.connect(deployment.hot_restart_path())
        yield sock


def test_the_old_process_dies_during_the_restart(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """The new process accepts clients, whenever the old one is killed, despite its socket file.

    Each connection was handed over or is closed, so that no two processes read from it.
    """
    for delay_s in (0.0, 0.1, 0.2, 0.3):
        clients = [deployment.connect() for _ in range(5)]
        for client in clients:
            send_and_check(client, b"before")
        new = deployment.start()
        time.sleep(delay_s)
        old.kill()
        old.wait()
        assert new.wait_until_ready() < 5.0
        send_and_check(deployment.connect(), b"after")
        for client in clients:  # the new process has the connection, or the client sees its end
            with contextlib.suppress(OSError):
                send_rpc(client, b"rest")
                assert read_answer(client) in (b"$rest", b"")
        old = new


def test_the_new_process_is_killed_after_its_start(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """The new process's state is lost; the old one accepts clients again and hands over later."""
    new = deployment.start_ready()
    new.kill()
    new.wait()
    send_and_check(deployment.connect(), b"again")
    assert old.call("GET", READY_PATH) == 200
    deployment.start_ready()
    old.terminate_gracefully()
    send_and_check(deployment.connect(), b"third")


def test_the_old_process_stands_still(deployment: Deployment, old: GatewayProcess) -> None:
    """The new process times out on a stopped predecessor, which later serves its connections."""
    client = deployment.connect()
    send_and_check(client, b"one")
    send_and_check(client, b"more")  # after a second RPC the client does not count as idle
    old.send_signal(signal.SIGSTOP)
    new = deployment.start()
    assert new.wait_until_ready() < 5.0
    send_and_check(deployment.connect(), b"two")
    old.send_signal(signal.SIGCONT)
    time.sleep(0.5)  # the resuming process may reject RPCs whose deadlines have passed
    send_and_check(client, b"three")
    old.terminate_gracefully()


def test_the_old_process_stands_still_for_a_second(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """A predecessor that is stopped for 1.3 s still hands over its state and its connections."""
    client = deployment.connect()
    send_and_check(client, b"one")
    old.send_signal(signal.SIGSTOP)
    new = deployment.start()
    time.sleep(1.3)
    old.send_signal(signal.SIGCONT)
    new.wait_until_ready()
    assert old.call("GET", READY_PATH) == 503  # the old process has a successor
    old.terminate_gracefully()
    send_and_check(client, b"two")


@pytest.mark.usefixtures("old")
def test_messages_that_are_refused(deployment: Deployment) -> None:
    """The process refuses another version, and a malformed message closes only its own link."""
    exchanges = [
        (orjson.dumps({"ask": 99}) + b"\n", b'{"refused":1}\n'),
        (b"nonsense", b""),
        (b"[]\n", b""),
        (b'{"got":7}\n', None),
    ]
    for message, reply in exchanges:
        with hot_restart_link(deployment) as sock:
            sock.settimeout(WAIT_TIMEOUT_S)
            sock.send(message)
            if reply is not None:
                assert sock.recv(4096) == reply, message
    send_and_check(deployment.connect(), b"fine")


@pytest.mark.usefixtures("old")
def test_the_new_process_dies_before_its_start(deployment: Deployment) -> None:
    """The old process serves on if its successor exits after the request or after the leases."""
    client = deployment.connect()
    send_and_check(client, b"one")
    for reads in (0, 1):
        with hot_restart_link(deployment) as sock:
            sock.settimeout(WAIT_TIMEOUT_S)
            sock.send(REQUEST)
            for _ in range(reads):
                assert b"leases" in sock.recv(1 << 18)
        time.sleep(0.1)
        send_and_check(client, b"two%d" % reads)
        send_and_check(deployment.connect(), b"three%d" % reads)
    deployment.start_ready()
    send_and_check(client, b"four")


@pytest.mark.usefixtures("old")
def test_a_successor_that_stands_still(deployment: Deployment) -> None:
    """The old process keeps connections that the successor does not receive, and loses no RPC."""
    clients = [deployment.connect() for _ in range(4)]
    for client in clients:
        send_and_check(client, b"before")
    with hot_restart_link(deployment) as sock:
        sock.send(REQUEST)
        for client in clients:
            send_and_check(client, b"after")
    send_and_check(deployment.connect(), b"new")


def test_silent_links_keep_nobody_out(deployment: Deployment, old: GatewayProcess) -> None:
    """The process limits the number of silent links, and a successor can still connect."""
    with contextlib.ExitStack() as links:
        for _ in range(30):
            links.enter_context(hot_restart_link(deployment))
            time.sleep(0.01)
        assert old.descriptor_count() < 40
        client = deployment.connect()
        send_and_check(client, b"one")
        deployment.start_ready()
        send_and_check(client, b"two")
        old.terminate_gracefully()
        send_and_check(client, b"three")


def test_signals_during_the_restart(deployment: Deployment, old: GatewayProcess) -> None:
    """A restart succeeds despite SIGHUP to both processes, a silent counter and a long folder."""
    old.discard()
    deployment.folder = deployment.folder / ("x" * 150)
    deployment.folder.mkdir()
    old = deployment.start_ready()
    client = deployment.connect()
    send_and_check(client, b"one")
    deployment.counter_is_silent.set()
    new = deployment.start()
    for _ in range(5):
        old.send_signal(signal.SIGHUP)
        time.sleep(0.05)
    new.wait_until_ready()
    new.send_signal(signal.SIGHUP)
    # The client receives a reply in any case: a value by the imported credit, or a rejection.
    send_rpc(client, b"two")
    assert read_answer(client)[:5] in (b"$two", b"-BUSY")
    deployment.counter_is_silent.clear()
    old.terminate_gracefully()
    send_and_check(client, b"three")
