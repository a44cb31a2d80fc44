"""The file of `scale.py`: its text, and what it says of the machine and of the build."""

import json
import os
import pathlib
import platform
import subprocess
from collections.abc import Iterable
from typing import Any

from benchmarks.scale_sizes import VERSION

SLOPE_DEPTH = 3  # build, size, figure


def _git(folder: str, *arguments: str) -> str:
    command = ["git", "-C", folder, *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip()


def describe_commit(folder: str) -> str:
    """Return the commit of a folder's files, with `+` where they differ from it."""
    is_changed = bool(_git(folder, "status", "--porcelain", "--", "petrellane"))
    return _git(folder, "rev-parse", "--short", "HEAD") + "+" * is_changed


def describe_machine() -> dict[str, Any]:
    """Return the machine's cores, memory and Python."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e9
    return {
        "cores": os.cpu_count(),
        "memory_gb": round(memory, 1),
        "python": platform.python_version(),
    }


def load_average() -> float:
    """Return the machine's load over the last minute."""
    return round(os.getloadavg()[0], 2)


def new_body(folder: str) -> dict[str, Any]:
    """Return the content of a file without results."""
    return {
        "version": VERSION,
        "commit": describe_commit(folder),
        "machine": describe_machine(),
        "load": [load_average(), None],
        "runs": [],
        "slopes": {},
        "predictions": [],
    }


def _format_rows(values: Iterable[Any]) -> str:
    return "[" + ",".join(f"\n  {json.dumps(value)}" for value in values) + "]"


def _format_table(value: Any, depth: int, indent: str) -> str:  # noqa: ANN401 - any JSON
    if not depth:
        return json.dumps(value)
    entries = [
        f"\n{indent}{json.dumps(key)}: {_format_table(entry, depth - 1, indent + ' ')}"
        for key, entry in value.items()
    ]
    return "{" + ",".join(entries) + "}"


def _format_part(key: str, value: Any) -> str:  # noqa: ANN401 - any JSON
    if isinstance(value, list) and key != "load":
        return _format_rows(value)
    if key == "slopes":
        return _format_table(value, SLOPE_DEPTH, "  ")
    return json.dumps(value)


def format_body(body: dict[str, Any]) -> str:
    """Return the file's text: a line for each run, fit and case, so that files can be compared."""
    parts = [f"{json.dumps(key)}: {_format_part(key, value)}" for key, value in body.items()]
    return "{\n " + ",\n ".join(parts) + "\n}\n"


def write_body(path: str, body: dict[str, Any]) -> None:
    """Write the complete file, or leave the one before."""
    temporary = pathlib.Path(f"{path}.{os.getpid()}")
    temporary.write_text(format_body(body))
    temporary.replace(path)
