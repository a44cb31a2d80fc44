"""One gateway, put together from its parts."""

import gc
import select
import signal
import socket

from petrellane.net.counter import Counter
from petrellane.net.discovery import Discovery
from petrellane.net.driver import Driver
from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.net.server import Server
from petrellane.net.upstream import Upstream


class Node:
    """A gateway that serves until it is told to end."""

    def __init__(self, config, log_descriptor=1, limits=None, scheduler=None):
        self.config, self.limits = config, limits or Limits.of(config)
        self.scheduler = scheduler or Scheduler()
        self.scheduler.fault = lambda error: self.log.fault(error)
        self.log = Logger(log_descriptor, config.name, self.scheduler.now, self.limits.log_lines)
        self.driver = Driver(config, self.scheduler, self.log)
        self.server = Server(self.scheduler, self.limits, self.log, self.driver.place, self.driver.left,
                             lambda more: self.upstream.make_room(more))
        self.upstream = self.driver.upstream = Upstream(
            self.scheduler, self.limits, lambda: len(self.server.clients), self.driver.ended)
        if config.counter:
            self.driver.counter = Counter(self.scheduler, self.limits, config.counter, self.driver.counted)
        self.discovery = Discovery(self.scheduler, self.limits, self.log, config.discovery,
                                   config.known.index if config.known.entries else None, self.driver.listed)
        self.ending = False

    def run(self):
        """Serve until `end`, and until all that was taken is answered."""
        self.start()
        gc.collect()
        gc.freeze()
        self.scheduler.run()
        self.log.event("ended")
        self.log.flush()

    def start(self):
        """Listen, and watch the host list; the scheduler does the rest."""
        self.driver.start(self.config.known)
        self.scheduler.spawn(self.discovery.run)
        self.server.listen(self.config.listen)
        self.log.event("started", listen="%s:%d" % self.config.listen, hosts=len(self.driver.hosts))

    def end_on(self, *numbers):
        """End on these signals, which must wake the poll."""
        ours, theirs = socket.socketpair()
        for sock in (ours, theirs):
            sock.setblocking(False)
        self.signals = ours, theirs
        signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

        def rung(events):
            ours.recv(64)
            self.end()
        self.scheduler.register(ours.fileno(), select.POLLIN, rung)

    def end(self):
        """Go on as before through the change-over, let clients go when they are owed nothing, then stop."""
        if not self.ending:
            self.ending = True
            self.log.event("ending", clients=len(self.server.clients), open=len(self.driver.exchanges))
            self.scheduler.after(self.limits.change_over, lambda: self.server.end(self.scheduler.stop))
