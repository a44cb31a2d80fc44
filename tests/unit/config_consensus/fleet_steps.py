"""The steps of a simulated fleet, and how many of those that do harm may happen in a run."""

from enum import Enum
from typing import NamedTuple

from petrellane.config_consensus.messages import Request


class StepKind(Enum):
    """What happens in a step."""

    START_COORDINATOR = "a control process starts"
    CRASH_COORDINATOR = "a control process crashes"
    CRASH_BEFORE_WRITE = "a control process crashes before its next write"
    CRASH_AFTER_WRITE = "a control process crashes after its next write"
    PROPOSE = "staff propose a change"
    TIME_OUT_CHANGE = "the time for a change is over"
    EXCHANGE = "a request is answered, or refused where nobody listens"
    DELAY_REQUEST = "a request has no answer and may arrive later"
    LOSE_ANSWER = "a request arrives and its answer is lost"
    DUPLICATE_REQUEST = "a request is answered and may arrive once more"
    DELAY_REFUSAL = "a connection is refused, which the control process learns later"
    CRASH_PARTICIPANT = "a gateway crashes"
    START_PARTICIPANT = "a gateway starts"
    POLL_PEER = "a gateway asks another one for its state"
    DELIVER_REQUEST = "a delayed request arrives"
    DELIVER_REFUSAL = "a control process learns of a refusal"

    def __repr__(self) -> str:
        return self.name


class Step(NamedTuple):
    """One step.

    Attributes:
        kind: What happens.
        process: The control process or the gateway that it happens to.
        peer: The gateway at the other end.
        number: Which of the delayed requests or refusals arrives, from 0.
    """

    kind: StepKind
    process: str
    peer: str = ""
    number: int = 0


NETWORK_FAULTS = (StepKind.DELAY_REQUEST, StepKind.LOSE_ANSWER, StepKind.DUPLICATE_REQUEST)


class Budget(NamedTuple):
    """How many events of a kind may still happen.

    Attributes:
        proposals: Changes that staff propose.
        crashes: Crashes of control processes and gateways.
        faults: Faults of the network.
        journal_losses: Starts of a control process whose journal is lost.
    """

    proposals: int = 1
    crashes: int = 1
    faults: int = 1
    journal_losses: int = 0


class DelayedMessage(NamedTuple):
    """A request, or the refusal of its connection, that arrives later."""

    control: str
    participant: str
    request: Request
