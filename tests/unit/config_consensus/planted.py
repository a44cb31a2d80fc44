"""One-line faults planted in the rules of config consensus, each of which seeded runs detect."""

import contextlib
import dataclasses
from collections.abc import Callable, Collection, Iterator
from typing import Any, NamedTuple
from unittest.mock import patch

from petrellane.config_consensus import ballots, changes, coordinator, leadership, participant
from petrellane.config_consensus.coordinator import Coordinator
from petrellane.config_consensus.messages import Answer, PeerState, Request
from petrellane.config_consensus.participant import ParticipantState

LATEST_SEQUENCE = 1 << 60  # higher than the sequence number of any request

Rule = Callable[..., Any]


class Replacement(NamedTuple):
    """The replacement of a rule by a faulty one.

    Attributes:
        owner: The module or class that has the rule as an attribute.
        name: The name of the attribute.
        make_faulty: A function that makes the faulty rule from the original one.
    """

    owner: object
    name: str
    make_faulty: Callable[[Rule], Rule]


def early_refusal_confirms_absence(handle_connection_refused: Rule) -> Rule:
    """Return a rule that lets a refusal confirm an absence even if votes follow it."""

    def faulty_rule(self: Coordinator, name: str, message: Request, now: float) -> None:
        later = dataclasses.replace(message, sequence=LATEST_SEQUENCE)
        handle_connection_refused(self, name, later, now)

    return faulty_rule


def absence_is_confirmed_once(handle_answer: Rule) -> Rule:
    """Return a rule that does not ask absent participants again after the last has prepared."""

    def faulty_rule(
        self: Coordinator, name: str, message: Request, answer: Answer, now: float
    ) -> None:
        confirmed = set(self.change.confirmed_absent) if self.change else set()
        handle_answer(self, name, message, answer, now)
        if self.change:
            self.change.confirmed_absent |= confirmed - {name}
            self.try_to_decide(now)

    return faulty_rule


def no_answer_is_absence(_handle_no_answer: Rule) -> Rule:
    """Return a rule that counts a participant without an answer as absent."""

    def faulty_rule(
        self: Coordinator, name: str, message: Request, now: float, _reason: str = ""
    ) -> None:
        self.handle_connection_refused(name, message, now)

    return faulty_rule


def timeout_commits(try_to_decide: Rule) -> Rule:
    """Return a rule that commits a change that times out, instead of aborting it."""

    def faulty_rule(self: Coordinator, now: float) -> None:
        is_leading = self.state == coordinator.CoordinatorState.LEADING
        change = self.change if is_leading else None
        if change and now - change.started_at >= changes.CHANGE_TIMEOUT_S:
            self.decide(coordinator.ChangeOutcome.COMMITTED, "", now)
        else:
            try_to_decide(self, now)

    return faulty_rule


def in_doubt_is_aborted(try_to_lead: Rule) -> Rule:
    """Return a rule that aborts ballots in doubt."""

    def faulty_rule(self: Coordinator, now: float) -> None:
        with patch.object(Coordinator, "is_in_doubt", lambda _self, _ballot: False):
            try_to_lead(self, now)

    return faulty_rule


def epochs_are_ignored(handle_message: Rule) -> Rule:
    """Return a rule under which a gateway accepts requests of any epoch."""

    def faulty_rule(state: ParticipantState, *arguments: object) -> object:
        return handle_message(state._replace(promised=ballots.NO_EPOCH), *arguments)

    return faulty_rule


def prepared_of_peers_is_ignored(missing_ballots: Rule) -> Rule:
    """Return a rule under which a starting gateway ignores what its peers have prepared."""

    def faulty_rule(state: ParticipantState, report: PeerState) -> object:
        return missing_ballots(state, report._replace(prepared=()))

    return faulty_rule


def majority_of_one(_majority: Rule) -> Rule:
    """Return a rule that counts one participant as a majority, to lead and to decide."""

    def faulty_rule(_roster: Collection[str]) -> int:
        return 1

    return faulty_rule


def serves_before_peers_answer(_intersects_every_majority: Rule) -> Rule:
    """Return a rule under which a starting gateway serves without answers of its peers."""

    def faulty_rule(
        _roster: Collection[str], _responders: Collection[str], _has_durable_state: bool
    ) -> bool:
        return True

    return faulty_rule


def one_peer_too_few(intersects_every_majority: Rule) -> Rule:
    """Return a rule under which a starting gateway needs one answer fewer than it should."""

    def faulty_rule(
        roster: Collection[str], responders: Collection[str], has_durable_state: bool
    ) -> object:
        not_asked = sorted(set(roster) - set(responders))[:1]
        return intersects_every_majority(roster, {*responders, *not_asked}, has_durable_state)

    return faulty_rule


def aborted_stays_prepared(_abort: Rule) -> Rule:
    """Return a rule under which an aborted ballot stays prepared."""

    def faulty_rule(state: ParticipantState, ballot: ballots.Ballot) -> ParticipantState:
        aborted = (*state.aborted, ballot)[-participant.MAX_ABORTED :]
        return state._replace(aborted=aborted)

    return faulty_rule


FAULTS: dict[str, tuple[Replacement, ...]] = {
    "early-refusal-confirms-absence": (
        Replacement(Coordinator, "handle_connection_refused", early_refusal_confirms_absence),
    ),
    "absence-is-confirmed-once": (
        Replacement(Coordinator, "handle_answer", absence_is_confirmed_once),
    ),
    "no-answer-is-absence": (Replacement(Coordinator, "handle_no_answer", no_answer_is_absence),),
    "timeout-commits": (Replacement(Coordinator, "try_to_decide", timeout_commits),),
    "in-doubt-is-aborted": (Replacement(Coordinator, "try_to_lead", in_doubt_is_aborted),),
    "epochs-are-ignored": (Replacement(participant, "handle_message", epochs_are_ignored),),
    "prepared-of-peers-is-ignored": (
        Replacement(participant, "missing_ballots", prepared_of_peers_is_ignored),
    ),
    "majority-of-one": (
        Replacement(changes, "majority", majority_of_one),
        Replacement(coordinator, "majority", majority_of_one),
        Replacement(leadership, "majority", majority_of_one),
    ),
    "serves-before-peers-answer": (
        Replacement(participant, "intersects_every_majority", serves_before_peers_answer),
    ),
    "one-peer-too-few": (Replacement(participant, "intersects_every_majority", one_peer_too_few),),
    "aborted-stays-prepared": (Replacement(participant, "abort", aborted_stays_prepared),),
}


@contextlib.contextmanager
def planted(fault: str) -> Iterator[None]:
    """Replace the rules of a fault by faulty ones inside the context.

    Args:
        fault: A key of `FAULTS`.
    """
    with contextlib.ExitStack() as stack:
        for owner, name, make_faulty in FAULTS[fault]:
            rule = getattr(owner, name)
            stack.enter_context(patch.object(owner, name, make_faulty(rule)))
        yield
