"""Runs a process of a scale run, and tells what it reads, writes and spends: `python -m petrellane.testbed.metered serve`.

What is run is the command line as it is (`serve`, `control`) or a part of the rig (`hollow`, `discovery`, `counter`, each
with a file). Bytes are those that streams hand to sockets and get from them, without the kernel's own. A message is one
write, as every question and every answer of ours is; one that comes is counted where bytes come after a write, or the first
ones, as peers take turns, and by its head where questions may follow each other without a turn (the counter's).

LAB_METER says in JSON which ports stand for what: {"ports": {"7001": "discovery"}, "else": "agreement"}. A line of the log
every `EVERY` seconds tells sums since the start: `by` what a stream is for, messages in and out, bytes in and out.
"""

import os
import sys
import time

import orjson

EVERY = 0.25
HEADS = {
    "counter": (b"$", b"-BUSY", b"-ERR"),
    "adds": (b"*",),
}  # that answers and questions begin with
PAGE = os.sysconf("SC_PAGE_SIZE")


class Meter:
    """Counts what all streams of this process carry; `more` adds figures of its own to each line."""

    def __init__(self, ports, otherwise):
        self.ports, self.otherwise, self.by, self.more = ports, otherwise, {}, dict

    @staticmethod
    def resident():
        """Bytes of memory that this process holds."""
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * PAGE

    def row(self, stream):
        """The sums that a stream belongs to, found when it first carries something."""
        found = getattr(stream, "meter", None)
        if found is None:
            try:
                kind = self.ports.get(str(stream.sock.getpeername()[1]), self.otherwise)
            except OSError:  # it is over already
                kind = self.otherwise
            stream.meter = found = self.by.setdefault(kind, [0, 0, 0, 0]), HEADS.get(kind), [True]
        return found

    def install(self):
        """Count from now on, in every stream that is made."""
        from petrellane.net.scheduler import Scheduler
        from petrellane.net.stream import Stream

        fill, flush, write, run = Stream.fill, Stream.flush, Stream.write, Scheduler.run

        def filled(stream, timeout=None):
            before = len(stream.buffer)
            fill(stream, timeout)
            row, heads, turn = self.row(stream)
            row[2] += len(stream.buffer) - before
            if heads:
                row[0] += sum(map(stream.buffer[before:].count, heads))
            elif turn[0]:
                row[0], turn[0] = row[0] + 1, False

        def flushed(stream):
            before = stream.sent
            flush(stream)
            if stream.sent != before:
                self.row(stream)[0][3] += stream.sent - before

        def written(stream, *pieces):
            row, _, turn = self.row(stream)
            row[1], turn[0] = row[1] + 1, True
            write(stream, *pieces)

        def running(scheduler):
            def tell():
                scheduler.after(EVERY, tell)
                self.tell(scheduler.now())

            tell()
            run(scheduler)

        Stream.fill, Stream.flush, Stream.write, Scheduler.run = filled, flushed, written, running

    def tell(self, now):
        """One line on standard output, dropped where nobody takes it: the next one tells the same and more."""
        line = {
            "at": round(now, 6),
            "event": "meter",
            "cpu": round(time.process_time(), 4),
            "rss": self.resident(),
            "by": self.by,
            **self.more(),
        }
        try:
            os.write(1, orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
        except OSError:
            pass


def main():
    told = orjson.loads(os.environ.get("LAB_METER", "{}"))
    meter = Meter(told.get("ports", {}), told.get("else", "agreement"))
    meter.install()
    what, *words = sys.argv[1:]
    if what == "hollow":
        from petrellane.testbed import hollow

        return hollow.run(words[0], meter)
    if what in ("discovery", "counter"):
        from petrellane.testbed import services

        return services.run(what, words[0], meter)
    if what == "serve":
        from petrellane.gateway import process

        return process.serve(os.environ)
    from petrellane.cli import app

    return app(prog_name="petrellane")


if __name__ == "__main__":
    sys.exit(main())
