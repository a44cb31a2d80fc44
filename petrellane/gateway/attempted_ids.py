"""The ids of RPCs that may have run and must not run again.

A client that has lost its connection may send an RPC again under its id, on another connection or
to the other process of a hot restart. The gateway then cannot tell it the outcome, and must not
run it a second time unless its method is idempotent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrellane.decisions.numeric import stable_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_IDS = 4096  # the last ids are kept


class AttemptedIds:
    """The last ids of RPCs with an effect that have had an attempt; owned by the executor.

    Attributes:
        digests: The hashes of the ids, the oldest first, as another process computes them as well.
    """

    def __init__(self) -> None:
        self.digests: dict[int, None] = {}

    def add(self, rpc_id: bytes) -> int:
        """Add the id of an RPC that may have run, and return its digest."""
        digest = stable_hash(rpc_id.decode("latin-1"))
        self.add_digests([digest])
        return digest

    def add_digests(self, digests: Iterable[int]) -> None:
        """Add ids that this process or another one has seen."""
        for digest in digests:
            self.digests[digest] = None
        while len(self.digests) > MAX_IDS:
            del self.digests[next(iter(self.digests))]

    def __contains__(self, rpc_id: bytes) -> bool:
        return bool(self.digests) and stable_hash(rpc_id.decode("latin-1")) in self.digests
