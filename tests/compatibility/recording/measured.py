"""Records keys and readings of the measured files, and copies the scale runs."""

import json
import pathlib
import shutil

from tests.compatibility import build, files

FIGURE_FILES = ("scale.json", "messages.json")


def record_measured_files(checkout: pathlib.Path) -> None:
    """Record how a checkout reads its measured files."""
    readings = {}
    (files.RECORDED / "measured").mkdir(parents=True, exist_ok=True)
    for path in sorted((checkout / "docs" / "runs").glob("*.toml")):
        shutil.copy(path, files.RECORDED / "measured" / path.name)
        readings[path.name] = build.scale_run(path)
    benchmarks = checkout / "benchmarks"
    keys = {
        name: files.key_paths(json.loads((benchmarks / name).read_text())) for name in FIGURE_FILES
    }
    inputs = [files.key_paths(content) for content in build.capacity_inputs(benchmarks)]
    tables = [[str(table[0]), len(table[2])] for table in build.capacity_tables(benchmarks)]
    content = {"runs": readings, "keys": keys, "inputs": inputs, "tables": tables}
    files.save("measured/readings.json", content)
