"""Former command names: they run the same command and print the new name on standard error."""

import pytest
from typer.testing import CliRunner

from petrellane import cli


@pytest.mark.parametrize(("former", "name"), cli.FORMER_COMMANDS.items())
def test_a_former_name_runs_the_command_and_names_the_new_one(former: str, name: str) -> None:
    runner = CliRunner()
    arguments = ["--help"] if former != "lab" else ["run", "--help"]
    before = runner.invoke(cli.app, [former, *arguments])
    now = runner.invoke(cli.app, [name, *arguments])
    assert (before.exit_code, now.exit_code) == (0, 0)
    assert before.stderr == f"petrellane: {former} was renamed to {name}\n"
    assert now.stderr == ""
    assert before.stdout == now.stdout.replace(f" {name} ", f" {former} ")


def test_former_names_are_not_listed() -> None:
    listing = CliRunner().invoke(cli.app, ["--help"]).stdout
    commands = {line.split()[1] for line in listing.splitlines() if line.startswith("│ ")}
    commands |= {line.split()[0] for line in listing.splitlines() if line.startswith("  ")}
    assert set(cli.FORMER_COMMANDS.values()) <= commands
    assert not commands & set(cli.FORMER_COMMANDS)
