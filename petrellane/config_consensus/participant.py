"""One gateway's part in agreement, as rules free of I/O. On one page, what it remembers and what it answers:

    remembered (State, durable before any answer that rests on it)
      promised   the highest epoch it has answered: lower ones are refused from then on
      in_force   the generation that it admits under
      possible   generations prepared here, of which it doesn't know whether they were decided: while there are any it is
                 in doubt, and admits what `in_force` and all of these allow
      denied     the last ballots that it was told will never be in force

    promise E              E >= promised                  promised = E, answer what is remembered
    prepare E, G, base     E >= promised, G after in_force, in_force not before base, G takes here, G not denied
                                                           G joins possible
    commit E, G            G in possible, or comes with its content
                                                           in_force = G, possible keeps what is after G
    deny E, B              B not in force                  B leaves possible, joins denied
    learn P                what another gateway remembers: its in_force, if later than ours, becomes ours; what is
                           possible there and after that is possible here; what it knows denied is denied

Said again, each has the same result. What is in force never goes back to an earlier ballot. A gateway *knows* what is
in force once it has heard so many others that every majority has one of them; a control process's word is not enough, as
another may have gone on without it. Before, and after having stood still, a gateway admits nothing. `heard` and `learn`
change nothing: they give what to remember, which takes effect once it is durable.
"""

from typing import NamedTuple

from petrellane.config_consensus import safe_settings
from petrellane.config_consensus.ballots import (
    NOBODY,
    Ballot,
    Epoch,
    Generation,
    ballot_of,
    enough,
    epoch_of,
    generation_of,
)

KEPT = 16  # ballots kept as denied: of changes that far back nobody speaks any more
MOST = 8  # generations that may be possible at a time
FENCE = 1.0  # seconds of standing still after which a gateway can have been counted out meanwhile
ASK = 0.5  # seconds, about, between rounds of asking others while in doubt or unknowing
FIRST = Ballot(0, NOBODY)


class State(NamedTuple):
    """What a gateway remembers."""

    in_force: Generation
    promised: Epoch = NOBODY
    possible: tuple = ()
    denied: tuple = ()

    def told(self):
        """As JSON, without contents."""
        return {
            "promised": list(self.promised),
            "in_force": self.in_force.named(),
            "possible": [one.named() for one in self.possible],
            "denied": [{"number": one.number, "epoch": list(one.epoch)} for one in self.denied],
            "members": list(self.in_force.members),
        }

    def holds(self, ballot):
        """The generation of a ballot, where it is in force or possible here."""
        return next((one for one in (self.in_force, *self.possible) if one.ballot == ballot), None)


class Refusal(Exception):
    """A message that is turned down: HTTP status, cause, and one line."""

    def __init__(self, status, cause, text, **more):
        super().__init__(text)
        self.status, self.cause, self.text, self.more = status, cause, text, more

    def told(self):
        return {"refused": self.cause, "why": self.text, **self.more}


def admitted(state):
    """The settings that a gateway admits under: those in force, or while in doubt what all allow."""
    met = state.in_force.content
    for one in state.possible:
        met = safe_settings.meet(met, one.content)
    return met


def heard(state, message, takes):
    """A message of a control process or another gateway: what to remember, and the answer. `takes` says why settings will
    not do here (one line), or None. Raises Refusal; whatever is out of form is one with status 400."""
    try:
        do = message.get("do")
        if do == "state":
            return state, state.told()
        if do == "content":
            found = state.holds(ballot_of(message))
            if not found:
                raise Refusal(404, "unknown", "no such generation here")
            return state, found.told()
        if do not in ("promise", "prepare", "commit", "deny"):
            raise Refusal(400, "form", f"do: expected a known word, found {str(do)[:40]}")
        epoch = epoch_of(message.get("epoch_of"))
        if epoch < state.promised:
            raise Refusal(
                409,
                "epoch",
                f"epoch {epoch.number} of {epoch.control}: expected at least "
                f"{state.promised.number} of {state.promised.control}",
                promised=list(state.promised),
            )
        after = state._replace(promised=epoch)
        if do == "prepare":
            after = prepared(
                after,
                generation_of(message, safe_settings.digest),
                ballot_of(message.get("base")),
                takes,
            )
        elif do == "commit":
            after = committed(after, message, takes)
        elif do == "deny":
            after = denied(after, ballot_of(message))
        return after, after.told()
    except ValueError as error:
        raise Refusal(400, "form", str(error)) from None


def prepared(state, generation, base, takes):
    ballot = generation.ballot
    if state.holds(ballot):
        return state
    if ballot <= state.in_force.ballot:
        raise Refusal(
            409, "past", f"generation {ballot.number}: {state.in_force.number} is in force"
        )
    if ballot in state.denied:
        raise Refusal(409, "past", f"generation {ballot.number}: it was given up")
    if state.in_force.ballot < base:
        raise Refusal(
            409,
            "behind",
            f"generation {base.number} is not in force here, but {state.in_force.number}",
        )
    if wrong := takes(generation.content):
        raise Refusal(422, "settings", wrong)
    if len(state.possible) >= MOST:
        raise Refusal(409, "crowded", f"{MOST} generations are possible here already")
    return state._replace(
        possible=tuple(sorted((*state.possible, generation), key=lambda one: one.ballot))
    )


def committed(state, message, takes):
    ballot = ballot_of(message)
    if ballot <= state.in_force.ballot:
        return state
    found = state.holds(ballot)
    if found is None:
        if "content" not in message:
            raise Refusal(409, "unknown", f"generation {ballot.number}: its content is not here")
        found = generation_of(message, safe_settings.digest)
        if wrong := takes(
            found.content
        ):  # the decision holds; this gateway can't follow it, and says so
            raise Refusal(422, "settings", wrong)
    return put_in_force(state, found)


def put_in_force(state, generation):
    return state._replace(
        in_force=generation,
        possible=tuple(one for one in state.possible if one.ballot > generation.ballot),
    )


def denied(state, ballot):
    if ballot <= state.in_force.ballot or ballot in state.denied:
        return state
    return state._replace(
        possible=tuple(one for one in state.possible if one.ballot != ballot),
        denied=(*state.denied, ballot)[-KEPT:],
    )


class Learnt(NamedTuple):
    """What another gateway remembers, as it told."""

    in_force: Ballot
    digest: str
    possible: tuple
    denied: tuple
    members: tuple


def learnt_of(told):
    """What another gateway told of itself. Raises ValueError."""
    rows = told.get("possible", []), told.get("denied", []), told.get("members", [])
    if not all(isinstance(row, list) for row in rows):
        raise ValueError("possible, denied, members: expected lists")
    force = told.get("in_force")
    return Learnt(
        ballot_of(force),
        str(force.get("digest")),
        tuple(map(ballot_of, rows[0])),
        tuple(map(ballot_of, rows[1])),
        tuple(map(str, rows[2])),
    )


def missing(state, learnt):
    """Ballots of which the content has to be fetched from a gateway before what it told can be learnt."""
    wanted = [learnt.in_force] if learnt.in_force > state.in_force.ballot else []
    wanted += [
        one
        for one in learnt.possible
        if one > max(learnt.in_force, state.in_force.ballot) and one not in state.denied
    ]
    return [one for one in wanted if not state.holds(one)]


def learn(state, learnt, fetched, takes):
    """What to remember after another gateway told what it does; `fetched` are the generations that were missing. Raises
    Refusal where settings that are in force elsewhere will not do here."""
    got = {one.ballot: one for one in fetched}
    for ballot in learnt.denied:
        if state.holds(ballot):
            state = denied(state, ballot)
    if learnt.in_force > state.in_force.ballot:
        found = state.holds(learnt.in_force) or got.get(learnt.in_force)
        if found:
            if wrong := takes(found.content):
                raise Refusal(422, "settings", wrong)
            state = put_in_force(state, found)
    for ballot in learnt.possible:
        found = got.get(ballot)
        if (
            found
            and ballot > state.in_force.ballot
            and not state.holds(ballot)
            and ballot not in state.denied
        ):
            if takes(found.content) is None and len(state.possible) < MOST:
                state = state._replace(
                    possible=tuple(sorted((*state.possible, found), key=lambda one: one.ballot))
                )
    return state


class Standing:
    """Whether a gateway may admit: it is a member, knows what is in force, and has not stood still since. Times are seconds
    of one steady clock; `remembers` is whether what it once said is still here."""

    def __init__(self, name, members, remembers, now):
        self.name, self.remembers = name, remembers
        self.heard, self.looked, self.known = set(), now, False
        self.since = 0  # times that it stood still: what was asked before says nothing after
        self.of(members)

    def of(self, members):
        """These are the members now. One that is not among them is told of no change, so it admits nothing."""
        self.members = tuple(members)
        if self.name not in self.members:
            self.known = False
        elif enough(self.members, self.heard, self.remembers):
            self.known = True

    def told(self, name, since):
        """Another gateway has answered what was asked at `since`, and all that it told is remembered here. An answer that
        lay here while we stood still may be older than what others did meanwhile."""
        if since == self.since:
            self.heard.add(name)
            self.of(self.members)

    def look(self, now):
        """Told often. True where this gateway stood still for so long that others may have gone on without it."""
        still, self.looked = now - self.looked > FENCE, max(now, self.looked)
        if still:
            self.heard, self.known, self.since = set(), False, self.since + 1
            self.of(self.members)
        return still

    def admits(self, now):
        """Whether an RPC that is here now may be admitted."""
        return self.known and now - self.looked <= FENCE
