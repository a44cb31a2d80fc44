"""The digest of a simulated run: one sha256 over its records as text; any other digit shows.

A record is one line: its label, then its values. Floats stand in full (repr), texts and None as in
JSON, sequences in brackets. Four digests a scenario: what happened, what gateways still hold at the
end, what the rules say, and each step that the decisions answered with.
"""

import hashlib
import json
import multiprocessing
import os
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from tests.compatibility import build

NAMES = (
    *(f"draw {seed}" for seed in range(140)),
    *(f"followed {seed}" for seed in range(30)),
    *(f"neighbour {seed}" for seed in range(10)),
)
WORKERS = 2
HASH_SEED = "0"
PARTS = ("happened", "remains", "rules", "decided")


def text_of(value: Any) -> str:
    """A plain value as canonical text."""
    if isinstance(value, (list, tuple)):
        return "[" + " ".join(map(text_of, value)) + "]"
    if isinstance(value, float):
        return repr(value)
    return json.dumps(value)


def digest_of(lines: list[str]) -> str:
    """The digest of some lines."""
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def of_scenario(name: str) -> list[str]:
    """The digests of one scenario, one for each of PARTS."""
    records, verdict, decisions = build.played(name)
    lines = [(label, f"{label} {text_of(values)}") for label, values in records]
    return [
        digest_of([line for label, line in lines if label != "remains"]),
        digest_of([line for label, line in lines if label == "remains"]),
        digest_of([text_of(verdict)]),
        digest_of([text_of(step) for step in decisions]),
    ]


def of_all() -> dict[str, list[str]]:
    """The digests of all scenarios, by name."""
    # One scenario's run depends on the order of a set of texts: workers hash texts alike.
    before = os.environ.get("PYTHONHASHSEED")
    os.environ["PYTHONHASHSEED"] = HASH_SEED
    try:
        return _of_all()
    finally:
        del os.environ["PYTHONHASHSEED"]
        if before is not None:
            os.environ["PYTHONHASHSEED"] = before


def _of_all() -> dict[str, list[str]]:
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(WORKERS, mp_context=spawn) as pool:
        return dict(zip(NAMES, pool.map(of_scenario, NAMES, chunksize=5), strict=True))


def of_parts(digests: dict[str, list[str]]) -> dict[str, str]:
    """One digest for each of PARTS over all scenarios."""
    return {
        part: digest_of([f"{name} {digests[name][index]}" for name in NAMES])
        for index, part in enumerate(PARTS)
    }
