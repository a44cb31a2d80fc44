"""Fixtures of the tests with complete gateway processes."""

from collections.abc import Iterator

import pytest

from tests.integration.operation.deployment import Deployment, GatewayProcess


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    """Yield a gateway's peers with the default configuration."""
    created = Deployment()
    yield created
    created.close()


@pytest.fixture
def old(deployment: Deployment) -> GatewayProcess:
    """Return a process of the gateway that accepts clients."""
    return deployment.start_ready()
