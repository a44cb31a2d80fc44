"""Where recordings are, and how they are read and written."""

import json
import pathlib
import sqlite3
from typing import Any, TypeAlias

ROOT = pathlib.Path(__file__).parent.parent.parent
RECORDED = pathlib.Path(__file__).parent / "recorded"

Json: TypeAlias = Any  # a JSON value


def load(name: str) -> Json:
    """Return a recording in JSON."""
    return json.loads((RECORDED / name).read_text())


def save(name: str, content: Json) -> None:
    """Write a recording in JSON."""
    path = RECORDED / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=1) + "\n")


def key_paths(content: Json, path: str = "") -> list[str]:
    """Return all keys of a JSON value as paths, those of a list's items under []."""
    if isinstance(content, dict):
        paths = {f"{path}.{key}" for key in content}
        for key, value in content.items():
            paths.update(key_paths(value, f"{path}.{key}"))
        return sorted(paths)
    if isinstance(content, list):
        return sorted({below for item in content for below in key_paths(item, f"{path}[]")})
    return []


def journal_rows(path: pathlib.Path) -> list[Json]:
    """Return a journal file's schema, version and rows, read without the program."""
    database = sqlite3.connect(path)
    try:
        schema = database.execute("SELECT type, name, sql FROM sqlite_master").fetchall()
        version = database.execute("PRAGMA user_version").fetchone()[0]
        rows = database.execute("SELECT number, at, told FROM records ORDER BY number").fetchall()
    finally:
        database.close()
    return [
        [list(part) for part in schema],
        version,
        [[number, at, bytes(content).decode()] for number, at, content in rows],
    ]
