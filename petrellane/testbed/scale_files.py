"""The addresses and files of a scale run: configurations of all its processes."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any, Protocol

import orjson

from petrellane.testbed.addresses import AddressPool
from petrellane.testbed.endpoint_rows import IN_SERVICE, EndpointRow
from petrellane.testbed.fleet_spec import Settings

KEY = b"key of one run only"
ZONES = 12
PODS = 250
SEEDS_PER_RUN = 100_000  # gateways' seeds of two runs differ


class ScaleParameters(Protocol):
    """The sizes of a run; docs/testbed.md describes each, as a key of the scale file."""

    hollow: int
    real: int
    hosts: int
    customers: int
    rpcs: float
    seconds: float
    list_changes: float
    settings_changes: int
    agreement: bool
    module: bool
    seed: int
    cut: float
    restart_at: float
    discovery_rate: float


def gateway_names(parameters: ScaleParameters) -> list[str]:
    """Return the names of all gateways, the hollow ones first."""
    hollow = [f"g{number}" for number in range(parameters.hollow)]
    return hollow + [f"r{number}" for number in range(parameters.real)]


class ScaleFiles:
    """The addresses and files of one run, owned by its testbed.

    Attributes:
        discovery_port: Where discovery listens.
        counter_port: Where the counter listens.
        control_port: Where the control process listens.
        members: The addresses of the gateways' management; empty without agreement.
        key: The key of calls between the processes.
        rows: The endpoint list.
        settings: The settings that gateways start with.
    """

    def __init__(
        self, parameters: ScaleParameters, folder: str, pool: AddressPool, settings: Settings
    ) -> None:
        """Take ports, and write the key."""
        self.discovery_port = pool.next_port()
        self.counter_port = pool.next_port()
        self.control_port = pool.next_port()
        self.members: dict[str, str] = {}
        if parameters.agreement:
            for name in gateway_names(parameters):
                self.members[name] = f"{pool.ip}:{pool.next_port()}"
        self.key = KEY
        self.rows = [_make_row(number) for number in range(parameters.hosts)]
        self.settings = settings
        self._parameters = parameters
        self._folder = Path(folder)
        self._pool = pool
        self._key_file = self._folder / "key"
        self._key_file.write_bytes(self.key)

    def meter_configuration(self, role: str) -> dict[str, Any]:
        """Return how the meter of a role names what its streams are for."""
        if role == "discovery":
            return {"else": "discovery"}
        if role == "counter":
            return {"else": "adds"}
        ports = {str(self.discovery_port): "discovery", str(self.counter_port): "counter"}
        return {"ports": ports}

    def write_gateway(self, file_name: str, gateway: str, has_list: bool) -> str:
        """Write a gateway's configuration; return its path.

        Args:
            file_name: The file's name.
            gateway: The gateway's name.
            has_list: Whether it knows the endpoint list from before.
        """
        path = self._folder / file_name
        path.write_bytes(orjson.dumps(self._gateway_config(gateway, has_list)))
        return str(path)

    def write_control(self) -> str:
        """Write the control process's configuration; return its path."""
        lines = [
            'name = "control"',
            f'listen = "{self._pool.ip}:{self.control_port}"',
            'journal = "journal.db"',
            'key_file = "key"',
            "",
            "[gateways]",
        ]
        lines += [f'{name} = "{address}"' for name, address in self.members.items()]
        path = self._folder / "control.toml"
        path.write_text("".join(f"{line}\n" for line in lines))
        return str(path)

    def discovery_parameters(self) -> dict[str, Any]:
        """Return what discovery's process is to know."""
        return {
            "ip": self._pool.ip,
            "port": self.discovery_port,
            "rows": self.rows,
            "rate": self._parameters.discovery_rate,
            "changes": self._parameters.list_changes,
            "seed": self._parameters.seed,
        }

    def counter_parameters(self) -> dict[str, Any]:
        """Return what the counter's process is to know."""
        return {"ip": self._pool.ip, "port": self.counter_port}

    def hollow_parameters(
        self, config_path: str, numbers: Sequence[int], at_rest: bool
    ) -> dict[str, Any]:
        """Return what a process of hollow gateways is to know.

        Args:
            config_path: A gateway's configuration, which all start from.
            numbers: The numbers of its gateways.
            at_rest: Whether they start as of a fleet at rest, with its list.
        """
        parameters = self._parameters
        return {
            "file": config_path,
            "numbers": list(numbers),
            "folder": str(self._folder / "state"),
            "hosts": parameters.hosts,
            "module": parameters.module,
            "fresh": at_rest,
            "cut": round(parameters.cut * parameters.hollow),
            "customers": parameters.customers,
            "rpcs": parameters.rpcs * len(numbers) / parameters.hollow,
            "seed": parameters.seed,
            "gateways": parameters.hollow,
            "methods": self.settings["classes"],
        }

    def _gateway_config(self, name: str, has_list: bool) -> dict[str, Any]:
        parameters = self._parameters
        is_real = name.startswith("r")
        config: dict[str, Any] = {
            "name": name,
            "listen": f"{self._pool.ip}:{self._pool.next_port() if is_real else 1}",
            "discovery": f"{self._pool.ip}:{self.discovery_port}",
            "counter": f"{self._pool.ip}:{self.counter_port}",
            "seed": f"{parameters.seed * SEEDS_PER_RUN + int(name[1:]):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {
                "index": parameters.hosts if has_list else 0,
                "snapshot": True,
                "endpoints": self.rows if has_list else [],
            },
            "settings": {**self.settings, "locality": "z0"},
        }
        if parameters.agreement:
            state = self._folder / "state" / name
            state.mkdir(parents=True, exist_ok=True)
            config["management"] = self.members[name]
            config["agreement"] = {
                "key_file": str(self._key_file),
                "state": str(state),
                "members": self.members,
            }
        return config


def _make_row(number: int) -> EndpointRow:
    """Return a host of the endpoint list, which nobody dials."""
    return {
        "name": f"h{number}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
        "zone": f"z{number % ZONES}",
        "type": "k",
        "group": number % PODS,
        "status": IN_SERVICE,
        "weight": 1.0,
        "since_ms": 0,
    }
