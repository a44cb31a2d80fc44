"""Records the consensus on settings: participants, control processes, stored state, signatures."""

import pathlib
import shutil
import tempfile

from tests.compatibility import build, files
from tests.compatibility.files import Json
from tests.compatibility.recording.consensus_state import (
    EPOCH,
    NEW_SETTINGS,
    ballot,
    generation,
    participant_state,
)
from tests.compatibility.recording.control_process import Course, record_control_plays
from tests.compatibility.recording.participant import record_participant

FOLDER = files.RECORDED / "agreement"
GATEWAY = "g1"
KEY = "0123456789abcdef0123456789abcdef"
HOST = "127.0.0.1:7"


def record_agreement(_checkout: pathlib.Path) -> None:
    """Record messages and answers, plays of control processes, signatures and stored state."""
    files.save("agreement/participant.json", record_participant())
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        files.save("agreement/control.json", record_control_plays(folder))
        records = _record_journal(folder / Course.COMMITTED)
    _record_stored_state(records)
    files.save("agreement/seals.json", _record_signatures())


def _record_journal(journal: pathlib.Path) -> Json:
    """Keep a journal, and return its records as the program reads them."""
    kept = FOLDER / "journal.sqlite"
    kept.unlink(missing_ok=True)
    shutil.copy(journal, kept)
    return build.journal_records(str(journal))


def _record_stored_state(journal_records: Json) -> None:
    """Record the state files of a participant that has saved three states."""
    states = [
        participant_state(),
        participant_state(prepared=[generation(3, NEW_SETTINGS, EPOCH)]),
        participant_state(aborted=[ballot(3, EPOCH)]),
    ]
    names = build.state_files(GATEWAY)
    for name in names:
        (FOLDER / name).unlink(missing_ok=True)
    build.save_states(str(FOLDER), GATEWAY, states)
    content = {
        "records": journal_records,
        "names": names,
        "states": states,
        "last": len(states) % 2,
    }
    files.save("agreement/stored.json", content)


def _record_signatures() -> Json:
    """Return the recording of a signed request and its response; their nonce and time are new."""
    key = KEY.encode()
    message = {"do": "promise", "to": GATEWAY, "epoch_of": list(EPOCH), "order": 1}
    body, signature = build.sign_request(key, message)
    answer = {"promised": list(EPOCH), "possible": []}
    answer_body, answer_signature = build.sign_response(key, signature, answer)
    paths = build.consensus_paths()
    return {
        "key": KEY,
        "question": {"message": message, "body": body.decode(), "seal": signature.decode()},
        "answer": {
            "told": answer,
            "body": answer_body.decode(),
            "seal": answer_signature.decode(),
        },
        "paths": paths,
        "call": build.signed_call(paths[0], HOST, signature, body).decode(),
    }
