"""A control process with its journal, led through a script."""

import os
import re
from typing import Any

import orjson

from petrellane.config.consensus import ControlConfig
from petrellane.config_consensus import control_service, journal, messages
from petrellane.net.scheduler import Scheduler

Json = Any

INCARNATION = re.compile(r"#[0-9a-f]{16}")
"""What an epoch has behind the name of its control process; the build of the recording had none."""

EPOCH = re.compile(r'\[(\d+),"(\w+)"\]')


def without_incarnations(text: str) -> str:
    """A text as the build of the recording would have said it."""
    return INCARNATION.sub("", text)


class ControlProcess:
    """A control process with its journal, without its calls; time is what the test says."""

    def __init__(self, path: str, name: str, members: list[str], key: bytes, now: float) -> None:
        self.now = now
        scheduler = Scheduler(monotonic=lambda: self.now)
        scheduler.unix_offset = 0.0
        config = ControlConfig(
            name=name,
            listen=("127.0.0.1", 0),
            journal=path,
            key=key,
            members={member: [] for member in members},
        )
        self.devnull = os.open(os.devnull, os.O_WRONLY)
        self.control = control_service.ControlService(config, self.devnull, scheduler)
        self.sent: dict[str, messages.Request] = {}
        self.calls = 0

    def message(self, name: str, now: float) -> str | None:
        """The message that a participant is due, as the text that is sent; None for none."""
        self.now = now
        request, _ = self.control.coordinator.next_message(name, now)
        if request is None:
            return None
        said = orjson.dumps(request.to_dict()).decode()
        if not INCARNATION.search(said):
            raise ValueError(f"expected an epoch with an incarnation, found {said}")
        text = without_incarnations(said)
        self.sent[text] = request
        return text

    def _with_incarnations(self, answer: str) -> str:
        """An answer with the epochs of this journal's processes as they are claimed now."""
        claimed = {
            (record["number"], without_incarnations(record["control"])): record["control"]
            for record in self.control.journal.records()
            if record["kind"] == "epoch"
        }
        return EPOCH.sub(
            lambda epoch: f'[{epoch[1]},"{claimed.get((int(epoch[1]), epoch[2]), epoch[2])}"]',
            answer,
        )

    def answered(self, name: str, message: str, answer: str, now: float) -> None:
        """A participant's answer to a message."""
        self.now = now
        request = self.sent[message]
        found = messages.decode_answer(request, orjson.loads(self._with_incarnations(answer)))
        self.control.coordinator.handle_answer(name, request, found, now)

    def refused(self, name: str, message: str, now: float) -> None:
        """Nobody listens at a participant's addresses."""
        self.now = now
        self.control.coordinator.handle_connection_refused(name, self.sent[message], now)

    def silent(self, name: str, message: str, now: float) -> None:
        """A participant gave no answer."""
        self.now = now
        self.control.coordinator.handle_no_answer(name, self.sent[message], now)

    def judge(self, now: float) -> None:
        """What time alone brings."""
        self.now = now
        self.control.coordinator.try_to_decide(now)

    def staff(self, message: Json, now: float) -> Json:
        """What staff are answered: the status and the text; each call is a new one."""
        self.now = now
        self.calls += 1
        call = {**message, "nonce": str(self.calls), "at": now}
        status, body = self.control._staff_calls.handle(call)
        return [status, without_incarnations(orjson.dumps(body).decode())]

    def close(self) -> None:
        """Let go of the journal and the listener."""
        self.control._management.close()
        self.control.journal.close()
        os.close(self.devnull)


class ControlPlay:
    """A control process led through a script, step by step; answers are those of the script."""

    def __init__(self, path: str, members: list[str]) -> None:
        self.path, self.members = path, members
        self.leads: ControlProcess | None = None
        self.last: dict[str, str] = {}

    def take(self, step: Json) -> Json:
        """Take one step; what is said to it."""
        what, now, *words = step
        if what == "start":
            self.leads = ControlProcess(self.path, words[0], self.members, b"k" * 16, now)
            return None
        if self.leads is None:
            raise ValueError("expected a start first")
        if what == "message":
            said = self.leads.message(words[0], now)
            self.last[words[0]] = said or ""
            return said
        if what == "staff":
            return self.leads.staff(words[0], now)
        if what == "heard":
            self.leads.answered(words[0], self.last[words[0]], words[1], now)
        elif what == "refused":
            self.leads.refused(words[0], self.last[words[0]], now)
        elif what == "silent":
            self.leads.silent(words[0], self.last[words[0]], now)
        elif what == "judge":
            self.leads.judge(now)
        elif what == "end":
            self.leads.close()
            self.leads = None
        return None


def control_play(path: str, members: list[str], script: list[Json]) -> list[Json]:
    """What a control process says at each step of a script."""
    play = ControlPlay(path, members)
    return [play.take(step) for step in script]


def journal_records(path: str) -> list[Json]:
    """The records of a journal."""
    kept = journal.Journal(path)
    try:
        return list(kept.records())
    finally:
        kept.close()


def write_journal(path: str, records: list[Json]) -> None:
    """A new journal with these records, each with its time under `at`."""
    kept = journal.Journal(path)
    try:
        for record in records:
            kept.append({key: record[key] for key in record if key != "at"}, record["at"])
    finally:
        kept.close()
