"""The command line.

A sub-command imports what it needs when it runs, so that `serve` starts light. The docstring of a
command is its help text. Errors that a user can mend end in one line on standard error and exit
code 2.
"""

import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Annotated, NoReturn

import typer

from petrellane import __version__

if TYPE_CHECKING:
    from petrellane.config import Config
    from petrellane.config_consensus.commands import SettingsCommands

app = typer.Typer(
    help="An admission gateway that leases customers' credit from a shared count.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


EXIT_USAGE = 2
"""Exit code where the command, its files or its environment are wrong."""

FORMER_COMMANDS = {
    "hunt": "property-search",
    "spread": "load-distribution",
    "lab": "testbed",
}
"""Names that commands had, which still work, and their names now."""


@app.callback()
def _announce_new_name(context: typer.Context) -> None:
    name = context.invoked_subcommand or ""
    if name in FORMER_COMMANDS:
        print(f"petrellane: {name} is {FORMER_COMMANDS[name]} now", file=sys.stderr)


def _load_config() -> "Config":
    """The configuration that the environment names; ends the command where it is wrong."""
    from petrellane.config import ConfigError, load

    try:
        return load(os.environ)
    except ConfigError as error:
        _exit_with_error(error)


def _exit_with_error(error: Exception | str) -> NoReturn:
    """End the command with one line on standard error."""
    print(f"petrellane: {error}", file=sys.stderr)
    raise typer.Exit(EXIT_USAGE) from None


@app.command(
    help="Serve until SIGTERM; PROXY_CONFIG names the configuration file, which SIGHUP has read "
    "anew."
)
def serve() -> None:
    """Serve until SIGTERM."""
    from petrellane.gateway import process

    raise typer.Exit(process.serve(os.environ))


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


@app.command()
def check_config() -> None:
    """Read the configuration as serve would, and say what it holds or what is wrong with it."""
    config = _load_config()
    host, port = config.listen
    print(
        f"{config.name}: listens on {host}:{port}, {len(config.settings.methods)} methods, "
        f"{len(config.settings.plans)} plans, {len(config.known.entries)} endpoints known"
    )


@app.command("hunt", hidden=True)
@app.command("property-search")
def search_properties(
    seeds: Annotated[int, typer.Option(min=1, help="Scenarios to simulate.")] = 2000,
    first: Annotated[
        int, typer.Option(min=0, help="The first seed; the same one gives the same search.")
    ] = 1,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0 is one a core.")] = 0,
    enough: Annotated[
        int, typer.Option(min=1, help="End once so many scenarios have broken a rule.")
    ] = 1,
    out: Annotated[str, typer.Option(help="Folder for the scenarios that break a rule.")] = "found",
) -> None:
    """Search the simulation for a run that breaks a rule; exit code 1 when there is one."""
    from petrellane.simulation import command

    raise typer.Exit(command.search(seeds, first, jobs, enough, out))


@app.command(
    help="Simulate one scenario and print its time line; exit code 1 when the outcome is not as "
    "expected."
)
def replay(
    file: Annotated[
        str, typer.Argument(help="A scenario file, or the number of a seed with --seed.")
    ],
    seed: Annotated[
        bool, typer.Option("--seed", help="Simulate the scenario generated from this seed.")
    ] = False,
    write: Annotated[str, typer.Option(help="Write the scenario to this file.")] = "",
    records: Annotated[
        str, typer.Option(help="Write the records to this file, for `load-distribution`.")
    ] = "",
) -> None:
    """Simulate one scenario."""
    from petrellane.simulation import command
    from petrellane.simulation.scenario_files import ScenarioError

    try:
        raise typer.Exit(command.replay(file, seed, write, records))
    except ScenarioError as error:
        _exit_with_error(error)


LOAD_DISTRIBUTION_HELP = (
    "How even load is over endpoints: peaks, troughs, idle endpoints, herds and swings; "
    "docs/history/load-distribution.md defines them."
)


@app.command("spread", hidden=True, help=LOAD_DISTRIBUTION_HELP)
@app.command("load-distribution", help=LOAD_DISTRIBUTION_HELP)
def load_distribution(  # noqa: PLR0913 - a parameter for each option
    path: Annotated[str, typer.Argument(help="A file of records, or a folder of gateways' logs.")],
    since: Annotated[float, typer.Option(min=0.0, help="Seconds to leave out at the start.")] = 0.0,
    until: Annotated[
        float, typer.Option(min=0.0, help="Second at which to stop; 0 is the end.")
    ] = 0.0,
    json: Annotated[
        bool, typer.Option("--json", help="One JSON object in place of a table.")
    ] = False,
    svg: Annotated[
        str, typer.Option(help="Write a heat map of endpoints over time to this file.")
    ] = "",
    seed: Annotated[int, typer.Option(help="Seed of the draws that show what chance gives.")] = 0,
) -> None:
    """Print how evenly load is distributed over endpoints."""
    from petrellane.load_distribution import commands
    from petrellane.load_distribution.sources import LoadSourceError

    try:
        commands.print_figures(commands.SpreadOptions(path, since, until or None, json, svg, seed))
    except LoadSourceError as error:
        _exit_with_error(error)


settings_app = typer.Typer(
    help="Settings that take hold at every gateway or at none, through a control process.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
)
app.add_typer(settings_app, name="settings")
CONTROL = Annotated[
    str,
    typer.Option("--control", help="The control process's TOML file.", envvar="PETRELLANE_CONTROL"),
]
JSON = Annotated[bool, typer.Option("--json", help="One JSON object in place of words.")]
WAIT = Annotated[float, typer.Option("--wait", min=0.0, help="Seconds to follow a change for.")]
WITHOUT = Annotated[
    list[str],
    typer.Option("--without", help="A gateway whose process has surely ended, by your word."),
]


@app.command()
def control(
    file: Annotated[
        str, typer.Argument(help="A TOML file; docs/changing-settings.md names its keys.")
    ],
) -> None:
    """Run the control process that staff propose settings to, until SIGTERM."""
    from petrellane.config import ConfigError
    from petrellane.config.consensus import load_control_config
    from petrellane.config_consensus.control_service import ControlService
    from petrellane.config_consensus.journal import JournalError

    try:
        service = ControlService(load_control_config(file))
    except (ConfigError, JournalError) as error:
        _exit_with_error(error)
    except OSError as error:
        _exit_with_error(
            f"{file}: expected an address to listen at and a journal to write: {error}"
        )
    service.stop_on_signals({signal.SIGTERM, signal.SIGINT})
    service.run()


def _exit_with_result(
    control_file: str, as_json: bool, call: Callable[["SettingsCommands"], int]
) -> NoReturn:
    """Call a control process, and end with the exit code that `call` returns.

    Args:
        control_file: The control process's TOML file.
        as_json: Print JSON in place of words.
        call: Runs one command; its ConfigError and CommandFailedError end the command line.
    """
    from petrellane.config import ConfigError
    from petrellane.config.consensus import load_control_config
    from petrellane.config_consensus.commands import (
        CommandFailedError,
        ControlClient,
        SettingsCommands,
    )

    try:
        client = ControlClient(load_control_config(control_file))
        raise typer.Exit(call(SettingsCommands(client, as_json)))
    except CommandFailedError as error:
        raise typer.Exit(error.exit_code) from None
    except ConfigError as error:
        _exit_with_error(error)


@settings_app.command(
    "propose",
    help="Propose settings. Exit code 0 in force, 2 what you gave is wrong, 3 refused, 4 aborted, "
    "5 in doubt.",
)
def settings_propose(  # noqa: PLR0913 - a parameter for each option
    file: Annotated[
        str, typer.Argument(help="JSON: settings, or a gateway's whole configuration.")
    ],
    control: CONTROL,
    without: WITHOUT = [],  # noqa: B006 - typer never changes it
    wait: WAIT = 10.0,
    less: Annotated[
        bool, typer.Option(help="Keys of the settings in force may be lacking.")
    ] = False,
    json: JSON = False,
) -> None:
    """Propose settings and follow the change."""
    _exit_with_result(control, json, lambda commands: commands.propose(file, without, wait, less))


@settings_app.command("back")
def settings_back(
    number: int,
    control: CONTROL,
    without: WITHOUT = [],  # noqa: B006 - typer never changes it
    wait: WAIT = 10.0,
    json: JSON = False,
) -> None:
    """Propose the settings of an earlier generation again, as a new change."""
    _exit_with_result(control, json, lambda commands: commands.propose_again(number, without, wait))


@settings_app.command("status")
def settings_status(control: CONTROL, json: JSON = False) -> None:
    """What is in force where, and what is under way."""
    _exit_with_result(control, json, lambda commands: commands.show_status())


@settings_app.command("history")
def settings_history(control: CONTROL, json: JSON = False) -> None:
    """All changes, with what became of each."""
    _exit_with_result(control, json, lambda commands: commands.show_history())


@settings_app.command("show")
def settings_show(number: int, control: CONTROL, json: JSON = False) -> None:
    """The settings of a generation."""
    _exit_with_result(control, json, lambda commands: commands.show_generation(number))


@settings_app.command("diff")
def settings_diff(
    one: Annotated[str, typer.Argument(help="A generation's number, or a file.")],
    other: Annotated[str, typer.Argument(help="A generation's number, or a file.")],
    control: CONTROL,
    json: JSON = False,
) -> None:
    """What changes for whom between two generations, or to a file's settings, in words."""
    _exit_with_result(control, json, lambda commands: commands.show_differences(one, other))


testbed_app = typer.Typer(
    help="A testbed of many processes on loopback, with faults between them.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
)
app.add_typer(testbed_app, name="testbed")
app.add_typer(testbed_app, name="lab", hidden=True)


@testbed_app.command(
    "run",
    help="Play a run file and print what happened; exit code 1 when a rule broke or a process "
    "crashed.",
)
def testbed_run(
    file: Annotated[str, typer.Argument(help="A run file; docs/testbed.md has the notation.")],
    records: Annotated[
        str, typer.Option(help="Write the records to this file, for `load-distribution`.")
    ] = "",
) -> None:
    """Play a run file and print what happened."""
    from petrellane.testbed import command
    from petrellane.testbed.run_file import RunFileError

    try:
        raise typer.Exit(command.run_from_file(file, records))
    except RunFileError as error:
        _exit_with_error(error)


@testbed_app.command("demo")
def testbed_demo() -> None:
    """Three gateways, six hosts, 20 s of load, one host killed half way; ends by itself."""
    from petrellane.testbed import command

    raise typer.Exit(command.demo())


@testbed_app.command(
    "scale",
    help="Run many hollow gateways beside some real ones, and print what each role uses; exit "
    "code 1 when the run proves nothing.",
)
def testbed_scale(
    file: Annotated[str, typer.Argument(help="A scale file; docs/testbed.md has the notation.")],
) -> None:
    """Run many hollow gateways beside some real ones."""
    from petrellane.testbed.scale import runner
    from petrellane.testbed.scale.config import ScaleError

    try:
        raise typer.Exit(runner.play_file(file))
    except ScaleError as error:
        _exit_with_error(error)
