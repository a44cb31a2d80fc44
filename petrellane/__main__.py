"""Run the command line."""

import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:    # what comes before it can be heard waits: by default it would kill the process
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    from petrellane.cli import app
    app(prog_name="petrellane")
