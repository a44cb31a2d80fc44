"""Indexes over endpoints whose cost does not grow with the number of endpoints.

They contain no decision logic, clock or I/O. `IndexedGroups` groups members by key: adding or
removing a member takes constant time, and the members of a key form a list from which a random draw
can pick by index. `StartTimes` keeps members in the order of their start times, with prefix sums: a
binary search finds a sum over members that are weighted by age, and the member at a point of that
sum.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Hashable, Iterable, Sequence
from itertools import accumulate
from operator import itemgetter
from typing import Generic, NamedTuple, TypeVar

Member = TypeVar("Member", bound=Hashable)

START = itemgetter(0)  # sort key of a `StartRow`


class IndexedGroups(Generic[Member]):
    """Members grouped by key; a key without members uses no memory."""

    def __init__(self) -> None:
        self.members: dict[Hashable, list[Member]] = {}
        self.positions: dict[Hashable, dict[Member, int]] = {}  # key -> member -> index in its list

    def add(self, member: Member, keys: Iterable[Hashable]) -> None:
        """Add a member to keys that do not contain it yet."""
        for key in keys:
            rows = self.members.setdefault(key, [])
            self.positions.setdefault(key, {})[member] = len(rows)
            rows.append(member)

    def remove(self, member: Member, keys: Iterable[Hashable]) -> None:
        """Remove a member from keys; the last member of each key moves into its position.

        Raises:
            KeyError: One of the keys does not contain the member.
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
        """Return whether a key contains a member."""
        return member in self.positions.get(key, ())

    def members_of(self, key: Hashable) -> Sequence[Member]:
        """Return the members of a key in arbitrary order; callers must not change them."""
        return self.members.get(key, ())


class StartRow(NamedTuple, Generic[Member]):
    """One member of `StartTimes`, with its start time and size."""

    start: float
    size: float
    member: Member


class StartTimes(Generic[Member]):
    """Members with a start time, in seconds of any clock, and a size, ordered by start time.

    Members with equal start times keep the order in which they were added.
    """

    def __init__(self) -> None:
        self.rows: list[StartRow[Member]] = []
        # Prefix sums over the rows: of sizes, and of size times seconds since `_origin`.
        self._sizes = [0.0]
        self._moments = [0.0]
        self._origin = 0.0
        self._summed = 0  # number of rows that the prefix sums cover

    def __len__(self) -> int:
        return len(self.rows)

    def add(self, start: float, size: float, member: Member) -> None:
        """Insert a member at its position in the order."""
        index = bisect_right(self.rows, start, key=START)
        self.rows.insert(index, StartRow(start, size, member))
        self._summed = min(self._summed, index)

    def remove(self, start: float, member: Member) -> int | None:
        """Remove a member that was added with this start time.

        Returns:
            The index that the member had; None if it is not present.
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
        """Drop the members that started by the given time, if they are more than half of the rows.

        Returns:
            The number of dropped members; the amortized cost is constant for each member.
        """
        old = self.index_after(time)
        if 2 * old <= len(self.rows):
            return 0
        del self.rows[:old]
        self._summed = 0
        return old

    def index_after(self, time: float) -> int:
        """Return the index of the first member that started later, or the row count if none did."""
        return bisect_right(self.rows, time, key=START)

    def total_size(self, first: int, last: int) -> float:
        """Return the sum of the sizes of the rows from `first` up to, but excluding, `last`."""
        self._update_sums()
        return self._sizes[last] - self._sizes[first]

    def total_age(self, first: int, last: int, now: float) -> float:
        """Return the sum of size times age over the rows from `first` up to, but excluding, `last`.

        The age is in seconds since the member's start, and 0 for a start in the future.
        """
        self._update_sums()
        last = max(first, min(last, self.index_after(now)))
        return (now - self._origin) * (self._sizes[last] - self._sizes[first]) - (
            self._moments[last] - self._moments[first]
        )

    def _update_sums(self) -> None:
        """Recompute the prefix sums from the first changed row to the last row."""
        summed = self._summed
        if summed >= len(self.rows):
            return
        if not summed:
            # The origin is close to the start times, because sums of absolute times would lose
            # precision.
            self._origin = self.rows[0].start
        origin = self._origin
        rows = self.rows[summed:]
        sizes = [size for _, size, _ in rows]
        moments = [size * (start - origin) for start, size, _ in rows]
        self._sizes[summed:] = accumulate(sizes, initial=self._sizes[summed])
        self._moments[summed:] = accumulate(moments, initial=self._moments[summed])
        self._summed = len(self.rows)
