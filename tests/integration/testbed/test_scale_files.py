"""What the file of a scale run may say, and what a run may take of a machine.

Nothing is started before both are known.
"""

import re
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
import pytest

from petrellane.testbed.scale import config as scale_config
from petrellane.testbed.scale import resources, runner
from petrellane.testbed.scale.config import ScaleConfig, ScaleError
from tests.integration.testbed.scale_commands import start_command, write_run_file

LARGE = ScaleConfig(hollow=1200, real=30, hosts=13_000, agreement=True)
LARGE_MB = resources.estimate_memory_mb(LARGE)
AMPLE_MB = 1e9
AMPLE_DESCRIPTORS = 20_000


@pytest.mark.parametrize(
    ("section", "named"),
    [
        ("hollow = 3\nwings = 2", "wings"),
        ("hollow = 'many'", "hollow"),
        ("hollow = -1", "scale.hollow: expected 0 to 5000"),
        ("hollow = 0", "at least one gateway"),
        ("seconds = 0.5", "scale.seconds: expected 1 to 600"),
        ("methods = 2", "scale.methods: expected 3 to 10000"),
        ("cut = 1.5", "scale.cut: expected 0 to 1"),
        ("rpcs = 5.0\nmodule = false", "scale.rpcs: expected 0 without"),
        ("rpcs = 5.0\nhollow = 0\nreal = 1", "scale.rpcs"),
        ("settings_changes = 1", "scale.settings_changes: expected 0 without agreement"),
        ("cut = 0.1\nagreement = true", "scale.cut: expected 0 without changes of settings"),
        ("seconds = 5.0\nrestart_at = 5.0", "scale.restart_at: expected less than the 5 seconds"),
        ("hollow = 2\nprocesses = 3", "scale.processes: expected at most the 2 hollow gateways"),
        ("hollow = ", "Invalid value"),
    ],
)
def test_the_error_of_a_malformed_file_is_one_line(section: str, named: str) -> None:
    with pytest.raises(ScaleError) as raised:
        scale_config.parse("[scale]\n" + section, "x.toml")
    assert named in str(raised.value)
    assert re.fullmatch(r"x\.toml: [^\n]+", str(raised.value))


@pytest.mark.parametrize("text", ["", "[lab]\n", "[scale]\n[more]\n"])
def test_a_file_has_the_section_scale_alone(text: str) -> None:
    with pytest.raises(ScaleError):
        scale_config.parse(text)


def test_a_file_that_cannot_be_read() -> None:
    with pytest.raises(ScaleError, match="expected a readable file"):
        scale_config.load("/none/such.toml")


def test_defaults_are_those_of_the_documentation() -> None:
    assert scale_config.parse("[scale]\n") == ScaleConfig()
    documented = (scale_config.__doc__ or "").split("\n\n")[1]
    assert scale_config.parse(documented) == ScaleConfig()


def test_the_command_ends_with_2_and_one_line(tmp_path: Path) -> None:
    file = write_run_file(tmp_path / "run.toml", "hollow = 5000\nreal = 200\nhosts = 50000\n")
    process = start_command(file)
    output, error = process.communicate()
    assert (process.returncode, output) == (2, "")
    assert re.fullmatch(r"petrellane: run: expected at most [^\n]+\n", error)


def test_a_run_that_fits_the_machine_is_played() -> None:
    resources.check_resources(LARGE, memory_mb=2 * LARGE_MB + 1, descriptors=AMPLE_DESCRIPTORS)


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "named"),
    [
        (2 * LARGE_MB - 1, AMPLE_DESCRIPTORS, "MB, 0.5 of the memory"),
        (AMPLE_MB, 9000, "RLIMIT_NOFILE"),
    ],
    ids=["memory", "descriptors"],
)
def test_more_than_a_fraction_of_the_machine_is_rejected(
    memory_mb: float, descriptors: int, named: str
) -> None:
    with pytest.raises(ScaleError) as raised:
        resources.check_resources(LARGE, memory_mb=memory_mb, descriptors=descriptors)
    assert named in str(raised.value)


@pytest.mark.parametrize(
    "changes",
    [
        {"list_changes": 1000.0, "seconds": 600.0},
        {"methods": 10_000},
        {"hosts": 50_000, "real": 200},
    ],
    ids=["list-changes", "methods", "hosts"],
)
def test_the_estimate_grows_with_what_takes_memory(changes: dict[str, Any]) -> None:
    config = msgspec.structs.replace(LARGE, **changes)
    assert resources.estimate_memory_mb(config) > 10_000


def test_too_many_processes_are_rejected() -> None:
    config = ScaleConfig(hollow=200, processes=200, real=100)
    with pytest.raises(ScaleError, match="at most 300 processes, found 304"):
        resources.check_resources(config, memory_mb=AMPLE_MB, descriptors=AMPLE_DESCRIPTORS)


@pytest.mark.parametrize(
    "config",
    [ScaleConfig(hollow=-1), ScaleConfig(hollow=5000, real=190, hosts=50_000)],
    ids=["malformed", "too-large"],
)
def test_nothing_is_started_of_a_run_that_is_rejected(config: ScaleConfig) -> None:
    with patch.object(runner, "ScaleTestbed") as make_testbed:
        with pytest.raises(ScaleError):
            runner.play(config)
        make_testbed.assert_not_called()


@pytest.mark.parametrize(("hollow", "processes"), [(30, 0), (250, 0), (1200, 0), (7, 3), (0, 0)])
def test_each_gateway_is_in_one_process(hollow: int, processes: int) -> None:
    parts = scale_config.gateways_by_process(ScaleConfig(hollow=hollow, processes=processes))
    assert [number for part in parts for number in part] == list(range(hollow))
    assert max(map(len, parts), default=0) <= max(scale_config.GATEWAYS_PER_PROCESS, 0)
    assert len(parts) == (processes or -(-hollow // scale_config.GATEWAYS_PER_PROCESS))
