"""The hosts of the last list, kept so that a change of the list and a draw cost the same however many there are.

Nothing is decided here: no odds, no tuned value, no clock, no I/O. `petrellane/decisions/controller.py` says what is known of a host, and
what is drawn for which reason. `Groups` holds members under keys: one is put or taken out in a constant number of steps, and
a key's members are a list that a draw can index (the gap that one leaves is filled by the last). `Starts` holds members in
the order of their starts, with prefix sums: a sum over them in which each adds in step with its age takes a binary search,
and so does the member on which a lot in that sum falls. `Highest` is the most of a value over a time. `Hosts` is the list
itself: readiness, and warmth, which the settings say and which grows evenly from a host's start.
"""

import math
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from itertools import accumulate
from operator import itemgetter

from petrellane.decisions.types import GONE, READY, Endpoint, EndpointEvent

START = itemgetter(0)
NEW, AGAIN, CHANGED = "new", "started again", "changed"  # what a list may say of a host


class Groups:
    """Members under keys; a key without members takes no memory."""

    def __init__(self) -> None:
        self.members: dict[Hashable, list] = {}
        self.places: dict[Hashable, dict] = {}  # key -> member -> its index in the list

    def put(self, member: Hashable, keys: Iterable[Hashable]) -> None:
        """Put a member under keys that it is not under yet."""
        for key in keys:
            rows = self.members.setdefault(key, [])
            self.places.setdefault(key, {})[member] = len(rows)
            rows.append(member)

    def take(self, member: Hashable, keys: Iterable[Hashable]) -> None:
        """Take a member out from under these keys; KeyError where it is not there."""
        for key in keys:
            rows, places = self.members[key], self.places[key]
            at, last = places.pop(member), rows.pop()
            if at < len(rows):
                rows[at], places[last] = last, at
            if not rows:
                del self.members[key], self.places[key]

    def has(self, member: Hashable, key: Hashable) -> bool:
        """Whether a member is under a key."""
        return member in self.places.get(key, ())

    def of(self, key: Hashable) -> Sequence:
        """All members under a key, in no order that means anything; not to be changed."""
        return self.members.get(key, ())


class Starts:
    """Members with a start (seconds of any clock) and a size, in the order of starts; among equal ones as they came."""

    def __init__(self) -> None:
        self.rows: list[tuple] = []  # (start, size, member)
        self.sizes, self.moments = (
            [0.0],
            [0.0],
        )  # over the first so many rows: sizes, and sizes by start since `base`
        self.base, self.summed = 0.0, 0  # so many rows are added up

    def __len__(self) -> int:
        return len(self.rows)

    def put(self, start: float, size: float, member: Hashable) -> None:
        """Put a member in its place."""
        at = bisect_right(self.rows, start, key=START)
        self.rows.insert(at, (start, size, member))
        self.summed = min(self.summed, at)

    def take(self, start: float, member: Hashable) -> int | None:
        """Take out a member that was put with this start; the index it had, None where it is not there."""
        at = bisect_left(self.rows, start, key=START)
        while at < len(self.rows) and self.rows[at][0] == start:
            if self.rows[at][2] is member:
                del self.rows[at]
                self.summed = min(self.summed, at)
                return at
            at += 1
        return None

    def forget(self, until: float) -> int:
        """Drop those that started by then, once they are most of all: a constant number of steps for each in the end. How
        many were dropped."""
        old = self.after(until)
        if 2 * old <= len(self.rows):
            return 0
        del self.rows[:old]
        self.summed = 0
        return old

    def after(self, time: float) -> int:
        """The index of the first that started later than this; the number of rows where none did."""
        return bisect_right(self.rows, time, key=START)

    def add_up(self) -> None:
        """Bring the sums up to date behind the first row that changed: a step for each row behind it."""
        if self.summed < len(self.rows):
            if not self.summed:
                self.base = self.rows[0][
                    0
                ]  # near the starts: a sum of times since long ago would lose digits
            rows, base = self.rows[self.summed :], self.base
            for sums, parts in (
                (self.sizes, [size for _, size, _ in rows]),
                (self.moments, [size * (start - base) for start, size, _ in rows]),
            ):
                sums[self.summed :] = accumulate(parts, initial=sums[self.summed])
            self.summed = len(self.rows)

    def size(self, first: int, last: int) -> float:
        """The sizes of the rows from `first` up to, without, `last`."""
        self.add_up()
        return self.sizes[last] - self.sizes[first]

    def grown(self, first: int, last: int, now: float) -> float:
        """Their sizes, each times the seconds since its start; 0 for what has a start to come."""
        self.add_up()
        last = max(first, min(last, self.after(now)))
        return (now - self.base) * (self.sizes[last] - self.sizes[first]) - (
            self.moments[last] - self.moments[first]
        )


class Highest:
    """The highest value of the last `span` seconds; of the values, those that a later one passed are not kept, and at most
    `MOST` are: beyond that the oldest goes."""

    MOST = 4096

    def __init__(self, span: float) -> None:
        self.span, self.values = span, deque(maxlen=self.MOST)  # (at, value), falling

    def put(self, at: float, value: float) -> None:
        """Note a value; times must not go back."""
        while self.values and self.values[-1][1] <= value:
            self.values.pop()
        self.values.append((at, value))

    def most(self, now: float) -> float:
        """The highest by now; 0.0 where there is none."""
        while self.values and now - self.values[0][0] > self.span:
            self.values.popleft()
        return self.values[0][1] if self.values else 0.0


class EndpointList(dict):
    """Host -> what is known of it, which `known` makes for a new one. Only `listed` and `warms` change what is in it."""

    def __init__(self, known: Callable[[], object]) -> None:
        super().__init__()
        self.known, self.groups, self.size = known, Groups(), 0.0  # shares of all that are ready
        self.cold_for, self.cold_from = 0.0, 1.0
        self.starts, self.passed = (
            Starts(),
            0,
        )  # those that are cold, behind so many that are warm by now

    def warms(self, cold_for: float, cold_from: float) -> None:
        """A host is cold for so many seconds from its start, and has then that share of its capacity, which grows evenly."""
        if (cold_for, cold_from) != (self.cold_for, self.cold_from):
            self.cold_for, self.cold_from = cold_for, cold_from
            self.groups, self.starts, self.passed, self.size = Groups(), Starts(), 0, 0.0
            for host in self:
                self.count_in(host, -math.inf)  # `warm_up` sorts out who is warm

    def listed(self, now: float, full: bool, rows: Iterable[EndpointEvent]) -> list[tuple]:
        """Take over a list, or changes to it, at a cost in step with its rows; what a whole one leaves out is gone. What it
        says anew of hosts that stay: (host, what is known, NEW, AGAIN or CHANGED). A share of 0 counts as 1."""
        edge = self.warm_up(now)
        if full:
            named = {row.endpoint for row in rows}
            for host in [host for host in self if host not in named]:
                self.count_out(host)
                host.state = GONE
                del self[host]
        told = []
        for row in rows:
            host, known = row.endpoint, self.get(row.endpoint)
            share, again = row.weight or 1.0, row.started_at != host.started_at
            if known is not None:
                if row[1:] == (
                    host.zone,
                    host.kind,
                    host.pod,
                    host.state,
                    host.weight,
                    host.started_at,
                ):
                    continue
                self.count_out(host)
            host.zone, host.kind, host.pod, host.state = row.zone, row.kind, row.pod, row.state
            host.weight, host.started_at = share, row.started_at
            if host.state == GONE:
                self.pop(host, None)
                continue
            if known is None:
                self[host] = self.known()
            self.count_in(host, edge)
            told.append((host, self[host], NEW if known is None else AGAIN if again else CHANGED))
        return told

    def count_in(self, host: Endpoint, edge: float) -> None:
        """A host is as it stands from now on, and warm where it started by `edge`."""
        if host.state == READY:
            self.size += host.weight
            if host.started_at > edge:
                self.groups.put(host, (READY,))
                self.starts.put(host.started_at, host.weight, host)
            else:
                self.groups.put(host, (READY, None, host.zone, host.pod))

    def count_out(self, host: Endpoint) -> None:
        """A host is not any more as it stands."""
        if host.state == READY:
            self.groups.take(host, (READY,))
            if self.groups.has(host, None):
                self.groups.take(host, (None, host.zone, host.pod))
            self.size = self.size - host.weight if self.groups.of(READY) else 0.0
            at = self.starts.take(host.started_at, host)
            self.passed -= at is not None and at < self.passed

    def warm_up(self, now: float) -> float:
        """Take those that are warm by now out of the cold ones, a constant number of steps for each in the end; gives the
        time up to which a start is long enough ago for that."""
        edge = now - self.cold_for if self.cold_for and self.cold_from < 1 else math.inf
        first = self.starts.after(edge)
        for _, _, host in self.starts.rows[self.passed : first]:
            self.groups.put(host, (None, host.zone, host.pod))
        self.passed = max(first, self.passed) - self.starts.forget(edge)
        return edge

    def ready(self) -> Sequence[Endpoint]:
        """All hosts that are ready, warm or not."""
        return self.groups.of(READY)

    def some(self, sample: Callable, number: int) -> list[tuple]:
        """So many hosts that are ready, or all there are, drawn by `sample` (as `random.sample`): (host, what is known)."""
        return self.drawn(sample, number, self.ready())

    def some_warm(self, sample: Callable, number: int, scope: str | int | None) -> list[tuple]:
        """The same of those that were warm at the last look: of all (None), of a zone (text) or of a pod (number)."""
        return self.drawn(sample, number, self.groups.of(scope))

    def drawn(self, sample: Callable, number: int, hosts: Sequence[Endpoint]) -> list[tuple]:
        return [(host, self[host]) for host in sample(hosts, min(len(hosts), number))]

    def cold(self, now: float) -> float:
        """What the hosts that are not warm have by now, in warm ones; 0.0 where all are warm."""
        self.warm_up(now)
        return self.warm(self.passed, len(self.starts), now)

    def cold_at(self, lot: float, now: float) -> Endpoint:
        """The cold host on which a lot from 0 up to `cold` falls, each having a part as large as what it has by now."""
        first, last = self.passed, len(self.starts)
        below = bisect_right(
            range(first, last - 1), lot, key=lambda at: self.warm(first, at + 1, now)
        )
        return self.starts.rows[first + below][2]

    def warm(self, first: int, last: int, now: float) -> float:
        """What the hosts from one row of `starts` up to, without, another have by now, in warm ones."""
        if first >= last:
            return 0.0
        grown = self.starts.grown(first, last, now) / self.cold_for
        return self.cold_from * self.starts.size(first, last) + (1 - self.cold_from) * grown

    def capacity(self, now: float) -> float:
        """What all ready hosts have by now, in warm ones."""
        return self.cold(now) + self.size - self.starts.size(self.passed, len(self.starts))
