"""The display of a run in progress: a live table of gateways and endpoints."""

from __future__ import annotations

import time
from types import TracebackType
from typing import Any, Protocol, Self

from rich.console import Console
from rich.live import Live
from rich.table import Table

from petrellane.invariants import OK, REJECTED
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_gateway import FleetGateway

REFRESH_INTERVAL_S = 0.5
LINE_INTERVAL_S = 5.0  # between progress lines if the output is not a terminal
HEADINGS = (
    "gateway",
    "state",
    "RPCs/s",
    "attempts/s",
    "clients",
    "endpoint",
    "up",
    "at work",
    "RPCs run",
)
GATEWAY_FIGURES = ("rpcs", "call_outs", "clients")
NO_GATEWAY = [""] * 5
NO_HOST = [""] * 4


class DisplayedHost(Protocol):
    """The properties of a host that the table shows."""

    name: str
    busy: int
    ran: int

    @property
    def listener(self) -> object:
        """The listening socket; None while the host is down."""


class RunDisplay:
    """A live table of a run, or a progress line every five seconds without a terminal.

    The command that carries out the run uses the display as a context manager; the scheduler of the
    fleet refreshes it.
    """

    def __init__(self, lab: LoopbackFleet, seconds: float) -> None:
        """Initialize the display without showing it.

        Args:
            lab: The fleet of the run.
            seconds: The length of the run, in seconds.
        """
        self.lab = lab
        self.seconds = seconds
        self.console = Console()
        self.began = time.monotonic()
        self.next_line_at = LINE_INTERVAL_S
        self.live: Live | None = None
        if self.console.is_terminal:
            self.live = Live(console=self.console, auto_refresh=False)

    def __enter__(self) -> Self:
        if self.live:
            self.live.start()
        self._refresh()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.live:
            self.live.update(self.table(), refresh=True)
            self.live.stop()

    def _refresh(self) -> None:
        """Show the present state, and schedule the next refresh."""
        self.lab.scheduler.call_later(REFRESH_INTERVAL_S, self._refresh)
        passed = time.monotonic() - self.began
        if self.live:
            self.live.update(self.table(), refresh=True)
        elif passed >= self.next_line_at:
            self.next_line_at += LINE_INTERVAL_S
            print(f"{passed:5.1f} s of {self.seconds:g}: {format_answers(self.lab)}", flush=True)

    def table(self) -> Table:
        """Return the table of the present state."""
        passed = time.monotonic() - self.began
        title = f"{passed:.1f} s of {self.seconds:g}   {format_answers(self.lab)}"
        table = Table(title=title)
        for heading in HEADINGS:
            table.add_column(heading, justify="right")
        gateways = self.lab.gateways
        hosts = self.lab.hosts
        for index in range(max(len(gateways), len(hosts))):
            gateway_cells = NO_GATEWAY
            host_cells = NO_HOST
            if index < len(gateways):
                gateway_cells = _gateway_cells(gateways[index])
            if index < len(hosts):
                host_cells = _host_cells(hosts[index])
            table.add_row(*gateway_cells, *host_cells)
        return table


def format_answers(lab: LoopbackFleet) -> str:
    """Return one line with the numbers of answered RPCs by outcome."""
    counts: dict[str, int] = {}
    for (_, answer), number in lab.records.counts.items():
        counts[answer] = counts.get(answer, 0) + number
    total = sum(counts.values())
    ok = counts.get(OK, 0)
    rejected = counts.get(REJECTED, 0)
    return f"{total} RPCs answered, {ok} ok, {rejected} rejected, {total - ok - rejected} otherwise"


def _gateway_cells(gateway: FleetGateway) -> list[str]:
    figures: dict[str, Any] = gateway.last_event("figures") or {}
    state = "down"
    if gateway.ready:
        state = "serves"
    elif gateway.process and gateway.process.is_running:
        state = "starts"
    return [gateway.name, state, *(str(figures.get(name, 0)) for name in GATEWAY_FIGURES)]


def _host_cells(host: DisplayedHost) -> list[str]:
    return [host.name, "yes" if host.listener else "no", str(host.busy), str(host.ran)]
