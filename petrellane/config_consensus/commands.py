"""The commands `petrellane settings ...`, which call a control process and print its answer.

A command prints text or one JSON object on standard output. If standard error is a terminal, a
command that prints text also shows the progress of a change there. It returns its exit code.
"""

import getpass
import json
import sys
import time
from enum import IntEnum

import greenlet

from petrellane.config import load_settings_file
from petrellane.config.consensus import ControlConfig
from petrellane.config_consensus import settings_diff
from petrellane.config_consensus.changes import ChangeOutcome, is_rejection
from petrellane.config_consensus.errors import ConsensusError
from petrellane.config_consensus.message_authentication import STAFF_PATH
from petrellane.config_consensus.messages import JsonObject
from petrellane.config_consensus.rpc_client import (
    NotListeningError,
    RpcClient,
    RpcError,
    call_limits,
)
from petrellane.config_consensus.staff_messages import (
    CONTROL_RECIPIENT,
    ChangeProgress,
    StaffCall,
    StaffRejection,
)
from petrellane.net.scheduler import Scheduler

CALL_TIMEOUT_S = 3.0
FOLLOW_INTERVAL_S = 0.1  # pause before each query for the progress of a change
PROGRESS_COLUMNS = 78
MAX_DESCRIPTORS = 64
USER_ERRORS = (StaffRejection.SETTINGS, StaffRejection.UNKNOWN, StaffRejection.MALFORMED)


class ExitCode(IntEnum):
    """The exit codes of a command."""

    DONE = 0  # for a change: in force at every gateway that is not down
    INVALID_INPUT = 2
    REJECTED = 3  # by the control process or by a gateway, which the output names
    ABORTED = 4
    IN_DOUBT = 5  # the outcome is unknown or pending, or the control process did not answer


class CommandFailedError(ConsensusError):
    """A command failed and has printed the reason.

    Attributes:
        exit_code: The exit code of the command.
    """

    def __init__(self, exit_code: ExitCode) -> None:
        super().__init__(exit_code.name)
        self.exit_code = exit_code


class ControlClient:
    """A client of the control process, owned by the command that uses it.

    Each call creates its own scheduler and RPC client.
    """

    def __init__(self, config: ControlConfig, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.config = config
        self._timeout_s = timeout_s
        self._limits = call_limits(MAX_DESCRIPTORS, timeout_s)

    def call(self, kind: StaffCall, **arguments: object) -> JsonObject:
        """Send one call and return the answer, which may be a rejection.

        Raises:
            RpcError: The control process did not answer.
        """
        scheduler = Scheduler()
        client = RpcClient(scheduler, self._limits, self.config.key)
        message = {"do": kind, "to": CONTROL_RECIPIENT, **arguments}
        results: list[JsonObject | RpcError] = []

        def call() -> None:
            try:
                results.append(
                    client.call(self.config.listen, STAFF_PATH, message, self._timeout_s)
                )
            except RpcError as error:
                results.append(error)
            scheduler.stop()

        scheduler.call_soon(greenlet.greenlet(call, scheduler.hub).switch)
        scheduler.run()
        result = results[0]
        if isinstance(result, RpcError):
            raise result
        return result


class SettingsCommands:
    """Implements each command as a method; the command line creates one object per run.

    A method raises CommandFailedError if the control process does not answer or rejects the call,
    and ConfigError if a settings file cannot be read.
    """

    def __init__(self, client: ControlClient, as_json: bool) -> None:
        self._client = client
        self._as_json = as_json

    def propose(
        self, path: str, without: list[str], wait_s: float, allow_missing_keys: bool
    ) -> ExitCode:
        """Propose the settings in a file and wait for the change.

        Args:
            path: A file with settings, or with the whole configuration of a gateway.
            without: The gateways to exclude from the vote, because their processes have ended.
            wait_s: The maximum time to wait for the change, in seconds; 0 to return immediately.
            allow_missing_keys: Whether the file may lack keys of the settings in force.
        """
        settings = load_settings_file(path)
        return self._propose_and_follow(
            wait_s, StaffCall.PROPOSE, settings=settings, without=without, less=allow_missing_keys
        )

    def propose_again(self, number: int, without: list[str], wait_s: float) -> ExitCode:
        """Propose the settings of an earlier generation and wait for the change."""
        return self._propose_and_follow(
            wait_s, StaffCall.BACK, number=number, without=without, less=True
        )

    def show_status(self) -> ExitCode:
        """Print the settings in force, the change in progress and the state of each gateway."""
        answer = self._call(StaffCall.STATUS)
        self._print(answer, _describe_status(answer))
        return ExitCode.DONE

    def show_history(self) -> ExitCode:
        """Print all changes and their outcomes."""
        answer = self._call(StaffCall.HISTORY)
        lines = [
            f"{change['number']:5} {change['outcome']:10} {change['by']:12} {change['why']}"
            for change in answer["history"]
        ]
        self._print(answer, "\n".join(lines) or "no change yet")
        return ExitCode.DONE

    def show_generation(self, number: int) -> ExitCode:
        """Print the settings of a generation."""
        answer = self._call(StaffCall.SHOW, number=number)
        self._print(answer, json.dumps(answer["content"], indent=1, sort_keys=True))
        return ExitCode.DONE

    def show_differences(self, before: str, after: str) -> ExitCode:
        """Print the differences between two versions of the settings.

        Args:
            before: The number of a generation, or a file with settings.
            after: The same, for the second version.
        """
        contents = [self._read_settings(source) for source in (before, after)]
        lines = settings_diff.describe_changes(*contents)
        self._print({"lines": lines}, "\n".join(lines) or "they say the same")
        return ExitCode.DONE

    def _read_settings(self, source: str) -> JsonObject:
        if not source.isdecimal():
            return load_settings_file(source)
        content: JsonObject = self._call(StaffCall.SHOW, number=int(source))["content"]
        return content

    def _propose_and_follow(self, wait_s: float, kind: StaffCall, **arguments: object) -> ExitCode:
        """Propose a change, wait for it, and print its outcome."""
        answer = self._call(kind, by=getpass.getuser(), **arguments)
        answer = self._follow(answer, wait_s)
        progress = ChangeProgress.from_answer(answer)
        self._print(answer, progress.describe())
        return _exit_code_of(progress)

    def _follow(self, answer: JsonObject, wait_s: float) -> JsonObject:
        """Poll a change until it is finished or the wait times out; return the last answer."""
        deadline = time.monotonic() + wait_s
        progress = ChangeProgress.from_answer(answer)
        number = progress.number
        shown = ""
        while not progress.is_finished and time.monotonic() < deadline:
            shown = self._show_progress(progress, shown)
            time.sleep(FOLLOW_INTERVAL_S)
            try:
                answer = self._client.call(StaffCall.CHANGE, number=number)
            except RpcError:
                reason = "the control process does not answer any more"
                answer = answer | {"outcome": ChangeOutcome.UNKNOWN, "why": reason}
            progress = ChangeProgress.from_answer(answer)
        if shown:
            print(file=sys.stderr)
        return answer

    def _show_progress(self, progress: ChangeProgress, shown: str) -> str:
        """Show new progress on the terminal, and return the text that is shown there."""
        line = progress.describe()
        if line == shown or self._as_json or not sys.stderr.isatty():
            return shown
        print(f"\r{line:{PROGRESS_COLUMNS}}", end="", file=sys.stderr, flush=True)
        return line

    def _call(self, kind: StaffCall, **arguments: object) -> JsonObject:
        """Return the answer to a call; print the reason and raise if it fails or is rejected."""
        try:
            answer = self._client.call(kind, **arguments)
        except NotListeningError:
            host, port = self._client.config.listen
            text = f"nobody listens at {host}:{port}: is the control process up?"
            self._print({"outcome": "no control process"}, text)
            raise CommandFailedError(ExitCode.IN_DOUBT) from None
        except RpcError as error:
            text = f"no answer from the control process: {error}"
            self._print({"outcome": "no answer", "why": str(error)}, text)
            raise CommandFailedError(ExitCode.IN_DOUBT) from None
        if "refused" in answer:
            self._print({"outcome": "refused", **answer}, f"refused: {answer['why']}")
            is_user_error = answer["refused"] in USER_ERRORS
            raise CommandFailedError(ExitCode.INVALID_INPUT if is_user_error else ExitCode.REJECTED)
        return answer

    def _print(self, answer: JsonObject, text: str) -> None:
        print(json.dumps(answer) if self._as_json else text)


def _describe_status(answer: JsonObject) -> str:
    """Return the answer to `status` as text, with one line per gateway."""
    in_force = answer["in_force"]
    reason = f" ({answer['why']})" if answer["why"] else ""
    generation = "not known yet"
    if in_force:
        generation = f"generation {in_force['number']}, {in_force['digest']}"
    lines = [
        f"control {answer['control']}: {answer['state']}, epoch {answer['epoch'][0]}{reason}",
        f"in force: {generation}",
    ]
    if answer["under_way"]:
        progress = ChangeProgress.from_answer(answer["under_way"])
        lines.append(f"under way: {progress.describe()}")
    for name, participant in answer["gateways"].items():
        number = participant["number"]
        suffix = "" if number is None else f" (generation {number})"
        lines.append(f"  {name:20} {participant['state']}{suffix}")
    return "\n".join(lines)


def _exit_code_of(progress: ChangeProgress) -> ExitCode:
    if progress.outcome == ChangeOutcome.COMMITTED:
        return ExitCode.IN_DOUBT if progress.pending else ExitCode.DONE
    if progress.outcome == ChangeOutcome.ABORTED:
        return ExitCode.REJECTED if is_rejection(progress.reason) else ExitCode.ABORTED
    return ExitCode.IN_DOUBT
