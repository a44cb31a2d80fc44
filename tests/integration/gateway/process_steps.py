"""Steps that start whole processes: the command line, and signals at a process of a gateway."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator
from pathlib import Path

from tests.integration.gateway.harness import PATIENCE_S, Harness

COMMAND_S = 60  # real time after which a command counts as hanging
PROGRAM = [sys.executable, "-m", "petrellane"]


class ProcessSteps(Harness):
    """Run the program with the configuration of the last step `config`."""

    def do_command(self, name: str, code: str, *words: str) -> None:
        """Run a command with these PROXY_* variables; check its exit code and text."""
        variables = [word for word in words if word.startswith("PROXY_") and "=" in word]
        given = dict(word.split("=", 1) for word in variables)
        expected = " ".join(word for word in words if word.partition("=")[0] not in given)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(self.config, file)
            file.flush()
            ended = subprocess.run(
                [*PROGRAM, *name.split("+")],
                capture_output=True,
                text=True,
                env={**os.environ, "PROXY_CONFIG": file.name, **given},
                timeout=COMMAND_S,
                check=False,
            )
        output = ended.stdout + ended.stderr
        assert ended.returncode == int(code), (ended.returncode, output)
        assert expected in output, (ended.returncode, output)

    def do_hup(self) -> None:
        """Send SIGHUP to a process, also with a wrong file, then SIGTERM."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            right = json.dumps(self.config)
            path.write_text(right)
            with started_process(path) as process:
                wait_for_event(process, "started")
                process.send_signal(signal.SIGHUP)
                wait_for_event(process, "reloaded")
                path.write_text("not JSON")
                process.send_signal(signal.SIGHUP)
                wait_for_event(process, "reload_rejected")
                path.write_text(right)
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                wait_for_event(process, "reloaded")
                path.write_text("not JSON")
                process.send_signal(signal.SIGHUP)
                wait_for_event(process, "ended")
                assert process.wait(PATIENCE_S) == 0

    def do_signal_while_starting(self, signal_name: str) -> None:
        """Send a signal to a process that still reads its configuration, then SIGTERM."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            right = json.dumps(self.config).encode()
            os.mkfifo(path)
            with started_process(path) as process:
                with path.open("wb") as pipe:  # open once the process reads it
                    replacement = Path(folder, "config.json.new")
                    replacement.write_bytes(right)
                    replacement.rename(path)
                    process.send_signal(getattr(signal, signal_name))
                    pipe.write(right)
                limit = threading.Timer(PATIENCE_S, process.kill)
                limit.start()
                if signal_name == "SIGHUP":
                    wait_for_event(process, "reloaded")
                process.send_signal(signal.SIGTERM)
                events = [json.loads(line)["event"] for line in process.stdout]
                assert process.wait(PATIENCE_S) == 0, (process.returncode, events)
                assert events[-1] == "ended", events
                limit.cancel()


@contextlib.contextmanager
def started_process(path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Run a gateway's process with this file of configuration; it is gone at the end."""
    process = subprocess.Popen(
        [*PROGRAM, "serve"],
        stdout=subprocess.PIPE,
        env={**os.environ, "PROXY_CONFIG": str(path)},
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def wait_for_event(process: subprocess.Popen[bytes], event: str) -> None:
    """Read a process's log up to the line with this event."""
    while json.loads(process.stdout.readline())["event"] != event:
        pass
