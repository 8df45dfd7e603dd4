"""Guards against requests that a planned stop cuts off without an answer (LOST)."""

import pytest

from adapter_harness import chunk, request, stream_head

GRACE_MS = 8_000
# The balancer may pass on requests for this long after the signal.
PATHS = {"/order/1": "POST", "/stock/1": "GET", "/brief/1": "POST", "/answer/1": "POST"}


def ask(caller, path, **headers):
    body = b"x" if PATHS[path] == "POST" else b""
    deadline = {"Skylarkmoor_Deadline_Ms": "15000"}
    caller.send(request(path, PATHS[path], body, **deadline | headers))


@pytest.fixture
def gateway(harness):
    harness.add_upstream("o1", "orders", 81)
    harness.add_upstream("o2", "orders", 82)
    harness.add_upstream("e1", "assistant", 91)
    harness.add_upstream("e2", "assistant", 92)
    return harness


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("late_ms", [0, 500, 1_500, 2_500])
@pytest.mark.parametrize("accepts", [True, False], ids=["silent", "not connected"])
def test_each_request_that_was_taken_is_answered_before_the_kill(gateway, path, late_ms, accepts):
    """Requests that came late in a planned stop got no answer, orders among them."""
    gateway.gateway.drain()
    gateway.advance(late_ms)
    caller = gateway.caller()
    ask(caller, path)
    upstreams = []
    for _ in range((GRACE_MS - late_ms) // 25):
        gateway.advance(25)
        while accepts and gateway.pending_connections():
            upstreams.append(gateway.accept())
    status = caller.received()[9:12]
    # What may have run is not refused as if it had not.
    assert status in ((b"502", b"504") if accepts else (b"502", b"503", b"504"))
    assert all(each.transport.aborted for each in upstreams)


def test_a_stream_in_progress_is_reset_before_the_kill(gateway):
    """It must not look complete."""
    caller = gateway.caller()
    ask(caller, "/answer/1")
    upstream = gateway.accept()
    upstream.send(stream_head() + chunk(b"id: 1\ndata: a\n\n"))
    gateway.gateway.drain()
    for number in range(GRACE_MS // 500):
        upstream.send(chunk(b"id: %d\ndata: a\n\n" % (number + 2)))
        gateway.advance(500)
    assert upstream.transport.aborted
    assert caller.transport.aborted


def test_a_request_that_waits_for_a_slot_is_refused_as_not_run_before_the_kill(gateway):
    for number in range(7):
        caller = gateway.caller()
        ask(caller, "/answer/1", Skylarkmoor_Request_Id=f"n{number}")
    waiting = caller
    gateway.gateway.drain()
    gateway.advance(GRACE_MS)
    assert waiting.received()[9:12] == b"503"


def test_the_process_ends_before_the_kill(gateway):
    exits = []
    gateway.gateway.exited.addCallback(exits.append)
    caller = gateway.caller()
    ask(caller, "/answer/1")
    gateway.accept()
    gateway.gateway.drain()
    gateway.advance(GRACE_MS - 25)
    assert exits == [False]
