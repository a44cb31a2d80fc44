"""Counts what a gateway process still holds of RPCs that are over."""

from __future__ import annotations

import gc
from types import ModuleType
from typing import TYPE_CHECKING

from petrellane.decisions.actions import SendAttempt
from petrellane.decisions.types import Rpc

if TYPE_CHECKING:
    from petrellane.simulation.gateways import SimulatedGateway

_PLAIN = (type, str, float, int)
"""Types whose values hold nothing that is counted."""


def count_retained(gateway: SimulatedGateway) -> dict[str, int]:
    """How many RPCs and attempts a gateway still reaches, from its controller on.

    Returns:
        Counts by kind; RPCs and attempts that the gateway itself has open come first.
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
