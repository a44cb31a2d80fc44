"""All sizes, counts and timeouts of the network code, in one immutable object.

The gateway creates the object at the start from the configuration and the defaults below, and
passes it to all components that open sockets.
"""

from dataclasses import dataclass, replace
from typing import Protocol, Self

MEBIBYTE = 2**20
UNSENT_MEMORY_DIVISOR = 64  # the unsent data of one peer may use 1/64 of the process's memory
BUFFER_MEMORY_DIVISOR = 12  # buffered long commands may use 1/12 of the process's memory
KERNEL_MEMORY_DIVISOR = 16  # the receive buffers of all connections may use 1/16 of it


class TransportSettings(Protocol):
    """The settings from which connection limits are derived; times are in seconds."""

    @property
    def dial_timeout(self) -> float:
        """The time limit for establishing a connection to an endpoint."""

    @property
    def conn_idle(self) -> float:
        """The idle time after which an endpoint closes a connection."""

    @property
    def streams(self) -> int:
        """The maximum number of concurrent attempts on one connection."""

    @property
    def counter_timeout(self) -> float:
        """The time limit of a request to the counter."""


class ProcessConfig(Protocol):
    """The process configuration from which limits are derived."""

    @property
    def settings(self) -> TransportSettings:
        """The settings in force."""

    @property
    def sockets(self) -> int:
        """The maximum number of descriptors that the process may hold."""

    @property
    def memory_mb(self) -> float:
        """The memory limit of the process, in MiB."""

    @property
    def listen_fd(self) -> int | None:
        """The inherited listening socket, which a second process may share; None without one."""


@dataclass(frozen=True, eq=False, repr=False)
class Limits:
    """The limits of the network code; sizes are in bytes and times in seconds.

    The gateway process creates one instance at the start. A reload of the settings replaces it
    with the result of `with_settings_of`. The class has no generated `__eq__` and `__repr__`,
    because generating them for so many fields slows down the start of `serve`.
    """

    # Values from the configuration.
    sockets: int  # maximum number of open descriptors
    dial_timeout: float  # time limit for connecting to an endpoint
    endpoint_idle_timeout: float  # half that of the endpoint: the gateway closes first
    attempts_per_connection: int  # concurrent attempts on one connection to an endpoint
    counter_timeout: float  # time limit for the counter's reply to a request

    # Memory. `gateway.memory_account` divides it among clients, commands and responses.
    memory: int = 192 * MEBIBYTE  # limit of the process, or of both processes of a hot restart
    is_replaceable: bool = False  # whether a second process of the gateway may start
    process_memory: int = 20 * MEBIBYTE  # needed before clients are served, until it is measured
    min_memory_capacity: int = 5 * MEBIBYTE  # for clients, whatever the process itself needs
    client_receive_buffer: int = 16 * 1024  # kernel buffer of a client connection
    max_client_receive_buffer: int = 32 * 1024  # upper bound
    body_receive_buffer: int = 64 * 1024  # the same, while a long command is read or discarded
    endpoint_receive_buffer: int = 16 * 1024  # kernel buffer of a connection to an endpoint
    min_receive_buffer: int = 4 * 1024  # lower bound of both when memory is short
    endpoint_read_size: int = 8 * 1024  # maximum bytes read from an endpoint in one call
    min_requests: int = 16  # requests that may be in flight whatever else holds memory
    uncounted_size: int = 4 * 1024  # a smaller command or reply is part of its connection's cost
    min_read_ahead: int = 8 * 1024  # unhandled commands that a connection may always read
    max_read_ahead: int = 1024 * 1024  # upper bound of the same

    # RESP values and frames.
    max_value_size: int = 64 * 1024  # a value that is parsed as a whole
    # The longest accepted value; a value above `max_value_size` is streamed while it arrives.
    max_long_value_size: int = 4 * 1024 * 1024
    buffer_budget: int = 16 * 1024 * 1024  # total buffered bytes of long commands
    relay_window: int = 256 * 1024  # buffered bytes of one long response
    min_relay_window: int = 4 * 1024  # lower bound when many long responses share the memory
    relay_send_buffer: int = 64 * 1024  # kernel buffer; a smaller one waits for delayed ACKs
    relay_unsent_in_kernel: int = 16 * 1024  # bytes of a long response that the kernel takes ahead
    max_line_size: int = 1024  # a RESP line, HTTP header line or chunk header
    max_parts: int = 16  # elements of a command or a reply
    max_frame_size: int = 68 * 1024  # a whole command or reply without a long value
    stall_timeout: float = 10.0  # a transfer without progress for this long is aborted

    # Streams.
    max_unsent: int = 2 * 1024 * 1024  # queued bytes that the socket has not accepted yet
    receive_size: int = 64 * 1024  # maximum bytes read from a socket in one call
    # Consecutive reads from a stream before its reader yields to other greenlets.
    reads_per_turn: int = 4
    max_discarding_reads: int = 4  # reads that discard unread bytes before a close
    buffers_per_send: int = 64  # maximum buffers in one `sendmsg` call

    # Clients.
    backlog: int = 1024  # queue length of the listening socket
    accepts_per_turn: int = 64  # connections accepted before the listener yields
    commands_per_turn: int = 16  # commands of one client before its greenlet yields
    # Commands of all clients that have more of them waiting, in one turn; each may have one.
    waiting_commands_per_turn: int = 64
    client_idle_timeout: float = 10.0  # an idle client without pending replies is disconnected
    new_client_idle_timeout: float = 2.0  # the same, for a client with at most one command
    new_client_grace: float = 0.25  # minimum age at which a client that sent nothing is evicted
    # A client that has sent an RPC may be evicted after this idle time.
    eviction_idle_time: float = 1.0
    # The same for a client that has sent one command. It is owed nothing, so it keeps its place no
    # longer than a client that pauses within a command.
    single_command_idle_time: float = 0.5
    command_timeout: float = 2.5  # from the first byte of a command to its last one
    command_timeout_on_shortage: float = 1.0  # the same, when a new client finds no room
    # Without a byte of a command, likewise: the new client may have a deadline of 1 s.
    command_pause_on_shortage: float = 0.5
    body_timeout: float = 2.2  # the same, between two parts of a long command
    min_body_timeout: float = 0.6  # a client may pause this long within a long command
    # The same while long commands wait for memory, once `first_body_timeout` would be exceeded.
    min_body_timeout_on_shortage: float = 0.3
    # From the connect to the error, for a client that stops in its first command while others wait.
    first_body_timeout: float = 2.9
    shortage_time: float = 3.0  # after a long command had to wait, clients get no more time
    body_wait_timeout: float = 1.0  # a long command waits this long for the buffer budget
    max_pending_replies: int = 1024  # of one client, before the gateway reads no more commands
    max_undelivered: int = 64 * 1024  # bytes of replies that a client has not received, likewise
    account_interval: float = 0.1  # time between counts of what clients have received
    min_measure_interval: float = 0.01  # the least time between two measurements of other processes
    linger_timeout: float = 0.5  # time to read and discard input after a malformed frame
    # The same, when a new client finds no room: time for a client to take the last reply.
    linger_timeout_on_shortage: float = 0.1
    client_poll_interval: float = 0.05  # time between checks for clients without pending replies

    # Descriptors.
    reserved_descriptors: int = 40  # for all other uses; see docs/design.md
    min_endpoint_descriptors: int = 128  # reserved for endpoints; at most 3/5 of the rest
    accept_retry_delay: float = 0.01  # pause in accepting after descriptors ran out

    # Connections to endpoints and to the counter.
    connections_per_endpoint: int = 48  # maximum connections to one endpoint
    # A connection is not reused for this long after a reply if another connection is available.
    reuse_delay: float = 0.01
    acknowledgement_delay: float = 0.05  # a peer's kernel may delay an acknowledgement this long
    counter_connections: int = 8  # maximum connections to the counter
    counter_idle_timeout: float = 4.0  # the counter closes idle connections after at most 10 s
    check_interval: float = 1.0  # time between checks for idle or stalled connections

    # Discovery. The gateway has to learn of a change within 6 s of the time at which discovery has
    # the change and is reachable, and within 4 s after discovery moves to another address. A
    # response without a hold takes up to 1 s, so a request starts at most 5 s or 3 s after the
    # start of the previous request.
    watch_interval: float = 5.0  # maximum time between the starts of two requests
    first_watch_interval: float = 3.0  # the same, before the first list from an address
    max_watch_hold: float = 3.8  # maximum time for which discovery may hold a watch request
    watch_grace: float = 1.0  # additional time for the response after the hold
    watch_timeout: float = 2.0  # time limit of a request without a hold, with the dial
    unchanged_watch_delay: float = 0.02  # pause before the next request if nothing changed
    initial_backoff: float = 0.1  # pause after the first failed request, before jitter
    max_list_size: int = 8 * 1024 * 1024  # size of an endpoint list
    list_rows_per_turn: int = 128  # rows parsed or applied before the greenlet yields
    max_load_metric: float = 1e9  # a greater value in a load report is ignored

    # Draining, shutdown and hot restart.
    drain_delay: float = 0.5  # normal service continues after SIGTERM or a drain request
    drain_command_timeout: float = 1.8  # open connections accept commands after a drain started
    drain_idle: float = 0.25  # idle timeout in a drain, for connections that have sent no RPC
    shutdown_timeout: float = 15.0  # time limit for clients to disconnect
    # The platform kills a process 0.7 s plus the longest deadline (at most 3 s) after SIGTERM. The
    # gateway sends its final replies 0.2 s earlier, so that they reach the clients.
    final_reply_delay: float = 0.5  # time beyond the longest deadline until the final replies
    max_deadline: float = 3.0  # upper bound of the deadline in that calculation
    transfer_timeout: float = 3.0  # time limit for the predecessor to transfer its state
    # The predecessor keeps a connection that the successor has not accepted within this time.
    handoff_timeout: float = 0.5
    # Buffered bytes of a partial command that may move to the successor with a connection.
    max_handoff_data: int = 32 * 1024
    max_packet_size: int = 256 * 1024  # a message between predecessor and successor
    endpoint_log_interval: float = 0.1  # time between reads of what other processes were told
    endpoint_log_retry_delay: float = 1.0  # pause after a failed write, before the list is written
    first_list_timeout: float = 1.0  # after it, the successor takes over without a list

    # The management API.
    max_requests: int = 8  # maximum concurrent requests
    request_timeout: float = 5.0  # time limit of one request
    max_head_size: int = 8 * 1024  # head of a request
    max_body_size: int = 1024 * 1024  # body of a request

    # The log.
    heartbeat_interval: float = 0.1  # period of the timer that reveals a stall within a poll
    metrics_interval: float = 1.0  # time between log lines with metrics
    max_log_lines: int = 1000  # queued lines; further lines are dropped

    @classmethod
    def from_config(cls, config: ProcessConfig) -> Self:
        """Return the limits for a configuration."""
        settings = config.settings
        memory = int(config.memory_mb * MEBIBYTE)
        receive_buffer = memory // KERNEL_MEMORY_DIVISOR // config.sockets
        receive_buffer = max(cls.min_receive_buffer, receive_buffer)
        return cls(
            sockets=config.sockets,
            memory=memory,
            is_replaceable=config.listen_fd is not None,
            client_receive_buffer=min(cls.max_client_receive_buffer, receive_buffer),
            endpoint_receive_buffer=min(cls.endpoint_receive_buffer, receive_buffer),
            dial_timeout=settings.dial_timeout,
            endpoint_idle_timeout=settings.conn_idle / 2,
            min_endpoint_descriptors=min(
                cls.min_endpoint_descriptors, (config.sockets - cls.reserved_descriptors) * 3 // 5
            ),
            attempts_per_connection=settings.streams,
            counter_timeout=settings.counter_timeout,
            max_unsent=min(cls.max_unsent, memory // UNSENT_MEMORY_DIVISOR),
            buffer_budget=min(cls.buffer_budget, memory // BUFFER_MEMORY_DIVISOR),
        )

    def with_settings_of(self, config: ProcessConfig) -> Self:
        """Return these limits with the values that a reload of the settings may change."""
        settings = config.settings
        return replace(
            self,
            dial_timeout=settings.dial_timeout,
            endpoint_idle_timeout=settings.conn_idle / 2,
            attempts_per_connection=settings.streams,
            counter_timeout=settings.counter_timeout,
        )

    def endpoint_capacity(self, sockets: int, clients: int) -> int:
        """Return the maximum number of connections to endpoints.

        Args:
            sockets: The maximum number of descriptors that this process may hold now.
            clients: The number of connected clients.
        """
        room = max(0, sockets - self.reserved_descriptors)
        return max(room - clients, self._reserved_for_endpoints(room))

    def client_capacity(self, sockets: int) -> int:
        """Return the maximum number of connected clients.

        At the maximum, the gateway evicts an idle client, if there is one, to accept a new client.

        Args:
            sockets: The maximum number of descriptors that this process may hold now.
        """
        room = max(0, sockets - self.reserved_descriptors)
        return room - self._reserved_for_endpoints(room)

    def _reserved_for_endpoints(self, room: int) -> int:
        """Return how many of the descriptors for clients and endpoints are for endpoints alone."""
        full_room = max(1, self.sockets - self.reserved_descriptors)
        return self.min_endpoint_descriptors * room // full_room

    @property
    def single_command_capacity(self) -> int:
        """The maximum number of connected clients that have sent exactly one command."""
        return self.sockets // 6
