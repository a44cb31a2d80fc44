"""The endpoint list: late at random, later still by faults, and in order at each gateway.

From the first fault of discovery on, gateways poll it by the rules that they have on sockets. Until
then a change is notified to every gateway directly, which saves the calls.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

from petrellane.decisions.types import GONE, READY
from petrellane.operation.backoff import Backoff, PollFailure, PollTimes
from petrellane.simulation.event_queue import seeded_random

if TYPE_CHECKING:
    from petrellane.simulation.endpoints import SimulatedEndpoint
    from petrellane.simulation.fleet import FleetSimulation
    from petrellane.simulation.gateways import SimulatedGateway

POLL_TIMES = PollTimes(
    max_interval=5.0,
    first_interval=5.0,
    max_hold=3.8,
    grace=1.0,
    poll_timeout=2.0,
    initial_pause=0.1,
)
"""As petrellane/net/limits.py has them."""

STALE_S = 1.0  # seconds by which a list is old that a starting gateway has kept
MIN_NOTIFICATION_DELAY = 0.02  # seconds
NOTIFICATION_JITTER = 0.4  # seconds

REFUSED = "refused"  # no poll arrives
SILENT = "silent"  # no poll is answered
REJECTING = "turned away"  # no poll is answered over so many a second


class EndpointRow(NamedTuple):
    """One endpoint as the list has it; `started_at` is None where that was before the run."""

    endpoint: SimulatedEndpoint
    state: str
    started_at: float | None


class SimulatedDiscovery:
    """Owns the endpoint list of one run and notifies gateways of its changes.

    Attributes:
        rows: The list as it is now, with the endpoints that are gone.
        index: Counts the changes of the list.
        changed_at: The index of the last change of each endpoint.
        extra_delay: Maximum of the seconds by which faults delay a notification.
        active_faults: How many faults of each kind are on.
        polls: How many polls came in each second.
        rejected_polls: How many of them were rejected.
    """

    def __init__(self, simulation: FleetSimulation) -> None:
        self.rows = {
            endpoint: EndpointRow(endpoint, READY, None) for endpoint in simulation.endpoints
        }
        self.index = 0
        self.changed_at: dict[SimulatedEndpoint, int] = {}
        self.extra_delay = 0.0
        self.active_faults: Counter[str] = Counter()
        self.polls: Counter[int] = Counter()
        self.rejected_polls: Counter[int] = Counter()
        self.simulation = simulation
        self._rng = seeded_random(simulation.world.seed, "discovery")
        self._stale_rows = dict(self.rows)
        self._last_notification_at: dict[SimulatedGateway, float] = {}
        self._rate_limits: list[float] = []
        self._served_at: deque[float] = deque()
        # The clients of living gateways, from the first fault on.
        self._clients: dict[SimulatedGateway, DiscoveryClient] | None = None

    def full_list(self) -> list[EndpointRow]:
        """The list without the endpoints that are gone."""
        return [row for row in self.rows.values() if row.state != GONE]

    def stale_list(self) -> list[EndpointRow]:
        """The list that a gateway has kept from before its start."""
        return [row for row in self._stale_rows.values() if row.state != GONE]

    def update(self, endpoint: SimulatedEndpoint, state: str) -> None:
        """Discovery itself learns of a state now."""
        row = EndpointRow(endpoint, state, endpoint.started_at)
        self.rows[endpoint] = row
        self.simulation.events.schedule_after(STALE_S, self._set_stale_row, row)
        self.index += 1
        self.changed_at[endpoint] = self.index
        for gateway in self.simulation.living_gateways():
            if self._clients is None:
                self.notify(gateway, False, [row])
            else:
                self._clients[gateway].answer_watch()

    def _set_stale_row(self, row: EndpointRow) -> None:
        self._stale_rows[row.endpoint] = row

    def detect(self, endpoint: SimulatedEndpoint, state: str, factor: float = 1.0) -> None:
        """Discovery learns of a state within the world's delay, if it is still so then.

        Args:
            endpoint: What it learns of.
            state: READY or GONE.
            factor: By how much the delay is longer than usual.
        """
        delay = self._rng.random() * self.simulation.world.detection_delay * factor
        self.simulation.events.schedule_after(delay, self._update_if_so, endpoint, state)

    def _update_if_so(self, endpoint: SimulatedEndpoint, state: str) -> None:
        is_up = endpoint.is_alive and not endpoint.is_unreachable
        row = self.rows[endpoint]
        is_known = row.state == state and row.started_at == endpoint.started_at
        if is_up == (state == READY) and not is_known:
            self.update(endpoint, state)

    def notify(self, gateway: SimulatedGateway, is_full: bool, rows: Iterable[EndpointRow]) -> None:
        """Send rows to a gateway, which gets them after those that were sent before."""
        events = self.simulation.events
        time = max(
            events.now
            + MIN_NOTIFICATION_DELAY
            + NOTIFICATION_JITTER * self._rng.random()
            + self.extra_delay * self._rng.random(),
            self._last_notification_at.get(gateway, 0.0),
        )
        self._last_notification_at[gateway] = time
        events.schedule_at(
            time,
            gateway.deliver,
            gateway.incarnation,
            gateway.on_endpoint_list,
            is_full,
            rows,
        )

    def watch(self, gateway: SimulatedGateway) -> None:
        """A gateway begins to watch: it gets the full list as it is when the answer leaves."""
        if self._clients is None:
            self.notify(gateway, True, self.full_list())
            return
        client = DiscoveryClient(self, gateway)
        self._clients[gateway] = client
        client.poll()

    def begin_fault(self, kind: str, rate_limit: float = 0.0) -> Callable[[], None]:
        """Begin a fault, which breaks all watches.

        Args:
            kind: REFUSED, SILENT or REJECTING.
            rate_limit: Polls a second that are served, for REJECTING.

        Returns:
            What ends the fault.
        """
        if self._clients is None:
            self._clients = {
                gateway: DiscoveryClient(self, gateway, self.index)
                for gateway in self.simulation.living_gateways()
            }
            for client in self._clients.values():
                client.start_poll()
        self.active_faults[kind] += 1
        if rate_limit:
            self._rate_limits.append(rate_limit)
        for client in self._clients.values():
            client.break_watch(kind)

        def end() -> None:
            self.active_faults[kind] -= 1
            if rate_limit:
                self._rate_limits.remove(rate_limit)

        return end

    def is_over_rate_limit(self) -> bool:
        """Whether the poll that comes now is one too many; if not, it counts as served."""
        now = self.simulation.events.now
        while self._served_at and self._served_at[0] <= now - 1.0:
            self._served_at.popleft()
        if self._rate_limits and len(self._served_at) >= min(self._rate_limits):
            return True
        self._served_at.append(now)
        return False


class DiscoveryClient:
    """The polls of one incarnation of a gateway."""

    def __init__(
        self,
        discovery: SimulatedDiscovery,
        gateway: SimulatedGateway,
        version: int | None = None,
    ) -> None:
        """Make a client that has the list up to a version; None for no list."""
        self._discovery = discovery
        self._gateway = gateway
        self._incarnation = gateway.incarnation
        self._version = version
        self._events = discovery.simulation.events
        self._poll_number = 0
        self._is_watching = False
        rng = seeded_random(
            discovery.simulation.world.seed, "calls", gateway.name, gateway.incarnation
        )
        self._backoff = Backoff(rng.random, POLL_TIMES)

    def start_poll(self) -> None:
        """Begin a poll that discovery holds until there are changes."""
        self._poll_number += 1
        self._backoff.start_poll(self._events.now, self._version is not None)
        self._is_watching = True
        self._schedule(self._backoff.remaining_hold(self._events.now), self._on_hold_over)

    def _schedule(self, seconds: float, function: Callable[..., None], *arguments: object) -> None:
        """Schedule a call that is not made where this poll is over by then."""
        self._events.schedule_after(
            seconds, self._call_if_current, self._poll_number, function, arguments
        )

    def _call_if_current(
        self, poll_number: int, function: Callable[..., None], arguments: tuple[object, ...]
    ) -> None:
        if poll_number == self._poll_number and self._incarnation == self._gateway.incarnation:
            function(*arguments)

    def poll(self) -> None:
        """Send a poll, which arrives at once.

        It is answered when there are changes, or when its hold is over.
        """
        discovery = self._discovery
        second = int(self._events.now)
        discovery.polls[second] += 1
        self.start_poll()
        self._is_watching = False
        if discovery.active_faults[REFUSED]:
            self._on_failure(PollFailure.FAILED)
        elif discovery.active_faults[SILENT]:
            self._time_out()
        elif discovery.is_over_rate_limit():
            discovery.rejected_polls[second] += 1
            self._on_failure(PollFailure.REJECTED)
        else:
            self._is_watching = True
            self.answer_watch()

    def answer_watch(self) -> None:
        """Answer the poll in progress, if its gateway lacks changes."""
        discovery = self._discovery
        if (
            not self._is_watching
            or self._version == discovery.index
            or self._incarnation != self._gateway.incarnation
        ):
            return
        discovery.notify(self._gateway, self._version is None, self._missing_rows())
        self._version = discovery.index
        self._on_success(has_changes=True)

    def _missing_rows(self) -> list[EndpointRow]:
        discovery = self._discovery
        if self._version is None:
            return discovery.full_list()
        return [
            row
            for endpoint, row in discovery.rows.items()
            if discovery.changed_at.get(endpoint, 0) > self._version
        ]

    def _on_hold_over(self) -> None:
        self._on_success(has_changes=False)

    def _on_success(self, *, has_changes: bool) -> None:
        """The poll was answered; the next one follows the answer."""
        self._end_poll()
        self._backoff.on_success(has_changes)
        self._schedule(2 * self._discovery.simulation.world.latency, self.poll)

    def _on_failure(self, failure: PollFailure) -> None:
        self._end_poll()
        self._schedule(self._backoff.pause_after(failure, self._events.now), self.poll)

    def _time_out(self) -> None:
        """No answer comes: the poll fails at its time limit."""
        self._end_poll()
        remaining = self._backoff.deadline - self._events.now
        self._schedule(remaining, self._on_failure, PollFailure.TIMED_OUT)

    def _end_poll(self) -> None:
        self._poll_number += 1
        self._is_watching = False

    def break_watch(self, kind: str) -> None:
        """A fault begins: the watch ends at once, or stays without an answer."""
        if not self._is_watching:
            return
        if kind == SILENT:
            self._time_out()
        else:
            self._on_failure(PollFailure.FAILED)
