"""One gateway process: creates its services, connects them, and starts and stops them.

To embed a gateway, call `GatewayProcess(config).run()`, or pass a scheduler.
"""

from __future__ import annotations

import gc
import signal
import sys
from functools import partial
from typing import TYPE_CHECKING, Protocol

from petrellane.config import ConfigError, load
from petrellane.gateway.action_executor import ActionExecutor
from petrellane.gateway.client_listener import ClientListener
from petrellane.gateway.configuration_changes import ConfigurationChanges
from petrellane.gateway.counter_client import CounterClient
from petrellane.gateway.endpoint_pools import EndpointPools
from petrellane.gateway.endpoint_watch import EndpointWatch
from petrellane.gateway.figures import collect_figures
from petrellane.gateway.memory_account import MemoryAccount, ResourceCounts
from petrellane.gateway.process_memory import resident_memory
from petrellane.gateway.runtime import Runtime
from petrellane.gateway.signals import SignalDispatcher
from petrellane.net.buffers import mapped_bytes
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
    from petrellane.gateway.endpoint_list_sharing import EndpointListSharing
    from petrellane.gateway.peer_monitor import PeerMonitor
    from petrellane.operation.hot_restart_transport import HotRestartTransport

STANDARD_OUTPUT = 1
EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2


class HasLimits(Protocol):
    """A service whose limits are replaced when the settings change."""

    limits: Limits


class GatewayProcess:
    """A gateway and all its services.

    There is one per process, except in tests and in programs that pass a scheduler. It owns every
    service of the gateway, the log and, unless one is passed, the scheduler.
    """

    def __init__(
        self,
        config: Config,
        log_descriptor: int = STANDARD_OUTPUT,
        limits: Limits | None = None,
        scheduler: Scheduler | None = None,
    ) -> None:
        """Create all services; no socket is opened before `start`.

        Args:
            config: The configuration.
            log_descriptor: The descriptor that the log is written to.
            limits: The limits; by default those that the configuration sets.
            scheduler: The scheduler; by default a new one.
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
        self.peers = self._make_peer_monitor() if config.listen_fd is not None else None
        self.memory = MemoryAccount(self.limits, self._count_resources, mapped_bytes, self.peers)
        self.executor = ActionExecutor(config, self.runtime, self.memory)
        self.lifecycle = Lifecycle(
            self.limits.drain_delay,
            self.limits.drain_command_timeout,
            self.limits.final_reply_delay,
            self.limits.max_deadline,
        )
        self._make_client_side()
        self._make_endpoint_side()
        self.participant: ParticipantService | None = None
        if config.consensus:
            self._make_participant(config.consensus)
        self.is_ending = False
        self.is_taking_over = False
        self.hot_restart_transport: HotRestartTransport | None = None
        self.endpoint_list_sharing: EndpointListSharing | None = None
        if config.listen_fd is not None:
            self._make_hot_restart_services()
        self.signals: SignalDispatcher | None = None

    def _make_client_side(self) -> None:
        self.client_listener = ClientListener(
            self.runtime, self.lifecycle, self.executor, self._make_room, self.memory
        )
        self.management = ManagementServer(
            self.scheduler,
            self.limits,
            self.lifecycle,
            self._on_lifecycle_changed,
            self.client_listener.free_descriptors,
        )

    def _make_endpoint_side(self) -> None:
        config = self.config
        self.endpoint_pools = EndpointPools(
            self.runtime, self.memory, self._client_count, self.executor
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
        # Imported lazily: a gateway without consensus starts faster without it.
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
                validate=self.configuration.validate_agreed_settings,
                apply_settings=self.configuration.apply_agreed_settings,
                random=self.executor.controller.random,
            ),
        )
        self.executor.admission_gate = self.participant
        self.management.handlers[PARTICIPANT_PATH] = self.participant.handle_call

    def _make_peer_monitor(self) -> PeerMonitor:
        # Imported lazily: a gateway without hot restart starts faster without it.
        from petrellane.gateway.peer_monitor import PeerMonitor

        return PeerMonitor(self.config.name, self.runtime)

    def _make_hot_restart_services(self) -> None:
        # Imported lazily: a gateway without hot restart starts faster without it.
        from petrellane.gateway.endpoint_list_sharing import EndpointListSharing
        from petrellane.gateway.hot_restart import GatewayHotRestart

        self.hot_restart_transport = GatewayHotRestart(self).make_transport()
        self.executor.hot_restart_transport = self.hot_restart_transport
        self.endpoint_list_sharing = EndpointListSharing(
            self.config.name, self.executor.endpoint_lists, self.runtime
        )

    def make_watch(self, index: int | None) -> EndpointWatch:
        """Return a watch of the endpoint list.

        Args:
            index: The version of the list that is in force; None to start with a complete list.
        """
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

    def _count_resources(self) -> ResourceCounts:
        return ResourceCounts(
            len(self.client_listener.clients),
            self.endpoint_pools.open_connections,
            len(self.executor.controller.lease_manager.leases),
            len(self.executor.requests),
        )

    def _log_fault(self, error: Exception) -> None:
        self.log.fault(error)

    # The endpoint list.

    def on_endpoint_list(self, endpoint_list: EndpointListUpdate) -> int | None:
        """Apply an endpoint list from discovery, unless its versions follow another numbering."""
        endpoint_lists = self.executor.endpoint_lists
        sharing = self.endpoint_list_sharing
        if endpoint_lists.has_numbering_restarted(endpoint_list.index):
            if sharing:
                sharing.request_rewrite()
            self.restart_watch()
            return None
        if sharing:
            sharing.record(endpoint_list)
        endpoint_lists.apply(endpoint_list, self._yield_turn)
        self.take_over()
        index = endpoint_list.index
        return None if endpoint_lists.known.versions.is_news(index) else index

    def on_watch_failed(self) -> None:
        """Report that a request for the endpoint list failed."""
        self.executor.on_watch_failed()

    def is_applying_endpoint_list(self) -> bool:
        """Return whether an endpoint list is being applied, which delays the next one."""
        return self.executor.endpoint_lists.is_applying

    def restart_watch(self) -> None:
        """Replace the watch after the address of discovery has changed.

        The new watch starts with a complete list.
        """
        self.endpoint_watch.end()
        self.endpoint_watch = self.make_watch(None)
        self.scheduler.spawn(self.endpoint_watch.run)

    def _yield_turn(self) -> None:
        self.scheduler.wait(0)

    # Start.

    def run(self) -> None:
        """Serve until `end` is called and all accepted requests are answered."""
        self.start()
        gc.collect()
        gc.freeze()
        self.memory.set_baseline(resident_memory() or self.limits.process_memory)
        self.scheduler.run()
        self.log.event("ended")
        self.log.flush()

    def start_background_work(self) -> None:
        """Start everything that does not need clients.

        That is the consensus state, the endpoint watch, the management API and the periodic timers.
        """
        if self.participant:
            self.participant.load()
        self.scheduler.spawn(self.endpoint_watch.run)
        if self.config.management:
            self.management.listen(self.config.management)
        self.run_heartbeat()
        self.log_figures()

    def start(self) -> None:
        """Open the sockets and start the services, which run when the scheduler runs."""
        if self.peers:
            self.peers.start()
        self._start_with_known_endpoints()
        self.start_background_work()
        if self.config.listen_fd is not None:
            self.client_listener.inherit(self.config.listen_fd)
            self.scheduler.call_later(self.limits.first_list_timeout, self.take_over)
        else:
            self.client_listener.listen(self.config.listen, connectable=not self.participant)
            self.begin_serving()

    def _start_with_known_endpoints(self) -> None:
        """Start the executor, and the watch from the newest list that is known."""
        sharing = self.endpoint_list_sharing
        if not sharing:
            self.executor.start(self.config.known)
            return
        self.executor.start(self.config.known, sharing.inherited_lists())
        sharing.request_rewrite()
        self.endpoint_watch = self.make_watch(
            self.executor.endpoint_lists.known.versions.complete_index
        )
        self.scheduler.spawn(sharing.run)

    def begin_serving(self) -> None:
        """Serve clients as soon as it is known which settings are in force.

        The management listener is open before the participant polls its peers, so two gateways that
        start together reach each other.
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
        self.log.event(
            "started", listen=f"{host}:{port}", hosts=len(self.executor.endpoint_lists.known)
        )

    def run_heartbeat(self) -> None:
        """Wake the scheduler periodically, so that a poll that overruns reveals a stall.

        The number of leases follows what the other process of a hot restart leaves.
        """
        self.scheduler.call_later(self.limits.heartbeat_interval, self.run_heartbeat)
        self.executor.controller.lease_manager.max_leases = self.memory.lease_capacity
        if self.participant:
            self.participant.check_stall()

    def log_figures(self) -> None:
        """Log the counts since the last `figures` line, if there are any."""
        self.scheduler.call_later(self.limits.metrics_interval, self.log_figures)
        figures = collect_figures(self)
        if figures:
            self.log.event("figures", **figures)
        self.scheduler.longest_turn = 0.0

    # Hot restart.

    def take_over(self) -> None:
        """Request the state of the predecessor, once, if hot restart is configured.

        The gateway sends the request after the first endpoint list arrives, so that it knows the
        endpoints when it takes over. If no list arrives, it sends the request after
        `first_list_timeout`.
        """
        if self.hot_restart_transport and not self.is_taking_over:
            self.is_taking_over = True
            self.hot_restart_transport.request_transfer(self.begin_serving)

    # Signals, draining and shutdown.

    def handle_signals(self, handlers: Mapping[int, Callable[[], object]]) -> None:
        """Install signal handlers, by signal number."""
        self.signals = SignalDispatcher(self.scheduler, handlers)

    def reload(self, load: Callable[[Config], Config]) -> None:
        """Reload the configuration, see `ConfigurationChanges.reload`."""
        self.configuration.reload(load)

    def _on_lifecycle_changed(self) -> None:
        """Handle a drain or a resume that operators have requested."""
        self._log_open_requests(self.lifecycle.state)
        self.client_listener.drain()

    def _log_open_requests(self, event: str) -> None:
        self.log.event(event, clients=self._client_count(), open=len(self.executor.requests))

    def end(self) -> None:
        """Shut down gracefully.

        Clients are served as before for `drain_delay` seconds from the start of the shutdown, or of
        an earlier drain, unless a successor has taken over. The gateway then closes each client
        once its replies are written, and stops. Requests that are still open at the final deadline
        expire.
        """
        if self.is_ending:
            return
        self.is_ending = True
        self.lifecycle.begin_shutdown(self.scheduler.now())
        self._log_open_requests("ending")
        deadlines = [method.deadline for method in self.config.settings.methods.values()]
        final_deadline = self.lifecycle.final_answer_time(max(deadlines, default=0.0))
        time_left = max(0.0, final_deadline - self.scheduler.now())
        self.scheduler.call_later(time_left, self.executor.expire_open_requests)
        self.executor.final_deadline = final_deadline
        if self.client_listener.successor:  # the successor takes clients, so no delay is needed
            self._close_clients()
            return
        drain_delay = self.lifecycle.draining_since + self.limits.drain_delay - self.scheduler.now()
        self.scheduler.call_later(max(0.0, drain_delay), self._close_clients)

    def _close_clients(self) -> None:
        self.client_listener.end(self._stop)

    def _stop(self) -> None:
        """Stop the remaining services and the scheduler once the successor has all its messages."""
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
    """Run a gateway until SIGTERM or SIGINT, configured by the PROXY_* variables.

    SIGHUP reloads the configuration.

    Returns:
        The exit code of the process. It is 2 if the configuration is invalid, after one line on
        standard error.
    """
    try:
        process = GatewayProcess(load(environ))
    except ConfigError as error:
        print(f"petrellane: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    handlers: dict[int, Callable[[], object]] = {
        signal.SIGTERM: process.end,
        signal.SIGINT: process.end,
        signal.SIGHUP: partial(process.reload, partial(load, environ)),
    }
    process.handle_signals(handlers)
    gc.enable()  # the entry point disables garbage collection during imports
    process.run()
    # The interpreter restores the default actions while it exits.
    signal.pthread_sigmask(signal.SIG_BLOCK, handlers)
    return EXIT_OK
