"""The file that the testbed writes for each process of hollow gateways."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import orjson

IDEMPOTENT_EFFECT = "pure"  # of a method, as the settings file has it
US_PER_MS = 1000


class LoadMethod(NamedTuple):
    """A method that requests are generated of."""

    name: str
    is_query: bool
    deadline_ms: int

    @classmethod
    def from_settings(cls, row: Mapping[str, Any]) -> LoadMethod:
        """Read a method from its row of the settings file."""
        return cls(row["name"], row["effect"] == IDEMPOTENT_EFFECT, row["giveUp"] // US_PER_MS)


@dataclass(frozen=True)
class LoadParameters:
    """The requests of one process.

    Attributes:
        rate: Requests a second over all gateways of the process; 0 for none.
        seed: Of the run's random numbers.
        gateway_count: The hollow gateways of the run.
        customer_count: The customers of the run.
        methods: The methods that requests are generated of.
    """

    rate: float
    seed: int
    gateway_count: int
    customer_count: int
    methods: Sequence[LoadMethod]


@dataclass(frozen=True)
class HollowParameters:
    """The parameters of one process.

    Attributes:
        config_path: A gateway's configuration, which all start from.
        state_folder: Where gateways that agree on settings keep their state, a folder each.
        numbers: The numbers of the process's gateways.
        host_count: The hosts in the endpoint list.
        has_module: Whether gateways decide and lease; else they know no endpoint.
        is_at_rest: Whether they start as of a fleet at rest, with its endpoint list and the
            settings in force; else they ask for both.
        unreachable_count: Gateways with a number below this can be cut off.
        command_descriptor: The pipe on which the testbed gives commands; None without.
        load: The requests that come.
    """

    config_path: str
    state_folder: str
    numbers: Sequence[int]
    host_count: int
    has_module: bool
    is_at_rest: bool
    unreachable_count: int
    command_descriptor: int | None
    load: LoadParameters

    @classmethod
    def from_dict(cls, stored: Mapping[str, Any]) -> HollowParameters:
        """Read parameters from the form in which the testbed writes them."""
        return cls(
            config_path=stored["file"],
            state_folder=stored["folder"],
            numbers=stored["numbers"],
            host_count=stored["hosts"],
            has_module=stored["module"],
            is_at_rest=stored["fresh"],
            unreachable_count=stored["cut"],
            command_descriptor=stored.get("words"),
            load=LoadParameters(
                rate=stored["rpcs"],
                seed=stored["seed"],
                gateway_count=stored["gateways"],
                customer_count=stored["customers"],
                methods=[LoadMethod.from_settings(row) for row in stored["methods"]],
            ),
        )

    @classmethod
    def read(cls, path: str) -> HollowParameters:
        """Read the file at a path."""
        return cls.from_dict(orjson.loads(Path(path).read_bytes()))
