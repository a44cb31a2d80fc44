"""The adapter: passes each event of a batch to its instance and writes one reply per batch.

Instances share no state, so the results do not depend on their distribution over processes. After
an exception, the reply to the current batch consists only of a GIVE_IN line, and the simulator ends
its run.
"""

import traceback
from typing import Final, TextIO

from petrellane.benchlink.codec import Batch, WireEvent, encode_reply, read_batches
from petrellane.benchlink.instance import SimulatedInstance

OPEN_INSTANCE: Final = "OPEN_INSTANCE"
DETACH: Final = "DETACH"
MAX_REASON_LENGTH: Final = 200  # characters of an exception that a GIVE_IN line repeats


class Adapter:
    """Holds the instances of one process and answers their batches; owned by `serve`.

    Attributes:
        current_event: The event whose handling started most recently; None before the first.
    """

    def __init__(self) -> None:
        """Create an adapter without instances."""
        self.current_event: WireEvent | None = None
        self._instances: dict[int, SimulatedInstance] = {}

    def answer(self, batch: Batch) -> list[str]:
        """Return the lines that answer a batch."""
        lines: list[str] = []
        for event in batch.events:
            self.current_event = event
            lines += self._answer_event(batch.now, event)
        return lines

    def _answer_event(self, now: float, event: WireEvent) -> list[str]:
        """Return the lines that answer one event; an empty list if its instance is not open."""
        fields = event.fields
        number = int(fields["gateway"])
        if event.verb == OPEN_INSTANCE:
            seed = int(fields.get("randomSeed", 0))
            opened = SimulatedInstance(number, seed, fields["settings"])
            self._instances[number] = opened
            return opened.start(now)
        if event.verb == DETACH:
            self._instances.pop(number, None)
        instance = self._instances.get(number)
        return [] if instance is None else instance.handle(now, event)


def serve(stdin: TextIO, stdout: TextIO, stderr: TextIO) -> int:
    """Answer batches until the input ends.

    Args:
        stdin: The stream of batches.
        stdout: The stream for replies, flushed after each.
        stderr: The stream for the traceback of an exception.

    Returns:
        The exit code: 0, or 1 after an exception, which a GIVE_IN line reports.
    """
    adapter = Adapter()
    try:
        for batch in read_batches(stdin):
            stdout.write(encode_reply(adapter.answer(batch)))
            stdout.flush()
    except Exception as error:
        traceback.print_exc(file=stderr)
        stdout.write(encode_reply([_format_exception(adapter.current_event, error)]))
        stdout.flush()
        return 1
    return 0


def _format_exception(event: WireEvent | None, error: Exception) -> str:
    """Return the GIVE_IN line that reports an exception during an event."""
    number = event.fields.get("gateway", "0") if event else "0"
    reason = " ".join(f"{type(error).__name__}: {error}".split())[:MAX_REASON_LENGTH]
    return f"GIVE_IN gateway={number} reasonText={reason}"
