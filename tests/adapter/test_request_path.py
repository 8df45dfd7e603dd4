"""Guards against requests that run twice or hang, and against mixed-up or truncated answers."""

import itertools

import pytest

from adapter_harness import answer, chunk, request, stream_head
from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_core.messages import GatewayState, SlotGrant
from skylarkmoor_policy.canary import RolloutOrder
from skylarkmoor_policy.eventstream import MAX_EVENT_BYTES
from skylarkmoor_policy.placement import UpstreamChoice

EVENT_1, EVENT_2, EVENT_3 = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"


def add_two_order_upstreams(harness):
    harness.add_upstream("o1", "orders", 1)
    harness.add_upstream("o2", "orders", 2)


def add_two_engines(harness):
    harness.add_upstream("e1", "assistant", 1)
    harness.add_upstream("e2", "assistant", 2)


def test_a_request_is_forwarded_and_its_answer_returned_unchanged(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request("/order/7?x=1", "POST", b"body", X_Own="kept"))
    upstream = harness.accept()
    sent = upstream.received()
    assert sent.startswith(b"POST /order/7?x=1 HTTP/1.1\r\n")
    assert sent.endswith(b"\r\n\r\nbody")
    assert b"Skylarkmoor-Tenant: depots" in sent
    assert b"X-Own: kept" in sent
    assert b"secret" not in sent
    upstream.send(answer(b"done"))
    response = caller.received()
    assert response.startswith(b"HTTP/1.1 200")
    assert b"Skylarkmoor-Response-Seal: seal" in response
    assert response.endswith(b"\r\n\r\ndone")


def test_forged_headers_do_not_reach_the_upstream(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    forged = ["Tenant", "Expect-Instance", "Hold", "Pin-Ms", "Kv-Backup", "Expect-Version"]
    forged += ["Server-Leaving", "Server-Limit"]
    forged_headers = {f"Skylarkmoor-{name}": "forged" for name in forged}
    forged_headers |= dict.fromkeys(("Kv-From", "Server-Leaving", "Server-Limit"), "forged")
    caller.send(request(**forged_headers))
    assert b"forged" not in harness.accept().received()


def test_the_upstream_gets_the_remaining_deadline(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request(Skylarkmoor_Deadline_Ms="600"))
    harness.advance(100)
    sent = harness.accept().received()
    assert b"Skylarkmoor-Deadline-Ms: 500\r\n" in sent


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("/nowhere/"), 404),
        (request(Host="b.example"), 404),
        (request(Authorization="Token wrong"), 401),
        (request(Authorization=""), 401),
        (request(Skylarkmoor_Request_Id=""), 400),
        (request(Skylarkmoor_Deadline_Ms="soon"), 400),
        (b"GARBAGE\r\n\r\n", 400),
        (request(Transfer_Encoding="chunked", Content_Length="3"), 400),
        (request(Content_Length="9999"), 413),
        (request(X_Long="x" * 3000), 431),
        (request("http://a.example/stock/1"), 400),
    ],
)
def test_invalid_requests_get_an_error_status_and_are_not_forwarded(harness, data, status):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(data)
    assert caller.received().startswith(b"HTTP/1.1 %d " % status)
    assert harness.pending_connections() == 0


def test_a_body_in_chunks_above_the_bound_is_refused(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", Transfer_Encoding="chunked"))
    for _ in range(5):
        caller.send(chunk(b"x" * 1000))
    assert caller.received().startswith(b"HTTP/1.1 413 ")


def test_a_slow_header_times_out(harness):
    caller = harness.caller()
    caller.send(b"GET /stock/1 HTTP/1.1\r\n")
    harness.advance(2_900)
    assert caller.received() == b""
    harness.advance(200)
    assert caller.received().startswith(b"HTTP/1.1 408 ")


def test_a_body_shorter_than_its_content_length_is_not_forwarded(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", Content_Length="10") + b"abc")
    caller.disconnect()
    assert harness.pending_connections() == 0


def test_pipelined_requests_are_answered_in_order(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request("/stock/1") + request("/stock/2", Skylarkmoor_Request_Id="r2"))
    upstream = harness.accept()
    assert b"/stock/2" not in upstream.received()
    upstream.send(answer(b"one"))
    assert b"/stock/2" in upstream.received()


def test_an_unsafe_request_that_may_have_run_is_not_repeated(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    harness.accept().close(reset=True)
    assert caller.received().startswith(b"HTTP/1.1 502 ")
    assert harness.pending_connections() == 0


def test_an_unsafe_request_that_was_not_sent_goes_to_another_upstream(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    harness.refuse()
    harness.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200 ")


def test_an_unsafe_request_that_was_not_run_goes_to_another_upstream(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    harness.accept().send(answer(status="503 Full", Skylarkmoor_Not_Executed="1"))
    harness.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    "late",
    [
        answer(status="503 Full", Skylarkmoor_Request_Id="", Skylarkmoor_Not_Executed="1"),
        answer(status="429 Full", Skylarkmoor_Request_Id="", Skylarkmoor_Not_Executed="1"),
        answer(status="421 Other", Skylarkmoor_Request_Id=""),
        answer(status="500 Error", Skylarkmoor_Request_Id=""),
        answer(b"not yours", Skylarkmoor_Request_Id=""),
    ],
)
@pytest.mark.parametrize("path", ["/order/2", "/stock/2"])
def test_an_answer_without_an_id_on_a_kept_connection_may_be_an_earlier_one(harness, path, late):
    """A refusal that was written again was believed of an order that was running (REFUSED)."""
    add_two_order_upstreams(harness)
    harness.caller().send(request("/order/1", "POST", b"x"))
    upstream = harness.accept()
    upstream.send(answer())
    caller = harness.caller()
    caller.send(request(path, "POST", b"y", Skylarkmoor_Request_Id="r2"))
    assert path.encode() in upstream.received()
    upstream.send(late)
    assert upstream.transport.aborted
    if path == "/stock/2":
        # An idempotent request may run again.
        harness.accept().send(answer(b"done", Skylarkmoor_Request_Id="r2"))
        assert caller.received().endswith(b"done")
    else:
        assert harness.pending_connections() == 0
        assert caller.received().startswith(b"HTTP/1.1 502 ")


def test_a_refusal_without_an_id_on_a_new_connection_is_believed(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    refusal = answer(status="503 Full", Skylarkmoor_Request_Id="", Skylarkmoor_Not_Executed="1")
    harness.accept().send(refusal)
    harness.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200 ")


def test_a_503_carries_retry_after(harness):
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    response = caller.received()
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 0." in response


def test_an_unsafe_request_avoids_a_connection_that_was_idle_for_long(harness):
    """The upstream may close it at that moment, which leaves unknown whether the request ran."""
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    harness.accept().send(answer())
    harness.advance(1_500)
    caller.send(request("/order/2", "POST", b"x"))
    assert harness.pending_connections() == 1


def test_a_safe_request_is_retried_once_on_another_upstream(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request())
    harness.accept().close(reset=True)
    harness.accept().send(answer(b"bad", status="500 Error"))
    response = caller.received()
    # max_attempts is 2, so the second failure is returned.
    assert response.startswith(b"HTTP/1.1 500 ")
    assert response.endswith(b"bad")
    assert harness.pending_connections() == 0


def test_a_safe_request_moves_away_from_a_stalled_upstream(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request())
    first = harness.accept()
    harness.advance(600)
    assert first.transport.aborted
    harness.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200 ")


def test_an_answer_to_another_request_is_not_forwarded(harness):
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    upstream = harness.accept()
    upstream.send(answer(b"not yours", Skylarkmoor_Request_Id="r0"))
    assert caller.received().startswith(b"HTTP/1.1 502 ")
    assert upstream.transport.aborted


@pytest.mark.parametrize("garbage", [b"what?\r\n\r\n", b"HTTP/1.1 2xx\r\n\r\n", b"\x00\xff\x00"])
def test_an_answer_that_is_not_http_is_a_failure(harness, garbage):
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    upstream = harness.accept()
    upstream.send(garbage)
    upstream.close()
    assert caller.received().startswith(b"HTTP/1.1 502 ")


def test_a_success_without_a_signature_is_not_forwarded(harness):
    """Only the upstream can create the signature, so the answer may come from elsewhere."""
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    harness.accept().send(answer(Skylarkmoor_Response_Seal=""))
    assert caller.received().startswith(b"HTTP/1.1 502 ")


def test_a_second_answer_drops_the_connection(harness):
    """Otherwise the next request on the connection would get the second answer."""
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request())
    upstream = harness.accept()
    upstream.send(answer(b"one") + answer(b"two"))
    assert caller.received().endswith(b"one")
    assert upstream.transport.aborted


def test_unexpected_data_on_an_idle_connection_drops_it(harness):
    """Otherwise the next request on the connection would get the data as its answer."""
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request())
    upstream = harness.accept()
    upstream.send(answer(b"one"))
    upstream.send(answer(b"two"))
    caller.send(request("/stock/2", Skylarkmoor_Request_Id="r2"))
    assert harness.pending_connections() == 1


def test_an_answer_without_a_length_is_complete_only_after_an_orderly_close(harness):
    """Otherwise a truncated answer would look complete to its caller."""
    add_two_order_upstreams(harness)
    for reset, status in ((False, b"200"), (True, b"502")):
        caller = harness.caller()
        caller.send(request("/order/1", "POST", b"x"))
        upstream = harness.accept()
        upstream.send(answer(b"half", Content_Length=""))
        upstream.close(reset=reset)
        assert caller.received().startswith(b"HTTP/1.1 " + status)


def test_events_are_forwarded_as_they_arrive(harness):
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Token_Counts="100,20"))
    upstream = harness.accept()
    upstream.send(stream_head() + chunk(EVENT_1))
    assert EVENT_1 in caller.received()
    upstream.send(chunk(EVENT_2))
    assert EVENT_2 in caller.received()
    upstream.send(chunk(b""))
    assert caller.received() == b"0\r\n\r\n"


def test_a_broken_stream_resumes_after_its_last_complete_event(harness):
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x", Skylarkmoor_Token_Counts="100,20"))
    first = harness.accept()
    first.send(stream_head() + chunk(EVENT_1) + chunk(EVENT_2 + b"id: 3\nda"))
    first.close(reset=True)
    second = harness.accept()
    assert b"Last-Event-Id: 2\r\n" in second.received()
    second.send(stream_head(Skylarkmoor_Response_Seal="other") + chunk(EVENT_3) + chunk(b""))
    response = caller.received()
    assert response.count(b"HTTP/1.1") == 1
    assert b"other" not in response
    parts = (response.index(EVENT_1), response.index(EVENT_2), response.index(EVENT_3))
    assert parts == tuple(sorted(parts))
    assert b"da" + EVENT_3 not in response
    assert response.endswith(b"0\r\n\r\n")


def unframed_stream(**headers):
    """Return the head of a stream that ends with its connection."""
    return answer(b"", Content_Length="", **headers)


def test_a_stream_that_ends_with_its_connection_is_complete(harness):
    add_two_engines(harness)
    for path in ("/answer/1", "/brief/1"):
        caller = harness.caller()
        caller.send(request(path, Skylarkmoor_Deadline_Ms="9000"))
        upstream = harness.accept()
        upstream.send(unframed_stream() + EVENT_1 + EVENT_2 + b": end\n")
        assert EVENT_2 in caller.received()
        upstream.close()
        assert caller.received().endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("content_type", "aborted"),
    [("application/json", False), ("text/event-stream; charset=utf-8", True)],
)
def test_only_events_can_be_broken_off_inside_one(harness, content_type, aborted):
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
    harness.accept().send(answer(b'{"answer": 42}', Content_Type=content_type))
    assert caller.transport.aborted is aborted


def end_inside_event(upstream, framed):
    """Send an event and a part of the next one, and end the answer in order."""
    data = EVENT_1 + b"id: 2\nda"
    if framed:
        upstream.send(stream_head() + chunk(data) + chunk(b""))
    else:
        upstream.send(unframed_stream() + data)
        upstream.close()


@pytest.mark.parametrize("framed", [True, False])
def test_a_stream_that_ends_inside_an_event_is_resumed(harness, framed):
    """The half event was sent as the end of a complete answer."""
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
    end_inside_event(harness.accept(), framed)
    harness.advance(25)
    second = harness.accept()
    assert b"Last-Event-Id: 1\r\n" in second.received()
    second.send(unframed_stream() + EVENT_2)
    second.close()
    response = caller.received()
    assert response.count(b"id: 2") == 1
    assert response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("framed", [True, False])
def test_a_stream_that_cannot_resume_and_ends_inside_an_event_looks_broken(harness, framed):
    """The half event was sent as the end of a complete answer."""
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
    end_inside_event(harness.accept(), framed)
    assert caller.transport.aborted
    assert not caller.received().endswith(b"0\r\n\r\n")


def test_a_broken_stream_that_cannot_resume_does_not_look_complete(harness):
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Token_Counts="100,20"))
    upstream = harness.accept()
    upstream.send(stream_head() + chunk(EVENT_1))
    upstream.close(reset=True)
    assert caller.transport.aborted
    assert not caller.received().endswith(b"0\r\n\r\n")
    assert harness.pending_connections() == 0


@pytest.mark.parametrize("status", ["204 None", "206 Part", "302 Found", "400 Bad", "404 No"])
@pytest.mark.parametrize("seal", ["seal", ""])
@pytest.mark.parametrize("body", [EVENT_2, b"HTTP/1.1 500 Error\r\n\r\nno draft"])
def test_a_stream_that_is_resumed_with_another_status_is_broken_off(harness, status, seal, body):
    """The text of an error in the middle of a stream would look like a part of it."""
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x", Skylarkmoor_Deadline_Ms="15000"))
    first = harness.accept()
    first.send(stream_head() + chunk(EVENT_1))
    first.close(reset=True)
    if status.startswith("204"):
        body = b""
    second = harness.accept()
    second.send(answer(body, status, Skylarkmoor_Response_Seal=seal))
    received = caller.received()
    assert received.count(b"HTTP/1.1") == 1
    assert received.endswith(chunk(EVENT_1))
    assert caller.transport.aborted


@pytest.mark.parametrize("is_read_in_turns", [False, True])
def test_an_error_body_is_not_appended_to_a_resumed_stream(harness, is_read_in_turns):
    """Its bytes are read at once, or in turns if that takes long."""
    if is_read_in_turns:
        used_s = itertools.count()
        harness.gateway.paths._pacer.processor_s = lambda: next(used_s)
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x", Skylarkmoor_Deadline_Ms="15000"))
    first = harness.accept()
    first.send(stream_head() + chunk(EVENT_1))
    first.close(reset=True)
    harness.accept().send(answer(b"x" * 300_000, status="500 Error"))
    if is_read_in_turns:
        assert not caller.transport.aborted
        harness.advance(2_000)
    assert b"xxx" not in caller.received()
    assert caller.transport.aborted


def test_a_long_body_is_forwarded_before_it_is_complete(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request())
    upstream = harness.accept()
    whole = answer(b"x" * 300_000, status="404 Not Found")
    upstream.send(whole[:-10])
    assert caller.received().startswith(b"HTTP/1.1 404 ")
    upstream.send(whole[-10:])
    assert caller.received().endswith(b"xxx")
    assert not caller.transport.aborted


def test_an_upstream_request_is_aborted_when_its_caller_disconnects(harness):
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Token_Counts="100,20"))
    upstream = harness.accept()
    caller.disconnect()
    assert upstream.transport.aborted
    assert harness.gateway.placement.own_loads() == {}


def test_a_queued_request_is_withdrawn_when_its_caller_disconnects(harness):
    harness.add_upstream("e1", "assistant", 1, slots=1)
    callers = [harness.caller() for _ in range(3)]
    for number, caller in enumerate(callers):
        caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Request_Id=f"r{number}"))
    assert harness.pending_connections() == 2
    callers[2].disconnect()
    harness.accept().close(reset=True)
    harness.advance(100)
    assert harness.pending_connections() == 1


def test_waiting_requests_start_when_a_slot_is_free(harness):
    harness.add_upstream("e1", "assistant", 1, slots=1)
    callers = [harness.caller() for _ in range(3)]
    for caller in callers:
        caller.send(request("/answer/1", "POST", b"x"))
    assert harness.pending_connections() == 2
    harness.accept().send(stream_head() + chunk(EVENT_1) + chunk(b""))
    harness.advance(25)
    assert callers[0].received().endswith(b"0\r\n\r\n")
    # The third request reuses the connection of the first one.
    assert harness.gateway.placement.upstreams["e1"].own_load.running == 2


def test_a_request_that_gets_no_slot_is_refused_before_its_caller_gives_up(harness):
    harness.add_upstream("e1", "assistant", 1, slots=1)
    callers = [harness.caller() for _ in range(3)]
    for caller in callers:
        caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Deadline_Ms="12000"))
    harness.advance(1_300)
    assert callers[2].received().startswith(b"HTTP/1.1 503 ")


def test_a_request_without_an_answer_ends_at_the_routes_timeout(harness):
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    upstream = harness.accept()
    harness.advance(900)
    assert caller.received().startswith(b"HTTP/1.1 504 ")
    assert upstream.transport.aborted


@pytest.mark.parametrize("head_sent", [False, True])
def test_a_request_that_has_run_is_not_refused_as_not_run_at_its_timeout(harness, head_sent):
    """The timeout hit a request that waited for a slot to resume, and answered 503."""
    harness.add_upstream("e1", "assistant", 1)
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x"))
    upstream = harness.accept()
    if head_sent:
        upstream.send(stream_head() + chunk(EVENT_1))
    harness.add_upstream("e2", "assistant", 2, slots=1)
    harness.gateway.placement.set_peer_load("peer", {"e2": (2, 0)})
    upstream.close(reset=True)
    exchange = harness.gateway._exchanges[caller.connection]
    exchange._timed_out()
    response = caller.received()
    assert b"HTTP/1.1 503" not in response
    if head_sent:
        assert caller.transport.aborted
    else:
        assert response.startswith(b"HTTP/1.1 502 ")


def test_a_replaced_upstream_gets_no_further_requests(harness):
    """A restarted engine at the same address refused 264 requests for its predecessor."""
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request())
    harness.accept().send(answer(status="421 Misdirected"))
    harness.accept().send(answer())
    assert sum(each.replaced for each in harness.gateway.placement.upstreams.values()) == 1


def test_a_grant_of_an_unknown_upstream_requeues_its_request(harness):
    """The request was lost if the dispatcher read the entry of a new engine first."""
    harness.add_upstream("e1", "assistant", 1)
    caller = harness.caller()
    read_requests = []
    harness.gateway.on_newer_upstreams = lambda: read_requests.append(True)
    slot_coordinator = harness.gateway.fleet.slot_coordinator
    saved = harness.gateway.placement.upstreams.pop("e1")
    caller.send(request("/answer/1", "POST", b"x"))
    wait = slot_coordinator._waits[min(slot_coordinator._waits)]
    slot_coordinator._start(wait, "e1")
    assert read_requests
    harness.gateway.placement.upstreams["e1"] = saved
    harness.advance(50)
    assert harness.pending_connections() == 1


def test_a_slot_at_a_leaving_upstream_is_declined(harness):
    """A dispatcher without access to the store still grants slots of a draining engine.

    In the runs hunt-0fc2-11 and hunt-0fc2-31, slots were granted 2.4 s after the drain notice,
    which violated DRAIN.
    """
    harness.add_upstream("e1", "assistant", 1)
    harness.add_upstream("e2", "assistant", 2)
    caller = harness.caller()
    slot_coordinator = harness.gateway.fleet.slot_coordinator
    saved = dict(harness.gateway.placement.upstreams)
    harness.gateway.placement.upstreams.clear()
    caller.send(request("/answer/1", "POST", b"x"))
    wait = slot_coordinator._waits[min(slot_coordinator._waits)]
    slot_coordinator._dispatcher.remove_host("host-1")
    harness.gateway.placement.upstreams.update(saved)
    harness.add_upstream("e1", "assistant", 1, leaving=True)
    slot_coordinator._start(wait, "e1")
    harness.advance(25)
    assert harness.pending_connections() == 1
    assert b"Skylarkmoor-Expect-Instance: e2" in harness.accept().received()


@pytest.mark.parametrize(
    "changes",
    [{"leaving": True}, {"started_wall_ms": 2}, None],
    ids=["leaving", "started again", "removed"],
)
@pytest.mark.parametrize("path", ["/order/1", "/brief/1"])
def test_a_request_is_not_sent_to_an_upstream_that_left_while_connecting(harness, path, changes):
    """A request reached a leaving upstream when its connection opened, 2.3 s after the notice."""
    service = "orders" if path.startswith("/order") else "assistant"
    harness.add_upstream("u1", service, 1)
    caller = harness.caller()
    caller.send(request(path, Skylarkmoor_Deadline_Ms="5000"))
    harness.add_upstream("u2", service, 2)
    if changes is None:
        harness.gateway.remove_upstream("u1")
    else:
        harness.add_upstream("u1", service, 1, **changes)
    late = harness.accept()
    assert late.received() == b""
    harness.advance(25)
    assert b"Expect-Instance: u2" in harness.accept().received()


def test_an_upstream_that_is_unknown_twice_is_avoided(harness):
    """Its entry is gone from the store, and the dispatcher cannot read the store."""
    harness.add_upstream("e1", "assistant", 1)
    caller = harness.caller()
    slot_coordinator = harness.gateway.fleet.slot_coordinator
    saved = harness.gateway.placement.upstreams.pop("e1")
    caller.send(request("/answer/1", "POST", b"x"))
    for _ in range(2):
        (wait,) = slot_coordinator._waits.values()
        slot_coordinator._dispatcher.remove_host("host-1")
        slot_coordinator._start(wait, "e1")
        harness.reactor.advance(0.03)
    (wait,) = slot_coordinator._waits.values()
    assert wait.waiting.item.exclude == {"e1"}
    harness.gateway.placement.upstreams["e1"] = saved


@pytest.mark.parametrize("path", ["/answer/1", "/brief/1"])
def test_a_grant_of_another_service_sends_nothing_there(harness, path):
    """A stream ran at a service to which no configuration sends it (ROUTE)."""
    harness.add_upstream("o1", "orders", 81)
    caller = harness.caller()
    caller.send(request(path, "POST", b"x", Skylarkmoor_Deadline_Ms="9000"))
    (exchange,) = harness.gateway._exchanges.values()
    for grant in (1, 2):
        message = SlotGrant(exchange.wait_number, "o1", grant)
        harness.gateway.fleet._on_message("peer", 1, message)
        harness.advance(25)
    assert harness.pending_connections() == 0
    harness.add_upstream("e1", "assistant", 91)
    harness.advance(25)
    assert b"Expect-Instance: e1" in harness.accept().received()


def test_an_upstream_that_changes_its_service_while_connecting_gets_nothing(harness):
    harness.add_upstream("o1", "orders", 81)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    connection = harness.take_connection()
    harness.add_upstream("o1", "assistant", 81)
    assert connection.accept().received() == b""
    assert caller.received()[9:12] in (b"502", b"503")


@pytest.mark.parametrize(("elapsed_ms", "is_admitted"), [(0, False), (1_000, True)])
def test_units_that_peers_admit_count_before_the_first_request_here(
    harness, elapsed_ms, is_admitted
):
    """Those of an older build counted for nothing; they are refilled like units admitted here."""
    add_two_engines(harness)
    fleet = harness.gateway.fleet
    (customer,) = harness.gateway.table.customers
    capacity = int(harness.gateway.quotas.share_capacity(customer, 1.0))
    for units in (0, capacity):
        state = GatewayState("10.0.0.2:7600", False, -1, {}, {"depots": units}, {}, {})
        fleet._on_message("peer", 1, state)
    harness.clock.advance(elapsed_ms)
    caller = harness.caller()
    caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Token_Counts="100,40"))
    assert caller.received().startswith(b"HTTP/1.1 429 ") is not is_admitted


def test_units_beyond_the_limit_are_refused_with_retry_after(harness):
    add_two_engines(harness)
    for number, status in ((1, None), (2, b"429")):
        caller = harness.caller()
        caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Token_Counts="8000,400"))
        response = caller.received()
        if status is not None:
            assert response.startswith(b"HTTP/1.1 429 "), number
            assert b"Retry-After: " in response


def test_a_request_that_crashes_its_upstreams_is_refused(harness):
    """Otherwise each retry by the caller would crash further upstreams."""
    for number in range(6):
        harness.add_upstream(f"o{number}", "orders", number + 1)
    for _ in range(2):
        caller = harness.caller()
        caller.send(request())
        harness.accept().close(reset=True)
        harness.accept().close(reset=True)
    caller = harness.caller()
    caller.send(request())
    assert harness.pending_connections() == 0
    assert caller.received().startswith(b"HTTP/1.1 503 ")


def prompt(path="/brief/1", part="b", number=1, **headers):
    """Return a request whose prompt has the shared part `a` and one more."""
    headers = {"Skylarkmoor_Prompt_Prefix": f"a:60,{part}:90,{number}0{part}:500"} | headers
    return request(path, Skylarkmoor_Deadline_Ms="9000", **headers)


def crash_on(harness, upstream):
    """Break off an answer before its first event, and refuse the connection after it."""
    upstream.send(stream_head())
    upstream.close()
    harness.refuse()


def test_a_part_of_a_prompt_that_crashes_upstreams_is_refused_elsewhere(harness):
    """Requests that shared one part, and no two alike, crashed one upstream after the other."""
    for number in range(4):
        harness.add_upstream(f"e{number}", "assistant", number + 1)
    first, second, sound = harness.caller(), harness.caller(), harness.caller()
    first.send(prompt())
    crash_on(harness, harness.accept())
    assert first.received().startswith(b"HTTP/1.1 502 ")
    second.send(prompt("/answer/1", number=2))
    response = second.received()
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 2.700" in response
    assert harness.pending_connections() == 0
    sound.send(prompt(part="c"))
    assert harness.accept().received()


def test_a_prompt_whose_upstream_only_broke_off_is_retried(harness):
    """A reset is no crash; a faulty network would have sound prompts refused."""
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(prompt())
    upstream = harness.accept()
    upstream.send(stream_head())
    upstream.close(reset=True)
    kept = harness.accept()
    assert kept.received() == b""
    harness.advance(25)
    retried = harness.accept()
    assert b"/brief/1" in retried.received()
    retried.send(stream_head() + chunk(EVENT_1) + chunk(b""))
    assert caller.received().startswith(b"HTTP/1.1 200 ")


def test_a_prompt_beside_the_one_that_crashed_the_upstream_is_retried_at_once(harness):
    harness.add_upstream("e1", "assistant", 1)
    first, beside = harness.caller(), harness.caller()
    first.send(prompt())
    beside.send(prompt(part="c"))
    harmful, sound = harness.accept(), harness.accept()
    harness.add_upstream("e2", "assistant", 2)
    harmful.send(stream_head())
    sound.close()
    harness.refuse()
    harmful.close()
    retried = harness.accept()
    harness.refuse()
    assert b"c:90" in retried.received()
    assert first.received().startswith(b"HTTP/1.1 502 ")


def test_a_prompt_that_waits_for_a_slot_is_refused_when_its_part_is_blocked(harness):
    harness.add_upstream("e1", "assistant", 1, slots=1)
    harness.add_upstream("e2", "assistant", 2, slots=1)
    callers = [harness.caller() for _ in range(5)]
    for number, caller in enumerate(callers):
        caller.send(prompt(part="b" if number in (0, 4) else "c", number=number))
    harmful, *others = [harness.accept() for _ in range(4)]
    assert harness.pending_connections() == 0
    harmful.send(stream_head())
    harmful.close()
    # The request that waits gets the slot at once, before the crash is known.
    harness.refuse()
    harness.refuse()
    for upstream in others:
        upstream.send(stream_head() + chunk(EVENT_1) + chunk(b""))
    harness.advance(100)
    assert callers[4].received().startswith(b"HTTP/1.1 503 ")


def test_an_upstream_that_leaves_is_no_crash(harness):
    """An upstream that has drained closes what is left, and then refuses connections."""
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(prompt())
    upstream = harness.accept()
    upstream.send(stream_head())
    name = next(n for n, e in harness.gateway.placement.upstreams.items() if e.running())
    harness.add_upstream(name, "assistant", int(name[1:]), leaving=True)
    upstream.close()
    harness.advance(25)
    assert b"/brief/1" in harness.accept().received()


@pytest.mark.parametrize("parts", ["", "a", "a:1", ",,", "zz:1,x:2", "a:1," * 200])
def test_a_malformed_list_of_parts_is_forwarded(harness, parts):
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(prompt(Skylarkmoor_Prompt_Prefix=parts))
    assert b"/brief/1" in harness.accept().received()


def test_a_draining_daemon_finishes_what_runs_and_refuses_what_it_cannot_finish(harness):
    add_two_engines(harness)
    add_two_order_upstreams(harness)
    running, idle = harness.caller(), harness.caller()
    running.send(request("/answer/1", "POST", b"x", Skylarkmoor_Deadline_Ms="12000"))
    upstream = harness.accept()
    admitted = sum(harness.gateway.quotas.admitted.values())
    assert admitted > 0
    harness.gateway.drain()
    assert not harness.gateway.is_ready()
    harness.advance(3_000)
    assert idle.transport.disconnecting
    late = harness.caller()
    late.send(request("/brief/1", "POST", b"x"))
    assert late.received().startswith(b"HTTP/1.1 503 ")
    # Requests refused because of the shutdown are not charged to the limit of their customer.
    assert sum(harness.gateway.quotas.admitted.values()) == admitted
    quick = harness.caller()
    quick.send(request())
    assert harness.pending_connections() == 1
    upstream.send(stream_head() + chunk(EVENT_1) + chunk(b""))
    assert running.received().endswith(b"0\r\n\r\n")


def test_a_gateway_without_a_configuration_answers_503(harness):
    harness.gateway._table = None
    caller = harness.caller()
    caller.send(request())
    assert caller.received().startswith(b"HTTP/1.1 503 ")


def test_an_unknown_transfer_encoding_is_answered(harness):
    """The status 501 had no reason phrase, and the caller's connection ended without an answer."""
    caller = harness.caller()
    caller.send(request("/order/1", "POST", Transfer_Encoding="gzip"))
    assert caller.received().startswith(b"HTTP/1.1 501 ")
    assert caller.transport.disconnecting


@pytest.mark.parametrize("drip", [b"d", b": c\n\n", b"\n", b"\n\n"])
def test_a_stream_that_only_drips_moves_to_another_upstream(harness, drip):
    """Any byte counted as progress, so a stalled stream lasted until its route's timeout."""
    add_two_engines(harness)
    caller = harness.caller()
    head = {"Skylarkmoor_Token_Counts": "100,20", "Skylarkmoor_Deadline_Ms": "15000"}
    caller.send(request("/brief/1", "POST", b"x", **head))
    first = harness.accept()
    first.send(stream_head() + chunk(EVENT_1))
    for _ in range(20):
        harness.advance(200)
        if first.transport.aborted:
            break
        first.send(chunk(drip))
    assert first.transport.aborted
    second = harness.accept()
    assert b"Last-Event-Id: 1\r\n" in second.received()
    second.send(stream_head() + chunk(EVENT_2) + chunk(b""))
    assert caller.received().endswith(chunk(EVENT_2) + chunk(b""))


def test_a_slow_stream_with_events_in_time_is_kept(harness):
    add_two_engines(harness)
    caller = harness.caller()
    head = {"Skylarkmoor_Token_Counts": "100,20", "Skylarkmoor_Deadline_Ms": "15000"}
    caller.send(request("/brief/1", "POST", b"x", **head))
    upstream = harness.accept()
    upstream.send(stream_head() + chunk(EVENT_1))
    for part in (EVENT_2[:3], EVENT_2[3:], EVENT_3[:5], EVENT_3[5:]):
        harness.advance(900)
        upstream.send(chunk(part))
    upstream.send(chunk(b""))
    assert not upstream.transport.aborted
    assert caller.received().endswith(chunk(EVENT_3) + chunk(b""))


def test_an_event_without_end_is_a_failure(harness):
    """A part of it would reach the caller, and the events of the next upstream after it."""
    add_two_engines(harness)
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x", Skylarkmoor_Token_Counts="100,20"))
    first = harness.accept()
    first.send(stream_head() + chunk(EVENT_1))
    sent = 0
    while not first.transport.aborted and sent <= 2 * MAX_EVENT_BYTES:
        first.send(chunk(b"x" * 65_536))
        sent += 65_536
    assert sent <= MAX_EVENT_BYTES + 65_536
    second = harness.accept()
    second.send(stream_head() + chunk(EVENT_2) + chunk(b""))
    response = caller.received()
    assert response.endswith(chunk(EVENT_1) + chunk(EVENT_2) + chunk(b""))


@pytest.mark.parametrize("path", ["/order/1", "/stock/1"])
def test_a_refusal_whose_body_never_ends_is_retried(harness, path):
    """The request has not run, but its caller was told after the timeout that it may have."""
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request(path, "POST", b"x"))
    first = harness.accept()
    refusal = answer(
        status="503 Full",
        Content_Length="",
        Transfer_Encoding="chunked",
        Skylarkmoor_Not_Executed="1",
    )
    first.send(refusal.removesuffix(b"ok"))
    for _ in range(4):
        first.send(chunk(b"x" * 10_000))
        harness.advance(100)
    assert first.transport.aborted
    harness.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize(
    "endless",
    [
        b"HTTP/1.1 200 OK\r\nX: " + b"a" * 70_000,
        b"HTTP/1.1 200 OK\r\n" + b"X-Header: value\r\n" * 5_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"e" * 70_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + b"T: v\r\n" * 15_000,
    ],
    ids=["header line", "header lines", "chunk extension", "trailers"],
)
@pytest.mark.parametrize("size", [100, 65_536])
def test_a_head_or_trailer_without_end_is_a_failure(harness, endless, size):
    """Without a bound the gateway would keep all that an upstream sends."""
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request())
    first = harness.accept()
    for start in range(0, len(endless), size):
        if not first.transport.aborted:
            first.send(endless[start : start + size])
    assert first.transport.aborted
    harness.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200 ")


def test_informational_answers_without_end_do_not_hold_a_request(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request())
    first = harness.accept()
    for _ in range(30):
        harness.advance(25)
        if first.transport.aborted:
            break
        first.send(b"HTTP/1.1 102 Processing\r\n\r\n" * 50)
    assert first.transport.aborted
    harness.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200 ")


def test_a_body_without_end_ends_with_the_route_and_does_not_look_complete(harness):
    add_two_order_upstreams(harness)
    caller = harness.caller()
    caller.send(request())
    upstream = harness.accept()
    upstream.send(answer(b"", Content_Length="", Transfer_Encoding="chunked"))
    for _ in range(40):
        if not upstream.transport.aborted:
            upstream.send(chunk(b"x" * 65_536))
        harness.advance(25)
    assert upstream.transport.aborted
    assert caller.transport.aborted
    assert not caller.received().endswith(b"0\r\n\r\n")


def test_a_gateway_of_a_large_fleet_ticks_slowly_only_while_nothing_waits(harness):
    """Forty ticks a second cost an idle gateway as much as its requests."""
    harness.add_upstream("e1", "assistant", 1, slots=1)
    assert harness.gateway._tick() == 25
    harness.gateway.fleet.interval_ms = lambda: 2_000
    assert harness.gateway._tick() == 100
    # One request runs, one queues at the engine, and the third waits for a slot.
    for _ in range(3):
        harness.caller().send(request("/answer/1", "POST", b"x", Skylarkmoor_Token_Counts="9,9"))
    assert harness.gateway._tick() == 25


def order_rollout(harness, service):
    harness.gateway.begin_rollout(RolloutOrder(service, "v2", LogPosition(1, 7), 15_000))
    harness.add_upstream("old", service, 1, slots=9)
    harness.add_upstream("new", service, 2, slots=9, version="v2")


@pytest.mark.parametrize(("path", "service"), [("/stock/1", "orders"), ("/answer/1", "assistant")])
def test_a_new_version_gets_a_small_share_until_it_is_stopped(harness, path, service):
    """The new version got as many requests as the old one at once (EXPOSURE)."""
    order_rollout(harness, service)
    served = []
    for number in range(300):
        caller = harness.caller()
        caller.send(
            request(path, Skylarkmoor_Request_Id=f"r{number}", Skylarkmoor_Token_Counts="1,1")
        )
        upstream = harness.accept()
        served.append(b"Expect-Instance: new" in upstream.received())
        caller.disconnect()
        if number == 200:
            harness.gateway.canaries.mark_stopped(service, "v2")
    assert 1 <= sum(served[:200]) <= 20
    assert not any(served[201:])


def test_a_request_that_a_new_version_failed_is_repeated_on_the_old_one(harness):
    order_rollout(harness, "orders")
    for number in range(300):
        caller = harness.caller()
        caller.send(request(Skylarkmoor_Request_Id=f"r{number}"))
        upstream = harness.accept()
        if b"Expect-Instance: new" in upstream.received():
            upstream.close(reset=True)
            assert b"Expect-Instance: old" in harness.accept().received()
            return
        caller.disconnect()
    raise AssertionError("the new version got no request")


def test_a_slot_at_a_version_that_was_stopped_meanwhile_is_declined(harness):
    gateway = harness.gateway
    caller = harness.caller()
    caller.send(request("/answer/1"))
    (exchange,) = gateway._exchanges.values()
    gateway.stop_waiting(exchange.wait_number)
    order_rollout(harness, "assistant")
    gateway.canaries.mark_stopped("assistant", "v2")
    exchange.slot_granted(UpstreamChoice("new", 0.0, 0, 9), 0)
    harness.advance(25)
    assert b"Expect-Instance: old" in harness.accept().received()
