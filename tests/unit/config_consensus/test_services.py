"""Parts of the services around the rules of a change: replays, staff's commands, writes to the disk."""

from types import SimpleNamespace

import greenlet
import pytest

from petrellane.config_consensus import commands, rpc_client
from petrellane.config_consensus.commands import CommandFailedError, ExitCode, SettingsCommands
from petrellane.config_consensus.message_authentication import AuthenticationError
from petrellane.config_consensus.staff_calls import MAX_CALL_AGE_S, ReplayGuard
from petrellane.config_consensus.staff_messages import ChangeProgress, StaffCall
from petrellane.config_consensus.state_writer import StateWriter
from petrellane.net.scheduler import Scheduler

ADDRESS = ("127.0.0.1", 9)
CHANGE = {
    "number": 3,
    "outcome": "preparing",
    "why": "",
    "prepared": ["g0"],
    "absent": [],
    "owed": ["g1"],
    "reached": 0,
    "of": 2,
}
COMMITTED = CHANGE | {"outcome": "committed", "owed": [], "reached": 2}


class FakeClient:
    """Gives answers in turn, or raises them where they are errors, and keeps the calls."""

    def __init__(self, *answers):
        self.config = SimpleNamespace(listen=ADDRESS)
        self.answers = list(answers)
        self.calls = []

    def call(self, kind, **arguments):
        self.calls.append((kind, arguments))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def test_a_call_of_staff_counts_once():
    now = [1000.0]
    guard = ReplayGuard(lambda: now[0])
    guard.check({"at": 1000.0, "nonce": "a"})
    with pytest.raises(AuthenticationError):
        guard.check({"at": 1000.0, "nonce": "a"})
    guard.check({"at": 1000.0, "nonce": "b"})


@pytest.mark.parametrize("sent_at", [1000.0 - MAX_CALL_AGE_S - 1, 1061.0, None, "1000", [1]])
def test_a_call_of_staff_is_new(sent_at):
    with pytest.raises(AuthenticationError, match="at: expected a new call of the last 60 s"):
        ReplayGuard(lambda: 1000.0).check({"at": sent_at, "nonce": "a"})


def test_a_nonce_is_kept_as_long_as_its_call_could_be_new():
    now = [1000.0]
    guard = ReplayGuard(lambda: now[0])
    sent_at = now[0] + MAX_CALL_AGE_S
    guard.check({"at": sent_at, "nonce": "a"})
    now[0] = sent_at + MAX_CALL_AGE_S
    with pytest.raises(AuthenticationError):
        guard.check({"at": sent_at, "nonce": "a"})


@pytest.mark.parametrize(
    ("answer", "text", "is_finished"),
    [
        (CHANGE, "generation 3: prepared at 1", False),
        (COMMITTED, "generation 3: in force at 2 of 2", True),
        (
            COMMITTED | {"owed": ["g1"], "absent": ["g2"], "reached": 1},
            "generation 3: in force at 1 of 2, not yet at g1; down, to have it when they start: g2",
            False,
        ),
        (
            CHANGE | {"outcome": "aborted", "why": "no word from g1"},
            "generation 3: aborted: no word from g1",
            True,
        ),
        (
            CHANGE | {"outcome": "superseded", "why": "by generation 4"},
            "generation 3: superseded: by generation 4",
            True,
        ),
        (CHANGE | {"outcome": "unknown", "why": "x"}, "generation 3: unknown: x", False),
    ],
)
def test_progress_in_one_line(answer, text, is_finished):
    progress = ChangeProgress.from_answer(answer)
    assert progress.describe() == text
    assert progress.is_finished is is_finished


@pytest.mark.parametrize(
    ("answer", "exit_code"),
    [
        (COMMITTED, ExitCode.DONE),
        (COMMITTED | {"owed": ["g1"]}, ExitCode.IN_DOUBT),
        (CHANGE | {"outcome": "aborted", "why": "refused by g1: x"}, ExitCode.REJECTED),
        (CHANGE | {"outcome": "aborted", "why": "no word from g1"}, ExitCode.ABORTED),
        (CHANGE | {"outcome": "superseded"}, ExitCode.IN_DOUBT),
        (CHANGE, ExitCode.IN_DOUBT),
    ],
)
def test_exit_code_of_a_change(answer, exit_code):
    client = FakeClient(answer)
    found = SettingsCommands(client, as_json=False).propose_again(1, ["g2"], wait_s=0.0)
    assert found == exit_code
    [(kind, arguments)] = client.calls
    assert kind == StaffCall.BACK
    assert (arguments["number"], arguments["without"], arguments["less"]) == (1, ["g2"], True)


def test_a_change_is_followed_to_its_end(monkeypatch, capsys):
    monkeypatch.setattr(commands, "FOLLOW_INTERVAL_S", 0.0)
    lost = rpc_client.NoAnswerError(ADDRESS, "timed out")
    client = FakeClient(CHANGE, CHANGE, lost, COMMITTED)
    code = SettingsCommands(client, as_json=False).propose_again(1, [], wait_s=60.0)
    assert code == ExitCode.DONE
    assert [kind for kind, _ in client.calls] == [StaffCall.BACK] + [StaffCall.CHANGE] * 3
    assert capsys.readouterr().out == "generation 3: in force at 2 of 2\n"


@pytest.mark.parametrize(
    ("answer", "exit_code", "text"),
    [
        (
            rpc_client.NotListeningError(ADDRESS, "refused"),
            ExitCode.IN_DOUBT,
            "nobody listens at 127.0.0.1:9: is the control process up?\n",
        ),
        (
            rpc_client.NoAnswerError(ADDRESS, "timed out"),
            ExitCode.IN_DOUBT,
            "no answer from the control process: timed out\n",
        ),
        ({"refused": "settings", "why": "x"}, ExitCode.INVALID_INPUT, "refused: x\n"),
        ({"refused": "not now", "why": "x"}, ExitCode.REJECTED, "refused: x\n"),
    ],
)
def test_exit_code_of_a_call_that_fails(answer, exit_code, text, capsys):
    with pytest.raises(CommandFailedError) as found:
        SettingsCommands(FakeClient(answer), as_json=False).show_status()
    assert found.value.exit_code == exit_code
    assert capsys.readouterr().out == text


def test_differences_between_generations(capsys):
    before = {"classes": [], "contracts": [{"name": "sold", "ceilingRate": 40}]}
    after = {"classes": [], "contracts": [{"name": "sold", "ceilingRate": 20}]}
    client = FakeClient({"content": before}, {"content": after})
    assert SettingsCommands(client, as_json=False).show_differences("1", "2") == ExitCode.DONE
    assert capsys.readouterr().out == "plan sold: ceiling 40 to 20\n"


@pytest.mark.parametrize("error", [None, OSError(28, "No space left on device")])
def test_a_write_does_not_block_other_greenlets(error):
    scheduler = Scheduler()
    results, turns = [], []

    class SlowStore:
        def save(self, state):
            while not turns:  # another greenlet goes on meanwhile
                pass
            if error:
                raise error

    def write():
        results.append(StateWriter(scheduler, SlowStore()).save("state"))
        scheduler.stop()

    scheduler.call_soon(greenlet.greenlet(write, scheduler.hub).switch)
    scheduler.call_later(0.01, lambda: turns.append(None))
    scheduler.run()
    assert results == [error]
