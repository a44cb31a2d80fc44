"""The entry point of `python -m petrellane`.

Runs the command line. `serve` without options starts the gateway directly, because importing the
command line takes longer than starting a gateway.
"""

import gc
import os
import signal
import sys


def main() -> None:
    """Run the command that the command-line arguments select."""
    if sys.argv[1:2] == ["serve"]:
        # Blocks these signals until the gateway handles them: their default action would kill it.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    if sys.argv[1:] == ["serve"]:
        # The imported modules live as long as the process, so collecting garbage during the imports
        # only costs time. `serve` enables garbage collection before it runs the gateway.
        gc.disable()
        from petrellane.gateway.process import serve

        sys.exit(serve(os.environ))
    from petrellane.cli import app

    app(prog_name="petrellane")


if __name__ == "__main__":
    main()
