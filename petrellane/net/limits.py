"""Every size, count and time of the network code, in one type: filled at start and handed down."""

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Limits:
    """Sizes are bytes and times are seconds."""

    sockets: int  # descriptors that the process may hold
    dial_timeout: float  # a connection to a host that is not up by then never comes up
    host_idle_timeout: (
        float  # idle connections to hosts are retired after this, before the host does
    )
    streams: int  # call-outs on one connection to a host at the same time
    counter_timeout: float  # an add unanswered for so long is late
    value: int = 64 * 1024  # a value in a command or an answer
    long: int = (
        4 * 1024 * 1024
    )  # the longest value; what is above `value` passes through as it comes
    waiting: int = 16 * 1024 * 1024  # bytes of long values that may wait here in all
    window: int = 256 * 1024  # and of one of them
    window_least: int = 16 * 1024  # however many there are
    stall_timeout: float = (
        10.0  # a long value, or a client's answers, that don't move for so long are given up
    )
    line: int = 1024  # a line of a head
    parts: int = 16  # parts of a command or an answer
    frame: int = 68 * 1024  # a command or an answer in all
    unsent: int = 2 * 1024 * 1024  # what a peer may leave unread of what we write to it
    receive: int = 64 * 1024  # asked of a socket at once
    reads: int = (
        4  # and so often in a row of one that always has more, before others have their turn
    )
    passed_over: int = 4  # and so often of one that is closed, of what has come unread
    gathered: int = 64  # buffers that one call hands to a socket
    accepts: int = 16  # connections accepted in a row before others have their turn
    commands: int = 16  # and commands of one client
    client_idle_timeout: float = (
        10.0  # a client that is owed nothing and says nothing for so long is let go
    )
    client_once: float = 2.0  # and one that has said nothing yet, or asked once, after this
    client_settle: float = 0.25  # one that has only just come is not shed for saying nothing
    command_timeout: float = (
        2.5  # a command that has begun has come whole by then, a long one has come on
    )
    client_rested: float = (
        1.0  # one that comes back with RPCs is shed once it has been idle for so long
    )
    command_timeout_crowded: float = 1.0  # the same where descriptors are short
    backlog: int = 1024  # connections that wait to be accepted
    reserve: int = (
        40  # descriptors that are never a client's or a host's: what docs/design.md adds up
    )
    host_connections: int = 48  # connections to one host
    rest: float = (
        0.01  # a connection to a host rests so long after an answer, where another can be had
    )
    host_floor: int = 128  # descriptors for hosts that clients never have; of few, three in five
    counter_connections: int = 8  # connections to the counter
    counter_idle_timeout: float = (
        4.0  # the counter closes idle connections after ten seconds or less
    )
    watch_next: float = (
        5.0  # from a call to discovery to the next: a change counts after 6 s, an answer takes 1
    )
    watch_first: float = (
        3.0  # the same before the first list: at another address it counts after 4 s
    )
    watch_hold: float = 3.8  # how long discovery may hold a watch at most
    watch_grace: float = 1.0  # and how much later its answer may come
    watch_timeout: float = 2.0  # the time of a call that waits for no news, with its dialing
    watch_pause: float = 0.02  # before the next watch, where there was no news
    list_size: int = 8 * 1024 * 1024  # a host list
    list_rows: int = (
        128  # rows of one that are checked, or taken over, in a row before others have their turn
    )
    backoff_first: float = 0.1  # wait after a first failed call to discovery, about
    figure: float = 1e9  # a figure on use or load; more is no figure
    look: float = 1.0  # between looks for idle connections
    linger: float = 0.5  # for what a client still sends after a frame of no form
    out_of_descriptors: float = 0.01  # between tries to accept when there are none left
    change_over: float = (
        0.5  # after SIGTERM or at a drain, clients are served as before for so long
    )
    last_command: float = 1.8  # after a drain began, connections take commands for so long
    drain_idle: float = 0.25  # a connection that has only pinged is idle after this while it drains
    hand_over: float = 3.0  # the process before has given what it has by then
    take_back: float = 0.5  # a connection that the next process has not got by then stays here
    passed: int = 32 * 1024  # bytes of a command that go with a connection to the next process
    packet: int = 256 * 1024  # one message between two processes
    listed: float = 1.0  # the next process waits so long for a host list before it takes over
    callers: int = 8  # calls of staff that are half way
    call: float = 5.0  # and the time that one has
    head: int = 8 * 1024  # and the head of one
    body: int = 1024 * 1024  # and its body, where it has one
    shutdown_timeout: float = 15.0  # and then, for the clients that never let go of us
    beat: float = 0.1  # a timer rings so often, which tells of having stood still in a poll
    figures: float = 1.0  # between log lines that tell what was counted
    kill_after: float = (
        0.5  # the kill comes 0.7 s and the longest deadline after SIGTERM: all is answered by then
    )
    kill_longest: float = 3.0  # and a longer deadline counts as this
    let_go: float = 0.05  # between looks for clients that are owed nothing
    log_lines: int = 1000  # log lines that wait for a slow reader; what comes on top is dropped

    @classmethod
    def of(cls, config):
        """The limits that a configuration sets."""
        told = config.settings
        return cls(
            sockets=config.sockets,
            dial_timeout=told.dial_timeout,
            host_idle_timeout=told.conn_idle / 2,
            host_floor=min(cls.host_floor, (config.sockets - cls.reserve) * 3 // 5),
            streams=told.streams,
            counter_timeout=told.counter_timeout,
            unsent=int(min(cls.unsent, config.memory_mb * 2**20 / 64)),
            waiting=int(min(cls.waiting, config.memory_mb * 2**20 / 8)),
        )

    def renewed(self, config):
        """The same with what may change while the gateway runs."""
        told = config.settings
        return replace(
            self,
            dial_timeout=told.dial_timeout,
            host_idle_timeout=told.conn_idle / 2,
            streams=told.streams,
            counter_timeout=told.counter_timeout,
        )

    def host_room(self, clients):
        """How many connections to hosts leave room for so many clients."""
        return max(0, self.sockets - self.reserve - clients)

    @property
    def once_room(self):
        """How many clients that asked once may keep their connection for a while."""
        return self.sockets // 6

    @property
    def client_room(self):
        """How many clients may be connected: one more is taken where an idle one makes room for it."""
        return self.sockets - self.reserve - self.host_floor
