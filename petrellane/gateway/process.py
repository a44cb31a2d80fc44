"""One gateway, put together from its parts."""

import gc
import math
import select
import signal
import socket
import sys
import time
from collections import Counter as Tally
from dataclasses import replace
from functools import partial

from petrellane.config import ConfigError, load, settled
from petrellane.gateway.action_executor import Driver
from petrellane.gateway.client_listener import Server
from petrellane.gateway.counter_client import Counter
from petrellane.gateway.endpoint_pool import Upstream
from petrellane.gateway.endpoint_watch import Discovery
from petrellane.gateway.response_relay import Account
from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.operation import hot_restart
from petrellane.operation.hot_restart_transport import Handover
from petrellane.operation.lifecycle import Service
from petrellane.operation.management_api import Management


class Node:
    """A gateway that serves until it is told to end."""

    def __init__(self, config, log_descriptor=1, limits=None, scheduler=None):
        self.config, self.limits = config, limits or Limits.of(config)
        self.scheduler = scheduler or Scheduler()
        self.scheduler.fault = lambda error: self.log.fault(error)
        self.log = Logger(log_descriptor, config.name, self.scheduler.now, self.limits.log_lines)
        self.driver = Driver(config, self.scheduler, self.limits, self.log)
        account = Account(self.limits)
        self.service = Service(
            self.limits.change_over,
            self.limits.last_command,
            self.limits.kill_after,
            self.limits.kill_longest,
        )
        self.server = Server(
            self.scheduler,
            self.limits,
            self.log,
            self.service,
            self.driver.place,
            self.driver.left,
            lambda more: self.upstream.make_room(more),
            account,
        )
        self.management = Management(
            self.scheduler,
            self.limits,
            self.service,
            self.changed,
            lambda trouble: self.server.make_way(trouble),
        )
        self.upstream = self.driver.upstream = Upstream(
            self.scheduler,
            self.limits,
            account,
            lambda: len(self.server.clients),
            self.driver.begun,
            self.driver.ended,
        )
        if config.counter:
            self.driver.counter = Counter(
                self.scheduler, self.limits, config.counter, self.driver.counted
            )
        self.discovery = self.watch(config.known.index if config.known.entries else None)
        self.agent = None
        if config.agreement:  # imported where it is asked for: a gateway alone starts without it
            from petrellane.config_consensus.message_authentication import PATH
            from petrellane.config_consensus.participant_service import Agent

            self.agent = self.driver.agent = Agent(
                self.scheduler,
                self.limits,
                self.log,
                config.agreement,
                config.name,
                config.raw["settings"],
                self.takes,
                self.adopt,
                self.driver.gateway.random,
            )
            self.management.handlers[PATH] = self.agent.desk
        self.ending = self.succeeding = False
        self.handover = None
        if config.listen_fd is not None:
            self.handover = self.driver.handover = Handover(
                self.scheduler,
                self.limits,
                self.log,
                config.name,
                self.give,
                self.hand,
                self.driver.taken,
                self.server.adopt,
                self.driver.settled,
                self.beside,
            )

    def watch(self, index):
        return Discovery(
            self.scheduler,
            self.limits,
            self.log,
            self.config.discovery,
            index,
            self.listed,
            self.driver.gateway.random,
            lambda: self.driver.taking,
        )

    def listed(self, told):
        """Discovery has told of a list, or its call failed."""
        self.driver.listed(told, lambda: self.scheduler.wait(0))
        if told:
            self.succeed()

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
        if self.agent:
            self.agent.load()
        self.scheduler.spawn(self.discovery.run)
        if self.config.management:
            self.management.listen(self.config.management)
        self.beat()
        self.tell()
        if self.handover:
            self.server.inherit(self.config.listen_fd)
            self.scheduler.after(self.limits.listed, self.succeed)
        else:
            self.server.listen(self.config.listen, now=not self.agent)
            self.settle()

    def settle(self):
        """Serve, once it is known what is in force where settings are agreed on. Staff and other gateways find us
        listening before we ask: whoever goes on without us asks again after we have."""
        if self.agent:
            self.agent.start(self.serve, self.handover and self.handover.generation)
        else:
            self.serve()

    def succeed(self):
        """Follow the process before, where there is one: once, when we know where hosts are."""
        if self.handover and not self.succeeding:
            self.succeeding = True
            self.handover.ask(self.settle)

    def serve(self):
        """Take clients."""
        self.server.attend()
        self.service.begin()
        self.log.event("started", listen="%s:%d" % self.config.listen, hosts=len(self.driver.hosts))

    def give(self):
        """Give up what the process that follows is to have, and say what it was."""
        for pool in self.upstream.pools.values():
            pool.retire(math.inf)
        generation = None
        if self.agent:
            self.agent.leave()
            generation = self.agent.state.to_dict()
        return hot_restart.given(self.driver.gateway, self.scheduler.now(), generation)

    def beside(self):
        """The process before gave nothing, and may go on."""
        hot_restart.beside(self.driver.gateway, self.scheduler.now())

    def hand(self, heir):
        """Another process follows; None: it is gone again."""
        self.service.followed = bool(heir)
        self.server.hand(heir)
        if not heir:
            hot_restart.resumed(self.driver.gateway, self.scheduler.now())
            if self.agent:
                self.agent.back()

    def beat(self):
        """Never let a poll last long: one that overruns tells that the process stood still."""
        self.scheduler.after(self.limits.beat, self.beat)
        if self.agent:
            self.agent.look()

    def tell(self):
        """Log what was counted since the last time, where there is anything; a line a second at most."""
        self.scheduler.after(self.limits.figures, self.tell)
        tally, self.driver.tally = self.driver.tally, Tally()
        tally.update(self.upstream.tally)
        self.upstream.tally.clear()
        if self.driver.to is not None:
            tally["to"], self.driver.to = dict(self.driver.to), Tally()
        if tally:
            self.log.event(
                "figures",
                **tally,
                cpu=round(time.process_time(), 3),
                turn=round(self.scheduler.longest, 3),
                clients=len(self.server.clients),
                connections=self.upstream.open,
                busy=sum(len(pool.busy) for pool in self.upstream.pools.values()),
                pressure=round(self.driver.gateway.pressure, 3),
                crowded=int(self.driver.gateway.leases.crowded(self.scheduler.now())),
            )
        self.scheduler.longest = 0.0

    def obey(self, signals):
        """Make these calls, by their numbers, on signals, which must wake the poll."""
        ours, theirs = socket.socketpair()
        for sock in (ours, theirs):
            sock.setblocking(False)
        self.signals = ours, theirs
        signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
        for number in signals:
            signal.signal(number, lambda *_: None)

        def rung(events):
            for number in ours.recv(64):
                if number in signals:
                    signals[number]()

        self.scheduler.register(ours.fileno(), select.POLLIN, rung)
        signal.pthread_sigmask(
            signal.SIG_UNBLOCK, signals
        )  # what came since the start of the process is heard now

    def reload(self, load):
        """Take up what can be taken up of a configuration read anew: the settings, and the addresses of discovery and the
        counter; all else is as at the start. One that is wrong changes nothing."""
        try:
            config = load(self.config)
        except ConfigError as error:
            self.log.event("reload_refused", error=str(error))
            return
        counter = config.counter or self.config.counter
        moved = [
            key
            for key, before, now in (
                ("discovery", self.config.discovery, config.discovery),
                ("counter", self.config.counter, counter),
            )
            if before and before != now
        ]
        before, now = self.config.settings, config.settings
        if self.agent and not self.agent.drifts(config.raw["settings"]):
            now = before
        self.config = replace(
            self.config, discovery=config.discovery, counter=counter, raw=config.raw
        )
        self.put(now)
        if "counter" in moved:
            self.driver.counter.move(counter)
        if (
            "discovery" in moved
        ):  # the list is asked for whole, whatever version the old address gave
            self.discovery.end()
            self.discovery = self.watch(None)
            self.scheduler.spawn(self.discovery.run)
        self.log.event(
            "reloaded",
            moved=moved,
            methods=self.differ(before.methods, now.methods),
            plans=self.differ(before.plans, now.plans),
        )

    def put(self, settings):
        """Put settings in force."""
        self.config = replace(self.config, settings=settings)
        self.limits = self.limits.renewed(self.config)
        for part in (
            self.server,
            self.upstream,
            self.management,
            self.discovery,
            self.driver.counter,
            self.agent,
        ):
            if part:
                part.limits = self.limits
        self.driver.renewed(settings, self.limits)

    def agreed(self, content):
        """The configuration with settings that are agreed on, and what of them is our own. Raises ConfigError."""
        from petrellane.config_consensus import safe_settings

        return settled(
            self.config, {**safe_settings.local_settings(self.config.raw["settings"]), **content}
        )

    def takes(self, content):
        """Why agreed settings will not do here, in one line; None where they do."""
        try:
            self.agreed(content)
        except ConfigError as error:
            return str(error)
        return None

    def adopt(self, content):
        """Put agreed settings in force; `takes` has looked at them."""
        before, now = self.config.settings, self.agreed(content).settings
        self.put(now)
        self.log.event(
            "settings",
            methods=self.differ(before.methods, now.methods),
            plans=self.differ(before.plans, now.plans),
        )

    @staticmethod
    def differ(before, now):
        """The names that came, went or stand for something else."""
        return sorted(
            name for name in before.keys() | now.keys() if before.get(name) is not now.get(name)
        )

    def changed(self):
        """Staff have had the gateway emptied, or taken into service again."""
        self.log.event(
            self.service.state, clients=len(self.server.clients), open=len(self.driver.exchanges)
        )
        self.server.drain()

    def end(self):
        """Go on as before through the change-over, let clients go when they are owed nothing, then stop."""
        if not self.ending:
            self.ending = True
            self.service.end(self.scheduler.now())
            self.log.event(
                "ending", clients=len(self.server.clients), open=len(self.driver.exchanges)
            )
            by = self.service.answers_by(
                max((one.deadline for one in self.config.settings.methods.values()), default=0.0)
            )
            self.scheduler.after(max(0.0, by - self.scheduler.now()), self.driver.last_answers)
            self.driver.last = by
            if self.server.heir:  # clients go to the next process, not away
                self.server.end(self.stop)
                return
            left = self.service.since + self.limits.change_over - self.scheduler.now()
            self.scheduler.after(max(0.0, left), lambda: self.server.end(self.stop))

    def stop(self):
        """Nothing is owed to anybody any more."""
        if self.handover and self.handover.busy():
            self.scheduler.after(self.limits.let_go, self.stop)
            return
        self.management.end()
        if self.agent:
            self.agent.end()
        if self.handover:
            self.handover.close()
        self.scheduler.stop()


def serve(environ):
    """Serve until SIGTERM by the configuration that the PROXY_* variables name, which SIGHUP has read anew. Returns the exit
    code of the process: 2, after one line on standard error, where the configuration will not do."""
    try:
        node = Node(load(environ))
    except ConfigError as error:
        print(f"petrellane: {error}", file=sys.stderr)
        return 2
    node.obey(
        {
            signal.SIGTERM: node.end,
            signal.SIGINT: node.end,
            signal.SIGHUP: lambda: node.reload(partial(load, environ)),
        }
    )
    node.run()
    return 0
