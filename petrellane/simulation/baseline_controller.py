"""The base class of the baselines: controllers that decide only which endpoint to use.

A baseline has no quotas and does not reject RPCs for overload. It retries only after an outcome
that proves that the previous attempt did not run.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, ClassVar

from petrellane.decisions.actions import (
    Abort,
    Action,
    CounterAdd,
    Reject,
    SendAttempt,
    TimerSubject,
)
from petrellane.decisions.types import (
    FULL,
    IDEMPOTENT,
    NEVER_SENT,
    READY,
    UNREACHABLE,
    Endpoint,
    EndpointEvent,
    Outcome,
    RejectionReason,
    Rpc,
)

if TYPE_CHECKING:
    from petrellane.simulation.gateways import SimulatedGateway

NEVER_RAN = (FULL, UNREACHABLE, NEVER_SENT)
"""Outcomes that prove that an attempt did not run."""


class Baseline:
    """The base class of the baselines; subclasses implement `pick_endpoint`.

    One gateway process owns each baseline. A baseline has access to that gateway in the simulation.

    Attributes:
        random: The random stream of the controller.
        gateway: The gateway process that owns the controller.
        ready: The ready endpoints, in the order of their numbers.
        in_flight: The number of attempts in flight at each endpoint, from this gateway only.
    """

    needs_gateway: ClassVar[bool] = True

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **_settings: object) -> None:
        """Initialize a controller without endpoints; other settings are ignored."""
        self.random = random.Random(seed)
        self.gateway = gateway
        self.ready: list[Endpoint] = []
        self.in_flight: dict[Endpoint, int] = {}

    # Methods for subclasses to override.

    def pick_endpoint(self, candidates: Sequence[Endpoint], now: float) -> Endpoint:
        """Return the endpoint of the next attempt; `candidates` is not empty."""
        raise NotImplementedError

    def on_list_changed(self) -> None:
        """Handle a change of the ready endpoints."""

    def on_outcome(self, endpoint: Endpoint, outcome: Outcome, now: float) -> None:
        """Handle the outcome of an attempt."""

    def candidates(self, rpc: Rpc) -> list[Endpoint]:
        """Return the ready endpoints that the RPC has not tried; all ready ones if none is left."""
        return without_tried(rpc, self.ready) or self.ready

    # Events.

    def start(self, _now: float) -> list[Action]:
        """Do nothing."""
        return []

    def on_endpoint_events(
        self, _now: float, is_full: bool, events: Iterable[EndpointEvent]
    ) -> list[Action]:
        """Apply the list or its changes; all gateways sort the endpoints in the same order."""
        rows = list(events)
        listed = {row.endpoint for row in rows}
        self.ready = [endpoint for endpoint in self.ready if endpoint not in listed and not is_full]
        for row in rows:
            row.endpoint.state = row.state
            row.endpoint.weight = row.weight or 1.0
            if row.state == READY:
                self.ready.append(row.endpoint)
                self.in_flight.setdefault(row.endpoint, 0)
        self.ready.sort(key=number_of)
        self.on_list_changed()
        return []

    def admit(self, now: float, rpc: Rpc) -> list[Action]:
        """Send an attempt, or reject the RPC if no endpoint is ready."""
        candidates = self.candidates(rpc)
        if not candidates:
            rpc.is_finished = True
            return [Reject(rpc, 0.0, RejectionReason.ENDPOINT)]
        endpoint = self.pick_endpoint(candidates, now)
        self.in_flight[endpoint] += 1
        attempt = SendAttempt(rpc, endpoint, len(rpc.attempts), now, rpc.deadline - now)
        rpc.attempts.append(attempt)
        return [attempt]

    def on_attempt_ended(
        self,
        now: float,
        attempt: SendAttempt,
        outcome: Outcome,
        *,
        is_final: bool,
        **_details: object,
    ) -> list[Action]:
        """Retry if the attempt provably did not run and may be retried, or end the RPC."""
        rpc = attempt.rpc
        endpoint = attempt.endpoint
        attempt.outcome = outcome
        self.in_flight[endpoint] = max(0, self.in_flight.get(endpoint, 0) - 1)
        self.on_outcome(endpoint, outcome, now)
        if is_final:
            return []
        may_retry = len(rpc.attempts) < rpc.method.max_attempts and rpc.deadline > now
        if outcome in NEVER_RAN and may_retry:
            return self.admit(now, rpc)
        rpc.is_finished = True
        has_run = any(earlier.outcome not in NEVER_RAN for earlier in rpc.attempts)
        if rpc.method.effect == IDEMPOTENT or not has_run:
            return [Reject(rpc, 0.0, RejectionReason.GIVEN_UP)]
        return [Abort(rpc)]

    def on_client_disconnected(self, _now: float, rpc: Rpc) -> list[Action]:
        """Finish the RPC without further attempts."""
        rpc.is_finished = True
        return []

    def on_counter_reply(
        self, _now: float, _add: CounterAdd, _outcome: Outcome, _total: float
    ) -> list[Action]:
        """Do nothing."""
        return []

    def on_timer(self, _now: float, _subject: TimerSubject) -> list[Action]:
        """Do nothing."""
        return []


def number_of(endpoint: Endpoint) -> int:
    """Return the number in the address of a simulated endpoint."""
    return int(endpoint.address[1:])


def without_tried(rpc: Rpc, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """Return the endpoints to which no attempt of the RPC was sent."""
    tried = {attempt.endpoint for attempt in rpc.attempts}
    return [endpoint for endpoint in endpoints if endpoint not in tried]


class TwoChoices(Baseline):
    """Draws two endpoints by weight and picks the one with fewer attempts in flight per weight."""

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """Return the less loaded of two randomly drawn endpoints."""
        weights = [endpoint.weight for endpoint in candidates]
        pair = self.random.choices(candidates, weights, k=2)
        return min(pair, key=self._load_of)

    def _load_of(self, endpoint: Endpoint) -> float:
        return self.in_flight[endpoint] / endpoint.weight
