"""The digest of a simulated run: one sha256 over its records as text; any other digit shows.

A record is one line: its label, then its values. Floats stand in full (repr), texts and None as in
JSON, sequences in brackets. Four digests a scenario: what happened, what gateways still hold at the
end, what the rules say, and each step that the decisions answered with.
"""

import hashlib
import json
import multiprocessing
import os
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager

from tests.compatibility import build
from tests.compatibility.files import Json

NAMES = (
    *(f"draw {seed}" for seed in range(140)),
    *(f"followed {seed}" for seed in range(30)),
    *(f"neighbour {seed}" for seed in range(10)),
)
PARTS = ("happened", "remains", "rules", "decided")
RETAINED_LABEL = "remains"  # of records of what gateways still hold at the end

WORKERS = 2
SCENARIOS_PER_TASK = 5
HASH_SEED = "0"
HASH_SEED_VARIABLE = "PYTHONHASHSEED"


def text_of(value: Json) -> str:
    """Return a plain value as canonical text."""
    if isinstance(value, (list, tuple)):
        return "[" + " ".join(map(text_of, value)) + "]"
    if isinstance(value, float):
        return repr(value)
    return json.dumps(value)


def digest_lines(lines: list[str]) -> str:
    """Return the digest of some lines."""
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def digest_scenario(name: str) -> list[str]:
    """Return the digests of one scenario, one for each of PARTS."""
    records, verdict, decisions = build.played(name)
    lines = [(label, f"{label} {text_of(values)}") for label, values in records]
    return [
        digest_lines([line for label, line in lines if label != RETAINED_LABEL]),
        digest_lines([line for label, line in lines if label == RETAINED_LABEL]),
        digest_lines([text_of(verdict)]),
        digest_lines([text_of(step) for step in decisions]),
    ]


@contextmanager
def fixed_hash_seed() -> Iterator[None]:
    """Have processes that are started within hash texts alike.

    One scenario's run depends on the order of a set of texts.
    """
    before = os.environ.get(HASH_SEED_VARIABLE)
    os.environ[HASH_SEED_VARIABLE] = HASH_SEED
    try:
        yield
    finally:
        del os.environ[HASH_SEED_VARIABLE]
        if before is not None:
            os.environ[HASH_SEED_VARIABLE] = before


def digest_all_scenarios() -> dict[str, list[str]]:
    """Return the digests of all scenarios, by name."""
    spawn = multiprocessing.get_context("spawn")
    with fixed_hash_seed(), ProcessPoolExecutor(WORKERS, mp_context=spawn) as pool:
        digests = pool.map(digest_scenario, NAMES, chunksize=SCENARIOS_PER_TASK)
        return dict(zip(NAMES, digests, strict=True))


def digest_parts(digests: dict[str, list[str]]) -> dict[str, str]:
    """Return one digest for each of PARTS over all scenarios."""
    return {
        part: digest_lines([f"{name} {digests[name][index]}" for name in NAMES])
        for index, part in enumerate(PARTS)
    }
