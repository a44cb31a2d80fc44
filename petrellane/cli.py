"""The command line. A sub-command imports what it needs when it runs, so that `serve` starts light."""

import os
import signal
import sys
from functools import partial
from typing import Annotated

import typer

from petrellane import __version__

app = typer.Typer(help="An admission gateway that leases customers' credit from a shared count.",
                  no_args_is_help=True, add_completion=False, rich_markup_mode=None,
                  pretty_exceptions_enable=False)


def configuration():
    """The configuration, or one line on standard error and exit code 2."""
    from petrellane.config import ConfigError, load
    try:
        return load(os.environ)
    except ConfigError as error:
        refuse(error)


def refuse(error):
    """End with one line on standard error and exit code 2."""
    print(f"petrellane: {error}", file=sys.stderr)
    raise typer.Exit(2) from None


@app.command()
def serve():
    """Serve until SIGTERM; PROXY_CONFIG names the configuration file, which SIGHUP has read anew."""
    from petrellane.config import load
    from petrellane.gateway.node import Node
    node = Node(configuration())
    node.obey({signal.SIGTERM: node.end, signal.SIGINT: node.end,
               signal.SIGHUP: lambda: node.reload(partial(load, os.environ))})
    node.run()


@app.command()
def version():
    """Print the version."""
    print(__version__)


@app.command()
def check_config():
    """Read the configuration as serve would, and say what it holds or what is wrong with it."""
    config = configuration()
    print(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, {len(config.settings.methods)} methods, "
          f"{len(config.settings.plans)} plans, {len(config.known.entries)} hosts known")


@app.command()
def hunt(
    seeds: Annotated[int, typer.Option(min=1, help="Scenarios to play.")] = 2000,
    first: Annotated[int, typer.Option(min=0, help="The first seed; the same one gives the same hunt.")] = 1,
    jobs: Annotated[int, typer.Option(min=0, help="Processes; 0 is one a core.")] = 0,
    enough: Annotated[int, typer.Option(min=1, help="End once so many scenarios have broken a rule.")] = 1,
    out: Annotated[str, typer.Option(help="Folder for what is found.")] = "found",
):
    """Look for a run of the fleet model that breaks a rule; exit code 1 when there is one."""
    from petrellane.model import command
    raise typer.Exit(command.hunt(seeds, first, jobs, enough, out))


@app.command()
def replay(
    file: Annotated[str, typer.Argument(help="A scenario file, or the number of a seed with --seed.")],
    seed: Annotated[bool, typer.Option("--seed", help="Play the scenario that this seed draws.")] = False,
    write: Annotated[str, typer.Option(help="Write the scenario to this file.")] = "",
):
    """Play one scenario of the fleet model and tell it as a time line; exit code 1 when it is not as expected."""
    from petrellane.model import command
    from petrellane.model.scenario import ScenarioError
    try:
        raise typer.Exit(command.replay(file, seed, write))
    except ScenarioError as error:
        refuse(error)
