"""Tests of hot restarts: the state that moves to the new process, and what the old one finishes."""

import copy
import os
import signal
import socket
import threading
import time

import pytest

from tests.integration.operation.deployment import (
    LONG_RPC_ID,
    LONG_VALUE_SIZE,
    READY_PATH,
    WAIT_TIMEOUT_S,
    Deployment,
    GatewayProcess,
    read_answer,
    send_and_check,
    send_rpc,
)


def test_connections_go_over_with_pending_replies(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """No reply is lost, no connection closes, and the old process answers its pending RPCs."""
    busy = deployment.connect()
    idle = [deployment.connect() for _ in range(5)]
    for client in idle:
        send_and_check(client, b"before")
    deployment.gates["held"] = threading.Event()
    send_rpc(busy, b"held", method=b"post")
    half = deployment.connect()
    half.sendall(b"*4\r\n$9\r\nSVC.QU")
    time.sleep(0.1)
    new = deployment.start()
    assert new.wait_until_ready() < 5.0
    assert old.call("GET", READY_PATH) == 503
    assert old.call("POST", "/-/resume") == 409
    send_and_check(deployment.connect(), b"new")
    for client in idle:
        send_and_check(client, b"after")
    half.sendall(b"ERY\r\n$16\r\n%016x\r\n$4\r\nhalf\r\n$26\r\nc=look,t=basic,d=900,r=1,x\r\n" % 1)
    assert read_answer(half) == b"$half"
    old.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    assert old.poll() is None  # a reply is still pending
    deployment.gates["held"].set()
    assert read_answer(busy) == b"$held"
    assert old.wait(WAIT_TIMEOUT_S) == 0
    for client in [busy, *idle]:
        send_and_check(client, b"last")
    assert deployment.executed.count("held") == 1


def test_a_long_value_half_sent(deployment: Deployment, old: GatewayProcess) -> None:
    """The old process keeps the connection until the value is complete, and then hands it over."""
    client = deployment.connect()
    deployment.gates["big"] = threading.Event()
    send_rpc(client, LONG_RPC_ID, timeout_ms=900)
    received = bytearray(client.recv(1 << 16))
    deployment.start_ready()
    old.send_signal(signal.SIGTERM)
    time.sleep(1.0)  # past the RPC's deadline: the gateway must not truncate the value
    assert old.poll() is None
    deployment.gates["big"].set()
    head = b"$%d\r\n" % LONG_VALUE_SIZE
    while len(received) < len(head) + LONG_VALUE_SIZE + 2:
        data = client.recv(1 << 20)
        assert data
        received += data
    assert received.startswith(head)
    assert received.endswith(b"x\r\n")
    send_and_check(client, b"after")
    assert old.wait(WAIT_TIMEOUT_S) == 0


def test_a_file_that_is_replaced_twice_in_a_moment(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """The last file takes effect, even if the signals coincide."""
    config = copy.deepcopy(deployment.config)
    for _ in range(3):
        for name in ("first", "second"):
            config["settings"]["classes"][0]["name"] = name
            deployment.write(config)
            old.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        client = deployment.connect()
        send_and_check(
            client, b"one", b"-ERR c: no such method", method=b"first", verb=b"SVC.QUERY"
        )
        send_and_check(client, b"two", method=b"second", verb=b"SVC.QUERY")
        config["settings"]["classes"][0]["name"] = "look"
        deployment.write(config)
        old.send_signal(signal.SIGHUP)
        time.sleep(0.2)


@pytest.mark.usefixtures("old")
def test_an_idempotency_key_in_flight_at_the_old_process(deployment: Deployment) -> None:
    """The old process answers the original RPC, and the new process executes the client's retry."""
    first = deployment.connect()
    deployment.gates["held"] = threading.Event()
    send_rpc(first, b"held", method=b"lodge", extra_fields=b",k=77")
    time.sleep(0.1)
    deployment.start_ready()
    send_and_check(deployment.connect(), b"again", method=b"lodge", extra_fields=b",k=77,r=1")
    deployment.gates["held"].set()
    assert read_answer(first) == b"$held"
    assert deployment.executed.count("held") + deployment.executed.count("again") == 2


@pytest.mark.usefixtures("old")
def test_an_endpoint_that_drains_is_known_to_the_new_process_alone(
    deployment: Deployment,
) -> None:
    """The new process sends the endpoint no RPC; the old process's attempt there succeeds."""
    client = deployment.connect()
    deployment.gates["held"] = threading.Event()
    send_rpc(client, b"held", method=b"post")
    time.sleep(0.1)
    deployment.rows[0]["status"] = "terminating"
    deployment.start_ready()
    send_and_check(deployment.connect(), b"new", b"-BUSY")
    deployment.gates["held"].set()
    assert read_answer(client) == b"$held"
    send_and_check(client, b"next", b"-BUSY")  # the new process has this connection
    assert deployment.executed == ["held"]


def test_restarts_in_a_row(deployment: Deployment, old: GatewayProcess) -> None:
    """A connection survives three consecutive hot restarts."""
    client = deployment.connect()
    for number in range(3):
        send_and_check(client, b"rpc%d" % number)
        new = deployment.start_ready()
        old.terminate_gracefully()
        old = new
    send_and_check(client, b"end")


def test_a_customer_near_its_hard_limit_gets_no_second_one() -> None:
    """Both processes together admit at most the ten RPCs that the hard limit permits."""
    deployment = Deployment(
        "settings.contracts.0.ceilingRate=0.01",
        "settings.contracts.0.ceilingBurst=10",
        "settings.contracts.0.quotaRate=0",
    )
    try:
        old = deployment.start_ready()
        time.sleep(0.1)
        old.send_signal(0)
        client = deployment.connect()
        answers = []
        for number in range(30):
            if number == 5:
                deployment.start_ready()
            send_rpc(client, b"rpc%d" % number)
            answers.append(read_answer(client)[:1])
        assert answers.count(b"$") <= 10
    finally:
        deployment.close()


@pytest.mark.usefixtures("old")
@pytest.mark.parametrize(("text", "reason"), [("three", "three"), ("99", "Bad file"), ("-1", "-1")])
def test_no_listening_socket(deployment: Deployment, text: str, reason: str) -> None:
    """The exit code is 2, and the error contains the invalid value or the cause."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        os.set_inheritable(other.fileno(), True)
        process = deployment.start(PROXY_LISTEN_FD=text)
        assert process.wait(WAIT_TIMEOUT_S) == 2
        assert process.stderr is not None
        error = process.stderr.read().decode()
    assert "PROXY_LISTEN_FD: expected the descriptor of a listening TCP socket" in error
    assert reason in error


@pytest.mark.usefixtures("old")
def test_two_gateways_share_a_folder(deployment: Deployment) -> None:
    """A process does not take over from a different gateway in the same folder."""
    other = Deployment()
    try:
        other.folder = deployment.folder
        other.config["name"] = "g2"
        other.write(other.config)
        other.start_ready()
        client = deployment.connect()
        send_and_check(client, b"one")
        deployment.start_ready()
        send_and_check(client, b"two")
        other_client = other.connect()
        send_rpc(other_client, b"three")
        assert read_answer(other_client) == b"$three"
    finally:
        other.close()


def test_a_drain_belongs_to_the_process_that_got_it(
    deployment: Deployment, old: GatewayProcess
) -> None:
    """The new process serves, and the drained old one stays not ready."""
    assert old.call("POST", "/-/drain") == 200
    deployment.start_ready()
    assert old.call("GET", READY_PATH) == 503
    send_and_check(deployment.connect(), b"new")


def test_memory_and_descriptors_of_both(deployment: Deployment, old: GatewayProcess) -> None:
    """Both processes together stay within the limits of descriptors and memory of one process."""
    clients = [deployment.connect() for _ in range(40)]
    for client in clients:
        send_and_check(client, b"x")
    new = deployment.start_ready()
    for client in clients:
        send_and_check(client, b"y")
    processes = (old, new)
    descriptors = sum(process.descriptor_count() for process in processes)
    memory_kb = sum(process.resident_kb() for process in processes)
    assert descriptors < deployment.config["limits"]["sockets"]
    assert memory_kb / 1024 < 80
