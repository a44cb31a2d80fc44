"""Run the command line; `serve` without it: to import that takes longer than to start a gateway."""

import os
import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:2] == [
        "serve"
    ]:  # what comes before it can be heard waits: by default it would kill the process
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    if sys.argv[1:] == ["serve"]:
        from petrellane.gateway.process import serve

        sys.exit(serve(os.environ))
    from petrellane.cli import app

    app(prog_name="petrellane")
