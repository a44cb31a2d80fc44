"""Polls other gateways for changes that a participant may have missed.

A participant polls its peers after a start or a stall, until enough of them have answered, and
while it has prepared generations whose outcome it does not know. The rules in `participant` define
which answers are needed and how they change the state.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from petrellane.config_consensus import participant
from petrellane.config_consensus.ballots import Ballot, Generation, parse_generation
from petrellane.config_consensus.canonical_settings import digest
from petrellane.config_consensus.errors import ConsensusError, MessageRejected
from petrellane.config_consensus.message_authentication import PARTICIPANT_PATH
from petrellane.config_consensus.messages import JsonObject, PeerQuery, PeerState
from petrellane.config_consensus.rpc_client import RpcClient, RpcError
from petrellane.net.stream import Address

if TYPE_CHECKING:
    from petrellane.config_consensus.participant_service import ParticipantService

MAX_CONCURRENT_CALLS = 4
CALL_TIMEOUT_S = 0.5
PEERS_PER_ROUND_IN_DOUBT = 3  # few, because a control process usually sends the outcome soon
ROUND_CHECK_INTERVAL_S = 0.01  # between two checks whether the calls of a round have ended
MIN_JITTER = 0.5  # a pause lasts 0.5 to 1.5 intervals, so that gateways do not poll in lockstep


class PeerRejectedError(ConsensusError):
    """The peer rejected the call; the process at another address of the peer may accept it."""


@dataclass
class PollRound:
    """One round of calls to some peers.

    Attributes:
        pending: The names of the peers that have not been called yet; the last one is next.
        stops_when_known: Whether the round ends early, as soon as the gateway knows which
            generation is in force.
        active_workers: The number of greenlets that make calls.
    """

    pending: list[str]
    stops_when_known: bool
    active_workers: int = 0


class PeerPoller:
    """Polls the peers of one participant; the participant service owns it.

    It keeps no results between two runs. One greenlet runs while the participant needs answers,
    and up to `MAX_CONCURRENT_CALLS` more during a round.
    """

    def __init__(self, service: "ParticipantService") -> None:
        self._service = service
        self._is_running = False

    def start(self) -> None:
        """Start polling, unless it is running already or the service is stopped."""
        if self._is_running or self._service.is_stopped:
            return
        self._is_running = True
        self._service.scheduler.spawn(self._run)

    def _run(self) -> None:
        try:
            self._save_current_state()
            self._poll_until_known()
        finally:
            self._is_running = False

    def _save_current_state(self) -> None:
        """Save the state now, so that an unwritable folder is detected before the next change."""
        service = self._service
        with service.exclusive_update():
            service.persist(service.state)

    def _poll_until_known(self) -> None:
        """Poll until the generation in force and the outcomes of prepared ballots are known."""
        service = self._service
        is_off_roster = False
        while self._needs_answers():
            if service.name not in service.status.roster and not is_off_roster:
                is_off_roster = True
                self._log_off_roster()
            if service.status.knows_in_force:
                self._pause()
                if not service.state.prepared and service.status.knows_in_force:
                    break
            peers = self._shuffled_peers(includes_responders=is_off_roster)
            if service.status.knows_in_force:
                peers = peers[:PEERS_PER_ROUND_IN_DOUBT]
            self._run_round(peers)
            if not service.status.knows_in_force:
                self._pause()

    def _needs_answers(self) -> bool:
        service = self._service
        if not service.is_active or service.is_stopped:
            return False
        return not service.status.knows_in_force or bool(service.state.prepared)

    def _log_off_roster(self) -> None:
        service = self._service
        service.log.event(
            "not_on_roster",
            number=service.state.in_force.number,
            members=len(service.status.roster),
        )

    def _pause(self) -> None:
        jitter = MIN_JITTER + self._service.gateway.random()
        self._service.scheduler.wait(participant.PEER_POLL_INTERVAL_S * jitter)

    def _shuffled_peers(self, includes_responders: bool) -> list[str]:
        """Return the peers to poll, in random order.

        Args:
            includes_responders: Whether to include the peers that have already answered. They are
                always polled while the gateway knows which generation is in force.
        """
        service = self._service
        includes_responders = includes_responders or service.status.knows_in_force
        peers = [
            name
            for name in service.config.members
            if name != service.name
            and (includes_responders or name not in service.status.responders)
        ]
        peers.sort(key=lambda _: service.gateway.random())
        return peers

    def _run_round(self, peers: list[str]) -> None:
        """Poll these peers, at most `MAX_CONCURRENT_CALLS` at a time."""
        scheduler = self._service.scheduler
        poll_round = PollRound(
            peers.copy(), stops_when_known=not self._service.status.knows_in_force
        )
        for _ in range(min(MAX_CONCURRENT_CALLS, len(peers))):
            poll_round.active_workers += 1
            scheduler.spawn(self._poll_pending_peers, poll_round)
        while poll_round.active_workers:
            scheduler.wait(ROUND_CHECK_INTERVAL_S)

    def _poll_pending_peers(self, poll_round: PollRound) -> None:
        service = self._service
        try:
            while poll_round.pending and service.is_active:
                if poll_round.stops_when_known and service.status.knows_in_force:
                    break
                self._poll_peer(poll_round.pending.pop())
        finally:
            poll_round.active_workers -= 1

    def _poll_peer(self, name: str) -> None:
        """Poll one peer, at its addresses in order until one of them answers."""
        service = self._service
        service.check_stall()
        status = service.status
        stall_count = status.stall_count
        for address in service.config.members[name]:
            try:
                self._merge_state_from(name, address)
            except (RpcError, PeerRejectedError, ValueError):
                continue
            except MessageRejected as rejection:
                service.log.event(
                    "agreement_refused", do="learn", gateway_asked=name, error=rejection.text
                )
                return
            service.check_stall()  # a stall may have delayed the handling of the answer
            status.on_peer_answered(name, stall_count)
            service.notify_if_ready()
            return

    def _merge_state_from(self, name: str, address: Address) -> None:
        """Fetch the state of the peer at an address, and merge it into the participant's state.

        Raises:
            RpcError: The peer does not answer.
            PeerRejectedError: The peer rejects the request for its state.
            ValueError: The answer is malformed.
            MessageRejected: The settings in force at the peer cannot be applied here.
        """
        service = self._service
        answer = self._call(address, PeerQuery(name))
        if "refused" in answer:
            raise PeerRejectedError(name)
        peer_state = PeerState.from_dict(answer)
        fetched = [
            self._fetch_generation(name, address, ballot)
            for ballot in participant.missing_ballots(service.state, peer_state)
        ]
        with service.exclusive_update():
            state = participant.merge_peer_state(
                service.state, peer_state, fetched, service.gateway.validate
            )
            if state != service.state:
                if not service.persist(state):
                    service.set_unsaved_state(state)
                service.apply_state()

    def _fetch_generation(self, name: str, address: Address, ballot: Ballot) -> Generation:
        return parse_generation(self._call(address, PeerQuery(name, ballot)), digest)

    def _call(self, address: Address, question: PeerQuery) -> JsonObject:
        service = self._service
        client = RpcClient(service.scheduler, service.limits, service.config.key)
        return client.call(address, PARTICIPANT_PATH, question.to_dict(), CALL_TIMEOUT_S)
