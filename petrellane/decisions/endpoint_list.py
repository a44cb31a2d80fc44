"""The endpoint list, indexed so that a change of it and a draw cost the same at any size.

No odds and no tuned values are here: `load_balancing` decides what is drawn for which reason. The
list knows which endpoints are ready and which are still warming up, as the settings of the slow
start say. A warming endpoint has a part of its capacity that grows evenly from its start on.
"""

import math
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from enum import Enum, auto
from typing import Generic, NamedTuple, Protocol, TypeAlias, TypeVar

from petrellane.decisions.endpoint_index import IndexedGroups, StartTimes
from petrellane.decisions.types import GONE, READY, Endpoint, EndpointEvent

Health = TypeVar("Health")


class ZoneScope(NamedTuple):
    """The endpoints of one zone."""

    zone: str

    def includes(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is one of them."""
        return endpoint.zone == self.zone


class PodScope(NamedTuple):
    """The endpoints of one pod."""

    pod: int

    def includes(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is one of them."""
        return endpoint.pod == self.pod


Scope: TypeAlias = ZoneScope | PodScope | None
"""Which endpoints an attempt may go to; None for any."""


class Sampler(Protocol):
    """Draws distinct members, as `random.Random.sample` does."""

    def __call__(self, population: Sequence[Endpoint], k: int, /) -> list[Endpoint]:
        """Draw `k` members."""


class EndpointChange(Enum):
    """What an event says of an endpoint that stays in the list."""

    NEW = auto()
    RESTARTED = auto()
    CHANGED = auto()


class EndpointUpdate(NamedTuple, Generic[Health]):
    """An endpoint that an event changed, with what is known of it."""

    endpoint: Endpoint
    health: Health
    change: EndpointChange


class EndpointList(dict[Endpoint, Health], Generic[Health]):
    """Each endpoint of the list with its health, which `make_health` makes for a new one.

    Owned by the load balancer for the life of the process. Only `apply_events` and
    `set_slow_start` change its content.
    """

    def __init__(self, make_health: Callable[[], Health]) -> None:
        super().__init__()
        self._make_health = make_health
        self.slow_start = 0.0  # seconds from its start for which an endpoint is warming up
        self.slow_start_minimum = 1.0  # the part of its capacity that it starts with
        self._reset_index()

    def _reset_index(self) -> None:
        # Ready endpoints are under READY, those of them that are warm also under each scope: under
        # None for any endpoint, and under their zone and pod.
        self.groups: IndexedGroups[Endpoint] = IndexedGroups()
        self.ready_weight = 0.0  # of all ready endpoints, warm or not
        self.starts: StartTimes[Endpoint] = StartTimes()  # of the warming ones, oldest first
        self.warm_rows = 0  # so many rows of `starts` are warm by now

    def set_slow_start(self, slow_start: float, slow_start_minimum: float) -> None:
        """Set for how many seconds endpoints warm up, and from which part of their capacity."""
        if (slow_start, slow_start_minimum) == (self.slow_start, self.slow_start_minimum):
            return
        self.slow_start = slow_start
        self.slow_start_minimum = slow_start_minimum
        self._reset_index()
        for endpoint in self:
            self._add_to_index(endpoint, -math.inf)  # `advance_warm_up` finds those that are warm

    def apply_events(
        self, now: float, is_full: bool, events: Iterable[EndpointEvent]
    ) -> list[EndpointUpdate[Health]]:
        """Take over a list or changes to it, at a cost in step with its rows.

        Args:
            now: The time.
            is_full: Whether endpoints that no event names are gone.
            events: The rows; a weight of 0 counts as 1.

        Returns:
            The endpoints of the list that are new or changed.
        """
        warm_before = self.advance_warm_up(now)
        if is_full:
            named = {event.endpoint for event in events}
            for endpoint in [endpoint for endpoint in self if endpoint not in named]:
                self._remove_from_index(endpoint)
                endpoint.state = GONE
                del self[endpoint]
        updates = []
        for event in events:
            change = self._apply_event(event, warm_before)
            if change is not None:
                updates.append(EndpointUpdate(event.endpoint, self[event.endpoint], change))
        return updates

    def _apply_event(self, event: EndpointEvent, warm_before: float) -> EndpointChange | None:
        """Take over one row; None where nothing changed or the endpoint is gone."""
        endpoint = event.endpoint
        is_new = endpoint not in self
        has_restarted = event.started_at != endpoint.started_at
        if not is_new:
            if _describes(event, endpoint):
                return None
            self._remove_from_index(endpoint)
        endpoint.zone = event.zone
        endpoint.kind = event.kind
        endpoint.pod = event.pod
        endpoint.state = event.state
        endpoint.weight = event.weight or 1.0
        endpoint.started_at = event.started_at
        if endpoint.state == GONE:
            self.pop(endpoint, None)
            return None
        if is_new:
            self[endpoint] = self._make_health()
        self._add_to_index(endpoint, warm_before)
        if is_new:
            return EndpointChange.NEW
        return EndpointChange.RESTARTED if has_restarted else EndpointChange.CHANGED

    def _add_to_index(self, endpoint: Endpoint, warm_before: float) -> None:
        """Index an endpoint as it stands; it is warm where it started by `warm_before`."""
        if endpoint.state != READY:
            return
        self.ready_weight += endpoint.weight
        if endpoint.started_at > warm_before:
            self.groups.add(endpoint, (READY,))
            self.starts.add(endpoint.started_at, endpoint.weight, endpoint)
        else:
            self.groups.add(endpoint, (READY, None, endpoint.zone, endpoint.pod))

    def _remove_from_index(self, endpoint: Endpoint) -> None:
        """Remove an endpoint from the index before it changes."""
        if endpoint.state != READY:
            return
        self.groups.remove(endpoint, (READY,))
        if self.groups.contains(endpoint, None):
            self.groups.remove(endpoint, (None, endpoint.zone, endpoint.pod))
        has_ready = bool(self.groups.members_of(READY))
        self.ready_weight = self.ready_weight - endpoint.weight if has_ready else 0.0
        index = self.starts.remove(endpoint.started_at, endpoint)
        if index is not None and index < self.warm_rows:
            self.warm_rows -= 1

    def advance_warm_up(self, now: float) -> float:
        """Move the endpoints that are warm by now into the scopes that are drawn from.

        Returns:
            The time by which an endpoint must have started to be warm. Over time the cost is a
            constant number of steps for each endpoint.
        """
        is_slow = bool(self.slow_start) and self.slow_start_minimum < 1
        warm_before = now - self.slow_start if is_slow else math.inf
        first_warming = self.starts.index_after(warm_before)
        for _, _, endpoint in self.starts.rows[self.warm_rows : first_warming]:
            self.groups.add(endpoint, (None, endpoint.zone, endpoint.pod))
        dropped = self.starts.drop_until(warm_before)
        self.warm_rows = max(first_warming, self.warm_rows) - dropped
        return warm_before

    def ready(self) -> Sequence[Endpoint]:
        """All endpoints that are ready, warm or not."""
        return self.groups.members_of(READY)

    def sample(self, sampler: Sampler, number: int) -> list[tuple[Endpoint, Health]]:
        """Draw so many ready endpoints, or all there are, with their health."""
        return self._sample_from(sampler, number, self.ready())

    def sample_warm(
        self, sampler: Sampler, number: int, scope: Scope
    ) -> list[tuple[Endpoint, Health]]:
        """Draw so many of a scope's endpoints that were warm when the warm-up last advanced."""
        return self._sample_from(sampler, number, self.groups.members_of(_group_key(scope)))

    def _sample_from(
        self, sampler: Sampler, number: int, endpoints: Sequence[Endpoint]
    ) -> list[tuple[Endpoint, Health]]:
        drawn = sampler(endpoints, min(len(endpoints), number))
        return [(endpoint, self[endpoint]) for endpoint in drawn]

    def warming_capacity(self, now: float) -> float:
        """The capacity of the warming endpoints by now, in warm ones; 0.0 where all are warm."""
        self.advance_warm_up(now)
        return self._capacity_of_rows(self.warm_rows, len(self.starts), now)

    def warming_endpoint_at(self, point: float, now: float) -> Endpoint:
        """The warming endpoint on which a point from 0 up to `warming_capacity` falls.

        Each has a part of that range as long as its capacity by now.
        """
        first = self.warm_rows
        last = len(self.starts)

        def capacity_through(row: int) -> float:
            return self._capacity_of_rows(first, row + 1, now)

        below = bisect_right(range(first, last - 1), point, key=capacity_through)
        return self.starts.rows[first + below].member

    def _capacity_of_rows(self, first: int, last: int, now: float) -> float:
        """The capacity by now, in warm endpoints, of rows of `starts` up to, without, `last`."""
        if first >= last:
            return 0.0
        grown = self.starts.total_age(first, last, now) / self.slow_start
        minimum = self.slow_start_minimum
        return minimum * self.starts.total_size(first, last) + (1 - minimum) * grown

    def capacity(self, now: float) -> float:
        """The capacity of all ready endpoints by now, in warm ones."""
        warming = self.warming_capacity(now)
        warming_weight = self.starts.total_size(self.warm_rows, len(self.starts))
        return warming + self.ready_weight - warming_weight


def _group_key(scope: Scope) -> str | int | None:
    """The key in the index of the endpoints of a scope."""
    if isinstance(scope, ZoneScope):
        return scope.zone
    if isinstance(scope, PodScope):
        return scope.pod
    return None


def _describes(event: EndpointEvent, endpoint: Endpoint) -> bool:
    """Whether an event says of an endpoint what is known already."""
    return event[1:] == (
        endpoint.zone,
        endpoint.kind,
        endpoint.pod,
        endpoint.state,
        endpoint.weight,
        endpoint.started_at,
    )
