"""Measures the sizes of control messages at the design sizes, and the cost of single steps.

    python -m benchmarks.messages [--out FILE] [--members 100,300,600,1200] [--gateways 3,6,12]

Question: how many bytes do the control plane's messages have at the sizes to design for, and how
much processor time do gateways and control processes spend on each?

Sizes are of the bytes that the program's own writers make of made-up content, with the heads of
HTTP. Times are processor time of one step alone, the median of five. The figures `leader_*` are
all that the rules of a control process do for one change, free of I/O, by the number of
participants (`--members`); a change that takes over five seconds is made once. The figures
`control_*` count the calls of one control process to real gateways on loopback.

Columns: name of the figure, value, unit, description. The last line is a JSON object, which `--out`
writes to a file as well; `docs/CAPACITY.md` is worked out from it.
"""

import json
import os
import pathlib
import platform
import subprocess
from typing import Annotated

import typer

from benchmarks.messages_coordinator import measure_calls, measure_rules
from benchmarks.messages_figures import FigureTable
from benchmarks.messages_sizes import measure_sizes
from benchmarks.messages_steps import measure_steps

VERSION = 1


def run_git(*arguments: str) -> str:
    """Return what git prints, empty where it fails."""
    command = ["git", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip()


def describe_commit() -> str:
    """Return the commit of the program's files, with `+` where they differ from it."""
    commit = run_git("rev-parse", "--short", "HEAD")
    is_changed = bool(run_git("status", "--porcelain", "--", "petrellane"))
    return commit + "+" * is_changed


def parse_numbers(text: str) -> list[int]:
    """Read numbers with commas between them; an empty text has none."""
    return [int(word) for word in text.split(",") if word]


def main(
    out: Annotated[str, typer.Option(help="file for the JSON")] = "",
    members: Annotated[str, typer.Option(help="rosters of the rules")] = "100,300,600,1200",
    gateways: Annotated[str, typer.Option(help="fleets on sockets; none where empty")] = "3,6,12",
) -> None:
    """Measure sizes, steps and calls, and print them."""
    load = os.getloadavg()[0]
    figures = FigureTable()
    samples = measure_sizes(figures)
    measure_steps(figures, samples)
    for size in parse_numbers(members):
        measure_rules(figures, size)
    for size in parse_numbers(gateways):
        measure_calls(figures, size)
    body = {
        "version": VERSION,
        "command": "python -m benchmarks.messages",
        "python": platform.python_version(),
        "commit": describe_commit(),
        "load": round(load, 2),
        "figures": figures.figures,
    }
    if out:
        pathlib.Path(out).write_text(json.dumps(body, indent=1) + "\n")
    print(json.dumps(body))


if __name__ == "__main__":
    typer.run(main)
