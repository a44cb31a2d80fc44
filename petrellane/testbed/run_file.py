"""The run file, in TOML: the fleet, the steps with their times, and the expected violations.

    [lab]                      # sizes and figures; all have defaults
    gateways = 3
    hosts = 6
    seconds = 10.0
    rate = 100.0               # RPCs per second
    seed = 1
    agreement = false          # whether a control process changes the settings
    quota = 0.0                # quota of the plan `sold`, in units per second; 0: none
    ceiling = 0.0              # hard limit of the plan `sold`, in units per second; 0: none
    cold = 0.0                 # slow start of a host after it starts, in seconds
    cold_from = 1.0            # share of its full speed with which a host starts
    relays = ["clients", "counter", "discovery", "agents"]    # routes with relays; also "hosts"

    [[step]]
    at = 4.0                   # seconds after the start of the load
    do = "kill"                # one of STEPS
    who = ["h1"]               # gateways g0.., hosts h0.., control; empty for other steps
    for = 2.0                  # seconds after which the step is undone; 0: never
    size = 1.0                 # depends on the step, see STEPS
    between = ["agents"]       # faulty routes: clients, counter, discovery, agents, hosts

    [expect]
    broken = []                # names of the rules that the run breaks

The same file and seed inject the same faults at the same times. As the processes are real, the RPCs
that a fault affects may differ between two runs.
"""

import tomllib
from collections.abc import Sequence
from pathlib import Path

import msgspec

from petrellane.invariants import RULES
from petrellane.testbed.clients import Customer
from petrellane.testbed.fleet_relays import RELAY_NAMES
from petrellane.testbed.fleet_spec import (
    DEFAULT_ATTEMPTS,
    DEFAULT_CUSTOMERS,
    FleetSpec,
    Settings,
    SettingsSpec,
    build_settings,
)

RELAY_FAULTS = ("cut", "mute", "deaf", "late", "lossy", "half", "hang", "refuse", "reset")
STEPS = (
    "kill",  # gateways, hosts, control processes
    "start",  # gateways, hosts, control processes
    "stop",  # gateways
    "old file",  # gateways
    "term",  # gateways
    "slow",  # hosts; size: the factor by which work takes longer
    "fail",  # hosts; size: the share of RPCs that fail
    "silent",  # hosts
    "drain",  # hosts
    "counter quiet",
    "counter refuses",
    "counter forgets",
    "discovery away",
    "rate",  # size: RPCs per second
    "propose",  # size: the maximum number of attempts in the new settings
    "split",  # gateways
    *RELAY_FAULTS,  # gateways, hosts; size: `late` seconds, `lossy` share, `half` bytes
)
ROUTE_KINDS = {name: kind for kind, name in RELAY_NAMES.items()}
EXTRA_RULES = ("agreed", "forgotten")
RANGES = (
    ("gateways", 1, 300),
    ("hosts", 1, 400),
    ("seconds", 0.1, 3600),
    ("rate", 0.1, 20000),
)


class RunFileError(Exception):
    """A run file is unreadable or malformed; the message names the file and the key."""


class LabSection(msgspec.Struct, forbid_unknown_fields=True):
    """The section `lab`: the fleet and the load."""

    gateways: int = 3
    hosts: int = 6
    seconds: float = 10.0
    rate: float = 100.0
    seed: int = 1
    agreement: bool = False
    quota: float = 0.0
    ceiling: float = 0.0
    cold: float = 0.0
    cold_from: float = 1.0
    work: float = 0.02
    relays: tuple[str, ...] = ("clients", "counter", "discovery", "agents")


class Step(msgspec.Struct, forbid_unknown_fields=True, rename={"length": "for"}):
    """A step of the run; `length` has the key `for` in the file."""

    at: float
    do: str
    who: list[str] = []
    length: float = 0.0
    size: float = 1.0
    between: tuple[str, ...] = ("agents",)


class Expectation(msgspec.Struct, forbid_unknown_fields=True):
    """The section `expect`: the names of the rules that the run has to break."""

    broken: list[str] = []


class RunFile(msgspec.Struct, forbid_unknown_fields=True):
    """The content of a run file."""

    lab: LabSection = msgspec.field(default_factory=LabSection)
    step: list[Step] = []
    expect: Expectation = msgspec.field(default_factory=Expectation)


def load_run_file(path: str) -> RunFile:
    """Read a run file.

    Raises:
        RunFileError: The file is unreadable or malformed.
    """
    try:
        return parse_run_file(Path(path).read_text(encoding="utf-8"), path)
    except (OSError, UnicodeDecodeError) as error:
        raise RunFileError(f"{path}: expected a readable file: {error}") from None


def parse_run_file(text: str, name: str = "run") -> RunFile:
    """Parse the text of a run file.

    Args:
        text: The text.
        name: The name of the file, with which error messages start.

    Raises:
        RunFileError: The text is malformed.
    """
    try:
        run = msgspec.convert(tomllib.loads(text), RunFile)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise RunFileError(f"{name}: {error}") from None
    _check_lab(run.lab, name)
    for rule in run.expect.broken:
        if rule not in (*RULES, *EXTRA_RULES):
            raise RunFileError(
                f"{name}: expect.broken: expected rules of the invariants, found {rule}"
            )
    for index, step in enumerate(run.step):
        _check_step(run.lab, step, f"{name}: step[{index}]")
    return run


def _check_lab(lab: LabSection, name: str) -> None:
    for key, minimum, maximum in RANGES:
        value = getattr(lab, key)
        if not minimum <= value <= maximum:
            raise RunFileError(f"{name}: lab.{key}: expected {minimum} to {maximum}, found {value}")
    if lab.cold < 0 or not 0 < lab.cold_from <= 1:
        raise RunFileError(
            f"{name}: lab.cold: expected seconds from 0 and a share over 0 up to 1, "
            f"found {lab.cold:g}, {lab.cold_from:g}"
        )
    _check_names(lab.relays, tuple(ROUTE_KINDS), f"{name}: lab.relays: expected some of")


def _check_step(lab: LabSection, step: Step, path: str) -> None:
    if step.do not in STEPS:
        raise RunFileError(f"{path}.do: expected one of {', '.join(STEPS)}, found {step.do}")
    if not 0 <= step.at <= lab.seconds or step.length < 0:
        raise RunFileError(
            f"{path}.at: expected 0 to {lab.seconds:g} and a length from 0, "
            f"found {step.at:g}, {step.length:g}"
        )
    parties = {f"g{number}" for number in range(lab.gateways)}
    parties |= {f"h{number}" for number in range(lab.hosts)}
    if lab.agreement:
        parties.add("control")
    for party in step.who:
        if party not in parties:
            raise RunFileError(
                f"{path}.who: expected g0 to g{lab.gateways - 1}, h0 to h{lab.hosts - 1} or "
                f"control, found {party}"
            )
    _check_names(step.between, tuple(ROUTE_KINDS), f"{path}.between: expected some of")
    if step.do in RELAY_FAULTS:
        for kind in step.between:
            if kind not in lab.relays:
                raise RunFileError(
                    f"{path}.between: expected some of lab.relays ({', '.join(lab.relays)}), "
                    f"found {kind}"
                )


def _check_names(names: Sequence[str], known: Sequence[str], expected: str) -> None:
    for name in names:
        if name not in known:
            raise RunFileError(f"{expected} {', '.join(known)}, found {name}")


def settings_of(lab: LabSection, attempts: int = DEFAULT_ATTEMPTS) -> Settings:
    """Return the settings of a run, with a maximum number of attempts per RPC."""
    return build_settings(
        SettingsSpec(
            lab.gateways,
            attempts=attempts,
            quota=lab.quota,
            hard_limit=lab.ceiling,
            slow_start_s=lab.cold,
            slow_start_minimum=lab.cold_from,
        )
    )


def fleet_spec_of(run: RunFile) -> FleetSpec:
    """Return the description of the fleet of a run."""
    lab = run.lab
    is_sold = bool(lab.quota or lab.ceiling)
    customers = [
        Customer(
            number + 1,
            "sold" if number % 2 and is_sold else "free",
            first_gateway=number % lab.gateways,
            gateway_count=lab.gateways,
        )
        for number in range(DEFAULT_CUSTOMERS)
    ]
    return FleetSpec(
        gateways=lab.gateways,
        hosts=lab.hosts,
        seed=lab.seed,
        agreement=lab.agreement,
        relays=lab.relays,
        settings=settings_of(lab),
        rate=lab.rate,
        work=lab.work,
        customers=customers,
    )
