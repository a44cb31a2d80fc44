"""What all baselines have in common: a controller that decides nothing but the endpoint.

Nothing is rejected for overload, there is no quota, and a retry follows only an outcome that proves
that the attempt before never ran.
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
    """What all baselines have in common; `pick_endpoint` is their own.

    One gateway process owns it, and it may look at that gateway in the simulation.
    """

    needs_gateway: ClassVar[bool] = True

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **_settings: object) -> None:
        """Make a controller that knows no endpoints; other settings have no meaning here."""
        self.random = random.Random(seed)
        self.gateway = gateway
        self.ready: list[Endpoint] = []
        self.in_flight: dict[Endpoint, int] = {}

    # What differs between baselines.

    def pick_endpoint(self, candidates: Sequence[Endpoint], now: float) -> Endpoint:
        """The endpoint of the next attempt, among at least one."""
        raise NotImplementedError

    def on_list_changed(self) -> None:
        """The ready endpoints have changed."""

    def on_outcome(self, endpoint: Endpoint, outcome: Outcome, now: float) -> None:
        """An attempt has ended."""

    def candidates(self, rpc: Rpc) -> list[Endpoint]:
        """Where an RPC may go: not where it has been, if there are others."""
        return without_tried(rpc, self.ready) or self.ready

    # Events.

    def start(self, _now: float) -> list[Action]:
        """Do nothing."""
        return []

    def on_endpoint_events(
        self, _now: float, is_full: bool, events: Iterable[EndpointEvent]
    ) -> list[Action]:
        """Take over the list, in one order at all gateways."""
        rows = list(events)
        named = {row.endpoint for row in rows}
        self.ready = [endpoint for endpoint in self.ready if endpoint not in named and not is_full]
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
        """Send an attempt, or reject the RPC where no endpoint is ready."""
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
        """Retry where the attempt is proven not to have run, or end the RPC."""
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
        """Owe nothing more."""
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
    """The number in a simulated endpoint's address."""
    return int(endpoint.address[1:])


def without_tried(rpc: Rpc, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
    """The endpoints that an RPC was not sent to yet."""
    tried = {attempt.endpoint for attempt in rpc.attempts}
    return [endpoint for endpoint in endpoints if endpoint not in tried]


class TwoChoices(Baseline):
    """Draws two by weight and takes the one with fewer attempts in flight."""

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """The better one of two."""
        weights = [endpoint.weight for endpoint in candidates]
        pair = self.random.choices(candidates, weights, k=2)
        return min(pair, key=self._load_of)

    def _load_of(self, endpoint: Endpoint) -> float:
        return self.in_flight[endpoint] / endpoint.weight
