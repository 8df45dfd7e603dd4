"""Guards against requests that wait for units of their customer's limit and are then mishandled."""

import pytest

from adapter_harness import request
from adapter_store import configuration_record
from skylarkmoor_adapter.records import decode_configuration

# How long a request waits for units, and a tick.
_WAIT_MS = 525


@pytest.fixture(params=["/order/1", "/brief/1"])
def path(request):
    """Return the path of an order, or of a stream, which waits for a slot at the same time."""
    return request.param


@pytest.fixture
def waiting(harness, path):
    """Return a gateway that holds no shares yet, and a caller whose request waits for units."""
    harness.add_upstream("o1", "orders", 81)
    harness.add_upstream("e1", "assistant", 83)
    harness.gateway.fleet.await_peer_list()
    caller = harness.caller()
    caller.send(request(path, "POST", b"x"))
    assert harness.pending_connections() == 0
    assert caller.received() == b""
    return harness, caller


def test_a_request_is_sent_once_when_its_units_were_found(waiting, path):
    harness, _ = waiting
    harness.gateway.fleet.peers_listed()
    harness.advance(25)
    assert path.encode() in harness.accept().received()
    harness.advance(1_000)
    assert harness.pending_connections() == 0


def test_a_stream_gets_its_slot_while_its_units_are_collected(harness):
    """Callers of large fleets waited for one answer after the other."""
    harness.gateway.fleet.await_peer_list()
    harness.caller().send(request("/brief/1", "POST", b"x"))
    assert harness.gateway.fleet.slot_coordinator.waiting() == 1
    # The slot is granted before the units are, and after them.
    harness.add_upstream("e1", "assistant", 83)
    harness.advance(25)
    assert harness.gateway.fleet.slot_coordinator.waiting() == 0
    assert harness.pending_connections() == 0
    harness.gateway.fleet.peers_listed()
    harness.advance(25)
    assert b"/brief/1" in harness.accept().received()


def test_a_stream_that_has_its_units_first_waits_for_its_slot(harness):
    harness.gateway.fleet.await_peer_list()
    harness.caller().send(request("/brief/1", "POST", b"x"))
    harness.gateway.fleet.peers_listed()
    harness.advance(25)
    assert harness.gateway.fleet.slot_coordinator.waiting() == 1
    harness.add_upstream("e1", "assistant", 83)
    harness.advance(525)
    assert b"/brief/1" in harness.accept().received()


@pytest.fixture
def early(harness):
    """Return a gateway and three streams that wait for units.

    The first two may be sent to the only engine: one runs and one waits there.
    """
    harness.gateway.fleet.await_peer_list()
    callers = [harness.caller() for _ in range(3)]
    for number, caller in enumerate(callers):
        caller.send(request(f"/brief/{number}", "POST", b"x"))
    harness.add_upstream("e1", "assistant", 83, slots=1)
    harness.advance(25)
    return harness, callers


def test_a_slot_that_is_held_until_the_units_are_found_is_not_granted_again(early):
    """The engine got all streams that waited for units at that time (LIMIT)."""
    harness, _ = early
    assert harness.gateway.fleet.slot_coordinator.waiting() == 1
    harness.gateway.fleet.peers_listed()
    harness.advance(50)
    assert harness.pending_connections() == 2
    assert harness.gateway.placement.upstreams["e1"].own_load.running == 2


def test_a_slot_that_is_held_goes_to_the_next_stream_if_the_caller_leaves(early):
    harness, callers = early
    callers[0].disconnect()
    assert harness.gateway.fleet.slot_coordinator.waiting() == 0
    harness.gateway.fleet.peers_listed()
    harness.advance(25)
    sent = harness.accept().received() + harness.accept().received()
    assert b"/brief/1" in sent
    assert b"/brief/2" in sent


def test_a_slot_that_is_held_is_free_again_if_the_units_are_not_found(early):
    harness, _ = early
    harness.advance(_WAIT_MS)
    assert harness.gateway.fleet.slot_coordinator.waiting() == 0
    assert harness.gateway.placement.upstreams["e1"].own_load.running == 0


def test_a_stream_that_gets_no_slot_returns_its_units(harness):
    harness.gateway.fleet.await_peer_list()
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x", Skylarkmoor_Deadline_Ms="300"))
    harness.advance(325)
    answer = caller.received()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert harness.gateway.fleet.limit_coordinator.collecting() == 0
    harness.gateway.fleet.peers_listed()
    harness.advance(_WAIT_MS)
    assert harness.gateway.quotas.admitted == {}


def test_a_request_is_handled_again_if_the_configuration_changed_while_it_waited(waiting, path):
    """Its route came from the version before, which may not be in force any more (CONFIG)."""
    harness, caller = waiting
    moved = {
        "name": "moved",
        "host": "a.example",
        "path_prefix": path,
        "kind": "unsafe",
        "timeout_ms": 800,
        "goal_ms": 100,
        "priority": 2,
        "service": "returns",
        "max_attempts": 1,
    }
    harness.add_upstream("r1", "returns", 82)
    record = configuration_record(4, moved)
    harness.gateway.set_table(decode_configuration(record), record)
    harness.gateway.fleet.peers_listed()
    harness.advance(25)
    connection = harness.take_connection()
    assert connection.address[1] == 82
    harness.advance(_WAIT_MS)
    assert harness.pending_connections() == 0


def test_a_request_without_an_answer_about_its_limit_is_refused_as_not_run(waiting):
    harness, caller = waiting
    harness.advance(_WAIT_MS)
    answer = caller.received()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 0.250\r\n" in answer
    assert harness.gateway.fleet.slot_coordinator.waiting() == 0
    harness.gateway.fleet.peers_listed()
    harness.advance(_WAIT_MS)
    assert harness.pending_connections() == 0


def test_a_request_whose_caller_has_left_spends_no_units(waiting):
    harness, caller = waiting
    caller.disconnect()
    harness.gateway.fleet.peers_listed()
    harness.advance(25)
    assert harness.pending_connections() == 0
    assert harness.gateway.fleet.limit_coordinator.collecting() == 0
    assert harness.gateway.quotas.admitted == {}


def test_a_request_that_waits_when_the_process_ends_is_answered(waiting):
    harness, caller = waiting
    harness.gateway._end_requests()
    answer = caller.received()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert answer.count(b"HTTP/1.1 ") == 1
    assert harness.gateway.fleet.limit_coordinator.collecting() == 0
