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
