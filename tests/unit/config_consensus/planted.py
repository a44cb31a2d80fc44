"""Faults of one line planted in the rules of config consensus, each of which seeded runs find."""

import contextlib
import dataclasses
from collections.abc import Callable, Collection, Iterator
from typing import Any, NamedTuple
from unittest.mock import patch

from petrellane.config_consensus import ballots, changes, coordinator, leadership, participant
from petrellane.config_consensus.coordinator import Coordinator
from petrellane.config_consensus.messages import Answer, PeerState, Request
from petrellane.config_consensus.participant import ParticipantState

LATEST_SEQUENCE = 1 << 60  # higher than that of any request

Rule = Callable[..., Any]


class Replacement(NamedTuple):
    """A rule, by its owner and its name there, and what makes the faulty one from it."""

    owner: object
    name: str
    make_faulty: Callable[[Rule], Rule]


def early_refusal_confirms_absence(handle_connection_refused: Rule) -> Rule:
    """A refusal from before the last participant had prepared counts as one after it."""

    def planted_rule(process: Coordinator, name: str, message: Request, now: float) -> None:
        later = dataclasses.replace(message, sequence=LATEST_SEQUENCE)
        handle_connection_refused(process, name, later, now)

    return planted_rule


def absence_is_confirmed_once(handle_answer: Rule) -> Rule:
    """Absent participants are not asked once more after the last has prepared."""

    def planted_rule(
        process: Coordinator, name: str, message: Request, answer: Answer, now: float
    ) -> None:
        confirmed = set(process.change.confirmed_absent) if process.change else set()
        handle_answer(process, name, message, answer, now)
        if process.change:
            process.change.confirmed_absent |= confirmed - {name}
            process.try_to_decide(now)

    return planted_rule


def no_answer_is_absence(_handle_no_answer: Rule) -> Rule:
    """A participant that does not answer counts as down."""

    def planted_rule(
        process: Coordinator, name: str, message: Request, now: float, _reason: str = ""
    ) -> None:
        process.handle_connection_refused(name, message, now)

    return planted_rule


def timeout_commits(try_to_decide: Rule) -> Rule:
    """A change that is not settled in time is committed in place of aborted."""

    def planted_rule(process: Coordinator, now: float) -> None:
        is_leading = process.state == coordinator.CoordinatorState.LEADING
        change = process.change if is_leading else None
        if change and now - change.started_at >= changes.CHANGE_TIMEOUT_S:
            process.decide(coordinator.ChangeOutcome.COMMITTED, "", now)
        else:
            try_to_decide(process, now)

    return planted_rule


def in_doubt_is_aborted(try_to_lead: Rule) -> Rule:
    """Whatever is not known to have been decided is aborted."""

    def planted_rule(process: Coordinator, now: float) -> None:
        with patch.object(Coordinator, "may_be_decided", lambda _process, _ballot: False):
            try_to_lead(process, now)

    return planted_rule


def epochs_are_ignored(handle_message: Rule) -> Rule:
    """A gateway obeys any control process."""

    def planted_rule(state: ParticipantState, *arguments: object) -> object:
        return handle_message(state._replace(promised=ballots.NO_EPOCH), *arguments)

    return planted_rule


def prepared_of_peers_is_ignored(missing_ballots: Rule) -> Rule:
    """A gateway that starts learns what is in force, but not what is prepared."""

    def planted_rule(state: ParticipantState, report: PeerState) -> object:
        return missing_ballots(state, report._replace(prepared=()))

    return planted_rule


def majority_of_one(_majority: Rule) -> Rule:
    """One answer is enough to lead and to decide."""

    def planted_rule(_roster: Collection[str]) -> int:
        return 1

    return planted_rule


def serves_before_peers_answer(_intersects_every_majority: Rule) -> Rule:
    """A gateway that starts serves by what it remembers."""

    def planted_rule(
        _roster: Collection[str], _responders: Collection[str], _remembers: bool
    ) -> bool:
        return True

    return planted_rule


def one_peer_too_few(intersects_every_majority: Rule) -> Rule:
    """A gateway that starts asks one peer fewer than it has to."""

    def planted_rule(
        roster: Collection[str], responders: Collection[str], remembers: bool
    ) -> object:
        not_asked = sorted(set(roster) - set(responders))[:1]
        return intersects_every_majority(roster, {*responders, *not_asked}, remembers)

    return planted_rule


def aborted_stays_prepared(_abort: Rule) -> Rule:
    """What was aborted stays prepared."""

    def planted_rule(state: ParticipantState, ballot: ballots.Ballot) -> ParticipantState:
        aborted = (*state.aborted, ballot)[-participant.MAX_ABORTED :]
        return state._replace(aborted=aborted)

    return planted_rule


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
    """Have a fault in the rules."""
    with contextlib.ExitStack() as stack:
        for owner, name, make_faulty in FAULTS[fault]:
            rule = getattr(owner, name)
            stack.enter_context(patch.object(owner, name, make_faulty(rule)))
        yield
