"""Answers batches: hands each event to its instance and writes one reply a batch.

Instances share nothing, so that results do not depend on how they are split across processes. The
simulator stops the day at an exception, which goes out as GIVE_IN in place of half a reply.
"""

import traceback
from typing import Final, TextIO

from petrellane.benchlink.codec import Batch, WireEvent, encode_reply, read_batches
from petrellane.benchlink.instance import SimulatedInstance

OPEN_INSTANCE: Final = "OPEN_INSTANCE"
DETACH: Final = "DETACH"
LONGEST_REASON: Final = 200  # characters


class Adapter:
    """The instances of one process, from the first batch to the last.

    Attributes:
        current_event: The event that was last begun; None before the first.
    """

    def __init__(self) -> None:
        """Make an adapter without instances."""
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
        """Return the lines that answer one event; none for an instance that is not open."""
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
        stdin: Where batches come from.
        stdout: Where replies go, flushed after each.
        stderr: Where the trace of an exception goes.

    Returns:
        The exit code: 0, or 1 after an exception, which ends in GIVE_IN with one plain line.
    """
    adapter = Adapter()
    try:
        for batch in read_batches(stdin):
            stdout.write(encode_reply(adapter.answer(batch)))
            stdout.flush()
    except Exception as error:
        traceback.print_exc(file=stderr)
        stdout.write(encode_reply([_give_in(adapter.current_event, error)]))
        stdout.flush()
        return 1
    return 0


def _give_in(event: WireEvent | None, error: Exception) -> str:
    """Return the line that reports an exception in an event."""
    number = event.fields.get("gateway", "0") if event else "0"
    reason = " ".join(f"{type(error).__name__}: {error}".split())[:LONGEST_REASON]
    return f"GIVE_IN gateway={number} reasonText={reason}"
