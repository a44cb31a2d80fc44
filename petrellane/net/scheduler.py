"""Cooperative scheduler: an event loop over `select.poll` with greenlets and timers.

One thread runs everything. Each turn of the loop polls the registered descriptors, calls the
handlers of those that are ready, fires the timers that are due and then makes the calls that were
deferred to the end of the turn. An exception in one call is reported and does not stop the others.

The scheduler also detects stalls of the process, which occur when it is stopped or swapped out or
when a turn takes long. Data that is read after a stall may have arrived much earlier, which code
that depends on arrival times has to take into account.
"""

import heapq
import itertools
import math
import select
import time
from collections.abc import Callable

import greenlet

EventHandler = Callable[[int], object]  # its argument is a mask of poll events
Clock = Callable[[], float]

STALL_THRESHOLD = 0.05  # seconds without a poll that count as a stall
MILLISECONDS = 1000
POLL_ROUNDING = 0.999  # rounds a poll's milliseconds up, so that it does not end before a timer


class Timer:
    """A pending call of a scheduler, which its creator may cancel until it is made."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], object]) -> None:
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Cancel the call; this has no effect after the call was made."""
        self.call = None


class Scheduler:
    """An event loop that runs the greenlets, descriptors and timers of one thread.

    The thread that runs the scheduler creates it, and it lives as long as the process. The
    scheduler watches a descriptor from `register` to `unregister`. A handler, a deferred call or a
    timer resumes a waiting greenlet.

    Attributes:
        exception_handler: The function that receives each unhandled exception.
        monotonic: The clock of the timers, in seconds.
        hub: The greenlet that runs the loop; other greenlets wait by switching to it.
        poll: The poll object that watches the descriptors.
        event_handlers: The handler of each registered descriptor.
        ready: The calls that are deferred to the end of the current turn.
        running: Whether `run` continues after the current turn.
        unix_offset: The Unix time minus the monotonic clock, in seconds, measured once.
        longest_turn: The duration of the longest turn without its poll, in seconds; readers may
            reset it.
    """

    def __init__(
        self, monotonic: Clock = time.monotonic, stall_threshold: float = STALL_THRESHOLD
    ) -> None:
        """Create a scheduler for the current thread.

        Args:
            monotonic: A monotonic clock, in seconds.
            stall_threshold: The time between two polls that counts as a stall, in seconds.
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
        self._receive_space = bytearray()
        self._urgent: set[int] = set()  # descriptors whose events are handled first in a turn
        self._timers: list[tuple[float, int, Timer]] = []  # a heap of (due time, order, timer)
        self._timer_order = itertools.count()
        self._stall_threshold = stall_threshold
        self._polled_at = monotonic()
        # The earliest arrival time of data read in this turn; infinite without a stall.
        self._earliest_arrival = self._polled_at

    def now(self) -> float:
        """Return the Unix time in seconds, read once and advanced by the monotonic clock."""
        return self.unix_offset + self.monotonic()

    def wall_clock_step(self) -> float:
        """Return by how many seconds the system's clock was stepped since the start; 0 for none."""
        return time.time() - self.now()

    def earliest_arrival(self) -> float:
        """Return the earliest Unix time at which data read in this turn may have arrived.

        Without a stall this is the current time. After a stall between two polls it is the time
        of the earlier poll, and after a stall within a poll the time at which that poll started.
        """
        return self.unix_offset + min(self._earliest_arrival, self.monotonic())

    def has_stalled(self) -> bool:
        """Return whether the process stalled, so that this turn's data may have arrived earlier."""
        return self._earliest_arrival < math.inf

    def may_have_missed_events(self) -> bool:
        """Return whether a peer may have disconnected although no poll has reported it.

        This is the case after a stall and when the current turn exceeds the stall threshold.
        """
        return self.has_stalled() or self.monotonic() - self._polled_at > self._stall_threshold

    def receive_space(self, size: int) -> memoryview:
        """Return space for the next read, which all readers of the thread share.

        What is read has to be copied before the calling greenlet waits. To allocate space for
        each read would fragment the heap.

        Args:
            size: The size of the space, in bytes.
        """
        if len(self._receive_space) < size:
            self._receive_space = bytearray(size)
        return memoryview(self._receive_space)[:size]

    def register(
        self, descriptor: int, events: int, handler: EventHandler, urgent: bool = False
    ) -> None:
        """Watch a descriptor.

        Args:
            descriptor: An open descriptor that is not registered.
            events: A mask of poll events.
            handler: The function to call with the mask of ready events, in each turn that has any.
            urgent: Whether its events are handled before those of other descriptors in a turn.
        """
        self.event_handlers[descriptor] = handler
        if urgent:
            self._urgent.add(descriptor)
        self.poll.register(descriptor, events)

    def modify(self, descriptor: int, events: int) -> None:
        """Replace the events for which a registered descriptor is watched."""
        self.poll.modify(descriptor, events)

    def unregister(self, descriptor: int) -> None:
        """Stop watching a descriptor.

        Raises:
            KeyError: The descriptor is not registered.
        """
        del self.event_handlers[descriptor]
        self._urgent.discard(descriptor)
        self.poll.unregister(descriptor)

    def call_soon(self, call: Callable[..., object], *arguments: object) -> None:
        """Defer a call to the end of the current turn."""
        self.ready.append((call, arguments))

    def call_later(self, seconds: float, call: Callable[[], object]) -> Timer:
        """Schedule a call after a delay in seconds; zero or less means the next turn."""
        timer = Timer(call)
        due = self.monotonic() + seconds
        heapq.heappush(self._timers, (due, next(self._timer_order), timer))
        return timer

    def spawn(self, call: Callable[..., object], *arguments: object) -> None:
        """Run a call in a new greenlet, which starts at the end of the current turn."""
        self.call_soon(greenlet.greenlet(call, self.hub).switch, *arguments)

    def wait(self, seconds: float | None = None) -> bool:
        """Suspend the current greenlet until another greenlet or a timer switches to it.

        Args:
            seconds: The maximum time to wait; None means no limit, zero means until the next turn.

        Returns:
            False if the time ran out or the greenlet was resumed with False, else True.
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
        """Make `run` return after the current turn."""
        self.running = False

    def run_once(self, timeout_ms: int | None) -> None:
        """Run one turn: poll, then run handlers, due timers and deferred calls.

        Args:
            timeout_ms: The maximum time to wait for events, in milliseconds; None means no limit.
        """
        began = self.monotonic()
        events = self.poll.poll(timeout_ms)
        now = self.monotonic()
        self._detect_stall(began, now, timeout_ms)
        self._dispatch_events(events)
        self._fire_timers()
        while self.ready:
            ready = self.ready
            self.ready = []
            for call, arguments in ready:
                self._call(call, arguments)
        self.longest_turn = max(self.longest_turn, self.monotonic() - now)

    def poll_timeout_ms(self) -> int | None:
        """Return the milliseconds to the next timer, 0 with deferred calls, None without timers."""
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
        if self.ready:
            return 0
        if not self._timers:
            return None
        seconds = self._timers[0][0] - self.monotonic()
        return max(0, int(seconds * MILLISECONDS + POLL_ROUNDING))

    def _detect_stall(self, began: float, now: float, timeout_ms: int | None) -> None:
        """Record whether the process stalled between the last two polls or within this poll."""
        if began - self._polled_at > self._stall_threshold:
            self._earliest_arrival = self._polled_at
        elif timeout_ms is not None and now - began > timeout_ms / 1e3 + self._stall_threshold:
            self._earliest_arrival = began
        else:
            self._earliest_arrival = math.inf
        self._polled_at = now

    def _dispatch_events(self, events: list[tuple[int, int]]) -> None:
        """Call the handlers of the ready descriptors.

        Disconnects are handled first, so that no more work is done for those peers, then the events
        of urgent descriptors.
        """
        if self._urgent or any(mask & select.POLLRDHUP for _, mask in events):
            events.sort(
                key=lambda event: (not event[1] & select.POLLRDHUP, event[0] not in self._urgent)
            )
        for descriptor, mask in events:
            handler = self.event_handlers.get(descriptor)
            if handler:  # an earlier handler of this turn may have unregistered it
                self._call(handler, (mask,))

    def _fire_timers(self) -> None:
        """Make the calls of due timers; timers that these calls set fire in a later turn."""
        until = self.monotonic()
        due = []
        while self._timers and self._timers[0][0] <= until:
            due.append(heapq.heappop(self._timers)[2])
        for timer in due:
            if timer.call:
                self._call(timer.call, ())

    def _call(self, call: Callable[..., object], arguments: tuple[object, ...]) -> None:
        """Make a call and report its exception, which must not affect the other calls."""
        try:
            call(*arguments)
        except Exception as error:
            self.exception_handler(error)
