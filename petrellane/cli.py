"""The command line.

Each sub-command imports its modules when it runs, so that `serve` does not load those of other
commands. The docstring of a command is its help text, unless the decorator passes `help`. An error
that the user can correct is printed as one line on standard error, with exit code 2.
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
    help="An admission gateway that leases customers' quotas from a shared counter.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


EXIT_USAGE = 2
"""The exit code for an invalid command line, input file or environment."""

FORMER_COMMANDS = {
    "hunt": "property-search",
    "spread": "load-distribution",
    "lab": "testbed",
}
"""The former names of commands, which still work, and their current names."""


@app.callback()
def _warn_about_former_name(context: typer.Context) -> None:
    name = context.invoked_subcommand or ""
    if name in FORMER_COMMANDS:
        print(f"petrellane: {name} was renamed to {FORMER_COMMANDS[name]}", file=sys.stderr)


def _load_config() -> "Config":
    """Return the configuration that the environment names, or end the command if it is invalid."""
    from petrellane.config import ConfigError, load

    try:
        return load(os.environ)
    except ConfigError as error:
        _exit_with_error(error)


def _exit_with_error(error: Exception | str) -> NoReturn:
    """Print an error as one line on standard error, and end the command with EXIT_USAGE."""
    print(f"petrellane: {error}", file=sys.stderr)
    raise typer.Exit(EXIT_USAGE) from None


@app.command(
    help="Run the gateway until SIGTERM. PROXY_CONFIG names the configuration file; SIGHUP reloads "
    "it."
)
def serve() -> None:
    """Run the gateway until SIGTERM."""
    from petrellane.gateway import process

    raise typer.Exit(process.serve(os.environ))


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


@app.command()
def check_config() -> None:
    """Read the configuration as `serve` does, and print a summary or the first error."""
    config = _load_config()
    host, port = config.listen
    print(
        f"{config.name}: listens on {host}:{port}, {len(config.settings.methods)} methods, "
        f"{len(config.settings.plans)} plans, {len(config.known.entries)} endpoints known"
    )


@app.command("hunt", hidden=True)
@app.command("property-search")
def search_properties(
    seeds: Annotated[int, typer.Option(min=1, help="Number of scenarios to simulate.")] = 2000,
    first: Annotated[
        int, typer.Option(min=0, help="First seed; the same value repeats the same search.")
    ] = 1,
    jobs: Annotated[
        int, typer.Option(min=0, help="Number of processes; 0 means one per core.")
    ] = 0,
    enough: Annotated[
        int, typer.Option(min=1, help="Stop after this many scenarios have broken a rule.")
    ] = 1,
    out: Annotated[str, typer.Option(help="Folder for the scenarios that break a rule.")] = "found",
) -> None:
    """Search generated scenarios for one that breaks a rule; exit code 1 if one is found."""
    from petrellane.simulation import command

    raise typer.Exit(command.search(seeds, first, jobs, enough, out))


@app.command(
    help="Simulate one scenario and print its timeline; exit code 1 if the outcome differs from "
    "the expected one."
)
def replay(
    file: Annotated[
        str, typer.Argument(help="A scenario file or, with --seed, the number of a seed.")
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
    "Print how evenly load is distributed over endpoints: peaks, troughs, idle endpoints, herds "
    "and swings. docs/history/load-distribution.md defines these figures."
)


@app.command("spread", hidden=True, help=LOAD_DISTRIBUTION_HELP)
@app.command("load-distribution", help=LOAD_DISTRIBUTION_HELP)
def load_distribution(  # noqa: PLR0913 - one parameter per option
    path: Annotated[str, typer.Argument(help="A file of records, or a folder of gateway logs.")],
    since: Annotated[float, typer.Option(min=0.0, help="Seconds to skip at the start.")] = 0.0,
    until: Annotated[
        float, typer.Option(min=0.0, help="Second at which to stop; 0 means the end.")
    ] = 0.0,
    json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object instead of a table.")
    ] = False,
    svg: Annotated[
        str, typer.Option(help="Write a heat map of endpoints over time to this file.")
    ] = "",
    seed: Annotated[int, typer.Option(help="Seed of the random assignments for comparison.")] = 0,
) -> None:
    """Print how evenly load is distributed over endpoints."""
    from petrellane.load_distribution import commands
    from petrellane.load_distribution.sources import LoadSourceError

    try:
        commands.print_figures(
            commands.LoadDistributionOptions(path, since, until or None, json, svg, seed)
        )
    except LoadSourceError as error:
        _exit_with_error(error)


settings_app = typer.Typer(
    help="Propose and inspect settings through a control process; a change takes effect at every "
    "gateway or at none.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
)
app.add_typer(settings_app, name="settings")
ControlOption = Annotated[
    str,
    typer.Option(
        "--control", help="TOML file of the control process.", envvar="PETRELLANE_CONTROL"
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object instead of text.")]
WaitOption = Annotated[
    float, typer.Option("--wait", min=0.0, help="Seconds to wait for a change to finish.")
]
WithoutOption = Annotated[
    list[str],
    typer.Option(
        "--without",
        help="A gateway to exclude from the vote because its process has definitely ended; may be "
        "repeated.",
    ),
]


@app.command()
def control(
    file: Annotated[
        str, typer.Argument(help="A TOML file; docs/changing-settings.md lists its keys.")
    ],
) -> None:
    """Run the control process, to which staff propose settings, until SIGTERM or SIGINT."""
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
            f"{file}: expected a free address to listen on and a writable journal: {error}"
        )
    service.stop_on_signals({signal.SIGTERM, signal.SIGINT})
    service.run()


def _exit_with_result(
    control_file: str, as_json: bool, call: Callable[["SettingsCommands"], int]
) -> NoReturn:
    """Run one command against a control process, and exit with the code that it returns.

    A CommandFailedError of the command sets the exit code; a ConfigError is printed and ends in
    EXIT_USAGE.

    Args:
        control_file: The path of the control process's TOML file.
        as_json: Whether to print JSON instead of text.
        call: The function that runs the command and returns its exit code.
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
    help="Propose settings. Exit codes: 0 in force, 2 invalid input, 3 rejected, 4 aborted, "
    "5 in doubt.",
)
def settings_propose(  # noqa: PLR0913 - one parameter per option
    file: Annotated[
        str,
        typer.Argument(
            help="A JSON file with settings, or with the whole configuration of a gateway."
        ),
    ],
    control: ControlOption,
    without: WithoutOption = [],  # noqa: B006 - typer never changes it
    wait: WaitOption = 10.0,
    less: Annotated[
        bool, typer.Option(help="Allow keys of the settings in force to be missing.")
    ] = False,
    json: JsonOption = False,
) -> None:
    """Propose settings and wait for the change."""
    _exit_with_result(control, json, lambda commands: commands.propose(file, without, wait, less))


@settings_app.command("back")
def settings_back(
    number: int,
    control: ControlOption,
    without: WithoutOption = [],  # noqa: B006 - typer never changes it
    wait: WaitOption = 10.0,
    json: JsonOption = False,
) -> None:
    """Propose the settings of an earlier generation as a new change."""
    _exit_with_result(control, json, lambda commands: commands.propose_again(number, without, wait))


@settings_app.command("status")
def settings_status(control: ControlOption, json: JsonOption = False) -> None:
    """Print the settings in force, the change in progress and the state of each gateway."""
    _exit_with_result(control, json, lambda commands: commands.show_status())


@settings_app.command("history")
def settings_history(control: ControlOption, json: JsonOption = False) -> None:
    """Print all changes and their outcomes."""
    _exit_with_result(control, json, lambda commands: commands.show_history())


@settings_app.command("show")
def settings_show(number: int, control: ControlOption, json: JsonOption = False) -> None:
    """Print the settings of a generation."""
    _exit_with_result(control, json, lambda commands: commands.show_generation(number))


@settings_app.command("diff")
def settings_diff(
    one: Annotated[str, typer.Argument(help="A generation's number, or a file.")],
    other: Annotated[str, typer.Argument(help="A generation's number, or a file.")],
    control: ControlOption,
    json: JsonOption = False,
) -> None:
    """Print the differences between two generations, or between a generation and a file."""
    _exit_with_result(control, json, lambda commands: commands.show_differences(one, other))


testbed_app = typer.Typer(
    help="Run a testbed of many processes on loopback, with injected faults.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
)
app.add_typer(testbed_app, name="testbed")
app.add_typer(testbed_app, name="lab", hidden=True)


@testbed_app.command(
    "run",
    help="Run the steps of a run file and print the results; exit code 1 if the broken rules "
    "differ from the expected ones, a process crashes or the run is void.",
)
def testbed_run(
    file: Annotated[str, typer.Argument(help="A run file; docs/testbed.md describes its format.")],
    records: Annotated[
        str, typer.Option(help="Write the records to this file, for `load-distribution`.")
    ] = "",
) -> None:
    """Run the steps of a run file and print the results."""
    from petrellane.testbed import command
    from petrellane.testbed.run_file import RunFileError

    try:
        raise typer.Exit(command.run_from_file(file, records))
    except RunFileError as error:
        _exit_with_error(error)


@testbed_app.command("demo")
def testbed_demo() -> None:
    """Run three gateways and six hosts under load for 20 s, and kill one host halfway."""
    from petrellane.testbed import command

    raise typer.Exit(command.demo())


@testbed_app.command(
    "scale",
    help="Run many hollow gateways beside some real ones, and print the resources that each role "
    "uses; exit code 1 if the run fails or its results are void.",
)
def testbed_scale(
    file: Annotated[
        str, typer.Argument(help="A scale file; docs/testbed.md describes its format.")
    ],
) -> None:
    """Run many hollow gateways beside some real ones."""
    from petrellane.testbed.scale import runner
    from petrellane.testbed.scale.config import ScaleError

    try:
        raise typer.Exit(runner.play_file(file))
    except ScaleError as error:
        _exit_with_error(error)
