"""The versions by which endpoints are known, and which endpoint lists are older than that.

A gateway learns of endpoints from its configuration, from discovery, and from the other process of
a hot restart. Each list has the version, or index, that discovery assigned to it. For each endpoint
the newest version counts, in whatever order the lists arrive: an older list takes nothing back.
"""

RENUMBERING_DELAY_S = 60.0
"""The time for which a source that is not renumbered may be behind while it makes progress."""


class EndpointVersions:
    """The version by which each endpoint is known; owned by the table of known endpoints.

    The state of every endpoint is known as of the complete index; an endpoint that is not listed
    then is gone. Single endpoints may be known as of later versions, from changes whose
    predecessors are missing.

    Attributes:
        complete_index: The version as of which every endpoint is known; None before a list.
    """

    def __init__(self) -> None:
        self.complete_index: int | None = None
        self._later: dict[str, int] = {}  # versions beyond the complete index, by endpoint name

    @property
    def has_gap(self) -> bool:
        """Whether endpoints are known by versions whose predecessors are missing."""
        return bool(self._later)

    def is_older(self, name: str, index: int) -> bool:
        """Return whether a list is older than what is known of an endpoint.

        Args:
            name: The name of the endpoint, which may be unknown.
            index: The version of the list.
        """
        if self.complete_index is not None and index < self.complete_index:
            return True
        return index < self._later.get(name, index)

    def is_behind(self, index: int) -> bool:
        """Return whether all that a list says is older than what is known."""
        return self.complete_index is not None and index < self.complete_index

    def is_news(self, index: int) -> bool:
        """Return whether a list is newer than the one as of which every endpoint is known."""
        return self.complete_index is None or index > self.complete_index

    def record(self, name: str, index: int) -> None:
        """Record that an endpoint is known as of a version; callers check `is_older` before."""
        if self.is_news(index):
            self._later[name] = index

    def on_list_applied(self, index: int, since: int | None) -> None:
        """Record that a list has been applied in full.

        Args:
            index: The version of the list.
            since: The version that its changes continue from; None for a complete list. Changes
                since a later version than the known one lack some. Those since an earlier one need
                not list an endpoint that is again as it was then.
        """
        if self.is_behind(index):
            return
        if since is not None and since != self.complete_index:
            return
        self.complete_index = index
        self._later = {name: later for name, later in self._later.items() if later > index}

    def reset(self) -> None:
        """Forget all versions, as discovery has begun another numbering."""
        self.complete_index = None
        self._later = {}


class NumberingMonitor:
    """Recognizes that discovery has begun to number its lists anew.

    A lower version usually means that the source is behind, such as a replica that is cut off. Such
    a source stands still, or catches up. One whose versions grow for long, and stay lower, has
    another numbering.
    """

    def __init__(self) -> None:
        self._first_index: int | None = None
        self._behind_since = 0.0

    @property
    def is_behind(self) -> bool:
        """Whether the last list was older than what is known."""
        return self._first_index is not None

    def has_restarted(self, index: int, versions: EndpointVersions, now: float) -> bool:
        """Handle a list of discovery, and return whether its versions follow another numbering.

        Args:
            index: The version of the list.
            versions: The versions that are known.
            now: The time, in seconds.
        """
        if not versions.is_behind(index):
            self._first_index = None
            return False
        if self._first_index is None or index < self._first_index:
            self._first_index = index
            self._behind_since = now
        has_progressed = index > self._first_index
        return has_progressed and now - self._behind_since >= RENUMBERING_DELAY_S
