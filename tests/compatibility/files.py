"""Where recordings are, and how they are read and written."""

import json
import pathlib
import sqlite3
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent.parent
RECORDED = pathlib.Path(__file__).parent / "recorded"


def load(name: str) -> Any:
    """A recording in JSON."""
    return json.loads((RECORDED / name).read_text())


def save(name: str, content: Any) -> None:
    """Write a recording in JSON."""
    path = RECORDED / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=1) + "\n")


def key_set(content: Any, path: str = "") -> list[str]:
    """All keys of a JSON value as paths, those of a list's items under []."""
    if isinstance(content, dict):
        found = {f"{path}.{key}" for key in content}
        found.update(one for key in content for one in key_set(content[key], f"{path}.{key}"))
        return sorted(found)
    if isinstance(content, list):
        return sorted({one for item in content for one in key_set(item, f"{path}[]")})
    return []


def journal_rows(path: pathlib.Path) -> list[Any]:
    """A journal file's schema, version and rows, read without the program."""
    base = sqlite3.connect(path)
    try:
        schema = base.execute("SELECT type, name, sql FROM sqlite_master").fetchall()
        version = base.execute("PRAGMA user_version").fetchone()[0]
        rows = base.execute("SELECT number, at, told FROM records ORDER BY number").fetchall()
    finally:
        base.close()
    return [
        [list(one) for one in schema],
        version,
        [[number, at, bytes(content).decode()] for number, at, content in rows],
    ]
