"""A drain resets the connection of a client that reads slowly, and answers are lost with it."""

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
    http,
    method,
    plan,
    ready,
    request,
    run_case,
    settings,
)

REQUESTS = 8
VALUE_SIZE = 60 * 1024  # of at most 64 KiB
DRAIN_AFTER_S = 0.6  # all requests have been run and answered by then
READ_AFTER_S = 2.5  # the client takes so long before it reads
SEND_EVERY_S = 0.25
DEADLINE_MS = 6000


class LongValues(Host):
    """A sound host whose values are near the limit of 64 KiB."""

    def value(self, parts):
        """Return the value made for a request."""
        return (b"value of %b " % parts[2]).ljust(VALUE_SIZE, b".")


class SlowClient:
    """A client that sends on its connection as long as that is open, and reads after a while."""

    def __init__(self, record, port):
        self.record = record
        self.sock = socket.create_connection((HOST, port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.number = 0
        self.first = []

    def send(self):
        """Send one more request; return its id."""
        self.number += 1
        data, rpc = request(
            "SVC.SUBMIT",
            self.number,
            "receipt-lodge",
            "national-chain",
            DEADLINE_MS,
            b"sale",
            key=f"{self.number:016x}",
        )
        self.sock.sendall(data)
        self.record.add(f"client sends {rpc}")
        return rpc

    def play(self):
        """Send, wait and read; return the values that came whole and how the connection ended."""
        begin = time.monotonic()
        self.first = [self.send() for _ in range(REQUESTS)]
        while (left := begin + READ_AFTER_S - time.monotonic()) > 0:
            time.sleep(min(left, SEND_EVERY_S))
            try:
                self.send()
            except OSError as error:
                self.record.add(f"client can send no more: {error}")
                break
        time.sleep(max(0.0, begin + READ_AFTER_S - time.monotonic()))
        return self.read(begin + DEADLINE_MS / 1e3 + 0.5)

    def read(self, until):
        """Read up to the end of the connection or a time."""
        data = b""
        end = "it is still open"
        try:
            while (left := until - time.monotonic()) > 0:
                self.sock.settimeout(left)
                part = self.sock.recv(1 << 16)
                if not part:
                    end = "end of the stream"
                    break
                data += part
        except TimeoutError:
            pass
        except OSError as error:
            end = str(error)
        self.sock.close()
        replies = []
        while data:
            head, _, rest = data.partition(b"\r\n")
            if head[:1] != b"$":
                replies.append(head)
                data = rest
                continue
            size = int(head[1:])
            if len(rest) < size + 2:
                self.record.add(f"the last value is cut: {len(rest)} bytes of {size}")
                break
            replies.append(rest[:size])
            data = rest[size + 2 :]
        return replies, end


async def play(record, processes, folder, has_trouble):
    """Play the case."""
    hosts = [await LongValues(record, f"host-{number}").start() for number in (1, 2, 3)]
    discovery = await Discovery(hosts).start()
    content = settings(
        [method("rate-lookup", "pure"), method("receipt-lodge", "token", window_s=4.0)],
        [plan("national-chain")],
        1,
    )
    listen, management = free_port(), free_port()
    config = gateway_config(
        "n1", listen, discovery, content, management=f"{HOST}:{management}"
    )
    processes.gateway("n1", config)
    await ready(listen)
    client = SlowClient(record, listen)
    playing = asyncio.create_task(asyncio.to_thread(client.play))
    await asyncio.sleep(DRAIN_AFTER_S)
    run_before = {rpc.decode() for host in hosts for _, rpc, _, _ in host.runs}
    if has_trouble:
        status = await http(management, "POST", "/-/drain")
        record.add(f"POST /-/drain: {status}")
    replies, end = await playing
    for reply in replies:
        record.add(f"client reads {reply.rstrip(b'.')[:60]!r}, {len(reply)} bytes")
    record.add(f"the connection: {end}")
    record.add(f"run before the drain: {len(run_before)}, answers read: {len(replies)}")
    # Only the requests that came before the drain, and that hosts have run, count.
    lost = [
        rpc
        for place, rpc in enumerate(client.first)
        if rpc in run_before and place >= len(replies)
    ]
    return [f"{rpc} was taken and run, and its client got no answer" for rpc in lost]


run_case(Path(__file__).resolve().parent, play)
