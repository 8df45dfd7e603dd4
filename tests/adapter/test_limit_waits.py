"""Guards against requests that wait for units of their customer's limit and are then mishandled."""

import pytest

from adapter_harness import request
from adapter_store import configuration_record
from skylarkmoor_adapter.records import decode_configuration

# How long a request waits for units, and a tick.
_WAIT_MS = 525


@pytest.fixture
def waiting(harness):
    """Return a gateway that holds no shares yet, and a caller whose request waits for units."""
    harness.add_upstream("o1", "orders", 81)
    harness.gateway.fleet.await_peer_list()
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    assert harness.pending_connections() == 0
    assert caller.received() == b""
    return harness, caller


def test_a_request_is_sent_when_its_units_were_found(waiting):
    harness, _ = waiting
    harness.gateway.fleet.peers_listed()
    harness.advance(25)
    assert b"/order/1" in harness.accept().received()


def test_a_request_is_handled_again_if_the_configuration_changed_while_it_waited(waiting):
    """Its route came from the version before, which may not be in force any more (CONFIG)."""
    harness, caller = waiting
    moved = {
        "name": "moved",
        "host": "a.example",
        "path_prefix": "/order/1",
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
    assert harness.pending_connections() == 0


def test_a_request_without_an_answer_about_its_limit_is_refused_as_not_run(waiting):
    harness, caller = waiting
    harness.advance(_WAIT_MS)
    answer = caller.received()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 0.250\r\n" in answer
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
    assert caller.received().startswith(b"HTTP/1.1 503 ")
    assert harness.gateway.fleet.limit_coordinator.collecting() == 0
