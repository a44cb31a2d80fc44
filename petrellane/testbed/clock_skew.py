"""Entry point that runs petrellane with a system clock skewed by LAB_SKEW seconds.

    LAB_SKEW=2.5 python -m petrellane.testbed.clock_skew serve

The program is run by module name, as by `python -m petrellane`: this module imports none of its
code.
"""

import os
import runpy
import time

SKEW_VARIABLE = "LAB_SKEW"


def main() -> None:
    """Replace `time.time` with a skewed clock, and run the program."""
    true_time = time.time
    skew_s = float(os.environ.get(SKEW_VARIABLE, "0"))

    def time_with_offset() -> float:
        return true_time() + skew_s

    time.time = time_with_offset
    runpy.run_module("petrellane", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
