"""Sends a coordinator's requests to the participants, and gives it their answers.

The coordinator chooses the next request for each participant, and handles its answer or failure.
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

CALL_TIMEOUT_S = 0.6  # for a call to one address of a participant

NO_ADDRESS_REASON = "no address in the roster"
NOT_ACTIVE_REASON = "it starts, or another process follows it"


class ParticipantNotifier:
    """Runs a greenlet for each participant, which sends it one request at a time.

    A control service owns the notifier. The greenlets run until the scheduler stops.

    Attributes:
        call_counts: The number of requests of each kind that were sent.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        client: RpcClient,
        addresses: Mapping[str, Sequence[Address]],
        call_coordinator: Callable[..., None],
        on_progress: Callable[[], None],
    ) -> None:
        """Create a notifier that has no greenlets yet.

        Args:
            coordinator: The coordinator, which supplies the requests and handles their results.
            client: The client that makes the calls.
            addresses: The addresses of each participant, by name.
            call_coordinator: A function that calls a method of the coordinator with some arguments,
                and logs the error if the journal cannot be written.
            on_progress: A function that is called after each request and its answer or failure.
        """
        self.call_counts: dict[str, int] = {}
        self._coordinator = coordinator
        self._client = client
        self._scheduler = client.scheduler
        self._addresses = addresses
        self._call_coordinator = call_coordinator
        self._on_progress = on_progress
        self._started: set[str] = set()
        self._wake_calls: dict[str, Callable[[], None]] = {}  # resume a waiting worker, by name

    def start_workers(self) -> None:
        """Start a greenlet for each participant that has none."""
        for name in self._coordinator.all_participants():
            if name not in self._started:
                self._started.add(name)
                self._scheduler.spawn(self._run_worker, name)

    def wake_workers(self) -> None:
        """Resume all waiting workers, because the coordinator may have new requests for them."""
        for wake in list(self._wake_calls.values()):
            self._scheduler.call_soon(wake)

    def _run_worker(self, name: str) -> None:
        while True:
            request, pause_s = self._coordinator.next_message(name, self._scheduler.now())
            if request is None:
                self._wait_for_wake(name, pause_s)
                continue
            self._deliver(name, request)
            self._on_progress()

    def _wait_for_wake(self, name: str, pause_s: float) -> None:
        """Wait for `wake_workers`, at most `pause_s` seconds."""
        current = greenlet.getcurrent()

        def wake() -> None:
            if self._wake_calls.get(name) is wake:  # false if the wait has timed out since
                current.switch()

        self._wake_calls[name] = wake
        self._scheduler.wait(pause_s)
        del self._wake_calls[name]

    def _deliver(self, name: str, request: Request) -> None:
        """Send a request to the participant's addresses in order, until one of them answers."""
        kind = request.kind.value
        self.call_counts[kind] = self.call_counts.get(kind, 0) + 1
        coordinator = self._coordinator
        addresses = self._addresses.get(name, ())
        failure = None if addresses else NO_ADDRESS_REASON
        for address in addresses:
            try:
                answer = self._client.call(
                    address, PARTICIPANT_PATH, request.to_dict(), CALL_TIMEOUT_S
                )
            except NotListeningError:
                continue
            except NoAnswerError as error:
                failure = str(error)
                continue
            if answer.get("refused") == RejectionCause.NOT_ACTIVE:
                failure = NOT_ACTIVE_REASON
                continue
            self._call_coordinator(
                coordinator.handle_answer,
                name,
                request,
                decode_answer(request, answer),
                self._scheduler.now(),
            )
            return
        now = self._scheduler.now()
        if failure is None:
            self._call_coordinator(coordinator.handle_connection_refused, name, request, now)
        else:
            self._call_coordinator(coordinator.handle_no_answer, name, request, now, failure)
