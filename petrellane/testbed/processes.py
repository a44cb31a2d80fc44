"""Processes of a run: started, told signals by their own id, and surely ended.

A process dies with the lab whatever ends that: the kernel is asked to kill it when its parent goes (prctl, Linux). Its
standard output is read line by line, its standard error kept for when it ends in an unexpected way.
"""

import ctypes
import os
import select
import signal
import subprocess
import sys
import tempfile

import orjson

DEATH = 1  # PR_SET_PDEATHSIG
LIBC = ctypes.CDLL(None, use_errno=True)


def tied():
    LIBC.prctl(DEATH, signal.SIGKILL)


class Process:
    """One process of the program; `heard` is told of each JSON line that it logs, `ended` of its end, once. `module` is what
    is run, by another `python` from another folder where a build of its own is."""

    def __init__(
        self,
        scheduler,
        name,
        words,
        environ,
        heard,
        ended,
        folder,
        skew=0.0,
        python=sys.executable,
        cwd=None,
        descriptors=(),
        module="petrellane",
    ):
        self.scheduler, self.name, self.heard, self.ended = scheduler, name, heard, ended
        self.errors = tempfile.TemporaryFile(dir=folder)
        module = "petrellane.testbed.clock_skew" if skew else module
        self.process = subprocess.Popen(
            [python, "-m", module, *words],
            stdout=subprocess.PIPE,
            stderr=self.errors,
            stdin=subprocess.DEVNULL,
            cwd=cwd,
            env={**os.environ, **environ, **({"LAB_SKEW": str(skew)} if skew else {})},
            preexec_fn=tied,
            pass_fds=descriptors,
        )
        self.buffer, self.expected, self.stopped = b"", False, False
        os.set_blocking(self.process.stdout.fileno(), False)
        scheduler.register(
            self.process.stdout.fileno(), select.POLLIN, self.read, urgent=True
        )  # its end before all else

    @property
    def up(self):
        return self.process.poll() is None

    def read(self, events):
        try:
            data = os.read(self.process.stdout.fileno(), 1 << 16)
        except BlockingIOError:
            return
        if not data:
            self.scheduler.unregister(self.process.stdout.fileno())
            self.process.stdout.close()
            self.process.wait()
            self.ended(self)
            return
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            try:
                self.heard(self, orjson.loads(line))
            except orjson.JSONDecodeError:
                self.heard(self, {"event": "unreadable", "line": line[:200].decode("latin-1")})

    def signal(self, number):
        if self.up:
            self.process.send_signal(number)

    def kill(self):
        self.expected = True
        self.signal(signal.SIGKILL)

    def stop(self):
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go_on(self):
        self.stopped = False
        self.signal(signal.SIGCONT)

    def close(self):
        """End it for good and give back what it held."""
        self.expected = True
        if self.up:
            self.process.kill()
        self.process.wait()
        if not self.process.stdout.closed:
            if self.process.stdout.fileno() in self.scheduler.calls:
                self.scheduler.unregister(self.process.stdout.fileno())
            self.process.stdout.close()
        self.errors.close()

    def said(self):
        """The end of what it wrote to standard error."""
        self.errors.seek(0)
        return self.errors.read()[-2000:].decode("utf-8", "replace").strip()
