"""Links between zones: late, cut in one way or both. A message over a cut link is lost and nobody is told."""


class Network:
    """Zones are whole numbers. The counter is a place of its own, COUNTER, in zone 0, as its links can be cut alone."""

    COUNTER = "counter"

    def __init__(self, world):
        self.world, self.cuts, self.late = world, {}, 0.0

    def cut(self, sender, receiver, by: int) -> None:
        """Cut a link once more (by 1), or take one cut back (by -1)."""
        self.cuts[sender, receiver] = self.cuts.get((sender, receiver), 0) + by

    def delay(self, sender, receiver, rng):
        """How long a message takes, or None when it is lost."""
        if self.cuts:
            ends = [{place, 0 if place == self.COUNTER else place} for place in (sender, receiver)]
            if any(self.cuts.get((a, b), 0) > 0 for a in ends[0] for b in ends[1]):
                return None
        across = 1 + (
            (0 if sender == self.COUNTER else sender)
            != (0 if receiver == self.COUNTER else receiver)
        )
        extra = self.late * rng.random() ** 3 if self.late else 0.0
        return self.world.latency * across * (1 + self.world.jitter * rng.random()) + extra
