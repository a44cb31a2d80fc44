"""Write the tables of docs/CAPACITY.md from the measured files, or check that the page has them.

    python -m benchmarks.capacity [--check]

Reads benchmarks/capacity.toml (sizes, budgets, estimates), benchmarks/scale.json (written by
benchmarks/scale.py), benchmarks/messages.json (by benchmarks/messages.py) and the JSON line of
docs/runs/scale-1200.txt (by `petrellane testbed scale`). `--check` writes nothing, and exits with 1
and one line that names the first table that differs. An input or a page that cannot be used is
named in one line, with exit code 2.
"""

import pathlib
import sys
import tomllib
from collections.abc import Callable
from typing import Annotated, Any

import orjson
import typer

from petrellane.testbed.capacity import page as capacity_page
from petrellane.testbed.capacity import report
from petrellane.testbed.capacity.figures import CapacityError
from petrellane.testbed.capacity.tables import Table

HERE = pathlib.Path(__file__).parent
RUN = HERE.parent / "docs" / "runs" / "scale-1200.txt"
PAGE = HERE.parent / "docs" / "CAPACITY.md"
EXIT_DIFFERENT = 1
EXIT_UNUSABLE = 2


def read(path: pathlib.Path, parse: Callable[[bytes], object]) -> dict[str, Any]:
    """Read a file by its parser.

    Raises:
        CapacityError: It cannot be read or parsed, or holds no object.
    """
    try:
        content = parse(path.read_bytes())
    except OSError as error:
        raise CapacityError(
            f"{path.name}: expected a file that can be read: {error.strerror}"
        ) from None
    except ValueError as error:
        raise CapacityError(f"{path.name}: {error}") from None
    if not isinstance(content, dict):
        raise CapacityError(f"{path.name}: expected an object, found {str(content)[:40]}")
    return content


def parse_toml(text: bytes) -> dict[str, Any]:
    """Parse the plan.

    Raises:
        ValueError: It is no TOML.
    """
    return tomllib.loads(text.decode())


def last(text: bytes) -> object:
    """Parse the last line of JSON in a run's output.

    Raises:
        ValueError: There is none.
    """
    lines = [line for line in text.splitlines() if line.startswith(b"{")]
    if not lines:
        raise ValueError("expected a line of JSON, found none")
    return orjson.loads(lines[-1])


def load_tables(folder: pathlib.Path) -> list[Table]:
    """Work out the tables from the files of a folder.

    Raises:
        CapacityError: A file cannot be used.
    """
    return report.build_tables(
        read(folder / "capacity.toml", parse_toml),
        read(folder / "scale.json", orjson.loads),
        read(folder / "messages.json", orjson.loads),
        read(RUN, last),
    )


def main(
    check: Annotated[bool, typer.Option("--check", help="write nothing, compare")] = False,
) -> None:
    """Write the tables, or check them."""
    try:
        tables = load_tables(HERE)
        page = PAGE.read_text()
        if not check:
            PAGE.write_text(capacity_page.write_tables(page, tables))
            print(f"{PAGE.name}: {len(tables)} tables written")
            return
        difference = capacity_page.first_difference(page, tables)
    except CapacityError as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_UNUSABLE) from None
    if difference:
        print(f"{PAGE.name}: {difference}", file=sys.stderr)
        raise SystemExit(EXIT_DIFFERENT)
    print(f"{PAGE.name}: {len(tables)} tables are as worked out")


if __name__ == "__main__":
    typer.run(main)
