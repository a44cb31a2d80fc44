"""The I/O-free rules of a participant: what one gateway stores and how it answers messages.

The state (`ParticipantState`) is durable before the participant sends an answer that depends on it:

    promised   the highest epoch that the participant has promised; it rejects lower epochs
    in_force   the committed generation, under which the gateway admits RPCs
    prepared   generations that the participant has prepared and whose outcome it does not know;
               while there are any, the gateway is in doubt and admits only what `in_force` and
               all of these allow
    aborted    the latest ballots that are known to be aborted

The rules are idempotent (E: the sender's epoch, G: a generation, B: a ballot):

    message            condition                            effect
    promise E          E >= promised                        promised = E
    prepare E, G, base E >= promised, G after in_force,     G joins prepared
                       base not after in_force, G not
                       aborted, settings valid here,
                       no other content under its ballot
    commit E, G        E >= promised, G prepared here       in_force = G, prepared keeps only
                       or sent with its content, no other   generations after G
                       content under its ballot
    abort E, B         E >= promised, B after in_force      B leaves prepared, joins aborted
    peer's report      (from another participant)           in_force becomes the peer's if that is
                                                            later; ballots prepared here that the
                                                            peer aborted are aborted; generations
                                                            that the peer prepared join prepared

`in_force` never returns to an earlier ballot. A participant knows which generation is in force once
every majority of the roster contains a peer that has answered it, or the participant itself if its
stored state is complete. Messages from a coordinator do not count as answers: another coordinator
may have committed a later generation without this gateway. Until the participant knows, and again
after a stall, the gateway admits no RPCs (`ParticipantStatus`).

The functions that change the state return the new state, which takes effect once
`participant_service` has made it durable. The caller passes a function `validate` that returns in
one line why settings are not valid at this gateway, or None if they are valid.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from http import HTTPStatus
from typing import Any, NamedTuple

from petrellane.config_consensus import safe_settings, state_keys
from petrellane.config_consensus.ballots import (
    NO_EPOCH,
    Ballot,
    Epoch,
    Generation,
    intersects_every_majority,
)
from petrellane.config_consensus.errors import MessageRejected, RejectionCause, shorten
from petrellane.config_consensus.messages import MessageKind, PeerState, ReceivedRequest

MAX_ABORTED = 16  # aborted ballots that are stored; no message refers to older changes
MAX_PREPARED = 8  # generations that may be prepared at the same time
STALL_LIMIT_S = 1.0  # during a longer stall, a change may have excluded the gateway
PEER_POLL_INTERVAL_S = 0.5  # mean pause between two rounds of polling peers
INITIAL_BALLOT = Ballot(0, NO_EPOCH)  # ballot of the settings in the gateway's own file

Validator = Callable[[dict[str, Any]], str | None]


class ParticipantState(NamedTuple):
    """The durable state of a participant, and its report of that state to other processes.

    Attributes:
        in_force: The committed generation, under which the gateway admits RPCs.
        promised: The highest promised epoch.
        prepared: The generations prepared here whose outcome is unknown, in the order of ballots.
        aborted: The latest aborted ballots, the most recently aborted last.
    """

    in_force: Generation
    promised: Epoch = NO_EPOCH
    prepared: tuple[Generation, ...] = ()
    aborted: tuple[Ballot, ...] = ()

    def to_dict(self) -> dict[str, Any]:
        """Return the report as a JSON object, which omits the settings of the generations."""
        return {
            state_keys.PROMISED: list(self.promised),
            state_keys.IN_FORCE: self.in_force.identity_to_dict(),
            state_keys.PREPARED: [generation.identity_to_dict() for generation in self.prepared],
            state_keys.ABORTED: [ballot.to_dict() for ballot in self.aborted],
            state_keys.ROSTER: list(self.in_force.roster),
        }

    def find_generation(self, ballot: Ballot) -> Generation | None:
        """Return the generation of a ballot if it is in force or prepared here, else None."""
        for generation in (self.in_force, *self.prepared):
            if generation.ballot == ballot:
                return generation
        return None


class MessageResult(NamedTuple):
    """The result of handling a message.

    Attributes:
        state: The state to make durable.
        answer: That state, or the generation that the message requested.
    """

    state: ParticipantState
    answer: ParticipantState | Generation


def admissible_settings(state: ParticipantState) -> dict[str, Any]:
    """Return the settings to admit under.

    These are the settings in force. While the gateway is in doubt, they are restricted to what all
    prepared settings allow as well.
    """
    settings = state.in_force.content
    for generation in state.prepared:
        settings = safe_settings.meet(settings, generation.content)
    return settings


def handle_message(
    state: ParticipantState, message: Mapping[str, Any], validate: Validator
) -> MessageResult:
    """Handle a request of a coordinator or of another participant.

    Args:
        state: The participant's state.
        message: The request as a JSON object.
        validate: A function that returns why settings are not valid here, or None if they are.

    Raises:
        MessageRejected: A rule rejects the request; the status is 400 if it is malformed.
    """
    try:
        request = ReceivedRequest.from_dict(message)
        if request.epoch is None:
            return MessageResult(state, _answer_query(state, request))
        after = _apply(_promise(state, request.epoch), request, validate)
    except ValueError as error:
        raise MessageRejected(
            HTTPStatus.BAD_REQUEST, RejectionCause.MALFORMED, str(error)
        ) from None
    return MessageResult(after, after)


def _answer_query(
    state: ParticipantState, request: ReceivedRequest
) -> ParticipantState | Generation:
    """Return the state or the generation that a request without an epoch asks for."""
    if request.kind is MessageKind.STATE:
        return state
    generation = state.find_generation(request.ballot())
    if generation is None:
        raise MessageRejected(
            HTTPStatus.NOT_FOUND, RejectionCause.UNKNOWN_GENERATION, "no such generation here"
        )
    return generation


def _promise(state: ParticipantState, epoch: Epoch) -> ParticipantState:
    """Promise an epoch. Raise MessageRejected if a higher epoch is promised already."""
    if epoch < state.promised:
        raise MessageRejected(
            HTTPStatus.CONFLICT,
            RejectionCause.STALE_EPOCH,
            f"epoch {epoch.number} of {epoch.control}: expected at least "
            f"{state.promised.number} of {state.promised.control}",
            promised=list(state.promised),
        )
    return state._replace(promised=epoch)


def _apply(
    state: ParticipantState, request: ReceivedRequest, validate: Validator
) -> ParticipantState:
    """Return the state after applying a request, whose epoch is promised already."""
    if request.kind is MessageKind.PREPARE:
        return prepare(state, request.generation(), request.base(), validate)
    if request.kind is MessageKind.COMMIT:
        return commit(state, request, validate)
    if request.kind is MessageKind.ABORT:
        return abort(state, request.ballot())
    return state


def prepare(
    state: ParticipantState, generation: Generation, base: Ballot, validate: Validator
) -> ParticipantState:
    """Prepare a generation that follows `base`.

    A generation that is prepared or in force already does not change the state.

    Raises:
        MessageRejected: The generation can no longer commit, other settings are known here under
            its ballot, `base` is later than the generation in force here, the settings are not
            valid here, or too many generations are prepared.
    """
    ballot = generation.ballot
    known = state.find_generation(ballot)
    if known:
        _require_same_content(known, generation.digest)
        return state
    if ballot <= state.in_force.ballot:
        raise MessageRejected(
            HTTPStatus.CONFLICT,
            RejectionCause.CANNOT_COMMIT,
            f"generation {ballot.number}: {state.in_force.number} is in force",
        )
    if ballot in state.aborted:
        raise MessageRejected(
            HTTPStatus.CONFLICT,
            RejectionCause.CANNOT_COMMIT,
            f"generation {ballot.number}: it was given up",
        )
    if state.in_force.ballot < base:
        raise MessageRejected(
            HTTPStatus.CONFLICT,
            RejectionCause.BASE_NOT_IN_FORCE,
            f"generation {base.number} is not in force here, but {state.in_force.number}",
        )
    _require_valid(generation, validate)
    if len(state.prepared) >= MAX_PREPARED:
        raise MessageRejected(
            HTTPStatus.CONFLICT,
            RejectionCause.TOO_MANY_PREPARED,
            f"{MAX_PREPARED} generations are possible here already",
        )
    return _with_prepared(state, generation)


def _require_valid(generation: Generation, validate: Validator) -> None:
    if problem := validate(generation.content):
        raise MessageRejected(
            HTTPStatus.UNPROCESSABLE_ENTITY, RejectionCause.INVALID_SETTINGS, problem
        )


def _require_same_content(known: Generation, digest: str) -> None:
    """Raise MessageRejected if a ballot known here is to stand for other settings."""
    if known.digest != digest:
        raise MessageRejected(
            HTTPStatus.CONFLICT,
            RejectionCause.CONFLICTING_CONTENT,
            f"generation {known.number}: expected digest {known.digest}, which is known here under "
            f"this ballot, found {shorten(digest)}",
        )


def _with_prepared(state: ParticipantState, generation: Generation) -> ParticipantState:
    """Return the state with one more prepared generation, sorted by ballot."""
    prepared = sorted((*state.prepared, generation), key=lambda candidate: candidate.ballot)
    return state._replace(prepared=tuple(prepared))


def commit(
    state: ParticipantState, request: ReceivedRequest, validate: Validator
) -> ParticipantState:
    """Put a committed generation in force, unless it or a later one is in force already.

    Raises:
        MessageRejected: Other settings are known here under this ballot, or the settings are
            neither stored here nor part of the request, or they are not valid here. The generation
            stays committed; this gateway cannot apply it.
    """
    ballot = request.ballot()
    generation = state.find_generation(ballot)
    if generation is not None:
        _require_same_content(generation, request.digest())
    if ballot <= state.in_force.ballot:
        return state
    if generation is None:
        if not request.has_content:
            raise MessageRejected(
                HTTPStatus.CONFLICT,
                RejectionCause.UNKNOWN_GENERATION,
                f"generation {ballot.number}: its content is not here",
            )
        generation = request.generation()
        _require_valid(generation, validate)
    return put_in_force(state, generation)


def put_in_force(state: ParticipantState, generation: Generation) -> ParticipantState:
    """Return the state with a generation in force; only later generations stay prepared."""
    return state._replace(
        in_force=generation,
        prepared=tuple(later for later in state.prepared if later.ballot > generation.ballot),
    )


def abort(state: ParticipantState, ballot: Ballot) -> ParticipantState:
    """Return the state after a ballot is aborted.

    The state does not change if the ballot is known to be aborted, or is not later than the one in
    force.
    """
    if ballot <= state.in_force.ballot or ballot in state.aborted:
        return state
    return state._replace(
        prepared=tuple(other for other in state.prepared if other.ballot != ballot),
        aborted=(*state.aborted, ballot)[-MAX_ABORTED:],
    )


def missing_ballots(state: ParticipantState, peer: PeerState) -> list[Ballot]:
    """Return the ballots whose settings must be fetched from a peer to merge its report."""
    needed = []
    if peer.in_force > state.in_force.ballot and not _find_in_force(state, peer):
        needed.append(peer.in_force)
    newest = max(peer.in_force, state.in_force.ballot)
    needed += [
        ballot
        for ballot in peer.prepared
        if ballot > newest and ballot not in state.aborted and not state.find_generation(ballot)
    ]
    return needed


def _find_in_force(state: ParticipantState, peer: PeerState) -> Generation | None:
    """Return the generation in force at a peer, if its settings are known here."""
    known = state.find_generation(peer.in_force)
    return known if known and known.digest == peer.digest else None


def merge_peer_state(
    state: ParticipantState,
    peer: PeerState,
    fetched: Iterable[Generation],
    validate: Validator,
) -> ParticipantState:
    """Return the state after a peer's report.

    Args:
        state: The participant's state.
        peer: The peer's report.
        fetched: The generations of the ballots that `missing_ballots` returned.
        validate: A function that returns why settings are not valid here, or None if they are.

    Raises:
        MessageRejected: The settings in force at the peer are not valid here.
    """
    fetched_by_ballot = {generation.ballot: generation for generation in fetched}
    for ballot in peer.aborted:
        if state.find_generation(ballot):
            state = abort(state, ballot)
    if peer.in_force > state.in_force.ballot:
        committed = _find_in_force(state, peer) or fetched_by_ballot.get(peer.in_force)
        if committed:
            _require_valid(committed, validate)
            state = put_in_force(state, committed)
    for ballot in peer.prepared:
        generation = fetched_by_ballot.get(ballot)
        if generation and _can_prepare(state, generation, validate):
            state = _with_prepared(state, generation)
    return state


def _can_prepare(state: ParticipantState, generation: Generation, validate: Validator) -> bool:
    """Return whether a generation that a peer prepared can be prepared here as well."""
    ballot = generation.ballot
    if ballot <= state.in_force.ballot or ballot in state.aborted:
        return False
    if state.find_generation(ballot):
        return False
    return validate(generation.content) is None and len(state.prepared) < MAX_PREPARED


class ParticipantStatus:
    """Decides whether a gateway may admit RPCs.

    A gateway may admit RPCs while it is on the roster and knows which generation is in force. After
    a stall, it no longer knows this.

    The participant service owns this object, and replaces it when it starts or resumes. Times are
    in seconds of one monotonic clock.

    Attributes:
        name: The gateway's name.
        roster: The names of the participants on the roster in force.
        is_state_complete: Whether the gateway still has its state from before it started.
        responders: The peers that have answered since the start or the last stall.
        last_check: The time of the last check for a stall.
        knows_in_force: Whether the gateway knows which generation is in force.
        stall_count: The number of stalls so far.
    """

    def __init__(
        self, name: str, roster: Sequence[str], is_state_complete: bool, now: float
    ) -> None:
        self.name = name
        self.is_state_complete = is_state_complete
        self.responders: set[str] = set()
        self.last_check = now
        self.knows_in_force = False
        self.stall_count = 0
        self.set_roster(roster)

    def set_roster(self, roster: Sequence[str]) -> None:
        """Set the roster in force.

        A gateway that is not on the roster is not notified of changes, so it must not admit RPCs. A
        gateway on the roster knows which generation is in force once enough peers have answered,
        and still knows it after the roster changes.
        """
        self.roster = tuple(roster)
        if self.name not in self.roster:
            self.knows_in_force = False
        elif intersects_every_majority(self.roster, self.responders, self.is_state_complete):
            self.knows_in_force = True

    def on_peer_answered(self, name: str, stall_count_at_request: int) -> None:
        """Count a peer whose report has been merged into the state.

        Args:
            name: The peer's name.
            stall_count_at_request: The value of `stall_count` when the gateway sent the request.
                If the gateway has stalled since, the answer does not count: the peers may have
                committed a change during the stall.
        """
        if stall_count_at_request == self.stall_count:
            self.responders.add(name)
            self.set_roster(self.roster)

    def check_stall(self, now: float) -> bool:
        """Return whether the gateway has stalled since the last check; call this often.

        The peers may have committed a change during a stall, so the gateway no longer knows which
        generation is in force until enough peers have answered again.
        """
        has_stalled = now - self.last_check > STALL_LIMIT_S
        self.last_check = max(now, self.last_check)
        if has_stalled:
            self.responders = set()
            self.knows_in_force = False
            self.stall_count += 1
            self.set_roster(self.roster)
        return has_stalled

    def may_admit(self, now: float) -> bool:
        """Return whether the gateway may admit an RPC now."""
        return self.knows_in_force and now - self.last_check <= STALL_LIMIT_S
