"""Fixture that serves klein apps, as fakes of the platform, on a free local port."""

import pytest
import pytest_twisted
from twisted.web.server import Site


# Only the test modules import klein: the import installs the default reactor, and this file is
# loaded before pytest-twisted installs the asyncio reactor.
@pytest.fixture
def serve():
    from twisted.internet import reactor

    ports = []

    def start(app) -> str:
        port = reactor.listenTCP(0, Site(app.resource()), interface="127.0.0.1")
        ports.append(port)
        return f"http://127.0.0.1:{port.getHost().port}"

    yield start
    for port in ports:
        pytest_twisted.blockon(port.stopListening())
