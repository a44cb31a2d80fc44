"""Three small scale runs at the same time, two of them from the command line."""

import json
import os
import re
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from petrellane.testbed.scale import runner
from petrellane.testbed.scale.config import ScaleConfig
from petrellane.testbed.scale.observations import USAGE_FIGURES
from petrellane.testbed.scale.report import Report
from tests.integration.testbed.scale_commands import start_command, write_run_file

PLAYED = ScaleConfig(
    hollow=12,
    processes=2,
    real=1,
    hosts=50,
    seconds=2.5,
    rpcs=20.0,
    list_changes=0.5,
    settings_changes=1,
    agreement=True,
)
RESTART = """\
hollow = 6
processes = 1
hosts = 20
seconds = 3.5
restart_at = 0.5
discovery_rate = 8.0
"""
PARTITION = """\
hollow = 5
hosts = 5
seconds = 1.0
agreement = true
settings_changes = 1
cut = 0.4
"""
COMMAND_TIMEOUT_S = 60.0
FAILURE = re.compile("fault|ended")  # in why a run proves nothing
MEMORY_DISK = Path("/dev/shm")


class CommandResult(NamedTuple):
    """What a command ended with."""

    output: str
    error: str
    exit_code: int


class Runs(NamedTuple):
    """The report of the run that was played here, and the results of the two commands."""

    report: Report
    restart: CommandResult
    partition: CommandResult


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> Runs:
    """All three runs, played at the same time."""
    folder = tmp_path_factory.mktemp("scale")
    processes = [
        start_command(write_run_file(folder / f"{name}.toml", text))
        for name, text in (("restart", RESTART), ("partition", PARTITION))
    ]
    report = runner.play(PLAYED)
    results = [
        CommandResult(*process.communicate(timeout=COMMAND_TIMEOUT_S), process.returncode)
        for process in processes
    ]
    return Runs(report, *results)


@pytest.fixture
def report(runs: Runs) -> Report:
    """The report of the run that was played here."""
    return runs.report


def report_of(result: CommandResult) -> dict[str, Any]:
    """Return the report of a command, which is its last line."""
    assert result.error == ""
    report: dict[str, Any] = json.loads(result.output.splitlines()[-1])
    assert result.exit_code == (1 if report["void"] else 0)
    assert not FAILURE.search(report["void"])
    return report


@pytest.mark.parametrize("kind", ["list", "settings"])
def test_each_gateway_got_each_change(report: Report, kind: str) -> None:
    changes = report[kind]
    assert (changes["changes"], changes["reached"]) == (1, 1), report["void"]
    assert 0 <= changes["first_s"] <= changes["median_s"] <= changes["last_s"], changes


def test_the_change_of_settings_is_committed(report: Report) -> None:
    assert report["settings"]["committed"] == 1


def test_counts_are_the_same_at_both_ends(report: Report) -> None:
    sums, tally = report["sums"], report["sums"]["tally"]
    additions = sum(count for name, count in tally.items() if name.startswith("add "))
    assert sums["adds"] > 0
    assert additions == sums["adds"]
    assert sums["rpcs"] == sums["answers"]
    assert sums["rpcs"] == tally["rpcs"]
    assert abs(sums["rpcs"] - 50) <= 30
    assert sums["counter_bytes"]["gateways"] == sums["counter_bytes"]["counter"]
    # Both ends do not log at the same moment.
    for one_end, other_end in zip(*sums["discovery_bytes"].values(), strict=True):
        assert abs(one_end - other_end) <= 0.2 * other_end


def test_the_report_has_each_role(report: Report) -> None:
    counts = {name: role["number"] for name, role in report["roles"].items()}
    assert counts == {"hollow": 12, "real": 1, "control": 1, "discovery": 1, "counter": 1}
    assert not FAILURE.search(report["void"])
    json.dumps(report)


@pytest.mark.parametrize("name", ["hollow", "real", "control", "discovery", "counter"])
def test_a_role_has_its_usage(report: Report, name: str) -> None:
    role = report["roles"][name]
    assert role["rss_mb"] > 1
    for figure in USAGE_FIGURES:
        assert role[figure] >= 0.0


@pytest.mark.parametrize("figure", ["messages_in", "bytes_out"])
def test_usage_of_hollow_gateways_is_by_service(report: Report, figure: str) -> None:
    hollow, control = report["roles"]["hollow"], report["roles"]["control"]
    assert hollow["rss_mb_each"] > 0
    assert set(hollow["by"]) == {"agreement", "counter", "discovery"}
    assert control[figure] > 0


def test_all_that_restart_get_the_complete_list(runs: Runs) -> None:
    report = report_of(runs.restart)
    assert report["restart"]["listed"] == 6, report
    assert report["sums"]["discovery_refused"] > 0
    # Discovery does not spin on who has left.
    assert report["roles"]["discovery"]["cpu_s"] < 0.3


def test_a_change_is_aborted_where_some_gateways_are_cut_off(runs: Runs) -> None:
    changes = report_of(runs.partition)["settings"]
    assert (changes["changes"], changes["committed"], changes["last_s"]) == (1, 0, None)
    assert re.fullmatch(
        r"aborted: no word from g0 \([a-z ]+\), g1 \([a-z ]+\)", changes["outcomes"][0]
    )


@pytest.mark.usefixtures("runs")
def test_nothing_is_left_of_a_run() -> None:
    folder = MEMORY_DISK if MEMORY_DISK.is_dir() else Path(tempfile.gettempdir())
    assert list(folder.glob(f"petrellane-scale-{os.getpid()}-*")) == []
