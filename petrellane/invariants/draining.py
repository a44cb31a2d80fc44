"""The rule `drains`: a gateway sends no attempt to a host that is draining or gone.

It may send attempts for `RuleParameters.drain_grace` seconds after it was notified of that state.
"""

from petrellane.invariants.endpoint_views import EndpointViews
from petrellane.invariants.parameters import RuleParameters
from petrellane.invariants.records import READY, AttemptSent
from petrellane.invariants.verdict import DRAINING, ViolationLog


class Draining:
    """Checks the destinations of attempts; owned by the checker of the run."""

    def __init__(self, parameters: RuleParameters, views: EndpointViews, log: ViolationLog) -> None:
        """Create the rule; it reads the gateways' views, and adds violations to the log."""
        self._parameters = parameters
        self._views = views
        self._log = log

    def check_attempt(self, record: AttemptSent) -> None:
        """Check an attempt against its gateway's view of its host."""
        view = self._views.view(record.gateway, record.host, record.at)
        if view.state == READY:
            return
        late = record.at - view.since
        self._log.record_proximity(DRAINING, late / self._parameters.drain_grace)
        if late > self._parameters.drain_grace:
            text = (
                f"{record.gateway} sent RPC {record.rpc} to {record.host} {late:.3f} s after it "
                f"was notified that the host is {view.state}"
            )
            self._log.add_violation(DRAINING, record.at, text, record.rpc)
