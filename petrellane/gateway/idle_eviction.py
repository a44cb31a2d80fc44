"""Rules that select the client connection to close when a new one needs a descriptor.

The rules perform no I/O.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Generic, NamedTuple, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

    from petrellane.net.limits import Limits


class IdleClient(Protocol):
    """The properties of a client connection that the rules use.

    Attributes:
        connected_at: The time at which the gateway accepted the connection, in Unix seconds.
        last_input_at: The time at which bytes of an incomplete command were last read, in Unix
            seconds.
        has_sent_rpc: Whether the client has sent an RPC.
        idle_since: The time of the last reply, or `connected_at` before the first one, in Unix
            seconds. For a client that reads its last reply slowly, a time up to one check later
            than its delivery.
    """

    connected_at: float
    has_sent_rpc: bool
    idle_since: float

    @property
    def last_input_at(self) -> float:
        """The time of the last bytes of an incomplete command, in Unix seconds."""


Client = TypeVar("Client", bound=IdleClient)


class ClientTables(NamedTuple, Generic[Client]):
    """The connected clients, grouped by what they have sent.

    Attributes:
        clients: All clients, in the order of their last commands.
        silent: Clients that have sent no command, in the order of their connections.
        single_command: Clients that have sent one command, or several in one read, in the order of
            those commands.
        partial_commands: Clients that have sent part of a command, with the time at which the
            gateway noticed it, in Unix seconds.
    """

    clients: Collection[Client]
    silent: Collection[Client]
    single_command: Collection[Client]
    partial_commands: Mapping[Client, float]


def eviction_candidates(
    now: float, limits: Limits, tables: ClientTables[Client]
) -> Iterator[Client]:
    """Yield the clients that may be evicted, in the order of preference.

    The caller evicts the first candidate that has no reply pending. The order is:

    1. Clients that have sent no command since they connected `new_client_grace` ago or earlier;
       those that have sent nothing at all come first.
    2. Clients that have sent one command.
    3. Clients whose incomplete command is stalled, as `is_stalled` defines it.
    4. Clients that have sent commands but no RPC.
    5. Other clients, the least recently used first.

    A client that has only just connected, or whose RPC was answered in the last
    `eviction_idle_time` seconds (`single_command_idle_time` where it has sent one command), is no
    candidate: the caller rejects the new connection instead.

    Args:
        now: The current time, in Unix seconds.
        limits: The limits with the times named above, in seconds.
        tables: The connected clients.
    """
    clients, silent, single_command, partial_commands = tables
    new_client_cutoff = now - limits.new_client_grace
    idle_cutoff = now - limits.eviction_idle_time
    single_command_cutoff = now - limits.single_command_idle_time
    waiting = list(
        itertools.takewhile(lambda client: client.connected_at <= new_client_cutoff, silent)
    )
    yield from (client for client in waiting if client not in partial_commands)
    yield from (client for client in waiting if client in partial_commands)
    for client in single_command:
        if not client.has_sent_rpc or client.idle_since <= single_command_cutoff:
            yield client
    for client, since in partial_commands.items():
        if is_stalled(now, limits, since, client.last_input_at):
            yield client
    for client in clients:
        if client not in silent and not client.has_sent_rpc:
            yield client
    for client in clients:
        if client not in silent and client.has_sent_rpc and client.idle_since <= idle_cutoff:
            yield client


def is_stalled(now: float, limits: Limits, noticed_at: float, last_input_at: float) -> bool:
    """Return whether a client with an incomplete command may be evicted for a new client.

    That is the case `command_timeout_on_shortage` after the command was noticed, and earlier if
    none of its bytes was read for `command_pause_on_shortage`.

    Args:
        now: The current time, in Unix seconds.
        limits: The limits with the times named above, in seconds.
        noticed_at: The time at which a new client first found the command incomplete, in Unix
            seconds.
        last_input_at: The time at which bytes of the command were last read, in Unix seconds.
    """
    is_overdue = now - noticed_at >= limits.command_timeout_on_shortage
    is_paused = now - last_input_at >= limits.command_pause_on_shortage
    return is_overdue or is_paused
