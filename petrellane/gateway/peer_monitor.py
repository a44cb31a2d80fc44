"""What the other running processes of this gateway hold, kept up to date.

`GatewayProcess` owns a monitor if its configuration allows hot restarts. `shared_limits` decides
what this process may hold beside them.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from petrellane.decisions.shared_limits import NO_PEERS, PeerUsage
from petrellane.operation.hot_restart_transport import shared_file_path
from petrellane.operation.process_registry import ProcessRegistry

if TYPE_CHECKING:
    from petrellane.gateway.runtime import Runtime

REGISTRY_SUFFIX = "processes"  # of the name of the file


class Peers(Protocol):
    """What the other processes hold, as services that share limits with them see it."""

    usage: PeerUsage

    def refresh(self) -> None:
        """Measure again, unless the last measurement is recent."""


class PeerMonitor:
    """Measures the other processes of one gateway.

    Attributes:
        usage: What they hold, as last measured; unchanged while it cannot be measured.
    """

    def __init__(self, gateway_name: str, runtime: Runtime) -> None:
        """Prepare to measure; `start` registers this process."""
        self.usage = NO_PEERS
        self._scheduler = runtime.scheduler
        self._limits = runtime.limits
        self._log = runtime.log
        self._registry = ProcessRegistry(shared_file_path(gateway_name, REGISTRY_SUFFIX))
        self._measured_at = -math.inf  # monotonic time, in seconds
        self._has_failed = False

    def start(self) -> None:
        """Register this process for the other ones."""
        try:
            self._registry.register()
        except OSError as error:
            self._on_failed(error)

    def refresh(self) -> None:
        """Measure the other processes, unless that was done in the last `min_measure_interval`."""
        now = self._scheduler.monotonic()
        if now - self._measured_at < self._limits.min_measure_interval:
            return
        self._measured_at = now
        try:
            self.usage = self._registry.peer_usage()
        except OSError as error:
            self._on_failed(error)
        else:
            self._has_failed = False

    def _on_failed(self, error: OSError) -> None:
        """Log the first of consecutive failures."""
        if not self._has_failed:
            self._has_failed = True
            self._log.event("process_registry_failed", error=str(error))
