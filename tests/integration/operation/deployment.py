"""Whole processes of a gateway, and what they talk to: an endpoint, the counter and discovery.

The peers run on loopback in threads of the test's process.
"""

import contextlib
import json
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypedDict, Unpack

from petrellane.net import resp
from petrellane.net.limits import Limits
from petrellane.operation.hot_restart_transport import socket_name
from tests.integration.gateway.configuration import (
    BASE_CONFIG,
    Config,
    endpoint_row,
    with_changes,
)
from tests.loopback import (
    Address,
    address_text,
    free_address,
    gateway_environment,
    serve_connections,
)

LIMITS = Limits(256, 1.0, 1.0, 1, 1.0)
LONG_RPC = b"big"  # the id of the RPC with a long value
LONG_VALUE = 300_000  # bytes of that value
PATIENCE_S = 20.0  # after which what is expected counts as never coming
# The counter is a thread beside other work: 80 ms, as the scenarios have it, pass on a busy
# machine, and its gateway then rejects what these tests expect to be served. An RPC's client
# waits 900 ms.
COUNTER_TIMEOUT_US = 700_000
CALL_S = 2.0  # within which a management call is answered
READ_SIZE = 1 << 16
BULK = ord("$")
READY_PATH = "/-/ready"


def commands(sock: socket.socket) -> Iterator[list[bytes]]:
    """Yield the commands that come on a connection, each as its parts."""
    buffer = bytearray()
    while True:
        while parsed := resp.parse_command(buffer, 0, LIMITS):
            spans, end = parsed
            yield [bytes(buffer[slice(*span)]) for span in spans]
            del buffer[:end]
        data = sock.recv(READ_SIZE)
        if not data:
            return
        buffer += data


def read_answer(sock: socket.socket) -> bytes:
    """Return the next answer on a connection, as a line or $VALUE; b"" at the connection's end."""
    buffer = bytearray()
    while not (parsed := resp.parse_reply(buffer, 0, LIMITS)):
        data = sock.recv(READ_SIZE)
        if not data:
            return b""
        buffer += data
    kind, span, _ = parsed
    assert span is not None, "an answer without a value"
    prefix = b"$" if kind == BULK else b"%c" % kind
    return prefix + bytes(buffer[slice(*span)])


def bulk(data: bytes) -> bytes:
    """Return a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


class GatewayProcess(subprocess.Popen[bytes]):
    """A process of the gateway; the deployment that started it ends it.

    Attributes:
        management: The address of its management API.
    """

    management: Address

    def call(self, method: str, path: str) -> int:
        """Return the status of a management call; 0 where nobody answers."""
        try:
            with socket.create_connection(self.management, CALL_S) as sock:
                sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                return int(sock.recv(4096).split(b" ")[1])
        except OSError:
            return 0

    def wait_until_ready(self) -> float:
        """Wait until the process accepts clients, and return the seconds that it took."""
        began = time.monotonic()
        while self.call("GET", READY_PATH) != 200:
            assert time.monotonic() - began < PATIENCE_S, "never ready"
            assert self.poll() is None, "never ready"
            time.sleep(0.02)
        return time.monotonic() - began

    def terminate_in_order(self) -> None:
        """Send SIGTERM and check that the process ends without an error."""
        self.send_signal(signal.SIGTERM)
        assert self.wait(PATIENCE_S) == 0

    def discard(self) -> None:
        """End the process, whatever its state."""
        if self.poll() is None:
            self.send_signal(signal.SIGCONT)
            self.kill()
        self.wait()
        for stream in (self.stdout, self.stderr):
            if stream is not None:
                stream.close()

    def descriptor_count(self) -> int:
        """Return how many descriptors the process has open."""
        return len(list(Path(f"/proc/{self.pid}/fd").iterdir()))

    def resident_kb(self) -> int:
        """Return the process's resident memory in kB."""
        lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


class Deployment:
    """All that a gateway talks to; its processes share a listening socket and a folder.

    Made for one test, then closed.

    Attributes:
        config: The configuration as it was written first.
        rows: The endpoint list; discovery answers with its state at the time.
        gates: Events for which the endpoint waits before it answers the RPC of this id.
        executed: The ids of the RPCs that the endpoint had.
        counter_is_silent: While it is set, the counter says nothing.
    """

    def __init__(self, *changes: str) -> None:
        self.counter_totals: dict[bytes, float] = {}
        self.lock = threading.Lock()
        self.gates: dict[str, threading.Event] = {}
        self.executed: list[str] = []
        self.counter_is_silent = threading.Event()
        self.resources = contextlib.ExitStack()
        self.folder = Path(self.resources.enter_context(tempfile.TemporaryDirectory()))
        listener = socket.create_server(("127.0.0.1", 0))
        self.listener = self.resources.enter_context(listener)
        self.address: Address = self.listener.getsockname()
        counter_timeout = f"settings.familyInfo.counterTimeout={COUNTER_TIMEOUT_US}"
        self.config = with_changes(BASE_CONFIG, [counter_timeout, *changes])
        endpoint = self.serve(self._serve_endpoint)
        self.config |= {
            "listen": address_text(self.address),
            "counter": self.serve(self._serve_counter),
            "discovery": self.serve(self._serve_discovery),
        }
        self.rows = [endpoint_row("a", endpoint)]
        self.config["known"]["endpoints"] = self.rows
        self.file = self.folder / f"config-{self.address[1]}.json"
        self.write(self.config)

    def write(self, config: Config) -> None:
        """Replace the file of configuration."""
        self.file.write_text(json.dumps(config))

    def close(self) -> None:
        """End all processes and peers."""
        self.resources.close()

    def serve(self, handler: Callable[[socket.socket], None]) -> str:
        """Serve connections, a thread each, and return the address."""
        return serve_connections(self.resources, handler)

    def _serve_endpoint(self, sock: socket.socket) -> None:
        """Answer each RPC with its id, once the gate of that id is open, where it has one.

        Half of the long value comes before its gate is open.
        """
        for parts in commands(sock):
            rpc = parts[2]
            self.executed.append(rpc.decode())
            gate = self.gates.get(rpc.decode())
            if rpc == LONG_RPC:
                half = LONG_VALUE // 2
                sock.sendall(b"*3\r\n$%d\r\n" % LONG_VALUE + b"x" * half)
                self.gates[rpc.decode()].wait(PATIENCE_S)
                sock.sendall(b"x" * (LONG_VALUE - half) + b"\r\n$-1\r\n$-1\r\n")
                continue
            if gate:
                gate.wait(PATIENCE_S)
            sock.sendall(b"*3\r\n" + bulk(rpc) + b"$-1\r\n$-1\r\n")

    def _serve_counter(self, sock: socket.socket) -> None:
        for _, name, amount, _ in commands(sock):
            while self.counter_is_silent.is_set():
                time.sleep(0.01)
            with self.lock:
                total = self.counter_totals.get(name, 0.0) + float(amount)
                self.counter_totals[name] = total
            sock.sendall(bulk(b"%g" % total))

    def _serve_discovery(self, sock: socket.socket) -> None:
        sock.recv(4096)
        body = json.dumps({"index": 2, "snapshot": True, "endpoints": self.rows}).encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        sock.recv(4096)
        threading.Event().wait(PATIENCE_S)

    def start(self, **variables: str) -> GatewayProcess:
        """Start a process of the gateway, with a management address of its own."""
        management = free_address()
        environment = gateway_environment(self.file, management, self.listener) | variables
        process = GatewayProcess(
            [sys.executable, "-m", "petrellane", "serve"],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            pass_fds=[self.listener.fileno()],
        )
        process.management = management
        self.resources.callback(process.discard)
        return process

    def start_ready(self) -> GatewayProcess:
        """Start a process of the gateway and wait until it accepts clients."""
        process = self.start()
        process.wait_until_ready()
        return process

    def hot_restart_path(self) -> str:
        """Return the path of the socket on which the next process asks."""
        return str(self.folder / socket_name(self.config["name"]))

    def connect(self) -> socket.socket:
        """Return a client's connection."""
        sock = socket.create_connection(self.address, PATIENCE_S)
        self.resources.callback(sock.close)
        return sock


class RpcOptions(TypedDict, total=False):
    """Fields of an RPC that have a usual value.

    Attributes:
        method: Its method; `look` is usual.
        customer: The number of its customer; 1 is usual.
        left_ms: When its client gives up; 3,000 are usual.
        more: Further fields, each with a comma before it.
        verb: The command; usually the one that fits the method.
    """

    method: bytes
    customer: int
    left_ms: int
    more: bytes
    verb: bytes


def send_rpc(client: socket.socket, rpc: bytes, **options: Unpack[RpcOptions]) -> None:
    """Send an RPC with this id on a client's connection."""
    method = options.get("method", b"look")
    usual_verb = b"SVC.QUERY" if method == b"look" else b"SVC.SUBMIT"
    fields = b"c=%b,t=basic,d=%d,units=1,spread=1,first=0%b" % (
        method,
        options.get("left_ms", 3000),
        options.get("more", b""),
    )
    verb = options.get("verb", usual_verb)
    client.sendall(resp.encode_command(verb, b"%016x" % options.get("customer", 1), rpc, fields))


def ask(
    client: socket.socket,
    rpc: bytes,
    expected: bytes | None = None,
    **options: Unpack[RpcOptions],
) -> None:
    """Send an RPC and check how its answer begins: with its id, where nothing else is expected."""
    send_rpc(client, rpc, **options)
    expected = expected or b"$" + rpc
    assert read_answer(client)[: len(expected)] == expected
