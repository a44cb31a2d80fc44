"""The exit codes and the output of staff commands, by the answer of the control process."""

import pytest

from petrellane.config.consensus import ControlConfig
from petrellane.config_consensus import commands, rpc_client
from petrellane.config_consensus.commands import (
    CommandFailedError,
    ControlClient,
    ExitCode,
    SettingsCommands,
)
from petrellane.config_consensus.messages import JsonObject
from petrellane.config_consensus.staff_messages import ChangeProgress, StaffCall

ADDRESS = ("127.0.0.1", 9)
CHANGE: JsonObject = {
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


class FakeClient(ControlClient):
    """A client that returns or raises the given answers in turn and records the calls.

    Attributes:
        answers: The answers and errors that have not been used yet.
        calls: The kind and the arguments of each call.
    """

    def __init__(self, *answers: JsonObject | rpc_client.RpcError) -> None:
        super().__init__(ControlConfig("c", ADDRESS, "", b"", {}))
        self.answers = list(answers)
        self.calls: list[tuple[StaffCall, dict[str, object]]] = []

    def call(self, kind: StaffCall, **arguments: object) -> JsonObject:
        """Return the next answer, or raise it if it is an error."""
        self.calls.append((kind, arguments))
        answer = self.answers.pop(0)
        if isinstance(answer, rpc_client.RpcError):
            raise answer
        return answer


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
def test_progress_in_one_line(answer: JsonObject, text: str, is_finished: bool) -> None:
    """Each outcome has its text, and only some of them are final."""
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
def test_exit_code_of_a_change(answer: JsonObject, exit_code: ExitCode) -> None:
    """The exit code tells a script the outcome of a change."""
    client = FakeClient(answer)
    code = SettingsCommands(client, as_json=False).propose_again(1, ["g2"], wait_s=0.0)
    assert code == exit_code
    [(kind, arguments)] = client.calls
    assert kind == StaffCall.BACK
    assert (arguments["number"], arguments["without"], arguments["less"]) == (1, ["g2"], True)


def test_a_change_is_followed_to_its_end(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """A command follows a change to its end despite a lost answer."""
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
def test_exit_code_of_a_call_that_fails(
    answer: JsonObject | rpc_client.RpcError,
    exit_code: ExitCode,
    text: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The output states the cause in one line."""
    with pytest.raises(CommandFailedError) as failure:
        SettingsCommands(FakeClient(answer), as_json=False).show_status()
    assert failure.value.exit_code == exit_code
    assert capsys.readouterr().out == text


def test_differences_between_generations(capsys: pytest.CaptureFixture[str]) -> None:
    """Two generations are compared by their contents."""
    before = {"classes": [], "contracts": [{"name": "sold", "ceilingRate": 40}]}
    after = {"classes": [], "contracts": [{"name": "sold", "ceilingRate": 20}]}
    client = FakeClient({"content": before}, {"content": after})
    assert SettingsCommands(client, as_json=False).show_differences("1", "2") == ExitCode.DONE
    assert capsys.readouterr().out == "plan sold: ceiling 40 to 20\n"
