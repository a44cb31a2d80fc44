"""One gateway's part in agreement, as rules free of I/O. On one page, what it remembers and what it answers:

    remembered (ParticipantState, durable before any answer that rests on it)
      promised   the highest epoch it has answered: lower ones are refused from then on
      in_force   the generation that it admits under
      prepared   generations prepared here, of which it doesn't know whether they were decided: while there are any it is
                 in doubt, and admits what `in_force` and all of these allow
      aborted    the last ballots that it was told will never be in force

    promise E              E >= promised                  promised = E, answer what is remembered
    prepare E, G, base     E >= promised, G after in_force, in_force not before base, G takes here, G not aborted
                                                           G joins prepared
    commit E, G            G in prepared, or comes with its content
                                                           in_force = G, prepared keeps what is after G
    deny E, B              B not in force                  B leaves prepared, joins aborted
    learn P                what another gateway remembers: its in_force, if later than ours, becomes ours; what is
                           possible there and after that is possible here; what it knows denied is denied

Said again, each has the same result. What is in force never goes back to an earlier ballot. A gateway *knows* what is
in force once it has heard so many others that every majority has one of them; a control process's word is not enough, as
another may have gone on without it. Before, and after having stood still, a gateway admits nothing. `handle_message` and `merge_peer_state`
change nothing: they give what to remember, which takes effect once it is durable.
"""

from typing import NamedTuple

from petrellane.config_consensus import safe_settings
from petrellane.config_consensus.ballots import (
    NO_EPOCH,
    Ballot,
    Epoch,
    Generation,
    intersects_every_majority,
    parse_ballot,
    parse_epoch,
    parse_generation,
)
from petrellane.config_consensus.errors import MessageRejected

MAX_ABORTED = 16  # ballots kept as denied: of changes that far back nobody speaks any more
MAX_PREPARED = 8  # generations that may be possible at a time
STALL_LIMIT_S = (
    1.0  # seconds of standing still after which a gateway can have been counted out meanwhile
)
PEER_POLL_INTERVAL_S = (
    0.5  # seconds, about, between rounds of asking others while in doubt or unknowing
)
INITIAL_BALLOT = Ballot(0, NO_EPOCH)


class ParticipantState(NamedTuple):
    """What a gateway remembers."""

    in_force: Generation
    promised: Epoch = NO_EPOCH
    prepared: tuple = ()
    aborted: tuple = ()

    def to_dict(self):
        """As JSON, without contents."""
        return {
            "promised": list(self.promised),
            "in_force": self.in_force.identity_to_dict(),
            "possible": [one.identity_to_dict() for one in self.prepared],
            "denied": [{"number": one.number, "epoch": list(one.epoch)} for one in self.aborted],
            "members": list(self.in_force.roster),
        }

    def find_generation(self, ballot):
        """The generation of a ballot, where it is in force or possible here."""
        return next((one for one in (self.in_force, *self.prepared) if one.ballot == ballot), None)


def admissible_settings(state):
    """The settings that a gateway admits under: those in force, or while in doubt what all allow."""
    met = state.in_force.content
    for one in state.prepared:
        met = safe_settings.meet(met, one.content)
    return met


def handle_message(state, message, validate):
    """A message of a control process or another gateway: what to remember, and the answer. `validate` says why settings will
    not do here (one line), or None. Raises MessageRejected; whatever is out of form is one with status 400."""
    try:
        do = message.get("do")
        if do == "state":
            return state, state.to_dict()
        if do == "content":
            found = state.find_generation(parse_ballot(message))
            if not found:
                raise MessageRejected(404, "unknown", "no such generation here")
            return state, found.to_dict()
        if do not in ("promise", "prepare", "commit", "deny"):
            raise MessageRejected(400, "form", f"do: expected a known word, found {str(do)[:40]}")
        epoch = parse_epoch(message.get("epoch_of"))
        if epoch < state.promised:
            raise MessageRejected(
                409,
                "epoch",
                f"epoch {epoch.number} of {epoch.control}: expected at least "
                f"{state.promised.number} of {state.promised.control}",
                promised=list(state.promised),
            )
        after = state._replace(promised=epoch)
        if do == "prepare":
            after = prepare(
                after,
                parse_generation(message, safe_settings.digest),
                parse_ballot(message.get("base")),
                validate,
            )
        elif do == "commit":
            after = commit(after, message, validate)
        elif do == "deny":
            after = abort(after, parse_ballot(message))
        return after, after.to_dict()
    except ValueError as error:
        raise MessageRejected(400, "form", str(error)) from None


def prepare(state, generation, base, validate):
    ballot = generation.ballot
    if state.find_generation(ballot):
        return state
    if ballot <= state.in_force.ballot:
        raise MessageRejected(
            409, "past", f"generation {ballot.number}: {state.in_force.number} is in force"
        )
    if ballot in state.aborted:
        raise MessageRejected(409, "past", f"generation {ballot.number}: it was given up")
    if state.in_force.ballot < base:
        raise MessageRejected(
            409,
            "behind",
            f"generation {base.number} is not in force here, but {state.in_force.number}",
        )
    if wrong := validate(generation.content):
        raise MessageRejected(422, "settings", wrong)
    if len(state.prepared) >= MAX_PREPARED:
        raise MessageRejected(
            409, "crowded", f"{MAX_PREPARED} generations are possible here already"
        )
    return state._replace(
        prepared=tuple(sorted((*state.prepared, generation), key=lambda one: one.ballot))
    )


def commit(state, message, validate):
    ballot = parse_ballot(message)
    if ballot <= state.in_force.ballot:
        return state
    found = state.find_generation(ballot)
    if found is None:
        if "content" not in message:
            raise MessageRejected(
                409, "unknown", f"generation {ballot.number}: its content is not here"
            )
        found = parse_generation(message, safe_settings.digest)
        if wrong := validate(
            found.content
        ):  # the decision holds; this gateway can't follow it, and says so
            raise MessageRejected(422, "settings", wrong)
    return put_in_force(state, found)


def put_in_force(state, generation):
    return state._replace(
        in_force=generation,
        prepared=tuple(one for one in state.prepared if one.ballot > generation.ballot),
    )


def abort(state, ballot):
    if ballot <= state.in_force.ballot or ballot in state.aborted:
        return state
    return state._replace(
        prepared=tuple(one for one in state.prepared if one.ballot != ballot),
        aborted=(*state.aborted, ballot)[-MAX_ABORTED:],
    )


class PeerState(NamedTuple):
    """What another gateway remembers, as it told."""

    in_force: Ballot
    digest: str
    prepared: tuple
    aborted: tuple
    roster: tuple


def parse_peer_state(told):
    """What another gateway told of itself. Raises ValueError."""
    rows = told.get("possible", []), told.get("denied", []), told.get("members", [])
    if not all(isinstance(row, list) for row in rows):
        raise ValueError("possible, denied, members: expected lists")
    force = told.get("in_force")
    return PeerState(
        parse_ballot(force),
        str(force.get("digest")),
        tuple(map(parse_ballot, rows[0])),
        tuple(map(parse_ballot, rows[1])),
        tuple(map(str, rows[2])),
    )


def missing_ballots(state, learnt):
    """Ballots of which the content has to be fetched from a gateway before what it told can be learnt."""
    wanted = [learnt.in_force] if learnt.in_force > state.in_force.ballot else []
    wanted += [
        one
        for one in learnt.prepared
        if one > max(learnt.in_force, state.in_force.ballot) and one not in state.aborted
    ]
    return [one for one in wanted if not state.find_generation(one)]


def merge_peer_state(state, learnt, fetched, validate):
    """What to remember after another gateway told what it does; `fetched` are the generations that were missing. Raises
    MessageRejected where settings that are in force elsewhere will not do here."""
    got = {one.ballot: one for one in fetched}
    for ballot in learnt.aborted:
        if state.find_generation(ballot):
            state = abort(state, ballot)
    if learnt.in_force > state.in_force.ballot:
        found = state.find_generation(learnt.in_force) or got.get(learnt.in_force)
        if found:
            if wrong := validate(found.content):
                raise MessageRejected(422, "settings", wrong)
            state = put_in_force(state, found)
    for ballot in learnt.prepared:
        found = got.get(ballot)
        if (
            found
            and ballot > state.in_force.ballot
            and not state.find_generation(ballot)
            and ballot not in state.aborted
        ):
            if validate(found.content) is None and len(state.prepared) < MAX_PREPARED:
                state = state._replace(
                    prepared=tuple(sorted((*state.prepared, found), key=lambda one: one.ballot))
                )
    return state


class ParticipantStatus:
    """Whether a gateway may admit: it is a member, knows what is in force, and has not stood still since. Times are seconds
    of one steady clock; `remembers` is whether what it once said is still here."""

    def __init__(self, name, members, remembers, now):
        self.name, self.remembers = name, remembers
        self.responders, self.last_checked, self.knows_in_force = set(), now, False
        self.stall_count = 0  # times that it stood still: what was asked before says nothing after
        self.set_roster(members)

    def set_roster(self, members):
        """These are the members now. One that is not among them is told of no change, so it admits nothing."""
        self.roster = tuple(members)
        if self.name not in self.roster:
            self.knows_in_force = False
        elif intersects_every_majority(self.roster, self.responders, self.remembers):
            self.knows_in_force = True

    def on_peer_answered(self, name, since):
        """Another gateway has answered what was asked at `since`, and all that it told is remembered here. An answer that
        lay here while we stood still may be older than what others did meanwhile."""
        if since == self.stall_count:
            self.responders.add(name)
            self.set_roster(self.roster)

    def check_stall(self, now):
        """Told often. True where this gateway stood still for so long that others may have gone on without it."""
        still, self.last_checked = (
            now - self.last_checked > STALL_LIMIT_S,
            max(now, self.last_checked),
        )
        if still:
            self.responders, self.knows_in_force, self.stall_count = (
                set(),
                False,
                self.stall_count + 1,
            )
            self.set_roster(self.roster)
        return still

    def may_admit(self, now):
        """Whether an RPC that is here now may be admitted."""
        return self.knows_in_force and now - self.last_checked <= STALL_LIMIT_S
