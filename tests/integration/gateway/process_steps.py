"""Steps that start processes: the command line, and a gateway process that receives signals."""

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

from tests.integration.gateway.harness import STEP_TIMEOUT_S, Harness

COMMAND_S = 60  # the real time after which a command counts as hung
PROGRAM = [sys.executable, "-m", "petrellane"]


class ProcessSteps(Harness):
    """Runs the program with the configuration of the last `config` step."""

    def do_command(self, name: str, code: str, *words: str) -> None:
        """Run a command with PROXY_* variables; check its exit code and its output."""
        variables = [word for word in words if word.startswith("PROXY_") and "=" in word]
        given = dict(word.split("=", 1) for word in variables)
        expected = " ".join(word for word in words if word.partition("=")[0] not in given)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(self.config, file)
            file.flush()
            completed = subprocess.run(
                [*PROGRAM, *name.split("+")],
                capture_output=True,
                text=True,
                env={**os.environ, "PROXY_CONFIG": file.name, **given},
                timeout=COMMAND_S,
                check=False,
            )
        output = completed.stdout + completed.stderr
        assert completed.returncode == int(code), (completed.returncode, output)
        assert expected in output, (completed.returncode, output)

    def do_hup(self) -> None:
        """Send SIGHUP to a process, with valid and with invalid files, then SIGTERM."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            valid = json.dumps(self.config)
            path.write_text(valid)
            with started_process(path) as process:
                wait_for_event(process, "started")
                process.send_signal(signal.SIGHUP)
                wait_for_event(process, "reloaded")
                path.write_text("not JSON")
                process.send_signal(signal.SIGHUP)
                wait_for_event(process, "reload_rejected")
                path.write_text(valid)
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                wait_for_event(process, "reloaded")
                path.write_text("not JSON")
                process.send_signal(signal.SIGHUP)
                wait_for_event(process, "ended")
                assert process.wait(STEP_TIMEOUT_S) == 0

    def do_signal_while_starting(self, signal_name: str) -> None:
        """Send a signal while a process still reads its configuration, then send SIGTERM."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            valid = json.dumps(self.config).encode()
            os.mkfifo(path)
            with started_process(path) as process:
                with path.open("wb") as pipe:  # blocks until the process opens the file
                    replacement = Path(folder, "config.json.new")
                    replacement.write_bytes(valid)
                    replacement.rename(path)
                    process.send_signal(getattr(signal, signal_name))
                    pipe.write(valid)
                kill_timer = threading.Timer(STEP_TIMEOUT_S, process.kill)
                kill_timer.start()
                if signal_name == "SIGHUP":
                    wait_for_event(process, "reloaded")
                process.send_signal(signal.SIGTERM)
                events = [json.loads(line)["event"] for line in process.stdout]
                assert process.wait(STEP_TIMEOUT_S) == 0, (process.returncode, events)
                assert events[-1] == "ended", events
                kill_timer.cancel()


@contextlib.contextmanager
def started_process(path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Run a gateway process with a configuration file; kill it at the end."""
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
    """Read the log of a process up to the next line with an event."""
    while json.loads(process.stdout.readline())["event"] != event:
        pass
