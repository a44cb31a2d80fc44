"""States of a participant that tests of its rules and of its store share."""

from petrellane.config_consensus import canonical_settings
from petrellane.config_consensus.ballots import Ballot, Epoch, Generation
from petrellane.config_consensus.participant import ParticipantState
from tests.unit.config_consensus.settings_examples import ALL_SETTINGS

ROSTER = ("g0", "g1", "g2")
EPOCH = Epoch(1, "a")
GENERATIONS = tuple(
    Generation(Ballot(number, EPOCH), canonical_settings.digest(settings), settings, ROSTER)
    for number, settings in enumerate(ALL_SETTINGS)
)


def state_with_prepared(*numbers: int) -> ParticipantState:
    """Return a state with generation 0 in force and the given generations prepared."""
    prepared = tuple(GENERATIONS[number] for number in numbers)
    return ParticipantState(GENERATIONS[0], EPOCH, prepared)
