"""The simulated discovery service, which sends the endpoint list to gateways.

Each gateway receives the changes of the list in order, after a random delay that faults increase.
Until the first fault of discovery, the simulation notifies every gateway of a change directly,
which avoids the cost of simulating polls. From that fault on, gateways poll discovery with the
backoff that they use on real connections.
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
"""The defaults in `petrellane/net/limits.py` for a gateway that has an endpoint list."""

STALE_S = 1.0  # seconds; the age of the endpoint list that a starting gateway has
MIN_NOTIFICATION_DELAY = 0.02  # seconds
NOTIFICATION_JITTER = 0.4  # seconds

REFUSED = "refused"  # polls fail immediately
SILENT = "silent"  # polls time out without an answer
REJECTING = "turned away"  # discovery rejects the polls above a rate limit


class EndpointRow(NamedTuple):
    """One row of the endpoint list; `started_at` is None for a start before the run."""

    endpoint: SimulatedEndpoint
    state: str
    started_at: float | None


class SimulatedDiscovery:
    """Owns the endpoint list of one run and notifies gateways of its changes.

    `FleetSimulation` owns it.

    Attributes:
        rows: The current list, including the endpoints that are gone.
        index: The version of the list: the number of changes so far.
        changed_at: The version of the last change of each endpoint.
        extra_delay: The maximum delay that faults add to a notification, in seconds.
        active_faults: The number of active faults of each kind.
        polls: The number of polls that gateways sent in each second of the run.
        rejected_polls: The number of these polls that discovery rejected.
        simulation: The simulation that the service belongs to.
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
        # The client of each live gateway; None until the first fault of discovery.
        self._clients: dict[SimulatedGateway, DiscoveryClient] | None = None

    def full_list(self) -> list[EndpointRow]:
        """Return the current list without the endpoints that are gone."""
        return [row for row in self.rows.values() if row.state != GONE]

    def stale_list(self) -> list[EndpointRow]:
        """Return the outdated list that a gateway has at its start."""
        return [row for row in self._stale_rows.values() if row.state != GONE]

    def update(self, endpoint: SimulatedEndpoint, state: str) -> None:
        """Change the state of an endpoint in the list and notify the gateways."""
        row = EndpointRow(endpoint, state, endpoint.started_at)
        self.rows[endpoint] = row
        self.simulation.events.schedule_after(STALE_S, self._set_stale_row, row)
        self.index += 1
        self.changed_at[endpoint] = self.index
        for gateway in self.simulation.live_gateways():
            if self._clients is None:
                self.notify(gateway, False, [row])
            else:
                self._clients[gateway].answer_watch()

    def _set_stale_row(self, row: EndpointRow) -> None:
        self._stale_rows[row.endpoint] = row

    def detect(self, endpoint: SimulatedEndpoint, state: str, factor: float = 1.0) -> None:
        """Detect a state after a random delay, if the endpoint is still in that state then.

        Args:
            endpoint: The endpoint whose state has changed.
            state: The new state, READY or GONE.
            factor: The factor by which the maximum detection delay is longer than usual.
        """
        delay = self._rng.random() * self.simulation.world.detection_delay * factor
        self.simulation.events.schedule_after(delay, self._update_if_current, endpoint, state)

    def _update_if_current(self, endpoint: SimulatedEndpoint, state: str) -> None:
        is_up = endpoint.is_alive and not endpoint.is_unreachable
        row = self.rows[endpoint]
        is_known = row.state == state and row.started_at == endpoint.started_at
        if is_up == (state == READY) and not is_known:
            self.update(endpoint, state)

    def notify(self, gateway: SimulatedGateway, is_full: bool, rows: Iterable[EndpointRow]) -> None:
        """Send rows to a gateway, which receives them after all rows sent earlier."""
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
        """Start the watch of a gateway, which receives the full list first."""
        if self._clients is None:
            self.notify(gateway, True, self.full_list())
            return
        client = DiscoveryClient(self, gateway)
        self._clients[gateway] = client
        client.poll()

    def begin_fault(self, kind: str, rate_limit: float = 0.0) -> Callable[[], None]:
        """Begin a fault, which interrupts all watches.

        Args:
            kind: The kind of fault: REFUSED, SILENT or REJECTING.
            rate_limit: The polls per second that discovery still answers, for REJECTING.

        Returns:
            The function that ends the fault.
        """
        if self._clients is None:
            self._clients = {
                gateway: DiscoveryClient(self, gateway, self.index)
                for gateway in self.simulation.live_gateways()
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
        """Return whether a new poll exceeds the rate limit; if not, count it as served."""
        now = self.simulation.events.now
        while self._served_at and self._served_at[0] <= now - 1.0:
            self._served_at.popleft()
        if self._rate_limits and len(self._served_at) >= min(self._rate_limits):
            return True
        self._served_at.append(now)
        return False


class DiscoveryClient:
    """Sends the polls of one incarnation of a gateway; `SimulatedDiscovery` owns it."""

    def __init__(
        self,
        discovery: SimulatedDiscovery,
        gateway: SimulatedGateway,
        version: int | None = None,
    ) -> None:
        """Initialize a client; `version` is that of the gateway's list, None without a list."""
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
        """Start a poll that discovery holds until the list changes or the hold expires."""
        self._poll_number += 1
        self._backoff.start_poll(self._events.now, self._version is not None)
        self._is_watching = True
        self._schedule(self._backoff.remaining_hold(self._events.now), self._on_hold_expired)

    def _schedule(self, seconds: float, function: Callable[..., None], *arguments: object) -> None:
        """Schedule a call that is skipped if a poll has started or ended by then."""
        self._events.schedule_after(
            seconds, self._call_if_current, self._poll_number, function, arguments
        )

    def _call_if_current(
        self, poll_number: int, function: Callable[..., None], arguments: tuple[object, ...]
    ) -> None:
        if poll_number == self._poll_number and self._incarnation == self._gateway.incarnation:
            function(*arguments)

    def poll(self) -> None:
        """Send a poll, which reaches discovery without delay.

        Without a fault, discovery answers it when the list has changes or the hold expires.
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
        """Answer the current poll if its gateway lacks changes of the list."""
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

    def _on_hold_expired(self) -> None:
        self._on_success(has_changes=False)

    def _on_success(self, *, has_changes: bool) -> None:
        """End an answered poll, and send the next one after a round trip."""
        self._end_poll()
        self._backoff.on_success(has_changes)
        self._schedule(2 * self._discovery.simulation.world.latency, self.poll)

    def _on_failure(self, failure: PollFailure) -> None:
        self._end_poll()
        self._schedule(self._backoff.pause_after(failure, self._events.now), self.poll)

    def _time_out(self) -> None:
        """Let the current poll fail at its timeout, without an answer."""
        self._end_poll()
        remaining = self._backoff.deadline - self._events.now
        self._schedule(remaining, self._on_failure, PollFailure.TIMED_OUT)

    def _end_poll(self) -> None:
        self._poll_number += 1
        self._is_watching = False

    def break_watch(self, kind: str) -> None:
        """Interrupt the watch at the start of a fault: it fails immediately or times out."""
        if not self._is_watching:
            return
        if kind == SILENT:
            self._time_out()
        else:
            self._on_failure(PollFailure.FAILED)
