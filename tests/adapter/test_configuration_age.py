"""Guards against gateways that take silence of the store for "nothing new" (CONFIG)."""

import random
from functools import partial

import pytest
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from adapter_fleet import STEP_MS, FleetNetwork
from adapter_harness import request
from adapter_store import StoreModel, configuration_record, entry_record
from silent_store import SilentStore
from skylarkmoor_adapter.records import decode_configuration
from skylarkmoor_adapter.store import Store
from skylarkmoor_clients.httpclient import Answer, NoAnswer
from skylarkmoor_core.settings import Address

# Time after its confirmation by which a configuration has to be in force.
CONFIGURATION_APPLY_MS = 2_000
# Time after its entry says so within which an upstream has to be known to be leaving.
DRAIN_MS = 2_000
NEW_ROUTE = {
    "name": "added",
    "host": "a.example",
    "path_prefix": "/added/",
    "kind": "safe",
    "timeout_ms": 800,
    "goal_ms": 100,
    "priority": 2,
    "service": "orders",
    "max_attempts": 1,
}


class StoreFleet:
    """A simulated fleet whose gateways follow one store over connections of their own."""

    def __init__(self, make_harness, seed, hosts):
        from skylarkmoor_adapter.followers import ConfigurationFollower, UpstreamFollower

        self.model = StoreModel()
        self.model.write("keyed.op", "config", configuration_record(10))
        self.rng = random.Random(seed)
        make_harness = partial(make_harness, max_configuration_age_ms=CONFIGURATION_APPLY_MS // 2)
        self.network = FleetNetwork(make_harness, self.rng, [])
        self.stores = {}
        for number in range(1, hosts + 1):
            host = f"host-{number}"
            self.network.start(host)
            harness = self.network.members[host].harness
            gateway = harness.gateway
            store = SilentStore(self.model, harness.reactor, harness.clock)
            self.stores[host] = store
            follower = ConfigurationFollower(store, gateway, gateway.tasks, harness.clock)
            gateway.tasks.spawn(follower.run())
            gateway.tasks.spawn(follower.renew())
            upstreams = UpstreamFollower(store, gateway, gateway.tasks, harness.clock, 2_000)
            gateway.tasks.spawn(upstreams.run())

    @property
    def gateways(self):
        return [each.harness.gateway for each in self.network.members.values()]

    def run(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.network.advance()

    def silence(self):
        for store in self.stores.values():
            store.silence()

    def publish(self, version):
        self.model.write("keyed.op", "config", configuration_record(version, NEW_ROUTE))

    def versions(self):
        return {each.table.version for each in self.gateways}


@pytest.mark.parametrize("hosts", [1, 2, 9])
@pytest.mark.parametrize("seed", range(4))
def test_a_configuration_is_in_force_in_time_after_connections_went_silent(
    make_harness, hosts, seed
):
    """Hosts waited 9.5 s for an answer on connections that had gone silent."""
    fleet = StoreFleet(make_harness, seed, hosts)
    fleet.run(4_000 + fleet.rng.randrange(0, 9_000, STEP_MS))
    assert fleet.versions() == {10}
    fleet.silence()
    fleet.run(fleet.rng.randrange(0, 500, STEP_MS))
    fleet.publish(11)
    fleet.run(CONFIGURATION_APPLY_MS)
    assert fleet.versions() == {11}


def test_a_change_is_in_force_in_time_at_a_host_whose_connections_alone_went_silent(make_harness):
    fleet = StoreFleet(make_harness, 1, 3)
    fleet.run(5_000)
    fleet.stores["host-2"].silence()
    fleet.publish(11)
    fleet.run(CONFIGURATION_APPLY_MS)
    assert fleet.versions() == {11}


@pytest.mark.parametrize("hosts", [1, 9])
@pytest.mark.parametrize("seed", range(4))
def test_a_page_that_does_not_reach_the_end_of_the_log_confirms_nothing(make_harness, seed, hosts):
    """A read returned two of several versions, and the second passed for the newest (CONFIG)."""
    fleet = StoreFleet(make_harness, seed, hosts)
    fleet.run(3_000 + fleet.rng.randrange(0, 2_000, STEP_MS))
    large_route = NEW_ROUTE | {"path_prefix": "/" + "a" * 359_000}
    newest = 22
    for version in range(11, newest + 1):
        fleet.model.write("keyed.op", "config", configuration_record(version, large_route))
    published_ms = fleet.network.clock.now_ms()
    for _ in range(CONFIGURATION_APPLY_MS // STEP_MS):
        fleet.run(STEP_MS)
        now_ms = fleet.network.clock.now_ms()
        for gateway in fleet.gateways:
            age_ms = gateway.fleet.configuration_age.age_ms(now_ms)
            assert gateway.table.version == newest or now_ms - age_ms < published_ms
    assert fleet.versions() == {newest}


@pytest.mark.parametrize("hosts", [1, 2, 9])
@pytest.mark.parametrize("seed", range(4))
def test_a_leaving_upstream_is_known_in_time_after_connections_went_silent(
    make_harness, hosts, seed
):
    """The list of upstreams was read for 1.5 s on connections that had gone silent."""
    fleet = StoreFleet(make_harness, seed, hosts)
    fleet.model.write("keyed.servers", "e1", entry_record())
    fleet.run(4_000 + fleet.rng.randrange(0, 9_000, STEP_MS))
    fleet.silence()
    fleet.model.write("keyed.servers", "e1", entry_record(state="draining", seq=2))
    fleet.run(DRAIN_MS)
    assert [each.placement.upstreams["e1"].leaving for each in fleet.gateways] == [True] * hosts


def test_the_time_that_a_request_has_waited_for_a_confirmation_counts(make_harness):
    """Its upstream was given more time than its caller had left."""
    harness = make_harness(max_configuration_age_ms=1_000)
    gateway = harness.gateway
    harness.add_upstream("o1", "orders", 81)
    harness.advance(2_000)
    caller = harness.caller()
    caller.send(request("/added/1", Skylarkmoor_Deadline_Ms="700"))
    harness.advance(400)
    record = configuration_record(11, NEW_ROUTE)
    gateway.set_table(decode_configuration(record), record)
    gateway.fleet.configuration_age.confirm(harness.clock.now_ms())
    harness.advance(25)
    assert b"Skylarkmoor-Deadline-Ms: 275\r\n" in harness.accept().received()


@pytest.mark.parametrize(
    ("changes", "status"),
    [({"path": "/unknown/1"}, b"404"), ({"Authorization": "Token unknown"}, b"401")],
)
def test_what_is_unknown_is_not_denied_while_the_configuration_may_be_old(
    make_harness, changes, status
):
    """Valid API keys were refused by a table that was seconds old."""
    fleet = StoreFleet(make_harness, 1, 2)
    fleet.run(3_000)
    harness = fleet.network.members["host-1"].harness

    def ask():
        caller = harness.caller()
        caller.send(request(**changes))
        fleet.run(1_000)
        return caller.received().split(b" ", 2)[1]

    assert ask() == status
    for store in fleet.stores.values():
        store.silence()
        store.is_away = True
    fleet.run(3_000)
    assert ask() == b"503"
    for store in fleet.stores.values():
        store.is_away = False
    fleet.run(3_000)
    assert ask() == status


class SilentHttp:
    """Passes calls to a store model; while it is silent, they end with their timeout."""

    def __init__(self, model, reactor):
        self.model = model
        self.reactor = reactor
        self.is_silent = False

    def drop_connections(self):
        pass

    async def request(
        self, method, path, *, params, body=None, timeout_ms, max_bytes, new_connection=False
    ):
        done = Deferred()
        wait_ms = timeout_ms if self.is_silent else int(params.get("wait_ms", 0))
        self.reactor.callLater(wait_ms / 1_000, lambda: done.called or done.callback(None))
        await done
        if self.is_silent:
            raise NoAnswer("no complete answer in time")
        response = self.model.respond(method, path, params, body or b"")
        headers = Headers({name: [value] for name, value in response.headers.items()})
        return Answer(response.status, headers, response.body)


def test_a_waiting_read_without_an_answer_is_an_outage(harness, caplog):
    """It was taken for one that was begun anew, so that the log told nothing of the outage."""
    from skylarkmoor_adapter.followers import ConfigurationFollower

    model = StoreModel()
    model.write("keyed.op", "config", configuration_record(10))
    store = Store(Address("127.0.0.1", 1))
    http = store._http = SilentHttp(model, harness.reactor)
    gateway = harness.gateway
    follower = ConfigurationFollower(store, gateway, gateway.tasks, harness.clock)
    gateway.tasks.spawn(follower.run())
    harness.advance(1_000)
    assert gateway.table.version == 10
    http.is_silent = True
    harness.advance(20_000)
    assert "store is unreachable" in caplog.text
    http.is_silent = False
    model.write("keyed.op", "config", configuration_record(11))
    harness.advance(12_000)
    assert gateway.table.version == 11
