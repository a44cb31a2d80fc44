"""The hollow gateways of one process: creates and starts them, cuts them off, and reports."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from petrellane.config import Config, EndpointListUpdate, parse_config
from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.testbed.hollow.gateway import HollowGateway
from petrellane.testbed.hollow.load import HollowLoad
from petrellane.testbed.hollow.parameters import HollowParameters

if TYPE_CHECKING:
    from petrellane.config.endpoints import EndpointEntry
    from petrellane.gateway.client_request import ClientRequest

START_INTERVAL_S = 0.005  # between starts, so that gateways which run already are not stalled
FLUSH_INTERVAL_S = 0.05
REPORT_INTERVAL_S = 0.5  # between reports of the times at which gateways applied lists
MAX_CHANGES_PER_LIST = 2000  # latest changes of one list that are reported individually
MAX_TIMES_PER_LINE = 300  # keeps a log line short enough for a single write
SEED_STEP = 10_000  # more than any gateway number, so that the seeds of two runs differ
TIME_DIGITS = 4


class HollowGroup:
    """The hollow gateways of one process, which lives as long as the process.

    Attributes:
        gateways: The gateways, in the order of `HollowParameters.numbers`.
        tally: The counters that the executors of all gateways share.
        answers: The number of answered requests.
    """

    def __init__(self, parameters: HollowParameters, scheduler: Scheduler, log: Logger) -> None:
        """Create all gateways without starting them.

        Args:
            parameters: The parameters that the testbed has written for this process.
            scheduler: The scheduler of all gateways.
            log: The log of the process.
        """
        self.parameters = parameters
        self.scheduler = scheduler
        self.log = log
        self.host_count = parameters.host_count
        self.has_module = parameters.has_module
        self.random = random.Random(parameters.load.seed)
        self.tally: Counter[str] = Counter()
        self.answers = 0
        self.is_counting = False
        self.arrivals: dict[int, list[float]] = {}  # times of applying a change, by its index
        self.first_arrivals: list[float] = []  # times of the first lists of gateways
        self.last_list: EndpointListUpdate | None = None
        self.last_entries: dict[int, EndpointEntry] = {}
        base = parse_config(orjson.loads(Path(parameters.config_path).read_bytes()))
        self.limits = Limits.from_config(base)
        self.gateways = [self._make_gateway(base, number) for number in parameters.numbers]
        self.unreachable_gateways = [
            gateway for gateway in self.gateways if gateway.number < parameters.unreachable_count
        ]
        self.load = HollowLoad(self, parameters.load, parameters.numbers)

    def _make_gateway(self, base: Config, number: int) -> HollowGateway:
        name = f"g{number}"
        seed = self.parameters.load.seed * SEED_STEP + number
        config = base._replace(name=name, seed=seed, management=None)
        if base.consensus:
            state = Path(self.parameters.state_folder, name)
            state.mkdir(parents=True, exist_ok=True)
            config = config._replace(
                management=base.consensus.members[name][0],
                consensus=replace(base.consensus, state=str(state)),
            )
        return HollowGateway(self, config, number, is_at_rest=self.parameters.is_at_rest)

    def start(self) -> None:
        """Start all gateways one after the other, and begin to report."""
        for index, gateway in enumerate(self.gateways):
            self.scheduler.call_later(index * START_INTERVAL_S, gateway.start)
        self._flush_logs()
        self._report_arrivals()

    def _flush_logs(self) -> None:
        """Write buffered log lines that a full pipe has delayed."""
        self.scheduler.call_later(FLUSH_INTERVAL_S, self._flush_logs)
        self.log.flush()
        for gateway in self.gateways:
            gateway.log.flush()

    # Commands of the testbed.

    def begin(self) -> None:
        """Begin the steady phase: record changes of the endpoint list, and start the load."""
        self.is_counting = True
        self.load.begin()

    def end_load(self) -> None:
        """Stop the load."""
        self.load.end()

    def cut_off(self) -> None:
        """Stop accepting connections at the management listeners of the unreachable gateways."""
        for gateway in self.unreachable_gateways:
            gateway.management.pause_accepting()

    def reconnect(self) -> None:
        """Accept connections at these management listeners again."""
        for gateway in self.unreachable_gateways:
            gateway.management.resume_accepting()

    # Callbacks of gateways and their requests.

    def entries_by_number(self, endpoint_list: EndpointListUpdate) -> Mapping[int, EndpointEntry]:
        """Return the entries of an endpoint list by host number.

        The result for the last list is cached, as many gateways apply the same list.
        """
        if self.last_list is not endpoint_list:
            self.last_list = endpoint_list
            self.last_entries = {int(entry.name[1:]): entry for entry in endpoint_list.entries}
        return self.last_entries

    def on_request_finished(self, _request: ClientRequest) -> None:
        """Count an answered request."""
        self.answers += 1

    def on_reply_ready(self) -> None:
        """Do nothing, as simulated endpoints send no long response."""

    def may_have_hidden_close(self) -> bool:
        """Return False, as simulated clients do not disconnect."""
        return False

    def is_client_disconnected(self) -> bool:
        """Return False, as simulated clients do not disconnect."""
        return False

    def on_list_applied(self, previous_index: int | None, index: int) -> None:
        """Record that a gateway has applied an endpoint list.

        Args:
            previous_index: The index of the list that it had before; None if it had none.
            index: The index of the new list.
        """
        now = round(self.scheduler.now(), TIME_DIGITS)
        if previous_index is None:
            self.first_arrivals.append(now)
        elif self.is_counting:
            first = max(previous_index, index - MAX_CHANGES_PER_LIST) + 1
            for change in range(first, index + 1):
                self.arrivals.setdefault(change, []).append(now)

    # Reports.

    def _report_arrivals(self) -> None:
        """Log the times at which gateways applied lists since the last report."""
        self.scheduler.call_later(REPORT_INTERVAL_S, self._report_arrivals)
        arrivals = self.arrivals
        self.arrivals = {}
        first_arrivals = self.first_arrivals
        self.first_arrivals = []
        for index, times in arrivals.items():
            self._log_times("heard", times, index=index)
        self._log_times("listed", first_arrivals)

    def _log_times(self, event: str, times: list[float], **figures: object) -> None:
        """Log the times of many gateways, in several lines of bounded length."""
        for start in range(0, len(times), MAX_TIMES_PER_LINE):
            line_times = times[start : start + MAX_TIMES_PER_LINE]
            self.log.event(
                event,
                **figures,
                since=times[0],
                times=[round(time - times[0], TIME_DIGITS) for time in line_times],
            )

    def figures(self) -> dict[str, Any]:
        """Return totals since the start, and the longest scheduler turn since the last call."""
        longest_turn = self.scheduler.longest_turn
        self.scheduler.longest_turn = 0.0
        return {
            "rpcs": self.load.sent,
            "answers": self.answers,
            "tally": self.tally,
            "turn": round(longest_turn, TIME_DIGITS),
        }
