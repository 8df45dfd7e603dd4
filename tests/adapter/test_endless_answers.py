"""Guards against bytes without end that use up the memory or the time of a gateway (LOST)."""

import pytest

from adapter_harness import answer, chunk, request, stream_head

READ = 65_536
# Bytes that are processed without a look at the time.
SLICE = 4_096
STREAM = {"path": "/answer/1", "service": "assistant"}
RESUMABLE = {"path": "/brief/1", "service": "assistant"}
PLAIN = {"path": "/order/1", "service": "orders"}
HEAD_BEGIN = b"HTTP/1.1 200 OK\r\n"


@pytest.fixture
def busy(harness):
    """Return a gateway on which each slice of bytes takes 2 ms of processor time."""
    pacer = harness.gateway.paths._pacer
    used_s = iter(range(10**9))
    pacer.processor_s = lambda: next(used_s) * 0.002
    return harness


def ask(harness, path, service):
    harness.add_upstream("u1", service, 1)
    caller = harness.caller()
    caller.send(request(path, "POST", b"x", Skylarkmoor_Deadline_Ms="9000"))
    return caller, harness.accept()


def is_paused(upstream):
    return upstream.transport.producerState == "paused"


@pytest.mark.parametrize("route", [STREAM, PLAIN], ids=["stream", "plain"])
def test_an_answer_in_chunks_of_a_byte_is_read_in_turns(busy, route):
    """The gateway answered nothing else for seconds (review/3)."""
    _, upstream = ask(busy, **route)
    upstream.send(stream_head() + chunk(b"x") * 10_000)
    assert is_paused(upstream)
    busy.advance(300)
    assert not is_paused(upstream)
    upstream.send(chunk(b"x") * 10_000)
    assert is_paused(upstream)


def test_an_answer_that_is_read_in_turns_arrives_whole(busy):
    caller, upstream = ask(busy, **PLAIN)
    upstream.send(stream_head() + chunk(b"x") * 5_000 + chunk(b""))
    busy.advance(700)
    received = caller.received()
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"\r\n\r\n" + b"x" * 5_000)


def test_a_close_ends_an_answer_after_all_bytes_before_it(busy):
    caller, upstream = ask(busy, **PLAIN)
    body = b"x" * 50_000
    upstream.send(answer(b"", Content_Length="") + body)
    upstream.close()
    busy.advance(700)
    assert caller.received().endswith(b"\r\n\r\n" + body)


def test_the_routes_time_ends_an_answer_that_is_read_in_turns(busy):
    caller, upstream = ask(busy, **PLAIN)
    upstream.send(stream_head())
    for _ in range(10):
        if not upstream.transport.aborted and not is_paused(upstream):
            upstream.send(chunk(b"x") * 10_000)
        busy.advance(100)
    assert upstream.transport.aborted
    assert caller.received().startswith(b"HTTP/1.1 504 ")


ENDLESS = {
    "head-line": (HEAD_BEGIN + b"Name: ", b"x" * READ),
    "head-lines": (HEAD_BEGIN, b"Name: x\r\n" * (READ // 9)),
    "informational-heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * (READ // 25)),
    "chunk-size": (stream_head(), b"0" * READ),
    "chunk-extension": (stream_head() + b"1;", b"x" * READ),
    "trailers": (stream_head() + b"0\r\n", b"Name: x\r\n" * (READ // 9)),
}


@pytest.mark.parametrize("route", [STREAM, RESUMABLE, PLAIN], ids=["stream", "resumable", "plain"])
@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_around_a_body_end_the_attempt(harness, kind, route):
    _, upstream = ask(harness, **route)
    begin, more = ENDLESS[kind]
    upstream.send(begin)
    for _ in range(4):
        if not upstream.transport.aborted:
            upstream.send(more)
            harness.advance(50)
    assert upstream.transport.aborted


@pytest.mark.parametrize("data", [b": x\n", b"\n", b"x", b"data: x\n"], ids=repr)
def test_a_resumable_stream_that_completes_no_event_is_not_kept_in_memory(harness, data):
    _, upstream = ask(harness, **RESUMABLE)
    upstream.send(answer(b"", Content_Length=""))
    sent = 0
    while not upstream.transport.aborted and sent < 2_000_000:
        if is_paused(upstream):
            harness.advance(25)
        else:
            upstream.send(data * (READ // len(data)))
            sent += READ
    assert upstream.transport.aborted


def test_a_body_without_end_waits_for_its_caller(busy):
    """The turns of a slow connection must not resume what a full caller has paused."""
    caller, upstream = ask(busy, **STREAM)
    upstream.send(answer(b"", Content_Length="") + b"x" * READ)
    busy.advance(500)
    assert not is_paused(upstream)
    # As the caller's transport does when its buffer is full.
    caller.transport.producer.pauseProducing()
    upstream.send(b"x" * READ)
    busy.advance(500)
    assert is_paused(upstream)
    caller.transport.producer.resumeProducing()
    assert not is_paused(upstream)


def test_bytes_after_an_answer_are_not_given_to_the_next_request(harness):
    """They may come in a later slice of the same read, when the connection is in use again."""
    harness.add_upstream("e1", "assistant", 1, slots=1)
    callers = [harness.caller() for _ in range(3)]
    for number, caller in enumerate(callers, 1):
        name = {"Skylarkmoor_Request_Id": f"r{number}"}
        caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Deadline_Ms="9000", **name))
    first, _ = harness.accept(), harness.accept()
    event = b"id: 1\ndata: a\n\n"
    late = answer(b"id: 1\ndata: other\n\n", Skylarkmoor_Request_Id="r3")
    # The answer ends with the second slice, and what follows it is in the third.
    filling = 2 * SLICE - len(answer(event + b":" * 4_096 + b"\n\n")) + 4_096
    whole = answer(event + b":" * filling + b"\n\n")
    assert len(whole) == 2 * SLICE
    first.received()
    first.send(whole + late)
    assert first.transport.aborted
    assert b"r3" not in first.received()
    assert b"other" not in b"".join(caller.received() for caller in callers)


@pytest.mark.parametrize("size", [1, 2])
def test_a_request_in_chunks_of_a_byte_is_refused(harness, size):
    """A body of 4 MiB took 44 s of processor time in the parser alone."""
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", Transfer_Encoding="chunked"))
    for _ in range(4):
        caller.send(chunk(b"x" * size) * 500)
    assert caller.received().startswith(b"HTTP/1.1 400 ")
    assert harness.pending_connections() == 0


@pytest.mark.parametrize(("count", "size"), [(1_000, 1), (250, 16)])
def test_a_request_in_small_chunks_is_taken(harness, count, size):
    harness.add_upstream("o1", "orders", 1)
    caller = harness.caller()
    caller.send(request("/order/1", "POST", Transfer_Encoding="chunked"))
    caller.send(chunk(b"x" * size) * count + chunk(b""))
    assert harness.accept().received().endswith(b"\r\n\r\n" + b"x" * count * size)
