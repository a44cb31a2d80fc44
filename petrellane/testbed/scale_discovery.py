"""A test double of discovery before thousands of gateways, and hosts that change all the time.

All gateways ask at one listener. Those who ask alike get one response that is made once, and a
watch sleeps until there is news. Nobody's notifications are recorded.
"""

import random
from collections import deque
from collections.abc import Iterable
from typing import Any

import greenlet
import orjson

from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Stream
from petrellane.testbed.endpoint_rows import IN_SERVICE, EndpointRow
from petrellane.testbed.fake_discovery import (
    BUSY_RESPONSE,
    MAXIMUM_HOLD_S,
    DiscoveryListener,
    FakeDiscovery,
    read_request,
)

MAXIMUM_CHANGES = 20_000  # changes remembered; who asks from before gets the complete list


class ScaleDiscovery(FakeDiscovery):
    """Discovery of a scale run, for as long as its process lives."""

    def __init__(self, scheduler: Scheduler, rows: Iterable[EndpointRow], rate: float) -> None:
        """Make discovery with a list of hosts.

        Args:
            scheduler: Of this process.
            rows: The list.
            rate: Requests that are served a second; 0 for no limit.
        """
        super().__init__(scheduler, None)
        self.rows = {row["name"]: row for row in rows}
        self.index = len(self.rows)
        self.rate = rate or float("inf")
        self._changed_names: deque[str] = deque(maxlen=MAXIMUM_CHANGES)  # the last is the newest
        self._responses: dict[int | None, bytes] = {}  # by the index asked from, for this list
        self._sleepers: dict[Stream, Any] = {}  # greenlets of watches

    @property
    def watch_count(self) -> int:
        """Watches that are held."""
        return len(self._sleepers)

    def change(self, name: str, status: str) -> None:
        """Give a host another status, and notify all watches at the end of this turn."""
        self.index += 1
        self.rows[name] = self.rows[name] | {"status": status}
        self._changed_names.append(name)
        self._responses.clear()
        sleepers = self._sleepers
        self._sleepers = {}
        for sleeper in sleepers.values():
            self.scheduler.call_soon(sleeper.switch)

    def response(self, since: int | None) -> bytes:
        """Return what is newer than an index; the complete list for None or one too long ago."""
        if since is not None and not self.index - len(self._changed_names) <= since <= self.index:
            since = None
        if since not in self._responses:
            names: Iterable[str] = self.rows
            if since is not None:
                known_count = len(self._changed_names) - (self.index - since)
                names = list(self._changed_names)[known_count:]
            content = {
                "index": self.index,
                "snapshot": since is None,
                "endpoints": [self.rows[name] for name in dict.fromkeys(names)],
            }
            body = orjson.dumps(content)
            self._responses[since] = (
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body)
            )
        return self._responses[since]

    def serve(self, stream: Stream, _: DiscoveryListener) -> None:
        """Answer the requests of one connection until it ends."""
        while True:
            query = read_request(stream)
            self.calls += 1
            if self.is_overloaded():
                self.refused += 1
                stream.write(BUSY_RESPONSE)
                return
            since = int(query["from"]) if "from" in query else None
            if since == self.index:
                hold_s = min(MAXIMUM_HOLD_S, int(query.get("hold_ms", 0)) / 1e3)
                if hold_s > 0 and self._sleep(stream, hold_s):
                    continue
            stream.write(self.response(since))

    def forget_connection(self, stream: Stream) -> None:
        """Drop the watch of a connection that has ended."""
        self._sleepers.pop(stream, None)

    def _sleep(self, stream: Stream, hold_s: float) -> bool:
        """Hold a watch; return whether the connection ended before there was news."""
        sleeper = greenlet.getcurrent()
        self._sleepers[stream] = sleeper
        stream.reader = sleeper  # resumed at the end of the connection, or the poll would spin
        resumed = self.scheduler.wait(hold_s)
        stream.reader = None
        return self._sleepers.pop(stream, None) is not None and resumed


class EndpointChanges:
    """Hosts that drain and come back, so many a second, from `begin` until `end`."""

    def __init__(
        self,
        scheduler: Scheduler,
        log: Logger,
        discovery: ScaleDiscovery,
        rate: float,
        seed: int,
    ) -> None:
        """Plan changes.

        Args:
            scheduler: Of this process.
            log: Where each change is reported.
            discovery: Has the list.
            rate: Changes a second; 0 for none.
            seed: Of the draws of hosts.
        """
        self._scheduler = scheduler
        self._log = log
        self._discovery = discovery
        self._rate = rate
        self._is_on = False
        self._random = random.Random(f"changes {seed}")
        self._names = list(discovery.rows)

    def begin(self) -> None:
        """Change hosts from now on."""
        self._is_on = self._rate > 0
        if self._is_on:
            self._scheduler.call_later(self._random.random() / self._rate, self._change)

    def end(self) -> None:
        """Change hosts no more."""
        self._is_on = False

    def _change(self) -> None:
        if not self._is_on:
            return
        self._scheduler.call_later(1 / self._rate, self._change)
        name = self._random.choice(self._names)
        is_in_service = self._discovery.rows[name]["status"] == IN_SERVICE
        self._discovery.change(name, "terminating" if is_in_service else IN_SERVICE)
        self._log.event("changed", index=self._discovery.index)
