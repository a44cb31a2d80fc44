"""A repeat is written to the end after the hosts have forgotten its key, and has its effect twice."""

import asyncio
import contextlib
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    HOST,
    Client,
    Discovery,
    Server,
    command,
    fields_of,
    free_port,
    gateway_config,
    method,
    plan,
    ready,
    run_case,
    settings,
    value_reply,
)

WINDOW_S = 4.0  # for which all hosts drop a repeat
DEADLINE_S = 6.0
BODY_SIZE = 3_000_000  # of at most 4 MiB
HOSTS = 9
HANG_S = 20.0  # the first host answers nothing for so long, of 5.6 to 24 s
SLOW_UNTIL_S = 4.3  # so long after the first run, the second host reads at full speed
RECEIVE_BUFFER = 64 * 1024
SLOW_PIECE = 8 * 1024  # bytes that a slow host reads every 0.1 s
SEGMENT = 1460  # bytes of a TCP segment on an ordinary network; loopback has 64 KiB


class Hosts:
    """What all hosts of the group share: the keys that they have seen, and the effects."""

    def __init__(self, record, has_trouble):
        self.record = record
        self.has_trouble = has_trouble
        self.seen = {}
        self.effects = []
        self.attempts = 0


class KeyedHost(Server):
    """A host of a deduplicated class: it drops a repeat for `WINDOW_S` after the first run."""

    def __init__(self, group, name):
        super().__init__()
        self.group = group
        self.name = name

    async def start(self, port=0):
        """Listen with the segments and the buffer of a host on a network."""
        sock = host_socket(port or free_port())
        self.server = await asyncio.start_server(self._handle, sock=sock, limit=RECEIVE_BUFFER)
        self.port = sock.getsockname()[1]
        return self

    async def serve(self, reader, writer):
        while True:
            count = int((await reader.readuntil(b"\r\n"))[1:])
            parts = [await self.read_part(reader) for _ in range(count)]
            await self.run(parts, writer)

    async def read_part(self, reader):
        """Read one part; the second host reads a long one slowly at first."""
        size = int((await reader.readuntil(b"\r\n"))[1:]) + 2
        if size > RECEIVE_BUFFER:
            slowly = ", slowly" if self.is_slow() else ""
            self.group.record.add(f"{self.name} begins to read a body{slowly}")
        pieces = []
        while size:
            is_slow = self.is_slow()
            piece = await reader.read(min(size, SLOW_PIECE if is_slow else RECEIVE_BUFFER))
            if not piece:
                raise ConnectionError
            pieces.append(piece)
            size -= len(piece)
            if is_slow:
                await asyncio.sleep(0.1)
        return b"".join(pieces)[:-2]

    def is_slow(self):
        """Return whether this host reads slowly now: once another one has run the request."""
        group = self.group
        if not group.has_trouble or not group.effects:
            return False
        at, name = group.effects[0]
        return name != self.name and group.record.now() < at + SLOW_UNTIL_S

    async def run(self, parts, writer):
        """Run a request, unless its key is remembered, and answer it."""
        group = self.group
        fields = fields_of(parts[3])
        now = group.record.now()
        group.attempts += 1
        key = fields["k"]
        rpc = parts[2].decode()
        if now < group.seen.get(key, 0.0):
            group.record.add(f"{self.name} gets {rpc} whole, d={fields['d']}: drops the repeat")
        else:
            group.seen[key] = now + WINDOW_S
            group.record.add(f"{self.name} gets {rpc} whole, d={fields['d']}: runs it")
            group.effects.append((now, self.name))
        if group.has_trouble and group.attempts == 1:
            group.record.add(f"{self.name} hangs: it answers nothing")
            await asyncio.sleep(HANG_S)
            raise ConnectionError
        writer.write(value_reply(b"value of " + parts[2]))


def host_socket(port):
    """Return a bound socket of a host."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    sock.bind((HOST, port))
    return sock


def system_holds():
    """Return the bytes that the system takes for a host that does not read yet."""
    listener = host_socket(free_port())
    listener.listen()
    with listener, socket.create_connection(listener.getsockname()) as sock:
        sock.setblocking(False)
        taken = 0
        end = time.monotonic() + 1.0
        while time.monotonic() < end:
            with contextlib.suppress(BlockingIOError):
                taken += sock.send(bytes(BODY_SIZE))
            time.sleep(0.01)
    return taken


async def play(record, processes, folder, has_trouble):
    """Play the case."""
    held = system_holds()
    record.add(f"the system holds {held} bytes of {BODY_SIZE} for a host that does not read")
    if held >= BODY_SIZE // 2:
        raise RuntimeError("the system holds whole commands here: the case shows nothing")
    group = Hosts(record, has_trouble)
    hosts = [await KeyedHost(group, f"host-{number}").start() for number in range(1, HOSTS + 1)]
    discovery = await Discovery(hosts).start()
    content = settings(
        [
            method("rate-lookup", "pure", deadline_s=4.0, objective_s=1.0),
            method("receipt-lodge", "token", window_s=WINDOW_S, deadline_s=DEADLINE_S),
        ],
        [plan("national-chain")],
        1,
    )
    listen = free_port()
    processes.gateway("n1", gateway_config("n1", listen, discovery, content))
    await ready(listen)
    client = await Client.connect(listen)
    fields = f"c=receipt-lodge,t=national-chain,d={int(DEADLINE_S * 1e3)},k=5c0f6e1a2b3d4c59"
    record.add(f"client sends {1:016x} with a body of {BODY_SIZE} bytes")
    reply = await client.ask(
        command("SVC.SUBMIT", f"{0x1001:016x}", f"{1:016x}", fields, bytes(BODY_SIZE)),
        DEADLINE_S + 2.0,
    )
    record.add(f"client reads {reply!r}")
    await asyncio.sleep(1.0)
    if len(group.effects) > 1:
        times = ", ".join(f"{at:.3f} s at {name}" for at, name in group.effects)
        return [f"{1:016x} had its effect {len(group.effects)} times: {times}"]
    return []


run_case(Path(__file__).resolve().parent, play)
