"""One hollow gateway: a `GatewayProcess` with simulated clients and hosts."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, ClassVar, Protocol, cast

import orjson

from petrellane.config import Config, EndpointListUpdate, Section, parse_endpoint_list
from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.types import CANCELLED, LATE, OK, Endpoint, Outcome
from petrellane.gateway.action_executor import ActionExecutor
from petrellane.gateway.endpoint_watch import EndpointWatch
from petrellane.gateway.process import GatewayProcess
from petrellane.net.limits import Limits
from petrellane.net.scheduler import Scheduler, Timer

if TYPE_CHECKING:
    from petrellane.config.endpoints import EndpointEntry
    from petrellane.gateway.client_request import ClientRequest
    from petrellane.gateway.endpoint_connection import PendingAttempt
    from petrellane.gateway.endpoint_pools import EndpointPools
    from petrellane.gateway.runtime import Address
    from petrellane.net.log import Logger

KNOWN_HOSTS = 52  # hosts that a decision module knows: 1/250 of 13,000
MEAN_ATTEMPT_S = 0.02
RESPONSE = b"x"


class GatewayGroup(Protocol):
    """The interface of the group, as its hollow gateways use it."""

    scheduler: Scheduler
    limits: Limits
    random: random.Random
    tally: Counter[str]
    has_module: bool
    host_count: int

    def entries_by_number(self, endpoint_list: EndpointListUpdate) -> Mapping[int, EndpointEntry]:
        """Return the entries of an endpoint list by host number."""

    def on_list_applied(self, previous_index: int | None, index: int) -> None:
        """Record that a gateway has applied an endpoint list.

        Args:
            previous_index: The index of the list that it had before; None if it had none.
            index: The index of the new list.
        """


class SimulatedAttempt:
    """An attempt without a connection; replaces `PendingAttempt` in the executor's callback."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: SendAttempt) -> None:
        self.attempt = attempt


class SimulatedEndpointPools:
    """Replaces `EndpointPools`: each attempt succeeds after a random time, or times out first.

    Each hollow gateway owns one, which owns the timers of the attempts. The counters that the
    gateway's log and its hot restart read exist and stay zero.
    """

    def __init__(self, executor: ActionExecutor, rng: random.Random) -> None:
        """Initialize the pools without attempts in flight.

        Args:
            executor: The executor that is notified when attempts end.
            rng: The random number generator for the durations of attempts.
        """
        self.scheduler = executor.scheduler
        self.limits = executor.limits
        self.on_attempt_ended = executor.on_attempt_ended
        self.random = rng
        self.pools: dict[Endpoint, object] = {}
        self.counts: Counter[str] = Counter()
        self.open_connections = 0
        self.timers: dict[SendAttempt, Timer] = {}

    def on_endpoint_changed(self, endpoint: Endpoint, address: Address | None) -> None:
        """Do nothing, as there are no connections."""

    def on_endpoint_removed(self, endpoint: Endpoint) -> None:
        """Do nothing, as there are no connections."""

    def send(
        self,
        request: ClientRequest,  # noqa: ARG002 - part of the interface
        attempt: SendAttempt,
    ) -> None:
        """Start an attempt that ends after a random time, at most after its timeout."""
        duration = min(self.random.expovariate(1 / MEAN_ATTEMPT_S), attempt.timeout)
        self.timers[attempt] = self.scheduler.call_later(duration, partial(self._end, attempt, OK))

    def _end(self, attempt: SendAttempt, outcome: Outcome) -> None:
        """End an attempt if it is still in flight."""
        timer = self.timers.pop(attempt, None)
        if timer:
            timer.cancel()
            pending = cast("PendingAttempt", SimulatedAttempt(attempt))
            self.on_attempt_ended(pending, outcome, RESPONSE, b"")

    def cancel(self, attempt: SendAttempt) -> None:
        """End an attempt as cancelled, in the next scheduler turn."""
        self.scheduler.call_soon(self._end, attempt, CANCELLED)

    def on_client_disconnected(
        self, attempts: Iterable[SendAttempt], may_cancel: bool = True
    ) -> None:
        """Do nothing, as simulated clients do not disconnect."""

    def expire(self, attempts: Iterable[SendAttempt]) -> None:
        """End some attempts as timed out."""
        for attempt in attempts:
            self._end(attempt, LATE)


class SharedEndpointWatch(EndpointWatch):
    """A watch of the endpoint list that parses each complete list once per process.

    Parsing 13,000 hosts takes a tenth of a second, which all gateways of the process would spend
    one after the other on the same core. The class caches the complete list that was parsed last.
    Each hollow gateway owns a watch.
    """

    complete_lists: ClassVar[dict[bytes, EndpointListUpdate]] = {}

    def decode(self, body: bytes) -> EndpointListUpdate:
        """Return the endpoint list in the body of an answer."""
        body = bytes(body)
        endpoint_list = self.complete_lists.get(body)
        if endpoint_list is None:
            endpoint_list = parse_endpoint_list(Section(orjson.loads(body), "list"))
            if endpoint_list.full:
                self.complete_lists.clear()
                self.complete_lists[body] = endpoint_list
        return endpoint_list


class HollowGateway(GatewayProcess):
    """One hollow gateway, owned by its group, to which it reports each applied endpoint list."""

    def __init__(
        self, group: GatewayGroup, config: Config, number: int, *, is_at_rest: bool
    ) -> None:
        """Create a gateway without starting it.

        Args:
            group: The group that owns the gateway.
            config: The configuration of the gateway.
            number: The number of the gateway in the run.
            is_at_rest: Whether the gateway starts with the endpoint list and the settings of a
                fleet in steady state; otherwise it requests both, as after a restart.
        """
        super().__init__(config, limits=group.limits, scheduler=group.scheduler)
        self.group = group
        self.number = number
        self.is_at_rest = is_at_rest
        self.first_list = config.known
        self.list_index = config.known.index if is_at_rest else None
        pools = SimulatedEndpointPools(self.executor, group.random)
        self.endpoint_pools = cast("EndpointPools", pools)
        self.executor.endpoint_pools = self.endpoint_pools
        self.executor.log = cast("Logger", QuietLog(self.log))
        self.executor.counts = group.tally

    def start(self) -> None:
        """Start the gateway without a listener for clients."""
        self.executor.start(self.known_part(self.first_list))
        self.start_background_work()
        self.begin_serving()
        if self.participant and self.is_at_rest:
            status = self.participant.status
            status.responders.update(status.roster)
            status.set_roster(status.roster)
            self.participant.notify_if_ready()

    def make_watch(self, index: int | None) -> EndpointWatch:
        """Return a watch of the endpoint list.

        Args:
            index: The index of the list that the gateway has; None to request a complete list.
        """
        return SharedEndpointWatch(
            self.runtime, self.config.discovery, index, self, self.executor.controller.random
        )

    def known_part(self, endpoint_list: EndpointListUpdate) -> EndpointListUpdate:
        """Return the part of an endpoint list for the decision module: consecutive host numbers."""
        if not self.group.has_module:
            return replace(endpoint_list, entries=[])
        first = self.number * KNOWN_HOSTS
        host_count = self.group.host_count
        entries = self.group.entries_by_number(endpoint_list)
        known_numbers = [
            (first + offset) % host_count for offset in range(min(KNOWN_HOSTS, host_count))
        ]
        known = [entries[number] for number in known_numbers if number in entries]
        return replace(endpoint_list, entries=known)

    def on_watch_failed(self) -> None:
        """Report that a request for the endpoint list failed."""
        self.executor.on_watch_failed()

    def on_endpoint_list(self, endpoint_list: EndpointListUpdate) -> int:
        """Apply a list from discovery, and return the version that the next changes continue."""
        self.executor.endpoint_lists.apply(self.known_part(endpoint_list))
        previous_index = self.list_index
        self.list_index = endpoint_list.index
        self.group.on_list_applied(previous_index, endpoint_list.index)
        return endpoint_list.index

    def log_figures(self) -> None:
        """Do nothing, as the meter logs the figures of the whole process."""


class QuietLog:
    """A log without the event `hosts`, as the group reports the times of endpoint list changes.

    Each hollow gateway owns one, which wraps its logger.
    """

    def __init__(self, log: Logger) -> None:
        self.log = log

    def event(self, event: str, **figures: object) -> None:
        """Log an event with its fields, unless it is `hosts`."""
        if event != "hosts":
            self.log.event(event, **figures)

    def fault(self, error: BaseException) -> None:
        """Log an uncaught exception."""
        self.log.fault(error)
