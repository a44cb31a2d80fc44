"""The steps of a simulated fleet, and the budget of proposals and faults of a run."""

from enum import Enum
from typing import NamedTuple

from petrellane.config_consensus.messages import Request


class StepKind(Enum):
    """The kind of a step; the value describes it."""

    START_COORDINATOR = "a control process starts"
    CRASH_COORDINATOR = "a control process crashes"
    CRASH_BEFORE_WRITE = "a control process crashes before its next write"
    CRASH_AFTER_WRITE = "a control process crashes after its next write"
    PROPOSE = "staff propose a change"
    TIME_OUT_CHANGE = "a change times out"
    EXCHANGE = "a request is answered, or refused if the gateway is down"
    DELAY_REQUEST = "a request is delayed and gets no answer"
    LOSE_ANSWER = "a request arrives and its answer is lost"
    DUPLICATE_REQUEST = "a request is answered and may arrive again"
    DELAY_REFUSAL = "a connection is refused, and the control process learns it later"
    CRASH_PARTICIPANT = "a gateway crashes"
    START_PARTICIPANT = "a gateway starts"
    POLL_PEER = "a gateway polls another one for its state"
    DELIVER_REQUEST = "a delayed request arrives"
    DELIVER_REFUSAL = "a control process learns of a refused connection"

    def __repr__(self) -> str:
        return self.name


class Step(NamedTuple):
    """One step.

    Attributes:
        kind: The kind of the step.
        process: The control process or the gateway that takes the step.
        peer: The gateway with which the process communicates.
        number: The index of the delayed request or refusal that arrives.
    """

    kind: StepKind
    process: str
    peer: str = ""
    number: int = 0


NETWORK_FAULTS = (StepKind.DELAY_REQUEST, StepKind.LOSE_ANSWER, StepKind.DUPLICATE_REQUEST)


class Budget(NamedTuple):
    """The numbers of events that may still happen.

    Attributes:
        proposals: Proposals of staff.
        crashes: Crashes of control processes and gateways.
        faults: Faults of the network.
        journal_losses: Starts of a control process that has lost its journal.
    """

    proposals: int = 1
    crashes: int = 1
    faults: int = 1
    journal_losses: int = 0


class DelayedMessage(NamedTuple):
    """A request, or the refusal of its connection, that arrives later than other messages."""

    control: str
    participant: str
    request: Request
