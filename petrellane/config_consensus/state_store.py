"""What a gateway remembers of agreement, in a folder that outlives it.

Two files take turns, so that the one before stays whole while the next is written; each holds its turn, its version and a
check over its content, and is flushed to the disk before it counts. What is cut, of another version or of another gateway
is not read; where one file is, the other still tells much, but not surely what the gateway said last.
"""

import hashlib
import os

import orjson

from petrellane.config_consensus import safe_settings
from petrellane.config_consensus.ballots import parse_ballot, parse_epoch, parse_generation
from petrellane.config_consensus.participant import ParticipantState

VERSION = 1


class Unreadable(Exception):
    """There is a file, and it is none that this build wrote whole; the text is one line."""


def file_name(gateway):
    return "petrellane-%s.agreement" % hashlib.blake2b(gateway.encode(), digest_size=8).hexdigest()


class Store:
    """One gateway's files."""

    def __init__(self, folder, gateway):
        self.folder, self.gateway, self.turn = folder, gateway, 0
        self.paths = [os.path.join(folder, f"{file_name(gateway)}.{slot}") for slot in (0, 1)]

    def load(self):
        """What is remembered, None where nothing is; and why that may not be the last, None where it surely is."""
        found, why = [], None
        for path in self.paths:
            try:
                found += filter(None, [self.read(path)])
            except Unreadable as error:
                why = str(error)
        if not found:
            return None, why
        self.turn, state = max(found, key=lambda told: told[0])
        return state, why

    @staticmethod
    def state_of(content):
        return ParticipantState(
            parse_generation(content["in_force"], safe_settings.digest),
            parse_epoch(content["promised"]),
            tuple(parse_generation(one, safe_settings.digest) for one in content["possible"]),
            tuple(map(parse_ballot, content["denied"])),
        )

    def read(self, path):
        """The turn and the state of one file; None where there is none. Raises Unreadable."""
        try:
            with open(path, "rb") as file:
                told = orjson.loads(file.read())
            if told["version"] != VERSION:
                raise Unreadable(
                    f"{path}: expected version {VERSION}, found {told['version']}: move it away, and the "
                    "gateway asks the others"
                )
            if told["gateway"] != self.gateway or told["check"] != check(told["remembers"]):
                raise Unreadable(f"{path}: expected what {self.gateway} wrote whole")
            return told["turn"], self.state_of(told["remembers"])
        except FileNotFoundError:
            return None
        except OSError as error:
            raise Unreadable(f"{path}: expected a readable file: {error.strerror}") from None
        except (ValueError, KeyError, TypeError) as error:
            raise Unreadable(
                f"{path}: expected a whole file, found one cut short or spoilt ({error})"
            ) from None

    def save(self, state):
        """Remember; durable when it returns. Raises OSError, and what was remembered before still is."""
        content = {
            "in_force": state.in_force.to_dict(),
            "promised": list(state.promised),
            "possible": [one.to_dict() for one in state.prepared],
            "denied": [{"number": one.number, "epoch": list(one.epoch)} for one in state.aborted],
        }
        told = {
            "version": VERSION,
            "gateway": self.gateway,
            "turn": self.turn + 1,
            "check": check(content),
            "remembers": content,
        }
        path = self.paths[(self.turn + 1) % 2]
        made = not os.path.exists(path)
        with open(path, "wb") as file:
            file.write(orjson.dumps(told))
            file.flush()
            os.fsync(file.fileno())
        if made:
            folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        self.turn += 1


def check(content):
    return hashlib.blake2b(
        orjson.dumps(content, option=orjson.OPT_SORT_KEYS), digest_size=16
    ).hexdigest()
