"""Hot restarts in which a process dies, stands still, or says what it should not."""

import contextlib
import signal
import socket
import time
from collections.abc import Iterator

import orjson
import pytest

from tests.integration.operation.deployment import (
    PATIENCE_S,
    READY_PATH,
    Deployment,
    GatewayProcess,
    ask,
    read_answer,
    send_rpc,
)

REQUEST = b'{"ask":1}\n'


@contextlib.contextmanager
def hot_restart_link(deployment: Deployment) -> Iterator[socket.socket]:
    """A connection to the running process, as its successor makes one."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.connect(deployment.hot_restart_path())
        yield sock


def test_the_old_process_dies_during_the_restart(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """Whenever that is and whatever file it leaves, the new one accepts clients.

    No connection is read by two processes.
    """
    for delay_s in (0.0, 0.1, 0.2, 0.3):
        clients = [deployment.connect() for _ in range(5)]
        for client in clients:
            ask(client, b"before")
        new = deployment.start()
        time.sleep(delay_s)
        old.kill()
        old.wait()
        assert new.wait_until_ready() < 5.0
        ask(deployment.connect(), b"after")
        for client in clients:  # it went over, or its end is seen at once
            with contextlib.suppress(OSError):
                send_rpc(client, b"rest")
                assert read_answer(client) in (b"$rest", b"")
        old = new


def test_the_new_process_is_killed_after_its_start(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """What it had is lost with it; the old one accepts clients again, and a third follows it."""
    new = deployment.start_ready()
    new.kill()
    new.wait()
    ask(deployment.connect(), b"again")
    assert old.call("GET", READY_PATH) == 200
    deployment.start_ready()
    old.terminate_in_order()
    ask(deployment.connect(), b"third")


def test_the_old_process_stands_still(deployment: Deployment, old: GatewayProcess) -> None:
    """The new one does not wait without end; when the old one runs again, nothing is lost."""
    client = deployment.connect()
    ask(client, b"one")
    ask(client, b"more")  # a client that comes back is not idle
    old.send_signal(signal.SIGSTOP)
    new = deployment.start()
    assert new.wait_until_ready() < 5.0
    ask(deployment.connect(), b"two")
    old.send_signal(signal.SIGCONT)
    time.sleep(0.5)  # what comes while it wakes may be rejected, as its time may be over
    ask(client, b"three")
    old.terminate_in_order()


def test_the_old_process_stands_still_for_a_second(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """It hands over all the same, and its connections go over."""
    client = deployment.connect()
    ask(client, b"one")
    old.send_signal(signal.SIGSTOP)
    new = deployment.start()
    time.sleep(1.3)
    old.send_signal(signal.SIGCONT)
    new.wait_until_ready()
    assert old.call("GET", READY_PATH) == 503  # it has a successor
    old.terminate_in_order()
    ask(client, b"two")


@pytest.mark.usefixtures("old")
def test_messages_that_are_refused(deployment: Deployment) -> None:
    """Another version is refused; whoever says what means nothing ends its own link only."""
    exchanges = [
        (orjson.dumps({"ask": 99}) + b"\n", b'{"refused":1}\n'),
        (b"nonsense", b""),
        (b"[]\n", b""),
        (b'{"got":7}\n', None),
    ]
    for message, reply in exchanges:
        with hot_restart_link(deployment) as sock:
            sock.settimeout(PATIENCE_S)
            sock.send(message)
            if reply is not None:
                assert sock.recv(4096) == reply, message
    ask(deployment.connect(), b"fine")


@pytest.mark.usefixtures("old")
def test_the_new_process_dies_before_its_start(deployment: Deployment) -> None:
    """One that asks, and one that got all leases, are gone at once: the old one serves on."""
    client = deployment.connect()
    ask(client, b"one")
    for reads in (0, 1):
        with hot_restart_link(deployment) as sock:
            sock.settimeout(PATIENCE_S)
            sock.send(REQUEST)
            for _ in range(reads):
                assert b"leases" in sock.recv(1 << 18)
        time.sleep(0.1)
        ask(client, b"two%d" % reads)
        ask(deployment.connect(), b"three%d" % reads)
    deployment.start_ready()
    ask(client, b"four")


@pytest.mark.usefixtures("old")
def test_a_successor_that_stands_still(deployment: Deployment) -> None:
    """Connections that it does not get in time stay, and nothing that comes on them is lost."""
    clients = [deployment.connect() for _ in range(4)]
    for client in clients:
        ask(client, b"before")
    with hot_restart_link(deployment) as sock:
        sock.send(REQUEST)
        for client in clients:
            ask(client, b"after")
    ask(deployment.connect(), b"new")


def test_silent_links_keep_nobody_out(deployment: Deployment, old: GatewayProcess) -> None:
    """Links on which nothing comes are few at a time, and a successor still gets through."""
    with contextlib.ExitStack() as links:
        for _ in range(30):
            links.enter_context(hot_restart_link(deployment))
            time.sleep(0.01)
        assert old.descriptor_count() < 40
        client = deployment.connect()
        ask(client, b"one")
        deployment.start_ready()
        ask(client, b"two")
        old.terminate_in_order()
        ask(client, b"three")


def test_signals_during_the_restart(deployment: Deployment, old: GatewayProcess) -> None:
    """SIGHUP to both processes, a silent counter, and a folder with a long name."""
    old.discard()
    deployment.folder = deployment.folder / ("x" * 150)
    deployment.folder.mkdir()
    old = deployment.start_ready()
    client = deployment.connect()
    ask(client, b"one")
    deployment.counter_is_silent.set()
    new = deployment.start()
    for _ in range(5):
        old.send_signal(signal.SIGHUP)
        time.sleep(0.05)
    new.wait_until_ready()
    new.send_signal(signal.SIGHUP)
    # There is an answer in any case: by credit that was handed over, or a rejection.
    send_rpc(client, b"two")
    assert read_answer(client)[:5] in (b"$two", b"-BUSY")
    deployment.counter_is_silent.clear()
    old.terminate_in_order()
    ask(client, b"three")
