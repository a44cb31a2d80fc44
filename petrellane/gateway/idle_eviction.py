"""Which client's connection is closed to make room for a new one: rules free of I/O."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Generic, NamedTuple, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from petrellane.net.limits import Limits


class IdleClient(Protocol):
    """What the rules look at of a client's connection. Times are in seconds of one clock."""

    connected_at: float
    has_sent_rpc: bool
    idle_since: float


Client = TypeVar("Client", bound=IdleClient)


class ClientTables(NamedTuple, Generic[Client]):
    """The connected clients: all of them, and those in a state of interest.

    Attributes:
        clients: All clients, in the order of their last commands.
        silent: Clients that have sent no command, in the order in which they came.
        single_command: Clients that have sent one, in the order in which they did.
        partial_commands: Clients in the middle of a command, and since when.
    """

    clients: Collection[Client]
    silent: Collection[Client]
    single_command: Collection[Client]
    partial_commands: Mapping[Client, float]


def eviction_candidates(
    now: float, limits: Limits, tables: ClientTables[Client]
) -> Iterator[Client]:
    """Yield the clients that may be evicted, the first choice first.

    The caller evicts the first that is owed nothing. The order is: those that have sent nothing for
    a while, those that sent one command, those in the middle of a command for too long, those that
    come back without an RPC, and the others, the longest idle first. A client that has only just
    come and one whose RPC was answered just now stay: the newcomer is rejected instead.

    Args:
        now: The time.
        limits: The times that each kind of client is given.
        tables: The clients.
    """
    clients, silent, single_command, partial_commands = tables
    settled = now - limits.new_client_grace
    stalled = now - limits.command_timeout_on_shortage
    rested = now - limits.eviction_idle_time
    yield from itertools.takewhile(lambda client: client.connected_at <= settled, silent)
    for client in single_command:
        if not client.has_sent_rpc or client.idle_since <= rested:
            yield client
    for client, since in partial_commands.items():
        if since <= stalled:
            yield client
    for client in clients:
        if client not in silent and not client.has_sent_rpc:
            yield client
    for client in clients:
        if client not in silent and client.has_sent_rpc and client.idle_since <= rested:
            yield client
