"""The interface between a simulated gateway and its controller.

The admission controller, the baselines and the controllers with a planted fault implement it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from petrellane.decisions.actions import Action, CounterAdd, SendAttempt, TimerSubject
from petrellane.decisions.types import EndpointEvent, Outcome, Rpc


class Controller(Protocol):
    """Handles the events of one gateway process and returns the actions to execute.

    The gateway process owns its controller. The class
    `petrellane.decisions.controller.AdmissionController` documents the events.
    """

    def start(self, now: float, /) -> list[Action]:
        """Handle the start of the process."""

    def on_endpoint_events(
        self, now: float, is_full: bool, events: Iterable[EndpointEvent], /
    ) -> list[Action]:
        """Handle the full endpoint list or changes to it."""

    def admit(self, now: float, rpc: Rpc, /) -> list[Action]:
        """Handle the arrival of an RPC."""

    def on_attempt_ended(
        self,
        now: float,
        attempt: SendAttempt,
        outcome: Outcome,
        /,
        *,
        is_final: bool,
        duration: float,
    ) -> list[Action]:
        """Handle the end of an attempt."""

    def on_client_disconnected(self, now: float, rpc: Rpc, /) -> list[Action]:
        """Handle the disconnection of the client of an RPC."""

    def on_counter_reply(
        self, now: float, add: CounterAdd, outcome: Outcome, total: float, /
    ) -> list[Action]:
        """Handle the outcome of an add to the counter."""

    def on_timer(self, now: float, subject: TimerSubject, /) -> list[Action]:
        """Handle the expiry of a timer that a `SetTimer` action started."""


ControllerFactory = Callable[..., Controller]
"""Creates the controller of a process from settings passed by keyword.

A factory with a true attribute `needs_gateway` also receives the argument `gateway`, through which
the controller can access the simulation.
"""


def needs_gateway(factory: ControllerFactory) -> bool:
    """Return whether the factory takes the simulated gateway as an argument."""
    return bool(getattr(factory, "needs_gateway", False))
