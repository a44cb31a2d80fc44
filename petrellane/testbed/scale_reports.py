"""What the processes of a scale run have reported by their logs, as times for the run's report."""

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from petrellane.testbed.processes import LogEvent

if TYPE_CHECKING:
    from petrellane.testbed.scale_process import ScaleProcess

MAXIMUM_EVENTS = 5000  # kept of one process
MAXIMUM_FAULTS = 20
MAXIMUM_TRACE = 400  # characters of a fault's trace
KEPT_EVENTS = frozenset({"started", "leading", "stood_still", "discovery_unreachable", "cut_off"})


class ScaleReports:
    """The reports of one run, owned by its testbed.

    Attributes:
        ready_after: Seconds from its process's start until each gateway was ready.
        first_lists: Seconds until each restarted gateway had its endpoint list.
        generations: When each gateway had a generation in force, by its number.
        list_changes: When each change of the endpoint list was made, by its index.
        list_arrivals: When gateways had each change, by its index.
        faults: What went wrong, a line each.
    """

    def __init__(self, gateway_names: Collection[str], host_count: int) -> None:
        """Expect reports of these gateways, which start with a list of so many hosts."""
        self.ready_after: dict[str, float] = {}
        self.first_lists: list[float] = []
        self.generations: dict[int | None, dict[str, float]] = {}
        self.list_changes: dict[int, float] = {}
        self.list_arrivals: dict[int, list[float]] = {}
        self.faults: list[str] = []
        self._gateway_names = frozenset(gateway_names)
        self._host_count = host_count
        self._last_index: dict[str, int] = {}  # of the list, by real gateway
        self._handlers: dict[str, Callable[[ScaleProcess, LogEvent], None]] = {
            "meter": self._on_meter,
            "heard": self._on_list_arrivals,
            "hosts": self._on_hosts,
            "changed": self._on_changed,
            "started": self._on_started,
            "generation": self._on_generation,
            "listed": self._on_listed,
            "empty": self._on_empty,
            "fault": self._on_fault,
        }

    def on_event(self, process: "ScaleProcess", event: LogEvent) -> None:
        """Take what a process has logged."""
        kind = event["event"]
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(process, event)
        if kind in KEPT_EVENTS and len(process.events) < MAXIMUM_EVENTS:
            process.events.append(event)

    def _on_meter(self, process: "ScaleProcess", event: LogEvent) -> None:
        process.meter_lines.append(event)

    def _on_list_arrivals(self, _: "ScaleProcess", event: LogEvent) -> None:
        """Hollow gateways had a change of the list at these times."""
        arrivals = self.list_arrivals.setdefault(event["index"], [])
        arrivals.extend(event["since"] + seconds for seconds in event["times"])

    def _on_hosts(self, process: "ScaleProcess", event: LogEvent) -> None:
        """A real gateway has all changes of the list up to an index."""
        before = self._last_index.get(process.name, self._host_count)
        self._last_index[process.name] = event["index"]
        for index in range(before + 1, event["index"] + 1):
            self.list_arrivals.setdefault(index, []).append(event.get("at", 0.0))

    def _on_changed(self, _: "ScaleProcess", event: LogEvent) -> None:
        self.list_changes[event["index"]] = event.get("at", 0.0)

    def _on_started(self, process: "ScaleProcess", event: LogEvent) -> None:
        gateway = event.get("gateway")
        if gateway in self._gateway_names:
            self.ready_after[gateway] = event.get("at", 0.0) - process.started_at

    def _on_generation(self, _: "ScaleProcess", event: LogEvent) -> None:
        if not event["possible"]:
            times = self.generations.setdefault(event["number"], {})
            times.setdefault(event["gateway"], event.get("at", 0.0))

    def _on_listed(self, process: "ScaleProcess", event: LogEvent) -> None:
        """Restarted gateways had their list at these times."""
        self.first_lists += [
            event["since"] + seconds - process.started_at for seconds in event["times"]
        ]

    def _on_empty(self, process: "ScaleProcess", event: LogEvent) -> None:
        process.empty_rss = event["rss"]

    def _on_fault(self, process: "ScaleProcess", event: LogEvent) -> None:
        if len(self.faults) < MAXIMUM_FAULTS:
            trace = event.get("trace", "")[-MAXIMUM_TRACE:]
            self.faults.append(f"{process.name}: fault {event.get('error')} {trace}")
