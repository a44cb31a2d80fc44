"""What every service of the daemon is given: its scheduler, its limits and its log."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from petrellane.net.limits import Limits
    from petrellane.net.log import Logger
    from petrellane.net.scheduler import Scheduler

Address = tuple[str, int]
"""A host name or IPv4 address, and a port."""


class Runtime(NamedTuple):
    """The scheduler that runs a service, the limits that it starts with, and the log.

    Owned by `GatewayProcess` for as long as the process lives. A reload gives every service new
    limits by its `limits` attribute; the ones here are those of the start.
    """

    scheduler: Scheduler
    limits: Limits
    log: Logger
