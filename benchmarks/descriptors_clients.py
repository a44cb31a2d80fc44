"""Clients for `descriptors.py`: a crowd that holds connections, and clients that ask RPCs."""

import asyncio
import random
from typing import Any, NamedTuple, cast

from petrellane.net import resp

KINDS = ("silent", "ping", "renew", "half", "long", "flood", "mixed")
PING = resp.encode_command(b"PING")
HALF_PING_BYTES = 4  # of a PING, which come later
LONG_COMMAND_START = resp.encode_command(
    b"SVC.QUERY", b"%016x" % 1, b"r1", b"c=look", b"x" * 2_000_000
)[:70_000]
DIALS_AT_ONCE = 40
DIAL_INTERVAL_S = 0.02
RPC_PATIENCE_S = 3.0
RPC_INTERVAL_S = 0.1

Address = tuple[str, int]


class CrowdConnection(asyncio.Protocol):
    """One connection that is there to hold a descriptor; owned by its crowd while it is open."""

    transport: asyncio.WriteTransport

    def __init__(self, crowd: "Crowd", kind: str) -> None:
        self.crowd = crowd
        self.kind = kind
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send what this kind sends at first, and set its timer."""
        self.transport = cast(asyncio.WriteTransport, transport)
        if self.kind in ("ping", "renew"):
            self.transport.write(PING)
        elif self.kind == "half":
            self.transport.write(PING[:-HALF_PING_BYTES])
        elif self.kind == "long":
            self.transport.write(LONG_COMMAND_START)
        flood_s = self.crowd.random.uniform(0.05, 0.3)
        intervals = {"renew": 1.8, "half": 2.3, "long": 1.0, "flood": flood_s}
        if self.kind in intervals:
            self._set_timer(intervals[self.kind])

    def _set_timer(self, interval_s: float) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(interval_s, self._on_timer, interval_s)

    def _on_timer(self, interval_s: float) -> None:
        if self.kind == "flood":
            self.transport.close()
            return
        half_pings = PING[-HALF_PING_BYTES:] + PING[:-HALF_PING_BYTES]
        data = {"renew": PING, "half": half_pings, "long": b"x"}[self.kind]
        self.transport.write(data)
        self._set_timer(interval_s)

    def connection_lost(self, _error: Exception | None) -> None:
        """Leave the crowd."""
        self.crowd.connections.discard(self)
        if self.timer:
            self.timer.cancel()


class Crowd:
    """Keeps dialling until it has so many connections of a kind."""

    def __init__(self, kind: str, maximum: int, generator: random.Random, address: Address) -> None:
        self.kinds = KINDS[:-1] if kind == "mixed" else (kind,)
        self.maximum = maximum
        self.random = generator
        self.address = address
        self.connections: set[CrowdConnection] = set()
        self.dialling = 0

    async def run(self) -> None:
        """Dial for ever."""
        tasks = set()
        while True:
            missing = self.maximum - len(self.connections) - self.dialling
            for _ in range(min(DIALS_AT_ONCE, missing)):
                self.dialling += 1
                task = asyncio.create_task(self._dial())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(DIAL_INTERVAL_S)

    async def _dial(self) -> None:
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: CrowdConnection(self, self.random.choice(self.kinds)), *self.address
            )
            if not connection.transport.is_closing():
                self.connections.add(connection)
        except OSError:
            pass  # the gateway has no descriptor for it: dialled again
        self.dialling -= 1


def run_crowd(kind: str, maximum: int, seed: int, address: Address) -> None:
    """Run a crowd in a process of its own, so that other parties are as fast as without it."""
    asyncio.run(Crowd(kind, maximum, random.Random(seed), address).run())


class Connection(NamedTuple):
    """Both directions of an open connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class RpcCounts(NamedTuple):
    """What became of a client's RPCs."""

    served: int
    refused: int
    asked: int


class RpcClient:
    """Asks one RPC after another, on a kept connection or each on a new one."""

    def __init__(self, address: Address, keeps_connection: bool) -> None:
        self.address = address
        self.keeps_connection = keeps_connection
        self.connection: Connection | None = None
        self.is_stopped = False
        self.asked = 0
        self.served = 0
        self.refused = 0

    @property
    def counts(self) -> RpcCounts:
        """What became of its RPCs up to now."""
        return RpcCounts(self.served, self.refused, self.asked)

    async def run(self, seed: int) -> None:
        """Ask until it is stopped."""
        generator = random.Random(seed)
        while not self.is_stopped:  # a cancellation can get lost in the wait for an answer
            self.asked += 1
            try:
                rpc = self._ask(generator.getrandbits(30))
                self.served += await asyncio.wait_for(rpc, RPC_PATIENCE_S)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.close()
            if not self.keeps_connection:
                self.close()
            await asyncio.sleep(RPC_INTERVAL_S)

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection:
            self.connection.writer.close()
        self.connection = None

    async def _ask(self, customer: int) -> int:
        """Ask one RPC; 1 where it got a value, 0 where it was refused."""
        if self.connection is None:
            self.connection = Connection(*await asyncio.open_connection(*self.address))
        reader, writer = self.connection
        writer.write(
            resp.encode_command(
                b"SVC.QUERY",
                b"%016x" % customer,
                b"q%d-%d" % (id(self), self.asked),
                b"c=look,t=basic,d=1500,units=1,spread=1,first=0",
            )
        )
        line = await reader.readuntil(b"\r\n")
        if line.startswith(b"-"):
            self.refused += 1
            return 0
        await reader.readexactly(int(line[1:]) + 2)
        return 1


def sum_counts(clients: list[RpcClient]) -> list[int]:
    """Return served, refused and asked RPCs of several clients together."""
    counts: Any = zip(*(client.counts for client in clients), strict=True)
    return [sum(column) for column in counts]
