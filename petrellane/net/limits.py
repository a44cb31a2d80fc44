"""Every size, count and time-out of the network code, in one immutable value.

The values are filled in once at start, from the configuration and the defaults below, and handed
down to whatever opens a socket. This module decides nothing: it holds figures.
"""

from dataclasses import dataclass, replace
from typing import Protocol, Self

MEBIBYTE = 2**20
UNSENT_SHARE_OF_MEMORY = 64  # one peer may leave unread a 64th of the process's memory
WAITING_SHARE_OF_MEMORY = 8  # long values that wait may take an eighth of it


class TransportSettings(Protocol):
    """The part of the operators' settings that bounds connections; times are seconds."""

    @property
    def dial_timeout(self) -> float:
        """How long a connection to a host may take to come up."""

    @property
    def conn_idle(self) -> float:
        """After how long without traffic a host closes a connection."""

    @property
    def streams(self) -> int:
        """How many attempts one connection carries at the same time."""

    @property
    def counter_timeout(self) -> float:
        """After how long a request to the counter counts as unanswered."""


class ProcessConfig(Protocol):
    """The part of the process's configuration that limits are derived from."""

    @property
    def settings(self) -> TransportSettings:
        """The operators' settings."""

    @property
    def sockets(self) -> int:
        """Descriptors that the process may hold."""

    @property
    def memory_mb(self) -> float:
        """Memory that the process may use, in MiB."""


@dataclass(frozen=True, eq=False, repr=False)
class Limits:
    """Bounds of the network code. Sizes are bytes and times are seconds.

    One instance is made at start; a reload of the settings replaces it by `with_settings_of`. It
    has no generated equality and `repr`: with so many fields these would slow down the start of
    `serve`.
    """

    # Set by the configuration.
    sockets: int  # descriptors that the process may hold
    dial_timeout: float  # a connection to a host that is not up by then is given up
    endpoint_idle_timeout: float  # idle connections to hosts are closed before the host does so
    attempts_per_connection: int  # attempts on one connection to a host at the same time
    counter_timeout: float  # a request to the counter unanswered for so long is late

    # Values and frames of RESP.
    max_value_size: int = 64 * 1024  # a value in a command or a reply
    # The longest value; one above `max_value_size` is relayed as it arrives.
    max_long_value_size: int = 4 * 1024 * 1024
    buffer_budget: int = 16 * 1024 * 1024  # bytes of long values that may be buffered in all
    relay_window: int = 256 * 1024  # buffered bytes of one long value
    min_relay_window: int = 16 * 1024  # the same, however many long values share `buffer_budget`
    max_line_size: int = 1024  # a line of a head
    max_parts: int = 16  # parts of a command or a reply
    max_frame_size: int = 68 * 1024  # a command or a reply in all
    stall_timeout: float = 10.0  # a long value or a client's replies without progress are given up

    # One stream.
    max_unsent: int = 2 * 1024 * 1024  # written bytes that a peer may leave unread
    receive_size: int = 64 * 1024  # bytes asked of a socket in one call
    # Reads in a row of a stream that has more, before others have their turn.
    reads_per_turn: int = 4
    max_discarding_reads: int = 4  # reads that discard unread bytes of a stream that is closed
    buffers_per_send: int = 64  # buffers that one call hands to a socket

    # Clients.
    backlog: int = 1024  # connections that wait to be accepted
    accepts_per_turn: int = 16  # connections accepted in a row before others have their turn
    commands_per_turn: int = 16  # commands of one client in a row before others have their turn
    client_idle_timeout: float = 10.0  # an idle client that is owed nothing is disconnected
    new_client_idle_timeout: float = 2.0  # the same for a client that has sent one command or none
    new_client_grace: float = 0.25  # a new client is not evicted for its silence before this
    # A client that comes back with RPCs may be evicted when idle so long.
    eviction_idle_time: float = 1.0
    command_timeout: float = 2.5  # a command that has begun is complete, or a long one progresses
    command_timeout_on_shortage: float = 1.0  # the same where descriptors are short
    linger_timeout: float = 0.5  # for what a client still sends after a malformed frame
    client_poll_interval: float = 0.05  # between checks for clients that are owed nothing

    # Descriptors.
    reserved_descriptors: int = 40  # never a client's or a host's; the sum is in docs/design.md
    min_endpoint_descriptors: int = 128  # for hosts, never for clients; at most three fifths of all
    accept_retry_delay: float = 0.01  # between attempts to accept when none is left

    # Connections to hosts and to the counter.
    connections_per_endpoint: int = 48  # connections to one host
    # A connection is not reused for so long after a reply, where another is free.
    reuse_delay: float = 0.01
    counter_connections: int = 8  # connections to the counter
    counter_idle_timeout: float = 4.0  # the counter closes idle ones after ten seconds or less
    check_interval: float = 1.0  # between checks for idle connections

    # Discovery. A change has to be known 6 s after discovery had it and could be reached, and 4 s
    # after discovery has moved to another address. A response that is not held takes up to 1 s, so
    # the call for it begins 5 s, or 3 s, after the call before at the latest.
    watch_interval: float = 5.0  # from the begin of a call to that of the next
    first_watch_interval: float = 3.0  # the same, before the first list from an address
    max_watch_hold: float = 3.8  # how long discovery may hold a watch
    watch_grace: float = 1.0  # how much later than that its response may arrive
    watch_timeout: float = 2.0  # of a call that is not held, with its dialing
    unchanged_watch_delay: float = 0.02  # before the next watch, where nothing changed
    initial_backoff: float = 0.1  # the wait after a first failed call, before jitter
    max_list_size: int = 8 * 1024 * 1024  # bytes of an endpoint list
    list_rows_per_turn: int = 128  # rows checked or applied in a row before others have their turn
    max_load_figure: float = 1e9  # a greater value in a load report counts as none

    # Draining, shutdown and hot restart.
    change_over: float = 0.5  # clients are served as before for so long after SIGTERM or a drain
    last_command: float = 1.8  # connections take commands for so long after a drain began
    drain_idle: float = 0.25  # while draining, a connection that has only pinged is idle after this
    shutdown_timeout: float = 15.0  # for clients that never disconnect
    # The platform kills a process 0.7 s and the longest deadline, at most 3 s, after SIGTERM. The
    # last answers are given 0.2 s before that, which is the time to send them.
    kill_after: float = 0.5  # seconds beyond the longest deadline until the last answers are given
    max_deadline: float = 3.0  # a longer deadline counts as this
    transfer_timeout: float = 3.0  # the predecessor has handed over its state by then
    # A connection that the successor has not received by then stays here.
    handoff_timeout: float = 0.5
    # Bytes of a command that go with a connection to the successor.
    max_handoff_data: int = 32 * 1024
    max_packet_size: int = 256 * 1024  # one message between predecessor and successor
    first_list_timeout: float = 1.0  # the successor takes over without an endpoint list after this

    # The management API.
    max_callers: int = 8  # requests in progress
    call_timeout: float = 5.0  # the time of one request
    max_head_size: int = 8 * 1024  # its head
    max_body_size: int = 1024 * 1024  # its body

    # The log.
    heartbeat_interval: float = 0.1  # a timer's period, by which a stall within a poll is noticed
    figures_interval: float = 1.0  # between log lines with counts
    max_log_lines: int = 1000  # lines that wait for a slow reader; what exceeds them is dropped

    @classmethod
    def from_config(cls, config: ProcessConfig) -> Self:
        """Return the limits that a configuration sets."""
        settings = config.settings
        return cls(
            sockets=config.sockets,
            dial_timeout=settings.dial_timeout,
            endpoint_idle_timeout=settings.conn_idle / 2,
            min_endpoint_descriptors=min(
                cls.min_endpoint_descriptors, (config.sockets - cls.reserved_descriptors) * 3 // 5
            ),
            attempts_per_connection=settings.streams,
            counter_timeout=settings.counter_timeout,
            max_unsent=int(
                min(cls.max_unsent, config.memory_mb * MEBIBYTE / UNSENT_SHARE_OF_MEMORY)
            ),
            buffer_budget=int(
                min(cls.buffer_budget, config.memory_mb * MEBIBYTE / WAITING_SHARE_OF_MEMORY)
            ),
        )

    def with_settings_of(self, config: ProcessConfig) -> Self:
        """Return these limits with those values that may change while the gateway runs."""
        settings = config.settings
        return replace(
            self,
            dial_timeout=settings.dial_timeout,
            endpoint_idle_timeout=settings.conn_idle / 2,
            attempts_per_connection=settings.streams,
            counter_timeout=settings.counter_timeout,
        )

    def endpoint_capacity(self, clients: int) -> int:
        """Return how many descriptors are left for connections to hosts beside so many clients."""
        return max(0, self.sockets - self.reserved_descriptors - clients)

    @property
    def single_command_capacity(self) -> int:
        """How many clients that sent one command may keep their connection for a while."""
        return self.sockets // 6

    @property
    def client_capacity(self) -> int:
        """How many clients may be connected.

        One more is accepted where an idle client can be evicted for it.
        """
        return self.sockets - self.reserved_descriptors - self.min_endpoint_descriptors
