"""The last state of each endpoint that discovery reported to each gateway."""

from typing import NamedTuple

from petrellane.invariants.records import READY, EndpointNotified, Id


class EndpointView(NamedTuple):
    """The last state of one endpoint that discovery reported to one gateway.

    Attributes:
        state: The endpoint's state.
        since: The time of the last notification that the endpoint is ready, or of the first one
            that it is no longer ready, in seconds.
        up_since: The time of the endpoint's last start, in seconds; 0 if it started long ago.
    """

    state: str
    since: float
    up_since: float


class EndpointViews:
    """The views of all gateways; owned by the checker of the run."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._views: dict[tuple[Id, Id], EndpointView] = {}

    def view(self, gateway: Id, host: Id, at: float) -> EndpointView:
        """Return a gateway's view of a host; before any notification, it is ready since `at`."""
        view = self._views.get((gateway, host))
        return EndpointView(READY, at, 0.0) if view is None else view

    def update(self, record: EndpointNotified) -> None:
        """Apply a notification.

        If a host is first draining and later gone, the grace period runs from the first of the two
        notifications.
        """
        before = self.view(record.gateway, record.host, record.at)
        since = before.since
        if record.state == READY or before.state == READY:
            since = record.at
        view = EndpointView(record.state, since, record.up_since)
        self._views[record.gateway, record.host] = view

    def remove_gateway(self, gateway: Id) -> None:
        """Remove the views of a gateway that was killed."""
        self._views = {key: view for key, view in self._views.items() if key[0] != gateway}
