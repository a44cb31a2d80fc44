"""The registry of the running processes of one gateway, and what the kernel says of them.

Each process adds its id and its start time to a file that the processes of the gateway share. A
process counts as running while the kernel has a process with this id and start time, so a process
that is killed or hangs needs to say nothing. See proc(5) for the kernel's files.
"""

import contextlib
import errno
import os
import stat
from typing import NamedTuple

from petrellane.decisions.shared_limits import NO_PEERS, PeerUsage

_MODE = 0o600
_FLAGS = os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK
_MAX_SIZE = 64 * 1024  # bytes that are read of the file
_START_TIME_FIELD = 19  # of `stat`, counted from the state of the process on
_RESIDENT_FIELD = 21  # the same, in pages


class ProcessKey(NamedTuple):
    """What identifies a process, as the kernel uses the ids of processes again.

    Attributes:
        pid: The id.
        started_at: The start time, in clock ticks since the system was started.
    """

    pid: int
    started_at: int

    def encode(self) -> bytes:
        """Return the line of the registry for this process."""
        return b"%d %d\n" % self

    @classmethod
    def decode(cls, line: bytes) -> "ProcessKey | None":
        """Return the process of a line; None if the line is malformed."""
        try:
            pid, started_at = line.split()
            return cls(int(pid), int(started_at))
        except ValueError:
            return None


class ProcessStatus(NamedTuple):
    """What the kernel says of a process.

    Attributes:
        key: The process.
        resident: Its resident memory, in bytes; 0 if it has ended.
    """

    key: ProcessKey
    resident: int


class ProcessRegistry:
    """The registry, as one process of the gateway uses it; it keeps no descriptor open."""

    def __init__(self, path: str) -> None:
        """Describe the registry.

        Args:
            path: The path of the file.
        """
        self.path = path
        status = _status_of(os.getpid())
        self._own = status.key if status else None

    def register(self) -> None:
        """Add this process, and drop the processes that have ended.

        Raises:
            OSError: The file cannot be written.
        """
        if self._own is None:
            return
        running = [key for key in self._read() if key != self._own and _running(key)]
        temporary = f"{self.path}.{self._own.pid}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary)
        lines = b"".join(key.encode() for key in [*running, self._own])
        _write(temporary, os.O_CREAT | os.O_EXCL, lines)
        os.rename(temporary, self.path)

    def peer_usage(self) -> PeerUsage:
        """Return what the other running processes hold together.

        A process that has replaced the file at the same time may have dropped this one, which is
        then added again.

        Raises:
            OSError: The file cannot be read or written.
        """
        if self._own is None:
            return NO_PEERS
        keys = set(self._read())
        if self._own not in keys:
            # The line before may be incomplete.
            _write(self.path, os.O_APPEND | os.O_CREAT, b"\n" + self._own.encode())
        peers = [status for key in keys - {self._own} if (status := _running(key))]
        return PeerUsage(
            len(peers),
            sum(peer.resident for peer in peers),
            sum(_descriptor_count(peer.key.pid) for peer in peers),
        )

    def _read(self) -> list[ProcessKey]:
        """Return the processes in the file."""
        try:
            descriptor = _open(self.path, os.O_RDONLY)
        except FileNotFoundError:
            return []
        try:
            data = os.read(descriptor, _MAX_SIZE)
        finally:
            os.close(descriptor)
        return [key for line in data.splitlines() if (key := ProcessKey.decode(line))]


def _running(key: ProcessKey) -> ProcessStatus | None:
    """Return the status of a process; None if it has ended."""
    status = _status_of(key.pid)
    return status if status and status.key == key and status.resident else None


def _status_of(pid: int) -> ProcessStatus | None:
    """Return the status of the process that has an id now; None without one."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
        key = ProcessKey(pid, int(fields[_START_TIME_FIELD]))
        return ProcessStatus(key, int(fields[_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE"))
    except (OSError, ValueError, IndexError):
        return None


def _descriptor_count(pid: int) -> int:
    """Return the number of open descriptors of a process; 0 if the kernel does not tell."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def _open(path: str, flags: int) -> int:
    """Open a file of the registry, which has to be a regular one of this user."""
    descriptor = os.open(path, flags | _FLAGS, _MODE)
    status = os.fstat(descriptor)
    if stat.S_ISREG(status.st_mode) and status.st_uid == os.geteuid():
        return descriptor
    os.close(descriptor)
    raise OSError(errno.EPERM, "expected a regular file of this user", path)


def _write(path: str, flags: int, data: bytes) -> None:
    """Write data to a file of the registry; a part of a line is malformed and counts as none."""
    descriptor = _open(path, os.O_WRONLY | flags)
    try:
        if os.write(descriptor, data) != len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC), path)
    finally:
        os.close(descriptor)
