"""Cooperative scheduler: greenlets over `select.poll`, with timers.

One thread runs everything. Each turn polls the registered descriptors, calls what was registered
for those that are ready, then fires the timers that are due, then makes the calls that were
deferred to the end of the turn. An exception in one call is reported and does not stop the others.

The scheduler also notices when the process stood still (it was stopped or swapped out, or a turn
took long): what is read after that may have arrived long before, and who decides by arrival times
has to know.
"""

import heapq
import itertools
import math
import select
import time
from collections.abc import Callable

import greenlet

EventHandler = Callable[[int], object]  # called with a mask of poll events
Clock = Callable[[], float]

STALL_THRESHOLD = 0.05  # seconds without a poll that count as standing still
MILLISECONDS = 1000
ROUND_UP = 0.999  # a poll's milliseconds are rounded up, so that it never ends before a timer


class Timer:
    """One pending call of a scheduler, which may be cancelled until it is due."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], object]) -> None:
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Drop the call; no effect once it was made."""
        self.call = None


class Scheduler:
    """The greenlets, descriptors and timers of one thread.

    It is made by the thread that runs it and lives as long as the process. Descriptors are watched
    from `register` to `unregister`. A greenlet that waits is resumed by a call or by a timer.

    Attributes:
        exception_handler: Called with each exception that nothing else caught.
        monotonic: The clock of timers, in seconds.
        hub: The greenlet that runs the turns; a greenlet waits by switching to it.
        poll: The poll object that watches the descriptors.
        event_handlers: The handler of each registered descriptor.
        ready: Calls deferred to the end of this turn.
        running: Whether `run` goes on after this turn.
        unix_offset: Unix time minus the monotonic clock, taken once.
        longest_turn: Seconds of the longest turn so far, without its poll; the reader may reset it.
    """

    def __init__(
        self, monotonic: Clock = time.monotonic, stall_threshold: float = STALL_THRESHOLD
    ) -> None:
        """Make a scheduler for this thread.

        Args:
            monotonic: Returns seconds that never go back.
            stall_threshold: Seconds between two polls that count as standing still.
        """
        self.exception_handler: Callable[[Exception], object] = print
        self.monotonic = monotonic
        self.hub = greenlet.getcurrent()
        self.poll = select.poll()
        self.event_handlers: dict[int, EventHandler] = {}
        self.ready: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.running = False
        self.unix_offset = time.time() - monotonic()
        self.longest_turn = 0.0
        self._urgent: set[int] = set()  # descriptors whose events go first in a turn
        self._timers: list[tuple[float, int, Timer]] = []  # a heap of (due time, order, timer)
        self._timer_order = itertools.count()
        self._stall_threshold = stall_threshold
        self._polled_at = monotonic()
        # When what is read in this turn may have arrived first; infinite: just now.
        self._earliest_arrival = self._polled_at

    def now(self) -> float:
        """Return Unix time in seconds, anchored once and advanced by the monotonic clock."""
        return self.unix_offset + self.monotonic()

    def earliest_arrival(self) -> float:
        """Return the Unix time from which on what is read in this turn may have arrived.

        That is now, or where the process stood still, the time of the poll before.
        """
        return self.unix_offset + min(self._earliest_arrival, self.monotonic())

    def has_stalled(self) -> bool:
        """Return whether what is read in this turn may have arrived some time ago."""
        return self._earliest_arrival < math.inf

    def may_have_missed_events(self) -> bool:
        """Return whether a peer may have left a while ago although no poll has reported it.

        So it is where the process stood still, and where this turn takes long.
        """
        return self.has_stalled() or self.monotonic() - self._polled_at > self._stall_threshold

    def register(
        self, descriptor: int, events: int, handler: EventHandler, urgent: bool = False
    ) -> None:
        """Watch a descriptor.

        Args:
            descriptor: An open descriptor that is not registered.
            events: A mask of poll events.
            handler: Called with the events that are ready, in each turn in which there are any.
            urgent: Whether its events go before those of others in a turn.
        """
        self.event_handlers[descriptor] = handler
        if urgent:
            self._urgent.add(descriptor)
        self.poll.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Watch a registered descriptor for other events."""
        self.poll.modify(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        """Stop watching a descriptor.

        Raises:
            KeyError: It is not registered.
        """
        del self.event_handlers[descriptor]
        self._urgent.discard(descriptor)
        self.poll.unregister(descriptor)

    def call_soon(self, call: Callable[..., object], *arguments: object) -> None:
        """Make a call at the end of this turn."""
        self.ready.append((call, arguments))

    def call_later(self, seconds: float, call: Callable[[], object]) -> Timer:
        """Make a call after some seconds; zero or less means in the next turn."""
        timer = Timer(call)
        due = self.monotonic() + seconds
        heapq.heappush(self._timers, (due, next(self._timer_order), timer))
        return timer

    def spawn(self, call: Callable[..., object], *arguments: object) -> None:
        """Run a call in a greenlet of its own, from the end of this turn."""
        self.call_soon(greenlet.greenlet(call, self.hub).switch, *arguments)

    def wait(self, seconds: float | None = None) -> bool:
        """Suspend this greenlet until somebody switches to it.

        Args:
            seconds: How long at most; None means without end, zero until the next turn.

        Returns:
            False when the time ran out, or whoever resumed it switched with False.
        """
        current = greenlet.getcurrent()
        timer = None
        if seconds is not None:
            timer = self.call_later(seconds, lambda: current.switch(False))
        resumed_with = self.hub.switch()
        if timer:
            timer.cancel()
        return resumed_with is not False

    def run(self) -> None:
        """Run turns until `stop`."""
        self.running = True
        while self.running:
            self.run_once(self.poll_timeout_ms())

    def stop(self) -> None:
        """Let `run` return after this turn."""
        self.running = False

    def run_once(self, timeout_ms: int | None) -> None:
        """Poll, then do all that is due.

        Args:
            timeout_ms: Milliseconds to wait for events; None means without end.
        """
        began = self.monotonic()
        events = self.poll.poll(timeout_ms)
        now = self.monotonic()
        self._note_stall(began, now, timeout_ms)
        self._deliver(events)
        self._fire_timers()
        while self.ready:
            ready = self.ready
            self.ready = []
            for call, arguments in ready:
                self._call(call, arguments)
        self.longest_turn = max(self.longest_turn, self.monotonic() - now)

    def poll_timeout_ms(self) -> int | None:
        """Return the milliseconds until the next timer is due; None where there is none."""
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        if self.ready:
            return 0
        if not self._timers:
            return None
        seconds = self._timers[0][0] - self.monotonic()
        return max(0, int(seconds * MILLISECONDS + ROUND_UP))

    def _note_stall(self, began: float, now: float, timeout_ms: int | None) -> None:
        """Note whether the process stood still between two polls, or within this one."""
        if began - self._polled_at > self._stall_threshold:
            self._earliest_arrival = self._polled_at
        elif timeout_ms is not None and now - began > timeout_ms / 1e3 + self._stall_threshold:
            self._earliest_arrival = began
        else:
            self._earliest_arrival = math.inf
        self._polled_at = now

    def _deliver(self, events: list[tuple[int, int]]) -> None:
        """Call the handlers of descriptors that are ready.

        Peers that have left go first, as nothing more is owed to them, then urgent descriptors.
        """
        if self._urgent or any(mask & select.POLLRDHUP for _, mask in events):
            events.sort(
                key=lambda event: (not event[1] & select.POLLRDHUP, event[0] not in self._urgent)
            )
        for descriptor, mask in events:
            handler = self.event_handlers.get(descriptor)
            if handler:  # one before it in this turn may have unregistered it
                self._call(handler, (mask,))

    def _fire_timers(self) -> None:
        """Make the calls that are due; a timer that one of them sets fires in the next turn."""
        until = self.monotonic()
        due = []
        while self._timers and self._timers[0][0] <= until:
            due.append(heapq.heappop(self._timers)[2])
        for timer in due:
            if timer.call:
                self._call(timer.call, ())

    def _call(self, call: Callable[..., object], arguments: tuple[object, ...]) -> None:
        """Make a call; what it raises concerns one peer and must not reach the others."""
        try:
            call(*arguments)
        except Exception as error:
            self.exception_handler(error)
