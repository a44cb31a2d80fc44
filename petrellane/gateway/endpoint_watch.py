"""Watches the endpoint list at discovery, and retries after failures.

`petrellane/operation/backoff.py` decides when the next request starts. A list is validated
completely before the consumer receives it, so a malformed list changes nothing. Once the list is in
force, the next request asks for changes since its version. To keep turns short, the watch validates
a chunk of rows per turn. Applying the list may take several turns too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from petrellane.config import ConfigError
from petrellane.gateway.endpoint_list_codec import ChunkedTurns, decode_endpoint_list
from petrellane.net import http
from petrellane.net.resp import Malformed
from petrellane.net.stream import Closed, Stream
from petrellane.operation.backoff import Backoff, PollFailure, PollTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    from petrellane.config import EndpointListUpdate
    from petrellane.gateway.runtime import Address, Runtime

ENDPOINT_LIST_PATH = "/registry/instances"
STATUS_OK = 200


class DiscoveryRejectedError(Malformed):
    """Discovery is reachable but answers with an error status, as when it is overloaded."""


class EndpointListConsumer(Protocol):
    """The receiver of the lists."""

    def on_endpoint_list(self, endpoint_list: EndpointListUpdate) -> int | None:
        """Apply a list; the call may yield turns to other work.

        Returns:
            The version since which changes are requested next; None for a complete list.
        """

    def on_watch_failed(self) -> None:
        """Handle the first of consecutive failures."""

    def is_applying_endpoint_list(self) -> bool:
        """Return whether a list is being applied; the watch delivers the next one afterwards."""


class EndpointWatch:
    """A watch of the endpoint list at one address of discovery.

    `GatewayProcess` creates it, runs it in its own greenlet, and ends it when the address of
    discovery changes. It owns the connection to discovery. It logs one line when discovery becomes
    unreachable and one when discovery recovers. A single deadline covers the dial, the request and
    the response, however slowly the response arrives.
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
            runtime: The scheduler, the limits and the log.
            address: The address of discovery.
            index: The version of the list that is in force; None to request a complete list.
            consumer: The receiver of the lists.
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
        """Stop watching; a response that is still pending is discarded."""
        self.is_ended = True
        if self.stream:
            self.stream.close()

    def run(self) -> None:
        """Watch until `end`."""
        while not self.is_ended:
            error = self._watch_until_failure()
            if error is not None:
                self.scheduler.wait(self._retry_delay(error))

    def _watch_until_failure(self) -> Exception | None:
        """Watch on one connection until it fails or closes.

        The connection is closed before the retry delay, because no greenlet reads from it during
        the delay. If the peer closed it then, every poll would return immediately.

        Returns:
            The failure; None if the connection is not kept alive, or the watch has ended.
        """
        stream = None
        try:
            deadline = self._begin_request()
            stream = Stream.dial(
                self.scheduler, self.limits, self.address, deadline - self.scheduler.now()
            )
            self.stream = stream
            while self._apply(*self._request(stream, deadline)) and not self.is_ended:
                deadline = self._begin_request()
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
        """Start a request in the backoff schedule and return its deadline, in Unix seconds."""
        deadline: float = self.backoff.start_poll(self.scheduler.now(), self.index is not None)
        return deadline

    def _report_failure(self, error: Exception) -> None:
        """Report a failure, unless the request before failed too."""
        if not self.backoff.is_failing:
            self.log.event("discovery_unreachable", error=str(error))
            self.consumer.on_watch_failed()

    def _retry_delay(self, error: Exception) -> float:
        """Return the delay before the next request after a failure, in seconds."""
        outcome = PollFailure.FAILED
        if isinstance(error, TimeoutError):
            outcome = PollFailure.TIMED_OUT
        elif isinstance(error, DiscoveryRejectedError):
            outcome = PollFailure.REJECTED
        delay: float = self.backoff.pause_after(outcome, self.scheduler.now())
        return delay

    def _request(self, stream: Stream, deadline: float) -> tuple[EndpointListUpdate, bool]:
        """Send one request.

        Returns:
            The complete list or the changes, and whether the connection is kept alive.
        """
        limits = self.limits
        path = ENDPOINT_LIST_PATH
        if self.index is not None:  # 0 is a valid version
            hold_ms = int(self.backoff.remaining_hold(self.scheduler.now()) * 1e3)
            path += f"?from={self.index}&hold_ms={hold_ms}"
        stream.write(http.encode_get(path, f"{self.address[0]}:{self.address[1]}"))
        while not (found := http.parse_response_head(stream.buffer, limits)):
            http.read_more(stream, deadline)
        status, fields, end = found
        if status != STATUS_OK:  # the body is not read, because it may never end
            raise DiscoveryRejectedError(
                f"HTTP status {status} from discovery, expected {STATUS_OK}"
            )
        stream.buffer.consume(end)
        body = http.read_body(stream, fields, limits, deadline)
        turns = ChunkedTurns(limits.list_rows_per_turn, self._yield_turn)
        endpoint_list = decode_endpoint_list(body, turns)
        if not endpoint_list.full:
            endpoint_list.since = self.index
        return endpoint_list, http.is_keep_alive(fields)

    def _yield_turn(self) -> None:
        """Yield to other work for one turn.

        Raises:
            Closed: The watch has ended while this method waited.
        """
        self.scheduler.wait(0)
        if self.is_ended:
            raise Closed("the endpoint watch has ended")

    def _apply(self, endpoint_list: EndpointListUpdate, is_keep_alive: bool) -> bool:
        """Handle a parsed list; return whether the connection is kept alive."""
        index = endpoint_list.index
        if self.index is not None and index < self.index and not endpoint_list.full:
            self.log.event("discovery_restarted", before=self.index, index=index)
            self.index = None  # discovery restarted its numbering: request a complete list
            return is_keep_alive
        if self.backoff.is_failing:
            self.log.event("discovery_recovered", index=index)
        self.backoff.on_success(bool(endpoint_list.entries))
        while self.consumer.is_applying_endpoint_list():
            self._yield_turn()
        self.index = self.consumer.on_endpoint_list(endpoint_list)
        if not endpoint_list.entries:  # bounds the request rate if discovery does not hold requests
            self.scheduler.wait(self.limits.unchanged_watch_delay)
        return is_keep_alive
