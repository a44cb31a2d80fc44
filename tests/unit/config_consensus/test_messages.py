"""The JSON forms of the protocol's messages and of the journal's records, byte for byte."""

import json
from typing import Any

import pytest

from petrellane.config_consensus import changes, messages
from petrellane.config_consensus.ballots import Ballot, Epoch, Generation
from petrellane.config_consensus.canonical_settings import digest
from petrellane.config_consensus.errors import MessageRejected

EPOCH = Epoch(2, "c")
BALLOT = Ballot(3, EPOCH)
CONTENT: messages.JsonObject = {"classes": []}
GENERATION = Generation(BALLOT, digest(CONTENT), CONTENT, ("g0", "g1"))
IDENTITY = '"number":3,"epoch":[2,"c"]'
GENERATION_FIELDS = (
    IDENTITY + f',"digest":"{GENERATION.digest}","content":{{"classes":[]}},"members":["g0","g1"]'
)
ENVELOPE = '"to":"g0","epoch_of":[2,"c"],"order":7'
STATE = {
    "promised": [2, "c"],
    "in_force": {"number": 3, "epoch": [2, "c"], "digest": "d"},
    "possible": [{"number": 4, "epoch": [2, "c"], "digest": "e"}],
    "denied": [{"number": 2, "epoch": [1, "b"]}],
    "members": ["g0", "g1"],
}


def to_json(fields: messages.JsonObject) -> str:
    """Return the fields as JSON, in their order and without spaces."""
    return json.dumps(fields, separators=(",", ":"))


def request(body: messages.RequestBody) -> messages.Request:
    """Return a request to a participant with the given body."""
    return messages.Request("g0", EPOCH, 7, body)


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (messages.Promise(), '"do":"promise"'),
        (messages.ReadContent(BALLOT), '"do":"content",' + IDENTITY),
        (messages.Abort(BALLOT), '"do":"deny",' + IDENTITY),
        (
            messages.Prepare(Ballot(1, Epoch(1, "b")), GENERATION),
            '"do":"prepare","base":{"number":1,"epoch":[1,"b"]},' + GENERATION_FIELDS,
        ),
        (messages.Commit(GENERATION, with_content=True), '"do":"commit",' + GENERATION_FIELDS),
        (
            messages.Commit(GENERATION, with_content=False),
            '"do":"commit",' + IDENTITY + f',"digest":"{GENERATION.digest}"',
        ),
    ],
)
def test_a_request_on_the_wire(body: messages.RequestBody, expected: str) -> None:
    """Each kind of request has its keys on the wire, in a fixed order."""
    assert to_json(request(body).to_dict()) == "{" + expected + "," + ENVELOPE + "}"


@pytest.mark.parametrize(
    ("query", "expected"),
    [
        (messages.PeerQuery("g1"), '{"do":"state","to":"g1"}'),
        (messages.PeerQuery("g1", BALLOT), '{"do":"content","to":"g1",' + IDENTITY + "}"),
    ],
)
def test_a_question_to_a_peer_on_the_wire(query: messages.PeerQuery, expected: str) -> None:
    """A query for the state has no ballot."""
    assert to_json(query.to_dict()) == expected


def test_a_request_is_read_as_it_was_sent() -> None:
    """All fields of a request survive encoding and decoding."""
    sent = request(messages.Prepare(Ballot(1, Epoch(1, "b")), GENERATION))
    received = messages.ReceivedRequest.from_dict(json.loads(to_json(sent.to_dict())))
    assert received.kind is messages.MessageKind.PREPARE
    assert received.epoch == EPOCH
    assert received.ballot() == BALLOT
    assert received.base() == Ballot(1, Epoch(1, "b"))
    assert received.generation() == GENERATION


@pytest.mark.parametrize("kind", [None, "else", 3, [], {}, "PREPARE"])
def test_an_unknown_kind_is_rejected(kind: object) -> None:
    """The rejection repeats the kind, whatever its type."""
    with pytest.raises(MessageRejected) as rejection:
        messages.ReceivedRequest.from_dict({"do": kind, "epoch_of": [2, "c"]})
    assert rejection.value.status == 400
    assert rejection.value.to_dict() == {
        "refused": "form",
        "why": f"do: expected a known word, found {kind}",
    }


def test_a_state_is_read() -> None:
    """A participant's report is parsed from its wire keys."""
    assert messages.decode_answer(request(messages.Promise()), STATE) == messages.PeerState(
        BALLOT, "d", (Ballot(4, EPOCH),), (Ballot(2, Epoch(1, "b")),), ("g0", "g1")
    )


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        ({}, "number: expected a whole number from 0, found None"),
        (STATE | {"possible": 3}, "possible, denied, members: expected lists"),
        (STATE | {"denied": [3]}, "number: expected a whole number from 0, found None"),
        (
            STATE | {"in_force": {"number": 3, "epoch": [2]}},
            "epoch: expected a number and a name, found [2]",
        ),
    ],
)
def test_an_answer_that_can_not_be_read(answer: dict[str, Any], reason: str) -> None:
    """A malformed answer becomes a `MalformedAnswer` with the reason; no error is raised."""
    decoded = messages.decode_answer(request(messages.Promise()), answer)
    assert decoded == messages.MalformedAnswer(reason)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        ({"refused": "behind", "why": "x"}, messages.Rejection("behind", "x", None)),
        (
            {"refused": "epoch", "promised": [4, "d"]},
            messages.Rejection("epoch", "", Epoch(4, "d")),
        ),
        ({"refused": "epoch", "promised": [4]}, messages.Rejection("epoch", "", None)),
        ({"refused": "other", "why": "y" * 400}, messages.Rejection("other", "y" * 300, None)),
    ],
)
def test_a_rejection_is_read(answer: dict[str, Any], expected: messages.Rejection) -> None:
    """A rejection may lack the reason and the epoch; a long reason is truncated."""
    assert messages.decode_answer(request(messages.Promise()), answer) == expected


def test_a_content_is_read_and_checked() -> None:
    """A generation is accepted only if its digest matches its content."""
    query = request(messages.ReadContent(BALLOT))
    assert messages.decode_answer(query, GENERATION.to_dict()) == GENERATION
    forged = GENERATION.to_dict() | {"digest": "0"}
    assert isinstance(messages.decode_answer(query, forged), messages.MalformedAnswer)
    rejection = {"refused": "unknown", "why": "no such generation here"}
    assert isinstance(messages.decode_answer(query, rejection), messages.Rejection)


RECORDS = [
    (changes.EpochClaimed(2, "c"), '{"kind":"epoch","number":2,"control":"c"}'),
    (
        changes.FoundInForce(GENERATION),
        '{"kind":"in_force","generation":{' + GENERATION_FIELDS + "}}",
    ),
    (
        changes.Proposed(GENERATION, ("g1",), "staff", "why"),
        '{"kind":"proposed","generation":{'
        + GENERATION_FIELDS
        + '},"without":["g1"],"by":"staff","why":"why"}',
    ),
    (
        changes.Decided(BALLOT, changes.ChangeOutcome.COMMITTED, "", ("g1",), ("g0",)),
        '{"kind":"decided",' + IDENTITY + ',"outcome":"committed","why":"",'
        '"absent":["g1"],"prepared":["g0"]}',
    ),
]


@pytest.mark.parametrize(("record", "expected"), RECORDS)
def test_a_record_of_the_journal(record: changes.Record, expected: str) -> None:
    """Each kind of record has a fixed stored form, from which it can be parsed."""
    assert to_json(record.to_dict()) == expected
    assert changes.parse_record(json.loads(expected) | {"at": 5.0}) == record


def test_a_record_of_a_kind_that_this_build_does_not_know() -> None:
    """A record of an unknown kind, written by a later build, is ignored."""
    assert changes.parse_record({"kind": "later", "at": 5.0}) is None
