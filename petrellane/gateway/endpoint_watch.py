"""The host list: a watch that goes on for as long as discovery answers, and begins anew where it does not. When it is called
next is decided in `petrellane/operation/backoff.py`.

A list is checked to its last row before any of it is told, so that one of no form changes nothing, and the next call asks on
from its version once it is in force. It is checked a share of rows in a turn, and told by a call that may wait likewise."""

import orjson

from petrellane.config import ConfigError, EndpointListUpdate, Section, iter_endpoint_entries
from petrellane.net import http
from petrellane.net.resp import Malformed
from petrellane.net.stream import Closed, Stream
from petrellane.operation.backoff import Backoff, PollFailure, PollTimes

PATH = "/registry/instances"


class TurnedAway(Malformed):
    """Discovery is there and does not answer us: it has more to do than it can."""


class Discovery:
    """Tells `listed` of each list, and of None when a call failed; one log line tells that discovery is away, and one that
    it is back. A call has one time for its dialing and its whole answer, however that comes. A list is told when none is
    being taken over, which `busy` tells."""

    def __init__(self, scheduler, limits, log, address, index, listed, random, busy=lambda: False):
        self.scheduler, self.limits, self.log, self.address = scheduler, limits, log, address
        self.index, self.listed, self.busy = index, listed, busy
        self.backoff = Backoff(
            random,
            PollTimes(
                max_interval=limits.watch_next,
                first_interval=limits.watch_next if index is not None else limits.watch_first,
                max_hold=limits.watch_hold,
                grace=limits.watch_grace,
                poll_timeout=limits.watch_timeout,
                initial_pause=limits.backoff_first,
            ),
        )
        self.stream, self.over = None, False

    def end(self):
        """Watch no longer: whatever still comes is not told."""
        self.over = True
        if self.stream:
            self.stream.close()

    def run(self):
        """Watch until the end. The connection is closed before a pause, as nobody reads from it meanwhile: what the peer had
        ended would be ready at every poll."""
        now = self.scheduler.now
        while not self.over:
            stream = None
            try:
                until = self.backoff.start_poll(now(), self.index is not None)
                stream = self.stream = Stream.dial(
                    self.scheduler, self.limits, self.address, until - now()
                )
                while self.heard(*self.watch(stream, until)) and not self.over:
                    until = self.backoff.start_poll(now(), self.index is not None)
            except (OSError, Closed, Malformed, ConfigError, ValueError) as trouble:
                if self.over:
                    return
                if not self.backoff.is_failing:
                    self.log.event("discovery_away", error=str(trouble))
                    self.listed(None)
                outcome = (
                    PollFailure.TIMED_OUT
                    if isinstance(trouble, TimeoutError)
                    else (
                        PollFailure.REJECTED
                        if isinstance(trouble, TurnedAway)
                        else PollFailure.FAILED
                    )
                )
            else:
                continue
            finally:
                if stream:
                    stream.close()
            self.scheduler.wait(self.backoff.pause_after(outcome, now()))

    def watch(self, stream, until):
        """One call: the list or the changes, and whether the connection goes on."""
        limits, path = self.limits, PATH
        if self.index is not None:  # an index of 0 is one too
            path += f"?from={self.index}&hold_ms={int(self.backoff.remaining_hold(self.scheduler.now()) * 1e3)}"
        stream.write(http.get(path, "%s:%d" % self.address))
        while not (found := http.head(stream.buffer, limits)):
            http.more(stream, until)
        status, fields, end = found
        if status != 200:  # what it says besides may have no end
            raise TurnedAway(f"status {status}")
        del stream.buffer[:end]
        return self.checked(
            Section(orjson.loads(http.body(stream, fields, limits, until)), "list")
        ), http.lasts(fields)

    def checked(self, told):
        """A host list, checked a share of its rows in a turn. Raises ConfigError, and Closed where we end meanwhile."""
        found = EndpointListUpdate(told.integer("index"), told.flag("snapshot"), [])
        for entry in iter_endpoint_entries(told):
            found.entries.append(entry)
            if not len(found.entries) % self.limits.list_rows:
                self.others()
        return found

    def others(self):
        """Others have their turn; Closed where we have been ended in it."""
        self.scheduler.wait(0)
        if self.over:
            raise Closed("ended here")

    def heard(self, told, lasting):
        """Pass on what a call told; whether the connection goes on."""
        if self.index is not None and told.index < self.index and not told.full:
            self.log.event("discovery_restarted", before=self.index, index=told.index)
            self.index = None  # its numbers began anew: what they count from is not what we have
            return lasting
        if self.backoff.is_failing:
            self.log.event("discovery_back", index=told.index)
        self.backoff.on_success(bool(told.entries))
        while self.busy():
            self.others()
        self.listed(told)
        self.index = told.index
        if not told.entries:  # the watch goes on all the same; guards against answers without end
            self.scheduler.wait(self.limits.watch_pause)
        return lasting
