"""Guards against reverted configurations, removal of live upstreams and use of departed ones."""

import logging

import pytest
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from adapter_store import configuration_record, entry_record, order_record, status_record
from skylarkmoor_adapter.store import KeyedRecord, RecordsDropped, StorePage
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.logposition import LogPosition


def page(*records, next_offset=None):
    keyed_records = tuple(KeyedRecord(*each) for each in records)
    end = (
        next_offset
        if next_offset is not None
        else max((r.offset for r in keyed_records), default=0) + 1
    )
    return StorePage(keyed_records, end)


class FakeStore:
    """Store with prepared answers; an answer that is an exception is raised."""

    def __init__(self):
        self.on_restored = []
        self.on_silence = []
        self.newest_answers = []
        self.read_answers = []
        self.appended = []

    async def newest(self, topic, *, new_connection=False):
        return self._next_answer(self.newest_answers)

    async def read(self, topic, from_offset, wait_ms=0, *, new_connection=False, timeout_ms=1_500):
        return self._next_answer(self.read_answers)

    async def append(self, topic, key, value):
        self.appended.append((topic, key, value))

    @staticmethod
    def _next_answer(answers):
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def run_to_completion(work):
    """Run a coroutine without an event loop; what it yields is ignored."""
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


def test_a_stale_read_does_not_revert_the_configuration(followers):
    follower = followers.configuration
    follower._apply_page(page(("config", configuration_record(9), 7)))
    follower._apply_page(page(("config", configuration_record(8), 5)))
    assert followers.gateway.table.version == 9


def test_malformed_and_unrelated_records_keep_the_current_configuration(followers):
    follower = followers.configuration
    follower._apply_page(page(("config", configuration_record(9), 7)))
    follower._apply_page(
        page(("config", b"rubbish", 8), ("rollout/x", b"{}", 9), ("config", None, 10))
    )
    assert followers.gateway.table.version == 9


def test_dropped_records_cause_a_read_of_the_newest_records(followers):
    reader = followers.configuration._reader
    followers.store.newest_answers = [
        page(("config", configuration_record(4), 2)),
        page(("config", configuration_record(6), 9)),
    ]
    followers.store.read_answers = [RecordsDropped("gone")]
    run_to_completion(reader.next(0))
    newest_page, covers_all_keys = run_to_completion(reader.next(0))
    assert covers_all_keys
    assert newest_page.records[0].offset == 9
    assert reader.offset == 10


def upstream_ids(harness):
    return sorted(harness.gateway.placement.upstreams)


def test_upstreams_are_added_and_removed(followers):
    follower = followers.upstreams
    follower._apply_page(
        page(("e1", entry_record(), 1), ("e2", entry_record(address="10.1.0.8:80"), 2)), True
    )
    follower._apply_page(page(("e1", None, 3)), False)
    assert upstream_ids(followers) == ["e2"]


def test_malformed_entries_are_ignored(followers):
    follower = followers.upstreams
    follower._apply_page(
        page(("e1", entry_record(), 1), ("x", b"\x00", 2), ("y", entry_record(state=4), 3)), True
    )
    follower._apply_page(page(("e1", b"half", 4)), False)
    assert upstream_ids(followers) == ["e1"]


def test_a_leaving_upstream_is_not_chosen(followers):
    follower = followers.upstreams
    follower._apply_page(page(("e1", entry_record(), 1)), True)
    follower._apply_page(page(("e1", entry_record(state="draining"), 2)), False)
    assert followers.gateway.placement.choose("assistant", 1, 0) is None


def test_an_older_entry_does_not_take_back_a_notice_from_a_peer(followers):
    """A gateway that is behind sent requests to an upstream that its peers knew to be leaving."""
    follower = followers.upstreams
    follower._apply_page(page(("e1", entry_record(), 1)), True)
    followers.gateway.placement.mark_leaving({"e1": 1}, 0)
    follower._apply_page(page(("e1", entry_record(seq=4), 2)), False)
    assert followers.gateway.placement.choose("assistant", 1, 0) is None
    follower._apply_page(page(("e1", entry_record(born=2), 4)), False)
    assert followers.gateway.placement.choose("assistant", 1, 0).upstream == "e1"


def test_an_older_list_does_not_bring_back_an_upstream_that_left(followers):
    """After a compaction, a list older than the last read would make it ready again."""
    reader = followers.upstreams._reader
    followers.store.newest_answers = [
        page(("e1", entry_record(), 1)),
        page(("e1", entry_record(), 1), next_offset=2),
        page(("e2", entry_record(), 9)),
    ]
    followers.store.read_answers = [page(("e1", None, 4)), RecordsDropped("gone")]
    for _ in range(2):
        run_to_completion(reader.next(0))
    with pytest.raises(PlatformError, match="older than offset 5"):
        run_to_completion(reader.next(0))
    newest_page, covers_all_keys = run_to_completion(reader.next(0))
    assert covers_all_keys
    assert newest_page.next_offset == 10


def test_a_restart_under_the_same_id_resets_the_load(followers):
    """Requests of the previous process would otherwise occupy slots of the new one."""
    follower = followers.upstreams
    follower._apply_page(page(("e1", entry_record(), 1)), True)
    followers.gateway.placement.record_start("e1", 100)
    follower._apply_page(page(("e1", entry_record(born=2), 2)), False)
    assert followers.gateway.placement.upstreams["e1"].running() == 0


def test_entries_that_expired_in_an_outage_have_a_grace_period(followers):
    """An outage loses heartbeats, so the store expires the entries of upstreams that are alive."""
    follower = followers.upstreams
    follower._apply_page(page(("e1", entry_record(), 1), ("e2", entry_record(), 2)), True)
    follower._store_monitor.failed(PlatformError("down"))
    followers.clock.advance(5_000)
    follower._store_monitor.answered()
    follower._apply_page(page(("e1", None, 3), ("e2", None, 4)), False)
    assert upstream_ids(followers) == ["e1", "e2"]
    follower._apply_page(page(("e1", entry_record(), 5)), False)
    followers.clock.advance(2_600)
    follower._apply_page(page(next_offset=6), False)
    assert upstream_ids(followers) == ["e1"]


@pytest.mark.parametrize(("away_again", "left"), [(False, []), (True, ["e1"])])
def test_a_missing_entry_is_removed_when_its_grace_period_ends(followers, away_again, left):
    """An upstream got requests until the next read, 2.3 s after it had gone (hunt, DRAIN)."""
    follower = followers.upstreams
    follower._apply_page(page(("e1", entry_record(), 1)), True)
    follower._store_monitor.failed(PlatformError("down"))
    followers.clock.advance(5_000)
    follower._store_monitor.answered()
    followers.clock.advance(1_300)
    follower._apply_page(page(("e1", None, 3)), False)
    if away_again:
        follower._store_monitor.failed(PlatformError("down"))
    waiting = Deferred.fromCoroutine(follower._wait_for_next_read(1_300))
    for _ in range(1_300 // 25):
        followers.clock.advance(25)
        followers.reactor.advance(0.025)
    assert waiting.called
    assert upstream_ids(followers) == left


def test_a_read_of_all_keys_removes_absent_upstreams(followers):
    follower = followers.upstreams
    follower._apply_page(page(("e1", entry_record(), 1), ("e2", entry_record(), 2)), True)
    follower._apply_page(page(("e2", entry_record(), 9)), True)
    assert upstream_ids(followers) == ["e2"]


def test_changes_but_not_heartbeats_are_announced_to_peers(followers):
    """Each announcement makes the peers read the store, and each read is billed."""
    follower, fleet = followers.upstreams, followers.gateway.fleet
    follower._apply_page(page(("e1", entry_record(), 1)), True)
    assert fleet.upstreams_changed == LogPosition(0, 1)
    follower._apply_page(page(("e1", entry_record(seq=9), 2)), False)
    assert fleet.upstreams_changed == LogPosition(0, 1)
    follower._apply_page(page(("e1", entry_record(state="draining"), 3)), False)
    assert fleet.upstreams_changed == LogPosition(0, 3)


def test_the_peer_directory_appends_before_it_reads(followers):
    from skylarkmoor_adapter.followers import PeerDirectory
    from skylarkmoor_core.settings import Address

    added = []
    followers.gateway.fleet.add_listed_peer = lambda *peer: added.append((peer[0], str(peer[1])))
    followers.store.newest_answers = [
        page(("host-2", b"10.0.0.2:7600", 1), ("host-3", b"?", 2), ("host-4", None, 3))
    ]
    address = Address("10.0.0.1", 7600)
    gateway = followers.gateway
    run_to_completion(
        PeerDirectory(followers.store, gateway, gateway.tasks, "host-1", address).run()
    )
    assert followers.store.appended == [("keyed.gateways", "host-1", b"10.0.0.1:7600")]
    assert added == [("host-2", "10.0.0.2:7600")]


def test_a_read_that_the_stop_cancels_is_no_outage(followers, caplog):
    """Each planned stop logged that the store was unreachable."""
    followers.store.read_answers = [PlatformError("cancelled")]
    followers.store.newest_answers = [page()]
    configuration = followers.configuration
    run_to_completion(configuration._reader.next(0))

    def stop_and_fail(topic, from_offset, wait_ms=0, **kwargs):
        followers.gateway.tasks.stop()
        raise PlatformError("cancelled")

    followers.store.read = stop_and_fail
    work = configuration.run()
    # The follower sleeps once after the failed read.
    work.send(None)
    work.close()
    assert "unreachable" not in caplog.text


def only_canary(harness):
    (canary,) = harness.gateway.canaries.canaries()
    return canary


@pytest.fixture
def reporter(followers):
    from skylarkmoor_adapter.followers import RolloutReporter

    gateway = followers.gateway
    return RolloutReporter(followers.store, gateway, gateway.tasks, followers.clock, "host-1")


def test_a_rollout_order_begins_a_canary(followers):
    """The new version got as many requests as the old one at once (EXPOSURE)."""
    follower = followers.configuration
    follower._apply_page(page(("rollout/assistant", order_record(), 5), ("rollout/x", b"half", 6)))
    canary = only_canary(followers)
    assert (canary.order.version, canary.order.duration_ms) == ("v2", 15_000)
    follower._apply_page(page(("rollout/assistant", order_record(target="v3"), 8)))
    follower._apply_page(page(("rollout/assistant", order_record(), 5)))
    assert only_canary(followers).order.version == "v3"


@pytest.mark.parametrize(
    "invalid",
    [order_record(duration_s=-1), order_record(service=None), order_record(target={}), b"[]"],
)
def test_an_invalid_rollout_order_is_ignored(followers, invalid):
    followers.configuration._apply_page(page(("rollout/assistant", invalid, 5)))
    assert not followers.gateway.canaries.canaries()


def test_the_status_of_a_rollout_is_written_once_a_state(followers, reporter):
    followers.configuration._apply_page(page(("rollout/assistant", order_record(), 5)))
    canary = only_canary(followers)
    for reason in (None, None, "bad", "bad"):
        canary.stop_reason = reason
        run_to_completion(reporter._report(canary))
    assert followers.store.appended == [
        ("keyed.status", "rollout/assistant", status_record("running")),
        ("keyed.status", "rollout/assistant", status_record("rolled_back")),
    ]


def run_reporter_once(followers, reporter):
    work = reporter.run()
    work.send(None)
    work.close()


@pytest.mark.parametrize(
    ("record", "stopped"),
    [
        (status_record(), True),
        (status_record("running"), False),
        (status_record(target="v1"), False),
        (b"half", False),
    ],
)
def test_a_daemon_that_starts_later_learns_of_a_stop(followers, reporter, record, stopped):
    followers.configuration._apply_page(page(("rollout/assistant", order_record(), 5)), True)
    followers.store.newest_answers = [page(("rollout/assistant", record, 3))]
    run_reporter_once(followers, reporter)
    assert (only_canary(followers).stop_reason is not None) is stopped
    assert followers.store.newest_answers == []


def test_the_status_of_an_earlier_order_does_not_stop_a_new_one(followers, reporter):
    followers.configuration._apply_page(page(("rollout/assistant", order_record(), 5)), False)
    followers.store.newest_answers = [page(("rollout/assistant", status_record(), 3))]
    run_reporter_once(followers, reporter)
    assert only_canary(followers).stop_reason is None


def test_an_invalid_entry_is_logged_once(followers, caplog):
    """Each read of the newest records brought the line again."""
    follower = followers.upstreams
    for _ in range(3):
        follower._apply_page(page(("x", b"\x00", 2)), True)
    follower._apply_page(page(("x", b"\x00", 3)), True)
    lines = [each for each in caplog.records if "invalid upstream entry" in each.getMessage()]
    assert len(lines) == 2


@pytest.mark.parametrize("name", [" e1", "e\n1", "\x00"])
def test_an_entry_whose_id_cannot_be_sent_is_ignored(followers, name):
    """A request to it was never sent, no other upstream was tried, and the caller got 502."""
    followers.upstreams._apply_page(page((name, entry_record(), 1)), True)
    assert upstream_ids(followers) == []


async def sleep(followers, delay_ms):
    """Wait on the clock of the harness."""
    await deferLater(followers.reactor, delay_ms / 1_000, lambda: None)


@pytest.mark.parametrize("error", [ValueError("unexpected"), CancelledError()], ids=repr)
def test_an_unexpected_error_does_not_end_the_reader_of_the_upstreams(
    followers, monkeypatch, error
):
    """A gateway went on with an old list, and nothing in its log said so (DRAIN)."""
    store = followers.store
    monkeypatch.setattr(
        followers.gateway.tasks, "sleep", lambda delay_ms: sleep(followers, delay_ms)
    )
    store.newest_answers = [
        page(("e1", entry_record(seq=1), 1)),
        page(("e1", entry_record(seq=2, state="draining"), 2)),
    ]
    store.read_answers = [error]
    followers.upstreams.start()
    assert not followers.gateway.placement.upstreams["e1"].leaving
    followers.advance(2_500)
    assert followers.gateway.placement.upstreams["e1"].leaving


def test_a_record_that_cannot_be_applied_does_not_hide_the_others(followers, monkeypatch):
    apply = followers.gateway.set_upstream

    def fail_for_e1(listed):
        if listed.upstream == "e1":
            raise ValueError("unexpected")
        apply(listed)

    monkeypatch.setattr(followers.gateway, "set_upstream", fail_for_e1)
    followers.upstreams._apply_page(
        page(("e1", entry_record(seq=1), 1), ("e2", entry_record(seq=1), 2)), True
    )
    assert list(followers.gateway.placement.upstreams) == ["e2"]


def test_the_age_of_the_list_counts_from_the_beginning_of_its_read(followers, monkeypatch):
    """A list that arrives late may lack what was written meanwhile."""
    store = followers.store
    reads = []

    async def slow_newest(topic, *, new_connection=False):
        reads.append(followers.clock.now_ms())
        followers.clock.advance(700)
        return page(("e1", entry_record(seq=1), 1))

    monkeypatch.setattr(store, "newest", slow_newest)
    monkeypatch.setattr(
        followers.gateway.tasks, "sleep", lambda delay_ms: sleep(followers, delay_ms)
    )
    followers.upstreams.start()
    assert followers.gateway.decision_context()["upstreams_age_ms"] == 700


def test_an_entry_that_was_written_late_is_ignored_and_logged(followers, caplog):
    """Without the line nobody sees why the entry of the store is not the one in use."""
    caplog.set_level(logging.INFO)
    follower = followers.upstreams
    follower._apply_page(page(("e1", entry_record(seq=2, state="draining"), 2)), True)
    follower._apply_page(page(("e1", entry_record(seq=1), 3)), False)
    assert followers.gateway.placement.upstreams["e1"].leaving
    (line,) = [each for each in caplog.records if "ignored an older entry" in each.message]
    assert (line.upstream, line.seq, line.offset) == ("e1", 1, 3)
