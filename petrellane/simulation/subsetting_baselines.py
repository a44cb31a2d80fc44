"""Baselines that pick endpoints within a subset; the module `baselines` cites their sources."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TYPE_CHECKING, ClassVar

from petrellane.decisions.types import READY, Endpoint, Rpc
from petrellane.simulation.baseline_controller import TwoChoices, number_of, without_tried

if TYPE_CHECKING:
    from petrellane.simulation.gateways import SimulatedGateway


class Subset(TwoChoices):
    """Two choices within a piece of the endpoint list, which is shuffled once per round.

    Attributes:
        shares: The fraction of each endpoint that belongs to the subset, from above 0 to 1.
    """

    SIZE: ClassVar[int] = 20
    """The number of endpoints in a subset: the usual size in the published descriptions."""

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **settings: object) -> None:
        super().__init__(seed=seed, gateway=gateway, **settings)
        self.shares: dict[Endpoint, float] = {}

    def on_list_changed(self) -> None:
        """Recompute the subset."""
        self.shares = dict.fromkeys(self.subset(), 1.0)

    def subset(self) -> list[Endpoint]:
        """Return the endpoints of the subset of this gateway."""
        size = min(self.SIZE, len(self.ready))
        pieces = max(1, len(self.ready) // size) if size else 1
        round_number, piece = divmod(self.gateway.number, pieces)
        shuffled = list(self.ready)
        random.Random(f"round {round_number}").shuffle(shuffled)
        return shuffled[piece * size : (piece + 1) * size]

    def candidates(self, rpc: Rpc) -> list[Endpoint]:
        """Return the ready endpoints of the subset, or all ready endpoints if it has none.

        Endpoints that the RPC has not tried take precedence over the tried ones.
        """
        ready = [endpoint for endpoint in self.shares if endpoint.state == READY]
        return without_tried(rpc, ready) or ready or super().candidates(rpc)


def ring_position(number: int) -> float:
    """Return the position of a number on a ring of length 1.

    The position is the bit-reversed number as a fraction (the van der Corput sequence), so the
    first n numbers are spread evenly for any n.
    """
    position = 0.0
    half = 0.5
    while number:
        position += half * (number & 1)
        half /= 2
        number >>= 1
    return position


def _position_of(endpoint: Endpoint) -> float:
    return ring_position(number_of(endpoint))


class RingSubset(Subset):
    """Two choices within the endpoints that follow this gateway on a ring."""

    def subset(self) -> list[Endpoint]:
        """Return the endpoints that follow the position of this gateway on the ring."""
        ring = sorted(self.ready, key=_position_of)
        position = ring_position(self.gateway.number)
        first = next(
            (index for index, endpoint in enumerate(ring) if _position_of(endpoint) >= position),
            0,
        )
        size = min(self.SIZE, len(ring))
        return [ring[(first + step) % len(ring)] for step in range(size)]


class Aperture(Subset):
    """Two choices within an arc of the ring, weighted by the covered fraction of each endpoint."""

    def on_list_changed(self) -> None:
        """Recompute the fraction of each endpoint that the arc of this gateway covers."""
        endpoints = len(self.ready)
        gateways = len(self.gateway.simulation.gateways) or 1
        minimum = min(1.0, self.SIZE / endpoints if endpoints else 1.0)
        width = max(1 / gateways, minimum)
        begin = self.gateway.number / gateways
        end = begin + width
        self.shares = {}
        for index, endpoint in enumerate(self.ready):
            # The arc may wrap around the end of the ring; turn 1 is the part after the end.
            covered = sum(
                max(
                    0.0,
                    min(end, (index + 1) / endpoints + turn) - max(begin, index / endpoints + turn),
                )
                for turn in (0, 1)
            )
            if covered > 0:
                self.shares[endpoint] = covered * endpoints

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """Return the less loaded of two endpoints drawn by share; load is relative to the share."""
        weights = [self._share_of(endpoint) for endpoint in candidates]
        pair = self.random.choices(candidates, weights, k=2)
        return min(pair, key=lambda endpoint: self.in_flight[endpoint] / self._share_of(endpoint))

    def _share_of(self, endpoint: Endpoint) -> float:
        return self.shares.get(endpoint, 1.0)
