"""What keeps the memory of a gateway process within its limit while clients hold it.

`MemoryMonitor` tells the account how much memory is resident and what clients have not received,
and refuses incomplete commands when a share is used up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrellane.gateway.client_connection import ClientConnection
from petrellane.gateway.client_input import ShedReason
from petrellane.gateway.memory_account import KIBIBYTE
from petrellane.gateway.process_memory import resident_memory

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from petrellane.gateway.memory_account import MemoryAccount
    from petrellane.gateway.runtime import Runtime

MAX_BODIES = 2  # multiple of their share that incomplete long commands may hold together


class MemoryMonitor:
    """Updates the memory account, and refuses incomplete commands while memory is short.

    Created by `ClientListener` at start-up; its timer lives as long as the process.

    Attributes:
        waiting_bodies: The number of long commands that wait for memory.
        short_until: The Unix time until which clients get less time, because a long command had to
            wait.
    """

    def __init__(
        self, runtime: Runtime, memory: MemoryAccount, clients: Collection[ClientConnection]
    ) -> None:
        """Begin to update the account.

        Args:
            runtime: The scheduler, limits and log.
            memory: The account of the memory that clients hold.
            clients: The connected clients.
        """
        self.scheduler = runtime.scheduler
        self.limits = runtime.limits
        self.log = runtime.log
        self.memory = memory
        self.clients = clients
        self.waiting_bodies = 0
        self.short_until = 0.0
        self._short_at = 0.0  # Unix time at which resident memory was last at its limit
        self._measured_at = 0.0  # monotonic time, in seconds
        self.scheduler.call_later(self.limits.account_interval, self._update)

    def shed_partial_commands(self) -> None:
        """Refuse incomplete commands, the least recent progress first, until the rest has room."""
        share = self.memory.input
        if share.used <= share.limit:
            return
        for client in _partial_commands(list(share.holdings)):
            if share.used <= share.limit:
                return
            client.shed(ShedReason.INPUT_FULL)

    def shed_long_commands(self, growing: ClientConnection | None) -> None:
        """Refuse the newest incomplete long commands if together they hold too much.

        Args:
            growing: The connection whose command has grown, which is not refused; None for none.
        """
        share = self.memory.bodies
        for client in _partial_commands(list(reversed(share.holdings))):
            if share.used <= MAX_BODIES * share.limit:
                return
            if client is not growing and not share.is_first(client):
                client.shed(ShedReason.BODIES_FULL)

    def _update(self) -> None:
        """Count what clients have received, and refuse long commands that keep others waiting."""
        self.scheduler.call_later(self.limits.account_interval, self._update)
        self._measure()
        for holder in list(self.memory.output.holdings):
            if isinstance(holder, ClientConnection):
                holder.update_output()
        for relay in list(self.memory.relays):
            relay.adjust_reading()
        if not self.waiting_bodies:
            return
        cutoff = self.scheduler.now() - self.limits.command_timeout_on_shortage
        for client in _partial_commands(list(self.memory.bodies.holdings)):
            if client.input.last_input_at <= cutoff:
                client.shed(ShedReason.STALLED)

    def refresh(self) -> None:
        """Measure again, unless that was done in the last `min_measure_interval`."""
        if self.scheduler.monotonic() - self._measured_at >= self.limits.min_measure_interval:
            self._measure()

    def _measure(self) -> None:
        """Take resident memory into the account; let go of incomplete commands while it is short.

        Logs when memory becomes short, and when it has not been short for `check_interval`.
        """
        self._measured_at = self.scheduler.monotonic()
        self.memory.peers.refresh()
        resident = resident_memory()
        if resident:
            self.memory.set_resident(resident)
        now = self.scheduler.now()
        if self.memory.is_short():
            if not self._short_at:
                self._log("memory_short")
            self._short_at = now
            self.shed_partial_commands()
            self.shed_long_commands(None)
        elif self._short_at and now - self._short_at >= self.limits.check_interval:
            self._short_at = 0.0
            self._log("memory_recovered")

    def _log(self, event: str) -> None:
        memory = self.memory
        self.log.event(
            event,
            resident_kb=memory.resident() // KIBIBYTE,
            limit_kb=memory.resident_limit // KIBIBYTE,
            held_kb=memory.used() // KIBIBYTE,
            clients=len(self.clients),
        )


def _partial_commands(holders: list[object]) -> Iterator[ClientConnection]:
    """Yield the connections among these holders that have only a part of a command."""
    for holder in holders:
        if isinstance(holder, ClientConnection) and holder.input.is_partial_command():
            yield holder
