"""What the rules remember of RPCs that are not settled yet."""

from dataclasses import dataclass, field
from typing import Final

from petrellane.invariants.records import Id, RpcReceived

# Outcomes that prove that an attempt never ran.
NEVER_RAN: Final = frozenset(("full", "unreachable", "never-sent"))


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt of an RPC; its outcome is empty while it is in flight."""

    sent_at: float
    host: Id
    outcome: str = ""


@dataclass(slots=True)
class OpenRpc:
    """An RPC that a gateway has received; kept until it is over and no attempt is in flight.

    Attributes:
        received: The record of its arrival.
        due: When its final answer is due.
        is_answered: Whether it has a final answer.
        is_owed: Whether the gateway owes it one.
        is_over: Whether it is answered or its client has gone.
        attempts: Its attempts by number.
    """

    received: RpcReceived
    due: float
    is_answered: bool = False
    is_owed: bool = True
    is_over: bool = False
    attempts: dict[int, ObservedAttempt] = field(default_factory=dict)

    def possibly_executed(self) -> list[ObservedAttempt]:
        """Return the attempts that may have run, or may still run."""
        return [attempt for attempt in self.attempts.values() if attempt.outcome not in NEVER_RAN]

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        return any(not attempt.outcome for attempt in self.attempts.values())

    def is_settled(self) -> bool:
        """Return whether no attempt is in flight and no answer owed any more."""
        if not self.is_over or (self.is_owed and not self.is_answered):
            return False
        return not self.has_attempt_in_flight()


class OpenRpcs:
    """The RPCs of one run that are not settled; owned by its checker."""

    def __init__(self) -> None:
        """Make an empty table."""
        self.by_id: dict[Id, OpenRpc] = {}
        self._by_gateway: dict[Id, dict[Id, OpenRpc]] = {}

    def add(self, rpc: OpenRpc) -> None:
        """Remember an RPC."""
        received = rpc.received
        self.by_id[received.rpc] = rpc
        self._by_gateway.setdefault(received.gateway, {})[received.rpc] = rpc

    def forget_if_settled(self, rpc: OpenRpc) -> None:
        """Forget an RPC when nothing more can come of it."""
        if rpc.is_settled():
            received = rpc.received
            self.by_id.pop(received.rpc, None)
            self._by_gateway.get(received.gateway, {}).pop(received.rpc, None)

    def of_gateway(self, gateway: Id) -> list[OpenRpc]:
        """Return the RPCs of one gateway."""
        return list(self._by_gateway.get(gateway, {}).values())

    def forget_gateway(self, gateway: Id) -> None:
        """Forget the RPCs of a gateway that was killed: it owes nothing."""
        for rpc in self._by_gateway.pop(gateway, {}):
            self.by_id.pop(rpc, None)
