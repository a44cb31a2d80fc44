"""Durable state of a participant: two files in a folder that outlives the gateway's process.

The files are written in turns, so that the previous one stays complete while the next is written.
Each holds a sequence number, a version and a checksum of its content, and is flushed to the disk
before `save` returns. A file that is truncated, of another version or of another gateway is not
read; the state in the other file is still useful then, but may not be the last one.
"""

import hashlib
import os
from pathlib import Path
from typing import Any, Final, NamedTuple

import orjson

from petrellane.config_consensus import state_keys
from petrellane.config_consensus.ballots import parse_ballot, parse_epoch, parse_generation
from petrellane.config_consensus.canonical_settings import digest
from petrellane.config_consensus.errors import ConsensusError
from petrellane.config_consensus.participant import ParticipantState

VERSION: Final = 1  # of the files' layout
SLOTS: Final = (0, 1)
NAME_DIGEST_BYTES: Final = 8
CHECKSUM_BYTES: Final = 16

StoredContent = dict[str, Any]  # a state as JSON, by the keys of version 1


class UnreadableStateError(ConsensusError):
    """A file that this build did not write, or not completely; the text is one line."""


class StoredState(NamedTuple):
    """The content of one file; of two, the one with the higher sequence number is the later."""

    sequence_number: int
    state: ParticipantState


class LoadedState(NamedTuple):
    """What `StateStore.load` found.

    Attributes:
        state: the latest state that can be read, or None where there is none.
        fault: why that may not be the last one saved, in one line; None where it surely is.
    """

    state: ParticipantState | None
    fault: str | None


class StateStore:
    """The files of one gateway, which its participant service owns; they are open only in calls."""

    def __init__(self, folder: str, gateway: str) -> None:
        self.folder = folder
        self.gateway = gateway
        self.sequence_number = 0  # of the last write, or the last file that was loaded
        name = file_name(gateway)
        self.paths = [
            os.path.join(folder, f"{name}.{slot}")  # noqa: PTH118 - errors show paths as configured
            for slot in SLOTS
        ]

    def load(self) -> LoadedState:
        """Return the latest state, and why it may not be the last one that was saved."""
        found: list[StoredState] = []
        fault = None
        for path in self.paths:
            try:
                stored = self._read(path)
            except UnreadableStateError as error:
                fault = str(error)
                continue
            if stored is not None:
                found.append(stored)
        if not found:
            return LoadedState(None, fault)
        latest = max(found, key=lambda stored: stored.sequence_number)
        self.sequence_number = latest.sequence_number
        return LoadedState(latest.state, fault)

    def save(self, state: ParticipantState) -> None:
        """Write a state; it is on the disk when this returns.

        Raises:
            OSError: It could not be written; what was saved before can still be loaded.
        """
        sequence_number = self.sequence_number + 1
        path = self.paths[sequence_number % len(SLOTS)]
        is_new = not Path(path).exists()
        with open(path, "wb") as file:  # noqa: PTH123 - its errors show the path as configured
            file.write(self._encode(sequence_number, state))
            file.flush()
            os.fsync(file.fileno())
        if is_new:
            self._flush_folder()
        self.sequence_number = sequence_number

    def _read(self, path: str) -> StoredState | None:
        """Return the content of a file, None where there is none. Raises UnreadableStateError."""
        try:
            return self._decode(path, Path(path).read_bytes())
        except FileNotFoundError:
            return None
        except OSError as error:
            raise UnreadableStateError(
                f"{path}: expected a readable file: {error.strerror}"
            ) from None
        except (ValueError, KeyError, TypeError) as error:
            raise UnreadableStateError(
                f"{path}: expected a whole file, found one cut short or spoilt ({error})"
            ) from None

    def _decode(self, path: str, data: bytes) -> StoredState:
        stored = orjson.loads(data)
        if stored["version"] != VERSION:
            raise UnreadableStateError(
                f"{path}: expected version {VERSION}, found {stored['version']}: move it away, and "
                "the gateway asks the others"
            )
        if stored["gateway"] != self.gateway or stored["check"] != checksum(stored["remembers"]):
            raise UnreadableStateError(f"{path}: expected what {self.gateway} wrote whole")
        return StoredState(stored["turn"], _decode_state(stored["remembers"]))

    def _encode(self, sequence_number: int, state: ParticipantState) -> bytes:
        content = encode_state(state)
        return orjson.dumps(
            {
                "version": VERSION,
                "gateway": self.gateway,
                "turn": sequence_number,
                "check": checksum(content),
                "remembers": content,
            }
        )

    def _flush_folder(self) -> None:
        """Flush the folder's entries: a new file is lost without them."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def file_name(gateway: str) -> str:
    """Return the name of a gateway's files, without the slot's suffix."""
    name_digest = hashlib.blake2b(gateway.encode(), digest_size=NAME_DIGEST_BYTES)
    return f"petrellane-{name_digest.hexdigest()}.agreement"


def checksum(content: StoredContent) -> str:
    """Return the checksum of a stored state, whatever the order of its keys."""
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).hexdigest()


def encode_state(state: ParticipantState) -> StoredContent:
    """Return a state as its file keeps it, with all contents."""
    return {
        state_keys.IN_FORCE: state.in_force.to_dict(),
        state_keys.PROMISED: list(state.promised),
        state_keys.PREPARED: [generation.to_dict() for generation in state.prepared],
        state_keys.ABORTED: [ballot.to_dict() for ballot in state.aborted],
    }


def _decode_state(content: StoredContent) -> ParticipantState:
    return ParticipantState(
        in_force=parse_generation(content[state_keys.IN_FORCE], digest),
        promised=parse_epoch(content[state_keys.PROMISED]),
        prepared=tuple(
            parse_generation(generation, digest) for generation in content[state_keys.PREPARED]
        ),
        aborted=tuple(parse_ballot(ballot) for ballot in content[state_keys.ABORTED]),
    )
