"""Guards configuration and upstreams against outages, lost history and foreign entries."""

import msgspec
import pytest

from adapter_harness import CONFIG
from skylarkmoor_adapter.store import KeyedRecord, RecordsDropped, StorePage
from skylarkmoor_core.errors import PlatformError


def entry(**changes):
    values = {
        "service": "assistant",
        "address": "10.1.0.9:80",
        "slots": 8,
        "state": "ready",
        "version": "v1",
        "born": 1,
    }
    return msgspec.json.encode(values | changes)


def page(*records, next_offset=None):
    made = tuple(KeyedRecord(*each) for each in records)
    end = next_offset if next_offset is not None else max((r.offset for r in made), default=0) + 1
    return StorePage(made, end)


class FakeStore:
    """Gives prepared answers; an exception is raised."""

    def __init__(self):
        self.newest_answers = []
        self.read_answers = []
        self.appended = []

    async def newest(self, topic):
        return self._give(self.newest_answers)

    async def read(self, topic, from_offset, wait_ms=0):
        return self._give(self.read_answers)

    async def append(self, topic, key, value):
        self.appended.append((topic, key, value))

    @staticmethod
    def _give(answers):
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def finish(work):
    """Run a coroutine that waits for nothing."""
    try:
        while True:
            work.send(None)
    except StopIteration as stop:
        return stop.value


@pytest.fixture
def followers(harness):
    from skylarkmoor_adapter.followers import ConfigurationFollower, UpstreamFollower

    store = FakeStore()
    gateway = harness.gateway
    harness.store = store
    harness.configuration = ConfigurationFollower(store, gateway, gateway.tasks, harness.clock)
    harness.upstreams = UpstreamFollower(store, gateway, gateway.tasks, harness.clock, 2_000)
    return harness


def version(number):
    config = msgspec.json.decode(CONFIG)
    config["version"] = number
    return msgspec.json.encode(config)


def test_an_older_state_of_the_store_does_not_take_a_version_back(followers):
    follower = followers.configuration
    follower._take(page(("config", version(9), 7)))
    follower._take(page(("config", version(8), 5)))
    assert followers.gateway.table.version == 9


def test_rubbish_and_other_keys_leave_the_configuration_in_force(followers):
    follower = followers.configuration
    follower._take(page(("config", version(9), 7)))
    follower._take(page(("config", b"rubbish", 8), ("rollout/x", b"{}", 9), ("config", None, 10)))
    assert followers.gateway.table.version == 9


def test_lost_history_is_read_anew(followers):
    topic = followers.configuration._topic
    followers.store.newest_answers = [
        page(("config", version(4), 2)),
        page(("config", version(6), 9)),
    ]
    followers.store.read_answers = [RecordsDropped("gone")]
    finish(topic.next(0))
    got, whole = finish(topic.next(0))
    assert whole
    assert got.records[0].offset == 9
    assert topic.offset == 10


def names(harness):
    return sorted(harness.gateway.placement.upstreams)


def test_upstreams_come_and_go(followers):
    follower = followers.upstreams
    follower._take(page(("e1", entry(), 1), ("e2", entry(address="10.1.0.8:80"), 2)), True)
    follower._take(page(("e1", None, 3)), False)
    assert names(followers) == ["e2"]


def test_foreign_entries_harm_nothing(followers):
    follower = followers.upstreams
    follower._take(page(("e1", entry(), 1), ("x", b"\x00", 2), ("y", entry(state=4), 3)), True)
    follower._take(page(("e1", b"half", 4)), False)
    assert names(followers) == ["e1"]


def test_a_leaving_upstream_gets_nothing(followers):
    follower = followers.upstreams
    follower._take(page(("e1", entry(), 1)), True)
    follower._take(page(("e1", entry(state="draining"), 2)), False)
    assert followers.gateway.placement.choose("assistant", 1, 0) is None


def test_a_restart_under_the_same_id_begins_anew(followers):
    follower = followers.upstreams
    follower._take(page(("e1", entry(), 1)), True)
    followers.gateway.placement.started("e1", 100)
    follower._take(page(("e1", entry(born=2), 2)), False)
    assert followers.gateway.placement.upstreams["e1"].running() == 0


def test_entries_that_lapsed_in_an_outage_may_come_back(followers):
    """The store drops entries of upstreams that live, because their heartbeats were lost."""
    follower = followers.upstreams
    follower._take(page(("e1", entry(), 1), ("e2", entry(), 2)), True)
    follower._dependency.failed(PlatformError("down"))
    followers.clock.advance(5_000)
    follower._dependency.answered()
    follower._take(page(("e1", None, 3), ("e2", None, 4)), False)
    assert names(followers) == ["e1", "e2"]
    follower._take(page(("e1", entry(), 5)), False)
    followers.clock.advance(2_600)
    follower._take(page(next_offset=6), False)
    assert names(followers) == ["e1"]


def test_a_whole_read_shows_what_is_gone(followers):
    follower = followers.upstreams
    follower._take(page(("e1", entry(), 1), ("e2", entry(), 2)), True)
    follower._take(page(("e2", entry(), 9)), True)
    assert names(followers) == ["e2"]


def test_changes_are_told_to_the_peers_and_heartbeats_are_not(followers):
    follower, fleet = followers.upstreams, followers.gateway.fleet
    follower._take(page(("e1", entry(), 1)), True)
    assert fleet.upstreams_changed == 1
    follower._take(page(("e1", entry(seq=9), 2)), False)
    assert fleet.upstreams_changed == 1
    follower._take(page(("e1", entry(state="draining"), 3)), False)
    assert fleet.upstreams_changed == 3


def test_the_directory_appends_before_it_reads(followers):
    from skylarkmoor_adapter.followers import PeerDirectory
    from skylarkmoor_core.settings import Address

    added = []
    followers.gateway.fleet.add = lambda host, address: added.append((host, str(address)))
    followers.store.newest_answers = [
        page(("host-2", b"10.0.0.2:7600", 1), ("host-3", b"?", 2), ("host-4", None, 3))
    ]
    address = Address("10.0.0.1", 7600)
    gateway = followers.gateway
    finish(PeerDirectory(followers.store, gateway, gateway.tasks, "host-1", address).run())
    assert followers.store.appended == [("keyed.gateways", "host-1", b"10.0.0.1:7600")]
    assert added == [("host-2", "10.0.0.2:7600")]
