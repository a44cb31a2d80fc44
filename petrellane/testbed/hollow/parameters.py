"""The file that the testbed writes for each process of hollow gateways."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import orjson

IDEMPOTENT_EFFECT = "pure"  # the value of `effect` in the settings file
US_PER_MS = 1000


class LoadMethod(NamedTuple):
    """A method of the generated requests."""

    name: str
    is_query: bool
    deadline_ms: int

    @classmethod
    def from_settings(cls, row: Mapping[str, Any]) -> LoadMethod:
        """Return a method from its row in the settings file."""
        return cls(row["name"], row["effect"] == IDEMPOTENT_EFFECT, row["giveUp"] // US_PER_MS)


@dataclass(frozen=True)
class LoadParameters:
    """The load of one process.

    Attributes:
        rate: The requests per second over all gateways of the process; 0 for none.
        seed: The seed of the run's random numbers.
        gateway_count: The number of hollow gateways in the run.
        customer_count: The number of customers in the run.
        methods: The methods of the generated requests.
    """

    rate: float
    seed: int
    gateway_count: int
    customer_count: int
    methods: Sequence[LoadMethod]


@dataclass(frozen=True)
class HollowParameters:
    """The parameters of one process of hollow gateways.

    Attributes:
        config_path: The path of the configuration from which all gateways derive theirs.
        state_folder: The path of the directory that holds a state directory for each gateway with
            a participant.
        numbers: The numbers of the gateways in this process.
        host_count: The number of hosts in the endpoint list.
        has_module: Whether the decision modules of the gateways know endpoints.
        is_at_rest: Whether the gateways start with the endpoint list and the settings of a fleet
            in steady state; otherwise they request both.
        unreachable_count: The number below which gateways can be cut off.
        command_descriptor: The descriptor of the pipe for commands of the testbed; None without
            a pipe.
        load: The load of the process.
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
        """Return the parameters from the content of the file."""
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
        """Read the parameters from the file at a path."""
        return cls.from_dict(orjson.loads(Path(path).read_bytes()))
