"""Processes of a run: started, signalled by their own id, and surely ended.

A process dies with its parent however that ends: the kernel is asked to kill it then (prctl,
Linux). Its standard output is read line by line, its standard error kept for when it ends in an
unexpected way.
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

PR_SET_PDEATHSIG = 1  # of linux/prctl.h
LIBC = ctypes.CDLL(None, use_errno=True)
PROGRAM = "petrellane"
CLOCK_SKEW_PROGRAM = "petrellane.testbed.clock_skew"
READ_SIZE = 1 << 16
MAXIMUM_STDERR = 2000  # bytes of standard error that are reported
MAXIMUM_QUOTED = 200  # bytes of an output line that is no JSON

LogEvent = dict[str, Any]  # one line of a process's log


def die_with_parent() -> None:
    """Ask the kernel to kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(frozen=True)
class Build:
    """Which build of the program is run.

    Attributes:
        module: The module that is run.
        python: The interpreter.
        cwd: The folder that it is run in; None for this process's.
    """

    module: str = PROGRAM
    python: str = sys.executable
    cwd: str | None = None


@dataclass(frozen=True)
class ProcessSpec:
    """What is run.

    Attributes:
        name: For messages.
        arguments: Of the command line.
        folder: Where its standard error is kept.
        environ: Variables beside those of this process.
        build: The build of the program.
        skew_s: Seconds by which its system clock is off.
        descriptors: Open descriptors that it inherits.
    """

    name: str
    arguments: list[str]
    folder: str
    environ: Mapping[str, str] = field(default_factory=dict)
    build: Build = field(default_factory=Build)
    skew_s: float = 0.0
    descriptors: tuple[int, ...] = ()


class Crash(NamedTuple):
    """A process ended in an unexpected way, or logged a fault.

    `code` is its exit code, or "fault"; `text` is what it wrote.
    """

    name: str
    code: int | str
    text: str | None


class Process:
    """One process of the program, from its start until `close`.

    Attributes:
        name: For messages.
        popen: The process.
        expected: Whether its end is no crash.
        paused: Whether it was sent SIGSTOP.
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
            scheduler: Watches its standard output.
            spec: What is run.
            on_event: Called with each JSON line that it logs.
            on_ended: Called once, when it has ended.
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
            raise RuntimeError(f"{spec.name}: expected a pipe for its standard output, found none")
        self._stdout = self.popen.stdout
        os.set_blocking(self._stdout.fileno(), False)
        # Urgent: its end is seen before what its connections bring in the same turn.
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
            preexec_fn=die_with_parent,
            pass_fds=spec.descriptors,
        )

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal; no effect once it has ended."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill it; its end is expected."""
        self.expected = True
        self.signal(signal.SIGKILL)

    def pause(self) -> None:
        """Stop it until `resume`, as a machine that stands still."""
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self.paused = False
        self.signal(signal.SIGCONT)

    def close(self) -> None:
        """End it for good, and give back what it held."""
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
        """Return the end of what it wrote to standard error."""
        self._stderr.seek(0)
        return self._stderr.read()[-MAXIMUM_STDERR:].decode("utf-8", "replace").strip()

    def read_output(self) -> None:
        """Report all that it has logged by now, and its end where it has ended.

        Lines and the end may be there at once; then the end is reported in the same call, as it is
        to be known before what other descriptors tell of it.
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
    """Return the event of an output line; one named `unreadable` where it holds none."""
    try:
        event: LogEvent = orjson.loads(line)
    except orjson.JSONDecodeError:
        return {"event": "unreadable", "line": line[:MAXIMUM_QUOTED].decode("latin-1")}
    return event
