"""Shares what is known of endpoints between the processes of one gateway.

In a hot restart two processes serve one gateway, and a process that ends is replaced by the next
one, perhaps while discovery does not answer. Peers see one gateway, so what any of its processes
was told of an endpoint binds all of them. `EndpointVersions` decides which of two lists counts.
"""

from __future__ import annotations

import math
import os
from typing import TYPE_CHECKING

from petrellane.config import ConfigError, EndpointEntry, EndpointListUpdate, StartTime
from petrellane.gateway.endpoint_list_codec import (
    ChunkedTurns,
    LogLine,
    decode_line,
    encode_line,
)
from petrellane.operation.endpoint_list_log import EndpointListLog
from petrellane.operation.hot_restart_transport import shared_file_path

if TYPE_CHECKING:
    from collections.abc import Iterator

    from petrellane.gateway.endpoint_lists import EndpointLists
    from petrellane.gateway.runtime import Runtime

LOG_SUFFIX = "endpoints"  # of the name of the file
GROWTH_FACTOR = 4  # the log is rewritten when it is this many times as long as one complete list
MIN_REWRITE_SIZE = 64 * 1024  # bytes; a shorter log is not rewritten


class EndpointListSharing:
    """Writes lists to the log of the gateway, and applies those of its other processes.

    `GatewayProcess` owns it if its configuration allows hot restarts, until the process ends.
    """

    def __init__(self, gateway_name: str, endpoint_lists: EndpointLists, runtime: Runtime) -> None:
        self._lists = endpoint_lists
        self._scheduler = runtime.scheduler
        self._limits = runtime.limits
        self._event_log = runtime.log
        self._writer = f"{os.getpid()}.{self._scheduler.monotonic()}"
        self._list_log = EndpointListLog(shared_file_path(gateway_name, LOG_SUFFIX), self._writer)
        self._generation = 0  # of the file that was read
        self._recorded_index: int | None = None  # the newest version in it
        self._rewrite_size = MIN_REWRITE_SIZE
        self._must_rewrite = False
        self._has_failed = False
        self._retry_at = -math.inf

    def inherited_lists(self) -> Iterator[EndpointListUpdate]:
        """Yield the lists that earlier processes have recorded, oldest first."""
        self._list_log.remove_temporary_files()
        turns = ChunkedTurns(self._limits.list_rows_per_turn, lambda: None)
        for line in self._read_lines(turns):
            yield line.update

    def record(self, update: EndpointListUpdate) -> None:
        """Record a list of discovery before it is applied, unless it tells nothing new."""
        versions = self._lists.known.versions
        if versions.is_behind(update.index):
            return
        if not update.full and not update.entries and update.index == versions.complete_index:
            return
        news = [
            entry for entry in update.entries if not versions.is_older(entry.name, update.index)
        ]
        update.start_times = self._start_times(news)
        turns = ChunkedTurns(self._limits.list_rows_per_turn, lambda: None)
        try:
            line = encode_line(self._writer, update, self._scheduler.unix_offset, turns)
            self._list_log.append(line)
        except (OSError, TypeError) as error:
            self._on_failed(error)
            return
        self._on_recorded(update.index)

    def request_rewrite(self) -> None:
        """Have the log replaced by what is known now, as earlier lines do not count any more."""
        self._must_rewrite = True

    def run(self) -> None:
        """Apply the lists of other processes and keep the log short, for the life of the process.

        The caller runs it in a greenlet of its own.
        """
        while True:
            self._apply_new_lines()
            if self._needs_rewrite():
                self._rewrite()
            self._scheduler.wait(self._limits.endpoint_log_interval)

    def _apply_new_lines(self) -> None:
        turns = ChunkedTurns(self._limits.list_rows_per_turn, self._yield_turn)
        for line in self._read_lines(turns):
            if line.writer == self._writer:
                continue
            while self._lists.is_applying:
                self._yield_turn()
            if self._lists.known.versions.is_news(line.update.index):
                self._lists.apply(line.update, self._yield_turn)

    def _read_lines(self, turns: ChunkedTurns) -> Iterator[LogLine]:
        """Yield the lines that were added, without those that are malformed."""
        scheduler = self._scheduler
        try:
            lines = self._list_log.read()
        except OSError as error:
            self._on_failed(error)
            return
        if self._generation != self._list_log.generation:
            self._generation = self._list_log.generation
            self._recorded_index = None
        for line in lines:
            try:
                decoded = decode_line(line, scheduler.monotonic(), scheduler.now(), turns)
            except (ConfigError, ValueError):
                continue
            self._on_recorded(decoded.update.index)
            yield decoded

    def _on_recorded(self, index: int) -> None:
        """Handle a list that is in the file."""
        self._recorded_index = max(index, self._recorded_index or index)

    def _needs_rewrite(self) -> bool:
        versions = self._lists.known.versions
        known_index = versions.complete_index
        # A complete list has one version, and can't replace lines with later ones.
        if self._lists.is_applying or known_index is None or versions.has_gap:
            return False
        if self._scheduler.now() < self._retry_at:
            return False
        log = self._list_log
        # A process that replaced the file at the same time may have known less.
        lacks_latest = self._recorded_index is None or self._recorded_index < known_index
        is_long = log.size > self._rewrite_size
        return self._must_rewrite or log.is_incomplete or lacks_latest or is_long

    def _rewrite(self) -> None:
        """Replace the log by one complete list."""
        known = self._known_list()
        turns = ChunkedTurns(self._limits.list_rows_per_turn, self._yield_turn)
        try:
            line = encode_line(self._writer, known, self._scheduler.unix_offset, turns)
            if not self._list_log.replace(line):
                return
        except (OSError, TypeError) as error:
            self._on_failed(error)
            return
        self._on_recorded(known.index)
        self._must_rewrite = False
        self._has_failed = False
        self._rewrite_size = max(MIN_REWRITE_SIZE, GROWTH_FACTOR * len(line))

    def _known_list(self) -> EndpointListUpdate:
        """Return the known endpoints as a complete list."""
        index = self._lists.known.versions.complete_index
        if index is None:
            raise RuntimeError("expected a complete endpoint list, found none")
        entries = [self._entry_of(name) for name in self._lists.known]
        return EndpointListUpdate(index, True, entries, start_times=self._start_times(entries))

    def _entry_of(self, name: str) -> EndpointEntry:
        endpoint = self._lists.known[name]
        host, _, port = endpoint.address.rpartition(":")
        start = self._lists.known.start_times.get(name)
        return EndpointEntry(
            name,
            (host, int(port)),
            endpoint.zone,
            endpoint.kind,
            endpoint.pod,
            endpoint.state,
            endpoint.weight,
            start.listed if start else 0.0,
        )

    def _start_times(self, entries: list[EndpointEntry]) -> dict[str, StartTime]:
        """Return the start times of endpoints that have not started long ago."""
        start_times = self._lists.known.start_times
        start_times.on_clock_read(self._scheduler.wall_clock_step())
        now = self._scheduler.now()
        return {
            entry.name: StartTime(entry.started_at, start_times.local_start(entry, now))
            for entry in entries
            if entry.started_at
        }

    def _on_failed(self, error: OSError | TypeError) -> None:
        """Log the first failure since the last success; the log is rewritten when that succeeds."""
        self._list_log.is_incomplete = True
        self._retry_at = self._scheduler.now() + self._limits.endpoint_log_retry_delay
        if not self._has_failed:
            self._has_failed = True
            self._event_log.event("endpoint_log_failed", error=str(error))

    def _yield_turn(self) -> None:
        self._scheduler.wait(0)
