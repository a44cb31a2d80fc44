"""Long values on their way: what waits of each, and the one account that all of them share.

A value that is longer than a short one is never held whole. `Passage` stands between the host that gives it and the
client that takes it; what waits for a slow client stops the reading of its host, and nothing else.
"""

import socket
from collections import deque


class Account:
    """Bytes that may wait in all, shared by those that have some: passages have a window each, and bodies of commands,
    which are kept whole, have what they need while there is room."""

    def __init__(self, limits):
        self.limits, self.passages, self.bodies, self.kept = limits, set(), {}, 0

    def window(self):
        """The bytes that may wait of one passage."""
        share = (self.limits.waiting - self.kept) // max(1, len(self.passages))
        return max(self.limits.window_minimum, min(self.limits.window, share))

    def keep(self, whose, size):
        """So many bytes of a body are kept now; 0 when it is over."""
        self.kept += size - self.bodies.get(whose, 0)
        if size:
            self.bodies[whose] = size  # in its old place: the first one stays the first
        else:
            self.bodies.pop(whose, None)

    def room(self, whose):
        """Whether more of a body may be read: while there is room, and always for the one that came first, so that
        one gets done."""
        return self.kept < self.limits.waiting or next(iter(self.bodies), whose) is whose


class Passage:
    """One long value. `hold` is told whether the host's connection is to be read no more; `gone` that no client takes
    the value any more."""

    def __init__(self, account, now, hold, gone):
        self.account, self.now, self.hold, self.gone = account, now, hold, gone
        self.pieces, self.waiting, self.stream = deque(), 0, None
        self.flush = lambda: None  # set by who takes it
        self.held = self.whole = self.broken = self.sink = False
        self.moved, self.sent = now(), 0  # when bytes moved last, and how many the client had then
        account.passages.add(self)

    # The host's side.

    def push(self, data):
        """More has come from the host."""
        if not self.sink:
            self.moved = self.now()
            self.pieces.append(data)
            self.waiting += len(data)
            self.flush()
            self.weigh()

    def end(self):
        """It has come whole, and what followed it was in form."""
        self.over("whole")

    def fail(self):
        """The host gives no more."""
        self.over("broken")

    def over(self, how):
        self.account.passages.discard(self)
        if not (self.whole or self.broken):
            setattr(self, how, True)
            self.pieces += [b"\r\n"] * self.whole
            self.flush()

    def expire(self):
        """Nothing has moved for too long, whoever is to blame: the client's connection ends, and what the host still
        gives is passed over."""
        self.fail()
        self.sink, self.waiting = True, 0
        self.pieces.clear()
        if self.held:
            self.held = False
            self.hold(False)
        self.gone()

    # The client's side.

    def take(self, stream):
        """All that waits, for this stream, to which more will go."""
        if self.stream is None:
            self.stream, self.sent, stream.relief = stream, stream.sent, self.weigh
            stream.bound(socket.SO_SNDBUF)
        pieces, self.waiting = list(self.pieces), 0
        self.pieces.clear()
        return pieces

    def drop(self):
        """The client is gone: what still comes is passed over."""
        self.sink, self.waiting = True, 0
        self.pieces.clear()
        self.account.passages.discard(self)
        if not (self.whole or self.broken):
            self.weigh()
            self.gone()

    def weigh(self):
        """Stop or go on reading from the host, by what waits."""
        waits = self.waiting
        if self.stream and not self.sink:
            waits += self.stream.queued - self.stream.sent
            if self.stream.sent > self.sent:
                self.sent, self.moved = self.stream.sent, self.now()
        held = waits > self.account.window()
        if held != self.held and not (self.whole or self.broken):
            self.held = held
            self.hold(held)
