"""The cost of one change at a control process for `messages.py`, in its rules and on sockets."""

import statistics
import time
from typing import Any, NamedTuple

from benchmarks.messages_content import build_roster, build_settings
from benchmarks.messages_figures import LONG_STEP_S, REPEATS, FigureTable
from petrellane.config_consensus import ballots, canonical_settings, coordinator, participant
from petrellane.config_consensus import messages as protocol
from petrellane.testbed.fleet import LoopbackFleet
from petrellane.testbed.fleet_spec import FleetSpec, SettingsSpec
from petrellane.testbed.fleet_spec import build_settings as build_fleet_settings

LOOK_INTERVAL_S = 1.0  # of a coordinator that nothing is due of
CHANGES = 10
IDLE_S = 5.0
CHANGE_REQUESTS = ("prepare", "commit", "deny")


class RoundCost(NamedTuple):
    """Messages that were due, and the processor time of the coordinator's rules for them."""

    messages: int
    seconds: float


class ChangeCost(NamedTuple):
    """The cost of one change until all participants have it."""

    milliseconds: float
    messages_per_participant: float


class DiscardingJournal:
    """A journal that keeps nothing, as the rules' own cost is measured."""

    def append(self, record: dict[str, Any], at: float, /) -> None:
        """Keep nothing."""


class SimulatedRoster:
    """A coordinator and its participants, free of I/O, with hardly any content.

    Participants answer by the rules of a gateway, whose time is not counted.
    """

    def __init__(self, size: int) -> None:
        """Play until the coordinator leads; `takeover_s` is the time of its rules for that."""
        roster = build_roster(size)
        settings = build_settings(1, 1)
        digest = canonical_settings.digest(settings)
        first = ballots.Generation(participant.INITIAL_BALLOT, digest, settings, roster)
        self.now = 0.0
        self.coordinator = coordinator.Coordinator("control", roster, DiscardingJournal(), self.now)
        self.states = dict.fromkeys(roster, participant.ParticipantState(first))
        self.takeover_s = 0.0
        while self.coordinator.state != coordinator.CoordinatorState.LEADING:
            self.takeover_s += self.play_round().seconds

    def play_round(self) -> RoundCost:
        """Send each participant what it is due, once, and handle its answer."""
        messages = 0
        seconds = 0.0
        for name in self.states:
            started = time.process_time()
            message = self.coordinator.build_message(name, self.now)
            wire_message = message.to_dict() if message is not None else {}
            seconds += time.process_time() - started
            if message is None:
                continue
            messages += 1
            self.states[name], answer = participant.handle_message(
                self.states[name], wire_message, lambda _settings: None
            )
            wire_answer = answer.to_dict()
            started = time.process_time()
            decoded = protocol.decode_answer(message, wire_answer)
            self.coordinator.handle_answer(name, message, decoded, self.now)
            seconds += time.process_time() - started
        return RoundCost(messages, seconds)

    def play_change(self, revision: int) -> ChangeCost:
        """Propose a change and play until nothing is due.

        Raises:
            RuntimeError: The change was not committed.
        """
        self.now += LOOK_INTERVAL_S / 2  # no look is due
        settings = build_settings(1, 1, revision)
        change = self.coordinator.propose(settings, (), "staff", self.now)
        messages = 0
        seconds = 0.0
        while True:
            cost = self.play_round()
            messages += cost.messages
            seconds += cost.seconds
            if not cost.messages:
                break
        if change.outcome != coordinator.ChangeOutcome.COMMITTED:
            raise RuntimeError(
                f"change: expected it committed, found {change.outcome}: {change.reason}"
            )
        return ChangeCost(seconds * 1e3, messages / len(self.states))

    def play_looks(self) -> float:
        """Return the milliseconds of the rules for one look at each participant."""
        self.now += 2 * LOOK_INTERVAL_S
        return self.play_round().seconds * 1e3


def measure_rules(figures: FigureTable, size: int) -> None:
    """Measure the rules of a control process with a roster of this size."""
    roster = SimulatedRoster(size)
    figures.add(
        f"leader_seek_ms_{size}",
        roster.takeover_s * 1e3,
        "ms",
        f"the rules of a control process that takes over, until it leads, {size} members",
    )
    costs: list[ChangeCost] = []
    while len(costs) < REPEATS and (not costs or costs[-1].milliseconds < LONG_STEP_S * 1e3):
        costs.append(roster.play_change(len(costs) + 1))
    figures.add(
        f"leader_change_ms_{size}",
        statistics.median(cost.milliseconds for cost in costs),
        "ms",
        f"one change in the rules of a control process, {size} members",
        len(costs),
    )
    figures.add(
        f"leader_calls_{size}",
        costs[-1].messages_per_participant,
        "calls",
        f"messages a gateway for one change, {size} members",
    )
    looks = [roster.play_looks() for _ in range(REPEATS)]
    figures.add(
        f"leader_look_ms_{size}",
        statistics.median(looks),
        "ms",
        f"a look at each of {size} members in the rules",
        REPEATS,
    )


def commit_changes(lab: LoopbackFleet, gateways: int) -> None:
    """Make changes one after another.

    Raises:
        RuntimeError: One was not committed.
    """
    for number in range(CHANGES):
        settings = build_fleet_settings(
            SettingsSpec(gateways, attempts=2 + number % 2, quota=float(number + 1))
        )
        outcome = lab.change_settings(settings, patience=30)
        if outcome["outcome"] != "committed":
            raise RuntimeError(f"change: expected it committed, found {outcome}")


def measure_calls(figures: FigureTable, gateways: int) -> None:
    """Measure the calls of a control process on sockets, with real gateways."""
    spec = FleetSpec(gateways=gateways, agreement=True, relays=(), hosts=2)
    with LoopbackFleet(spec) as lab:
        lab.start()
        control = lab.controls["control"]
        lab.run_for(1.0)
        calls_at_start = control.ask("status")["calls"]
        lab.run_for(IDLE_S)
        calls_before = control.ask("status")["calls"]
        looks = sum(calls_before.values()) - sum(calls_at_start.values())
        figures.add(
            f"control_looks_{gateways}",
            looks / IDLE_S / gateways,
            "1/s",
            f"looks a second and gateway, {gateways} gateways",
        )
        commit_changes(lab, gateways)
        calls = control.ask("status")["calls"]
        change_calls = sum(calls.get(do, 0) - calls_before.get(do, 0) for do in CHANGE_REQUESTS)
        figures.add(
            f"control_calls_{gateways}",
            change_calls / CHANGES / gateways,
            "calls",
            f"prepare, commit and deny a change and gateway, {gateways} gateways",
            CHANGES,
        )
