"""Write the tables of docs/CAPACITY.md from the measured files, or check that the page has them.

    python -m benchmarks.capacity [--check]

Reads benchmarks/capacity.toml (sizes, budgets, estimates), benchmarks/scale.json (benchmarks/scale.py writes it),
benchmarks/messages.json (benchmarks/messages.py) and the JSON line of docs/runs/scale-1200.txt (`petrellane lab scale`).
`--check` writes nothing, and exits 1 with one line that names the first table that differs. An input or a page that will not
do is told in one line, with exit code 2.
"""

import pathlib
import sys
import tomllib
from typing import Annotated

import orjson
import typer

from petrellane.testbed.capacity import page as capacity_page
from petrellane.testbed.capacity import report
from petrellane.testbed.capacity.figures import CapacityError

HERE = pathlib.Path(__file__).parent
RUN = HERE.parent / "docs" / "runs" / "scale-1200.txt"
PAGE = HERE.parent / "docs" / "CAPACITY.md"


def read(path, parse):
    """A file by its parser. Raises CapacityError."""
    try:
        told = parse(path.read_bytes())
    except OSError as error:
        raise CapacityError(
            f"{path.name}: expected a file that can be read: {error.strerror}"
        ) from None
    except ValueError as error:
        raise CapacityError(f"{path.name}: {error}") from None
    if not isinstance(told, dict):
        raise CapacityError(f"{path.name}: expected an object, found {str(told)[:40]}")
    return told


def last(text):
    """The JSON line of a run's output, the last one of these. Raises ValueError where there is none."""
    lines = [line for line in text.splitlines() if line.startswith(b"{")]
    if not lines:
        raise ValueError("expected a line of JSON, found none")
    return orjson.loads(lines[-1])


def found(folder):
    """The tables, from the files of a folder. Raises CapacityError."""
    return report.build_tables(
        read(folder / "capacity.toml", lambda text: tomllib.loads(text.decode())),
        read(folder / "scale.json", orjson.loads),
        read(folder / "messages.json", orjson.loads),
        read(RUN, last),
    )


def main(
    check: Annotated[bool, typer.Option("--check", help="write nothing, compare")] = False,
) -> None:
    """Write the tables, or check them."""
    try:
        tables, page = found(HERE), PAGE.read_text()
        if check:
            if wrong := capacity_page.first_difference(page, tables):
                print(f"{PAGE.name}: {wrong}", file=sys.stderr)
                raise SystemExit(1)
            print(f"{PAGE.name}: {len(tables)} tables are as worked out")
            return
        PAGE.write_text(capacity_page.write_tables(page, tables))
        print(f"{PAGE.name}: {len(tables)} tables written")
    except CapacityError as error:
        print(error, file=sys.stderr)
        raise SystemExit(2) from None


if __name__ == "__main__":
    typer.run(main)
