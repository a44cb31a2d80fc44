"""Measured files, as their readers read them."""

import pathlib
import tomllib
from typing import Any

import orjson

from benchmarks import capacity as capacity_page
from petrellane.testbed.capacity import report
from petrellane.testbed.scale import config
from tests.compatibility.build.values import plain

Json = Any


def scale_run(path: pathlib.Path) -> Json:
    """A scale run as the reader of its file understands it."""
    run = config.load(str(path))
    return {name: getattr(run, name) for name in run.__struct_fields__}


def capacity_inputs(folder: pathlib.Path) -> tuple[Json, Json, Json, Json]:
    """Plan, slopes, figures of messages and the run, as the capacity page reads them."""
    return (
        capacity_page.read(folder / "capacity.toml", lambda text: tomllib.loads(text.decode())),
        capacity_page.read(folder / "scale.json", orjson.loads),
        capacity_page.read(folder / "messages.json", orjson.loads),
        capacity_page.read(capacity_page.RUN, capacity_page.last),
    )


def capacity_tables(folder: pathlib.Path) -> Json:
    """The tables of the capacity page, from the files of a folder: heading and cells."""
    return plain(report.build_tables(*capacity_inputs(folder)))
