"""Tables in a page, each between its two markers: writing them and checking them.

Text outside the markers belongs to the page's authors and is never changed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from petrellane.testbed.capacity.figures import CapacityError
from petrellane.testbed.capacity.tables import Table

SHOWN_LINE_LENGTH = 120  # characters of a line that a message quotes


def markers(name: str) -> tuple[str, str]:
    """Return the markers before and after a table."""
    return f"<!-- table {name} -->", f"<!-- end {name} -->"


def table_span(page: str, name: str) -> tuple[int, int]:
    """Return where the text between a table's markers begins and ends.

    Raises:
        CapacityError: A marker is missing, comes twice, or the two are in the wrong order.
    """
    first, last = markers(name)
    for marker in (first, last):
        count = page.count(marker)
        if count != 1:
            raise CapacityError(
                f"page: {marker}: expected this marker once, found it {count} times"
            )
    start = page.index(first) + len(first)
    end = page.index(last)
    if end < start:
        raise CapacityError(f"page: {last}: expected after {first}, found before")
    return start, end


def write_tables(page: str, tables: Iterable[Table]) -> str:
    """Return the page with these tables in it.

    Raises:
        CapacityError: The page lacks a table's markers.
    """
    for table in tables:
        start, end = table_span(page, table.name)
        page = page[:start] + "\n" + table.text() + "\n" + page[end:]
    return page


def first_difference(page: str, tables: Iterable[Table]) -> str | None:
    """Return one line about the first table that the page has otherwise; None if all agree.

    Raises:
        CapacityError: The page lacks a table's markers.
    """
    for table in tables:
        start, end = table_span(page, table.name)
        actual = page[start:end].strip("\n").split("\n")
        expected = table.text().split("\n")
        if actual != expected:
            index = _first_different_line(actual, expected)
            return (
                f"table {table.name}, line {index + 1}: "
                f"expected {_shown_line(expected, index)}, found {_shown_line(actual, index)}"
            )
    return None


def _first_different_line(actual: Sequence[str], expected: Sequence[str]) -> int:
    """Return the index of the first line that differs, or where the shorter text ends."""
    for index, (actual_line, expected_line) in enumerate(zip(actual, expected, strict=False)):
        if actual_line != expected_line:
            return index
    return min(len(actual), len(expected))


def _shown_line(lines: Sequence[str], index: int) -> str:
    return lines[index][:SHOWN_LINE_LENGTH] if index < len(lines) else "nothing"
