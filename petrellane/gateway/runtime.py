"""The dependencies that every service of the gateway process receives."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from petrellane.net.limits import Limits
    from petrellane.net.log import Logger
    from petrellane.net.scheduler import Scheduler

Address = tuple[str, int]
"""A host name or IPv4 address, and a port."""


class Runtime(NamedTuple):
    """The scheduler, the limits at start-up and the log of a gateway process.

    Owned by `GatewayProcess` for the life of the process. A reload replaces the `limits` attribute
    of each service, not the one here.

    Attributes:
        scheduler: The scheduler that runs all services.
        limits: The limits at start-up.
        log: The log of the process.
    """

    scheduler: Scheduler
    limits: Limits
    log: Logger
