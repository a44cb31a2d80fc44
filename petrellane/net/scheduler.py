"""Greenlets over select.poll: who waits for which descriptor, and which timer rings next."""

import heapq
import itertools
import math
import select
import time

import greenlet


class Timer:
    """A call that is due at some time; cancelling it is all that can be done to it."""

    __slots__ = ("call",)

    def __init__(self, call):
        self.call = call

    def cancel(self):
        self.call = None


class Scheduler:
    """One thread's greenlets. Descriptors are watched for as long as they are registered; what is ready is told
    to the call that was registered with it. A greenlet that waits is resumed by such a call or by a timer."""

    def __init__(self, monotonic=time.monotonic, still=0.05):
        self.fault = print  # told of exceptions that nothing else caught
        self.monotonic = monotonic
        self.hub = greenlet.getcurrent()
        self.poll = select.poll()
        self.calls = {}  # descriptor -> what to call with its events
        self.urgent = set()  # descriptors whose events go first in a turn
        self.timers, self.order = [], itertools.count()
        self.ready = []  # calls for the end of this turn
        self.running = False
        self.offset = time.time() - monotonic()
        self.still, self.looked = (
            still,
            monotonic(),
        )  # seconds that count as standing still; the last look
        self.came = self.looked
        self.longest = 0.0  # seconds that a turn has taken at most, its poll apart

    def now(self):
        """Unix time, anchored once and stepped by the monotonic clock."""
        return self.offset + self.monotonic()

    def since(self):
        """Unix time at which what is read in this turn may have come: now, or where the process stood still (it was
        stopped, swapped out, or a turn took long) when it last looked, as it can have come any time since."""
        return self.offset + min(self.came, self.monotonic())

    def stood_still(self):
        """Whether what is read in this turn may have come some time ago."""
        return self.came < math.inf

    def unseen(self):
        """Whether a peer may have left a while ago though no poll has told so: we stood still, or this turn takes long."""
        return self.stood_still() or self.monotonic() - self.looked > self.still

    def register(self, descriptor, events, call, urgent=False):
        self.calls[descriptor] = call
        if urgent:
            self.urgent.add(descriptor)
        self.poll.register(descriptor, events)

    def modify(self, descriptor, events):
        self.poll.modify(descriptor, events)

    def unregister(self, descriptor):
        del self.calls[descriptor]
        self.urgent.discard(descriptor)
        self.poll.unregister(descriptor)

    def soon(self, call, *words):
        """Make a call at the end of this turn."""
        self.ready.append((call, words))

    def after(self, seconds, call):
        """Make a call after some seconds."""
        timer = Timer(call)
        heapq.heappush(self.timers, (self.monotonic() + seconds, next(self.order), timer))
        return timer

    def spawn(self, call, *words):
        """Run a call in a greenlet of its own, from the end of this turn."""
        self.soon(greenlet.greenlet(call, self.hub).switch, *words)

    def wait(self, seconds=None):
        """Park this greenlet until somebody switches to it; False when the time ran out first."""
        current = greenlet.getcurrent()
        timer = self.after(seconds, lambda: current.switch(False)) if seconds is not None else None
        woken = self.hub.switch()
        if timer:
            timer.cancel()
        return woken is not False

    def run(self):
        """Serve until stopped."""
        self.running = True
        while self.running:
            self.turn(self.pause())

    def turn(self, most):
        """Wait for at most so many milliseconds, then do all that is due."""
        began, ready = self.monotonic(), self.poll.poll(most)
        now = self.monotonic()
        if began - self.looked > self.still:
            self.came = self.looked
        else:
            self.came = (
                began if most is not None and now - began > most / 1e3 + self.still else math.inf
            )
        self.looked = now
        if self.urgent or any(
            events & select.POLLRDHUP for _, events in ready
        ):  # who has left is owed nothing more
            ready.sort(key=lambda one: (not one[1] & select.POLLRDHUP, one[0] not in self.urgent))
        for descriptor, events in ready:
            call = self.calls.get(descriptor)
            if call:
                self.attempt(call, (events,))
        self.ring()
        while self.ready:
            ready, self.ready = self.ready, []
            for call, words in ready:
                self.attempt(call, words)
        self.longest = max(self.longest, self.monotonic() - now)

    def stop(self):
        self.running = False

    def pause(self):
        """Milliseconds until the next timer."""
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        if self.ready:
            return 0
        if not self.timers:
            return None
        return max(0, int((self.timers[0][0] - self.monotonic()) * 1000 + 0.999))

    def ring(self):
        """Make the calls that are due; those they set for at once ring in the next turn."""
        until, due = self.monotonic(), []
        while self.timers and self.timers[0][0] <= until:
            due.append(heapq.heappop(self.timers)[2])
        for timer in due:
            if timer.call:
                self.attempt(timer.call, ())

    def attempt(self, call, words):
        try:
            call(*words)
        except Exception as error:  # one peer's trouble is not the others'
            self.fault(error)
