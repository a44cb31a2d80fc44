"""The command line."""

import os
import signal
import sys
from functools import partial

import typer

from petrellane import __version__
from petrellane.config import ConfigError, load
from petrellane.net.node import Node

app = typer.Typer(help="An admission gateway that leases customers' credit from a shared count.",
                  no_args_is_help=True, add_completion=False, rich_markup_mode=None,
                  pretty_exceptions_enable=False)


def configuration():
    """The configuration, or one line on standard error and exit code 2."""
    try:
        return load(os.environ)
    except ConfigError as error:
        print(f"petrellane: {error}", file=sys.stderr)
        raise typer.Exit(2) from None


@app.command()
def serve():
    """Serve until SIGTERM; PROXY_CONFIG names the configuration file, which SIGHUP has read anew."""
    node = Node(configuration())
    node.obey({signal.SIGTERM: node.end, signal.SIGINT: node.end,
               signal.SIGHUP: lambda: node.reload(partial(load, os.environ, again=True))})
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
