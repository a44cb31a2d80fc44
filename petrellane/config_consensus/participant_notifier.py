"""Delivers a coordinator's messages to the participants, and their answers to the coordinator.

Which message a participant is due, and what follows from its answer or silence, is decided by the
coordinator.
"""

from collections.abc import Callable, Mapping, Sequence

import greenlet

from petrellane.config_consensus.coordinator import Coordinator
from petrellane.config_consensus.errors import RejectionCause
from petrellane.config_consensus.message_authentication import PARTICIPANT_PATH
from petrellane.config_consensus.messages import Request, decode_answer
from petrellane.config_consensus.rpc_client import (
    NoAnswerError,
    NotListeningError,
    RpcClient,
)
from petrellane.net.stream import Address

CALL_TIMEOUT_S = 0.6  # that a participant may take to answer

NO_ADDRESS = "no address in the roster"
NOT_THE_GATEWAY = "it starts, or another process follows it"


class ParticipantNotifier:
    """One greenlet a participant, which sends it one message at a time.

    A control service owns it; the greenlets run until the scheduler ends.

    Attributes:
        call_counts: how many messages of each kind were sent.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        client: RpcClient,
        addresses: Mapping[str, Sequence[Address]],
        take_step: Callable[..., None],
        on_progress: Callable[[], None],
    ) -> None:
        """Make a notifier.

        Args:
            coordinator: Gives the messages, and takes what came of them.
            client: Makes the calls.
            addresses: The addresses of each participant.
            take_step: Calls a method of the coordinator with arguments, and logs where the journal
                can't be written.
            on_progress: Called after each message.
        """
        self.call_counts: dict[str, int] = {}
        self._coordinator = coordinator
        self._client = client
        self._scheduler = client.scheduler
        self._addresses = addresses
        self._take_step = take_step
        self._on_progress = on_progress
        self._started: set[str] = set()
        self._parked: dict[str, Callable[[], None]] = {}  # name -> what resumes its greenlet

    def start_workers(self) -> None:
        """Start a greenlet for each participant that has none."""
        for name in self._coordinator.all_participants():
            if name not in self._started:
                self._started.add(name)
                self._scheduler.spawn(self._run_worker, name)

    def wake_workers(self) -> None:
        """Have the workers look for messages now, as something has changed."""
        for wake in list(self._parked.values()):
            self._scheduler.call_soon(wake)

    def _run_worker(self, name: str) -> None:
        while True:
            request, pause_s = self._coordinator.next_message(name, self._scheduler.now())
            if request is None:
                self._park(name, pause_s)
                continue
            self._deliver(name, request)
            self._on_progress()

    def _park(self, name: str, pause_s: float) -> None:
        """Wait for so long, or until the workers are woken."""
        current = greenlet.getcurrent()

        def wake() -> None:
            if self._parked.get(name) is wake:  # else it has gone on by itself since
                current.switch()

        self._parked[name] = wake
        self._scheduler.wait(pause_s)
        del self._parked[name]

    def _deliver(self, name: str, request: Request) -> None:
        """Send one request, at the participant's addresses in turn until one answers it."""
        kind = request.kind.value
        self.call_counts[kind] = self.call_counts.get(kind, 0) + 1
        coordinator = self._coordinator
        addresses = self._addresses.get(name, ())
        fault = None if addresses else NO_ADDRESS
        for address in addresses:
            try:
                answer = self._client.call(
                    address, PARTICIPANT_PATH, request.to_dict(), CALL_TIMEOUT_S
                )
            except NotListeningError:
                continue
            except NoAnswerError as error:
                fault = str(error)
                continue
            if answer.get("refused") == RejectionCause.NOT_ACTIVE:
                fault = NOT_THE_GATEWAY
                continue
            self._take_step(
                coordinator.handle_answer,
                name,
                request,
                decode_answer(request, answer),
                self._scheduler.now(),
            )
            return
        now = self._scheduler.now()
        if fault is None:
            self._take_step(coordinator.handle_connection_refused, name, request, now)
        else:
            self._take_step(coordinator.handle_no_answer, name, request, now, fault)
