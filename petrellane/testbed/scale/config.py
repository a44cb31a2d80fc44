"""The file of a scale run: its notation, its checks, and how hollow gateways share processes.

    [scale]
    hollow = 30             # gateways without clients and hosts, hundreds in one process
    real = 0                # gateways as they are, a process each, without clients
    hosts = 50              # in the list that discovery serves
    methods = 4             # in the settings
    customers = 200         # that RPCs are drawn of
    rpcs = 0.0              # a second over all hollow gateways; needs `module`
    seconds = 10.0          # of the steady phase
    list_changes = 0.0      # a second: a host drains, or comes back
    settings_changes = 0    # in the run, through the control process; needs `agreement`
    agreement = false       # a control process, and agents at the gateways
    module = true           # hollow gateways decide and lease; else they hold no host
    processes = 0           # for the hollow ones; 0: as needed
    seed = 1
    cut = 0.0               # fraction of the roster that accepts no management connections
                            # during the changes of settings
    restart_at = 0.0        # all hollow gateways end at this second and start anew at once,
                            # without a list; 0: never
    discovery_rate = 0.0    # calls that discovery serves a second, the rest get status 503;
                            # 0: no limit

A file that is malformed raises ScaleError with one line.
"""

import tomllib
from pathlib import Path
from typing import NoReturn

import msgspec

GATEWAYS_PER_PROCESS = 50  # hollow ones, where the file names no number of processes


class ScaleError(Exception):
    """A run that cannot be played; the text is one line."""


class ScaleConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The section `scale`; the module's docstring describes each key."""

    hollow: int = 30
    real: int = 0
    hosts: int = 50
    methods: int = 4
    customers: int = 200
    rpcs: float = 0.0
    seconds: float = 10.0
    list_changes: float = 0.0
    settings_changes: int = 0
    agreement: bool = False
    module: bool = True
    processes: int = 0
    seed: int = 1
    cut: float = 0.0
    restart_at: float = 0.0
    discovery_rate: float = 0.0

    @property
    def gateway_count(self) -> int:
        """All gateways, hollow and real."""
        return self.hollow + self.real


class ScaleFile(msgspec.Struct, forbid_unknown_fields=True):
    """A complete file."""

    scale: ScaleConfig


RANGES: dict[str, tuple[float, float]] = {
    "hollow": (0, 5000),
    "real": (0, 200),
    "hosts": (1, 50_000),
    "methods": (3, 10_000),
    "customers": (1, 200_000),
    "rpcs": (0, 100_000),
    "seconds": (1, 600),
    "list_changes": (0, 1000),
    "settings_changes": (0, 100),
    "processes": (0, 200),
    "seed": (0, 2**31),
    "cut": (0, 1),
    "restart_at": (0, 600),
    "discovery_rate": (0, 1e6),
}


def parse(text: str, name: str = "run") -> ScaleConfig:
    """Parse and check the text of a file.

    Args:
        text: The content, in TOML.
        name: The file's name, for messages.

    Raises:
        ScaleError: The text is malformed, or the run cannot be played.
    """
    try:
        config = msgspec.convert(tomllib.loads(text), ScaleFile).scale
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScaleError(f"{name}: {error}") from None
    validate(config, name)
    return config


def load(path: str) -> ScaleConfig:
    """Read a file.

    Raises:
        ScaleError: The file cannot be read, is malformed, or the run cannot be played.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScaleError(f"{path}: expected a readable file: {error}") from None
    return parse(text, path)


def validate(config: ScaleConfig, name: str = "run") -> None:
    """Check ranges, and keys that need each other.

    Raises:
        ScaleError: A key is out of its range or lacks another.
    """
    for key, (minimum, maximum) in RANGES.items():
        if not minimum <= getattr(config, key) <= maximum:
            _refuse(config, name, key, f"{minimum:g} to {maximum:g}")
    if not config.gateway_count:
        _refuse(config, name, "hollow", "at least one gateway, hollow or real")
    if config.rpcs and not (config.module and config.hollow):
        _refuse(config, name, "rpcs", "0 without hollow gateways that have their module")
    if config.settings_changes and not config.agreement:
        _refuse(config, name, "settings_changes", "0 without agreement")
    if config.cut and not config.settings_changes:
        _refuse(config, name, "cut", "0 without changes of settings")
    if config.restart_at >= config.seconds:
        expected = f"less than the {config.seconds:g} seconds of the run"
        _refuse(config, name, "restart_at", expected)
    if config.processes > config.hollow:
        _refuse(config, name, "processes", f"at most the {config.hollow} hollow gateways")


def _refuse(config: ScaleConfig, name: str, key: str, expected: str) -> NoReturn:
    raise ScaleError(f"{name}: scale.{key}: expected {expected}, found {getattr(config, key)}")


def gateways_by_process(config: ScaleConfig) -> list[range]:
    """Return the numbers of the hollow gateways in each of their processes."""
    process_count = config.processes or -(-config.hollow // GATEWAYS_PER_PROCESS)
    return [
        range(
            config.hollow * index // process_count,
            config.hollow * (index + 1) // process_count,
        )
        for index in range(process_count)
    ]
