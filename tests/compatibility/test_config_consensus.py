"""Consensus on settings: read, answered and written as by the build before."""

import hashlib
import hmac
import json
import pathlib
import shutil
from typing import Any

import pytest

from tests.compatibility import build, files

PARTICIPANT: dict[str, Any] = files.load("agreement/participant.json")
CONTROL: dict[str, Any] = files.load("agreement/control.json")
SEALS: dict[str, Any] = files.load("agreement/seals.json")
STORED: dict[str, Any] = files.load("agreement/stored.json")
KEY = SEALS["key"].encode()


@pytest.mark.parametrize("case", PARTICIPANT["messages"], ids=lambda case: str(case["name"]))
def test_participant_answers_the_same(case: dict[str, Any]) -> None:
    found = build.participant_answer(case["remembers"], case["message"], case["wrong"])
    assert found == case["found"]


@pytest.mark.parametrize("case", PARTICIPANT["learns"], ids=lambda case: str(case["name"]))
def test_participant_learns_the_same(case: dict[str, Any]) -> None:
    found = build.participant_learns(case["remembers"], case["told"], case["fetched"])
    assert found == case["found"]


@pytest.mark.parametrize("case", CONTROL["plays"], ids=lambda case: str(case["name"]))
def test_control_process_says_the_same(case: dict[str, Any], tmp_path: pathlib.Path) -> None:
    path = tmp_path / "journal"
    found = build.control_play(str(path), CONTROL["members"], case["script"])
    assert found == case["found"]
    assert files.journal_rows(path) == case["rows"]


def test_journal_is_read_to_the_same_records(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "journal"
    shutil.copy(files.RECORDED / "agreement/journal.sqlite", path)
    assert build.journal_records(str(path)) == STORED["records"]
    assert {record["kind"] for record in STORED["records"]} == {
        "epoch",
        "proposed",
        "decided",
        "in_force",
    }


def test_journal_is_written_with_the_same_rows(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "journal"
    build.write_journal(str(path), STORED["records"])
    assert files.journal_rows(path) == files.journal_rows(
        files.RECORDED / "agreement/journal.sqlite"
    )


def test_state_files_are_named_the_same() -> None:
    assert build.state_files("g1") == STORED["names"]


@pytest.mark.parametrize("left_out", [None, 0, 1])
def test_state_files_are_read_to_the_same_state(
    left_out: int | None, tmp_path: pathlib.Path
) -> None:
    for slot, name in enumerate(STORED["names"]):
        if slot != left_out:
            shutil.copy(files.RECORDED / "agreement" / name, tmp_path / name)
    expected = STORED["states"][-2] if left_out == STORED["last"] else STORED["states"][-1]
    assert build.load_state(str(tmp_path), "g1") == [expected, True]


def test_a_cut_state_file_gives_way_to_the_other(tmp_path: pathlib.Path) -> None:
    for name in STORED["names"]:
        shutil.copy(files.RECORDED / "agreement" / name, tmp_path / name)
    last = tmp_path / STORED["names"][STORED["last"]]
    last.write_bytes(last.read_bytes()[:-9])
    assert build.load_state(str(tmp_path), "g1") == [STORED["states"][-2], False]


def test_state_files_are_written_with_the_same_bytes(tmp_path: pathlib.Path) -> None:
    build.save_states(str(tmp_path), "g1", STORED["states"])
    for name in STORED["names"]:
        assert (tmp_path / name).read_bytes() == (files.RECORDED / "agreement" / name).read_bytes()


def test_recorded_question_verifies() -> None:
    signature, body = SEALS["question"]["seal"].encode(), SEALS["question"]["body"].encode()
    understood = build.verify_request(KEY, "g1", signature, body)
    assert understood == json.loads(SEALS["question"]["body"])
    assert build.verify_request(KEY, "g2", signature, body) == "unsealed"
    assert build.verify_request(KEY[:-1], "g1", signature, body) == "unsealed"
    assert build.verify_request(KEY, "g1", signature, body + b" ") == "unsealed"


def test_question_has_the_same_keys_and_signature() -> None:
    body, signature = build.sign_request(KEY, SEALS["question"]["message"])
    assert list(json.loads(body)) == list(json.loads(SEALS["question"]["body"]))
    parts = b"".join(b"%d:%b" % (len(part), part) for part in (b"question", body))
    assert signature.decode() == hmac.new(KEY, parts, hashlib.sha256).hexdigest()


def test_recorded_answer_verifies_and_is_sealed_the_same() -> None:
    asked, message = SEALS["question"]["seal"].encode(), SEALS["answer"]["told"]
    body, signature = build.sign_response(KEY, asked, message)
    assert [body.decode(), signature.decode()] == [SEALS["answer"]["body"], SEALS["answer"]["seal"]]
    assert build.verify_response(KEY, asked, signature, body) == message
    assert build.verify_response(KEY, asked[:-1], signature, body) == "unsealed"


def test_sealed_call_has_the_same_bytes() -> None:
    assert build.agreement_paths() == SEALS["paths"]
    question = SEALS["question"]
    sent = build.signed_call(
        SEALS["paths"][0], "127.0.0.1:7", question["seal"].encode(), question["body"].encode()
    )
    assert sent.decode() == SEALS["call"]
