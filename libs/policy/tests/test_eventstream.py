"""Tests that resumed streams contain no partial, missing or repeated events."""

import pytest

from skylarkmoor_policy.eventstream import EventBoundary, EventSplitter


@pytest.mark.parametrize("size", [1, 2, 5, 7, 100])
def test_only_complete_events_are_returned_for_any_chunk_size(size):
    stream = b"".join(b"id: %d\ndata: x%d\n\n" % (event_id, event_id) for event_id in range(20))
    splitter = EventSplitter()
    forwarded = b""
    for start in range(0, len(stream), size):
        part = splitter.feed(stream[start : start + size])
        assert part == b"" or part.endswith(b"\n\n")
        forwarded += part
    assert forwarded == stream
    assert splitter.last_id == b"19"


def test_incomplete_event_of_a_failed_upstream_is_discarded():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\n\nid: 2\nda") == b"id: 1\n\n"
    splitter.discard()
    assert splitter.feed(b"id: 2\n\n") == b"id: 2\n\n"


def test_id_inside_a_data_field_is_ignored():
    splitter = EventSplitter()
    splitter.feed(b"id: 4\ndata: void: 9\n\n")
    assert splitter.last_id == b"4"


def test_id_after_other_fields_is_recognized():
    splitter = EventSplitter()
    splitter.feed(b"skylarkmoor-weight-versions: 2\nid: 7\ndata: a\n\n")
    assert splitter.last_id == b"7"


def test_flush_returns_the_rest_at_the_end_of_the_stream():
    splitter = EventSplitter()
    splitter.feed(b"data: [DONE]")
    assert splitter.pending
    assert splitter.flush() == b"data: [DONE]"


@pytest.mark.parametrize(
    ("stream", "inside"),
    [
        (b"", False),
        (b"id: 1\ndata: a\n\n", False),
        (b"id: 1\r\ndata: a\r\n\r\n", False),
        (b"id: 1\ndata: a\n\n: comment", False),
        (b"id: 1\ndata: a\n\n\n\n", False),
        (b"id: 1\ndata: a\n", True),
        (b"id: 1\ndata: a", True),
        (b"id: 1\ndata: a\n\ni", True),
        (b"id: 1\n: comment\n", True),
    ],
)
def test_the_end_inside_an_event_is_seen_however_the_bytes_arrive(stream, inside):
    whole, single = EventBoundary(), EventBoundary()
    whole.feed(stream)
    for byte in stream:
        single.feed(bytes([byte]))
    assert (whole.inside_event, single.inside_event) == (inside, inside)
