"""Guards resumed streams against half events, gaps and repeated events."""

import pytest

from skylarkmoor_policy.eventstream import EventSplitter


@pytest.mark.parametrize("size", [1, 2, 5, 7, 100])
def test_events_come_out_whole_for_any_cut(size):
    stream = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(20))
    splitter = EventSplitter()
    out = b""
    for start in range(0, len(stream), size):
        part = splitter.feed(stream[start : start + size])
        assert part == b"" or part.endswith(b"\n\n")
        out += part
    assert out == stream
    assert splitter.last_id == b"19"


def test_half_an_event_of_a_failed_upstream_is_dropped():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\n\nid: 2\nda") == b"id: 1\n\n"
    splitter.discard()
    assert splitter.feed(b"id: 2\n\n") == b"id: 2\n\n"


def test_id_inside_data_is_not_an_id():
    splitter = EventSplitter()
    splitter.feed(b"id: 4\ndata: void: 9\n\n")
    assert splitter.last_id == b"4"


def test_an_event_may_begin_with_other_lines():
    splitter = EventSplitter()
    splitter.feed(b"skylarkmoor-weight-versions: 2\nid: 7\ndata: a\n\n")
    assert splitter.last_id == b"7"


def test_the_end_of_the_stream_flushes_the_rest():
    splitter = EventSplitter()
    splitter.feed(b"data: [DONE]")
    assert splitter.pending
    assert splitter.flush() == b"data: [DONE]"
