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
