"""Runs one process of a scale run with a meter: `python -m petrellane.testbed.metered serve`.

What is run is a command line of the program (`serve`, `control`) or a part of the testbed
(`hollow`, `discovery`, `counter`, each with a file). Bytes are those that streams pass to sockets
and get from them, without the kernel's own. A message is one write, as every request and every
response of ours is. One that comes is counted where bytes come after a write, or the first ones,
as peers take turns; on the counter's connections, where requests may follow each other without a
turn, it is counted by its first bytes.

The variable LAB_METER gives in JSON which ports stand for what:
{"ports": {"7001": "discovery"}, "else": "agreement"}. Every INTERVAL_S seconds a line of the log
has the sums since the start: by what a stream is for, the figures TRAFFIC_FIGURES.
"""

from __future__ import annotations

import contextlib
import os
import sys
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from petrellane.net.scheduler import Scheduler
    from petrellane.net.stream import Stream

INTERVAL_S = 0.25
TRAFFIC_FIGURES = ("messages_in", "messages_out", "bytes_in", "bytes_out")
MESSAGES_IN = 0  # indexes of TRAFFIC_FIGURES
MESSAGES_OUT = 1
BYTES_IN = 2
BYTES_OUT = 3
NO_TRAFFIC = (0, 0, 0, 0)

FIRST_BYTES: dict[str, tuple[bytes, ...]] = {  # of messages that come, by what a stream is for
    "counter": (b"$", b"-BUSY", b"-ERR"),
    "adds": (b"*",),
}
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
STANDARD_OUTPUT = 1
CONFIGURATION_VARIABLE = "LAB_METER"
DEFAULT_KIND = "agreement"
STREAM_ATTRIBUTE = "meter"  # of a stream, for its counts


class StreamCounts:
    """The sums that one stream belongs to; lives as long as the stream."""

    __slots__ = ("first_bytes", "is_peers_turn", "row")

    def __init__(self, row: list[int], first_bytes: tuple[bytes, ...] | None) -> None:
        self.row = row
        self.first_bytes = first_bytes
        self.is_peers_turn = True


class Meter:
    """Counts what all streams of this process carry; made once, before the first stream.

    Attributes:
        by: The sums by what a stream is for, as TRAFFIC_FIGURES.
        more: Returns further figures for each line; set by what is run.
    """

    def __init__(self, ports: Mapping[str, str], default_kind: str) -> None:
        """Make a meter that counts nothing yet.

        Args:
            ports: What streams to a port are for, by the port's number as text.
            default_kind: What all other streams are for.
        """
        self.ports = ports
        self.default_kind = default_kind
        self.by: dict[str, list[int]] = {}
        self.more: Callable[[], Mapping[str, Any]] = dict

    @staticmethod
    def resident_bytes() -> int:
        """Return the bytes of memory that this process holds."""
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_SIZE

    def counts_of(self, stream: Stream) -> StreamCounts:
        """Return the counts of a stream, found when it first carries something."""
        counts: StreamCounts | None = getattr(stream, STREAM_ATTRIBUTE, None)
        if counts is None:
            kind = self._kind_of(stream)
            row = self.by.setdefault(kind, [0, 0, 0, 0])
            counts = StreamCounts(row, FIRST_BYTES.get(kind))
            setattr(stream, STREAM_ATTRIBUTE, counts)
        return counts

    def _kind_of(self, stream: Stream) -> str:
        try:
            port = stream.sock.getpeername()[1]
        except OSError:  # the connection is over already
            return self.default_kind
        return self.ports.get(str(port), self.default_kind)

    def install(self) -> None:
        """Count from now on, in every stream that is made."""
        self._count_input()
        self._count_output()
        self._log_while_running()

    def _count_input(self) -> None:
        from petrellane.net.stream import Stream

        fill = Stream.fill

        def counting_fill(stream: Stream, timeout: float | None = None) -> None:
            before = len(stream.buffer)
            fill(stream, timeout)
            counts = self.counts_of(stream)
            row = counts.row
            row[BYTES_IN] += len(stream.buffer) - before
            if counts.first_bytes:
                row[MESSAGES_IN] += sum(map(stream.buffer[before:].count, counts.first_bytes))
            elif counts.is_peers_turn:
                row[MESSAGES_IN] += 1
                counts.is_peers_turn = False

        _replace_method(Stream, "fill", counting_fill)

    def _count_output(self) -> None:
        from petrellane.net.stream import Stream

        flush = Stream.flush
        write = Stream.write

        def counting_flush(stream: Stream) -> None:
            before = stream.bytes_sent
            flush(stream)
            if stream.bytes_sent != before:
                self.counts_of(stream).row[BYTES_OUT] += stream.bytes_sent - before

        def counting_write(stream: Stream, *pieces: bytes | bytearray | memoryview) -> None:
            counts = self.counts_of(stream)
            counts.row[MESSAGES_OUT] += 1
            counts.is_peers_turn = True
            write(stream, *pieces)

        _replace_method(Stream, "flush", counting_flush)
        _replace_method(Stream, "write", counting_write)

    def _log_while_running(self) -> None:
        from petrellane.net.scheduler import Scheduler

        run = Scheduler.run

        def logging_run(scheduler: Scheduler) -> None:
            def log() -> None:
                scheduler.call_later(INTERVAL_S, log)
                self.log_sums(scheduler.now())

            log()
            run(scheduler)

        _replace_method(Scheduler, "run", logging_run)

    def log_sums(self, now: float) -> None:
        """Write one line to standard output.

        It is dropped where the reader is slow: the next one has the same and more.
        """
        line = {
            "at": round(now, 6),
            "event": "meter",
            "cpu": round(time.process_time(), 4),
            "rss": self.resident_bytes(),
            "by": self.by,
            **self.more(),
        }
        with contextlib.suppress(OSError):
            os.write(STANDARD_OUTPUT, orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))


def _replace_method(
    owner: type[Stream] | type[Scheduler], name: str, method: Callable[..., None]
) -> None:
    setattr(owner, name, method)


def main() -> int:
    """Run what the command line names; return the exit code."""
    configuration = orjson.loads(os.environ.get(CONFIGURATION_VARIABLE, "{}"))
    meter = Meter(configuration.get("ports", {}), configuration.get("else", DEFAULT_KIND))
    meter.install()
    program, *arguments = sys.argv[1:]
    if program == "hollow":
        from petrellane.testbed.hollow import process as hollow_process

        return hollow_process.run(arguments[0], meter)
    if program in ("discovery", "counter"):
        from petrellane.testbed import services

        exit_code: int = services.run(program, arguments[0], meter)
        return exit_code
    if program == "serve":
        from petrellane.gateway import process

        return process.serve(os.environ)
    from petrellane.cli import app

    app(prog_name="petrellane")
    return 0


if __name__ == "__main__":
    sys.exit(main())
