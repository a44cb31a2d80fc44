"""Baselines that pick within a subset of the endpoints; `baselines` says where they come from."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TYPE_CHECKING, ClassVar

from petrellane.decisions.types import READY, Endpoint, Rpc
from petrellane.simulation.baseline_controller import TwoChoices, number_of, without_tried

if TYPE_CHECKING:
    from petrellane.simulation.gateways import SimulatedGateway


class Subset(TwoChoices):
    """Two choices within a piece of the list that is shuffled by rounds."""

    SIZE: ClassVar[int] = 20
    """Endpoints of a subset: the figure that the descriptions name as usual."""

    def __init__(self, *, seed: int, gateway: SimulatedGateway, **settings: object) -> None:
        super().__init__(seed=seed, gateway=gateway, **settings)
        # The endpoints of the subset, with the part of each that belongs to it.
        self.parts: dict[Endpoint, float] = {}

    def on_list_changed(self) -> None:
        """Take the subset of the new list."""
        self.parts = dict.fromkeys(self.subset(), 1.0)

    def subset(self) -> list[Endpoint]:
        """The piece of this gateway."""
        size = min(self.SIZE, len(self.ready))
        pieces = max(1, len(self.ready) // size) if size else 1
        turn, piece = divmod(self.gateway.number, pieces)
        shuffled = list(self.ready)
        random.Random(f"round {turn}").shuffle(shuffled)
        return shuffled[piece * size : (piece + 1) * size]

    def candidates(self, rpc: Rpc) -> list[Endpoint]:
        """The ready ones of the subset, or all where there are none."""
        ready = [endpoint for endpoint in self.parts if endpoint.state == READY]
        return without_tried(rpc, ready) or ready or super().candidates(rpc)


def ring_position(number: int) -> float:
    """The position of a number on a ring from 0 to 1, even for any count of numbers.

    Its bits in reverse order (van der Corput's sequence).
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
        """Those that follow."""
        ring = sorted(self.ready, key=_position_of)
        position = ring_position(self.gateway.number)
        first = next(
            (index for index, endpoint in enumerate(ring) if _position_of(endpoint) >= position),
            0,
        )
        size = min(self.SIZE, len(ring))
        return [ring[(first + step) % len(ring)] for step in range(size)]


class Aperture(Subset):
    """Two choices within an arc of the ring; endpoints at its ends belong to it in part."""

    def on_list_changed(self) -> None:
        """Cover the new list."""
        endpoints = len(self.ready)
        gateways = len(self.gateway.simulation.gateways) or 1
        minimum = min(1.0, self.SIZE / endpoints if endpoints else 1.0)
        width = max(1 / gateways, minimum)
        begin = self.gateway.number / gateways
        end = begin + width
        self.parts = {}
        for index, endpoint in enumerate(self.ready):
            # The arc may go past the end of the ring, into its next turn.
            covered = sum(
                max(
                    0.0,
                    min(end, (index + 1) / endpoints + turn) - max(begin, index / endpoints + turn),
                )
                for turn in (0, 1)
            )
            if covered > 0:
                self.parts[endpoint] = covered * endpoints

    def pick_endpoint(self, candidates: Sequence[Endpoint], _now: float) -> Endpoint:
        """The better one of two, by the parts that belong to the arc."""
        weights = [self._part_of(endpoint) for endpoint in candidates]
        pair = self.random.choices(candidates, weights, k=2)
        return min(pair, key=lambda endpoint: self.in_flight[endpoint] / self._part_of(endpoint))

    def _part_of(self, endpoint: Endpoint) -> float:
        return self.parts.get(endpoint, 1.0)
