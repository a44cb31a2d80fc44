"""The host list: a watch that goes on for as long as discovery answers, and begins anew where it does not."""

import orjson

from petrellane.config import ConfigError, Section, host_list
from petrellane.net import http
from petrellane.net.resp import Malformed
from petrellane.net.stream import Closed, Stream

PATH = "/registry/instances"


class Refused(Malformed):
    """Discovery is there and turns us away: it has more to do than it can."""


class Discovery:
    """Tells `listed` of each list, and of None when a call failed. A call has one time for its whole answer, however that
    comes. After a failure the next one waits for no news: so discovery that is silent is told from one that has none, and a
    call that it finds when it is back has at once what came meanwhile."""

    def __init__(self, scheduler, limits, log, address, index, listed, random):
        self.scheduler, self.limits, self.log, self.address = scheduler, limits, log, address
        self.index, self.listed, self.random = index, listed, random
        self.stream, self.over = None, False

    def end(self):
        """Watch no longer: whatever still comes is not told."""
        self.over = True
        if self.stream:
            self.stream.close()

    def run(self):
        """Watch until the end; discovery that is away is asked again with growing pauses. Gateways that lost it
        together don't ask together: each pause is drawn. Its connection is closed before, as nobody reads from it
        meanwhile: what the peer had ended would be ready at every poll."""
        pause, away = self.limits.back_off_first, False
        while not self.over:
            stream = None
            try:
                stream = self.stream = Stream.dial(self.scheduler, self.limits, self.address, self.limits.dial_timeout)
                while not self.over:
                    told, lasting = self.watch(stream, away)
                    if self.index is not None and told.index < self.index and not told.full:
                        self.log.event("discovery_restarted", before=self.index, index=told.index)
                        self.index = None    # its numbers began anew: what they count from is not what we have
                        if not lasting:
                            break
                        continue
                    if away:
                        self.log.event("discovery_back", index=told.index)
                    pause, away, self.index = self.limits.back_off_first, False, told.index
                    self.listed(told)
                    if not lasting:
                        break
                    if not told.entries:    # the watch goes on all the same; guards against answers without end
                        self.scheduler.wait(self.limits.watch_pause)
            except (OSError, Closed, Malformed, ConfigError, ValueError) as trouble:
                if self.over:
                    return
                if not away:
                    self.log.event("discovery_away", error=str(trouble))
                    self.listed(None)
                away = True
                if stream and isinstance(trouble, TimeoutError):
                    pause = self.limits.back_off_first    # waiting was its pause
                elif isinstance(trouble, Refused):
                    pause = max(pause, self.limits.back_off_refused)
            finally:
                if stream:
                    stream.close()
            if away:
                self.scheduler.wait(self.drawn(pause))
                pause = min(2 * pause, self.limits.back_off_most)

    def drawn(self, seconds):
        """From half to one and a half times so many: what all gateways do at some time must not come in step."""
        return seconds * (0.5 + self.random())

    def watch(self, stream, away):
        """One call: the list or the changes, and whether the connection goes on."""
        limits, path, hold = self.limits, PATH, 0.0 if away else self.drawn(self.limits.watch_hold)
        if self.index is not None:    # an index of 0 is one too
            path += f"?from={self.index}&hold_ms={int(hold * 1e3)}"
        stream.write(http.get(path, "%s:%d" % self.address))
        until = self.scheduler.now() + (limits.watch_silent if away else hold + limits.watch_grace)
        while not (found := http.head(stream.buffer, limits)):
            http.more(stream, until)
        status, fields, end = found
        del stream.buffer[:end]
        body = http.body(stream, fields, limits, until)
        if status != 200:
            raise Refused(f"status {status}")
        return host_list(Section(orjson.loads(body), "list")), fields.get(b"connection", b"").lower() != b"close"
