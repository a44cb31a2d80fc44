"""The entry point of `python -m petrellane`.

Runs the command line, except that plain `serve` starts without it: its import takes longer than the
start of a gateway.
"""

import gc
import os
import signal
import sys


def main() -> None:
    """Run the command that the arguments name."""
    if sys.argv[1:2] == ["serve"]:
        # Signals that arrive before the gateway handles them wait: by default they would kill it.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    if sys.argv[1:] == ["serve"]:
        # What a start imports lives as long as the process: to collect garbage meanwhile only costs
        # time. `serve` enables collections before it runs.
        gc.disable()
        from petrellane.gateway.process import serve

        sys.exit(serve(os.environ))
    from petrellane.cli import app

    app(prog_name="petrellane")


if __name__ == "__main__":
    main()
