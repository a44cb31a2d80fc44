"""Fake endpoints, counters and discoveries for `descriptors.py`, on asyncio."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from petrellane.net import resp
from petrellane.net.limits import Limits
from petrellane.testbed.addresses import AddressPool, format_address
from petrellane.testbed.endpoint_rows import EndpointRow, build_endpoint_row

LIMITS = Limits(1 << 16, 1.0, 1.0, 64, 1.0)
READ_BYTES = 1 << 16
BACKLOG = 512
LAST_PORT = 20_000  # addresses are given out above this port
COUNTER_ANSWER = b"$1\r\n1\r\n"
ENDPOINT_ANSWER = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"

Handler = Callable[[str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(frozen=True)
class EndpointList:
    """What one discovery lists."""

    index: int
    hosts: list[str]


_addresses = AddressPool(LAST_PORT)


def free_address() -> str:
    """Return a loopback address that nobody listens on, and that was not returned before."""
    return format_address(_addresses.next_address())


class Peers:
    """The parties around one gateway; lives for one run.

    Attributes:
        first_seen: The first time of each event, as "NAME called" and "NAME asked".
        address: The address of each party by its name.
        lists: What each discovery lists.
    """

    def __init__(self) -> None:
        self.first_seen: dict[str, float] = {}
        self.address: dict[str, str] = {}
        self.lists: dict[str, EndpointList] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._writers: dict[asyncio.StreamWriter, str] = {}

    async def start_all(self) -> None:
        """Start an old and a new discovery, counter and endpoint."""
        for age in ("old", "new"):
            await self.start(f"discovery {age}", self.serve_lists)
            await self.start(f"counter {age}", self.serve_commands)
            await self.start(f"host {age}", self.serve_commands)
        self.lists["discovery old"] = EndpointList(5, ["host old"])
        self.lists["discovery new"] = EndpointList(9, ["host new"])

    async def start(self, name: str, handler: Handler) -> None:
        """Listen as this party, at its address of before if it had one."""

        async def handle_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._mark(name + " called")
            self._writers[writer] = name
            try:
                await handler(name, reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass  # connections break, also by the end of a run
            finally:
                del self._writers[writer]
                writer.close()

        host, port = self.address.setdefault(name, free_address()).split(":")
        self._servers[name] = await asyncio.start_server(
            handle_connection, host, int(port), backlog=BACKLOG
        )

    def stop(self, name: str) -> None:
        """Close a party's listening socket and all of its connections."""
        self._servers[name].close()
        for writer in [writer for writer, owner in self._writers.items() if owner == name]:
            writer.close()

    async def serve_commands(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer each command at once, as a counter or an endpoint."""
        answer = COUNTER_ANSWER if name.startswith("counter") else ENDPOINT_ANSWER
        buffer = bytearray()
        while data := await reader.read(READ_BYTES):
            buffer += data
            while buffer and (command := resp.parse_command(buffer, 0, LIMITS)):
                del buffer[: command[-1]]
                self._mark(name + " asked")
                writer.write(answer)

    async def serve_lists(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer watches as a discovery whose list does not change."""
        while True:
            path = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            self._mark(name + " asked")
            listed = self.lists[name]
            is_watch = f"from={listed.index}&" in path
            if is_watch:
                await asyncio.sleep(int(path.split("hold_ms=")[1]) / 1e3)
            endpoints = [] if is_watch else [self.endpoint_row(host) for host in listed.hosts]
            content = {"index": listed.index, "snapshot": not is_watch, "endpoints": endpoints}
            body = json.dumps(content).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def endpoint_row(self, name: str) -> EndpointRow:
        """Return a host's row of an endpoint list."""
        return build_endpoint_row(name, self.address[name])

    def _mark(self, event: str) -> None:
        self.first_seen.setdefault(event, time.monotonic())
