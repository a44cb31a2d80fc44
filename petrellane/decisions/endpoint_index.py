"""Indexes over endpoints whose cost does not grow with the number of endpoints.

Nothing is decided here, and there is no clock and no I/O. `IndexedGroups` holds members under keys:
one is added or removed in a constant number of steps, and the members of a key are a list that a
random draw can index. `StartTimes` holds members in the order of their starts, with prefix sums:
a sum over members that each count in step with their age takes a binary search, and so does the
member on which a point of that sum falls.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Hashable, Iterable, Sequence
from itertools import accumulate
from operator import itemgetter
from typing import Generic, NamedTuple, TypeVar

Member = TypeVar("Member", bound=Hashable)

START = itemgetter(0)  # sort key of a `StartRow`


class IndexedGroups(Generic[Member]):
    """Members under keys; a key without members takes no memory."""

    def __init__(self) -> None:
        self.members: dict[Hashable, list[Member]] = {}
        self.positions: dict[Hashable, dict[Member, int]] = {}  # key -> member -> index in its list

    def add(self, member: Member, keys: Iterable[Hashable]) -> None:
        """Put a member under keys that it is not under yet."""
        for key in keys:
            rows = self.members.setdefault(key, [])
            self.positions.setdefault(key, {})[member] = len(rows)
            rows.append(member)

    def remove(self, member: Member, keys: Iterable[Hashable]) -> None:
        """Remove a member from under keys; the last member of the key fills the gap.

        Raises:
            KeyError: The member is not under one of them.
        """
        for key in keys:
            rows = self.members[key]
            positions = self.positions[key]
            index = positions.pop(member)
            last = rows.pop()
            if index < len(rows):
                rows[index] = last
                positions[last] = index
            if not rows:
                del self.members[key]
                del self.positions[key]

    def contains(self, member: Member, key: Hashable) -> bool:
        """Whether a member is under a key."""
        return member in self.positions.get(key, ())

    def members_of(self, key: Hashable) -> Sequence[Member]:
        """All members under a key, in no order that means anything; not to be changed."""
        return self.members.get(key, ())


class StartRow(NamedTuple, Generic[Member]):
    """One member of `StartTimes`."""

    start: float
    size: float
    member: Member


class StartTimes(Generic[Member]):
    """Members with a start (seconds of any clock) and a size, in the order of starts.

    Members with equal starts stay in the order in which they were added.
    """

    def __init__(self) -> None:
        self.rows: list[StartRow[Member]] = []
        # Prefix sums over the rows: of sizes, and of sizes times starts since `_origin`.
        self._sizes = [0.0]
        self._moments = [0.0]
        self._origin = 0.0
        self._summed = 0  # so many rows are in the prefix sums

    def __len__(self) -> int:
        return len(self.rows)

    def add(self, start: float, size: float, member: Member) -> None:
        """Put a member in its place."""
        index = bisect_right(self.rows, start, key=START)
        self.rows.insert(index, StartRow(start, size, member))
        self._summed = min(self._summed, index)

    def remove(self, start: float, member: Member) -> int | None:
        """Remove a member that was added with this start.

        Returns:
            The index that it had; None where it is not there.
        """
        index = bisect_left(self.rows, start, key=START)
        while index < len(self.rows) and self.rows[index].start == start:
            if self.rows[index].member is member:
                del self.rows[index]
                self._summed = min(self._summed, index)
                return index
            index += 1
        return None

    def drop_until(self, time: float) -> int:
        """Drop the members that started by then, once they are more than half of all.

        Returns:
            How many were dropped: over time a constant number of steps for each.
        """
        old = self.index_after(time)
        if 2 * old <= len(self.rows):
            return 0
        del self.rows[:old]
        self._summed = 0
        return old

    def index_after(self, time: float) -> int:
        """The index of the first that started later than this; the number of rows for none."""
        return bisect_right(self.rows, time, key=START)

    def total_size(self, first: int, last: int) -> float:
        """The sizes of the rows from `first` up to, without, `last`."""
        self._update_sums()
        return self._sizes[last] - self._sizes[first]

    def total_age(self, first: int, last: int, now: float) -> float:
        """Their sizes, each times the seconds since its start; 0 for a start to come."""
        self._update_sums()
        last = max(first, min(last, self.index_after(now)))
        return (now - self._origin) * (self._sizes[last] - self._sizes[first]) - (
            self._moments[last] - self._moments[first]
        )

    def _update_sums(self) -> None:
        """Extend the prefix sums over the rows behind the first one that changed."""
        summed = self._summed
        if summed >= len(self.rows):
            return
        if not summed:
            # Near the starts: a sum of times since long ago would lose digits.
            self._origin = self.rows[0].start
        origin = self._origin
        rows = self.rows[summed:]
        sizes = [size for _, size, _ in rows]
        moments = [size * (start - origin) for start, size, _ in rows]
        self._sizes[summed:] = accumulate(sizes, initial=self._sizes[summed])
        self._moments[summed:] = accumulate(moments, initial=self._moments[summed])
        self._summed = len(self.rows)
