"""A fake of the counter service: named totals that expire."""

from petrellane.net.scheduler import Scheduler
from petrellane.net.stream import Address, Stream
from petrellane.testbed.addresses import ANY_PORT
from petrellane.testbed.fake_server import FakeServer

MAXIMUM_LIFETIME_S = 60.0
EXPIRY_THRESHOLD = 100_000  # totals stored before the counter drops expired ones


class FakeCounter(FakeServer):
    """The fake counter of a run, owned by its fleet.

    Attributes:
        unresponsive: Whether the counter sends no replies; it still applies additions.
        refuses: Whether the counter answers every addition with -BUSY, without applying it.
        adds: The number of additions requested so far.
    """

    def __init__(self, scheduler: Scheduler, address: Address = ANY_PORT) -> None:
        """Listen at an address."""
        super().__init__(scheduler, address)
        self.unresponsive = False
        self.refuses = False
        self.adds = 0
        self._totals: dict[
            bytes, tuple[float, float]
        ] = {}  # expiry (Unix seconds) and total, by name

    def serve(self, stream: Stream) -> None:
        """Answer CNT.ADD and PING."""
        for parts in self.commands(stream):
            if parts[0] == b"CNT.ADD" and len(parts) == 4:
                self._add(stream, parts)
            else:
                stream.write(b"+PONG\r\n" if parts[0] == b"PING" else b"-ERR no such call\r\n")

    def forget(self) -> None:
        """Drop all totals."""
        self._totals.clear()

    def _add(self, stream: Stream, parts: list[bytes]) -> None:
        self.adds += 1
        if self.refuses:
            stream.write(b"-BUSY\r\n")
            return
        _, name, amount, lifetime_ms = parts
        expires_at, total = self._totals.get(name, (0.0, 0.0))
        now = self.scheduler.now()
        if expires_at <= now:
            expires_at = now + min(MAXIMUM_LIFETIME_S, int(lifetime_ms) / 1e3)
            total = 0.0
        total += float(amount)
        self._totals[name] = (expires_at, total)
        if not self.unresponsive:
            text = b"%.7g" % total
            stream.write(b"$%d\r\n%b\r\n" % (len(text), text))
        if len(self._totals) > EXPIRY_THRESHOLD:
            self._totals = {name: entry for name, entry in self._totals.items() if entry[0] > now}
