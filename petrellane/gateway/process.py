"""One gateway as a process: makes its services, connects them, starts and ends them.

Embed it with `GatewayProcess(config).run()`, or give it a scheduler of your own.
"""

from __future__ import annotations

import gc
import signal
import sys
import time
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from petrellane.config import ConfigError, load
from petrellane.gateway.action_executor import ActionExecutor
from petrellane.gateway.client_listener import ClientListener
from petrellane.gateway.configuration_changes import ConfigurationChanges
from petrellane.gateway.counter_client import CounterClient
from petrellane.gateway.endpoint_pools import EndpointPools
from petrellane.gateway.endpoint_watch import EndpointWatch
from petrellane.gateway.response_relay import BufferBudget
from petrellane.gateway.runtime import Runtime
from petrellane.gateway.signals import SignalWatch
from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.operation.lifecycle import Lifecycle
from petrellane.operation.management_api import ManagementServer

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from petrellane.config import Config, EndpointListUpdate
    from petrellane.config.consensus import ConsensusConfig
    from petrellane.config_consensus.participant_service import ParticipantService
    from petrellane.operation.hot_restart_transport import HotRestartTransport

STANDARD_OUTPUT = 1
EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2


class HasLimits(Protocol):
    """A service that is given other limits when the settings change."""

    limits: Limits


class GatewayProcess:
    """A gateway that serves until it is ended.

    One per process, except in tests and embeddings that give it a scheduler. Owns every service of
    the daemon, the log and, unless it was given one, the scheduler.
    """

    def __init__(
        self,
        config: Config,
        log_descriptor: int = STANDARD_OUTPUT,
        limits: Limits | None = None,
        scheduler: Scheduler | None = None,
    ) -> None:
        """Make all services; nothing is opened before `start`.

        Without `limits`, those that the configuration sets are taken.
        """
        self.config = config
        self.limits: Limits = limits or Limits.from_config(config)
        self.scheduler = scheduler or Scheduler()
        self.scheduler.exception_handler = self._log_fault
        self.log = Logger(
            log_descriptor, config.name, self.scheduler.now, self.limits.max_log_lines
        )
        self.runtime = Runtime(self.scheduler, self.limits, self.log)
        self.configuration = ConfigurationChanges(self)
        self.executor = ActionExecutor(config, self.runtime)
        self.lifecycle = Lifecycle(
            self.limits.drain_delay,
            self.limits.drain_command_timeout,
            self.limits.final_reply_delay,
            self.limits.max_deadline,
        )
        buffer_budget = BufferBudget(self.limits)
        self._make_client_side(buffer_budget)
        self._make_endpoint_side(buffer_budget)
        self.participant: ParticipantService | None = None
        if config.consensus:
            self._make_participant(config.consensus)
        self.is_ending = False
        self.is_taking_over = False
        self.hot_restart_transport: HotRestartTransport | None = None
        if config.listen_fd is not None:
            self._make_hot_restart_transport()
        self.signals: SignalWatch | None = None

    def _make_client_side(self, buffer_budget: BufferBudget) -> None:
        self.client_listener = ClientListener(
            self.runtime, self.lifecycle, self.executor, self._make_room, buffer_budget
        )
        self.management = ManagementServer(
            self.scheduler,
            self.limits,
            self.lifecycle,
            self._on_lifecycle_changed,
            self.client_listener.free_descriptors,
        )

    def _make_endpoint_side(self, buffer_budget: BufferBudget) -> None:
        config = self.config
        self.endpoint_pools = EndpointPools(
            self.runtime, buffer_budget, self._client_count, self.executor
        )
        self.executor.endpoint_pools = self.endpoint_pools
        self.counter_client: CounterClient | None = None
        if config.counter:
            self.counter_client = CounterClient(
                self.runtime, config.counter, self.executor.on_counter_reply
            )
            self.executor.counter_client = self.counter_client
        self.endpoint_watch = self.make_watch(config.known.index if config.known.entries else None)

    def _make_participant(self, consensus: ConsensusConfig) -> None:
        # Imported where it is asked for: a gateway alone starts without it.
        from petrellane.config_consensus.message_authentication import PARTICIPANT_PATH
        from petrellane.config_consensus.participant_service import (
            GatewayInterface,
            ParticipantService,
        )

        self.participant = ParticipantService(
            self.scheduler,
            self.limits,
            self.log,
            consensus,
            GatewayInterface(
                name=self.config.name,
                settings=self.config.raw["settings"],
                validate=self.configuration.check_agreed,
                apply_settings=self.configuration.adopt_agreed,
                random=self.executor.controller.random,
            ),
        )
        self.executor.admission_gate = self.participant
        self.management.handlers[PARTICIPANT_PATH] = self.participant.handle_call

    def _make_hot_restart_transport(self) -> None:
        # Imported where it is needed: a gateway alone starts without it.
        from petrellane.gateway.hot_restart import GatewayHotRestart

        self.hot_restart_transport = GatewayHotRestart(self).make_transport()
        self.executor.hot_restart_transport = self.hot_restart_transport

    def make_watch(self, index: int | None) -> EndpointWatch:
        """Return a watch of the endpoint list from a version on; None: from a complete list on."""
        return EndpointWatch(
            self.runtime._replace(limits=self.limits),
            self.config.discovery,
            index,
            self,
            self.executor.controller.random,
        )

    def services_with_limits(self) -> list[HasLimits]:
        """Return the services whose limits follow the settings."""
        services: list[HasLimits | None] = [
            self.client_listener,
            self.endpoint_pools,
            self.management,
            self.endpoint_watch,
            self.counter_client,
            self.participant,
        ]
        return [service for service in services if service]

    def _make_room(self, number: int) -> bool:
        return self.endpoint_pools.make_room(number)

    def _client_count(self) -> int:
        return len(self.client_listener.clients)

    def _log_fault(self, error: Exception) -> None:
        self.log.fault(error)

    # The endpoint list.

    def on_endpoint_list(self, endpoint_list: EndpointListUpdate) -> None:
        """Apply a list from discovery."""
        self.executor.on_endpoint_list(endpoint_list, self._yield_turn)
        self.take_over()

    def on_watch_failed(self) -> None:
        """Report that a request for the endpoint list failed."""
        self.executor.on_watch_failed()

    def is_applying_endpoint_list(self) -> bool:
        """Return whether a list is being applied, during which no other may be given."""
        return self.executor.applying_endpoint_list

    def restart_watch(self) -> None:
        """Watch at the configured address, which has changed, from a complete list on."""
        self.endpoint_watch.end()
        self.endpoint_watch = self.make_watch(None)
        self.scheduler.spawn(self.endpoint_watch.run)

    def _yield_turn(self) -> None:
        self.scheduler.wait(0)

    # Start.

    def run(self) -> None:
        """Serve until `end`, and until all that was taken is answered."""
        self.start()
        gc.collect()
        gc.freeze()
        self.scheduler.run()
        self.log.event("ended")
        self.log.flush()

    def start_background_work(self) -> None:
        """Start all that needs no clients: consensus state, watch, management API and timers."""
        if self.participant:
            self.participant.load()
        self.scheduler.spawn(self.endpoint_watch.run)
        if self.config.management:
            self.management.listen(self.config.management)
        self.run_heartbeat()
        self.log_figures()

    def start(self) -> None:
        """Listen, and watch the endpoint list; the scheduler does the rest."""
        self.executor.start(self.config.known)
        self.start_background_work()
        if self.config.listen_fd is not None:
            self.client_listener.inherit(self.config.listen_fd)
            self.scheduler.call_later(self.limits.first_list_timeout, self.take_over)
        else:
            self.client_listener.listen(self.config.listen, connectable=not self.participant)
            self.begin_serving()

    def begin_serving(self) -> None:
        """Serve clients, once it is known which settings are in force.

        The management address listens before peers are polled, so that two gateways that start
        together reach each other.
        """
        if self.participant:
            predecessor_state = (
                self.hot_restart_transport.consensus_state if self.hot_restart_transport else None
            )
            self.participant.start(self._serve_clients, predecessor_state)
        else:
            self._serve_clients()

    def _serve_clients(self) -> None:
        self.client_listener.start_accepting()
        self.lifecycle.start()
        host, port = self.config.listen
        self.log.event("started", listen=f"{host}:{port}", hosts=len(self.executor.endpoints))

    def run_heartbeat(self) -> None:
        """Never let a poll last long: one that overruns shows that the process stood still."""
        self.scheduler.call_later(self.limits.heartbeat_interval, self.run_heartbeat)
        if self.participant:
            self.participant.check_stall()

    def log_figures(self) -> None:
        """Log what was counted since the last line, if anything; a line a second at most."""
        self.scheduler.call_later(self.limits.metrics_interval, self.log_figures)
        executor = self.executor
        counts = executor.counts
        executor.counts = Counter()
        counts.update(self.endpoint_pools.counts)
        self.endpoint_pools.counts.clear()
        figures: dict[str, Any] = dict(counts)
        if executor.attempts_by_address is not None:
            figures["to"] = dict(executor.attempts_by_address)
            executor.attempts_by_address = Counter()
        if figures:
            pools = self.endpoint_pools.pools.values()
            controller = executor.controller
            self.log.event(
                "figures",
                **figures,
                cpu=round(time.process_time(), 3),
                turn=round(self.scheduler.longest_turn, 3),
                clients=len(self.client_listener.clients),
                connections=self.endpoint_pools.open_connections,
                busy=sum(len(pool.busy) for pool in pools),
                pressure=round(controller.overload, 3),
                crowded=int(controller.lease_manager.counter.is_degraded(self.scheduler.now())),
            )
        self.scheduler.longest_turn = 0.0

    # Hot restart.

    def take_over(self) -> None:
        """Take over from the predecessor, if any: once, when it is known where endpoints are."""
        if self.hot_restart_transport and not self.is_taking_over:
            self.is_taking_over = True
            self.hot_restart_transport.request_transfer(self.begin_serving)

    # Signals, drain and end.

    def handle_signals(self, calls: Mapping[int, Callable[[], object]]) -> None:
        """Make these calls on signals, by their numbers."""
        self.signals = SignalWatch(self.scheduler, calls)

    def reload(self, load: Callable[[Config], Config]) -> None:
        """Apply what may change in service of a configuration read anew; see its class."""
        self.configuration.reload(load)

    def _on_lifecycle_changed(self) -> None:
        """Note that operators have drained the gateway, or taken it into service again."""
        self._log_open(self.lifecycle.state)
        self.client_listener.drain()

    def _log_open(self, event: str) -> None:
        self.log.event(event, clients=self._client_count(), open=len(self.executor.requests))

    def end(self) -> None:
        """Serve through the change-over, close clients that are owed nothing, then stop."""
        if self.is_ending:
            return
        self.is_ending = True
        self.lifecycle.begin_shutdown(self.scheduler.now())
        self._log_open("ending")
        deadlines = [method.deadline for method in self.config.settings.methods.values()]
        final_deadline = self.lifecycle.final_answer_time(max(deadlines, default=0.0))
        time_left = max(0.0, final_deadline - self.scheduler.now())
        self.scheduler.call_later(time_left, self.executor.expire_open_requests)
        self.executor.final_deadline = final_deadline
        if self.client_listener.successor:  # clients go to the next process, not away
            self._end_clients()
            return
        drain_delay = self.lifecycle.since + self.limits.drain_delay - self.scheduler.now()
        self.scheduler.call_later(max(0.0, drain_delay), self._end_clients)

    def _end_clients(self) -> None:
        self.client_listener.end(self._stop)

    def _stop(self) -> None:
        """Stop the scheduler, as nothing is owed to anybody any more."""
        if self.hot_restart_transport and self.hot_restart_transport.has_unsent:
            self.scheduler.call_later(self.limits.client_poll_interval, self._stop)
            return
        self.management.close()
        if self.participant:
            self.participant.stop()
        if self.hot_restart_transport:
            self.hot_restart_transport.close()
        self.scheduler.stop()


def serve(environ: Mapping[str, str]) -> int:
    """Serve until SIGTERM by the configuration that the PROXY_* variables name.

    SIGHUP has it read anew.

    Returns:
        The exit code of the process: 2, after one line on standard error, where the configuration
        will not do.
    """
    try:
        process = GatewayProcess(load(environ))
    except ConfigError as error:
        print(f"petrellane: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    process.handle_signals(
        {
            signal.SIGTERM: process.end,
            signal.SIGINT: process.end,
            signal.SIGHUP: partial(process.reload, partial(load, environ)),
        }
    )
    gc.enable()  # the entry point disables it while modules are imported
    process.run()
    return EXIT_OK
