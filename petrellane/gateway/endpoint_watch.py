"""The watch of the endpoint list: it goes on while discovery answers, and restarts when it fails.

When discovery is asked next is decided in `petrellane/operation/backoff.py`. A list is checked to
its last row before any of it is passed on, so that a malformed one changes nothing; the next
request asks for changes since its version once it is in force. Rows are checked a chunk in a turn,
and the list is passed on by a call that may wait likewise.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import orjson

from petrellane.config import ConfigError, EndpointListUpdate, Section, iter_endpoint_entries
from petrellane.net import http
from petrellane.net.resp import Malformed
from petrellane.net.stream import Closed, Stream
from petrellane.operation.backoff import Backoff, PollFailure, PollTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from petrellane.gateway.runtime import Address, Runtime

PATH = "/registry/instances"
STATUS_OK = 200


class DiscoveryRejectedError(Malformed):
    """Discovery is there and answers with an error status: it has more to do than it can."""


class EndpointListConsumer(Protocol):
    """Whom the lists are for."""

    def on_endpoint_list(self, endpoint_list: EndpointListUpdate) -> None:
        """Apply a list, which may wait for other turns."""

    def on_watch_failed(self) -> None:
        """Note the first failed request in a row."""

    def is_applying_endpoint_list(self) -> bool:
        """Return whether a list is being applied, during which no other may be given."""


class EndpointWatch:
    """One watch of the list at one address.

    Made by `GatewayProcess`, which runs it in a greenlet of its own and ends it when discovery
    moves. Owns the connection to discovery. One line of the log says that discovery is away, and
    one that it is back. A request has one time for its dial and its answer, however that comes.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        index: int | None,
        consumer: EndpointListConsumer,
        random: Callable[[], float],
    ) -> None:
        """Prepare to watch.

        Args:
            runtime: Scheduler, limits and log.
            address: Where discovery is.
            index: The version that is in force; None asks for a complete list.
            consumer: Whom the lists are for.
            random: Draws from 0 to 1, for the backoff.
        """
        self.scheduler = runtime.scheduler
        self.limits = runtime.limits
        self.log = runtime.log
        self.address = address
        self.index = index
        self.consumer = consumer
        first_interval = self.limits.first_watch_interval
        if index is not None:
            first_interval = self.limits.watch_interval
        self.backoff = Backoff(
            random,
            PollTimes(
                max_interval=self.limits.watch_interval,
                first_interval=first_interval,
                max_hold=self.limits.max_watch_hold,
                grace=self.limits.watch_grace,
                poll_timeout=self.limits.watch_timeout,
                initial_pause=self.limits.initial_backoff,
            ),
        )
        self.stream: Stream | None = None
        self.is_ended = False

    def end(self) -> None:
        """Stop watching: whatever still comes is not passed on."""
        self.is_ended = True
        if self.stream:
            self.stream.close()

    def run(self) -> None:
        """Watch until the end."""
        while not self.is_ended:
            error = self._watch_until_failure()
            if error is not None:
                self.scheduler.wait(self._pause_after(error))

    def _watch_until_failure(self) -> Exception | None:
        """Watch on one connection.

        The connection is closed before a pause, as nobody reads from it meanwhile: what the peer
        had ended would be ready at every poll.

        Returns:
            The failure; None where the connection just does not go on, or at the end.
        """
        stream = None
        try:
            until = self._begin_request()
            stream = Stream.dial(
                self.scheduler, self.limits, self.address, until - self.scheduler.now()
            )
            self.stream = stream
            while self._apply(*self._request(stream, until)) and not self.is_ended:
                until = self._begin_request()
        except (OSError, Closed, Malformed, ConfigError, ValueError) as error:
            if self.is_ended:
                return None
            self._report_failure(error)
            return error
        finally:
            if stream:
                stream.close()
        return None

    def _begin_request(self) -> float:
        """Return the time by which a request that begins now has to be answered."""
        until: float = self.backoff.start_poll(self.scheduler.now(), self.index is not None)
        return until

    def _report_failure(self, error: Exception) -> None:
        """Report the first failure in a row."""
        if not self.backoff.is_failing:
            self.log.event("discovery_unreachable", error=str(error))
            self.consumer.on_watch_failed()

    def _pause_after(self, error: Exception) -> float:
        """Return how long to wait after a failure, in seconds."""
        outcome = PollFailure.FAILED
        if isinstance(error, TimeoutError):
            outcome = PollFailure.TIMED_OUT
        elif isinstance(error, DiscoveryRejectedError):
            outcome = PollFailure.REJECTED
        pause: float = self.backoff.pause_after(outcome, self.scheduler.now())
        return pause

    def _request(self, stream: Stream, until: float) -> tuple[EndpointListUpdate, bool]:
        """Ask once; return the list or its changes, and whether the connection goes on."""
        limits = self.limits
        path = PATH
        if self.index is not None:  # an index of 0 is one too
            hold_ms = int(self.backoff.remaining_hold(self.scheduler.now()) * 1e3)
            path += f"?from={self.index}&hold_ms={hold_ms}"
        stream.write(http.encode_get(path, f"{self.address[0]}:{self.address[1]}"))
        while not (found := http.parse_response_head(stream.buffer, limits)):
            http.read_more(stream, until)
        status, fields, end = found
        if status != STATUS_OK:  # what else it says may have no end
            raise DiscoveryRejectedError(f"status {status}")
        del stream.buffer[:end]
        endpoint_list = self.decode(http.read_body(stream, fields, limits, until))
        return endpoint_list, http.is_keep_alive(fields)

    def decode(self, body: bytes) -> EndpointListUpdate:
        """Return the list of an answer's body, checked a chunk of its rows in a turn.

        Raises:
            ConfigError: A row is malformed.
            ValueError: The body is no JSON.
            Closed: The watch has ended meanwhile.
        """
        section = Section(orjson.loads(body), "list")
        endpoint_list = EndpointListUpdate(section.integer("index"), section.flag("snapshot"), [])
        for entry in iter_endpoint_entries(section):
            endpoint_list.entries.append(entry)
            if not len(endpoint_list.entries) % self.limits.list_rows_per_turn:
                self._yield_turn()
        return endpoint_list

    def _yield_turn(self) -> None:
        """Let others have their turn; raise Closed where the watch has ended in it."""
        self.scheduler.wait(0)
        if self.is_ended:
            raise Closed("ended here")

    def _apply(self, endpoint_list: EndpointListUpdate, is_lasting: bool) -> bool:
        """Pass on what a request brought; return whether the connection goes on."""
        index = endpoint_list.index
        if self.index is not None and index < self.index and not endpoint_list.full:
            self.log.event("discovery_restarted", before=self.index, index=index)
            self.index = None  # its numbers began anew: what they count from is not what we have
            return is_lasting
        if self.backoff.is_failing:
            self.log.event("discovery_recovered", index=index)
        self.backoff.on_success(bool(endpoint_list.entries))
        while self.consumer.is_applying_endpoint_list():
            self._yield_turn()
        self.consumer.on_endpoint_list(endpoint_list)
        self.index = index
        if not endpoint_list.entries:  # guards against answers without end
            self.scheduler.wait(self.limits.unchanged_watch_delay)
        return is_lasting
