"""The steps of scenario files for a whole gateway, one method `do_VERB` each.

The notation is in tests/README.md. Steps are grouped by concern into the modules `*_steps`; the
state that they share is in `harness`.
"""

from tests.integration.gateway.load_steps import LoadSteps
from tests.integration.gateway.process_steps import ProcessSteps
from tests.integration.gateway.setup_steps import SetupSteps


class GatewayScenario(LoadSteps, SetupSteps, ProcessSteps):
    """One play of a scenario: a gateway on loopback sockets, and all that it talks to."""
