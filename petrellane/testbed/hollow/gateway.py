"""One hollow gateway: a `GatewayProcess` whose clients, hosts and list are simulated in part."""

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

KNOWN_HOSTS = 52  # that a module knows: one service's fraction of 250 among 13,000
MEAN_ATTEMPT_S = 0.02
RESPONSE = b"x"


class GatewayGroup(Protocol):
    """What a hollow gateway needs of the group that it is in."""

    scheduler: Scheduler
    limits: Limits
    random: random.Random
    tally: Counter[str]
    has_module: bool
    host_count: int

    def entries_by_number(self, endpoint_list: EndpointListUpdate) -> Mapping[int, EndpointEntry]:
        """Return the entries of a list by the numbers of their hosts."""

    def on_list_applied(self, previous_index: int | None, index: int) -> None:
        """Note that a gateway has the list of an index, after that of another."""


class SimulatedAttempt:
    """An attempt that uses no connection, in the form in which the executor gets its end."""

    __slots__ = ("attempt",)

    def __init__(self, attempt: SendAttempt) -> None:
        self.attempt = attempt


class SimulatedEndpointPools:
    """Stands in for `EndpointPools`: every attempt ends ok, after a random time.

    Made by each hollow gateway for its life. Owns the timers of attempts; the figures that the
    gateway's log and its hot restart read are there, and stay zero.
    """

    def __init__(self, executor: ActionExecutor, rng: random.Random) -> None:
        """Begin without an attempt.

        Args:
            executor: Gets the ends of attempts.
            rng: Of the times that attempts take.
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
        """Do nothing: no connection is made."""

    def on_endpoint_removed(self, endpoint: Endpoint) -> None:
        """Do nothing: there is no connection."""

    def send(
        self,
        request: ClientRequest,  # noqa: ARG002 - part of the interface
        attempt: SendAttempt,
    ) -> None:
        """Begin an attempt; it ends at its timeout at the latest."""
        duration = min(self.random.expovariate(1 / MEAN_ATTEMPT_S), attempt.timeout)
        self.timers[attempt] = self.scheduler.call_later(duration, partial(self._end, attempt, OK))

    def _end(self, attempt: SendAttempt, outcome: Outcome) -> None:
        """End an attempt that is still in flight."""
        timer = self.timers.pop(attempt, None)
        if timer:
            timer.cancel()
            pending = cast("PendingAttempt", SimulatedAttempt(attempt))
            self.on_attempt_ended(pending, outcome, RESPONSE, b"")

    def cancel(self, attempt: SendAttempt) -> None:
        """End an attempt as cancelled, in the next turn."""
        self.scheduler.call_soon(self._end, attempt, CANCELLED)

    def on_client_disconnected(
        self, attempts: Iterable[SendAttempt], may_cancel: bool = True
    ) -> None:
        """Do nothing: no client leaves."""

    def expire(self, attempts: Iterable[SendAttempt]) -> None:
        """End the time of some attempts now."""
        for attempt in attempts:
            self._end(attempt, LATE)


class SharedEndpointWatch(EndpointWatch):
    """The watch of the endpoint list, which reads a complete list once for the whole process.

    Each gateway would spend a tenth of a second on 13,000 hosts, one after the other on one core.
    The last complete list that any gateway of the process got is cached.
    """

    complete_lists: ClassVar[dict[bytes, EndpointListUpdate]] = {}

    def decode(self, body: bytes) -> EndpointListUpdate:
        """Return the list of an answer's body."""
        body = bytes(body)
        endpoint_list = self.complete_lists.get(body)
        if endpoint_list is None:
            endpoint_list = parse_endpoint_list(Section(orjson.loads(body), "list"))
            if endpoint_list.full:
                self.complete_lists.clear()
                self.complete_lists[body] = endpoint_list
        return endpoint_list


class HollowGateway(GatewayProcess):
    """One hollow gateway, which reports each list to its group; lives as long as the group."""

    def __init__(
        self, group: GatewayGroup, config: Config, number: int, *, is_at_rest: bool
    ) -> None:
        """Make a gateway that has not started.

        Args:
            group: The group that it is in.
            config: Its configuration.
            number: Its number in the run.
            is_at_rest: Whether it has the list and the settings of a fleet at rest; else it asks
                for both, as after a start.
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
        """Start as any gateway does, but listen for no clients."""
        self.executor.start(self.known_part(self.first_list))
        self.start_background_work()
        self.begin_serving()
        if self.participant and self.is_at_rest:
            status = self.participant.status
            status.responders.update(status.roster)
            status.set_roster(status.roster)
            self.participant.notify_if_ready()

    def make_watch(self, index: int | None) -> EndpointWatch:
        """Return a watch of the endpoint list from a version on; None: from a complete list on."""
        return SharedEndpointWatch(
            self.runtime, self.config.discovery, index, self, self.executor.controller.random
        )

    def known_part(self, endpoint_list: EndpointListUpdate) -> EndpointListUpdate:
        """Return what of a list its module knows: consecutive hosts, by their numbers."""
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

    def on_endpoint_list(self, endpoint_list: EndpointListUpdate) -> None:
        """Apply a list from discovery."""
        self.executor.on_endpoint_list(self.known_part(endpoint_list))
        previous_index = self.list_index
        self.list_index = endpoint_list.index
        self.group.on_list_applied(previous_index, endpoint_list.index)

    def log_figures(self) -> None:
        """Do nothing: the meter's lines have the figures of the whole process."""


class QuietLog:
    """A log without the line of each change of the list, whose times the group reports."""

    def __init__(self, log: Logger) -> None:
        self.log = log

    def event(self, event: str, **figures: object) -> None:
        """Log an event with its figures."""
        if event != "hosts":
            self.log.event(event, **figures)

    def fault(self, error: BaseException) -> None:
        """Log an exception that nothing else caught."""
        self.log.fault(error)
