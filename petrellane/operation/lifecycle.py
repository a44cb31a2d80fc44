"""The states of a gateway between its start and its end, as rules free of I/O.

`Service` is told of calls and signals with the time at which they came, and answers plain questions. It promises that
each call has one stated result in each state; closing connections and telling callers is left to others.

    starting --begin--> serving
    serving --drain--> draining --(no client left)--> drained --resume--> serving
    any of them --end--> ending, from which nothing leads back
"""

import math

STARTING, SERVING, DRAINING, DRAINED, ENDING = (
    "starting",
    "serving",
    "draining",
    "drained",
    "ending",
)


class Service:
    """Whether this gateway takes clients. Times are Unix seconds; `change_over` and `last_command` are seconds after a
    drain or an end began: until the first, clients still come and are served as before; from the second on, a
    connection that was there takes no new command while it drains. An ending process may be killed `kill_after` seconds and
    the longest deadline (at most `kill_longest`) after it was told; what is open then is answered before."""

    def __init__(self, change_over, last_command, kill_after=math.inf, kill_longest=math.inf):
        self.change_over, self.last_command = change_over, last_command
        self.kill_after, self.kill_longest = kill_after, kill_longest
        self.state, self.since = STARTING, 0.0
        self.followed = False  # another process takes the clients, and gets those that are here

    @property
    def told(self):
        """The state as staff are told it."""
        return "followed" if self.followed and self.state == SERVING else self.state

    def begin(self):
        """It takes clients from now on, unless it was told something else before."""
        if self.state == STARTING:
            self.state = SERVING

    @property
    def ready(self):
        """Whether it takes clients and will go on to."""
        return self.state == SERVING and not self.followed

    @property
    def welcomes(self):
        """Whether a client that asks is told to come. One that ends is left by its platform, not by its clients."""
        return self.state in (STARTING, SERVING, ENDING)

    def drain(self, now):
        """Empty the gateway. Said again, the first call's times hold; while it ends, it empties all the same."""
        if self.state in (STARTING, SERVING):
            self.state, self.since = DRAINING, now
        return True

    def resume(self):
        """Take clients again; False when it is ending, does not take any yet, or another process does."""
        if self.state in (DRAINING, DRAINED):
            self.state = SERVING
        return self.ready

    def end(self, now):
        """Let clients go for good; a drain that is on has had its change-over, or goes on with it."""
        if self.state != ENDING:
            self.since = now if self.state in (STARTING, SERVING) else self.since
            self.state = ENDING

    def emptied(self, clients):
        """So many clients are connected; True when this call finds that a drain is done."""
        if self.state == DRAINING and not clients:
            self.state = DRAINED
            return True
        return False

    def lets_go(self, now):
        """Whether a connection that is owed nothing ends."""
        return self.state not in (STARTING, SERVING) and now - self.since >= self.change_over

    def takes(self, now, came, owed=False):
        """Whether a connection that came then takes a new command; one that is refused is told so. While we end, a command
        that had begun is taken, and none behind others that are still owed: it would keep the connection for ever."""
        if self.state == ENDING:
            return not (owed and self.lets_go(now))
        return self.state in (STARTING, SERVING) or now - max(self.since, came) < self.last_command

    def answers_by(self, longest):
        """When all that is open has its answer at last, given the longest deadline; never, unless we end."""
        return (
            self.since + min(longest, self.kill_longest) + self.kill_after
            if self.state == ENDING
            else math.inf
        )
