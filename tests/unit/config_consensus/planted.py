"""One-line faults planted in the rules of agreement, each of which the exploration has to find. A plant is a context that
puts the fault in."""

import contextlib
from unittest.mock import patch

from petrellane.config_consensus import ballots, coordinator, participant


def over(place, name, make):
    """Replace a function by what `make` makes of it."""
    return patch.object(place, name, make(getattr(place, name)))


def absent_at_once(refused):
    """A look that began before the last member had prepared counts as one after it."""

    def planted(self, name, message, now):
        refused(self, name, message | {"order": 1 << 60}, now)

    return planted


def no_second_look(heard):
    """Absent members are not looked at again after the last has prepared."""

    def planted(self, name, message, answer, now):
        confirmed = set(self.change.confirmed) if self.change else set()
        heard(self, name, message, answer, now)
        if self.change:
            self.change.confirmed |= confirmed - {name}
            self.judge(now)

    return planted


def silent_is_absent(silent):
    """A member that says nothing counts as down."""

    def planted(self, name, message, now, why=""):
        self.refused(name, message, now)

    return planted


def commits_late(judge):
    """What is not settled in time is committed in place of given up."""

    def planted(self, now):
        if (
            self.state == coordinator.LEADING
            and self.change
            and now - self.change.began >= coordinator.WAIT
        ):
            self.decide(coordinator.COMMITTED, "", now)
        else:
            judge(self, now)

    return planted


def denies_the_unknown(lead):
    """Whatever is not known to have been decided is denied."""

    def planted(self, now):
        with patch.object(coordinator.Leader, "may_be_decided", lambda self, ballot: False):
            lead(self, now)

    return planted


def no_epochs(heard):
    """A gateway obeys any control process."""

    def planted(state, message, takes):
        return heard(state._replace(promised=ballots.NOBODY), message, takes)

    return planted


def no_doubt_learnt(missing):
    """A gateway that starts learns what is in force, but not what is possible."""

    def planted(state, learnt):
        return missing(state, learnt._replace(possible=()))

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
    return lambda state, ballot: state._replace(denied=(*state.denied, ballot)[-participant.KEPT :])


PLANTS = {
    "absent at once": over(coordinator.Leader, "refused", absent_at_once),
    "no second look": over(coordinator.Leader, "heard", no_second_look),
    "silent is absent": over(coordinator.Leader, "silent", silent_is_absent),
    "commits late": over(coordinator.Leader, "judge", commits_late),
    "denies the unknown": over(coordinator.Leader, "lead", denies_the_unknown),
    "no epochs": over(participant, "heard", no_epochs),
    "no doubt learnt": over(participant, "missing", no_doubt_learnt),
    "leads alone": over(coordinator, "majority", leads_alone),
    "knows at once": over(participant, "enough", knows_at_once),
    "one too few": over(participant, "enough", one_too_few),
    "keeps the denied": over(participant, "denied", keeps_the_denied),
}


@contextlib.contextmanager
def planted(name):
    with PLANTS[name]:
        yield
