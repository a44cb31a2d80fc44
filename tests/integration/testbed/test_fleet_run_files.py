"""Run files, and that nothing is left of a run that is killed."""

import subprocess
import sys
import time
from pathlib import Path

import pytest

from petrellane.testbed.run_file import RunFileError, parse_run_file

RUNS = Path(__file__).parent / "runs"
END_PATIENCE_S = 5.0
# Prints the ids of its gateways' processes, and kills itself.
KILLED_RUN = """\
import os
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec
fleet = LoopbackFleet(FleetSpec(gateways=2, hosts=1))
fleet.start()
print(*[gateway.process.popen.pid for gateway in fleet.gateways], flush=True)
os.kill(os.getpid(), 9)
"""


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[lab]\ngateways = 0", "lab.gateways: expected 1 to 300, found 0"),
        ("[lab]\nspeed = 1", "unknown field `speed`"),
        ('[[step]]\nat = 1.0\ndo = "x"', "step[0].do: expected one of"),
        ('[[step]]\nat = 99.0\ndo = "cut"', "step[0].at: expected 0 to 10"),
        ('[[step]]\nat = 1.0\ndo = "kill"\nwho = ["g7"]', "step[0].who: expected g0 to g2"),
        ("[lab", "Expected ']'"),
        ('[expect]\nbroken = ["x"]', "expect.broken: expected rules"),
    ],
    ids=["range", "field", "action", "time", "party", "syntax", "rule"],
)
def test_the_error_of_a_malformed_file_is_one_line(text: str, message: str) -> None:
    with pytest.raises(RunFileError) as raised:
        parse_run_file(text, "run.toml")
    assert message in str(raised.value)
    assert "\n" not in str(raised.value)


def test_a_run_file_from_the_command_line() -> None:
    file = str(RUNS / "change-under-faults.toml")
    process = subprocess.run(
        [sys.executable, "-m", "petrellane", "testbed", "run", file],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert process.returncode == 0, process.stdout + process.stderr
    assert "no rule broken" in process.stdout
    assert 'g0: generation {"number":1' in process.stdout


def is_running(process_id: int) -> bool:
    """Return whether a process exists and is no zombie."""
    try:
        status = Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return False
    state, *_ = status.rpartition(")")[2].split()
    return state != "Z"


def test_nothing_is_left_of_a_run_that_is_killed() -> None:
    process = subprocess.run(
        [sys.executable, "-c", KILLED_RUN],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    process_ids = [int(word) for word in process.stdout.split()]
    assert len(process_ids) == 2, process.stderr
    limit = time.monotonic() + END_PATIENCE_S
    while any(map(is_running, process_ids)) and time.monotonic() < limit:
        time.sleep(0.02)
    assert not [process_id for process_id in process_ids if is_running(process_id)]
