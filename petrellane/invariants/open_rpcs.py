"""The state that the rules keep of RPCs that are not settled."""

from dataclasses import dataclass, field
from typing import Final

from petrellane.invariants.records import Id, RpcReceived

# Outcomes which prove that no host executed the attempt.
NEVER_EXECUTED: Final = frozenset(("full", "unreachable", "never-sent"))


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt of an RPC; its outcome is empty while it is in flight."""

    sent_at: float
    host: Id
    outcome: str = ""


@dataclass(slots=True)
class OpenRpc:
    """An RPC that a gateway has received; `OpenRpcs` keeps it until it is settled.

    Attributes:
        received: The record of the RPC's arrival.
        answer_due_at: The time by which the final answer is due, in seconds.
        is_answered: Whether the RPC has a final answer.
        needs_answer: Whether the gateway has to send a final answer.
        is_over: Whether the RPC is answered or its client has disconnected.
        attempts: The RPC's attempts by number.
    """

    received: RpcReceived
    answer_due_at: float
    is_answered: bool = False
    needs_answer: bool = True
    is_over: bool = False
    attempts: dict[int, ObservedAttempt] = field(default_factory=dict)

    def possibly_executed(self) -> list[ObservedAttempt]:
        """Return the attempts that a host may have executed, or may still execute."""
        return [
            attempt for attempt in self.attempts.values() if attempt.outcome not in NEVER_EXECUTED
        ]

    def has_attempt_in_flight(self) -> bool:
        """Return whether any attempt has no outcome."""
        return any(not attempt.outcome for attempt in self.attempts.values())

    def is_settled(self) -> bool:
        """Return whether the RPC is over, no attempt is in flight and no answer is due."""
        if not self.is_over or (self.needs_answer and not self.is_answered):
            return False
        return not self.has_attempt_in_flight()


class OpenRpcs:
    """The RPCs that are not settled; owned by the checker of the run."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_id: dict[Id, OpenRpc] = {}
        self._by_gateway: dict[Id, dict[Id, OpenRpc]] = {}

    def add(self, rpc: OpenRpc) -> None:
        """Add an RPC."""
        received = rpc.received
        self.by_id[received.rpc] = rpc
        self._by_gateway.setdefault(received.gateway, {})[received.rpc] = rpc

    def remove_if_settled(self, rpc: OpenRpc) -> None:
        """Remove an RPC if it is settled."""
        if rpc.is_settled():
            received = rpc.received
            self.by_id.pop(received.rpc, None)
            self._by_gateway.get(received.gateway, {}).pop(received.rpc, None)

    def of_gateway(self, gateway: Id) -> list[OpenRpc]:
        """Return the RPCs of one gateway."""
        return list(self._by_gateway.get(gateway, {}).values())

    def remove_gateway(self, gateway: Id) -> None:
        """Remove the RPCs of a gateway that was killed: it does not have to answer them."""
        for rpc in self._by_gateway.pop(gateway, {}):
            self.by_id.pop(rpc, None)
