"""A participant's rules, free of I/O: what one gateway remembers and what it answers.

State, durable before any answer that depends on it (`ParticipantState`):

    promised   the highest epoch answered; lower ones are rejected from then on
    in_force   the generation that the gateway admits under
    prepared   generations prepared here whose outcome is not known: while there are any, the
               gateway is in doubt, and admits only what `in_force` and all of these allow
    aborted    the last ballots known never to commit

Rules, each idempotent (E: the sender's epoch, G: a generation, B: a ballot):

    message            condition                            effect
    promise E          E >= promised                        promised = E
    prepare E, G, base E >= promised, G after in_force,     G joins prepared
                       base not after in_force, G not
                       aborted, settings valid here
    commit E, G        E >= promised, G prepared here       in_force = G, prepared keeps what
                       or sent with its content             is after G
    abort E, B         E >= promised, B after in_force      B leaves prepared, joins aborted
    peer's report      (from another participant)           its later in_force, its aborted and
                                                            its prepared ballots become ours

`in_force` never returns to an earlier ballot. A participant *knows* what is in force once it has
heard from so many others that every majority has one of them; a coordinator's word is not enough,
as another one may have gone on without this gateway. Until then, and after it has stalled, it
admits nothing (`ParticipantStatus`).

All functions return the state to remember, which takes effect once `participant_service` has
made it durable. Whether settings are valid here is the caller's `validate`: it returns what is
wrong in one line, or None.
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
from petrellane.config_consensus.errors import MessageRejected, RejectionCause
from petrellane.config_consensus.messages import MessageKind, PeerState, ReceivedRequest

MAX_ABORTED = 16  # aborted ballots remembered: nobody asks about changes further back
MAX_PREPARED = 8  # generations prepared at a time
STALL_LIMIT_S = 1.0  # a stall longer than this may have excluded the gateway from a change
PEER_POLL_INTERVAL_S = 0.5  # mean time between rounds of asking others while in doubt
INITIAL_BALLOT = Ballot(0, NO_EPOCH)  # that of the gateway's own file

Validator = Callable[[dict[str, Any]], str | None]


class ParticipantState(NamedTuple):
    """What a participant remembers; as an answer, its report without contents."""

    in_force: Generation
    promised: Epoch = NO_EPOCH
    prepared: tuple[Generation, ...] = ()
    aborted: tuple[Ballot, ...] = ()

    def to_dict(self) -> dict[str, Any]:
        """The report as JSON."""
        return {
            state_keys.PROMISED: list(self.promised),
            state_keys.IN_FORCE: self.in_force.identity_to_dict(),
            state_keys.PREPARED: [generation.identity_to_dict() for generation in self.prepared],
            state_keys.ABORTED: [ballot.to_dict() for ballot in self.aborted],
            state_keys.ROSTER: list(self.in_force.roster),
        }

    def find_generation(self, ballot: Ballot) -> Generation | None:
        """The generation of a ballot that is in force or prepared here, None for others."""
        for generation in (self.in_force, *self.prepared):
            if generation.ballot == ballot:
                return generation
        return None


class HandledMessage(NamedTuple):
    """What follows from a message: the state to remember, and the answer.

    The answer is that state, or the content asked for.
    """

    state: ParticipantState
    answer: ParticipantState | Generation


def admissible_settings(state: ParticipantState) -> dict[str, Any]:
    """The settings to admit under: those in force; in doubt, what all candidates allow."""
    settings = state.in_force.content
    for generation in state.prepared:
        settings = safe_settings.meet(settings, generation.content)
    return settings


def handle_message(
    state: ParticipantState, message: Mapping[str, Any], validate: Validator
) -> HandledMessage:
    """Handle a request of a coordinator or of another participant.

    Args:
        state: what the participant remembers.
        message: the request as JSON.
        validate: tells why settings are not valid here, None where they are.

    Raises:
        MessageRejected: a rule rejects the request; status 400 where it is malformed.
    """
    try:
        request = ReceivedRequest.from_dict(message)
        if request.epoch is None:
            return HandledMessage(state, _read(state, request))
        after = _apply(_promise(state, request.epoch), request, validate)
    except ValueError as error:
        raise MessageRejected(
            HTTPStatus.BAD_REQUEST, RejectionCause.MALFORMED, str(error)
        ) from None
    return HandledMessage(after, after)


def _read(state: ParticipantState, request: ReceivedRequest) -> ParticipantState | Generation:
    """The answer to a question for state or content."""
    if request.kind is MessageKind.STATE:
        return state
    generation = state.find_generation(request.ballot())
    if generation is None:
        raise MessageRejected(
            HTTPStatus.NOT_FOUND, RejectionCause.UNKNOWN_GENERATION, "no such generation here"
        )
    return generation


def _promise(state: ParticipantState, epoch: Epoch) -> ParticipantState:
    """Follow an epoch, unless a higher one was promised."""
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
    """Apply a request whose epoch is promised."""
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
    """Prepare a generation that follows `base`; one that is known already changes nothing.

    Raises:
        MessageRejected: the generation can't commit any more, `base` is not known here, the
            settings are not valid here, or too many generations are prepared.
    """
    ballot = generation.ballot
    if state.find_generation(ballot):
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
    if wrong := validate(generation.content):
        raise MessageRejected(
            HTTPStatus.UNPROCESSABLE_ENTITY, RejectionCause.INVALID_SETTINGS, wrong
        )


def _with_prepared(state: ParticipantState, generation: Generation) -> ParticipantState:
    """The state with one more prepared generation, in the order of ballots."""
    prepared = sorted((*state.prepared, generation), key=lambda candidate: candidate.ballot)
    return state._replace(prepared=tuple(prepared))


def commit(
    state: ParticipantState, request: ReceivedRequest, validate: Validator
) -> ParticipantState:
    """Put a committed generation in force, unless a later one is.

    Raises:
        MessageRejected: the content is neither here nor in the request, or is not valid here;
            the decision holds all the same, and this gateway can't follow it.
    """
    ballot = request.ballot()
    if ballot <= state.in_force.ballot:
        return state
    generation = state.find_generation(ballot)
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
    """The state with a generation in force; only later ones stay prepared."""
    return state._replace(
        in_force=generation,
        prepared=tuple(later for later in state.prepared if later.ballot > generation.ballot),
    )


def abort(state: ParticipantState, ballot: Ballot) -> ParticipantState:
    """The state once a ballot is known never to commit; no change where it is in the past."""
    if ballot <= state.in_force.ballot or ballot in state.aborted:
        return state
    return state._replace(
        prepared=tuple(other for other in state.prepared if other.ballot != ballot),
        aborted=(*state.aborted, ballot)[-MAX_ABORTED:],
    )


def missing_ballots(state: ParticipantState, peer: PeerState) -> list[Ballot]:
    """Ballots whose content has to be fetched from a peer before its report can be merged."""
    wanted = [peer.in_force] if peer.in_force > state.in_force.ballot else []
    newest = max(peer.in_force, state.in_force.ballot)
    wanted += [
        ballot for ballot in peer.prepared if ballot > newest and ballot not in state.aborted
    ]
    return [ballot for ballot in wanted if not state.find_generation(ballot)]


def merge_peer_state(
    state: ParticipantState,
    peer: PeerState,
    fetched: Iterable[Generation],
    validate: Validator,
) -> ParticipantState:
    """The state to remember after a peer's report.

    Args:
        state: what the participant remembers.
        peer: the report.
        fetched: the generations of `missing_ballots`.
        validate: tells why settings are not valid here, None where they are.

    Raises:
        MessageRejected: what is in force at the peer is not valid here.
    """
    contents = {generation.ballot: generation for generation in fetched}
    for ballot in peer.aborted:
        if state.find_generation(ballot):
            state = abort(state, ballot)
    if peer.in_force > state.in_force.ballot:
        committed = state.find_generation(peer.in_force) or contents.get(peer.in_force)
        if committed:
            _require_valid(committed, validate)
            state = put_in_force(state, committed)
    for ballot in peer.prepared:
        generation = contents.get(ballot)
        if generation and _may_join_prepared(state, generation, validate):
            state = _with_prepared(state, generation)
    return state


def _may_join_prepared(
    state: ParticipantState, generation: Generation, validate: Validator
) -> bool:
    """Whether a generation that a peer prepared may still commit and is valid here."""
    ballot = generation.ballot
    if ballot <= state.in_force.ballot or ballot in state.aborted:
        return False
    if state.find_generation(ballot):
        return False
    return validate(generation.content) is None and len(state.prepared) < MAX_PREPARED


class ParticipantStatus:
    """Whether a gateway may admit: on the roster, aware of what is in force, not stalled since.

    Owned by the participant's service and replaced each time it starts to ask anew. Times are
    seconds of one steady clock.
    """

    def __init__(self, name: str, roster: Sequence[str], remembers: bool, now: float) -> None:
        self.name = name
        self.remembers = remembers  # whether the state of an earlier life is here
        self.responders: set[str] = set()
        self.last_checked = now
        self.knows_in_force = False
        self.stall_count = 0  # an answer to a question from before a stall says nothing after it
        self.set_roster(roster)

    def set_roster(self, roster: Sequence[str]) -> None:
        """Take the roster in force.

        A gateway outside the roster is not notified of changes, so it must not admit RPCs. One on
        the roster knows what is in force once enough others have answered, and keeps knowing it
        when the roster changes.
        """
        self.roster = tuple(roster)
        if self.name not in self.roster:
            self.knows_in_force = False
        elif intersects_every_majority(self.roster, self.responders, self.remembers):
            self.knows_in_force = True

    def on_peer_answered(self, name: str, asked_at_stall: int) -> None:
        """Count a peer whose report is remembered here.

        Args:
            name: the peer.
            asked_at_stall: `stall_count` when it was asked; the answer is ignored where the
                gateway has stalled since, as others may have gone on meanwhile.
        """
        if asked_at_stall == self.stall_count:
            self.responders.add(name)
            self.set_roster(self.roster)

    def check_stall(self, now: float) -> bool:
        """Note the time, often; True after a stall in which others may have gone on."""
        has_stalled = now - self.last_checked > STALL_LIMIT_S
        self.last_checked = max(now, self.last_checked)
        if has_stalled:
            self.responders = set()
            self.knows_in_force = False
            self.stall_count += 1
            self.set_roster(self.roster)
        return has_stalled

    def may_admit(self, now: float) -> bool:
        """Whether an RPC that is here now may be admitted."""
        return self.knows_in_force and now - self.last_checked <= STALL_LIMIT_S
