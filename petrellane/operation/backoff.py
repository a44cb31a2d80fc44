"""When discovery is called next, and how long a call may take, as rules free of I/O.

`Backoff` is told when a call begins and what became of it, and answers with times. It promises that a call begins at most
`most` seconds after the one before it began, whatever became of that: held, given up as silent, failed half way, refused,
turned away. So where an answer takes `told - most` seconds or less, no change is news for longer than `told` seconds after
discovery had it and could be called. Sockets, the list and the log are left to others.

What many gateways do at some time must not come in step, and whoever comes back too soon keeps discovery overbooked. But no
pause may be longer than `most`. So what all meet at once (a refusal, news) is followed by a draw over most of that time,
which spreads them, and what comes after that by draws from its upper end, which costs the fewest calls.
"""

SILENT, FAILED, TURNED_AWAY = "silent", "failed", "turned away"
SPREAD, SPACED = (
    0.2,
    0.8,
)  # a draw is from this part of its range up: to spread a crowd, and once it is spread


class Backoff:
    """All in seconds; `random` draws from 0 to 1. `most` is from the beginning of a call to that of the next, `at_first` the
    same before the first list. A call that may wait for news is held for `hold` at most, and its answer may come `grace`
    later; one that waits for none has `silent`. `first` is the pause after a first failure, about. Raises ValueError where
    these can't hold together."""

    def __init__(self, random, most, at_first, hold, grace, silent, first):
        if max(hold + grace, silent) + 1.5 * first > most or silent + 1.5 * first > at_first:
            raise ValueError(
                f"expected calls of {hold} + {grace} and {silent} s that leave room for a pause of "
                f"{1.5 * first} within {most} and {at_first} s"
            )
        self.random, self.most, self.between = random, most, at_first
        self.longest, self.grace, self.silent, self.first = hold, grace, silent, first
        self.away = False  # the last call brought no list
        self.proof = (
            False  # the next call waits for no news: an answer to it proves that discovery is there
        )
        self.spread = False  # we have drawn a time of our own since all others met what we met
        self.size = first
        self.began = self.held = self.until = 0.0

    def begin(self, now, watches):
        """A call begins, with the dialing of its connection where that is needed. It `watches` where it asks for what is
        newer than a version, and may then be held; a whole list comes at once. Returns when the call counts as silent."""
        waits = watches and not self.proof
        self.began, self.held = now, self.draw(self.longest) if waits else 0.0
        self.until = now + (self.held + self.grace if waits else self.silent)
        return self.until

    def hold(self, now):
        """How long the call may be held that is written now: what dialing took is gone."""
        return max(0.0, min(self.held, self.until - self.grace - now))

    def told(self, news):
        """The call brought a list: with none or with news, which all that watch have at the same time; whoever has been
        away has it at a time of its own."""
        self.spread = self.spread and (self.away or not news)
        self.away = self.proof = False
        self.size, self.between = self.first, self.most

    def pause(self, outcome, now):
        """Seconds until the next call, after one that brought no list.

        What follows silence or a failure waits for no news, so that discovery that is silent is told from one that has
        none. One that was turned away knows that it is there, and a call to prove it is one more to be turned away."""
        size = {SILENT: self.first, FAILED: self.size, TURNED_AWAY: self.most}[
            outcome
        ]  # silence was a pause itself
        self.size = self.first if outcome == SILENT else min(2 * size, self.most)
        self.spread = self.spread and self.away
        self.away, self.proof = True, outcome != TURNED_AWAY
        room = max(self.first / 2, self.began + self.between - now)
        return size * (0.5 + self.random()) if 1.5 * size <= room else self.draw(room)

    def draw(self, most):
        """A time of our own, up to so long."""
        least, self.spread = SPACED if self.spread else SPREAD, True
        return most * (least + (1 - least) * self.random())
