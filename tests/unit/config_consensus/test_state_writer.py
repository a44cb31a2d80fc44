"""Writes of a participant's state to the disk, which do not block other greenlets."""

import greenlet
import pytest

from petrellane.config_consensus.participant import ParticipantState
from petrellane.config_consensus.state_store import StateStore
from petrellane.config_consensus.state_writer import StateWriter
from petrellane.net.scheduler import Scheduler
from tests.unit.config_consensus.participant_states import state_with_prepared


class BlockingStore(StateStore):
    """A store that writes nothing and blocks until another greenlet has run.

    Attributes:
        error: The error that `save` raises, if any.
        other_has_run: Whether the other greenlet has run, which sets this attribute.
    """

    def __init__(self, error: OSError | None) -> None:
        super().__init__("", "g0")
        self.error = error
        self.other_has_run = False

    def save(self, _state: ParticipantState) -> None:
        """Wait for the other greenlet, then raise the error if there is one."""
        while not self.other_has_run:
            pass
        if self.error:
            raise self.error


@pytest.mark.parametrize("error", [None, OSError(28, "No space left on device")])
def test_a_write_does_not_block_other_greenlets(error: OSError | None) -> None:
    """Another greenlet runs during a write, and the error of the write is returned."""
    scheduler = Scheduler()
    store = BlockingStore(error)
    results: list[OSError | None] = []

    def write() -> None:
        results.append(StateWriter(scheduler, store).save(state_with_prepared()))
        scheduler.stop()

    def run_other() -> None:
        store.other_has_run = True

    scheduler.call_soon(greenlet.greenlet(write, scheduler.hub).switch)
    scheduler.call_later(0.01, run_other)
    scheduler.run()
    assert results == [error]
