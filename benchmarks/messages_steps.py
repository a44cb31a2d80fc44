"""Processor time of single steps with control messages, for `messages.py`."""

from collections.abc import Callable
from typing import Any, NamedTuple

import orjson

from benchmarks.messages_content import HOSTS, METHODS, build_settings
from benchmarks.messages_figures import FigureTable, time_step
from benchmarks.messages_sizes import EPOCH, KEY, Samples
from petrellane.config import Section, parse_endpoint_list
from petrellane.config_consensus import (
    ballots,
    canonical_settings,
    message_authentication,
    participant,
    state_store,
)
from petrellane.config_consensus import messages as protocol

REQUEST_SIGNATURE = b"s"


class Step(NamedTuple):
    """One step to measure."""

    name: str
    what: str
    run: Callable[[], object]


def accept_all(_settings: dict[str, Any]) -> None:
    """Find any settings valid."""


def build_prepare(generation: ballots.Generation) -> dict[str, Any]:
    """Return a prepare of the generation after this one, with one changed method."""
    settings = build_settings(METHODS, revision=1)
    next_generation = ballots.Generation(
        ballots.Ballot(12346, EPOCH),
        canonical_settings.digest(settings),
        settings,
        generation.roster,
    )
    message = {"do": "prepare", "epoch_of": list(EPOCH), "base": generation.identity_to_dict()}
    return message | next_generation.to_dict()


def exchange_state(state: participant.ParticipantState) -> protocol.PeerState:
    """Sign a participant's report, verify it and read it."""
    body, signature = message_authentication.sign_response(KEY, REQUEST_SIGNATURE, state.to_dict())
    message = message_authentication.verify_response(KEY, REQUEST_SIGNATURE, signature, body)
    return protocol.PeerState.from_dict(message)


def build_participant_steps(
    state: participant.ParticipantState, message: dict[str, Any]
) -> list[Step]:
    """Return the steps of a participant that prepares."""
    body = orjson.dumps(message)
    prepared = participant.handle_message(state, message, accept_all)[0]

    def store() -> None:
        state_store.checksum(state_store.encode_state(prepared))
        orjson.dumps(state_store.encode_state(prepared))

    return [
        Step(
            "prepare_ms",
            "a prepare read and checked at a gateway, without the reading of settings",
            lambda: participant.handle_message(state, orjson.loads(body), accept_all),
        ),
        Step(
            "meet_ms",
            "the meet of two settings, while in doubt",
            lambda: participant.admissible_settings(prepared),
        ),
        Step(
            "prepare_write_ms",
            "a prepare written at a control process: JSON and seal, once a gateway",
            lambda: message_authentication.sign_request(KEY, message),
        ),
        Step(
            "seal_prepare_ms",
            "a prepare's seal, written or checked",
            lambda: message_authentication.compute_signature(KEY, b"question", body),
        ),
        Step(
            "remember_ms",
            "what is remembered while in doubt, as JSON and with its check, without the disk",
            store,
        ),
    ]


def measure_steps(figures: FigureTable, samples: Samples) -> None:
    """Measure single steps at a gateway and at a control process."""
    state = participant.ParticipantState(samples.generation, EPOCH)
    steps = build_participant_steps(state, build_prepare(samples.generation))
    look = Step(
        "look_ms",
        "an answer to a look made and sealed, and read and checked: "
        "the gateway's and control's halves",
        lambda: exchange_state(state),
    )
    list_read = Step(
        "list_read_ms",
        f"a whole list of {HOSTS:,} hosts read and checked",
        lambda: parse_endpoint_list(Section(orjson.loads(samples.endpoint_list), "list")),
    )
    for step in (*steps, look, list_read):
        step_time = time_step(step.run)
        figures.add(step.name, step_time.milliseconds, "ms", step.what, step_time.runs)
