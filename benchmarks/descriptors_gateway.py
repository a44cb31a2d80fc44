"""The gateway process of `descriptors.py`: its configuration, its descriptors and its log."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any, NamedTuple

from petrellane.testbed.fleet_spec import LOOK

Event = dict[str, Any]

START_PATIENCE_S = 20.0
STOP_PATIENCE_S = 8.0
# Limits the descriptors of the process, and reports each dial that finds none.
CHILD_PROGRAM = """
import errno, os, resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, (int(sys.argv.pop(1)),) * 2)
from petrellane.net import stream
real = stream.Stream.dial.__func__
def dial(cls, scheduler, limits, address, timeout):
    try:
        return real(cls, scheduler, limits, address, timeout)
    except OSError as error:
        if error.errno in (errno.EMFILE, errno.ENFILE):
            os.write(2, b"short %d\\n" % address[1])
        raise
stream.Stream.dial = classmethod(dial)
from petrellane.cli import app
app()
"""
SETTINGS = {
    "classes": [LOOK],
    "contracts": [{"name": "basic", "quotaRate": 500, "storeSize": 1000, "pays": 1.0}],
    "familyInfo": {"mayCount": True, "counterTimeout": 80000},
    "limits": {
        "connIdle": 4000000,
        "dialTimeout": 250000,
        "maxAttempts": 4,
        "mayCancel": True,
        "retryAfter": True,
        "maxRetryAfter": 500000,
        "streamsPerConn": 4,
    },
    "obligations": {"cold": 0, "coldFrom": 1.0},
    "discovery": "push",
}


class SocketEnds(NamedTuple):
    """The ports at both ends of a connection."""

    local: int
    remote: int


def build_config(sockets: int) -> dict[str, Any]:
    """Return the parts of a configuration that name no other party."""
    return {
        "name": "g1",
        "seed": "5eed",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "settings": SETTINGS,
    }


class GatewayProcess:
    """One gateway process with a limited number of descriptors; lives for one run."""

    def __init__(
        self, folder: pathlib.Path, config: dict[str, Any], sockets: int, build: str
    ) -> None:
        """Start it.

        Args:
            folder: Where its files go.
            config: Its configuration.
            sockets: The number of descriptors that the kernel allows it.
            build: The checkout whose program runs; empty for this one.
        """
        self.config_path = folder / "config.json"
        self.log_path = folder / "log"
        self.error_path = folder / "errors"
        self.config_path.write_text(json.dumps(config))
        with self.log_path.open("wb") as log, self.error_path.open("wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-c", CHILD_PROGRAM, str(sockets), "serve"],
                cwd=build or None,
                stdout=log,
                stderr=errors,
                env={**os.environ, "PROXY_CONFIG": str(self.config_path)},
            )

    async def wait_started(self) -> None:
        """Wait until its log says that it has started, or patience is over."""
        until = time.monotonic() + START_PATIENCE_S
        while b'"started"' not in self.log_path.read_bytes() and time.monotonic() < until:
            await asyncio.sleep(0.05)

    def replace_config(self, config: dict[str, Any]) -> None:
        """Put another configuration in the place of the present one; `reload` makes it read."""
        new_path = self.config_path.with_suffix(".json.new")
        new_path.write_text(json.dumps(config))
        new_path.rename(self.config_path)

    def reload(self) -> None:
        """Have it read its configuration again."""
        self.process.send_signal(signal.SIGHUP)

    def count_descriptors(self) -> int:
        """Return how many descriptors it holds."""
        return sum(1 for _ in pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir())

    def connections(self) -> list[SocketEnds]:
        """Return the ports at both ends of the connections that it holds."""
        process_folder = pathlib.Path(f"/proc/{self.process.pid}")
        links = [str(path.readlink()) for path in (process_folder / "fd").iterdir()]
        inodes = {link[len("socket:[") : -1] for link in links}
        rows = [line.split() for line in (process_folder / "net/tcp").read_text().splitlines()]
        return [
            SocketEnds(int(row[1].split(":")[1], 16), int(row[2].split(":")[1], 16))
            for row in rows[1:]
            if row[9] in inodes
        ]

    async def wait_descriptors(self, count: int, until: float) -> None:
        """Wait until it holds at most so many descriptors, or a time of the monotonic clock."""
        while self.count_descriptors() > count and time.monotonic() < until:
            await asyncio.sleep(0.1)

    async def stop(self, until: float) -> None:
        """Ask it to end, and wait for that."""
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None and time.monotonic() < until + STOP_PATIENCE_S:
            await asyncio.sleep(0.05)

    def kill(self) -> int:
        """Kill it where it still runs, and return its exit code."""
        self.process.kill()
        return self.process.wait()

    def read_log(self) -> list[Event]:
        """Return all events that it logged."""
        return [json.loads(line) for line in self.log_path.read_text().splitlines()]

    def read_errors(self) -> list[str]:
        """Return the lines of its standard error."""
        return self.error_path.read_text().splitlines()
