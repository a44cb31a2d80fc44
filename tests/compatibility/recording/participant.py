"""Records what a participant answers and remembers: messages, and other participants' reports."""

from typing import NamedTuple

from tests.compatibility import build
from tests.compatibility.files import Json
from tests.compatibility.recording.consensus_state import (
    EPOCH,
    LATER_EPOCH,
    NEW_SETTINGS,
    OLD_SETTINGS,
    OTHER_EPOCH,
    PARTICIPANTS,
    ballot,
    generation,
    identity,
    participant_state,
)

PROPOSED = generation(3, NEW_SETTINGS, EPOCH)
PROPOSED_BALLOT = ballot(3, EPOCH)
LATER = [generation(number, NEW_SETTINGS, EPOCH) for number in range(4, 12)]
MANY_ABORTED = [ballot(number, OTHER_EPOCH) for number in range(3, 19)]

# What every message of a control process has beside its kind.
SENDER = {"epoch_of": list(EPOCH), "to": "g1", "order": 7}
PREPARE = {"do": "prepare", "base": ballot(2, (1, "c1")), **PROPOSED, **SENDER}
COMMIT = {"do": "commit", **SENDER}
COMMIT_IDENTITY = {**COMMIT, **identity(PROPOSED)}
COMMIT_COMPLETE = {**COMMIT, **PROPOSED}
ABORT = {"do": "deny", **PROPOSED_BALLOT, **SENDER}


class MessageCase(NamedTuple):
    """A message to a participant.

    Attributes:
        name: Of the case.
        state: What the participant remembers.
        message: The message.
        settings_error: Why settings are not valid there; None where they are.
    """

    name: str
    state: Json
    message: Json
    settings_error: str | None = None


class ReportCase(NamedTuple):
    """Another participant's report.

    Attributes:
        name: Of the case.
        state: What the participant remembers.
        report: The report.
        fetched: The generations that it got of those that it lacked.
    """

    name: str
    state: Json
    report: Json
    fetched: list[Json]


def _read_cases() -> list[MessageCase]:
    state, prepared = participant_state(), participant_state(prepared=[PROPOSED])
    content = {"do": "content", **identity(PROPOSED)}
    return [
        MessageCase("state", prepared, {"do": "state", "to": "g1"}),
        MessageCase("content", prepared, {"do": "content", "to": "g1", **identity(PROPOSED)}),
        MessageCase("content unknown", state, content),
        MessageCase("no such word", state, {"do": "sing", **SENDER}),
        MessageCase("no word", state, {}),
    ]


def _promise_cases() -> list[MessageCase]:
    state = participant_state()
    return [
        MessageCase("promise", state, {"do": "promise", "epoch_of": [4, "c2"]}),
        MessageCase("promise the same", state, {"do": "promise", **SENDER}),
        MessageCase("promise lower", state, {"do": "promise", "epoch_of": [2, "c9"]}),
        MessageCase("promise lower name", state, {"do": "promise", "epoch_of": [3, "c0"]}),
        MessageCase("promise no epoch", state, {"do": "promise", "epoch_of": "x"}),
    ]


def _prepare_cases() -> list[MessageCase]:
    state, prepared = participant_state(), participant_state(prepared=[PROPOSED])
    aborted = participant_state(aborted=[PROPOSED_BALLOT])
    return [
        MessageCase("prepare", state, PREPARE),
        MessageCase("prepare again", prepared, PREPARE),
        MessageCase("prepare past", participant_state(5), PREPARE),
        MessageCase("prepare given up", aborted, PREPARE),
        MessageCase("prepare behind", participant_state(1), PREPARE),
        MessageCase("prepare settings", state, PREPARE, "classes: expected one"),
        MessageCase("prepare crowded", participant_state(prepared=LATER), PREPARE),
        MessageCase("prepare digest", state, {**PREPARE, "digest": "0"}),
        MessageCase("prepare content", state, {**PREPARE, "content": []}),
        MessageCase("prepare members", state, {**PREPARE, "members": [1]}),
        MessageCase("prepare number", state, {**PREPARE, "number": -1}),
        MessageCase("prepare no base", state, {**PREPARE, "base": None}),
        MessageCase("prepare lower epoch", participant_state(promised=(9, "c2")), PREPARE),
    ]


def _commit_cases() -> list[MessageCase]:
    state, prepared = participant_state(), participant_state(prepared=[PROPOSED])
    with_later = participant_state(prepared=[PROPOSED, *LATER[:2]])
    return [
        MessageCase("commit", prepared, COMMIT_IDENTITY),
        MessageCase("commit whole", state, COMMIT_COMPLETE),
        MessageCase("commit unknown", state, COMMIT_IDENTITY),
        MessageCase("commit settings", state, COMMIT_COMPLETE, "contracts: expected one"),
        MessageCase("commit past", participant_state(5), COMMIT_IDENTITY),
        MessageCase("commit keeps later", with_later, COMMIT_IDENTITY),
    ]


def _abort_cases() -> list[MessageCase]:
    aborted = participant_state(aborted=[PROPOSED_BALLOT])
    return [
        MessageCase("deny", participant_state(prepared=[PROPOSED]), ABORT),
        MessageCase("deny again", aborted, ABORT),
        MessageCase("deny past", participant_state(5), ABORT),
        MessageCase("deny of the same number", participant_state(3), ABORT),
        MessageCase("deny many", participant_state(aborted=MANY_ABORTED), ABORT),
    ]


def _report_cases() -> list[ReportCase]:
    later = generation(4, OLD_SETTINGS, LATER_EPOCH)
    orphaned = generation(3, OLD_SETTINGS, OTHER_EPOCH)
    report = {
        "promised": list(LATER_EPOCH),
        "in_force": identity(PROPOSED),
        "possible": [identity(later)],
        "denied": [ballot(3, OTHER_EPOCH)],
        "members": PARTICIPANTS,
    }
    return [
        ReportCase("in force and possible", participant_state(), report, [PROPOSED, later]),
        ReportCase("nothing fetched", participant_state(), report, []),
        ReportCase("denied", participant_state(prepared=[orphaned]), report, [PROPOSED]),
        ReportCase("nothing new", participant_state(3, prepared=[later]), report, []),
    ]


def record_participant() -> Json:
    """Return the recording of a participant; its keys are those of the file."""
    message_cases = [
        *_read_cases(),
        *_promise_cases(),
        *_prepare_cases(),
        *_commit_cases(),
        *_abort_cases(),
    ]
    return {
        "messages": [
            {
                "name": case.name,
                "remembers": case.state,
                "message": case.message,
                "wrong": case.settings_error,
                "found": build.participant_answer(case.state, case.message, case.settings_error),
            }
            for case in message_cases
        ],
        "learns": [
            {
                "name": case.name,
                "remembers": case.state,
                "told": case.report,
                "fetched": case.fetched,
                "found": build.participant_learns(case.state, case.report, case.fetched),
            }
            for case in _report_cases()
        ],
    }
