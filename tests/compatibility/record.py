"""Make the recordings from a checkout: python tests/compatibility/record.py CHECKOUT [PART...].

The program is taken from CHECKOUT, what plays it (build/) and where recordings go from here; so the
names in build/ have to be those of that checkout. Parts: simulation, handover, agreement,
management, measured, processes. All by default.
"""

import importlib
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
HASH_SEED_VARIABLE = "PYTHONHASHSEED"
HASH_SEED = "0"  # as the workers of the digests have it


def import_from(checkout: str) -> None:
    """Import the program and its benchmarks from a checkout, these tests from here."""
    root = str(HERE.parent.parent)
    sys.path[:] = [path for path in sys.path if pathlib.Path(path or ".").resolve() != HERE]
    sys.path[:0] = [str(pathlib.Path(checkout).resolve()), root]
    tests = importlib.import_module("tests")
    tests.__path__ = [str(HERE.parent)]


def main(checkout: str, *parts: str) -> None:
    """Record some parts, or all."""
    import_from(checkout)
    recording = importlib.import_module("tests.compatibility.recording")
    for part in parts or recording.PARTS:
        recording.PARTS[part](pathlib.Path(checkout).resolve())
        print(f"{part}: recorded")


if __name__ == "__main__":
    if os.environ.get(HASH_SEED_VARIABLE) != HASH_SEED:
        environment = {**os.environ, HASH_SEED_VARIABLE: HASH_SEED}
        os.execve(sys.executable, [sys.executable, *sys.argv], environment)
    main(*sys.argv[1:])
