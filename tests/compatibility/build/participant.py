"""A participant of the consensus on settings: messages, stored state."""

import pathlib
import tempfile
from typing import Any

import orjson

from petrellane.config_consensus import (
    ballots,
    canonical_settings,
    messages,
    participant,
    state_store,
)
from petrellane.config_consensus.errors import MessageRejected

Json = Any


def digest(settings: Json) -> str:
    """The digest of settings that are agreed on."""
    return canonical_settings.digest(settings)


def state_of(content: Json) -> participant.ParticipantState:
    """What a participant remembers, from the form in which it is stored."""
    with tempfile.TemporaryDirectory() as folder:
        store = state_store.StateStore(folder, "any")
        file = {
            "version": state_store.VERSION,
            "gateway": "any",
            "turn": 1,
            "check": state_store.checksum(content),
            "remembers": content,
        }
        pathlib.Path(store.paths[0]).write_bytes(orjson.dumps(file))
        state, fault = store.load()
    if state is None:
        raise ValueError(f"expected a stored state: {fault}")
    return state


def stored(state: participant.ParticipantState) -> Json:
    """The form in which what a participant remembers is stored."""
    with tempfile.TemporaryDirectory() as folder:
        state_store.StateStore(folder, "any").save(state)
        (path,) = pathlib.Path(folder).iterdir()
        return orjson.loads(path.read_bytes())["remembers"]


def participant_answer(remembered: Json, message: Json, wrong: str | None) -> Json:
    """A participant's answer to a message.

    That is the text that is sent, its status, and what it remembers and admits then.
    """
    state, status = state_of(remembered), 200
    try:
        state, answer = participant.handle_message(state, message, lambda _content: wrong)
        body = answer.to_dict()
    except MessageRejected as rejection:
        status, body = rejection.status, rejection.to_dict()
    return {
        "status": status,
        "answer": orjson.dumps(body).decode(),
        "after": stored(state),
        "admits": participant.admissible_settings(state),
    }


def participant_learns(remembered: Json, report: Json, fetched: list[Json]) -> Json:
    """What a participant looks for and remembers after another one's report."""
    state, peer = state_of(remembered), messages.PeerState.from_dict(report)
    missing = [
        {"number": ballot.number, "epoch": list(ballot.epoch)}
        for ballot in participant.missing_ballots(state, peer)
    ]
    got = [ballots.parse_generation(one, canonical_settings.digest) for one in fetched]
    after = participant.merge_peer_state(state, peer, got, lambda _content: None)
    return {"missing": missing, "after": stored(after)}


def state_files(gateway: str) -> list[str]:
    """The names of a participant's files."""
    return [pathlib.Path(path).name for path in state_store.StateStore("", gateway).paths]


def load_state(folder: str, gateway: str) -> Json:
    """The state that a participant's files hold, and whether it is surely the last."""
    state, fault = state_store.StateStore(folder, gateway).load()
    return [None if state is None else stored(state), fault is None]


def save_states(folder: str, gateway: str, states: list[Json]) -> None:
    """Remember these, one after the other."""
    store = state_store.StateStore(folder, gateway)
    store.load()
    for content in states:
        store.save(state_of(content))
