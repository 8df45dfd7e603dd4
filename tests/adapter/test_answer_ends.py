"""Guards against answers that end early and look complete to their callers.

The tables list the ways on which an answer can end: by the framing of its body, by how its
connection ends, and by what has arrived until then.
"""

import logging

import pytest

from adapter_harness import answer, chunk, request, stream_head

EVENT_1, EVENT_2 = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"


@pytest.fixture
def engines(harness):
    harness.add_upstream("e1", "assistant", 1)
    harness.add_upstream("e2", "assistant", 2)
    return harness


@pytest.mark.parametrize(
    ("framing", "data"),
    [
        ("length", answer(EVENT_1 + EVENT_2)),
        ("chunks", stream_head() + chunk(EVENT_1 + EVENT_2) + chunk(b"")),
        ("close", answer(b"", Content_Length="") + EVENT_1 + EVENT_2),
    ],
)
def test_the_log_tells_what_marked_the_end_of_an_answer(engines, caplog, framing, data):
    caplog.set_level(logging.INFO)
    caller = engines.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
    upstream = engines.accept()
    upstream.send(data)
    upstream.close()
    (line,) = [each for each in caplog.records if each.message == "request: answered"]
    assert (line.framing, line.events) == (framing, 2)


def test_events_whose_lines_end_with_carriage_returns_arrive_and_are_resumed(engines):
    """Such a stream was held back to its end on a route that resumes, and could not be resumed."""
    caller = engines.caller()
    caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
    first = engines.accept()
    event_1, event_2 = (each.replace(b"\n", b"\r\n") for each in (EVENT_1, EVENT_2))
    first.send(stream_head() + chunk(event_1 + event_2[:9]))
    assert event_1 in caller.received()
    first.close(reset=True)
    second = engines.accept()
    assert b"Last-Event-Id: 1\r\n" in second.received()
    second.send(stream_head() + chunk(event_2) + chunk(b""))
    assert caller.received().endswith(chunk(event_2) + chunk(b""))


def reset(upstream):
    upstream.close(reset=True)


def close(upstream):
    upstream.close()


def last_chunk(upstream):
    upstream.send(chunk(b""))


HEADS = {
    "length": answer(b"", Content_Length=str(len(EVENT_1 + EVENT_2))),
    "chunks": stream_head(),
    "close": answer(b"", Content_Length=""),
}
COMMENT = b": comment\n\n"
BODIES = {
    "no-body": b"",
    "comment": COMMENT,
    "inside-first-event": EVENT_1[:5],
    "one-event": EVENT_1,
    "inside-second-event": EVENT_1 + EVENT_2[:9],
}
# Ends that show by themselves that the answer is not complete, and those that do not.
BROKEN_ENDS = [
    ("length", close),
    ("length", reset),
    ("chunks", close),
    ("chunks", reset),
    ("close", reset),
]
ORDERLY_ENDS = [("chunks", last_chunk), ("close", close)]
BROKEN_OFF = [
    pytest.param(framing, body, end, id=f"{framing}-{name}-{end.__name__}")
    for ends, bodies in (
        (BROKEN_ENDS, BODIES),
        (ORDERLY_ENDS, {name: body for name, body in BODIES.items() if name != "one-event"}),
    )
    for framing, end in ends
    for name, body in bodies.items()
]
# A length that the caller has been told does not fit what another engine sends.
RESUMABLE = [
    each for each in BROKEN_OFF if each.values[0] != "length" or EVENT_1 not in each.values[1]
]


def looks_complete(caller):
    """Return whether what a caller has received ends as an answer of HTTP/1.1."""
    head, _, body = caller.received().partition(b"\r\n\r\n")
    if head.startswith(b"HTTP/1.1 5") or caller.transport.aborted:
        return False
    assert head.startswith(b"HTTP/1.1 200 ")
    return body.endswith(b"0\r\n\r\n") if b"chunked" in head else b"Content-Length" in head


def send_and_end(upstream, framing, body, end):
    upstream.send(HEADS[framing])
    if body:
        upstream.send(chunk(body) if framing == "chunks" else body)
    end(upstream)


@pytest.mark.parametrize(("framing", "body", "end"), BROKEN_OFF)
def test_a_stream_that_is_broken_off_does_not_look_complete(engines, framing, body, end):
    """A stream without an event, or that ended inside one, reached its caller as complete."""
    caller = engines.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
    send_and_end(engines.accept(), framing, body, end)
    engines.advance(25)
    assert not looks_complete(caller)
    assert engines.pending_connections() == 0


@pytest.mark.parametrize(("framing", "body", "end"), BROKEN_OFF)
def test_a_resumed_stream_that_is_broken_off_does_not_look_complete(engines, framing, body, end):
    caller = engines.caller()
    caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
    first = engines.accept()
    first.send(stream_head() + chunk(EVENT_1))
    first.close(reset=True)
    send_and_end(engines.accept(), framing, body, end)
    engines.advance(25)
    # The second engine may have had nothing to add, but only its last chunk says so.
    nothing_left = end is last_chunk and body in (b"", COMMENT)
    assert looks_complete(caller) is nothing_left


@pytest.mark.parametrize(("framing", "body", "end"), RESUMABLE)
def test_a_stream_that_is_broken_off_is_resumed(engines, framing, body, end):
    caller = engines.caller()
    caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
    send_and_end(engines.accept(), framing, body, end)
    engines.advance(25)
    second = engines.accept()
    assert (b"Last-Event-Id: 1\r\n" in second.received()) is (EVENT_1 in body)
    missing = EVENT_2 if EVENT_1 in body else EVENT_1 + EVENT_2
    second.send(stream_head() + chunk(missing) + chunk(b""))
    response = caller.received()
    assert (response.count(EVENT_1), response.count(EVENT_2)) == (1, 1)
    assert response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("body", [b"", COMMENT])
@pytest.mark.parametrize("last_id", ["", "7"])
def test_only_a_caller_that_resumes_gets_a_stream_without_an_event(engines, body, last_id):
    """An engine that began an answer and ended was taken for one with an empty answer."""
    caller = engines.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000", Last_Event_Id=last_id))
    send_and_end(engines.accept(), "chunks", body, last_chunk)
    engines.advance(25)
    assert looks_complete(caller) is bool(last_id)


@pytest.mark.parametrize("status", [500, 404])
def test_a_failure_without_a_body_is_passed_on(engines, status):
    caller = engines.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
    engines.accept().send(answer(b"", f"{status} Failed"))
    assert caller.received().startswith(b"HTTP/1.1 %d " % status)


def http_1_0(data):
    """Return a request as a caller sends it that speaks HTTP/1.0."""
    return data.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n")


def begin_stream_over_http_1_0(engines, framing):
    """Return a caller of HTTP/1.0 and the upstream that has sent it an event."""
    caller = engines.caller()
    caller.send(http_1_0(request("/answer/1", Skylarkmoor_Deadline_Ms="9000")))
    upstream = engines.accept()
    upstream.send(HEADS[framing])
    upstream.send(chunk(EVENT_1) if framing == "chunks" else EVENT_1)
    return caller, upstream


@pytest.mark.parametrize(("framing", "end"), [("chunks", last_chunk), ("close", close)])
def test_an_answer_without_chunks_resets_the_connection_until_it_is_complete(engines, framing, end):
    """A caller of HTTP/1.0 took a stream for complete when the gateway was killed."""
    caller, upstream = begin_stream_over_http_1_0(engines, framing)
    assert caller.received().endswith(b"\r\n\r\n" + EVENT_1)
    assert caller.transport.resets_on_close
    end(upstream)
    assert not caller.transport.resets_on_close
    assert caller.transport.disconnecting
    assert not caller.transport.aborted


@pytest.mark.parametrize(("framing", "end"), [("chunks", last_chunk), ("close", close)])
def test_an_answer_without_chunks_resets_the_connection_until_it_is_sent(engines, framing, end):
    """A kill cut the last bytes for a slow caller of HTTP/1.0, and the rest looked complete."""
    caller, upstream = begin_stream_over_http_1_0(engines, framing)
    caller.transport.has_unsent = True
    end(upstream)
    assert caller.transport.disconnecting
    assert caller.transport.resets_on_close
    caller.transport.send_rest()
    assert not caller.transport.resets_on_close


@pytest.mark.parametrize(("framing", "body", "end"), BROKEN_OFF)
def test_a_caller_without_chunks_sees_that_a_stream_is_broken_off(engines, framing, body, end):
    caller = engines.caller()
    caller.send(http_1_0(request("/answer/1", Skylarkmoor_Deadline_Ms="9000")))
    send_and_end(engines.accept(), framing, body, end)
    engines.advance(25)
    assert caller.transport.aborted or caller.received().startswith(b"HTTP/1.1 5")


@pytest.mark.parametrize("is_http_1_0", [False, True])
def test_an_answer_whose_end_is_marked_does_not_change_how_its_connection_is_closed(
    engines, is_http_1_0
):
    caller = engines.caller()
    data = request("/answer/1", Skylarkmoor_Deadline_Ms="9000")
    caller.send(http_1_0(data) if is_http_1_0 else data)
    upstream = engines.accept()
    upstream.send(HEADS["length"] + EVENT_1 if is_http_1_0 else HEADS["close"] + EVENT_1)
    assert EVENT_1 in caller.received()
    assert not caller.transport.resets_on_close


@pytest.mark.parametrize("body", [b"data: a\n\n", EVENT_1 + b"data: a\n\n"])
def test_a_stream_without_ids_is_not_continued_by_another_engine(engines, body):
    """The other engine began anew, so that its caller got the first events twice."""
    caller = engines.caller()
    caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
    send_and_end(engines.accept(), "chunks", body, reset)
    engines.advance(25)
    assert not looks_complete(caller)
    assert engines.pending_connections() == 0


RUNS_WITHOUT_THE_REST = {
    "status-500": answer(b"", "500 Error"),
    "status-404": answer(b"", "404 Not Found"),
    "status-206": answer(b"", "206 Partial Content"),
    "no-events": answer(EVENT_2, Content_Type="text/plain"),
    "other-request": answer(EVENT_2, Skylarkmoor_Request_Id="r2"),
    "no-signature": answer(EVENT_2, Skylarkmoor_Response_Seal=""),
    "short": answer(EVENT_2, Content_Length=str(len(EVENT_2) + 9)),
    "half-head": b"HTTP/1.1 200",
    "not-http": b"not http\r\n\r\n",
}


@pytest.mark.parametrize("resumed_from", ["close", "chunks"])
@pytest.mark.parametrize("second", RUNS_WITHOUT_THE_REST)
def test_a_resumed_run_without_the_rest_does_not_look_complete(engines, resumed_from, second):
    caller = engines.caller()
    caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
    send_and_end(engines.accept(), resumed_from, EVENT_1, reset)
    engines.advance(25)
    upstream = engines.accept()
    upstream.send(RUNS_WITHOUT_THE_REST[second])
    if not upstream.transport.aborted:
        upstream.close()
    engines.advance(25)
    assert not looks_complete(caller)


def test_a_resumed_run_with_a_length_and_another_version_completes_the_stream(engines):
    caller = engines.caller()
    caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
    send_and_end(engines.accept(), "close", EVENT_1, reset)
    engines.advance(25)
    body = b"skylarkmoor-weight-versions: 2\n" + EVENT_2
    engines.accept().send(answer(body, Skylarkmoor_Weight_Versions="2"))
    response = caller.received()
    assert response.count(b"HTTP/1.1") == 1
    assert response.endswith(chunk(EVENT_1) + chunk(body) + chunk(b""))


@pytest.mark.parametrize("path", ["/answer/1", "/brief/1"])
@pytest.mark.parametrize("framing", HEADS)
def test_a_stream_that_the_gateway_gives_up_does_not_look_complete(engines, path, framing):
    caller = engines.caller()
    caller.send(request(path, Skylarkmoor_Deadline_Ms="2000"))
    upstream = engines.accept()
    upstream.send(HEADS[framing])
    for number in range(9):
        data = b"id: %d\ndata: a\n\n" % number
        if not upstream.transport.aborted and framing != "length":
            upstream.send(chunk(data) if framing == "chunks" else data)
        engines.advance(250)
    assert upstream.transport.aborted
    assert not looks_complete(caller)


@pytest.mark.parametrize("framing", HEADS)
def test_a_stream_of_a_draining_gateway_is_complete_or_broken_off(engines, framing):
    for end, complete in ((reset, False), (close, framing == "close")):
        caller = engines.caller()
        caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
        upstream = engines.accept()
        upstream.send(HEADS[framing])
        upstream.send(chunk(EVENT_1) if framing == "chunks" else EVENT_1)
        if end is reset:
            engines.gateway.drain()
        end(upstream)
        assert looks_complete(caller) is complete


@pytest.mark.parametrize("framing", HEADS)
def test_a_stream_whose_caller_has_left_is_cancelled(engines, framing):
    caller = engines.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
    upstream = engines.accept()
    upstream.send(HEADS[framing])
    caller.disconnect()
    assert upstream.transport.aborted


@pytest.mark.parametrize("long", [False, True], ids=["short", "long"])
@pytest.mark.parametrize(
    ("framing", "end", "complete"),
    [
        ("length", close, False),
        ("length", reset, False),
        ("chunks", close, False),
        ("chunks", reset, False),
        ("chunks", last_chunk, True),
        ("close", reset, False),
        ("close", close, True),
    ],
)
def test_a_plain_answer_looks_complete_only_if_its_framing_says_so(
    harness, long, framing, end, complete
):
    """A long body is forwarded before its end; a short one is only sent when it is complete."""
    harness.add_upstream("o1", "orders", 1)
    body = b"x" * (300_000 if long else 10)
    heads = HEADS | {"length": answer(b"", Content_Length=str(len(body) + 1))}
    caller = harness.caller()
    caller.send(request("/order/1", "POST", b"x"))
    upstream = harness.accept()
    upstream.send(heads[framing])
    upstream.send(chunk(body) if framing == "chunks" else body)
    end(upstream)
    assert looks_complete(caller) is complete


SECOND_HEADS = {
    "length": answer(b"", Content_Length=str(len(EVENT_2))),
    "chunks": stream_head(),
    "close": answer(b"", Content_Length=""),
}


@pytest.mark.parametrize("framing", SECOND_HEADS)
@pytest.mark.parametrize("end", [close, reset], ids=["close", "reset"])
def test_a_resumed_stream_whose_second_head_is_cut_does_not_look_complete(
    make_harness, framing, end
):
    """A worker that stopped in the middle of a head made a short answer look whole."""
    head = SECOND_HEADS[framing]
    for length in range(len(head)):
        harness = make_harness()
        harness.add_upstream("e1", "assistant", 1)
        harness.add_upstream("e2", "assistant", 2)
        caller = harness.caller()
        caller.send(request("/brief/1", Skylarkmoor_Deadline_Ms="9000"))
        first = harness.accept()
        first.send(stream_head() + chunk(EVENT_1))
        first.close(reset=True)
        second = harness.accept()
        second.send(head[:length])
        end(second)
        received = caller.received()
        assert caller.transport.aborted, length
        assert EVENT_1 in received, length
        assert not received.endswith(chunk(b"")), length
        harness.gateway.fleet.close()


@pytest.mark.parametrize("informational", [b"100 Continue", b"102 Processing", b"103 Early Hints"])
@pytest.mark.parametrize("count", [1, 3])
def test_an_informational_head_is_no_answer(engines, informational, count):
    caller = engines.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
    upstream = engines.accept()
    upstream.send(b"HTTP/1.1 %s\r\nLink: x\r\n\r\n" % informational * count)
    assert caller.received() == b""
    upstream.send(stream_head() + chunk(EVENT_1) + chunk(b""))
    received = caller.received()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(chunk(EVENT_1) + chunk(b""))


@pytest.mark.parametrize("end", [close, reset], ids=["close", "reset"])
def test_an_informational_head_alone_is_no_answer(engines, end):
    caller = engines.caller()
    caller.send(request("/answer/1", Skylarkmoor_Deadline_Ms="9000"))
    upstream = engines.accept()
    upstream.send(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
    end(upstream)
    assert caller.received().startswith(b"HTTP/1.1 502 ")
