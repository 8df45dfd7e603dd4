"""Guards against what an older copy of the store takes back, keeps for good or hides."""

import msgspec
import pytest
from twisted.web.http_headers import Headers

from adapter_store import (
    StoreModel,
    StoreResponse,
    configuration_record,
    entry_record,
    order_record,
)
from skylarkmoor_adapter.store import OutdatedAnswer, Store
from skylarkmoor_clients.httpclient import Answer
from skylarkmoor_core.errors import PlatformError
from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_core.messages import ConfigurationQuery, GatewayState
from skylarkmoor_core.settings import Address


class ModelHttp:
    """Passes the calls of a client to a store model, unless it is away.

    Attributes
    ----------
    delayed : StoreResponse or None
        Returned in place of the next response, which is then the next to be returned.
    """

    def __init__(self, model):
        self.model = model
        self.is_away = False
        self.delayed = None

    async def request(
        self, method, path, *, params, body=None, timeout_ms, max_bytes, new_connection=False
    ):
        if self.is_away:
            raise PlatformError("the store is away")
        response = self.model.respond(method, path, params, body or b"")
        if self.delayed is not None:
            response, self.delayed = self.delayed, None
        return Answer(
            response.status, Headers({k: [v] for k, v in response.headers.items()}), response.body
        )


def run_to_completion(work):
    """Run a coroutine that does not wait for anything."""
    with pytest.raises(StopIteration) as stop:
        work.send(None)
    return stop.value.value


def run_step(work):
    """Run a coroutine up to its first wait, and end it."""
    work.send(None)
    work.close()


class RestoredStore:
    """A gateway that follows a store model."""

    def __init__(self, harness):
        from skylarkmoor_adapter.followers import (
            ConfigurationFollower,
            PeerDirectory,
            RolloutReporter,
            UpstreamFollower,
        )

        self.harness = harness
        self.gateway = harness.gateway
        # The table of the harness is replaced by that of the store.
        self.gateway._table = None
        self.model = StoreModel()
        self.store = Store(Address("127.0.0.1", 1))
        self.http = self.store._http = ModelHttp(self.model)
        tasks = self.gateway.tasks
        self.configuration = ConfigurationFollower(self.store, self.gateway, tasks, harness.clock)
        self.upstreams = UpstreamFollower(self.store, self.gateway, tasks, harness.clock, 2_000)
        self.reporter = RolloutReporter(self.store, self.gateway, tasks, harness.clock, "host-1")
        self.peers = PeerDirectory(
            self.store, self.gateway, tasks, "host-1", Address("10.0.0.1", 7600)
        )

    def publish(self, number):
        return self.model.write("keyed.op", "config", configuration_record(number))

    def order(self, target):
        """Order a rollout of the assistant."""
        self.model.write("keyed.op", "rollout/assistant", order_record(target=target))

    def canary(self):
        """Return the canary of the assistant, None if there is none."""
        canaries = {each.order.service: each for each in self.gateway.canaries.canaries()}
        return canaries.get("assistant")

    def beat(self, name, sequence, **changes):
        """Write the entry of an upstream."""
        self.model.write("keyed.servers", name, entry_record(seq=sequence, **changes))

    def leave(self, name):
        """Delete the entry of an upstream."""
        self.model.write("keyed.servers", name, None)

    def follow_configuration(self):
        """Make the read that the follower of the configuration would make next."""
        page, covers_all_keys = run_to_completion(self.configuration._reader.next(0))
        self.configuration._apply_page(page, covers_all_keys)

    def follow_upstreams(self):
        """Read the entries of the upstreams once."""
        run_step(self.upstreams.run())

    def usable(self):
        """Return the upstreams that may get requests."""
        placed = self.gateway.placement.upstreams
        return sorted(name for name, each in placed.items() if not each.leaving)

    @property
    def version(self):
        return self.gateway.table.version


@pytest.fixture
def restored(harness):
    yield RestoredStore(harness)
    # A socket that is open when its context is collected blocks the interpreter.
    harness.gateway.fleet.close()


@pytest.mark.parametrize(
    ("rewritten", "expected"),
    [
        ([], 14),
        ([10], 14),
        ([10, 14], 14),
        ([10, 14, 16], 16),
        ([10, 12, 14, 16, 18], 18),
        ([16], 16),
    ],
    ids=str,
)
@pytest.mark.parametrize("read_each", [False, True])
def test_a_newer_version_is_kept_and_what_is_written_later_is_in_force(
    restored, rewritten, expected, read_each
):
    """A version at an offset that had been read before was never applied (CONFIG)."""
    restored.publish(2)
    older = restored.model.copy()
    for number in (6, 10, 14):
        restored.publish(number)
    restored.follow_configuration()
    restored.model.restore(older)
    versions = []
    for number in rewritten:
        restored.publish(number)
        if read_each:
            restored.follow_configuration()
            versions.append(restored.version)
    restored.follow_configuration()
    assert restored.version == expected
    assert versions == sorted(versions)


@pytest.mark.parametrize("seen_by", ["read", "append", "newest"])
@pytest.mark.parametrize("lost", [0, 1, 3])
@pytest.mark.parametrize("written", [0, 1, 3])
def test_a_restore_is_noticed_wherever_the_log_ends(restored, seen_by, lost, written):
    """The old offset may be beyond the end, exactly at it, or passed by new records."""
    restored.publish(2)
    older = restored.model.copy()
    for _ in range(lost):
        restored.model.write("keyed.op", "other", b"x")
    restored.follow_configuration()
    restored.model.restore(older)
    restored.publish(9)
    for _ in range(written):
        restored.model.write("keyed.op", "other", b"x")
    match seen_by:
        case "append":
            run_to_completion(restored.store.append("keyed.gateways", "host-1", b"a"))
        case "newest":
            run_to_completion(restored.store.newest("keyed.servers"))
    restored.follow_configuration()
    assert restored.version == 9
    assert restored.gateway.fleet.configuration.era == 2


def test_two_restores_in_a_row(restored):
    restored.publish(2)
    copies = [restored.model.copy()]
    restored.publish(6)
    copies.append(restored.model.copy())
    restored.publish(10)
    restored.follow_configuration()
    for older, published in zip(reversed(copies), (12, 14), strict=True):
        restored.model.restore(older)
        restored.follow_configuration()
        restored.publish(published)
        restored.follow_configuration()
        assert restored.version == published


def test_an_answer_of_an_earlier_era_is_refused(restored):
    """A delayed answer would bring back offsets and records that are gone."""
    restored.publish(2)
    older = restored.model.copy()
    restored.publish(6)
    restored.follow_configuration()
    restored.publish(10)
    delayed = restored.model.respond("GET", "/log-read", {"topic": "keyed.op", "from": "2"})
    restored.model.restore(older)
    run_to_completion(restored.store.newest("keyed.servers"))
    restored.http.delayed = delayed
    with pytest.raises(OutdatedAnswer, match="era 1 came after one of era 2"):
        run_to_completion(restored.configuration._reader.next(0))
    restored.follow_configuration()
    assert restored.version == 6


def test_a_restore_between_two_pages_is_an_error(restored):
    items = [{"key": "a", "value": "MQ==", "offset": 0}]
    body = msgspec.json.encode({"items": items, "end_offset": 1, "more_pages": True})
    restored.model.era = 2
    restored.http.delayed = StoreResponse(200, body, {"Store-Era": "1"})
    with pytest.raises(OutdatedAnswer, match="between two of its pages"):
        run_to_completion(restored.store.newest("keyed.op"))


@pytest.mark.parametrize("header", ["", "two"])
def test_answers_without_an_era_are_taken_for_the_last_one(restored, header):
    restored.publish(2)
    restored.follow_configuration()
    restored.model.era_header = header
    restored.publish(6)
    restored.follow_configuration()
    assert restored.version == 6
    assert restored.gateway.fleet.configuration == LogPosition(1, 1)


def test_an_operator_may_go_back_to_a_lower_version(restored):
    """What was taken back on purpose is not brought forward by an older copy."""
    restored.publish(2)
    restored.publish(6)
    restored.follow_configuration()
    older = restored.model.copy()
    restored.publish(4)
    restored.follow_configuration()
    assert restored.version == 4
    restored.model.restore(older)
    restored.follow_configuration()
    assert restored.version == 4
    restored.publish(8)
    restored.follow_configuration()
    assert restored.version == 8


def test_a_restore_makes_the_waiting_follower_read_at_once(restored):
    """Its read may have been open since before the restore, and waits for 8 s."""
    restored.publish(2)
    restored.follow_configuration()
    restored.model.restore(restored.model.copy())
    restored.publish(6)
    restored.follow_upstreams()
    assert restored.version == 6


def test_the_log_says_what_was_kept(restored, caplog):
    restored.publish(2)
    older = restored.model.copy()
    restored.publish(6)
    restored.follow_configuration()
    restored.model.restore(older)
    restored.follow_configuration()
    lines = {each.message: each for each in caplog.records}
    topic = lines["platform: topic was restored; reading the newest record of each key"]
    assert (topic.era_before, topic.read_to, topic.era, topic.end) == (1, 2, 2, 1)
    kept = lines["platform: kept the configuration, as the one of the restored store is older"]
    assert (kept.version, kept.version_of_store) == (6, 2)


def advance(restored, elapsed_ms):
    restored.harness.clock.advance(elapsed_ms)
    restored.upstreams._remove_missing(restored.harness.clock.now_ms())


@pytest.fixture
def two_upstreams(restored):
    restored.beat("e1", 1)
    restored.beat("e2", 1)
    restored.follow_upstreams()
    restored.older = restored.model.copy()
    return restored


def test_an_upstream_that_left_stays_out(two_upstreams):
    """The older copy still lists it as ready, and requests were sent to it."""
    two_upstreams.beat("e1", 2, state="draining")
    two_upstreams.follow_upstreams()
    two_upstreams.leave("e1")
    two_upstreams.follow_upstreams()
    two_upstreams.model.restore(two_upstreams.older)
    two_upstreams.follow_upstreams()
    assert two_upstreams.usable() == ["e2"]
    # The upstream's own records are written again in their order.
    two_upstreams.beat("e1", 2, state="draining")
    two_upstreams.follow_upstreams()
    assert two_upstreams.usable() == ["e2"]


def test_an_upstream_that_left_stays_out_when_the_copy_is_read_again(two_upstreams):
    """The second read of its entry in the copy brought it back (DRAIN)."""
    two_upstreams.leave("e1")
    two_upstreams.follow_upstreams()
    two_upstreams.model.restore(two_upstreams.older)
    for _ in range(2):
        # As after a compaction, the newest record of each key is read.
        two_upstreams.upstreams._reader.offset = None
        two_upstreams.follow_upstreams()
        assert two_upstreams.usable() == ["e2"]


def test_an_upstream_that_a_peer_knows_to_have_left_stays_out_when_it_is_read_again(two_upstreams):
    two_upstreams.gateway.fleet.on_departed({"e1": (1, 1)})
    two_upstreams.upstreams._reader.offset = None
    two_upstreams.follow_upstreams()
    assert two_upstreams.usable() == ["e2"]


def test_only_upstreams_that_had_left_are_logged_as_kept_out(two_upstreams, caplog):
    """An entry that cannot be read names no upstream that had left."""
    two_upstreams.leave("e1")
    two_upstreams.follow_upstreams()
    two_upstreams.model.restore(two_upstreams.older)
    two_upstreams.model.write("keyed.servers", "e3", b"half")
    two_upstreams.follow_upstreams()
    (line,) = [each for each in caplog.records if "kept upstreams out" in each.message]
    assert line.upstreams == ["e1"]


def test_an_upstream_that_is_leaving_does_not_become_ready_again(two_upstreams):
    two_upstreams.beat("e1", 2, state="draining")
    two_upstreams.follow_upstreams()
    two_upstreams.model.restore(two_upstreams.older)
    for _ in range(2):
        two_upstreams.follow_upstreams()
        assert two_upstreams.usable() == ["e2"]
        two_upstreams.beat("e2", 2)


def test_a_notice_that_is_written_after_the_restore_is_read(two_upstreams):
    """It stands at an offset that another record had before."""
    two_upstreams.beat("e2", 2)
    two_upstreams.beat("e2", 3)
    two_upstreams.follow_upstreams()
    two_upstreams.model.restore(two_upstreams.older)
    two_upstreams.beat("e1", 2, state="draining")
    two_upstreams.follow_upstreams()
    assert two_upstreams.usable() == ["e2"]


@pytest.mark.parametrize("returns", [True, False])
@pytest.mark.parametrize("outage_is_seen", [True, False])
def test_an_upstream_that_the_copy_lacks_has_time_to_come_back(
    two_upstreams, returns, outage_is_seen
):
    """It started after the copy was made, and would be taken for gone at once."""
    two_upstreams.beat("e3", 1)
    two_upstreams.follow_upstreams()
    if outage_is_seen:
        two_upstreams.upstreams._store_monitor.failed(PlatformError("down"))
        two_upstreams.harness.clock.advance(2_000)
    two_upstreams.model.restore(two_upstreams.older)
    two_upstreams.follow_upstreams()
    assert two_upstreams.usable() == ["e1", "e2", "e3"]
    advance(two_upstreams, 1_900)
    if returns:
        two_upstreams.beat("e3", 1)
        two_upstreams.follow_upstreams()
    advance(two_upstreams, 700)
    assert two_upstreams.usable() == (["e1", "e2", "e3"] if returns else ["e1", "e2"])


def test_an_upstream_that_was_silent_comes_back_after_a_restore(two_upstreams):
    """It was only silent; its entry expired before the restore."""
    two_upstreams.leave("e1")
    two_upstreams.follow_upstreams()
    assert two_upstreams.usable() == ["e2"]
    two_upstreams.model.restore(two_upstreams.older)
    two_upstreams.follow_upstreams()
    two_upstreams.beat("e1", 2)
    two_upstreams.follow_upstreams()
    assert two_upstreams.usable() == ["e1", "e2"]


def test_a_gateway_that_starts_after_the_restore_learns_what_has_left(two_upstreams, caplog):
    """It has the older copy only, and its peers know better."""
    two_upstreams.leave("e1")
    two_upstreams.follow_upstreams()
    fleet = two_upstreams.gateway.fleet
    assert fleet.departed == {}
    two_upstreams.model.restore(two_upstreams.older)
    two_upstreams.follow_upstreams()
    assert fleet._state().departed == {"e1": (1, 1)}
    assert "kept upstreams out" in caplog.text
    # The same gateway stands for the one that has started.
    two_upstreams.beat("e1", 2)
    two_upstreams.follow_upstreams()
    fleet.on_departed({"e1": (1, 1)})
    assert two_upstreams.usable() == ["e1", "e2"]
    fleet.on_departed({"e1": (1, 2)})
    assert two_upstreams.usable() == ["e2"]
    advance(two_upstreams, 60_000)
    two_upstreams.follow_upstreams()
    assert fleet.departed == {}


def test_peers_are_told_of_an_upstream_that_has_left_without_a_notice(two_upstreams):
    """A gateway that did not read the list sent requests there for as long as it served (DRAIN)."""
    two_upstreams.leave("e1")
    two_upstreams.follow_upstreams()
    fleet = two_upstreams.gateway.fleet
    # An outage that this gateway has not noticed may have ended the entry.
    assert fleet.departed == {}
    advance(two_upstreams, 2_500)
    two_upstreams.follow_upstreams()
    assert fleet._state().departed == {"e1": (1, 1)}
    advance(two_upstreams, 8_000)
    two_upstreams.follow_upstreams()
    assert fleet.departed == {}


def test_offsets_of_the_copy_are_announced_with_their_era(two_upstreams):
    two_upstreams.beat("e2", 2)
    two_upstreams.follow_upstreams()
    two_upstreams.model.restore(two_upstreams.older)
    two_upstreams.beat("e1", 2, state="draining")
    two_upstreams.follow_upstreams()
    assert two_upstreams.gateway.fleet.upstreams_changed == LogPosition(2, 2)


@pytest.mark.parametrize("stop_reason", [None, "bad"], ids=["running", "stopped"])
@pytest.mark.parametrize("others", [0, 1, 2])
def test_an_order_that_the_restore_lost_goes_on_when_it_is_written_again(
    restored, stop_reason, others
):
    """The order was taken for a new one, and a stopped version got requests again (EXPOSURE)."""
    older = restored.model.copy()
    restored.model.write("keyed.op", "other", b"x")
    restored.order("v2")
    restored.follow_configuration()
    canary = restored.canary()
    canary.stop_reason = stop_reason
    restored.model.restore(older)
    restored.follow_configuration()
    assert restored.canary() is canary
    for _ in range(others):
        restored.model.write("keyed.op", "other", b"x")
    restored.order("v2")
    restored.follow_configuration()
    assert restored.canary() is canary
    assert canary.stop_reason == stop_reason


def test_an_older_order_of_the_copy_does_not_replace_the_last_one(restored):
    restored.order("v2")
    restored.follow_configuration()
    older = restored.model.copy()
    restored.order("v3")
    restored.follow_configuration()
    canary = restored.canary()
    restored.model.restore(older)
    restored.follow_configuration()
    assert restored.canary() is canary
    restored.order("v3")
    restored.follow_configuration()
    assert restored.canary() is canary
    # After the last order, the same one as before is a new one.
    restored.order("v2")
    restored.follow_configuration()
    assert restored.canary().order.version == "v2"


def test_an_order_after_the_restore_begins_at_an_offset_that_was_used(restored):
    older = restored.model.copy()
    restored.order("v2")
    restored.follow_configuration()
    restored.model.restore(older)
    restored.order("v3")
    restored.follow_configuration()
    assert restored.canary().order.version == "v3"


def addresses(restored):
    return restored.model.newest("keyed.gateways")


def test_the_own_address_is_written_again_after_each_restore(restored):
    """A gateway that started later did not find its peers."""
    older = restored.model.copy()
    run_to_completion(restored.peers.run())
    for _ in range(2):
        restored.model.restore(older)
        assert addresses(restored) == {}
        restored.follow_upstreams()
        assert addresses(restored) == {"host-1": b"10.0.0.1:7600"}


def test_an_address_that_the_restore_loses_at_once_is_written_again(restored):
    """The call that writes it shows the restore."""
    restored.publish(2)
    restored.follow_configuration()
    restored.model.restore(restored.model.copy())
    calls = len(restored.model.calls)
    run_to_completion(restored.peers.run())
    assert addresses(restored) == {"host-1": b"10.0.0.1:7600"}
    appends = [each for each in restored.model.calls[calls:] if each.startswith("POST")]
    assert len(appends) == 2


def report(restored):
    run_step(restored.reporter.run())


def statuses(restored):
    newest = restored.model.newest("keyed.status")
    return {key: msgspec.json.decode(value)["state"] for key, value in newest.items()}


@pytest.mark.parametrize("is_over", [False, True])
def test_the_status_of_a_rollout_is_written_again_after_a_restore(restored, is_over):
    """The operator's view went back to running for good."""
    restored.order("v2")
    restored.follow_configuration()
    report(restored)
    older = restored.model.copy()
    restored.canary().stop_reason = "bad"
    report(restored)
    if is_over:
        restored.gateway.canaries._canaries.clear()
    assert statuses(restored) == {"rollout/assistant": "rolled_back"}
    restored.model.restore(older)
    restored.follow_configuration()
    assert statuses(restored) == {"rollout/assistant": "running"}
    report(restored)
    assert statuses(restored) == {"rollout/assistant": "rolled_back"}
    calls = len(restored.model.calls)
    report(restored)
    assert len(restored.model.calls) == calls


def test_calls_after_a_restore_are_few(restored):
    """Each state of a peer that had not read the restore made all others read."""
    restored.publish(2)
    for each in (restored.follow_configuration, restored.follow_upstreams):
        each()
    run_to_completion(restored.peers.run())
    restored.model.restore(restored.model.copy())
    calls = len(restored.model.calls)
    restored.follow_upstreams()
    restored.follow_configuration()
    for offset in range(50, 60):
        restored.gateway.fleet._on_message("peer", 1, peer_state(offset))
    assert len(restored.model.calls) - calls <= 8


def peer_state(offset):
    """Return the state of a peer that has not read since before the restore."""
    eras = {"configuration_era": 1, "upstreams_era": 1}
    return GatewayState("10.0.0.2:7600", False, offset, {}, {}, {}, {}, upstreams=offset, **eras)


class Wire:
    """Carries messages between fleets in place of their sockets."""

    def __init__(self, host, fleet):
        self.host, self.fleet, self.sent = host, fleet, []
        # All messages but states.
        self.carried = []
        fleet._address = f"{host}:7600"
        fleet._transport.send = lambda to, message: self.sent.append(message)
        fleet._transport.set_peers = lambda addresses: None

    def deliver_to(self, other):
        messages, self.sent = self.sent, []
        self.carried += messages
        for message in (self.fleet._state(), *messages):
            other.fleet._on_message(self.host, 1, message)


@pytest.fixture
def two_gateways(make_harness):
    """Return a gateway that knows what the restore lost, and one that has started since."""
    knowing, started = (RestoredStore(make_harness()) for _ in range(2))
    started.store._http = ModelHttp(knowing.model)
    for number, each in enumerate((knowing, started)):
        each.wire = Wire(f"10.0.0.{number}", each.gateway.fleet)
    knowing.publish(2)
    older = knowing.model.copy()
    knowing.publish(6)
    knowing.publish(8)
    knowing.follow_configuration()
    knowing.model.restore(older)
    knowing.follow_configuration()
    yield knowing, started
    for each in (knowing, started):
        each.gateway.fleet.close()


def exchange(knowing, started, elapsed_ms):
    for _ in range(0, elapsed_ms, 100):
        started.harness.clock.advance(100)
        knowing.wire.deliver_to(started.wire)
        started.wire.deliver_to(knowing.wire)
    knowing.wire.deliver_to(started.wire)


@pytest.mark.parametrize("store_is_away", [False, True])
def test_a_gateway_that_starts_after_the_restore_gets_the_newer_version(
    two_gateways, store_is_away
):
    """The store had the older version only, so that keys that were revoked were accepted."""
    knowing, started = two_gateways
    started.http = started.store._http
    started.http.is_away = store_is_away
    if not store_is_away:
        started.follow_configuration()
        assert started.version == 2
    exchange(knowing, started, 700)
    assert started.version == 8
    started.http.is_away = False
    # What is written again on the way to it does not take it back.
    for number in (6, 8):
        knowing.publish(number)
        started.follow_configuration()
        assert started.version == 8
    knowing.publish(9)
    started.follow_configuration()
    assert started.version == 9
    assert ConfigurationQuery() in started.wire.carried


def test_a_gateway_with_the_newest_version_does_not_ask_for_others(two_gateways):
    knowing, started = two_gateways
    knowing.publish(9)
    knowing.follow_configuration()
    started.follow_configuration()
    exchange(knowing, started, 1_500)
    assert (knowing.version, started.version) == (9, 9)
    assert knowing.wire.carried == started.wire.carried == []


def test_a_version_that_a_peer_has_at_another_position_is_not_asked_for(two_gateways):
    """The peer cannot read that its version has been written again."""
    knowing, started = two_gateways
    knowing.publish(8)
    started.follow_configuration()
    knowing.http.is_away = True
    exchange(knowing, started, 1_500)
    assert (knowing.version, started.version) == (8, 8)
    assert knowing.wire.carried == started.wire.carried == []


def test_a_version_that_is_taken_back_after_the_restore_is_not_passed_on(two_gateways):
    """A gateway that had not read this yet told of its version as of before the restore."""
    knowing, started = two_gateways
    for number in (6, 8):
        knowing.publish(number)
    knowing.follow_configuration()
    knowing.publish(7)
    started.follow_configuration()
    assert (knowing.version, started.version) == (8, 7)
    knowing.wire.deliver_to(started.wire)
    started.harness.clock.advance(600)
    knowing.wire.deliver_to(started.wire)
    assert started.wire.sent == []


def test_an_invalid_copy_is_ignored(two_gateways):
    knowing, started = two_gateways
    knowing.gateway.fleet.versions.update(LogPosition(2, 9), 99)
    knowing.gateway.fleet.configuration_activated(b"half")
    started.follow_configuration()
    exchange(knowing, started, 1_500)
    assert started.version == 2
