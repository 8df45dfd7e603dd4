"""Guards against reads of peers that hide records, and against calls that grow with the fleet."""

import pytest
from twisted.internet.defer import Deferred

from adapter_store import configuration_record, entry_record
from skylarkmoor_adapter.store import KeyedRecord, StorePage
from skylarkmoor_core.messages import TopicRead, TopicRecord
from skylarkmoor_gateway.sharedreads import SharedRead

PEER = "h1"
GROUP = ["a", "b", "c", "d"]
PROCESS = 7


class CountingStore:
    """Store whose pages are prepared by topic; a read that waits is never answered."""

    def __init__(self):
        self.on_restored = []
        self.on_silence = []
        self.pages = {}
        self.calls = []

    async def newest(self, topic, *, new_connection=False):
        self.calls.append(("newest", topic))
        return self.pages[topic]

    async def read(self, topic, from_offset, wait_ms=0, *, new_connection=False, timeout_ms=1_500):
        self.calls.append(("read", topic))
        if wait_ms:
            await Deferred()
        return StorePage((), from_offset, 1, from_offset)


@pytest.fixture
def member(harness):
    """Return a gateway that is no reader of its group, and has read both topics to offset 5."""
    from skylarkmoor_adapter.followers import ConfigurationFollower, UpstreamFollower

    gateway = harness.gateway
    harness.store = CountingStore()
    harness.store.pages = {
        "keyed.servers": StorePage((KeyedRecord("e1", entry_record(), 4),), 5, 1, 5),
        "keyed.op": StorePage((KeyedRecord("config", configuration_record(9), 4),), 5, 1, 5),
    }
    shared = gateway.fleet.shared_reads
    harness.sent = []
    shared._multicast = lambda hosts, message: harness.sent.append((list(hosts), message))
    own = gateway._settings.host
    shared._group = lambda: []
    args = (harness.store, gateway, gateway.tasks, harness.clock)
    harness.configuration = ConfigurationFollower(*args)
    harness.upstreams = UpstreamFollower(*args, 3_000)
    harness.gateway.tasks._reactor = harness.reactor
    harness.configuration.start()
    harness.upstreams.start()
    shared._group = lambda: [*GROUP, own]
    shared.rank = lambda topic: len(GROUP)
    gateway.fleet._clocks.observe_answer(PEER, PROCESS, harness.clock.now_ms(), 0)
    harness.store.calls.clear()
    return harness


def read_of_peer(topic, *records, from_offset=5, next_offset=6, is_complete=True, era=1, at_ms=0):
    return TopicRead(
        topic, era, from_offset, next_offset, tuple(records), is_complete, at_ms, at_ms + 5
    )


def hear(harness, message):
    harness.gateway.fleet.shared_reads.handle(PEER, PROCESS, message)


def test_a_member_uses_the_records_of_a_peer_without_a_call(member):
    hear(member, read_of_peer("keyed.servers", TopicRecord("e2", entry_record(), 5)))
    assert set(member.gateway.placement.upstreams) == {"e1", "e2"}
    assert member.store.calls == []


def test_a_member_whose_group_reads_makes_no_call(member):
    start_ms = member.clock.now_ms()
    for _ in range(10):
        member.advance(1_900)
        elapsed_ms = member.clock.now_ms() - start_ms
        hear(member, read_of_peer("keyed.servers", next_offset=5, at_ms=elapsed_ms))
    assert ("read", "keyed.servers") not in member.store.calls


def test_a_member_reads_for_itself_when_its_group_is_silent(member):
    """The bound on requests to an upstream that leaves holds although all readers are gone."""
    member.advance(2_450)
    assert ("read", "keyed.servers") in member.store.calls


def test_records_before_those_of_a_peer_are_read(member):
    """A member that had missed a page would never read of the upstreams in it."""
    member.store.pages["keyed.servers"] = StorePage(
        (KeyedRecord("e1", entry_record(), 4), KeyedRecord("e3", entry_record(), 6)), 9, 1, 9
    )
    hear(member, read_of_peer("keyed.servers", from_offset=8, next_offset=9))
    member.advance(50)
    assert ("read", "keyed.servers") in member.store.calls


def test_a_page_that_is_too_large_to_be_passed_on_is_read(member):
    member.store.pages["keyed.op"] = StorePage(
        (KeyedRecord("config", configuration_record(10), 7),), 8, 1, 8
    )
    hear(member, read_of_peer("keyed.op", from_offset=8, next_offset=8, is_complete=False))
    member.advance(25)
    assert member.gateway.table.version == 10
    hear(member, read_of_peer("keyed.op", from_offset=8, next_offset=8))
    assert member.store.calls.count(("newest", "keyed.op")) == 1


def test_a_read_from_before_a_restore_changes_nothing(member):
    hear(member, read_of_peer("keyed.servers", TopicRecord("e1", None, 9), next_offset=9, era=0))
    assert set(member.gateway.placement.upstreams) == {"e1"}


def test_a_read_of_a_restored_store_makes_a_member_read(member):
    hear(member, read_of_peer("keyed.servers", from_offset=2, next_offset=3, era=2))
    member.advance(50)
    assert ("read", "keyed.servers") in member.store.calls


def test_entries_missing_after_an_outage_have_their_time_to_come_back(member):
    """A member that has not read during an outage took missing entries for upstreams that left."""
    message = read_of_peer("keyed.servers", TopicRecord("e1", None, 5))
    member.gateway.fleet.shared_reads.on_read["keyed.servers"](
        SharedRead(
            1, 5, 6, message.records, True, member.clock.now_ms(), regained_ms=member.clock.now_ms()
        )
    )
    assert set(member.gateway.placement.upstreams) == {"e1"}


def test_a_time_of_a_peer_whose_clock_is_not_known_confirms_nothing(member):
    """A message that was held up would make old reads look new."""
    member.gateway.fleet._clocks.forget(PEER)
    member.advance(2_000)
    hear(member, read_of_peer("keyed.servers", next_offset=5, at_ms=2_000))
    member.advance(450)
    assert ("read", "keyed.servers") in member.store.calls


def test_reads_are_passed_on_to_the_group(member):
    member.advance(2_450)
    published = [message for hosts, message in member.sent if hosts == GROUP]
    topics = {each.topic for each in published if isinstance(each, TopicRead)}
    assert "keyed.servers" in topics
