"""One-line faults planted in the rules of agreement, each of which the exploration has to find. A plant is a context that
puts the fault in."""

import contextlib
import dataclasses
from unittest.mock import patch

from petrellane.config_consensus import ballots, changes, coordinator, leadership, participant


def over(place, name, make):
    """Replace a function by what `make` makes of it."""
    return patch.object(place, name, make(getattr(place, name)))


class Together:
    """Several replacements that make one fault."""

    def __init__(self, *patches):
        self.patches = patches

    def __enter__(self):
        self.stack = contextlib.ExitStack()
        for one in self.patches:
            self.stack.enter_context(one)

    def __exit__(self, *error):
        self.stack.close()


def absent_at_once(refused):
    """A look that began before the last member had prepared counts as one after it."""

    def planted(self, name, message, now):
        refused(self, name, dataclasses.replace(message, sequence=1 << 60), now)

    return planted


def no_second_look(heard):
    """Absent members are not looked at again after the last has prepared."""

    def planted(self, name, message, answer, now):
        confirmed = set(self.change.confirmed_absent) if self.change else set()
        heard(self, name, message, answer, now)
        if self.change:
            self.change.confirmed_absent |= confirmed - {name}
            self.try_to_decide(now)

    return planted


def silent_is_absent(silent):
    """A member that says nothing counts as down."""

    def planted(self, name, message, now, why=""):
        self.handle_connection_refused(name, message, now)

    return planted


def commits_late(judge):
    """What is not settled in time is committed in place of given up."""

    def planted(self, now):
        if (
            self.state == coordinator.CoordinatorState.LEADING
            and self.change
            and now - self.change.started_at >= changes.CHANGE_TIMEOUT_S
        ):
            self.decide(coordinator.ChangeOutcome.COMMITTED, "", now)
        else:
            judge(self, now)

    return planted


def denies_the_unknown(lead):
    """Whatever is not known to have been decided is denied."""

    def planted(self, now):
        with patch.object(coordinator.Coordinator, "may_be_decided", lambda self, ballot: False):
            lead(self, now)

    return planted


def no_epochs(heard):
    """A gateway obeys any control process."""

    def planted(state, message, takes):
        return heard(state._replace(promised=ballots.NO_EPOCH), message, takes)

    return planted


def no_doubt_learnt(missing):
    """A gateway that starts learns what is in force, but not what is possible."""

    def planted(state, learnt):
        return missing(state, learnt._replace(prepared=()))

    return planted


def leads_alone(majority):
    """One answer is enough to lead and to decide."""
    return lambda members: 1


def knows_at_once(enough):
    """A gateway that starts serves by what it remembers."""
    return lambda members, heard, self_known: True


def one_too_few(enough):
    """A gateway that starts asks one other fewer than it has to."""
    return lambda members, heard, self_known: enough(
        members, {*heard, *sorted(set(members) - set(heard))[:1]}, self_known
    )


def keeps_the_denied(denied):
    """What was denied stays possible."""
    return lambda state, ballot: state._replace(
        aborted=(*state.aborted, ballot)[-participant.MAX_ABORTED :]
    )


PLANTS = {
    "absent at once": over(coordinator.Coordinator, "handle_connection_refused", absent_at_once),
    "no second look": over(coordinator.Coordinator, "handle_answer", no_second_look),
    "silent is absent": over(coordinator.Coordinator, "handle_no_answer", silent_is_absent),
    "commits late": over(coordinator.Coordinator, "try_to_decide", commits_late),
    "denies the unknown": over(coordinator.Coordinator, "try_to_lead", denies_the_unknown),
    "no epochs": over(participant, "handle_message", no_epochs),
    "no doubt learnt": over(participant, "missing_ballots", no_doubt_learnt),
    "leads alone": Together(
        over(changes, "majority", leads_alone),
        over(coordinator, "majority", leads_alone),
        over(leadership, "majority", leads_alone),
    ),
    "knows at once": over(participant, "intersects_every_majority", knows_at_once),
    "one too few": over(participant, "intersects_every_majority", one_too_few),
    "keeps the denied": over(participant, "abort", keeps_the_denied),
}


@contextlib.contextmanager
def planted(name):
    with PLANTS[name]:
        yield
