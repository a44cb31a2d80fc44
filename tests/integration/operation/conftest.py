"""Fixtures of tests with whole processes of a gateway."""

from collections.abc import Iterator

import pytest

from tests.integration.operation.deployment import Deployment, GatewayProcess


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    """All that a gateway talks to, with the usual configuration."""
    made = Deployment()
    yield made
    made.close()


@pytest.fixture
def old(deployment: Deployment) -> GatewayProcess:
    """A process of the gateway that accepts clients."""
    return deployment.start_ready()
