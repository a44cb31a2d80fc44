"""Asks other gateways what a participant may have missed.

That is needed after a start or a stall, until enough others have answered, and while generations
are prepared of which the decision is not known. Which answers are needed and what follows from them
is decided by the rules in `participant`.
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
PEERS_PER_ROUND_IN_DOUBT = 3  # while a decision is not known; it mostly comes by itself
ROUND_CHECK_INTERVAL_S = 0.01  # between looks whether a round's calls have ended
MIN_JITTER = 0.5  # pauses are of 0.5 to 1.5 intervals, so that gateways don't poll in step


class PeerRejectedError(ConsensusError):
    """The peer answered, but rejected the call; another address of it may accept."""


@dataclass
class PollRound:
    """One round of calls to some peers.

    Attributes:
        pending: names of the peers that are still to be asked; the last one is the next.
        stops_when_known: whether it ends early, once it is known what is in force.
        running: how many greenlets make calls.
    """

    pending: list[str]
    stops_when_known: bool
    running: int = 0


class PeerPoller:
    """Polls the peers of one participant, which owns it.

    It holds no state between polls; a greenlet of its own runs only while there is something to
    find out, and up to `MAX_CONCURRENT_CALLS` more during a round.
    """

    def __init__(self, service: "ParticipantService") -> None:
        self._service = service
        self._is_running = False

    def start(self) -> None:
        """Poll until everything is known, unless that goes on already."""
        if self._is_running or self._service.is_stopped:
            return
        self._is_running = True
        self._service.scheduler.spawn(self._run)

    def _run(self) -> None:
        try:
            self._check_folder()
            self._poll_until_known()
        finally:
            self._is_running = False

    def _check_folder(self) -> None:
        """Find out now, not in the first change, whether the state can be written."""
        service = self._service
        with service.exclusive_update():
            service.persist(service.state)

    def _poll_until_known(self) -> None:
        """Ask for as long as it is not known what is in force, or what became of a ballot."""
        service = self._service
        is_off_roster = False
        while self._has_questions():
            if service.name not in service.status.roster and not is_off_roster:
                is_off_roster = True
                self._report_off_roster()
            if service.status.knows_in_force:
                self._pause()
                if not service.state.prepared and service.status.knows_in_force:
                    break
            peers = self._draw_peers(asks_all=is_off_roster)
            if service.status.knows_in_force:
                peers = peers[:PEERS_PER_ROUND_IN_DOUBT]
            self._run_round(peers)
            if not service.status.knows_in_force:
                self._pause()

    def _has_questions(self) -> bool:
        service = self._service
        if not service.is_active or service.is_stopped:
            return False
        return not service.status.knows_in_force or bool(service.state.prepared)

    def _report_off_roster(self) -> None:
        service = self._service
        service.log.event(
            "not_on_roster",
            number=service.state.in_force.number,
            members=len(service.status.roster),
        )

    def _pause(self) -> None:
        jitter = MIN_JITTER + self._service.gateway.random()
        self._service.scheduler.wait(participant.PEER_POLL_INTERVAL_S * jitter)

    def _draw_peers(self, asks_all: bool) -> list[str]:
        """Return the peers to ask, in random order.

        Before it is known what is in force these are the peers that have not answered yet; while
        it is known, and for a gateway that is not on the roster, all.
        """
        service = self._service
        asks_all = asks_all or service.status.knows_in_force
        peers = [
            name
            for name in service.config.members
            if name != service.name and (asks_all or name not in service.status.responders)
        ]
        peers.sort(key=lambda _: service.gateway.random())
        return peers

    def _run_round(self, peers: list[str]) -> None:
        """Ask these peers, a few at a time."""
        scheduler = self._service.scheduler
        poll_round = PollRound(
            peers.copy(), stops_when_known=not self._service.status.knows_in_force
        )
        for _ in range(min(MAX_CONCURRENT_CALLS, len(peers))):
            poll_round.running += 1
            scheduler.spawn(self._make_calls, poll_round)
        while poll_round.running:
            scheduler.wait(ROUND_CHECK_INTERVAL_S)

    def _make_calls(self, poll_round: PollRound) -> None:
        service = self._service
        try:
            while poll_round.pending and service.is_active:
                if poll_round.stops_when_known and service.status.knows_in_force:
                    break
                self._poll_peer(poll_round.pending.pop())
        finally:
            poll_round.running -= 1

    def _poll_peer(self, name: str) -> None:
        """Ask one peer, and take up what it knows and this gateway does not."""
        service = self._service
        service.check_stall()
        status = service.status
        stall_count = status.stall_count
        for address in service.config.members[name]:
            try:
                self._learn_from(name, address)
            except (RpcError, PeerRejectedError, ValueError):
                continue
            except MessageRejected as rejection:
                service.log.event(
                    "agreement_refused", do="learn", gateway_asked=name, error=rejection.text
                )
                return
            service.check_stall()  # the answer may have waited here while this process stalled
            status.on_peer_answered(name, stall_count)
            service.notify_if_ready()
            return

    def _learn_from(self, name: str, address: Address) -> None:
        """Take up what the peer at an address remembers.

        Raises:
            RpcError: It does not answer.
            PeerRejectedError: It rejects the call.
            ValueError: Its answer is out of form.
            MessageRejected: Settings that are in force there can't be applied here.
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
                    service.replace_unsaved(state)
                service.apply_state()

    def _fetch_generation(self, name: str, address: Address, ballot: Ballot) -> Generation:
        return parse_generation(self._call(address, PeerQuery(name, ballot)), digest)

    def _call(self, address: Address, question: PeerQuery) -> JsonObject:
        service = self._service
        client = RpcClient(service.scheduler, service.limits, service.config.key)
        return client.call(address, PARTICIPANT_PATH, question.to_dict(), CALL_TIMEOUT_S)
