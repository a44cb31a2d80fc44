"""Rule `drains`: nothing is sent to a host that drains or is gone.

Attempts may go there for as long as the grace after their gateway was notified.
"""

from petrellane.invariants.endpoint_views import EndpointViews
from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import READY, AttemptSent
from petrellane.invariants.verdict import DRAINING, ViolationLog


class Draining:
    """Judges where attempts of one run go."""

    def __init__(self, parameters: RuleParameters, views: EndpointViews, log: ViolationLog) -> None:
        """Judge by these terms, and by what gateways were notified of, into a log."""
        self._parameters = parameters
        self._views = views
        self._log = log

    def check_attempt(self, record: AttemptSent) -> None:
        """Judge an attempt by its gateway's view of its host."""
        view = self._views.view(record.gateway, record.host, record.at)
        if view.state == READY:
            return
        late = record.at - view.since
        self._log.approached(DRAINING, late / self._parameters.drain_grace)
        if late > self._parameters.drain_grace:
            text = (
                f"{record.gateway} sent RPC {record.rpc} to {record.host} {late:.3f} s after it "
                f"was told that it is {view.state}"
            )
            self._log.violated(DRAINING, record.at, text, record.rpc)
