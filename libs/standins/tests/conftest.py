"""Serves the simulated services on loopback and provides an HTTP client for them.

The client uses no persistent connections, so that none is left open after a test. Modules that
import the reactor are imported inside functions, because pytest-twisted installs the reactor only
after it has loaded this file.
"""

import msgspec
import pytest_twisted

from skylarkmoor_core.settings import Address


class Client:
    """HTTP client of one service, with a new connection for each request."""

    def __init__(self, port):
        self.url = f"http://127.0.0.1:{port}"
        from twisted.internet import reactor
        from twisted.web.client import HTTPConnectionPool

        self._pool = HTTPConnectionPool(reactor, persistent=False)

    async def get(self, path):
        import treq

        response = await treq.get(self.url + path, pool=self._pool, timeout=10)
        return response.code, msgspec.json.decode(await response.content())

    async def post(self, path, body):
        response = await self.send(path, body)
        return response.code, msgspec.json.decode(await response.content())

    async def send(self, path, body):
        import treq

        data = msgspec.json.encode(body)
        return await treq.post(self.url + path, data=data, pool=self._pool, timeout=10)

    async def lines(self, path, body):
        content = await (await self.send(path, body)).content()
        return [msgspec.json.decode(line) for line in content.splitlines()]


@pytest_twisted.async_yield_fixture
async def start():
    """Return a function that serves a Klein app on a free port and returns a client for it."""
    from skylarkmoor_standins.server import listen

    ports = []

    def _serve(app):
        ports.append(listen(app, Address("127.0.0.1", 0)))
        return Client(ports[-1].getHost().port)

    yield _serve
    for port in ports:
        await port.stopListening()
