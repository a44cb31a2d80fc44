"""The command line `petrellane settings` against the control process of a fleet."""

import json
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import Settings
from tests.integration.testbed.fleets import CONTROL, second_settings

COMMAND_PATIENCE_S = 20.0
CONTROL_WITH_SHARED_ADDRESS = """\
name = "c"
listen = "127.0.0.1:1"
journal = "j"
key_file = "key"
[gateways]
g0 = "127.0.0.1:1"
g1 = "127.0.0.1:1"
"""


class Result(NamedTuple):
    """What a command ended with: its exit code, and its output without blanks at both ends."""

    exit_code: int
    output: str


class StaffCommands:
    """Runs commands as staff do, while the fleet goes on."""

    def __init__(self, fleet: LoopbackFleet) -> None:
        self.fleet = fleet
        self.proposal = Path(fleet.folder) / "new.json"

    def run(self, *words: str, control_file: str = "") -> Result:
        """Run `petrellane settings` with some words, against the fleet's control process."""
        control_file = control_file or self.fleet.controls[CONTROL].file
        arguments = ["settings", *words, "--control", control_file]
        with subprocess.Popen(
            [sys.executable, "-m", "petrellane", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        ) as process:
            try:
                self.fleet.run_until(
                    lambda: process.poll() is not None,
                    f"settings {words[0]} ends",
                    COMMAND_PATIENCE_S,
                )
            finally:
                process.kill()
            output, _ = process.communicate()
        return Result(process.returncode, output.strip())

    def propose(self, content: object) -> Result:
        """Propose what a file has, whatever that is."""
        self.proposal.write_text(json.dumps(content))
        return self.run("propose", str(self.proposal))


@pytest.fixture
def commands(fleet: LoopbackFleet) -> StaffCommands:
    """The command line, against the control process of the fleet."""
    return StaffCommands(fleet)


def check_proposals(commands: StaffCommands, settings: Settings) -> None:
    """Propose settings, then some that are malformed."""
    result = commands.propose({"settings": settings})
    assert result == Result(0, "generation 2: in force at 3 of 3")
    first_method, *methods = settings["classes"]
    malformed = {**settings, "classes": [{**first_method, "giveUp": 0}, *methods]}
    assert commands.propose(malformed) == Result(
        2, "refused: settings.classes[0].giveUp: expected a number above 0, found 0"
    )
    assert commands.propose({"classes": settings["classes"]}) == Result(
        2, "refused: settings.contracts: missing, expected a list of objects"
    )


def check_history(commands: StaffCommands) -> None:
    """Compare generations, return to the first one, and list them."""
    assert commands.run("diff", "1", "2").output.splitlines()[0] == (
        "method after: new, effect idempotent, deadline 2 s, soft deadline 1 s, utility 1"
    )
    exit_code, output = commands.run("back", "1", "--json")
    change = json.loads(output)
    assert (exit_code, change["number"], change["outcome"]) == (0, 3, "committed")
    assert len(commands.run("history").output.splitlines()) == 3
    assert "generation 3" in commands.run("status").output
    assert commands.run("show", "9").exit_code == 2


def check_failures(commands: StaffCommands, settings: Settings) -> None:
    """Propose settings while a gateway is stopped, and while no control process runs."""
    gateway = commands.fleet.gateways[1]
    gateway.pause()
    exit_code, output = commands.propose(settings)
    assert (exit_code, output[:56]) == (
        4,
        "generation 4: aborted: no word from g1 (no bytes arrived",
    )
    gateway.resume()
    commands.fleet.controls[CONTROL].kill()
    assert commands.propose(settings).exit_code == 5


def check_malformed_control_file(commands: StaffCommands) -> None:
    """Use a control file in which two gateways have the same address."""
    file = Path(commands.fleet.folder) / "bad.toml"
    file.write_text(CONTROL_WITH_SHARED_ADDRESS)
    assert commands.run("status", control_file=str(file)) == Result(
        2, "petrellane: gateways.g1: expected an address of its own, found that of g0"
    )


def test_exit_codes_and_output(fleet: LoopbackFleet, commands: StaffCommands) -> None:
    """One fleet for all commands, as each builds on what those before have changed."""
    check_proposals(commands, second_settings(fleet))
    check_history(commands)
    check_failures(commands, second_settings(fleet))
    check_malformed_control_file(commands)
