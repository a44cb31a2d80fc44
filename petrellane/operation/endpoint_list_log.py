"""The file in which the processes of one gateway record what they know of endpoints.

A process writes each list before it uses it, and reads what the others have written. What a process
knew therefore outlives it, however it ends. Each line is one list. A line that its writer did not
complete is terminated by the next one and is not valid JSON, so that readers skip it.

The first line of a file identifies it, as the numbers of files are used again. The file is written
and read without blocking waits: it is small, and nothing is flushed to a disk, as it has to outlive
processes but not the machine.
"""

import contextlib
import errno
import itertools
import os
import stat
from typing import NamedTuple

_MODE = 0o600
_FLAGS = os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK
_MAX_ATTEMPTS = 4
"""Attempts to write a line; another process replaces the file far less often."""
_MAX_IDENTITY_SIZE = 128  # bytes


class FileStatus(NamedTuple):
    """What changes when a file is written or replaced."""

    inode: int
    size: int
    modified_at_ns: int


class EndpointListLog:
    """The log of one gateway; each of its processes owns one object, which keeps no descriptor.

    Attributes:
        path: The path of the file.
        writer: The name of the process, which no other process has.
        size: The size of the file when it was last read or written, in bytes.
        is_incomplete: Whether the file may lack what this process knows, because it was missing or
            could not be written.
        generation: How often the file that is read has been another one.
    """

    def __init__(self, path: str, writer: str) -> None:
        self.path = path
        self.writer = writer
        self.size = 0
        self.is_incomplete = False
        self.generation = 0
        self._file_numbers = itertools.count()
        self._status: FileStatus | None = None
        self._identity = b""
        self._read_until = 0

    def read(self) -> list[bytes]:
        """Return the complete lines that were added since the last call, oldest first.

        After the file was replaced, all lines of the new one count as added.

        Raises:
            OSError: The file cannot be read, or belongs to another user.
        """
        try:
            if _status_of(os.stat(self.path, follow_symlinks=False)) == self._status:
                return []
            descriptor = self._open(os.O_RDONLY)
        except FileNotFoundError:
            self.is_incomplete = True
            return []
        try:
            self._status = _status_of(os.fstat(descriptor))
            self.size = self._status.size
            identity = _identity_of(descriptor)
            if identity != self._identity or self.size < self._read_until:
                self._identity = identity
                self._read_until = len(identity)
                self.generation += 1
            data = _read_from(descriptor, self._read_until)
        finally:
            os.close(descriptor)
        end = data.rfind(b"\n") + 1
        self._read_until += end
        return [line for line in data[:end].split(b"\n") if line]

    def append(self, line: bytes) -> None:
        """Add a line to the file, and once more if another process replaces the file meanwhile.

        Raises:
            OSError: The line cannot be written; a part of it may have been.
        """
        for _ in range(_MAX_ATTEMPTS):
            descriptor = self._open(os.O_WRONLY | os.O_APPEND | os.O_CREAT)
            try:
                self._append_to(descriptor, line)
                if self._is_in_place(descriptor):
                    return
            finally:
                os.close(descriptor)
        raise OSError(errno.EBUSY, "the file is replaced again and again", self.path)

    def _append_to(self, descriptor: int, line: bytes) -> None:
        size = os.fstat(descriptor).st_size
        head = b""
        if not size:
            self.is_incomplete = True
            head = self._new_identity()
        data = head + b"\n" + line + b"\n"
        _write(descriptor, data)
        self.size = size + len(data)

    def replace(self, line: bytes) -> bool:
        """Replace the file by one with this line, and with what was added since the last read.

        Args:
            line: The line that stands for all lines that were read.

        Returns:
            Whether the file was replaced; if another process has replaced it, it has to be read
            first.

        Raises:
            OSError: The file cannot be written; it is as before.
        """
        with contextlib.ExitStack() as resources:
            before: int | None = None
            with contextlib.suppress(FileNotFoundError):
                before = self._open(os.O_RDONLY)
                resources.callback(os.close, before)
            if before is not None and _identity_of(before) != self._identity:
                return False
            later = _read_from(before, self._read_until)
            data = self._new_identity() + b"\n" + line + b"\n" + later
            self._put_in_place(data)
            # Another process may have written to the old file until then.
            latest = _read_from(before, self._read_until + len(later))
        self.size = len(data)
        self.is_incomplete = False
        if latest:
            self.append(latest)
        return True

    def _put_in_place(self, data: bytes) -> None:
        """Write a new file, and put it in the place of the old one once it is complete."""
        temporary = f"{self.path}.{os.getpid()}"
        try:
            descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | _FLAGS, _MODE)
            try:
                _write(descriptor, data)
            finally:
                os.close(descriptor)
            os.rename(temporary, self.path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            raise

    def remove_temporary_files(self) -> None:
        """Remove the unfinished files of processes that were killed while they replaced the log."""
        folder, name = os.path.split(self.path)
        with contextlib.suppress(OSError):
            for entry in os.listdir(folder):
                if entry.startswith(f"{name}."):
                    os.unlink(os.path.join(folder, entry))

    def _open(self, flags: int) -> int:
        """Open the file, which has to be a regular one of this user."""
        descriptor = os.open(self.path, flags | _FLAGS, _MODE)
        status = os.fstat(descriptor)
        if stat.S_ISREG(status.st_mode) and status.st_uid == os.geteuid():
            return descriptor
        os.close(descriptor)
        raise OSError(errno.EPERM, "expected a regular file of this user", self.path)

    def _new_identity(self) -> bytes:
        """Return the first line of a new file."""
        return f"{self.writer}.{next(self._file_numbers)}\n".encode()

    def _is_in_place(self, descriptor: int) -> bool:
        """Return whether the path still leads to an open file."""
        try:
            return os.path.samestat(os.stat(self.path, follow_symlinks=False), os.fstat(descriptor))
        except FileNotFoundError:
            return False


def _status_of(status: os.stat_result) -> FileStatus:
    return FileStatus(status.st_ino, status.st_size, status.st_mtime_ns)


def _identity_of(descriptor: int) -> bytes:
    """Return the first line of a file with its line break; empty if it is not complete."""
    head = os.pread(descriptor, _MAX_IDENTITY_SIZE, 0)
    return head[: head.find(b"\n") + 1]


def _read_from(descriptor: int | None, offset: int) -> bytes:
    """Return the content of a file from an offset on; empty without a file."""
    if descriptor is None:
        return b""
    return os.pread(descriptor, max(0, os.fstat(descriptor).st_size - offset), offset)


def _write(descriptor: int, data: bytes) -> None:
    """Write data completely.

    Raises:
        OSError: The file system takes only a part, as one that is full.
    """
    if os.write(descriptor, data) != len(data):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
