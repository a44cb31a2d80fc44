"""The command `petrellane testbed scale`, and the run files that it reads."""

import subprocess
import sys
from pathlib import Path


def write_run_file(path: Path, text: str) -> Path:
    """Write a run file whose section `scale` is this text; return its path."""
    path.write_text("[scale]\n" + text)
    return path


def start_command(path: Path) -> subprocess.Popen[str]:
    """Start the command with a run file."""
    return subprocess.Popen(
        [sys.executable, "-m", "petrellane", "testbed", "scale", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
