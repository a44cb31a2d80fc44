"""Child processes of a run: starts them, signals them by their process ids and ends them.

The kernel kills a child when its parent exits for any reason (PR_SET_PDEATHSIG, Linux). The parent
reads the child's standard output line by line, and keeps its standard error for crash reports.
"""

import ctypes
import os
import select
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from petrellane.net.scheduler import Scheduler
from petrellane.testbed.clock_skew import SKEW_VARIABLE

PR_SET_PDEATHSIG = 1  # from linux/prctl.h
LIBC = ctypes.CDLL(None, use_errno=True)
PROGRAM = "petrellane"
CLOCK_SKEW_PROGRAM = "petrellane.testbed.clock_skew"
READ_SIZE = 1 << 16
MAXIMUM_STDERR = 2000  # bytes of standard error in a crash report
MAXIMUM_QUOTED = 200  # bytes quoted of an output line that is not JSON

LogEvent = dict[str, Any]  # a decoded line of a process's log


def kill_on_parent_exit() -> None:
    """Ask the kernel to kill this process when its parent exits."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(frozen=True)
class Build:
    """The build of the program that a process runs.

    Attributes:
        module: The module to run.
        python: The interpreter.
        cwd: The working directory; None for that of this process.
    """

    module: str = PROGRAM
    python: str = sys.executable
    cwd: str | None = None


@dataclass(frozen=True)
class ProcessSpec:
    """The description of a process to start.

    Attributes:
        name: The name of the process in messages.
        arguments: The command-line arguments.
        folder: The directory of the temporary file that stores standard error.
        environ: The environment variables to add to those of this process.
        build: The build of the program to run.
        skew_s: The skew of the process's system clock, in seconds.
        descriptors: The open descriptors that the process inherits.
    """

    name: str
    arguments: list[str]
    folder: str
    environ: Mapping[str, str] = field(default_factory=dict)
    build: Build = field(default_factory=Build)
    skew_s: float = 0.0
    descriptors: tuple[int, ...] = ()


class Crash(NamedTuple):
    """An unexpected exit of a process, or a fault that it logged.

    Attributes:
        name: The name of the process.
        code: The exit code, or "fault" for a logged fault.
        text: The text that the process wrote about it.
    """

    name: str
    code: int | str
    text: str | None


class Process:
    """A process of the program, from its start until `close`; owned by its fleet or scale run.

    Attributes:
        name: The name of the process in messages.
        popen: The process handle.
        expected: Whether the exit of the process is expected, so that it is not a crash.
        paused: Whether the process was paused by SIGSTOP.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        spec: ProcessSpec,
        on_event: Callable[["Process", LogEvent], object],
        on_ended: Callable[["Process"], object],
    ) -> None:
        """Start a process.

        Args:
            scheduler: The scheduler that watches the standard output of the process.
            spec: The process to start.
            on_event: The function called with each JSON line that the process logs.
            on_ended: The function called once, when the process has exited.
        """
        self.name = spec.name
        self.expected = False
        self.paused = False
        self._scheduler = scheduler
        self._on_event = on_event
        self._on_ended = on_ended
        self._buffer = b""
        self._stderr = tempfile.TemporaryFile(dir=spec.folder)  # noqa: SIM115 - until `close`
        self.popen = self._start(spec)
        if self.popen.stdout is None:
            raise RuntimeError(f"{spec.name}: expected a pipe for its standard output, found None")
        self._stdout = self.popen.stdout
        os.set_blocking(self._stdout.fileno(), False)
        # Urgent: the exit is handled before events of the process's connections in the same turn.
        scheduler.register(self._stdout.fileno(), select.POLLIN, self._on_output, urgent=True)

    def _start(self, spec: ProcessSpec) -> subprocess.Popen[bytes]:
        module = CLOCK_SKEW_PROGRAM if spec.skew_s else spec.build.module
        environ = {**os.environ, **spec.environ}
        if spec.skew_s:
            environ[SKEW_VARIABLE] = str(spec.skew_s)
        return subprocess.Popen(
            [spec.build.python, "-m", module, *spec.arguments],
            stdout=subprocess.PIPE,
            stderr=self._stderr,
            stdin=subprocess.DEVNULL,
            cwd=spec.build.cwd,
            env=environ,
            preexec_fn=kill_on_parent_exit,
            pass_fds=spec.descriptors,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal; no effect after the process has exited."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, and mark its exit as expected."""
        self.expected = True
        self.signal(signal.SIGKILL)

    def pause(self) -> None:
        """Suspend the process until `resume`, as if its machine had stalled."""
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process after `pause`."""
        self.paused = False
        self.signal(signal.SIGCONT)

    def close(self) -> None:
        """Kill the process if it still runs, wait for its exit and release its resources."""
        self.expected = True
        if self.is_running:
            self.popen.kill()
        self.popen.wait()
        if not self._stdout.closed:
            if self._stdout.fileno() in self._scheduler.event_handlers:
                self._scheduler.unregister(self._stdout.fileno())
            self._stdout.close()
        self._stderr.close()

    def stderr_tail(self) -> str:
        """Return the last bytes of the process's standard error as text."""
        self._stderr.seek(0)
        return self._stderr.read()[-MAXIMUM_STDERR:].decode("utf-8", "replace").strip()

    def read_output(self) -> None:
        """Report all log lines available on standard output, and the exit of the process.

        If lines and end of file are both available, the same call reports the exit as well, because
        the testbed must know of it before it handles events of other descriptors that result from
        the exit.
        """
        while not self._stdout.closed:
            try:
                data = os.read(self._stdout.fileno(), READ_SIZE)
            except BlockingIOError:
                return
            if data:
                self._report_lines(data)
            else:
                self._report_end()

    def _on_output(self, _: int) -> None:
        self.read_output()

    def _report_lines(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            self._on_event(self, _parse_event(line))

    def _report_end(self) -> None:
        self._scheduler.unregister(self._stdout.fileno())
        self._stdout.close()
        self.popen.wait()
        self._on_ended(self)


def _parse_event(line: bytes) -> LogEvent:
    """Return the event of an output line; an `unreadable` event if the line is not JSON."""
    try:
        event: LogEvent = orjson.loads(line)
    except orjson.JSONDecodeError:
        return {"event": "unreadable", "line": line[:MAXIMUM_QUOTED].decode("latin-1")}
    return event
