"""The endpoint list, indexed so that a change to it or a draw costs the same at any size.

The list contains no probabilities and no tuned values: `load_balancing` decides what is drawn and
why. The list tracks which endpoints are ready and which are still warming up under the slow-start
settings. The capacity of a warming endpoint grows linearly from the endpoint's start.
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
        """Return whether an endpoint is in this zone."""
        return endpoint.zone == self.zone


class PodScope(NamedTuple):
    """The endpoints of one pod."""

    pod: int

    def includes(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in this pod."""
        return endpoint.pod == self.pod


Scope: TypeAlias = ZoneScope | PodScope | None
"""The endpoints that an attempt may go to; None for any endpoint."""


class Sampler(Protocol):
    """Draws distinct members, as `random.Random.sample` does."""

    def __call__(self, population: Sequence[Endpoint], k: int, /) -> list[Endpoint]:
        """Return `k` members."""


class EndpointChange(Enum):
    """How an event changed an endpoint that remains in the list."""

    NEW = auto()
    RESTARTED = auto()
    CHANGED = auto()


class EndpointUpdate(NamedTuple, Generic[Health]):
    """An endpoint that an event changed, with its health."""

    endpoint: Endpoint
    health: Health
    change: EndpointChange


class EndpointList(dict[Endpoint, Health], Generic[Health]):
    """The listed endpoints, each with its health, which `make_health` creates for a new endpoint.

    Owned by the load balancer for the life of the process. Only `apply_events` and `set_slow_start`
    change its content.
    """

    def __init__(self, make_health: Callable[[], Health]) -> None:
        super().__init__()
        self._make_health = make_health
        self.slow_start = 0.0  # seconds that an endpoint warms up after its start
        self.slow_start_minimum = 1.0  # fraction of its capacity that it starts with
        self._reset_index()

    def _reset_index(self) -> None:
        # The key READY has all ready endpoints. Warm ones are also under the key of each scope that
        # includes them: None for any endpoint, their zone and their pod.
        self.groups: IndexedGroups[Endpoint] = IndexedGroups()
        self.ready_weight = 0.0  # sum of the weights of all ready endpoints, warm or not
        # The warming endpoints, and the warm endpoints whose rows are not dropped yet.
        self.start_times: StartTimes[Endpoint] = StartTimes()
        self.warm_row_count = 0  # number of leading rows of `start_times` that are warm

    def set_slow_start(self, slow_start: float, slow_start_minimum: float) -> None:
        """Set the duration of the slow start and the fraction of capacity that it begins with."""
        if (slow_start, slow_start_minimum) == (self.slow_start, self.slow_start_minimum):
            return
        self.slow_start = slow_start
        self.slow_start_minimum = slow_start_minimum
        self._reset_index()
        for endpoint in self:
            self._add_to_index(endpoint, -math.inf)  # `advance_warm_up` finds the warm ones

    def apply_events(
        self, now: float, is_full: bool, events: Iterable[EndpointEvent]
    ) -> list[EndpointUpdate[Health]]:
        """Apply an endpoint list or changes to it, at a cost proportional to the number of rows.

        Args:
            now: The time.
            is_full: Whether the list is complete, so that endpoints without an event are gone.
            events: The rows; a weight of 0 counts as 1.

        Returns:
            The listed endpoints that are new or changed.
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
        """Apply one row; return None if nothing changed or the endpoint is gone."""
        endpoint = event.endpoint
        is_new = endpoint not in self
        has_restarted = event.started_at != endpoint.started_at
        if not is_new:
            if _is_unchanged(event, endpoint):
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
        """Add an endpoint to the index; it is warm if it started by `warm_before`."""
        if endpoint.state != READY:
            return
        self.ready_weight += endpoint.weight
        if endpoint.started_at > warm_before:
            self.groups.add(endpoint, (READY,))
            self.start_times.add(endpoint.started_at, endpoint.weight, endpoint)
        else:
            self.groups.add(endpoint, (READY, None, endpoint.zone, endpoint.pod))

    def _remove_from_index(self, endpoint: Endpoint) -> None:
        """Remove an endpoint from the index, before its fields change."""
        if endpoint.state != READY:
            return
        self.groups.remove(endpoint, (READY,))
        if self.groups.contains(endpoint, None):
            self.groups.remove(endpoint, (None, endpoint.zone, endpoint.pod))
        has_ready = bool(self.groups.members_of(READY))
        self.ready_weight = self.ready_weight - endpoint.weight if has_ready else 0.0
        index = self.start_times.remove(endpoint.started_at, endpoint)
        if index is not None and index < self.warm_row_count:
            self.warm_row_count -= 1

    def advance_warm_up(self, now: float) -> float:
        """Add the endpoints that have become warm to the scopes that endpoints are drawn from.

        Returns:
            The time by which an endpoint must have started to be warm. The amortized cost is
            constant for each endpoint.
        """
        is_slow = bool(self.slow_start) and self.slow_start_minimum < 1
        warm_before = now - self.slow_start if is_slow else math.inf
        first_warming = self.start_times.index_after(warm_before)
        for _, _, endpoint in self.start_times.rows[self.warm_row_count : first_warming]:
            self.groups.add(endpoint, (None, endpoint.zone, endpoint.pod))
        dropped = self.start_times.drop_until(warm_before)
        self.warm_row_count = max(first_warming, self.warm_row_count) - dropped
        return warm_before

    def ready(self) -> Sequence[Endpoint]:
        """Return all ready endpoints, warm or not."""
        return self.groups.members_of(READY)

    def sample(self, sampler: Sampler, count: int) -> list[tuple[Endpoint, Health]]:
        """Return up to `count` randomly drawn ready endpoints, with their health."""
        return self._sample_from(sampler, count, self.ready())

    def sample_warm(
        self, sampler: Sampler, count: int, scope: Scope
    ) -> list[tuple[Endpoint, Health]]:
        """Return up to `count` randomly drawn warm endpoints of a scope, with their health.

        An endpoint is warm if the last `advance_warm_up` found it warm.
        """
        return self._sample_from(sampler, count, self.groups.members_of(_group_key(scope)))

    def _sample_from(
        self, sampler: Sampler, count: int, endpoints: Sequence[Endpoint]
    ) -> list[tuple[Endpoint, Health]]:
        drawn = sampler(endpoints, min(len(endpoints), count))
        return [(endpoint, self[endpoint]) for endpoint in drawn]

    def warming_capacity(self, now: float) -> float:
        """Return the current capacity of the warming endpoints; 0.0 if all endpoints are warm.

        The unit is the capacity of a warm standard endpoint.
        """
        self.advance_warm_up(now)
        return self._capacity_of_rows(self.warm_row_count, len(self.start_times), now)

    def warming_endpoint_at(self, point: float, now: float) -> Endpoint:
        """Return the warming endpoint at a point in the range from 0 to `warming_capacity`.

        Each endpoint covers a part of that range that is as long as its current capacity.
        """
        first = self.warm_row_count
        last = len(self.start_times)

        def capacity_through(row: int) -> float:
            return self._capacity_of_rows(first, row + 1, now)

        below = bisect_right(range(first, last - 1), point, key=capacity_through)
        return self.start_times.rows[first + below].member

    def _capacity_of_rows(self, first: int, last: int, now: float) -> float:
        """Return the current capacity of the rows from `first` up to, but excluding, `last`."""
        if first >= last:
            return 0.0
        grown = self.start_times.total_age(first, last, now) / self.slow_start
        minimum = self.slow_start_minimum
        return minimum * self.start_times.total_size(first, last) + (1 - minimum) * grown

    def capacity(self, now: float) -> float:
        """Return the current capacity of all ready endpoints, in the unit of `warming_capacity`."""
        warming = self.warming_capacity(now)
        warming_weight = self.start_times.total_size(self.warm_row_count, len(self.start_times))
        return warming + self.ready_weight - warming_weight


def _group_key(scope: Scope) -> str | int | None:
    """Return the index key for the endpoints of a scope."""
    if isinstance(scope, ZoneScope):
        return scope.zone
    if isinstance(scope, PodScope):
        return scope.pod
    return None


def _is_unchanged(event: EndpointEvent, endpoint: Endpoint) -> bool:
    """Return whether an event describes an endpoint as it already is."""
    return event[1:] == (
        endpoint.zone,
        endpoint.kind,
        endpoint.pod,
        endpoint.state,
        endpoint.weight,
        endpoint.started_at,
    )
