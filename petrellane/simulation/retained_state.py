"""Counts the RPCs and attempts that a gateway process retains, to detect leaks."""

from __future__ import annotations

import gc
from types import ModuleType
from typing import TYPE_CHECKING

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.types import Rpc

if TYPE_CHECKING:
    from petrellane.simulation.gateways import SimulatedGateway

_PLAIN = (type, str, float, int)
"""Types whose values do not refer to RPCs or attempts."""


def count_retained(gateway: SimulatedGateway) -> dict[str, int]:
    """Count the RPCs and attempts of a gateway and those reachable from its controller.

    Returns:
        The counts by kind, starting with the RPCs and attempts that the gateway itself has open.
    """
    counts = {"open RPCs": len(gateway.open_rpcs), "attempts": len(gateway.pending_attempts)}
    seen: set[int] = set()
    to_visit: list[object] = [gateway.controller]
    while to_visit:
        value = to_visit.pop()
        if id(value) in seen or isinstance(value, (*_PLAIN, ModuleType)):
            continue
        seen.add(id(value))
        if isinstance(value, (Rpc, SendAttempt)):
            kind = "RPCs" if isinstance(value, Rpc) else "call-outs"
            counts[kind] = counts.get(kind, 0) + 1
        elif callable(value) and not hasattr(value, "__self__"):
            continue
        to_visit += [
            referent for referent in gc.get_referents(value) if not isinstance(referent, _PLAIN)
        ]
    return counts
