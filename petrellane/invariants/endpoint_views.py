"""What each gateway was last notified of each endpoint."""

from typing import NamedTuple

from petrellane.invariants.records import READY, EndpointNotified, Id


class EndpointView(NamedTuple):
    """One endpoint as one gateway knows it.

    `since` is when the gateway was notified that it is ready, or first that it no longer is;
    `up_since` is its last start, 0 for long ago.
    """

    state: str
    since: float
    up_since: float


class EndpointViews:
    """The views of all gateways in one run; owned by its checker."""

    def __init__(self) -> None:
        """Make an empty table."""
        self._views: dict[tuple[Id, Id], EndpointView] = {}

    def view(self, gateway: Id, host: Id, at: float) -> EndpointView:
        """Return a gateway's view of a host; ready from `at` on where it was notified of none."""
        view = self._views.get((gateway, host))
        return EndpointView(READY, at, 0.0) if view is None else view

    def update(self, record: EndpointNotified) -> None:
        """Apply a notification.

        For a host that drains first and is gone later, the grace runs from the first notification.
        """
        before = self.view(record.gateway, record.host, record.at)
        since = before.since
        if record.state == READY or before.state == READY:
            since = record.at
        view = EndpointView(record.state, since, record.up_since)
        self._views[record.gateway, record.host] = view

    def forget_gateway(self, gateway: Id) -> None:
        """Forget the views of a gateway that was killed."""
        self._views = {key: view for key, view in self._views.items() if key[0] != gateway}
