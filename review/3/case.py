"""The connection of a client that reads slowly is closed as idle, and its answer is cut off."""

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    HOST,
    Discovery,
    Host,
    free_port,
    gateway_config,
    method,
    plan,
    ready,
    request,
    run_case,
    settings,
)

CLIENTS = 4
VALUE_SIZE = 300_000  # of at most 4 MiB
READ_AFTER_S = 3.0  # a slow client takes so long before it reads
NEXT_AFTER_S = 2.9  # when the next request goes out on the same connection
DEADLINE_MS = 6000
RECEIVE_BUFFER = 64 * 1024  # what a client's machine holds for it; with the default it is the same


class LongValues(Host):
    """A sound host that gives long values, each at once and whole."""

    def value(self, parts):
        """Return the value made for a request."""
        return (b"value of %b " % parts[2]).ljust(VALUE_SIZE, b".")


class SlowClient:
    """A client that asks once, and a while later once more on the same connection.

    It has no other fault: it waits for its answers to the end of their time. With `reads_late` it
    takes some seconds before it reads.
    """

    def __init__(self, record, port, number, *, reads_late):
        self.record = record
        self.port = port
        self.number = number
        self.reads_late = reads_late
        self.data = b""
        self.end = "still open"

    def play(self):
        """Play the client; return the id of its first request and whether its value came whole."""
        begin = time.monotonic()
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            sock.connect((HOST, self.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            first = self.send(sock, self.number)
            if not self.reads_late:
                self.read(sock, begin + NEXT_AFTER_S)
            time.sleep(max(0.0, begin + NEXT_AFTER_S - time.monotonic()))
            try:
                self.send(sock, self.number + 100)
            except OSError as error:
                self.record.add(f"client {self.number} can't send: {error}")
            time.sleep(max(0.0, begin + READ_AFTER_S - time.monotonic()))
            self.read(sock, begin + DEADLINE_MS / 1e3 + 0.5)
        head, _, rest = self.data.partition(b"\r\n")
        is_whole = head == b"$%d" % VALUE_SIZE and len(rest) >= VALUE_SIZE + 2
        self.record.add(
            f"client {self.number} has read {head[:60]!r} and {len(rest)} bytes; its connection: "
            f"{self.end}"
        )
        return first, is_whole

    def send(self, sock, number):
        """Send a request; return its id."""
        data, rpc = request(
            "SVC.SUBMIT",
            number,
            "receipt-lodge",
            "national-chain",
            DEADLINE_MS,
            b"sale",
            key=f"{number:016x}",
        )
        sock.sendall(data)
        self.record.add(f"client {self.number} sends {rpc}")
        return rpc

    def read(self, sock, until):
        """Read up to the end of the connection, or a time."""
        try:
            while (left := until - time.monotonic()) > 0:
                sock.settimeout(left)
                part = sock.recv(1 << 16)
                if not part:
                    self.end = "ended by the api gateway"
                    break
                self.data += part
        except TimeoutError:
            pass
        except OSError as error:
            self.end = str(error)
        finally:
            sock.settimeout(None)


async def play(record, processes, folder, has_trouble):
    """Play the case."""
    hosts = [await LongValues(record, f"host-{number}").start() for number in range(1, 10)]
    discovery = await Discovery(hosts).start()
    content = settings(
        [method("rate-lookup", "pure"), method("receipt-lodge", "token", window_s=4.0)],
        [plan("national-chain")],
        1,
    )
    listen = free_port()
    processes.gateway("n1", gateway_config("n1", listen, discovery, content))
    await ready(listen)
    clients = [
        SlowClient(record, listen, number, reads_late=has_trouble)
        for number in range(1, CLIENTS + 1)
    ]
    results = await asyncio.gather(*(asyncio.to_thread(client.play) for client in clients))
    run = {rpc.decode() for host in hosts for _, rpc, _, _ in host.runs}
    violations = []
    for first, is_whole in results:
        if first in run and not is_whole:
            violations.append(f"{first} was taken and run, and its client got no whole answer")
    return violations


run_case(Path(__file__).resolve().parent, play)
