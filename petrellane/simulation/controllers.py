"""What a simulated gateway needs of the decisions, so that others can take their place.

The admission controller fits, and so do the baselines and controllers with a planted fault.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from petrellane.decisions.actions import Action, CounterAdd, SendAttempt, TimerSubject
from petrellane.decisions.types import EndpointEvent, Outcome, Rpc


class Controller(Protocol):
    """Takes the events of one gateway process and answers with actions to execute.

    `petrellane.decisions.controller.AdmissionController` says what each event means.
    """

    def start(self, now: float, /) -> list[Action]:
        """The process has started."""

    def on_endpoint_events(
        self, now: float, is_full: bool, events: Iterable[EndpointEvent], /
    ) -> list[Action]:
        """The endpoint list or changes to it have come."""

    def admit(self, now: float, rpc: Rpc, /) -> list[Action]:
        """An RPC has come."""

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
        """An attempt has ended."""

    def on_client_disconnected(self, now: float, rpc: Rpc, /) -> list[Action]:
        """The client of an RPC has gone."""

    def on_counter_reply(
        self, now: float, add: CounterAdd, outcome: Outcome, total: float, /
    ) -> list[Action]:
        """The counter has answered an add, or failed to."""

    def on_timer(self, now: float, subject: TimerSubject, /) -> list[Action]:
        """The time that a `SetTimer` asked for has come."""


ControllerFactory = Callable[..., Controller]
"""Makes the controller of a process from its settings by keyword.

One with a true attribute `needs_gateway` also gets the `gateway`, and sees the simulation.
"""


def needs_gateway(factory: ControllerFactory) -> bool:
    """Whether controllers of a kind get to see their simulated gateway."""
    return bool(getattr(factory, "needs_gateway", False))
