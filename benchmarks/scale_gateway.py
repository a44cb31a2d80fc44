"""One gateway on a simulated clock, without sockets' peers, for the runs of `scale.py`.

Configuration, executor and decisions are put together as `serve` does it; settings and endpoint
list are read from bytes as they would come.
"""

import gc
import itertools
import os
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields
from typing import Any, NamedTuple

import orjson

from benchmarks.scale_content import (
    IN_SERVICE,
    TERMINATING,
    EndpointRow,
    build_endpoint_row,
    encode_endpoint_list,
    encode_settings,
    parse_endpoint_changes,
)
from benchmarks.scale_measures import resident_mb, time_call
from benchmarks.scale_traffic import SimulatedTraffic
from petrellane.config import (
    EndpointListUpdate,
    Section,
    parse_config,
    parse_endpoint_list,
    parse_settings,
)
from petrellane.decisions import types as api
from petrellane.decisions.controller import AdmissionController
from petrellane.gateway.process import GatewayProcess
from petrellane.net.scheduler import Scheduler

MINIMUM_RPCS = 150  # however little CPU time is left
LIST_PATIENCE_S = 10.0  # in which an endpoint list must be taken over
READS = 5  # of settings and list, at most
SETTINGS_READ_BUDGET_MS = 300.0
LIST_READ_BUDGET_MS = 100.0
GATEWAYS_OF_A_CUSTOMER = 4


@dataclass(frozen=True)
class ModuleShape:
    """The sizes of a run of one gateway.

    Attributes:
        rpcs: RPCs a second.
        seconds: Simulated length.
        budget: CPU seconds after which the run ends earlier.
    """

    hosts: int
    customers: int
    methods: int
    rpcs: float
    seconds: float
    budget: float
    seed: int

    @classmethod
    def from_dict(cls, shape: dict[str, Any]) -> "ModuleShape":
        """Take the sizes out of a run's JSON."""
        return cls(**{field.name: shape[field.name] for field in fields(cls)})


class TakeoverTime(NamedTuple):
    """CPU milliseconds in which a list was taken over: in all, and of the longest turn."""

    total: float
    longest_turn: float


class ChangeCost(NamedTuple):
    """Median CPU milliseconds of one endpoint's change of state."""

    executor: float
    decisions_alone: float


class SimulatedClock:
    """A clock that stands still, but while it is live."""

    def __init__(self) -> None:
        self.base = 1000.0
        self._live_since: float | None = None

    def __call__(self) -> float:
        """Return the time in seconds."""
        if self._live_since is None:
            return self.base
        return self.base + (time.monotonic() - self._live_since)

    def go(self) -> None:
        """Go on with real time."""
        self._live_since = time.monotonic()

    def stop(self) -> None:
        """Stand still at the present time."""
        self.base = self()
        self._live_since = None


class SimulatedGateway:
    """A gateway and the traffic that it gets; lives for one run."""

    def __init__(self, shape: ModuleShape) -> None:
        """Put it together, with its complete endpoint list taken over."""
        self.shape = shape
        self.clock = SimulatedClock()
        self.list_index = 1
        self.figures: dict[str, float] = {}
        settings_bytes = encode_settings(shape.methods)
        list_bytes = encode_endpoint_list(shape.hosts)
        self.memory_before = resident_mb()
        raw_settings = orjson.loads(settings_bytes)
        self._measure_settings(raw_settings)
        self.process = self._build_process(raw_settings)
        self.executor = self.process.executor
        self.controller = self.executor.controller
        self.process.scheduler.unix_offset = 0.0
        self.executor.start(self.process.config.known)
        gc.collect()
        gc.freeze()  # as `serve` does
        endpoint_list = self._measure_list(list_bytes)
        takeover = self.take_list(endpoint_list, shape.hosts)
        self.figures["list_whole_ms"] = takeover.total
        self.figures["list_turn_ms"] = takeover.longest_turn
        self.traffic = SimulatedTraffic(shape.seed, self.clock.base)
        self.methods = list(self.executor.settings.methods.values())
        self.plans = list(self.executor.settings.plans.values())

    def _measure_settings(self, raw_settings: dict[str, Any]) -> None:
        times: list[float] = []
        while len(times) < READS and sum(times) < SETTINGS_READ_BUDGET_MS:
            read = time_call(lambda: parse_settings(Section(raw_settings, "settings")))
            times.append(read.milliseconds)
        self.figures["settings_read_ms"] = statistics.median(times)

    def _build_process(self, raw_settings: dict[str, Any]) -> GatewayProcess:
        config = {
            "name": "g0",
            "seed": "1",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:1",
            "counter": "127.0.0.1:1",
            "settings": raw_settings,
        }
        return GatewayProcess(
            parse_config(config),
            os.open(os.devnull, os.O_WRONLY),
            scheduler=Scheduler(monotonic=self.clock),
        )

    def _measure_list(self, list_bytes: bytes) -> EndpointListUpdate:
        times: list[float] = []
        while True:
            read = time_call(lambda: parse_endpoint_list(Section(orjson.loads(list_bytes), "list")))
            times.append(read.milliseconds)
            if len(times) >= READS or sum(times) >= LIST_READ_BUDGET_MS:
                break
        self.figures["list_parse_ms"] = statistics.median(times)
        return read.result

    def take_list(
        self, endpoint_list: EndpointListUpdate, known: int | None = None
    ) -> TakeoverTime:
        """Have the executor take a list over.

        Args:
            endpoint_list: The list, or changes to it.
            known: So many endpoints have to be known then; None: any number.

        Raises:
            SystemExit: It was not taken over in time.
        """
        scheduler = self.process.scheduler
        turn_times: list[float] = []
        is_done = False
        until = time.monotonic() + LIST_PATIENCE_S
        self.clock.go()

        def take_over() -> None:
            nonlocal is_done
            self.process.on_endpoint_list(endpoint_list)
            is_done = True

        scheduler.spawn(take_over)
        while not is_done or scheduler.ready or self._lacks_endpoints(known):
            if time.monotonic() > until:
                raise SystemExit(
                    f"list: expected it taken over in {LIST_PATIENCE_S:g} s, "
                    f"found {len(self.executor.endpoint_lists.known)} hosts"
                )
            turn_times.append(time_call(lambda: scheduler.run_once(0)).milliseconds)
        self.clock.stop()
        return TakeoverTime(sum(turn_times), max(turn_times))

    def _lacks_endpoints(self, known: int | None) -> bool:
        return known is not None and len(self.executor.endpoint_lists.known) != known

    def change_list(self, rows: list[EndpointRow]) -> TakeoverTime:
        """Have changes to the endpoint list taken over."""
        self.list_index += 1
        self.clock.base = self.traffic.now
        return self.take_list(parse_endpoint_changes(self.list_index, rows))

    def customer(self, number: int | None = None) -> api.Customer:
        """Return a customer by its number, by default a random one."""
        if number is None:
            number = self.traffic.random.randrange(self.shape.customers)
        plan = self.plans[number % len(self.plans)]
        return self.executor.customers.get_or_create(
            f"customer{number}", plan, 0, GATEWAYS_OF_A_CUSTOMER, self.traffic.now
        )

    def play(
        self,
        seconds: float,
        budget: float,
        before_rpc: Callable[[float], None] | None = None,
        customer_numbers: Iterator[int] | None = None,
    ) -> float:
        """Let RPCs come at random times.

        Args:
            seconds: Simulated length.
            budget: CPU seconds after which it ends earlier.
            before_rpc: Called with the time before each RPC.
            customer_numbers: The customer of each RPC; by default a random one.

        Returns:
            The seconds that were played.
        """
        traffic = self.traffic
        started_at = traffic.now
        cpu_start = time.thread_time()
        at = started_at
        while (at := at + traffic.random.expovariate(self.shape.rpcs)) < started_at + seconds:
            is_spent = time.thread_time() - cpu_start > budget
            if is_spent and traffic.costs.rpcs >= MINIMUM_RPCS:
                break
            if before_rpc:
                before_rpc(at)
            traffic.advance(at)
            method = traffic.random.choice(self.methods)
            number = next(customer_numbers) if customer_numbers else None
            traffic.admit(self.controller, method, self.customer(number))
        return traffic.now - started_at

    def measure_changes(self, times: int) -> ChangeCost:
        """Measure one endpoint's change of state, by the executor and by the decisions alone."""
        by_executor: list[float] = []
        by_decisions: list[float] = []
        for number in range(times):
            status = TERMINATING if number % 2 == 0 else IN_SERVICE
            row = build_endpoint_row(number // 2 % self.shape.hosts, status)
            by_executor.append(self.change_list([row]).total)
        for number in range(times):
            endpoint = self.executor.endpoint_lists.known[f"host{number // 2 % self.shape.hosts}"]
            state = api.DRAINING if number % 2 == 0 else api.READY
            event = _describe(endpoint, endpoint)._replace(state=state)
            by_decisions.append(self._time_events(self.controller, False, [event]))
        return ChangeCost(statistics.median(by_executor), statistics.median(by_decisions))

    def measure_decisions_list(self) -> float:
        """Return the CPU milliseconds in which new decisions take the complete list over."""
        events = [
            _describe(api.Endpoint(name), endpoint)
            for name, endpoint in self.executor.endpoint_lists.known.items()
        ]
        options = self.executor.settings.controller_options
        controller = AdmissionController(seed=1, uses_counter=True, must_watch=False, **options)
        return self._time_events(controller, True, events)

    def _time_events(
        self, controller: AdmissionController, is_snapshot: bool, events: list[api.EndpointEvent]
    ) -> float:
        now = self.traffic.now
        return time_call(
            lambda: controller.on_endpoint_events(now, is_snapshot, events)
        ).milliseconds

    def customer_numbers(self) -> Iterator[int]:
        """Return all customers' numbers, one after another."""
        return itertools.count()


def _describe(subject: api.Endpoint, known: api.Endpoint) -> api.EndpointEvent:
    """Return an event that says of an endpoint what is known of another one."""
    return api.EndpointEvent(
        subject, known.zone, known.kind, known.pod, known.state, known.weight, known.started_at
    )
