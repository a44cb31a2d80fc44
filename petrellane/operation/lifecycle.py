"""The lifecycle of a gateway process: starting, serving, draining, drained, ending.

Rules free of I/O. `Lifecycle` receives management calls and signals together with the time at
which they arrived, and answers plain questions. Each call has one defined result in each state.
Closing connections and notifying callers is left to the services that own them.

    starting --start--> serving
    starting or serving --drain--> draining --(no client left)--> drained
    draining or drained --resume--> serving
    any state --begin_shutdown--> ending, from which nothing leads back
"""

import enum
import math


class LifecycleState(enum.StrEnum):
    """A state of the process; the values appear in management answers and in the log."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    ENDING = "ending"


REPORTED_WITH_SUCCESSOR = "followed"
"""What management answers say of a serving process whose clients go to its successor."""

# Read for each command, where a class attribute of an enumeration would cost more.
_ENDING = LifecycleState.ENDING
_NOT_LEAVING = (LifecycleState.STARTING, LifecycleState.SERVING)
_PASSES_HEALTH_CHECK = (*_NOT_LEAVING, _ENDING)
_RESUMABLE = (LifecycleState.DRAINING, LifecycleState.DRAINED)


class Lifecycle:
    """Whether this process accepts clients and their commands.

    One per process, owned by the gateway, from its start to its end.

    Attributes:
        state: The current state.
        drain_started_at: Unix time at which the last drain or shutdown began.
        has_successor: Whether another process takes over the clients, after a hot restart.
    """

    def __init__(
        self,
        change_over_s: float,
        last_command_s: float,
        final_answer_delay_s: float = math.inf,
        max_deadline_s: float = math.inf,
    ) -> None:
        """Start in the state `STARTING`.

        Args:
            change_over_s: Seconds after the begin of a drain or shutdown in which clients still
                arrive and are served as before.
            last_command_s: Seconds after the begin of a drain from which on an open connection
                accepts no new command.
            final_answer_delay_s: What is still open this long, plus the longest deadline, after the
                shutdown began is given its final answer then: the process is killed soon after.
            max_deadline_s: A longer deadline counts as this in that sum.
        """
        self.change_over_s = change_over_s
        self.last_command_s = last_command_s
        self.final_answer_delay_s = final_answer_delay_s
        self.max_deadline_s = max_deadline_s
        self.state = LifecycleState.STARTING
        self.drain_started_at = 0.0
        self.has_successor = False

    @property
    def reported_state(self) -> str:
        """The state as management answers give it."""
        if self.has_successor and self.state is LifecycleState.SERVING:
            return REPORTED_WITH_SUCCESSOR
        return self.state

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts clients and will go on to."""
        return self.state is LifecycleState.SERVING and not self.has_successor

    @property
    def passes_health_check(self) -> bool:
        """Whether a client's health check (PING) succeeds.

        It does while the process ends: the platform takes such a process out of service, the
        clients need not.
        """
        return self.state in _PASSES_HEALTH_CHECK

    def start(self) -> None:
        """Serve from now on, unless a drain or a shutdown was requested before."""
        if self.state is LifecycleState.STARTING:
            self.state = LifecycleState.SERVING

    def drain(self, now: float) -> bool:
        """Let all clients go; a repeated call keeps the times of the first one.

        Returns:
            True always: a process that is ending empties all the same.
        """
        if self.state in _NOT_LEAVING:
            self.state = LifecycleState.DRAINING
            self.drain_started_at = now
        return True

    def resume(self) -> bool:
        """Accept clients again after a drain.

        Returns:
            Whether the process is ready now: not while it starts or ends or has a successor.
        """
        if self.state in _RESUMABLE:
            self.state = LifecycleState.SERVING
        return self.is_ready

    def begin_shutdown(self, now: float) -> None:
        """End for good; a drain in progress keeps the time at which it began."""
        if self.state is LifecycleState.ENDING:
            return
        if self.state in _NOT_LEAVING:
            self.drain_started_at = now
        self.state = LifecycleState.ENDING

    def complete_drain(self, client_count: int) -> bool:
        """Become drained when no client is left.

        Returns:
            True when this call completed the drain.
        """
        if self.state is LifecycleState.DRAINING and not client_count:
            self.state = LifecycleState.DRAINED
            return True
        return False

    def closes_idle_connections(self, now: float) -> bool:
        """Whether a connection with no reply pending is closed."""
        return self.state not in _NOT_LEAVING and now - self.drain_started_at >= self.change_over_s

    def accepts_command(
        self, now: float, connected_at: float, has_pending_replies: bool = False
    ) -> bool:
        """Whether a connection accepts a new command; one that is refused gets an answer.

        An ending process accepts a command that had begun to arrive, but none behind replies that
        are still pending: such a connection would never end.
        """
        if self.state is _ENDING:
            return not (has_pending_replies and self.closes_idle_connections(now))
        if self.state in _NOT_LEAVING:
            return True
        return now - max(self.drain_started_at, connected_at) < self.last_command_s

    def final_answer_time(self, longest_deadline: float) -> float:
        """The Unix time by which all that is open is answered.

        Args:
            longest_deadline: Seconds, the longest deadline of any method.

        Returns:
            Infinity unless the process is ending.
        """
        if self.state is not LifecycleState.ENDING:
            return math.inf
        return self.drain_started_at + min(longest_deadline, self.max_deadline_s) + self.final_answer_delay_s
