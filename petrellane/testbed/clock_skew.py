"""Runs the command line with a system clock that is off by LAB_SKEW seconds: `python -m petrellane.testbed.clock_skew serve`."""

import os
import time


def main():
    true, off = time.time, float(os.environ.get("LAB_SKEW", "0"))
    time.time = lambda: true() + off
    from petrellane.cli import app

    app()


if __name__ == "__main__":
    main()
