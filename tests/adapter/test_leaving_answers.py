"""Guards against requests to an upstream that has said in an answer that it leaves (DRAIN)."""

import pytest

from adapter_harness import answer, chunk, request, stream_head
from skylarkmoor_core.messages import GatewayState, SlotGrant

EVENT_1, EVENT_2 = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
LEAVING = {"Server_Leaving": "1"}
# The port of each upstream, by which a test tells to which one a connection is opened.
PORTS = {"o1": 1, "o2": 2, "e1": 3, "e2": 4}


def add_upstream(harness, name, **overrides):
    service = "orders" if name.startswith("o") else "assistant"
    harness.add_upstream(name, service, PORTS[name], **overrides)


def leave(harness, name, path="/stock/1"):
    """Have the only upstream of a service say that it leaves, and return its kept connection."""
    add_upstream(harness, name)
    caller = harness.caller()
    caller.send(request(path, "POST", b"x"))
    data = answer(**LEAVING) if name.startswith("o") else stream_head(**LEAVING) + chunk(EVENT_1)
    upstream = harness.accept()
    upstream.send(data)
    if name.startswith("e"):
        upstream.send(chunk(b""))
    assert caller.received().startswith(b"HTTP/1.1 200 ")
    upstream.received()
    return upstream


def next_port(harness):
    """Return the port to which the next connection is opened."""
    return harness.reactor.tcpClients[harness.next_connection][1]


def ports_of_requests(harness, path, count=6):
    """Send requests, each on a connection of its own, and return the ports that they reach."""
    ports = set()
    for _ in range(count):
        caller = harness.caller()
        caller.send(request(path, "POST", b"x"))
        ports.add(next_port(harness))
        harness.accept().send(answer(EVENT_1, Connection="close"))
    return ports


@pytest.mark.parametrize(
    ("path", "name", "data"),
    [
        ("/stock/1", "o1", answer(**LEAVING)),
        ("/stock/1", "o1", answer(Skylarkmoor_Server_Leaving="1")),
        ("/order/1", "o1", answer(status="404 Not Found", **LEAVING)),
        ("/order/1", "o1", answer(status="500 Error", **LEAVING)),
        ("/order/1", "o1", answer(status="503 Full", Skylarkmoor_Not_Executed="1", **LEAVING)),
        ("/order/1", "o1", answer(status="429 Full", Skylarkmoor_Not_Executed="1", **LEAVING)),
        ("/brief/1", "e1", stream_head(**LEAVING) + chunk(EVENT_1)),
        ("/answer/1", "e1", stream_head(**LEAVING)),
        ("/answer/1", "e1", answer(b"no such draft", "404 Not Found", **LEAVING)),
    ],
)
def test_any_answer_that_says_so_ends_the_sending(harness, path, name, data):
    add_upstream(harness, name)
    harness.caller().send(request(path, "POST", b"x"))
    harness.accept().send(data)
    other = name[0] + "2"
    add_upstream(harness, other)
    # The other upstream is the worse choice.
    harness.gateway.placement.set_peer_load("peer", {other: (1, 100_000)})
    assert ports_of_requests(harness, path) == {PORTS[other]}


def test_a_kept_connection_is_not_used_again(harness):
    leave(harness, "o1")
    caller = harness.caller()
    caller.send(request())
    assert harness.pending_connections() == 0
    assert caller.received().startswith(b"HTTP/1.1 503 ")


def test_a_request_that_waits_for_a_connection_is_sent_elsewhere(harness):
    add_upstream(harness, "o1")
    callers = [harness.caller(), harness.caller()]
    for caller in callers:
        caller.send(request("/order/1", "POST", b"x"))
    harness.accept().send(answer(**LEAVING))
    add_upstream(harness, "o2")
    waiting = harness.accept()
    assert waiting.received() == b""
    assert next_port(harness) == PORTS["o2"]
    harness.accept().send(answer(b"done"))
    assert callers[1].received().endswith(b"done")


def test_a_granted_slot_is_declined(harness):
    """The dispatcher on another gateway has not heard of it yet."""
    kept = leave(harness, "e1", "/answer/1")
    harness.caller().send(request("/answer/1", "POST", b"x"))
    exchange = next(iter(harness.gateway._exchanges.values()))
    grant = SlotGrant(exchange.wait_number, "e1", 1)
    harness.gateway.fleet._on_message("peer", 1, grant)
    harness.advance(100)
    assert harness.pending_connections() == 0
    assert kept.received() == b""


def test_a_retry_goes_elsewhere(harness):
    leave(harness, "o1")
    add_upstream(harness, "o2")
    caller = harness.caller()
    caller.send(request())
    harness.accept().close(reset=True)
    assert harness.pending_connections() == 0
    assert caller.received().startswith(b"HTTP/1.1 502 ")


def test_a_stream_is_not_resumed_there(harness):
    add_upstream(harness, "e2")
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x", Skylarkmoor_Deadline_Ms="15000"))
    broken = harness.accept()
    broken.send(stream_head() + chunk(EVENT_1))
    other = harness.caller()
    add_upstream(harness, "e1")
    other.send(request("/brief/2", "POST", b"x", Skylarkmoor_Request_Id="r2"))
    assert next_port(harness) == PORTS["e1"]
    head = stream_head(Skylarkmoor_Request_Id="r2", **LEAVING)
    harness.accept().send(head + chunk(EVENT_1))
    broken.close(reset=True)
    assert harness.pending_connections() == 0


def test_a_stream_that_runs_goes_on(harness):
    add_upstream(harness, "e1")
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x", Skylarkmoor_Deadline_Ms="15000"))
    upstream = harness.accept()
    upstream.send(stream_head(**LEAVING) + chunk(EVENT_1))
    harness.advance(500)
    upstream.send(chunk(EVENT_2) + chunk(b""))
    received = caller.received()
    assert EVENT_1 in received
    assert received.endswith(EVENT_2 + b"\r\n0\r\n\r\n")


@pytest.mark.parametrize("is_dropped", [False, True])
def test_the_list_does_not_take_it_back(harness, is_dropped):
    leave(harness, "o1")
    if is_dropped:
        harness.gateway.remove_upstream("o1")
        harness.advance(10_000)
    add_upstream(harness, "o1")
    add_upstream(harness, "o2")
    assert ports_of_requests(harness, "/order/1") == {PORTS["o2"]}


def test_an_instance_that_started_anew_gets_requests(harness):
    leave(harness, "o1")
    add_upstream(harness, "o1", started_wall_ms=2)
    assert ports_of_requests(harness, "/order/1") == {PORTS["o1"]}


@pytest.mark.parametrize(
    "headers",
    [
        {"Server_Leaving": "1", "Skylarkmoor_Request_Id": "r0"},
        {"Server_Leaving": "0"},
        {"Server_Leaving": "true"},
        {"Server_Leaving": "1, 0"},
    ],
    ids=["another request", "0", "true", "twice"],
)
def test_what_does_not_say_so_changes_nothing(harness, headers):
    add_upstream(harness, "o1")
    harness.caller().send(request())
    harness.accept().send(answer(**headers))
    assert not harness.gateway.placement.own_leaving(harness.clock.now_ms())


def test_an_answer_of_another_instance_changes_nothing(harness):
    add_upstream(harness, "o1")
    harness.caller().send(request())
    harness.accept().send(answer(status="421 Other", **LEAVING))
    assert not harness.gateway.placement.own_leaving(harness.clock.now_ms())


def test_peers_are_told(harness):
    leave(harness, "o1")
    assert harness.gateway.fleet._state().leaving_upstreams == {"o1": 1}


def test_a_peer_may_tell_of_an_upstream_that_is_listed_later(harness):
    """The entry comes back, and only the peer has heard that the instance leaves."""
    state = GatewayState("10.0.0.2:7600", False, -1, {}, {}, {}, {}, leaving_upstreams={"o1": 1})
    harness.gateway.fleet._on_message("peer", 1, state)
    add_upstream(harness, "o1")
    add_upstream(harness, "o2")
    assert ports_of_requests(harness, "/order/1") == {PORTS["o2"]}


@pytest.mark.parametrize("path", ["/order/1", "/stock/1", "/answer/1"])
def test_without_another_upstream_requests_are_refused_and_not_sent(harness, path):
    name = "e1" if path == "/answer/1" else "o1"
    leave(harness, name, path)
    caller = harness.caller()
    caller.send(request(path, "POST", b"x"))
    harness.advance(1_000)
    response = caller.received()
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: " in response
    assert harness.pending_connections() == 0
