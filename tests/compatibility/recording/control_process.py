"""Records plays of a control process whose participants follow the rules, or fail to."""

import enum
import json
import pathlib

from tests.compatibility import build, files
from tests.compatibility.files import Json
from tests.compatibility.recording.consensus_state import (
    NEW_SETTINGS,
    PARTICIPANTS,
    participant_state,
)

STARTED_AT = 100.0
TURNS = 60
TURNS_PER_SECOND = 8
PROPOSED_IN_TURN = 8  # in which staff propose; from then on some participants fail
OTHER_EPOCH_IN_TURN = 9  # in which one has promised another epoch too late
RESTART_DELAY_S = 10.0
CONTROL_NAME = "c1"

STATUS: Json = {"do": "status"}
HISTORY: Json = {"do": "history"}
PROPOSE: Json = {"do": "propose", "settings": NEW_SETTINGS, "by": "staff"}
# Calls of staff that are refused, or ask for what is not there.
REFUSED_CALLS: list[Json] = [
    {"do": "back", "number": 99},
    {"do": "sing"},
    {"do": "propose", "settings": {"classes": 7}},
    {"do": "propose", "settings": NEW_SETTINGS, "without": 7},
    {"do": "propose", "settings": NEW_SETTINGS, "without": ["g9"]},
]


class Course(enum.StrEnum):
    """What becomes of the change that staff propose."""

    COMMITTED = "committed"
    ABORTED = "aborted"  # the settings are not valid at one participant
    ABSENT = "absent"  # nobody listens at one participant's addresses
    SILENT = "silent"  # one participant does not answer
    DEPOSED = "deposed"  # one participant has promised another one's epoch before
    DEPOSED_LATE = "deposed late"  # the same, after the proposal


# The step of a participant that does not answer, by course.
FAILURE_STEPS = {Course.ABSENT: "refused", Course.SILENT: "silent"}
FAILING_PARTICIPANT = "g3"
INVALID_AT = "g2"  # where the settings are not valid
SETTINGS_ERROR = "no"


class ScriptedRun:
    """Leads a control process and writes the script of its steps, with participants' answers."""

    def __init__(self, journal: str, course: Course) -> None:
        self.course = course
        self.script: list[Json] = []
        self.states = {name: participant_state() for name in PARTICIPANTS}
        self._play = build.ControlPlay(journal, PARTICIPANTS)

    def take(self, *step: Json) -> Json:
        """Take a step and note it; return what is answered."""
        self.script.append(list(step))
        return self._play.take(self.script[-1])

    def run(self) -> float:
        """Go through all turns, and return the time of the last one."""
        self.take("start", STARTED_AT, CONTROL_NAME)
        if self.course is Course.DEPOSED:
            self.states["g2"]["promised"] = [7, "c9"]
        now = STARTED_AT
        for turn in range(TURNS):
            now = STARTED_AT + turn / TURNS_PER_SECOND
            self._take_turn(turn, now)
        self._play.take(["end", now])
        return now

    def _take_turn(self, turn: int, now: float) -> None:
        if turn == PROPOSED_IN_TURN:
            for call in (STATUS, HISTORY, PROPOSE, {"do": "change", "number": 3}, STATUS):
                self.take("staff", now, call)
        if turn == OTHER_EPOCH_IN_TURN and self.course is Course.DEPOSED_LATE:
            self.states["g1"]["promised"] = [9, "c9"]
        for name in PARTICIPANTS:
            message = self.take("message", now, name)
            if message is not None:
                self._answer(turn, now, name, message)
        self.take("judge", now)

    def _answer(self, turn: int, now: float, name: str, message: str) -> None:
        """Answer a message as a participant, or fail to."""
        failure = FAILURE_STEPS.get(self.course)
        if failure and name == FAILING_PARTICIPANT and turn >= PROPOSED_IN_TURN:
            self.take(failure, now, name)
            return
        is_refused = self.course is Course.ABORTED and name == INVALID_AT and "prepare" in message
        error = SETTINGS_ERROR if is_refused else None
        result = build.participant_answer(self.states[name], json.loads(message), error)
        self.states[name] = result["after"]
        self.take("heard", now, name, result["answer"])


def closing_steps(now: float) -> list[Json]:
    """Return what staff ask at the end, and a restart from the journal."""
    numbered = [
        {"do": kind, "number": number} for number in (2, 3, 4, 99) for kind in ("show", "change")
    ]
    calls = [STATUS, HISTORY, *numbered, *REFUSED_CALLS]
    restarted_at = now + RESTART_DELAY_S
    return [
        *(["staff", now, call] for call in calls),
        ["end", now],
        ["start", restarted_at, CONTROL_NAME],
        ["staff", restarted_at, STATUS],
        ["staff", restarted_at, HISTORY],
        ["end", restarted_at],
    ]


def record_control_plays(folder: pathlib.Path) -> Json:
    """Return the recording of all plays; each leaves its journal in a folder, named as it is."""
    plays = []
    for course in Course:
        run = ScriptedRun(str(folder / f"{course}-live"), course)
        ended_at = run.run()
        script = [*run.script, *closing_steps(ended_at)]
        journal = folder / course
        steps = build.control_play(str(journal), PARTICIPANTS, script)
        rows = files.journal_rows(journal)
        plays.append({"name": course.value, "script": script, "found": steps, "rows": rows})
    return {"members": PARTICIPANTS, "plays": plays}
