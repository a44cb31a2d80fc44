"""The participant at a gateway: answers control processes and other gateways, applies settings.

The rules are in `participant`; this module executes what they decide. It promises that a state is
on the disk before it is answered or applied, that `on_ready` is called once the gateway knows which
settings are in force and never before, and that `may_admit` is cheap. Asking other gateways for
what this one may have missed is left to `peer_polling`.
"""

import contextlib
import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from petrellane.config.consensus import ConsensusConfig
from petrellane.config_consensus import participant
from petrellane.config_consensus.ballots import Generation
from petrellane.config_consensus.canonical_settings import digest, shared_settings
from petrellane.config_consensus.errors import MessageRejected, RejectionCause
from petrellane.config_consensus.message_authentication import (
    CallResult,
    answer_signed_request,
)
from petrellane.config_consensus.messages import JsonObject
from petrellane.config_consensus.participant import (
    INITIAL_BALLOT,
    ParticipantState,
    ParticipantStatus,
)
from petrellane.config_consensus.peer_polling import PeerPoller
from petrellane.config_consensus.settings_diff import describe_changes
from petrellane.config_consensus.state_store import StateStore
from petrellane.config_consensus.state_writer import StateWriter
from petrellane.net.limits import Limits
from petrellane.net.log import Logger
from petrellane.net.scheduler import Scheduler
from petrellane.operation.management_requests import HttpResponse

UPDATE_RETRY_INTERVAL_S = 0.002  # between looks whether another greenlet's update has ended
MAX_DRIFT_LINES = 20  # of a `drift` event


@dataclass(frozen=True)
class GatewayInterface:
    """What a participant service needs of its gateway.

    Attributes:
        name: the gateway's name in the roster.
        settings: the settings of the gateway's own file.
        validate: returns why settings can't be applied here, in one line, or None.
        apply_settings: puts settings in force that `validate` accepts.
        random: draws from 0 to 1.
    """

    name: str
    settings: JsonObject
    validate: Callable[[JsonObject], str | None]
    apply_settings: Callable[[JsonObject], None]
    random: Callable[[], float]


class ParticipantService:
    """One gateway's participant; the gateway's process owns it from its start to its end.

    It owns the state, its files (through `StateWriter`) and the greenlets that ask other gateways
    (through `PeerPoller`). The management listener that calls come in by is the gateway's.

    Attributes:
        limits: bounds of the network code; the gateway replaces them when settings change.
        state: what this gateway has promised, prepared and put in force, as it is on the disk.
        status: whether this gateway may admit requests.
        is_active: whether this process is the one that takes part; a successor may be it instead.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        log: Logger,
        config: ConsensusConfig,
        gateway: GatewayInterface,
    ) -> None:
        self.scheduler = scheduler
        self.limits = limits
        self.log = log
        self.config = config
        self.gateway = gateway
        self.name = gateway.name
        self.is_active = False
        self.is_stopped = False
        self.state = ParticipantState(self._file_generation(gateway.settings))
        self.status = ParticipantStatus(self.name, self.roster(), False, self.clock())
        self._file_settings = gateway.settings
        self._store = StateStore(config.state, self.name)
        self._writer = StateWriter(scheduler, self._store)
        self._poller = PeerPoller(self)
        self._is_state_complete = True  # no promise of ours is missing in our state
        self._is_folder_writable = True
        self._is_updating = False
        self._on_ready: Callable[[], None] | None = None
        self._applied: tuple[object, ...] | None = None
        self._reported_drift: str | None = None

    @staticmethod
    def clock() -> float:
        """Return seconds of a steady clock that goes on while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    # Life cycle.

    def load(self) -> None:
        """Take up the state on the disk, where there is any.

        While the folder can't be written the state is not taken up: what is in memory is later.
        """
        found, fault = self._store.load()
        self._is_state_complete = found is not None and fault is None
        if fault:
            self.log.event("agreement_unreadable", error=fault)
        if found and self._is_folder_writable:
            self._take_up(found)
        if self.is_agreed():
            self.apply_state()
            self.accept_file_settings(self._file_settings)

    def _take_up(self, found: ParticipantState) -> None:
        if found.in_force.ballot < self.state.in_force.ballot:
            return  # never back to an earlier generation
        if found.in_force.number:
            self.state = found
            return
        self.state = self.state._replace(  # what is in force is this process's own file
            promised=found.promised, prepared=found.prepared, aborted=found.aborted
        )

    def start(
        self, on_ready: Callable[[], None], predecessor_state: JsonObject | None = None
    ) -> None:
        """Take part from now on.

        Args:
            on_ready: Called once, when it is known which settings are in force.
            predecessor_state: The state of the process before, as that handed it over. Where the
                disk does not have it, other gateways are asked as after a loss of the state.
        """
        self.load()
        if predecessor_state and predecessor_state != self.state.to_dict():
            self._is_state_complete = False
        self._on_ready = on_ready
        self.is_active = True
        self._reset_status()

    def suspend(self) -> None:
        """Leave taking part to a successor, the process that is the gateway from now on."""
        self.is_active = False

    def resume(self) -> None:
        """Take part again, as the successor has ended; what it did meanwhile is on the disk."""
        self.load()
        self.is_active = True
        self._reset_status()

    def stop(self) -> None:
        """Ask other gateways nothing more."""
        self.is_stopped = True

    def _reset_status(self) -> None:
        """Know nothing of what is in force, and ask other gateways for it."""
        self.status = ParticipantStatus(
            self.name, self.roster(), self._is_state_complete, self.clock()
        )
        self.notify_if_ready()
        self._poller.start()

    def notify_if_ready(self) -> None:
        """Call `on_ready` where that is due: it is known now which settings are in force."""
        if not self.status.knows_in_force or not self._on_ready:
            return
        on_ready = self._on_ready
        self._on_ready = None
        self.apply_state()
        self.log.event(
            "agreed", number=self.state.in_force.number, asked=len(self.status.responders)
        )
        on_ready()

    # State.

    def roster(self) -> tuple[str, ...]:
        """Return who has to agree: by the generation in force, or by our file before the first."""
        if self.state.in_force.number:
            return self.state.in_force.roster
        return tuple(self.config.members)

    def is_agreed(self) -> bool:
        """Return whether a generation counts here; the gateway's own file doesn't from then on."""
        return bool(self.state.in_force.number or self.state.prepared)

    @contextlib.contextmanager
    def exclusive_update(self) -> Iterator[None]:
        """Let one greenlet at a time read the state, decide, and replace it."""
        while self._is_updating:
            self.scheduler.wait(UPDATE_RETRY_INTERVAL_S)
        self._is_updating = True
        try:
            yield
        finally:
            self._is_updating = False

    def persist(self, state: ParticipantState) -> bool:
        """Make a state durable and current, in an exclusive update of the caller's.

        Returns:
            Whether it is; where the folder can't be written the current state stays.
        """
        error = self._writer.save(state)
        if error and self._is_folder_writable:
            self.log.event("agreement_unwritten", folder=self.config.state, error=str(error))
        self._is_folder_writable = error is None
        if error is None:
            self.state = state
        return error is None

    def replace_unsaved(self, state: ParticipantState) -> None:
        """Make a state current that can't be written, for the life of this process."""
        self.state = state
        self._is_state_complete = False

    def apply_state(self) -> None:
        """Have the gateway admit by the current state."""
        self.status.set_roster(self.roster())
        in_force = self.state.in_force
        prepared = tuple(generation.ballot for generation in self.state.prepared)
        if (in_force.ballot, prepared) == self._applied:
            return
        self._applied = (in_force.ballot, prepared)
        self.gateway.apply_settings(participant.admissible_settings(self.state))
        self.log.event(
            "generation",
            number=in_force.ballot.number,
            epoch=list(in_force.ballot.epoch),
            digest=self.state.in_force.digest,
            possible=[ballot.number for ballot in prepared],
        )
        if self.state.prepared:
            self._poller.start()

    # Calls.

    def handle_call(self, fields: Mapping[bytes, bytes], body: bytes) -> HttpResponse:
        """Answer a call on the management listener.

        Args:
            fields: The header fields of the request, with names in lower case.
            body: The body of the request.
        """
        return answer_signed_request(self.config.key, self.name, self._handle_message, fields, body)

    def _handle_message(self, message: JsonObject) -> CallResult:
        """Answer an authentic message."""
        if not self.is_active:
            reason = "another process of this gateway is asked, or none yet"
            return CallResult(
                HTTPStatus.SERVICE_UNAVAILABLE,
                {"refused": RejectionCause.NOT_ACTIVE, "why": reason},
            )
        with self.exclusive_update():
            try:
                state, answer = participant.handle_message(
                    self.state, message, self.gateway.validate
                )
            except MessageRejected as rejection:
                self._log_rejection(message, rejection)
                return CallResult(rejection.status, rejection.to_dict())
            if state != self.state:
                if not self.persist(state):
                    reason = f"{self.config.state}: the state can't be written"
                    return CallResult(
                        HTTPStatus.INSUFFICIENT_STORAGE,
                        {"refused": RejectionCause.NOT_DURABLE, "why": reason},
                    )
                self.apply_state()
                self.notify_if_ready()
            return CallResult(HTTPStatus.OK, answer.to_dict())

    def _log_rejection(self, message: JsonObject, rejection: MessageRejected) -> None:
        """Log settings that can't be applied here; other rejections are the caller's business."""
        if rejection.cause is RejectionCause.INVALID_SETTINGS:
            self.log.event(
                "agreement_refused",
                do=message["do"],
                number=message.get("number"),
                error=rejection.text,
            )

    # The gateway's own file.

    def accept_file_settings(self, settings: JsonObject) -> bool:
        """Take up the settings of the gateway's file, which was read anew.

        Where settings are agreed on, the file does not count; a difference is logged once.

        Returns:
            Whether the settings were taken up.
        """
        if self.is_agreed():
            self._report_drift(settings)
            return False
        self._file_settings = settings
        self.state = self.state._replace(in_force=self._file_generation(settings))
        return True

    def _report_drift(self, settings: JsonObject) -> None:
        file_digest = digest(settings)
        in_force = self.state.in_force
        if file_digest in (in_force.digest, self._reported_drift):
            return
        self._reported_drift = file_digest
        lines = describe_changes(in_force.content, settings)
        self.log.event("drift", number=in_force.number, lines=lines[:MAX_DRIFT_LINES])

    def _file_generation(self, settings: JsonObject) -> Generation:
        """Return the generation before the first agreed one: the settings of the file."""
        return Generation(
            INITIAL_BALLOT,
            digest(settings),
            shared_settings(settings),
            tuple(self.config.members),
        )

    # Admission.

    def may_admit(self) -> bool:
        """Return whether a request that is here now may be admitted."""
        if self.status.may_admit(self.clock()):
            return True
        self.check_stall()
        return self.status.knows_in_force

    def check_stall(self) -> None:
        """Ask other gateways anew, where this process stalled so long that they went on without it.

        It is to be called often, by a timer and wherever time may have passed.
        """
        if self.status.check_stall(self.clock()) and self.is_active:
            self.log.event("stood_still", known=self.status.knows_in_force)
            if not self._is_updating:
                self.load()  # a process that took our place may have written there
            self._poller.start()
