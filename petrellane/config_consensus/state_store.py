"""Durable state of a participant: two files in a folder that outlives the gateway's process.

Writes alternate between the files, so that the previous state stays complete during a write. Each
file has a sequence number, a version and a checksum of its content, and is flushed to the disk
before `save` returns. The store does not read a file that is truncated, or that has another version
or belongs to another gateway. The state in the other file is then still usable, but may not be the
latest.
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

VERSION: Final = 1  # version of the file format
SLOTS: Final = (0, 1)  # suffixes of the two files
NAME_DIGEST_BYTES: Final = 8
CHECKSUM_BYTES: Final = 16

StoredContent = dict[str, Any]  # a state as JSON, with the keys of version 1


class UnreadableStateError(ConsensusError):
    """A file cannot be read, or has no valid state of this gateway; the text is one line."""


class StoredState(NamedTuple):
    """The state in one file; the file with the higher sequence number has the later state."""

    sequence_number: int
    state: ParticipantState


class LoadedState(NamedTuple):
    """The result of `StateStore.load`.

    Attributes:
        state: The latest state that can be read, or None if there is none.
        fault: The reason, in one line, why a later state may have been lost; None if each file is
            valid or does not exist.
    """

    state: ParticipantState | None
    fault: str | None


class StateStore:
    """Reads and writes the state files of one gateway; its participant service owns it.

    The files are open only during a call.

    Attributes:
        folder: The path of the folder.
        gateway: The name of the gateway.
        sequence_number: The sequence number of the state that was saved or loaded last.
        paths: The paths of the two files.
    """

    def __init__(self, folder: str, gateway: str) -> None:
        self.folder = folder
        self.gateway = gateway
        self.sequence_number = 0
        self._is_folder_flushed = True  # whether a new file in it is known to outlast a crash
        name = file_name(gateway)
        self.paths = [
            os.path.join(folder, f"{name}.{slot}")  # noqa: PTH118 - errors show paths as configured
            for slot in SLOTS
        ]

    def load(self) -> LoadedState:
        """Return the latest state that can be read, and why a later one may have been lost."""
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
        """Write a state, which is on the disk when this method returns.

        Raises:
            OSError: The state cannot be written; the previous state can still be loaded.
        """
        sequence_number = self.sequence_number + 1
        path = self.paths[sequence_number % len(SLOTS)]
        if not Path(path).exists():
            self._is_folder_flushed = False
        with open(path, "wb") as file:  # noqa: PTH123 - its errors show the path as configured
            file.write(self._encode(sequence_number, state))
            file.flush()
            os.fsync(file.fileno())
        if not self._is_folder_flushed:
            self._flush_folder()
            self._is_folder_flushed = True
        self.sequence_number = sequence_number

    def _read(self, path: str) -> StoredState | None:
        """Return the state in a file, or None if the file does not exist.

        Raises:
            UnreadableStateError: The file cannot be read, or has no valid state of this gateway.
        """
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
                f"{path}: expected a complete file, found a truncated or damaged one ({error})"
            ) from None

    def _decode(self, path: str, data: bytes) -> StoredState:
        stored = orjson.loads(data)
        if stored["version"] != VERSION:
            raise UnreadableStateError(
                f"{path}: expected version {VERSION}, found {stored['version']}: move the file "
                "away; the gateway fetches the state from its peers"
            )
        if stored["gateway"] != self.gateway or stored["check"] != checksum(stored["remembers"]):
            raise UnreadableStateError(
                f"{path}: expected a state of gateway {self.gateway} with a matching checksum, "
                "found another gateway or checksum"
            )
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
        """Flush the directory to the disk; otherwise, a crash may lose a new file."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def file_name(gateway: str) -> str:
    """Return the name of a gateway's state files, without the suffix of the slot."""
    name_digest = hashlib.blake2b(gateway.encode(), digest_size=NAME_DIGEST_BYTES)
    return f"petrellane-{name_digest.hexdigest()}.agreement"


def checksum(content: StoredContent) -> str:
    """Return the checksum of a stored state, which does not depend on the order of keys."""
    data = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=CHECKSUM_BYTES).hexdigest()


def encode_state(state: ParticipantState) -> StoredContent:
    """Return a state in the form in which a file stores it, with the settings of generations."""
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
