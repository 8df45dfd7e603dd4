"""Tests of what a gateway holds for its callers, with connections in memory."""

from adapter_harness import chunk, request
from skylarkmoor_gateway import callerconnections

NONE = request("/none/1")


def test_a_pipelined_request_waits_until_the_response_before_it_is_written(harness):
    """Responses that nobody reads piled up in the process."""
    caller = harness.caller()
    caller.transport.dataBuffer = b"unread"
    caller.send(NONE * 3)
    assert caller.received().count(b"HTTP/1.1 404") == 1
    caller.transport.producer.resumeProducing()
    assert caller.received() == b""
    caller.transport.dataBuffer = b""
    caller.transport.producer.resumeProducing()
    assert caller.received().count(b"HTTP/1.1 404") == 2


def test_pipelined_bytes_are_not_read_without_bound(harness):
    """Requests that were sent ahead piled up in the process."""
    caller = harness.caller()
    caller.transport.dataBuffer = b"unread"
    caller.send(NONE * 30)
    caller.send(NONE)
    assert caller.transport.producerState == "paused"
    caller.transport.dataBuffer = b""
    caller.transport.producer.resumeProducing()
    assert caller.received().count(b"HTTP/1.1 404") == 31
    assert caller.transport.producerState == "producing"


def test_nothing_is_counted_for_callers_that_have_left(harness):
    """An account that only grows would refuse everyone in the end."""
    callers = [harness.caller() for _ in range(3)]
    callers[0].send(NONE)
    callers[1].send(request("/stock/1", "POST", b"x" * 4_000)[:-10])
    callers[2].send(NONE[:20])
    assert harness.gateway.memory.total_bytes > 4_000
    for caller in callers:
        caller.disconnect()
    harness.advance(100)
    assert harness.gateway.memory.total_bytes == 0
    assert harness.gateway.memory.connections() == 0


def test_endless_chunk_extensions_are_refused(harness):
    """They are discarded, so that no bound on the body ended them."""
    caller = harness.caller()
    caller.send(request("/stock/1", "POST", Transfer_Encoding="chunked"))
    piece = b"1;" + b"e" * 1_500 + b"\r\nx\r\n"
    for _ in range(60):
        caller.send(piece)
    assert caller.received().startswith(b"HTTP/1.1 400")
    assert caller.transport.disconnecting


def test_a_body_in_small_chunks_is_accepted(harness):
    """A bound on the framing must not meet callers that send short chunks."""
    harness.add_upstream("o0", "orders", 1)
    caller = harness.caller()
    caller.send(request("/stock/1", "POST", Transfer_Encoding="chunked"))
    for _ in range(900):
        caller.send(chunk(b"x"))
    caller.send(chunk(b""))
    assert harness.accept().received().endswith(b"x" * 900)


def test_an_upload_slower_than_any_caller_is_closed(harness):
    """A byte now and then kept a connection open for days."""
    caller = harness.caller()
    caller.send(request("/stock/1", "POST", Content_Length="4000"))
    for _ in range(6):
        harness.advance(10_000)
        caller.send(b"x")
    assert caller.received().startswith(b"HTTP/1.1 408")


def test_idle_connections_are_closed_for_new_ones(harness, monkeypatch):
    """Idle connections kept all descriptors; new ones must not be closed before they can ask."""
    memory = harness.gateway.memory
    served, silent = harness.caller(), harness.caller()
    served.send(NONE)
    busy = harness.caller()
    busy.send(request("/stock/1", "POST", b"x" * 100)[:-10])
    limited = type(memory.bounds)(max_connections=3)
    monkeypatch.setattr(memory, "bounds", limited)
    assert memory.may_accept()
    assert served.transport.disconnecting
    assert not silent.transport.disconnecting
    harness.advance(1_100)
    assert memory.may_accept()
    assert silent.transport.disconnecting
    assert not busy.transport.disconnecting


def test_accepting_pauses_at_the_bound_and_goes_on_later(harness, monkeypatch):
    """A process without descriptors can neither log nor reach its store."""
    memory = harness.gateway.memory
    monkeypatch.setattr(memory, "bounds", type(memory.bounds)(max_connections=1))
    events = []
    memory.on_full = lambda: events.append("full")
    memory.on_room = lambda: events.append("room")
    callers = [harness.caller() for _ in range(5)]
    for caller in callers:
        caller.send(request("/stock/1", "POST", b"x" * 100)[:-10])
    assert not memory.may_accept()
    assert not memory.may_accept()
    assert events == ["full"]
    for caller in callers:
        caller.disconnect()
    assert events == ["full", "room"]


def test_a_body_in_tiny_chunks_yields_to_other_callers(harness):
    """A crowd with chunks of a few bytes held the event loop for seconds."""
    harness.add_upstream("o0", "orders", 1)
    caller = harness.caller()
    body = chunk(b"xxx") * 1_300 + chunk(b"")
    caller.send(request("/stock/1", "POST", Transfer_Encoding="chunked") + body)
    assert harness.pending_connections() == 0
    assert caller.transport.producerState == "paused"
    harness.advance(100)
    assert harness.accept().received().endswith(b"x" * 3_900)


def test_a_pipelined_request_after_many_header_fields_waits_for_a_turn(harness, monkeypatch):
    """A crowd whose heads have thousands of fields held the event loop for seconds."""
    monkeypatch.setattr(callerconnections, "_MAX_FIELDS_PER_TURN", 100)
    fields = {f"a{number}": "b" for number in range(150)}
    caller, other = harness.caller(), harness.caller()
    caller.send(request("/none/1", **fields) + NONE)
    assert caller.received().count(b"HTTP/1.1 404") == 1
    other.send(NONE)
    assert other.received().startswith(b"HTTP/1.1 404")
    harness.advance(100)
    assert caller.received().count(b"HTTP/1.1 404") == 1


def test_a_caller_that_left_takes_no_turn(harness, monkeypatch):
    """Callers that connect anew after each head of many fields filled the queue."""
    monkeypatch.setattr(callerconnections, "_MAX_FIELDS_PER_TURN", 100)
    fields = {f"a{number}": "b" for number in range(150)}
    for _ in range(5):
        caller = harness.caller()
        caller.send(request("/none/1", **fields) + NONE)
        assert harness.gateway.pacer._waiting
        caller.disconnect()
    assert not harness.gateway.pacer._waiting
    harness.advance(100)
