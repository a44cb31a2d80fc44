"""The commands `petrellane settings ...`: calls to a control process, and their output.

The output is text for a person or one JSON object for a program, on standard output; the progress
of a change goes to standard error where that is a terminal. A command returns its exit code.
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
FOLLOW_INTERVAL_S = 0.1  # between two questions for a change that is followed
PROGRESS_COLUMNS = 78
MAX_DESCRIPTORS = 64
USER_ERRORS = (StaffRejection.SETTINGS, StaffRejection.UNKNOWN, StaffRejection.MALFORMED)


class ExitCode(IntEnum):
    """What a command tells the program that runs it."""

    DONE = 0  # of a change: in force at every gateway that serves
    INVALID_INPUT = 2  # what the user gave is wrong
    REJECTED = 3  # the output says by whom
    ABORTED = 4
    IN_DOUBT = 5  # nobody here can tell what came of it


class CommandFailedError(ConsensusError):
    """A command can't go on; its output has said why.

    Attributes:
        exit_code: the command's exit code.
    """

    def __init__(self, exit_code: ExitCode) -> None:
        super().__init__(exit_code.name)
        self.exit_code = exit_code


class ControlClient:
    """The control process as a command sees it, which owns it while it runs.

    Each call has a scheduler of its own and one connection.
    """

    def __init__(self, config: ControlConfig, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.config = config
        self._timeout_s = timeout_s
        self._limits = call_limits(MAX_DESCRIPTORS, timeout_s)

    def call(self, kind: StaffCall, **arguments: object) -> JsonObject:
        """Return the answer to one call, which may be a rejection. Raises RpcError."""
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
    """The commands, a method each; the command line makes one object a run.

    A method raises CommandFailedError where the control process gives no answer to work with, and
    ConfigError where a file of settings can't be read.
    """

    def __init__(self, client: ControlClient, as_json: bool) -> None:
        self._client = client
        self._as_json = as_json

    def propose(self, path: str, without: list[str], wait_s: float, less: bool) -> ExitCode:
        """Propose the settings of a file, and follow the change.

        Args:
            path: A file with settings, or with a gateway's whole configuration.
            without: Gateways whose process has surely ended, which are left out.
            wait_s: Seconds to follow the change for; 0 is not at all.
            less: Whether keys of the settings in force may be lacking.
        """
        settings = load_settings_file(path)
        return self._change(
            wait_s, StaffCall.PROPOSE, settings=settings, without=without, less=less
        )

    def propose_again(self, number: int, without: list[str], wait_s: float) -> ExitCode:
        """Propose the settings of an earlier generation, and follow the change."""
        return self._change(wait_s, StaffCall.BACK, number=number, without=without, less=True)

    def show_status(self) -> ExitCode:
        """Print what is in force where, and what is under way."""
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
        """Print what changes for whom between two settings.

        Args:
            before: The number of a generation, or a file with settings.
            after: The same.
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

    def _change(self, wait_s: float, kind: StaffCall, **arguments: object) -> ExitCode:
        """Propose a change, follow it, and print what came of it."""
        answer = self._call(kind, by=getpass.getuser(), **arguments)
        answer = self._follow(answer, wait_s)
        progress = ChangeProgress.from_answer(answer)
        self._print(answer, progress.describe())
        return _exit_code_of(progress)

    def _follow(self, answer: JsonObject, wait_s: float) -> JsonObject:
        """Ask for a change until it is finished or the time is over; return the last answer."""
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
        """Replace the line on a terminal, where it differs; return the line that is shown."""
        line = progress.describe()
        if line == shown or self._as_json or not sys.stderr.isatty():
            return shown
        print(f"\r{line:{PROGRESS_COLUMNS}}", end="", file=sys.stderr, flush=True)
        return line

    def _call(self, kind: StaffCall, **arguments: object) -> JsonObject:
        """Return the answer to a call; print why there is none, or that it was rejected."""
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
    """Return the answer to `status` in words, a line for each gateway."""
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
        return ExitCode.IN_DOUBT if progress.owed else ExitCode.DONE
    if progress.outcome == ChangeOutcome.ABORTED:
        return ExitCode.REJECTED if is_rejection(progress.reason) else ExitCode.ABORTED
    return ExitCode.IN_DOUBT
