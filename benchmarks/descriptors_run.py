"""One run of `descriptors.py`: a gateway, its peers, a crowd and clients."""

import asyncio
import multiprocessing
import pathlib
import random
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from benchmarks.descriptors_clients import Address, RpcClient, run_crowd, sum_counts
from benchmarks.descriptors_gateway import Event, GatewayProcess, SocketEnds, build_config
from benchmarks.descriptors_peers import Peers, free_address

CHANGE_BOUND_S = 6.0
OBSERVED_S = 6.5  # after a change
RELEASE_PATIENCE_S = 12.0  # in which descriptors have to become free
SAMPLE_INTERVAL_S = 0.02
CLIENTS = 6
KEEPING_CLIENTS = 4  # clients that keep their connection, the first ones
AWAITED = ("discovery new asked", "counter new asked", "host new called", "host new asked")


class RunOptions(NamedTuple):
    """What one run is made of."""

    kind: str
    sockets: int
    seed: int
    build: str


class Observation(NamedTuple):
    """What a run showed from outside of the gateway."""

    delays: dict[str, float]
    descriptors: int
    lost_descriptors: int
    lost_connections: list[SocketEnds]
    kept_rpcs: list[int]
    new_rpcs: list[int]


@dataclass(frozen=True)
class RunResult:
    """Figures of one run.

    Attributes:
        delays: Seconds from SIGHUP to each awaited event; infinite where it never came.
        short_dials: Dials that found no descriptor, by party.
        lost_descriptors: Descriptors held at the end over those at the start.
        adds_after: Counter adds within the bound after the reload.
        kept_rpcs: Served, refused and all RPCs of clients that keep their connection.
        new_rpcs: The same of clients that dial for each RPC.
    """

    kind: str
    sockets: int
    seed: int
    delays: dict[str, float]
    short_dials: dict[str, int]
    short_accepts: int
    refused_reloads: int
    faults: int
    descriptors: int
    lost_descriptors: int
    lost_connections: list[str]
    adds_after: int
    cpu: float
    kept_rpcs: list[int]
    new_rpcs: list[int]
    other_errors: list[str]

    @property
    def is_bad(self) -> bool:
        """Whether the run missed what is asked of it.

        A late counter counts only where an add was due: where answers are late, the controller
        goes on without the counter for a while.
        """
        is_counter_late = self.delays["counter new asked"] > CHANGE_BOUND_S and self.adds_after
        return bool(
            self.delays["host new asked"] > CHANGE_BOUND_S
            or is_counter_late
            or self.delays["discovery new asked"] > CHANGE_BOUND_S
            or self.short_dials
            or self.refused_reloads
            or self.faults
            or self.lost_descriptors > 0
        )

    def to_dict(self) -> dict[str, Any]:
        """Return the figures by the names that the JSON line gives them."""
        return {
            "kind": self.kind,
            "sockets": self.sockets,
            "seed": self.seed,
            **self.delays,
            "dials short": self.short_dials,
            "accepts short": self.short_accepts,
            "reloads refused": self.refused_reloads,
            "faults": self.faults,
            "most": self.descriptors,
            "lost": self.lost_descriptors,
            "left": self.lost_connections,
            "adds after": self.adds_after,
            "cpu": self.cpu,
            "kept": self.kept_rpcs,
            "new": self.new_rpcs,
            "other errors": self.other_errors,
        }


async def sample_descriptors(gateway: GatewayProcess, samples: list[int]) -> None:
    """Append the number of descriptors that the gateway holds, for ever."""
    while True:
        samples.append(gateway.count_descriptors())
        await asyncio.sleep(SAMPLE_INTERVAL_S)


class Run:
    """One run; owns the parties around the gateway, and the processes until they have ended."""

    def __init__(self, options: RunOptions) -> None:
        self.options = options
        self.random = random.Random(options.seed)
        self.peers = Peers()
        self.listen = free_address()
        host, port = self.listen.split(":")
        self.address: Address = (host, int(port))
        self.clients: list[RpcClient] = []

    async def play(self) -> RunResult:
        """Play it to its end."""
        await self.peers.start_all()
        config = self._build_config()
        with tempfile.TemporaryDirectory() as folder:
            gateway = GatewayProcess(
                pathlib.Path(folder), config, self.options.sockets, self.options.build
            )
            crowd = self._build_crowd()
            try:
                observation = await self._observe(gateway, crowd, config)
            finally:
                if crowd.is_alive():
                    crowd.kill()
                exit_code = gateway.kill()
            return self._sum_up(observation, gateway.read_log(), gateway.read_errors(), exit_code)

    def _build_config(self) -> dict[str, Any]:
        peers = self.peers
        endpoint_list = {
            "index": 5,
            "snapshot": True,
            "endpoints": [peers.endpoint_row("host old")],
        }
        return build_config(self.options.sockets) | {
            "listen": self.listen,
            "discovery": peers.address["discovery old"],
            "counter": peers.address["counter old"],
            "known": endpoint_list,
        }

    def _build_crowd(self) -> multiprocessing.process.BaseProcess:
        kind = self.options.kind
        maximum = 0 if kind == "none" else 2 * self.options.sockets
        return multiprocessing.get_context("spawn").Process(
            target=run_crowd, args=(kind, maximum, self.options.seed, self.address), daemon=True
        )

    async def _observe(
        self,
        gateway: GatewayProcess,
        crowd: multiprocessing.process.BaseProcess,
        config: dict[str, Any],
    ) -> Observation:
        await gateway.wait_started()
        await asyncio.sleep(0.5)
        descriptors_at_start = gateway.count_descriptors()
        self.peers.stop("discovery old")
        crowd.start()
        samples: list[int] = []
        tasks = self._start_clients()
        tasks.append(asyncio.create_task(sample_descriptors(gateway, samples)))
        try:
            await asyncio.sleep(self.random.uniform(2.0, 4.0))
            delays = await self._change_everything(gateway, config)
            self._stop_clients(tasks, crowd)
        finally:
            for task in tasks:
                task.cancel()
        until = time.monotonic() + RELEASE_PATIENCE_S
        await gateway.wait_descriptors(descriptors_at_start, until)
        lost = gateway.count_descriptors() - descriptors_at_start
        lost_connections = gateway.connections() if lost > 0 else []
        await gateway.stop(until)
        return Observation(
            delays,
            max(samples),
            lost,
            lost_connections,
            sum_counts(self.clients[:KEEPING_CLIENTS]),
            sum_counts(self.clients[KEEPING_CLIENTS:]),
        )

    def _start_clients(self) -> list[asyncio.Task[None]]:
        self.clients = [
            RpcClient(self.address, keeps_connection=number < KEEPING_CLIENTS)
            for number in range(CLIENTS)
        ]
        return [
            asyncio.create_task(client.run(self.options.seed * 10 + number))
            for number, client in enumerate(self.clients)
        ]

    async def _change_everything(
        self, gateway: GatewayProcess, config: dict[str, Any]
    ) -> dict[str, float]:
        """Bring discovery back and name new parties; return the delay of each awaited event."""
        peers = self.peers
        new_parties = {key: peers.address[f"{key} new"] for key in ("discovery", "counter")}
        gateway.replace_config(config | new_parties)
        peers.first_seen.clear()
        changed_at = time.monotonic()
        await peers.start("discovery old", peers.serve_lists)
        gateway.reload()
        await asyncio.sleep(OBSERVED_S)
        return {
            event: round(peers.first_seen.get(event, float("inf")) - changed_at, 2)
            for event in AWAITED
        }

    def _stop_clients(
        self, tasks: Sequence[asyncio.Task[None]], crowd: multiprocessing.process.BaseProcess
    ) -> None:
        for task in tasks:
            if task.done():  # none ends by itself but by an error, which is raised here
                task.result()
            task.cancel()
        crowd.kill()
        for client in self.clients:
            client.is_stopped = True
            client.close()

    def _sum_up(
        self, observation: Observation, log: list[Event], errors: list[str], exit_code: int
    ) -> RunResult:
        names = {address.split(":")[1]: name for name, address in self.peers.address.items()}
        short_dials = [
            names.get(line.split()[1], "?") for line in errors if line.startswith("short")
        ]
        figures = [event for event in log if event["event"] == "figures"]
        counts = {kind: count_events(log, kind) for kind in ("no_descriptor", "reload_rejected")}
        return RunResult(
            kind=self.options.kind,
            sockets=self.options.sockets,
            seed=self.options.seed,
            delays=observation.delays,
            short_dials={name: short_dials.count(name) for name in sorted(set(short_dials))},
            short_accepts=counts["no_descriptor"],
            refused_reloads=counts["reload_rejected"],
            faults=count_events(log, "fault") + (exit_code != 0),
            descriptors=observation.descriptors,
            lost_descriptors=observation.lost_descriptors,
            lost_connections=[
                self._name_connection(names, ends) for ends in observation.lost_connections
            ],
            adds_after=count_adds_after_reload(log),
            cpu=round(max((event["cpu"] for event in figures), default=0.0), 2),
            kept_rpcs=observation.kept_rpcs,
            new_rpcs=observation.new_rpcs,
            other_errors=[line for line in errors if not line.startswith("short")][-1:],
        )

    def _name_connection(self, names: dict[str, str], ends: SocketEnds) -> str:
        is_client = ends.local == self.address[1]
        return names.get(str(ends.remote), "client" if is_client else "?")


def count_events(log: list[Event], kind: str) -> int:
    """Return the number of events of a kind."""
    return sum(event["event"] == kind for event in log)


def count_adds_after_reload(log: list[Event]) -> int:
    """Return the counter adds within the bound after the reload, by outcome of any kind."""
    reloaded_at = max((event["at"] for event in log if event["event"] == "reloaded"), default=0.0)
    figures = [
        event
        for event in log
        if event["event"] == "figures" and reloaded_at < event["at"] < reloaded_at + CHANGE_BOUND_S
    ]
    return sum(
        count
        for event in figures[1:]  # the first one counts from before the reload too
        for name, count in event.items()
        if name.startswith("add ")
    )


def play_run(options: RunOptions) -> RunResult:
    """Play one run in this process."""
    return asyncio.run(Run(options).play())
