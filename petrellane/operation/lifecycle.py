"""The lifecycle of a gateway process: starting, serving, draining, drained, ending.

The module contains no I/O. `Lifecycle` receives management calls and signals together with the
time of their arrival, and reports what the current state permits. Each call has one defined result
in each state. The services that own the connections close them and notify their callers.

    starting --start--> serving
    starting or serving --drain--> draining --(no client left)--> drained
    draining or drained --resume--> serving
    any state --begin_shutdown--> ending, which is final
"""

import enum
import math


class LifecycleState(enum.StrEnum):
    """A state of the process; management responses and the log contain the values."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    ENDING = "ending"


REPORTED_WITH_SUCCESSOR = "followed"
"""The state in management responses of a serving process that hands its clients to a successor."""

# Module constants, because each command reads them and an enumeration's attributes are slower.
_ENDING = LifecycleState.ENDING
_BEFORE_DRAIN = (LifecycleState.STARTING, LifecycleState.SERVING)
_PASSES_HEALTH_CHECK = (*_BEFORE_DRAIN, _ENDING)
_RESUMABLE = (LifecycleState.DRAINING, LifecycleState.DRAINED)


class Lifecycle:
    """Decides whether the process accepts clients and their commands.

    The gateway process owns one instance for its whole lifetime.

    Attributes:
        state: The current state.
        draining_since: The Unix time at which the last drain or shutdown began.
        has_successor: Whether another process takes over the clients in a hot restart.
    """

    def __init__(
        self,
        grace_period_s: float,
        command_cutoff_s: float,
        final_answer_delay_s: float = math.inf,
        max_deadline_s: float = math.inf,
    ) -> None:
        """Initialize the lifecycle in the state `STARTING`.

        Args:
            grace_period_s: The seconds after the start of a drain or shutdown for which the
                process still accepts and serves clients as before.
            command_cutoff_s: The seconds after the start of a drain, or after a later connect,
                from which on a connection accepts no new command.
            final_answer_delay_s: The seconds beyond the longest deadline that a shutdown waits
                before the gateway sends a final answer to every open request. The platform kills
                the process soon after.
            max_deadline_s: The upper limit, in seconds, of the longest deadline in that sum.
        """
        self.grace_period_s = grace_period_s
        self.command_cutoff_s = command_cutoff_s
        self.final_answer_delay_s = final_answer_delay_s
        self.max_deadline_s = max_deadline_s
        self.state = LifecycleState.STARTING
        self.draining_since = 0.0
        self.has_successor = False

    @property
    def reported_state(self) -> str:
        """The state as management responses report it."""
        if self.has_successor and self.state is LifecycleState.SERVING:
            return REPORTED_WITH_SUCCESSOR
        return self.state

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts clients and no successor takes them over."""
        return self.state is LifecycleState.SERVING and not self.has_successor

    @property
    def passes_health_check(self) -> bool:
        """Whether a client's health check (PING) succeeds.

        The health check succeeds during a shutdown: the platform takes the process out of
        service, so the clients do not have to.
        """
        return self.state in _PASSES_HEALTH_CHECK

    def start(self) -> None:
        """Start to serve, unless a drain or a shutdown was requested before."""
        if self.state is LifecycleState.STARTING:
            self.state = LifecycleState.SERVING

    def drain(self, now: float) -> bool:
        """Start to drain all clients; a repeated call keeps the start time of the first.

        Returns:
            Always True, because a process that shuts down drains its clients as well.
        """
        if self.state in _BEFORE_DRAIN:
            self.state = LifecycleState.DRAINING
            self.draining_since = now
        return True

    def resume(self) -> bool:
        """Accept clients again after a drain.

        Returns:
            Whether the process is ready: False while it starts, shuts down or has a successor.
        """
        if self.state in _RESUMABLE:
            self.state = LifecycleState.SERVING
        return self.is_ready

    def begin_shutdown(self, now: float) -> None:
        """Start the shutdown, which is final; a drain in progress keeps its start time."""
        if self.state is LifecycleState.ENDING:
            return
        if self.state in _BEFORE_DRAIN:
            self.draining_since = now
        self.state = LifecycleState.ENDING

    def complete_drain(self, client_count: int) -> bool:
        """Change from draining to drained if no client is connected.

        Returns:
            Whether this call completed the drain.
        """
        if self.state is LifecycleState.DRAINING and not client_count:
            self.state = LifecycleState.DRAINED
            return True
        return False

    def closes_idle_connections(self, now: float) -> bool:
        """Return whether the gateway closes connections without a pending reply."""
        return self.state not in _BEFORE_DRAIN and now - self.draining_since >= self.grace_period_s

    def accepts_command(
        self, now: float, connected_at: float, has_pending_replies: bool = False
    ) -> bool:
        """Return whether a connection accepts a new command.

        The gateway rejects other commands with a reply. After the grace period of a shutdown, it
        still accepts a command that has begun to arrive, but none on a connection with pending
        replies: such a connection might never become idle.

        Args:
            now: The current Unix time.
            connected_at: The Unix time at which the client connected.
            has_pending_replies: Whether replies on the connection are pending.
        """
        if self.state is _ENDING:
            return not (has_pending_replies and self.closes_idle_connections(now))
        if self.state in _BEFORE_DRAIN:
            return True
        return now - max(self.draining_since, connected_at) < self.command_cutoff_s

    def final_answer_time(self, longest_deadline: float) -> float:
        """Return the Unix time by which the gateway answers all open requests.

        Args:
            longest_deadline: The longest deadline of any method, in seconds.

        Returns:
            The Unix time; infinity unless the process is shutting down.
        """
        if self.state is not LifecycleState.ENDING:
            return math.inf
        return (
            self.draining_since
            + min(longest_deadline, self.max_deadline_s)
            + self.final_answer_delay_s
        )
