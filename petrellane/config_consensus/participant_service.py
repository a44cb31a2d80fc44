"""The participant of a gateway: answers control processes and other gateways, applies settings.

The rules of the protocol are in `participant`; this module executes them. It guarantees that:

- a state that follows from a message is on the disk before the participant answers or applies it;
- `on_ready` is called once, and not before the gateway knows which settings are in force;
- `may_admit` is cheap enough to be called for each RPC.

`peer_polling` asks other gateways for changes that this one may have missed.
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

UPDATE_RETRY_INTERVAL_S = 0.002  # between two checks whether another greenlet's update has ended
LOGGED_REJECTIONS = (RejectionCause.INVALID_SETTINGS, RejectionCause.CONFLICTING_CONTENT)
MAX_DRIFT_LINES = 20  # in a `drift` event


@dataclass(frozen=True)
class GatewayInterface:
    """The data and functions of a gateway that its participant service uses.

    Attributes:
        name: The gateway's name in the roster.
        settings: The settings of the gateway's own file.
        validate: A function that returns in one line why the gateway cannot apply some settings, or
            None if it can.
        apply_settings: A function that applies settings that `validate` accepts.
        random: A function that returns a random number from 0 to 1.
    """

    name: str
    settings: JsonObject
    validate: Callable[[JsonObject], str | None]
    apply_settings: Callable[[JsonObject], None]
    random: Callable[[], float]


class ParticipantService:
    """Runs the participant of one gateway; the gateway's process owns it from its start to its end.

    It owns the participant's state, the state files (through `StateWriter`) and the greenlets that
    poll other gateways (through `PeerPoller`). The management listener that receives calls belongs
    to the gateway.

    Attributes:
        limits: The limits of the network code; the gateway replaces them when settings change.
        state: What this gateway has promised, prepared and put in force.
        status: Whether this gateway may admit RPCs.
        is_active: Whether this process answers for the gateway; after a hot restart, the successor
            does.
        is_stopped: Whether the gateway's process is shutting down.
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
        self._is_state_complete = True  # whether the state has all promises of this gateway
        self._is_folder_writable = True
        self._is_updating = False
        self._on_ready: Callable[[], None] | None = None
        self._applied_ballots: tuple[object, ...] | None = None
        self._logged_drift_digest: str | None = None

    @staticmethod
    def clock() -> float:
        """Return the seconds of a clock that also advances while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    # Life cycle.

    def load(self) -> None:
        """Load the state from the disk, if there is one.

        While the folder cannot be written, the state in memory is later than the one on the disk,
        and is retained.
        """
        found, fault = self._store.load()
        self._is_state_complete = found is not None and fault is None
        if fault:
            self.log.event("agreement_unreadable", error=fault)
        if found and self._is_folder_writable:
            self._restore(found)
        if self.overrides_file_settings():
            self.apply_state()
            self.accept_file_settings(self._file_settings)

    def _restore(self, found: ParticipantState) -> None:
        """Make a loaded state current."""
        if found.in_force.ballot < self.state.in_force.ballot:
            return  # never return to an earlier generation
        if found.in_force.number:
            self.state = found
            return
        self.state = self.state._replace(  # the settings of this process's file stay in force
            promised=found.promised, prepared=found.prepared, aborted=found.aborted
        )

    def start(
        self, on_ready: Callable[[], None], predecessor_state: JsonObject | None = None
    ) -> None:
        """Load the state, and start to answer calls and to poll peers.

        Args:
            on_ready: A function that is called once, as soon as the gateway knows which settings
                are in force.
            predecessor_state: The report of the predecessor's state in a hot restart. If it differs
                from the state on the disk, the service polls peers as after a loss of the state.
        """
        self.load()
        if predecessor_state and predecessor_state != self.state.to_dict():
            self._is_state_complete = False
        self._on_ready = on_ready
        self.is_active = True
        self._reset_status()

    def suspend(self) -> None:
        """Stop answering calls, because the successor answers for the gateway from now on."""
        self.is_active = False

    def resume(self) -> None:
        """Answer calls again after the successor has ended, from the state that it stored."""
        self.load()
        self.is_active = True
        self._reset_status()

    def stop(self) -> None:
        """Stop polling other gateways."""
        self.is_stopped = True

    def _reset_status(self) -> None:
        """Replace the status by one that does not know what is in force, and poll peers."""
        self.status = ParticipantStatus(
            self.name, self.roster(), self._is_state_complete, self.clock()
        )
        self.notify_if_ready()
        self._poller.start()

    def notify_if_ready(self) -> None:
        """Call `on_ready`, at most once, when the gateway knows which settings are in force."""
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
        """Return the roster in force: that of the committed generation, else that of the file."""
        if self.state.in_force.number:
            return self.state.in_force.roster
        return tuple(self.config.members)

    def overrides_file_settings(self) -> bool:
        """Return whether a committed or prepared generation overrides the gateway's file."""
        return bool(self.state.in_force.number or self.state.prepared)

    @contextlib.contextmanager
    def exclusive_update(self) -> Iterator[None]:
        """Prevent concurrent read-modify-write updates of the state by several greenlets."""
        while self._is_updating:
            self.scheduler.wait(UPDATE_RETRY_INTERVAL_S)
        self._is_updating = True
        try:
            yield
        finally:
            self._is_updating = False

    def persist(self, state: ParticipantState) -> bool:
        """Make a state durable and then current; the caller holds the exclusive update.

        Returns:
            Whether the state was written. If not, the current state is retained.
        """
        error = self._writer.save(state)
        if error and self._is_folder_writable:
            self.log.event("agreement_unwritten", folder=self.config.state, error=str(error))
        self._is_folder_writable = error is None
        if error is None:
            self.state = state
        return error is None

    def set_unsaved_state(self, state: ParticipantState) -> None:
        """Set the current state to one that could not be written.

        The state is lost if this process ends before a later state is written.
        """
        self.state = state
        self._is_state_complete = False

    def apply_state(self) -> None:
        """Apply the roster and the settings of the current state to the gateway."""
        self.status.set_roster(self.roster())
        in_force = self.state.in_force
        prepared = tuple(generation.ballot for generation in self.state.prepared)
        if (in_force.ballot, prepared) == self._applied_ballots:
            return
        self._applied_ballots = (in_force.ballot, prepared)
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
        """Answer a request to the management listener.

        Args:
            fields: The header fields of the request, with names in lower case.
            body: The body of the request.
        """
        return answer_signed_request(self.config.key, self.name, self._handle_message, fields, body)

    def _handle_message(self, message: JsonObject) -> CallResult:
        """Answer an authenticated message."""
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
        """Log a rejection of settings that this gateway cannot apply; senders handle others."""
        if rejection.cause in LOGGED_REJECTIONS:
            self.log.event(
                "agreement_refused",
                do=message["do"],
                number=message.get("number"),
                error=rejection.text,
            )

    # The gateway's own file.

    def accept_file_settings(self, settings: JsonObject) -> bool:
        """Put the settings of the gateway's file in force, unless agreed settings override them.

        A difference between the file and the agreed settings is logged once.

        Returns:
            Whether the settings of the file are in force.
        """
        if self.overrides_file_settings():
            self._log_drift(settings)
            return False
        self._file_settings = settings
        self.state = self.state._replace(in_force=self._file_generation(settings))
        return True

    def _log_drift(self, settings: JsonObject) -> None:
        """Log how the settings of the file differ from those in force."""
        file_digest = digest(settings)
        in_force = self.state.in_force
        if file_digest in (in_force.digest, self._logged_drift_digest):
            return
        self._logged_drift_digest = file_digest
        lines = describe_changes(in_force.content, settings)
        self.log.event("drift", number=in_force.number, lines=lines[:MAX_DRIFT_LINES])

    def _file_generation(self, settings: JsonObject) -> Generation:
        """Return the initial generation, which has the settings of the gateway's own file."""
        return Generation(
            INITIAL_BALLOT,
            digest(settings),
            shared_settings(settings),
            tuple(self.config.members),
        )

    # Admission.

    def may_admit(self) -> bool:
        """Return whether the gateway may admit an RPC now."""
        if self.status.may_admit(self.clock()):
            return True
        self.check_stall()
        return self.status.knows_in_force

    def check_stall(self) -> None:
        """Poll peers if this process stalled so long that they may have committed a change.

        A timer calls this often, and so does code that may run right after a stall.
        """
        if self.status.check_stall(self.clock()) and self.is_active:
            self.log.event("stood_still", known=self.status.knows_in_force)
            if not self._is_updating:
                self.load()  # another process of this gateway may have written a later state
            self._poller.start()
