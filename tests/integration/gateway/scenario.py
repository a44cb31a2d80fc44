"""The steps of gateway scenario files, one method `do_VERB` for each verb.

tests/README.md describes the notation. The modules `*_steps` group the steps by subject; `harness`
holds the state that they share.
"""

from tests.integration.gateway.load_steps import LoadSteps
from tests.integration.gateway.process_steps import ProcessSteps
from tests.integration.gateway.setup_steps import SetupSteps


class GatewayScenario(LoadSteps, SetupSteps, ProcessSteps):
    """One run of a scenario: a gateway on loopback sockets, and all its peers."""
