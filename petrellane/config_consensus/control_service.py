"""The control process, which commits proposed settings at all gateways or at none.

The rules of the protocol are in `coordinator`. This module owns the process around them: scheduler,
listener, journal, log and signal handling. The coordinator writes each decision to the journal
before it notifies any gateway. The log has one JSON object per line.
"""

import secrets
import select
import signal
import socket
from collections.abc import Callable, Iterable, Mapping

from petrellane.config.consensus import ControlConfig
from petrellane.config_consensus.ballots import claimant
from petrellane.config_consensus.coordinator import Coordinator
from petrellane.config_consensus.journal import Journal
from petrellane.config_consensus.message_authentication import (
    STAFF_PATH,
    answer_signed_request,
)
from petrellane.config_consensus.participant_notifier import CALL_TIMEOUT_S, ParticipantNotifier
from petrellane.config_consensus.rpc_client import RpcClient, call_limits
from petrellane.config_consensus.staff_calls import StaffCalls
from petrellane.config_consensus.staff_messages import CONTROL_RECIPIENT
from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.operation.lifecycle import Lifecycle
from petrellane.operation.management_api import ManagementServer
from petrellane.operation.management_requests import HttpResponse

TICK_INTERVAL_S = 0.05  # between two checks for decisions that depend on time, like timeouts
JOURNAL_FAILED_INTERVAL_S = 1.0  # minimum time between two `journal_failed` events
MAX_DESCRIPTORS = 4096
INCARNATION_BYTES = 8


class ControlService:
    """Runs a control process; the command line owns it until `run` returns.

    It owns the journal, the listener for staff's calls (through `ManagementServer`), the sockets
    that wake the scheduler on a signal, and the greenlets that call gateways (through
    `ParticipantNotifier`).
    """

    def __init__(
        self,
        config: ControlConfig,
        log_descriptor: int = 1,
        scheduler: Scheduler | None = None,
        limits: Limits | None = None,
    ) -> None:
        """Open the journal and listen for staff's calls.

        Args:
            config: The configuration of the control process.
            log_descriptor: The file descriptor of the log.
            scheduler: The scheduler to run on; by default a new one.
            limits: The limits of the network code; by default those of `call_limits`.

        Raises:
            JournalError: The journal cannot be opened or read.
            OSError: The process cannot listen on the address, or cannot write to the journal.
        """
        self.config = config
        self.scheduler = scheduler or Scheduler()
        self.limits = limits or call_limits(MAX_DESCRIPTORS, CALL_TIMEOUT_S)
        self.log = Logger(
            log_descriptor, config.name, self.scheduler.now, self.limits.max_log_lines
        )
        self.scheduler.exception_handler = self.log.fault
        self.journal = Journal(config.journal)
        self.coordinator = Coordinator(
            claimant(config.name, secrets.token_hex(INCARNATION_BYTES)),
            tuple(config.members),
            self.journal,
            self.scheduler.now(),
            self.journal.records(),
        )
        self._notifier = self._create_notifier()
        self._staff_calls = self._create_staff_calls()
        self._logged_state: tuple[object, ...] | None = None
        self._journal_failure_logged_at = 0.0
        self._signal_sockets: tuple[socket.socket, ...] = ()
        self._management = self._listen()

    def _create_notifier(self) -> ParticipantNotifier:
        return ParticipantNotifier(
            self.coordinator,
            RpcClient(self.scheduler, self.limits, self.config.key),
            self.config.members,
            self._call_coordinator,
            self._report_progress,
        )

    def _create_staff_calls(self) -> StaffCalls:
        return StaffCalls(
            self.config.name,
            self.coordinator,
            self.scheduler.now,
            self._report_progress,
            self._notifier.call_counts,
        )

    def _listen(self) -> ManagementServer:
        management = ManagementServer(
            self.scheduler,
            self.limits,
            Lifecycle(0.0, 0.0),
            lambda: None,
            lambda _error: None,
        )
        management.handlers[STAFF_PATH] = self._handle_staff_call
        management.listen(self.config.listen)
        return management

    def run(self) -> None:
        """Serve until `stop` is called."""
        self._notifier.start_workers()
        self._tick()
        host, port = self.config.listen
        self.log.event(
            "control",
            listen=f"{host}:{port}",
            gateways=len(self.config.members),
            epoch=self.coordinator.epoch.number,
        )
        self.scheduler.run()
        self._management.close()
        self.journal.close()
        self.log.event("ended")
        self.log.flush()

    def stop(self) -> None:
        """Make `run` return after the current turn of the scheduler."""
        self.scheduler.stop()

    def stop_on_signals(self, signals: Iterable[signal.Signals]) -> None:
        """Stop on any of these signals.

        The interpreter writes each signal to a socket, which wakes the scheduler's poll.
        """
        wake_receiver, wake_sender = socket.socketpair()
        wake_receiver.setblocking(False)
        wake_sender.setblocking(False)
        self._signal_sockets = (wake_receiver, wake_sender)
        signal.set_wakeup_fd(wake_sender.fileno(), warn_on_full_buffer=False)
        for number in signals:
            signal.signal(number, lambda *_: None)
        self.scheduler.register(wake_receiver.fileno(), select.POLLIN, lambda _events: self.stop())

    def _tick(self) -> None:
        """Let the coordinator make the decisions that depend on time, such as timeouts."""
        self.scheduler.call_later(TICK_INTERVAL_S, self._tick)
        self._call_coordinator(self.coordinator.try_to_decide, self.scheduler.now())
        self._report_progress()

    def _call_coordinator(self, method: Callable[..., None], *arguments: object) -> None:
        """Call a method of the coordinator that may write to the journal.

        If the write fails, the coordinator does not take the step, and the error is logged.
        """
        try:
            method(*arguments)
        except OSError as error:
            now = self.scheduler.now()
            if now - self._journal_failure_logged_at > JOURNAL_FAILED_INTERVAL_S:
                self._journal_failure_logged_at = now
                self.log.event("journal_failed", error=str(error))

    def _report_progress(self) -> None:
        """Log the coordinator's state and wake the notifier's workers, if the state changed."""
        coordinator = self.coordinator
        in_force = coordinator.in_force
        change = coordinator.change
        current = (
            coordinator.state,
            coordinator.epoch,
            in_force.ballot if in_force else None,
            change.generation.ballot if change else None,
        )
        if current == self._logged_state:
            return
        self._logged_state = current
        self._notifier.start_workers()
        self.log.event(
            coordinator.state,
            epoch=coordinator.epoch.number,
            number=in_force.number if in_force else None,
            under_way=change.generation.number if change else None,
            why=coordinator.reason,
        )
        self._notifier.wake_workers()

    def _handle_staff_call(self, fields: Mapping[bytes, bytes], body: bytes) -> HttpResponse:
        return answer_signed_request(
            self.config.key, CONTROL_RECIPIENT, self._staff_calls.handle, fields, body
        )
