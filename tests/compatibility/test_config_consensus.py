"""Consensus on settings: read, answered and written as by the build before."""

import hashlib
import hmac
import json
import pathlib
import shutil

import pytest

from tests.compatibility import build, files
from tests.compatibility.files import Json

PARTICIPANT: Json = files.load("agreement/participant.json")
CONTROL: Json = files.load("agreement/control.json")
SIGNATURES: Json = files.load("agreement/seals.json")
STORED: Json = files.load("agreement/stored.json")
RECORDED_FILES = files.RECORDED / "agreement"
JOURNAL = RECORDED_FILES / "journal.sqlite"

KEY: bytes = SIGNATURES["key"].encode()
REQUEST: Json = SIGNATURES["question"]
REQUEST_BODY: bytes = REQUEST["body"].encode()
REQUEST_SIGNATURE: bytes = REQUEST["seal"].encode()
RESPONSE: Json = SIGNATURES["answer"]

GATEWAY = "g1"
HOST = "127.0.0.1:7"
CUT_BYTES = 9  # off the end of a state file
UNAUTHENTICATED = "unsealed"
RECORD_KINDS = {"epoch", "proposed", "decided", "in_force"}


@pytest.mark.parametrize("case", PARTICIPANT["messages"], ids=lambda case: str(case["name"]))
def test_participant_answers_the_same(case: Json) -> None:
    result = build.participant_answer(case["remembers"], case["message"], case["wrong"])
    assert result == case["found"]


@pytest.mark.parametrize("case", PARTICIPANT["learns"], ids=lambda case: str(case["name"]))
def test_participant_merges_reports_to_the_same_state(case: Json) -> None:
    result = build.participant_learns(case["remembers"], case["told"], case["fetched"])
    assert result == case["found"]


@pytest.mark.parametrize("case", CONTROL["plays"], ids=lambda case: str(case["name"]))
def test_control_process_answers_the_same(case: Json, tmp_path: pathlib.Path) -> None:
    journal = tmp_path / "journal"
    steps = build.control_play(str(journal), CONTROL["members"], case["script"])
    assert steps == case["found"]
    schema, version, rows = files.journal_rows(journal)
    written = [[number, at, build.without_incarnations(record)] for number, at, record in rows]
    assert [schema, version, written] == case["rows"]


def test_journal_is_read_to_the_same_records(tmp_path: pathlib.Path) -> None:
    journal = tmp_path / "journal"
    shutil.copy(JOURNAL, journal)
    assert build.journal_records(str(journal)) == STORED["records"]
    assert {record["kind"] for record in STORED["records"]} == RECORD_KINDS


def test_journal_is_written_with_the_same_rows(tmp_path: pathlib.Path) -> None:
    journal = tmp_path / "journal"
    build.write_journal(str(journal), STORED["records"])
    assert files.journal_rows(journal) == files.journal_rows(JOURNAL)


def test_state_files_are_named_the_same() -> None:
    assert build.state_files(GATEWAY) == STORED["names"]


@pytest.mark.parametrize("left_out", [None, 0, 1])
def test_state_files_are_read_to_the_same_state(
    left_out: int | None, tmp_path: pathlib.Path
) -> None:
    for slot, name in enumerate(STORED["names"]):
        if slot != left_out:
            shutil.copy(RECORDED_FILES / name, tmp_path / name)
    expected = STORED["states"][-2] if left_out == STORED["last"] else STORED["states"][-1]
    assert build.load_state(str(tmp_path), GATEWAY) == [expected, True]


def test_a_cut_state_file_gives_way_to_the_other(tmp_path: pathlib.Path) -> None:
    for name in STORED["names"]:
        shutil.copy(RECORDED_FILES / name, tmp_path / name)
    last = tmp_path / STORED["names"][STORED["last"]]
    last.write_bytes(last.read_bytes()[:-CUT_BYTES])
    assert build.load_state(str(tmp_path), GATEWAY) == [STORED["states"][-2], False]


def test_state_files_are_written_with_the_same_bytes(tmp_path: pathlib.Path) -> None:
    build.save_states(str(tmp_path), GATEWAY, STORED["states"])
    for name in STORED["names"]:
        assert (tmp_path / name).read_bytes() == (RECORDED_FILES / name).read_bytes()


def test_recorded_request_verifies() -> None:
    message = build.verify_request(KEY, GATEWAY, REQUEST_SIGNATURE, REQUEST_BODY)
    assert message == json.loads(REQUEST["body"])


@pytest.mark.parametrize(
    ("key", "gateway", "body"),
    [
        pytest.param(KEY, "g2", REQUEST_BODY, id="another gateway"),
        pytest.param(KEY[:-1], GATEWAY, REQUEST_BODY, id="another key"),
        pytest.param(KEY, GATEWAY, REQUEST_BODY + b" ", id="another body"),
    ],
)
def test_recorded_request_is_refused(key: bytes, gateway: str, body: bytes) -> None:
    assert build.verify_request(key, gateway, REQUEST_SIGNATURE, body) == UNAUTHENTICATED


def test_request_has_the_same_keys_and_signature() -> None:
    body, signature = build.sign_request(KEY, REQUEST["message"])
    assert list(json.loads(body)) == list(json.loads(REQUEST["body"]))
    signed = b"".join(b"%d:%b" % (len(part), part) for part in (b"question", body))
    assert signature.decode() == hmac.new(KEY, signed, hashlib.sha256).hexdigest()


def test_response_is_signed_the_same() -> None:
    body, signature = build.sign_response(KEY, REQUEST_SIGNATURE, RESPONSE["told"])
    assert [body.decode(), signature.decode()] == [RESPONSE["body"], RESPONSE["seal"]]


def test_recorded_response_verifies() -> None:
    body, signature = RESPONSE["body"].encode(), RESPONSE["seal"].encode()
    verified = build.verify_response(KEY, REQUEST_SIGNATURE, signature, body)
    assert verified == RESPONSE["told"]
    refused = build.verify_response(KEY, REQUEST_SIGNATURE[:-1], signature, body)
    assert refused == UNAUTHENTICATED


def test_signed_call_has_the_same_bytes() -> None:
    paths = build.consensus_paths()
    assert paths == SIGNATURES["paths"]
    call = build.signed_call(paths[0], HOST, REQUEST_SIGNATURE, REQUEST_BODY)
    assert call.decode() == SIGNATURES["call"]
