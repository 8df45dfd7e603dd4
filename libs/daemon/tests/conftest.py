"""Fixtures that run daemons and simulated platform services in the test process.

Modules that import the reactor are imported inside functions, because pytest-twisted installs
its reactor after this file is loaded.
"""

import copy
import random

import msgspec
import pytest
import pytest_twisted

from skylarkmoor_core.clock import SystemClock
from skylarkmoor_core.ids import FailureDomain, HostId
from skylarkmoor_core.settings import Address

_LOOPBACK = Address("127.0.0.1", 0)


class HttpResponse:
    """A complete HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return msgspec.json.decode(self.body)

    def error(self):
        """Return the code and the outcome of an error response."""
        error = self.json()["error"]
        return error["code"], error["outcome"]


class HttpClient:
    """HTTP client that opens a new connection for each request."""

    def __init__(self):
        from twisted.internet import reactor
        from twisted.web.client import HTTPConnectionPool

        self._pool = HTTPConnectionPool(reactor, persistent=False)

    async def ask(self, method, url, body=None, headers=None):
        import treq

        response = await treq.request(
            method, url, data=body, headers=headers or {}, pool=self._pool, timeout=20
        )
        response_headers = {
            name.decode().lower(): values[0].decode()
            for name, values in response.headers.getAllRawHeaders()
        }
        return HttpResponse(response.code, response_headers, await response.content())


async def sleep(seconds):
    from twisted.internet import reactor
    from twisted.internet.task import deferLater

    await deferLater(reactor, seconds, lambda: None)


async def until(predicate, limit_s=15.0):
    """Poll `predicate` until it holds; raise AssertionError after `limit_s` seconds."""
    for _ in range(int(limit_s / 0.02)):
        if predicate():
            return
        await sleep(0.02)
    raise AssertionError(f"condition not met within {limit_s} s")


class World:
    """Platform services, upstreams and daemons of one test, on loopback ports."""

    until = staticmethod(until)
    sleep = staticmethod(sleep)

    def __init__(self):
        from skylarkmoor_standins.hosts import HostListService
        from skylarkmoor_standins.hosts_model import HostListModel
        from skylarkmoor_standins.log import LogService
        from skylarkmoor_standins.log_model import LogModel

        self.clock = SystemClock()
        self.web = HttpClient()
        self.log = LogModel(10_000, 3_600_000, self.clock.wall_ms())
        self.hosts = HostListModel(0)
        self.engines = {}
        self.plains = {}
        self.daemons = {}
        self._engine_services = {}
        self.urls = {}
        self._ports = []
        self._stopped = set()
        self.log_url = self._serve(LogService(self.log, self.clock).app)
        self.hosts_url = self._serve(HostListService(self.hosts, self.clock).app)

    def engine(self, name, domain="a", listed="assistant", versions=("v1",), **settings):
        from skylarkmoor_standins.engine import EngineService
        from skylarkmoor_standins.engine_model import EngineModel, EngineSettings

        rng = random.Random(1)
        defaults = {"decode_ms": 2.0, "prefill_tokens_per_s": 100_000.0, "report_lag_ms": 0}
        made = EngineSettings(**{**defaults, **settings})
        model = EngineModel(made, versions, "mixed", rng, self.clock.wall_ms())
        self.engines[name] = model
        service = self._engine_services[name] = EngineService(model, self.clock, rng, load_ms=50)
        url = self._serve(service.app)
        self._add_upstream_entry(name, url, domain, listed)
        return model

    def plain(self, name, domain="a", service="orders", service_ms=5):
        from skylarkmoor_standins.plain import PlainService
        from skylarkmoor_standins.plain_model import PlainModel

        model = PlainModel(service_ms, 8, random.Random(1))
        self.plains[name] = model
        url = self._serve(PlainService(model, self.clock, ("v1",)).app)
        self._add_upstream_entry(name, url, domain, service)
        return model

    def daemon(self, name, domain="a"):
        from twisted.internet import reactor

        from skylarkmoor_daemon.daemon import Daemon, Settings

        settings = Settings(
            HostId(name), FailureDomain(domain), _LOOPBACK, _LOOPBACK, self.log_url, self.hosts_url
        )
        daemon = Daemon(settings, reactor, self.clock, random.Random(1))
        http, peer = daemon.start()
        self.daemons[name] = daemon
        self.urls[name] = f"http://{http}"
        self._add_host_entry(name, "entry", str(http), domain, peer_address=str(peer))
        return daemon

    def publish(self, document, based_on=None):
        """Append a service document to the configuration log and return its offset."""
        record = {
            "type": "DocumentPublished",
            "service": document["service"],
            "document": document,
            "based_on": based_on,
            "author": "test",
        }
        data = msgspec.json.encode(record)
        return self.log.append("config", data, self.clock.wall_ms()).offset

    async def ready(self, peers=None):
        """Wait until each daemon is ready, reaches its peers and has a load report per upstream."""
        expected = len(self.daemons) - 1 if peers is None else peers

        def is_settled():
            for daemon in self.daemons.values():
                if not daemon.is_ready() or len(daemon.reachable()) < expected:
                    return False
                for service in daemon.services.values():
                    states = service.upstreams.values()
                    if not states or any(state.load is None for state in states):
                        return False
            return True

        await until(is_settled)

    async def chat(self, daemon, text, stream=False, customer="depot", headers=None, **body):
        data = {"model": "everyday", "messages": [{"role": "user", "content": text}], **body}
        data["stream"] = stream
        return await self.web.ask(
            "POST",
            f"{self.urls[daemon]}/v1/chat/completions",
            msgspec.json.encode(data),
            {"X-Customer": customer, **(headers or {})},
        )

    async def order(self, daemon, key, body=None, customer="depot", route="order", issued=None):
        issued = self.clock.wall_ms() if issued is None else issued
        headers = {"X-Customer": customer, "Idempotency-Key": f'"{key}"; issued={issued}'}
        return await self.web.ask(
            "POST",
            f"{self.urls[daemon]}/v1/call/{route}",
            msgspec.json.encode({"item": 1} if body is None else body),
            headers,
        )

    async def kill_engine(self, name):
        """Abort an engine's connections and close its port, as when its process ends."""
        port = int(self.urls[name].rpartition(":")[2])
        for listening_port in self._ports:
            if listening_port.getHost().port == port:
                await listening_port.stopListening()
                self._ports.remove(listening_port)
                break
        for connection in self._engine_services[name]._connections.values():
            connection.request.transport.abortConnection()

    def crash_engines(self, monkeypatch):
        """Replace process exit by `kill_engine` for engines that crash."""
        import skylarkmoor_standins.engine as module

        self.crashes = []

        def crash(code):
            from twisted.internet.defer import ensureDeferred

            for name, model in self.engines.items():
                if model.crashed and name not in self.crashes:
                    self.crashes.append(name)
                    ensureDeferred(self.kill_engine(name))

        monkeypatch.setattr(module.os, "_exit", crash)

    def set_faults(self, name, **faults):
        model = self.engines.get(name) or self.plains[name]
        model.faults = msgspec.structs.replace(model.faults, **faults)

    async def stop_daemon(self, name):
        self._stopped.add(name)
        await self.daemons[name].stop()

    async def stop(self):
        for name, daemon in self.daemons.items():
            if name not in self._stopped:
                await daemon.stop()
        for port in self._ports:
            await port.stopListening()

    def _serve(self, app):
        from skylarkmoor_standins.server import listen

        port = listen(app, _LOOPBACK)
        self._ports.append(port)
        return f"http://127.0.0.1:{port.getHost().port}"

    def _add_upstream_entry(self, name, url, domain, service):
        self.urls[name] = url
        self._add_host_entry(name, "upstream", url.removeprefix("http://"), domain, service=service)

    def _add_host_entry(self, host, kind, address, domain, **extra_fields):
        from skylarkmoor_standins.hosts_model import HostChange

        entry = {"host": host, "kind": kind, "address": address, "failure_domain": domain}
        change = msgspec.convert({"add": [{**entry, **extra_fields}]}, HostChange)
        self.hosts.change(change, self.clock.wall_ms())


ASSISTANT = {
    "service": "assistant",
    "kind": "engine",
    "version": "v1",
    "tiers": [{"name": "gold", "rank": 0}, {"name": "bulk", "rank": 1}],
    "routes": [
        {"name": "everyday", "tier": "gold", "deadline_ms": 20_000},
        {"name": "notes", "tier": "bulk", "deadline_ms": 20_000},
    ],
    "customers": [{"name": "depot"}, {"name": "council"}],
}
ORDERS = {
    "service": "orders",
    "kind": "plain",
    "version": "v1",
    "tiers": [{"name": "gold", "rank": 0}],
    "routes": [
        {"name": "order", "tier": "gold", "idempotent": False, "deadline_ms": 10_000},
        {"name": "stock", "tier": "gold", "deadline_ms": 10_000},
    ],
    "customers": [{"name": "depot"}, {"name": "council"}],
}


@pytest_twisted.async_yield_fixture
async def world():
    made = World()
    yield made
    await made.stop()


@pytest.fixture
def assistant():
    return copy.deepcopy(ASSISTANT)


@pytest.fixture
def orders():
    return copy.deepcopy(ORDERS)
