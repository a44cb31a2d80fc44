"""What a real gateway process needs on loopback: an endpoint, a counter, discovery.

Free of program code. Each connection is served by a thread that ends with it. `Neighbours.start`
starts a process of the gateway with the listening socket that the test holds; every wait here ends
after PATIENCE seconds.
"""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

from tests.compatibility import build, files

PATIENCE = 20.0

SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "look",
            "effect": "pure",
            "goalTime": 1000000,
            "giveUp": 4000000,
            "worth": 1.0,
            "lateWorth": 0.5,
        }
    ],
    "contracts": [
        {
            "name": "basic",
            "quotaRate": 0,
            "storeSize": 100,
            "pays": 1.0,
            "ceilingRate": 0.01,
            "ceilingBurst": 10,
        }
    ],
    "familyInfo": {"mayCount": True, "counterTimeout": 80000},
    "limits": {
        "connIdle": 30000000,
        "dialTimeout": 250000,
        "maxAttempts": 4,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfter": 500000,
        "streamsPerConn": 4,
    },
    "obligations": {"cold": 0, "coldFrom": 1.0},
    "discovery": "push",
}


def words(*parts: bytes) -> bytes:
    """A command."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


def rpc(name: bytes) -> bytes:
    """An RPC of customer 1, one unit, under the plan with a ceiling."""
    figures = b"c=look,t=basic,d=3000,units=1,spread=1,first=0"
    return words(b"SVC.QUERY", b"%016x" % 1, name, figures)


def commands(sock: socket.socket) -> Iterator[list[bytes]]:
    """The commands that come on a connection."""
    with sock.makefile("rb") as stream:
        while head := stream.readline():
            yield [stream.read(int(stream.readline()[1:]) + 2)[:-2] for _ in range(int(head[1:]))]


def answer(sock: socket.socket) -> bytes:
    """The next answer on a connection: a value with $ before it, or a line."""
    data = b""
    while not data.endswith(b"\r\n") or data.startswith(b"$") and data.count(b"\r\n") < 2:
        piece = sock.recv(1)
        if not piece:
            return b""
        data += piece
    return b"$" + data.split(b"\r\n")[1] if data.startswith(b"$") else data[:-2]


class Neighbours:
    """All that a gateway talks to, its listening socket and its folder. Closed by the test."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder, self.stack = folder, contextlib.ExitStack()
        self.listener = self.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.address = self.listener.getsockname()
        self.totals: dict[bytes, float] = {}
        row = {
            "name": "a",
            "address": self._serve(self._endpoint),
            "zone": "z",
            "type": "k",
            "group": 1,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 0,
        }
        self.listing = {"index": 2, "snapshot": True, "endpoints": [row]}
        config = {
            "name": "g1",
            "listen": "%s:%d" % self.address,
            "discovery": self._serve(self._discovery),
            "counter": self._serve(self._counter),
            "seed": "5eed",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"index": 1, "snapshot": True, "endpoints": [row]},
            "settings": SETTINGS,
        }
        self.file = folder / "config.json"
        self.file.write_text(json.dumps(config))

    def close(self) -> None:
        """End all that was started."""
        self.stack.close()

    def _serve(self, handler: Callable[[socket.socket], None]) -> str:
        listener = self.stack.enter_context(socket.create_server(("127.0.0.1", 0)))

        def handle(sock: socket.socket) -> None:
            with sock, contextlib.suppress(OSError, ValueError):
                handler(sock)

        def accept() -> None:
            with contextlib.suppress(OSError):
                while True:
                    sock, _ = listener.accept()
                    threading.Thread(target=handle, args=(sock,), daemon=True).start()

        threading.Thread(target=accept, daemon=True).start()
        self.stack.callback(listener.shutdown, socket.SHUT_RDWR)
        return "%s:%d" % listener.getsockname()

    def _endpoint(self, sock: socket.socket) -> None:
        for parts in commands(sock):
            sock.sendall(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(parts[2]), parts[2]))

    def _counter(self, sock: socket.socket) -> None:
        for _, name, amount, _ in commands(sock):
            total = self.totals[name] = self.totals.get(name, 0.0) + float(amount)
            text = b"%g" % total
            sock.sendall(b"$%d\r\n%b\r\n" % (len(text), text))

    def _discovery(self, sock: socket.socket) -> None:
        sock.recv(4096)
        body = json.dumps(self.listing).encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        sock.recv(4096)
        threading.Event().wait(PATIENCE)

    def start(self, root: pathlib.Path = files.ROOT) -> "Process":
        """Start a process of the gateway from a checkout."""
        process = Process(self, root)
        self.stack.callback(process.close)
        return process

    def client(self) -> socket.socket:
        """A connection of a client."""
        sock = socket.create_connection(self.address, PATIENCE)
        self.stack.callback(sock.close)
        return sock

    def bind(self, name: str) -> socket.socket:
        """Be found as the process before, by a socket file of this name."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.stack.callback(sock.close)
        sock.settimeout(PATIENCE)
        sock.bind(str(self.folder / name))
        sock.listen()
        return sock

    def connect(self, name: str) -> socket.socket:
        """Call the process before, at its socket file."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.stack.callback(sock.close)
        sock.settimeout(PATIENCE)
        sock.connect(str(self.folder / name))
        return sock


class Process:
    """A real gateway process; killed at the latest when the neighbours are closed."""

    def __init__(self, world: Neighbours, root: pathlib.Path) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.management = free.getsockname()
        environ = {
            **os.environ,
            "PROXY_CONFIG": str(world.file),
            "PROXY_MANAGEMENT": "%s:%d" % self.management,
            "PROXY_LISTEN_FD": str(world.listener.fileno()),
            "TMPDIR": str(world.folder),
        }
        self.process = subprocess.Popen(
            build.serve_command(),
            cwd=root,
            env=environ,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            pass_fds=[world.listener.fileno()],
        )

    def close(self) -> None:
        """Kill it, where it still runs."""
        self.process.kill()
        self.process.wait()

    def call(self, method: str, path: str) -> tuple[int, str]:
        """The status and the state that staff are told; 0 where nobody answers."""
        try:
            with socket.create_connection(self.management, 2) as sock:
                sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                with sock.makefile("rb") as stream:
                    head, _, body = stream.read().partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), str(json.loads(body)["state"])
        except OSError:
            return 0, ""

    def wait_for(self, status: int, state: str) -> None:
        """Wait until staff are told this."""
        until = time.monotonic() + PATIENCE
        while (found := self.call("GET", "/-/ready")) != (status, state):
            assert time.monotonic() < until, f"expected {status} {state}, found {found}"
            assert self.process.poll() is None, "the process has ended"
            time.sleep(0.02)
