"""Guards against requests to an upstream that has asked for a pause with Retry-After (BUDGET)."""

import pytest

from adapter_harness import answer, chunk, request, stream_head
from skylarkmoor_core.messages import SlotGrant

EVENT_1 = b"id: 1\ndata: a\n\n"
PORTS = {"o1": 1, "o2": 2, "e1": 3, "e2": 4}


def add_upstream(harness, name, **overrides):
    service = "orders" if name.startswith("o") else "assistant"
    harness.add_upstream(name, service, PORTS[name], **overrides)


def send(harness, path="/order/1", number=1, **headers):
    caller = harness.caller()
    headers = {"Skylarkmoor_Request_Id": f"r{number}"} | headers
    caller.send(request(path, "POST", b"x%d" % number, **headers))
    return caller


def refusal(seconds, number=1, **headers):
    values = {"Retry_After": seconds, "Skylarkmoor_Not_Executed": "1", "Connection": "close"}
    values |= headers
    return answer(status="503 Full", Skylarkmoor_Request_Id=f"r{number}", **values)


def pause(harness, name, seconds="3", path="/order/1"):
    """Have the only upstream of a service ask for a pause."""
    add_upstream(harness, name)
    caller = send(harness, path, 0)
    harness.accept().send(refusal(seconds, 0))
    # The request may wait for the end of the pause.
    caller.disconnect()


def next_port(harness):
    return harness.reactor.tcpClients[harness.next_connection][1]


def retry_after_s(response):
    assert response.startswith(b"HTTP/1.1 503 ")
    return float(response.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])


@pytest.mark.parametrize("executed", [False, True])
def test_many_callers_do_not_reach_it_before_its_end(harness, executed):
    add_upstream(harness, "o1")
    send(harness, number=0)
    headers = {"Skylarkmoor_Not_Executed": ""} if executed else {}
    harness.accept().send(refusal("3", 0, **headers))
    for number in range(1, 13):
        send(harness, number=number)
        harness.advance(150)
    assert harness.pending_connections() == 0
    harness.advance(1_300)
    send(harness, number=13)
    harness.advance(25)
    assert harness.pending_connections() == 1


def test_the_latest_end_holds(harness):
    add_upstream(harness, "o1")
    for number in (1, 2):
        send(harness, number=number)
    first, second = harness.accept(), harness.accept()
    first.send(refusal("2", 1))
    second.send(refusal("0.5", 2))
    harness.advance(1_800)
    send(harness, number=3)
    assert harness.pending_connections() == 0


@pytest.mark.parametrize("value", ["soon", "-1", "1e9", "nan", "Sat, 05 Dec 2026 00:00:00 GMT"])
def test_a_value_that_is_no_decimal_number_counts_as_absent(harness, value):
    pause(harness, "o1", value)
    send(harness)
    assert harness.pending_connections() == 1


def test_the_other_upstream_is_used_meanwhile(harness):
    pause(harness, "o1")
    add_upstream(harness, "o2")
    for number in range(1, 7):
        caller = send(harness, number=number)
        assert next_port(harness) == PORTS["o2"]
        harness.accept().send(answer(Connection="close", Skylarkmoor_Request_Id=f"r{number}"))
        assert caller.received().startswith(b"HTTP/1.1 200 ")


def test_a_request_that_waits_for_a_connection_is_sent_elsewhere(harness):
    add_upstream(harness, "o1")
    callers = [send(harness, number=number) for number in (1, 2)]
    harness.accept().send(refusal("3", 1))
    add_upstream(harness, "o2")
    waiting = harness.accept()
    assert waiting.received() == b""
    assert next_port(harness) == PORTS["o2"]
    harness.accept().send(answer(b"done", Skylarkmoor_Request_Id="r2"))
    assert callers[1].received().endswith(b"done")


@pytest.mark.parametrize("path", ["/stock/1", "/brief/1"])
def test_a_retry_does_not_go_there(harness, path):
    first, second = ("o1", "o2") if path == "/stock/1" else ("e1", "e2")
    pause(harness, first, path=path)
    add_upstream(harness, second)
    send(harness, path)
    assert next_port(harness) == PORTS[second]
    harness.accept().close(reset=True)
    harness.advance(100)
    assert harness.pending_connections() == 0


def test_a_granted_slot_is_declined_and_another_one_requested(harness):
    """The dispatcher does not know that the upstream wants nothing from this host."""
    pause(harness, "e1", "0.9", "/answer/1")
    send(harness, "/answer/1", Skylarkmoor_Deadline_Ms="12000")
    exchange = next(iter(harness.gateway._exchanges.values()))
    grant = SlotGrant(exchange.wait_number, "e1", 1)
    harness.gateway.fleet._on_message("peer", 1, grant)
    harness.advance(25)
    assert harness.pending_connections() == 0
    add_upstream(harness, "e2")
    harness.advance(600)
    assert harness.pending_connections() == 1
    assert next_port(harness) == PORTS["e2"]


def test_a_stream_that_runs_goes_on(harness):
    add_upstream(harness, "e1")
    caller = send(harness, "/answer/1", 1, Skylarkmoor_Deadline_Ms="12000")
    running = harness.accept()
    running.send(stream_head() + chunk(EVENT_1))
    send(harness, "/answer/1", 2)
    harness.accept().send(refusal("3", 2))
    running.send(chunk(b""))
    assert caller.received().endswith(b"0\r\n\r\n")


def test_requests_wait_for_an_end_that_is_near(harness):
    pause(harness, "o1", "0.2")
    caller = send(harness)
    assert caller.received() == b""
    harness.advance(175)
    assert harness.pending_connections() == 0
    harness.advance(50)
    harness.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200 ")


def test_requests_that_wait_are_sent_in_the_order_of_their_tiers(harness):
    """Orders have tier 2, answers tier 1."""
    from dataclasses import replace

    table = harness.gateway.table
    urgent = [replace(route, tier=0) if route.name == "stock" else route for route in table.routes]
    harness.gateway.set_table(replace(table, routes=tuple(urgent)), b"")
    pause(harness, "o1", "0.2")
    send(harness, "/order/1", 1)
    send(harness, "/stock/1", 2)
    harness.advance(225)
    assert b"/stock/1" in harness.accept().received()


def test_if_all_want_nothing_callers_are_told_the_first_end(harness):
    pause(harness, "o1", "3")
    pause(harness, "o2", "1")
    harness.advance(100)
    caller = send(harness, Skylarkmoor_Deadline_Ms="9000")
    # The route has a timeout of 800 ms.
    assert retry_after_s(caller.received()) == 0.8
    caller = send(harness, "/order/2", 2)
    assert harness.pending_connections() == 0


def test_the_line_of_a_refused_request_names_paused_and_limited_upstreams(harness, caplog):
    pause(harness, "o1")
    add_upstream(harness, "o2")
    send(harness)
    refused = refusal("3", 1, Server_Limit="0")
    harness.accept().send(refused)
    *_, line = [each for each in caplog.records if each.getMessage() == "request: refused"]
    assert (line.paused, line.limited) == (["o1", "o2"], ["o2"])


def test_callers_of_higher_tiers_are_told_to_return_first(harness):
    pause(harness, "e1", "6", "/answer/1")
    times_s = [
        retry_after_s(send(harness, path, Skylarkmoor_Deadline_Ms="12000").received())
        for path in ("/brief/1", "/answer/1")
    ]
    assert times_s == [6.0, 6.05]


def test_the_pause_outlasts_the_entry_and_ends_with_the_instance(harness):
    pause(harness, "o1")
    harness.gateway.remove_upstream("o1")
    add_upstream(harness, "o1")
    send(harness)
    assert harness.pending_connections() == 0
    add_upstream(harness, "o1", started_wall_ms=2)
    send(harness, number=2)
    assert harness.pending_connections() == 1


def test_a_refusal_of_another_request_asks_for_nothing(harness):
    add_upstream(harness, "o1")
    send(harness)
    harness.accept().send(refusal("3", 9))
    send(harness, number=2)
    assert harness.pending_connections() == 1
