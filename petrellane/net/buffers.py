"""Byte buffers whose memory returns to the system as soon as they are freed.

A heap that many large buffers of different sizes come from and go back to keeps most of their
memory, because smaller objects that are still in use lie between them. A buffer of more than
`MAX_HEAP_SIZE` bytes is therefore a memory mapping of its own, whatever allocator the process has:
its pages are resident only while it is in use.
"""

from __future__ import annotations

import contextlib
import mmap
from typing import Final, Self, overload

MAX_HEAP_SIZE: Final = 4 * 1024  # bytes; a larger buffer is mapped
RESERVED_SIZE: Final = 128 * 1024  # bytes of addresses for a buffer that grows
GROWTH: Final = 2  # factor by which the addresses grow where they do not suffice
MIN_CONSUMED_SHARE: Final = 0.5  # of a mapping, before its consumed front is released

HeldBytes = bytes | memoryview
"""Bytes that do not change: in the heap, or a view of a mapping that lives as long as the view."""


class Mapping(mmap.mmap):
    """An anonymous private mapping, which is unmapped when the last reference to it is gone.

    Only pages that have been used take memory.

    Attributes:
        total: The bytes in use of all mappings of the process, rounded up to pages.
        used: The bytes in use of this one, from its start, rounded up to pages.
    """

    total = 0
    used: int

    def __new__(cls, size: int, reserved: int = 0) -> Self:
        """Map `size` bytes for use, and reserve addresses for at least `reserved` bytes.

        Raises:
            OSError: The system has no memory, or the process has too many mappings.
        """
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        mapping = super().__new__(cls, -1, _round_to_pages(max(size, reserved)), flags=flags)
        mapping.used = 0
        mapping.use(size)
        return mapping

    def use(self, size: int) -> None:
        """Use at least the first `size` bytes from now on; the content may move.

        Raises:
            OSError: The system has no memory; the mapping is as before.
        """
        if size > len(self):
            self.resize(_round_to_pages(max(size, GROWTH * len(self))))
        self._set_used(max(self.used, _round_to_pages(size)))

    def release(self, size: int) -> None:
        """Give back the memory of all pages behind the first `size` bytes."""
        start = _round_to_pages(size)
        if start < self.used:
            self.madvise(mmap.MADV_DONTNEED, start, self.used - start)
            self._set_used(start)

    def _set_used(self, used: int) -> None:
        Mapping.total += used - self.used
        self.used = used

    def __del__(self) -> None:
        type(self).total -= self.used


def _round_to_pages(size: int) -> int:
    return -(-size // mmap.PAGESIZE) * mmap.PAGESIZE


def mapped_bytes() -> int:
    """Return the bytes of all mappings of the process."""
    return Mapping.total


def hold(data: bytes | bytearray | memoryview) -> HeldBytes:
    """Return a copy of bytes that may be kept for long.

    Where the system cannot map more memory, the copy is in the heap, whatever its size.
    """
    if len(data) <= MAX_HEAP_SIZE:
        return bytes(data)
    try:
        mapping = Mapping(len(data))
    except OSError:
        return bytes(data)
    mapping[: len(data)] = data
    return memoryview(mapping)[: len(data)].toreadonly()


class ReceiveBuffer:
    """The bytes that were received and not consumed: appended at the end, consumed at the front.

    A few bytes are in the heap, more of them in a mapping. Where the system cannot map more memory,
    all are in the heap.
    """

    __slots__ = ("_heap", "_mapping", "_start", "_stop")

    def __init__(self, data: bytes | bytearray = b"") -> None:
        """Start with a copy of some bytes."""
        self._heap = bytearray()
        self._mapping: Mapping | None = None
        self._start = 0  # of the content in the mapping
        self._stop = 0
        self.append(data)

    def __len__(self) -> int:
        return len(self._heap) if self._mapping is None else self._stop - self._start

    def __bytes__(self) -> bytes:
        return bytes(self[:])

    @overload
    def __getitem__(self, key: int) -> int: ...

    @overload
    def __getitem__(self, key: slice) -> bytes | bytearray: ...

    def __getitem__(self, key: int | slice) -> int | bytes | bytearray:
        if self._mapping is None:
            return self._heap[key]
        if isinstance(key, slice):
            start, stop, _ = key.indices(len(self))
            return self._mapping[self._start + start : self._start + max(start, stop)]
        if not 0 <= key < len(self):
            raise IndexError("buffer index out of range")
        return self._mapping[self._start + key]

    @property
    def memory(self) -> int:
        """The bytes of memory that the content uses; rounded up to pages, if it is mapped."""
        return len(self._heap) if self._mapping is None else self._mapping.used

    def find(self, pattern: bytes, start: int = 0, stop: int | None = None) -> int:
        """Return the offset of a pattern between two offsets; -1 if it is not there."""
        if self._mapping is None:
            return self._heap.find(pattern, start, stop)
        stop = len(self) if stop is None else min(stop, len(self))
        found = self._mapping.find(pattern, self._start + start, self._start + stop)
        return found - self._start if found >= 0 else found

    def hold(self, start: int, stop: int) -> HeldBytes:
        """Return a copy of the bytes between two offsets that may be kept for long."""
        if self._mapping is None:
            return hold(self._heap[start:stop])
        with (
            memoryview(self._mapping) as content,
            content[self._start + start : self._start + stop] as part,
        ):
            return hold(part)

    def append(self, data: bytes | bytearray | memoryview) -> None:
        """Add bytes at the end."""
        if self._mapping is None and len(self._heap) + len(data) > MAX_HEAP_SIZE:
            self._map(len(self._heap) + len(data))
        if self._mapping is not None and self._make_room(len(data)):
            self._mapping[self._stop : self._stop + len(data)] = data
            self._stop += len(data)
        else:
            self._heap += data

    def prepend(self, data: bytes) -> None:
        """Put bytes in front of the content."""
        rest = bytes(self)
        self.clear()
        self.append(data)
        self.append(rest)

    def consume(self, size: int) -> None:
        """Remove bytes at the front."""
        if self._mapping is None:
            del self._heap[:size]
            return
        self._start = min(self._start + size, self._stop)
        if len(self) <= MAX_HEAP_SIZE:
            self._unmap()
        elif self._start >= MIN_CONSUMED_SHARE * self._mapping.used:
            self._release_front(self._mapping)

    def clear(self) -> None:
        """Remove all bytes."""
        self._heap = bytearray()
        self._mapping = None
        self._start = self._stop = 0

    def _map(self, size: int) -> None:
        """Move the content from the heap to a mapping, if the system can map more memory."""
        try:
            mapping = Mapping(size, RESERVED_SIZE)
        except OSError:
            return
        mapping[: len(self._heap)] = bytes(self._heap)
        self._stop = len(self._heap)
        self._heap = bytearray()
        self._mapping = mapping

    def _unmap(self) -> None:
        """Move the content from the mapping to the heap."""
        content = bytearray(self[:])
        self.clear()
        self._heap = content

    def _make_room(self, size: int) -> bool:
        """Enlarge the mapping for more bytes; move the content to the heap where that fails."""
        mapping = self._mapping
        if mapping is None:
            return False
        if self._start:
            self._release_front(mapping)
        try:
            mapping.use(self._stop + size)
        except OSError:
            self._unmap()
            return False
        return True

    def _release_front(self, mapping: Mapping) -> None:
        """Move the content to the start of the mapping, and release the pages behind it."""
        size = len(self)
        mapping.move(0, self._start, size)
        self._start = 0
        self._stop = size
        with contextlib.suppress(OSError):  # the pages stay until more are consumed
            mapping.release(size)
