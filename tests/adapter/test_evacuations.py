"""Guards against requests that are sent to a failure domain whose evacuation was ordered."""

import random

import pytest

from adapter_fleet import EVENT, CutKind, FleetNetwork, ModelUpstream
from adapter_harness import answer, chunk, request, stream_head
from adapter_store import StoreModel, configuration_record, entry_record
from skylarkmoor_adapter.store import KeyedRecord, StorePage
from skylarkmoor_core.ids import HostId
from skylarkmoor_core.logposition import LogPosition


def evacuate(gateway, *domains, offset=5, in_force=True):
    """Apply an order as the log has it."""
    position = LogPosition(1, offset)
    records = dict.fromkeys(domains, (position, in_force))
    changes = gateway.placement.evacuations.apply_records(
        records, position, gateway.clock.now_ms(), is_complete=False
    )
    gateway.evacuations_changed(changes)


def test_a_pooled_connection_to_an_evacuated_domain_is_not_used(harness):
    harness.add_upstream("o1", "orders", 80, failure_domain="a")
    caller = harness.caller()
    caller.send(request())
    first = harness.accept()
    first.send(answer())
    first.received()
    harness.add_upstream("o2", "orders", 81, failure_domain="b")
    evacuate(harness.gateway, "a")
    caller.send(request("/stock/2", Skylarkmoor_Request_Id="r2"))
    assert harness.take_connection().address == ("10.0.0.9", 81)
    assert first.received() == b""


@pytest.mark.parametrize("path", ["/stock/1", "/order/1"])
def test_a_request_is_placed_again_if_the_order_comes_while_connecting(harness, path):
    harness.add_upstream("o1", "orders", 80, failure_domain="a")
    caller = harness.caller()
    caller.send(request(path))
    pending = harness.take_connection()
    harness.add_upstream("o2", "orders", 81)
    evacuate(harness.gateway, "a")
    assert pending.accept().received() == b""
    other = harness.take_connection()
    assert other.address == ("10.0.0.9", 81)
    other.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200")


def test_the_second_way_to_an_upstream_is_checked_as_well(harness):
    """A connection through a second peer was taken from its pool without any check."""
    harness.add_upstream("o1", "orders", 80, failure_domain="a")
    harness.caller().send(request())
    exchange = next(iter(harness.gateway._exchanges.values()))
    connection = harness.accept()
    connection.received()
    evacuate(harness.gateway, "a")
    exchange._transmit(exchange._current, connection.protocol)
    assert connection.received() == b""


def test_requests_in_progress_finish(harness):
    harness.add_upstream("o1", "orders", 80, failure_domain="a")
    caller = harness.caller()
    caller.send(request())
    upstream = harness.accept()
    evacuate(harness.gateway, "a")
    upstream.send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200")


def test_a_slot_that_was_granted_before_is_not_used(harness):
    harness.add_upstream("e1", "assistant", 80, slots=1, failure_domain="a")
    harness.add_upstream("e2", "assistant", 81, slots=1, failure_domain="b")
    caller = harness.caller()
    caller.send(request("/answer/1"))
    exchange = next(iter(harness.gateway._exchanges.values()))
    pending = harness.take_connection()
    name, domain = ("e1", "a") if pending.address[1] == 80 else ("e2", "b")
    evacuate(harness.gateway, domain)
    assert pending.accept().received() == b""
    harness.advance(25)
    assert harness.pending_connections() == 1
    assert exchange._current.upstream != name


def test_a_broken_stream_is_not_resumed_in_an_evacuated_domain(harness):
    harness.add_upstream("e1", "assistant", 80, failure_domain="a")
    caller = harness.caller()
    caller.send(request("/brief/1"))
    upstream = harness.accept()
    upstream.send(stream_head() + chunk(EVENT))
    harness.add_upstream("e2", "assistant", 81, failure_domain="a")
    evacuate(harness.gateway, "a")
    upstream.close(reset=True)
    harness.advance(1_000)
    assert harness.pending_connections() == 0
    assert caller.transport.disconnecting


@pytest.mark.parametrize("path", ["/stock/1", "/answer/1"])
def test_requests_are_refused_if_all_domains_are_evacuated(harness, path):
    harness.add_upstream("o1", "orders", 80, failure_domain="a")
    harness.add_upstream("e1", "assistant", 81, failure_domain="a")
    evacuate(harness.gateway, "a")
    caller = harness.caller()
    caller.send(request(path))
    response = caller.received()
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0." in response
    evacuate(harness.gateway, "a", offset=6, in_force=False)
    caller.send(request(path, Skylarkmoor_Request_Id="r2"))
    assert harness.pending_connections() == 1


def test_requests_that_wait_are_refused_when_the_last_domain_is_evacuated(harness):
    harness.add_upstream("e1", "assistant", 80, slots=1, failure_domain="a")
    callers = [harness.caller() for _ in range(4)]
    for number, caller in enumerate(callers):
        caller.send(request("/answer/1", Skylarkmoor_Request_Id=f"r{number}"))
    evacuate(harness.gateway, "a")
    refused = [each for each in callers if each.received().startswith(b"HTTP/1.1 503")]
    assert len(refused) == 2


class Store:
    """Passes the reads of the followers to a model of the store."""

    def __init__(self):
        self.model = StoreModel()
        self.on_restored = []
        self.on_silence = []

    async def newest(self, topic, *, new_connection=False):
        records = self.model.topics.get(topic, [])
        last = {key: offset for offset, (key, _) in enumerate(records)}
        items = [KeyedRecord(*records[each], each) for each in last.values() if records[each][1]]
        return StorePage(tuple(items), len(records), self.model.era, len(records))

    async def read(self, topic, from_offset, wait_ms=0, *, new_connection=False, timeout_ms=0):
        records = self.model.topics.get(topic, [])
        items = [KeyedRecord(*each, offset) for offset, each in enumerate(records)][from_offset:]
        return StorePage(tuple(items), len(records), self.model.era, len(records))


class Followed:
    """A gateway that follows a store."""

    def __init__(self, harness):
        from skylarkmoor_adapter.followers import ConfigurationFollower, UpstreamFollower

        self.store = Store()
        self.model = self.store.model
        self.gateway = harness.gateway
        self.advance = harness.advance
        tasks = self.gateway.tasks
        self.follower = ConfigurationFollower(self.store, self.gateway, tasks, harness.clock)
        self.upstreams = UpstreamFollower(self.store, self.gateway, tasks, harness.clock, 2_000)

    def order(self, domain, value=b"{}"):
        self.model.write("keyed.op", f"evacuate/{domain}", value)

    def read(self, follower=None):
        """Make the next read of a follower."""
        work = (follower or self.follower)._reader.next(0)
        with pytest.raises(StopIteration) as stop:
            work.send(None)
        (follower or self.follower)._apply_page(*stop.value.value)

    @property
    def evacuated(self):
        return set(self.gateway.placement.evacuations.in_force)


@pytest.fixture
def followed(harness):
    return Followed(harness)


def test_an_order_in_the_page_of_the_configuration_is_applied_first(followed):
    """A host that starts would send requests between the two."""
    evacuated_at_start = []
    followed.gateway.set_table = lambda table, data: evacuated_at_start.append(followed.evacuated)
    followed.model.write("keyed.op", "config", configuration_record(9))
    followed.order("a")
    followed.read()
    assert evacuated_at_start == [{"a"}]


def test_an_order_is_taken_back_by_a_deletion_or_a_list_without_it(followed):
    followed.order("a", b"anything")
    followed.read()
    followed.order("a", None)
    followed.order("b")
    followed.read()
    assert followed.evacuated == {"b"}
    followed.order("b", None)
    followed.follower._reader.offset = None
    followed.read()
    assert followed.evacuated == set()


def test_an_order_that_a_restored_store_lacks_ends_by_a_list_that_is_read_later(followed):
    followed.model.write("keyed.op", "config", configuration_record(9))
    older = followed.model.copy()
    followed.order("a")
    followed.read()
    followed.model.restore(older)
    followed.read()
    followed.advance(2_400)
    assert followed.evacuated == {"a"}
    followed.advance(200)
    assert followed.evacuated == set()


def test_the_entry_of_an_upstream_names_its_failure_domain(followed):
    for number, zone in enumerate([{"zone": "a"}, {"zone": 4}, {}]):
        followed.model.write("keyed.servers", f"e{number}", entry_record(**zone))
    followed.read(followed.upstreams)
    placed = followed.gateway.placement.upstreams.values()
    assert [each.registration.failure_domain for each in placed] == ["a", "", ""]


HOSTS = [f"host-{number}" for number in range(1, 7)]


@pytest.mark.parametrize("path", ["/order/1", "/answer/1"])
@pytest.mark.parametrize("seed", range(3))
def test_a_fleet_sends_nothing_to_an_evacuated_domain(make_harness, path, seed):
    """One host reads the order; one reaches the domain only through peers, and one is restarted."""
    service = "assistant" if path == "/answer/1" else "orders"
    upstreams = [ModelUpstream(f"u{number}", service, number) for number in range(1, 5)]
    network = FleetNetwork(make_harness, random.Random(seed), upstreams)

    def start(host):
        network.start(HostId(host))
        for each in upstreams:
            domain = "a" if each.port < 3 else "b"
            network.members[host].harness.add_upstream(
                each.name, service, each.port, slots=8, failure_domain=domain
            )

    def run(steps, per_step=2):
        callers = []
        for _ in range(steps):
            callers += [network.ask(path) for _ in range(per_step)]
            network.advance()
        return callers

    for host in HOSTS:
        start(host)
    for each in upstreams:
        network.lose_path(HOSTS[1], each, CutKind.RESET)
    run(60)
    assert all(each.arrivals for each in upstreams)
    evacuate(network.members[HOSTS[0]].harness.gateway, "a")
    run(20)
    ordered_ms = network.clock.now_ms()
    network.kill(HOSTS[5])
    network.advance()
    start(HOSTS[5])
    evacuate(network.members[HOSTS[5]].harness.gateway, "a")
    callers = run(80)
    run(40, per_step=0)
    late = [
        time_ms for each in upstreams[:2] for time_ms, _ in each.arrivals if time_ms > ordered_ms
    ]
    assert late == []
    statuses = {each.received()[:12] for each in callers}
    assert statuses == {b"HTTP/1.1 200"}
