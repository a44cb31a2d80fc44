"""What whole processes of a gateway need around them: a host, a counter and discovery, on loopback, in threads."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from petrellane.net import resp
from petrellane.net.limits import Limits
from petrellane.operation.hot_restart_transport import socket_name
from tests.integration.gateway.configuration import BASE_CONFIG, with_changes

LIMITS = Limits(256, 1.0, 1.0, 1, 1.0)
BIG = 300_000
PATIENCE = 20.0  # seconds after which what is expected counts as never coming


def commands(sock):
    """The commands that come on a connection, each as its parts."""
    buffer = bytearray()
    while True:
        while found := resp.command(buffer, 0, LIMITS):
            yield [bytes(buffer[slice(*span)]) for span in found[0]]
            del buffer[: found[1]]
        data = sock.recv(1 << 16)
        if not data:
            return
        buffer += data


def answer(sock):
    """The next answer on a connection, as a line or a value; b"" at its end."""
    buffer = bytearray()
    while not (found := resp.answer(buffer, 0, LIMITS)):
        data = sock.recv(1 << 16)
        if not data:
            return b""
        buffer += data
    kind, content, _ = found
    return (b"$" if kind == 0x24 else b"%c" % kind) + bytes(buffer[slice(*content)])


class World:
    """All that a gateway talks to; `processes` of one gateway share a listening socket and a folder."""

    def __init__(self, *words):
        self.totals, self.lock, self.gates, self.ran = {}, threading.Lock(), {}, []
        self.quiet = threading.Event()  # the counter says nothing
        self.stack = contextlib.ExitStack()
        self.folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.listener = self.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.address = self.listener.getsockname()
        told = with_changes(BASE_CONFIG, list(words))
        host = self.serve(self.host)
        told.update(
            listen="%s:%d" % self.address,
            counter=self.serve(self.counter),
            discovery=self.serve(self.discovery),
        )
        self.rows = [
            {
                "name": "a",
                "address": host,
                "zone": "z",
                "type": "k",
                "group": 1,
                "status": "in_service",
                "weight": 1.0,
                "since_ms": 0,
            }
        ]
        told["known"]["endpoints"] = self.rows
        self.told = told
        self.file = os.path.join(self.folder, f"config-{self.address[1]}.json")
        self.write(told)

    def write(self, told):
        with open(self.file, "w") as file:
            json.dump(told, file)

    def close(self):
        self.stack.close()

    def serve(self, handler):
        listener = self.stack.enter_context(socket.create_server(("127.0.0.1", 0)))

        def accept():
            with contextlib.suppress(OSError):
                while True:
                    threading.Thread(
                        target=handle, args=(listener.accept()[0],), daemon=True
                    ).start()

        def handle(sock):
            with sock, contextlib.suppress(OSError):
                handler(sock)

        threading.Thread(target=accept, daemon=True).start()
        self.stack.callback(listener.shutdown, socket.SHUT_RDWR)
        return "%s:%d" % listener.getsockname()

    def host(self, sock):
        """Answers each RPC with its id, once the gate of that id is open, where it has one; `big` with a long value, of
        which half comes before its gate is open."""
        for parts in commands(sock):
            self.ran.append(parts[2].decode())
            gate = self.gates.get(parts[2].decode())
            if parts[2] == b"big":
                sock.sendall(b"*3\r\n$%d\r\n" % BIG + b"x" * (BIG // 2))
                gate.wait(PATIENCE)
                sock.sendall(b"x" * (BIG - BIG // 2) + b"\r\n$-1\r\n$-1\r\n")
                continue
            if gate:
                gate.wait(PATIENCE)
            sock.sendall(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(parts[2]), parts[2]))

    def counter(self, sock):
        for _, name, amount, _ in commands(sock):
            while self.quiet.is_set():
                time.sleep(0.01)
            with self.lock:
                total = self.totals[name] = self.totals.get(name, 0.0) + float(amount)
            text = b"%g" % total
            sock.sendall(b"$%d\r\n%b\r\n" % (len(text), text))

    def discovery(self, sock):
        sock.recv(4096)
        body = json.dumps({"index": 2, "snapshot": True, "endpoints": self.rows}).encode()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        sock.recv(4096)
        threading.Event().wait(PATIENCE)

    def start(self, **given):
        """A process of the gateway, with a management address of its own."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            management = "%s:%d" % free.getsockname()
        environ = {
            **os.environ,
            "PROXY_CONFIG": self.file,
            "PROXY_MANAGEMENT": management,
            "TMPDIR": self.folder,
            "PROXY_LISTEN_FD": str(self.listener.fileno()),
            **given,
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "petrellane", "serve"],
            env=environ,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            pass_fds=[self.listener.fileno()],
        )
        process.management = management.split(":")
        self.stack.callback(self.end, process)
        return process

    def socket(self):
        """Where the next process asks."""
        return os.path.join(self.folder, socket_name(self.told["name"]))

    @staticmethod
    def end(process):
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait()
        process.stdout.close()
        process.stderr.close()

    @staticmethod
    def call(process, method, path):
        """The status of a call of staff; 0 where nobody answers."""
        try:
            with socket.create_connection(process.management, 2) as sock:
                sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                return int(sock.recv(4096).split(b" ")[1])
        except OSError:
            return 0

    def ready(self, process):
        """Wait for the process to say that it takes clients; the seconds that it took."""
        began = time.monotonic()
        while self.call(process, "GET", "/-/ready") != 200:
            assert time.monotonic() - began < PATIENCE and process.poll() is None, "never ready"
            time.sleep(0.02)
        return time.monotonic() - began

    def client(self):
        sock = socket.create_connection(self.address, PATIENCE)
        self.stack.callback(sock.close)
        return sock

    @staticmethod
    def send(client, rpc, method=b"look", who=1, left=3000, more=b"", verb=None):
        verb = verb or (b"SVC.QUERY" if method == b"look" else b"SVC.SUBMIT")
        client.sendall(
            resp.words(
                verb,
                b"%016x" % who,
                rpc,
                b"c=%b,t=basic,d=%d,units=1,spread=1,first=0%b" % (method, left, more),
            )
        )
