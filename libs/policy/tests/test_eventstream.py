"""Tests that resumed streams contain no partial, missing or repeated events."""

import itertools

import pytest

from skylarkmoor_policy.eventstream import MAX_EVENT_BYTES, EventReader, EventTooLarge


@pytest.mark.parametrize("size", [1, 2, 5, 7, 100])
def test_only_complete_events_are_returned_for_any_chunk_size(size):
    stream = b"".join(b"id: %d\ndata: x%d\n\n" % (event_id, event_id) for event_id in range(20))
    reader = EventReader(hold_incomplete=True)
    forwarded = b""
    for start in range(0, len(stream), size):
        part = reader.feed(stream[start : start + size])
        assert part == b"" or part.endswith(b"\n\n")
        forwarded += part
    assert forwarded == stream
    assert reader.last_id == b"19"


def test_incomplete_event_of_a_failed_upstream_is_discarded():
    reader = EventReader(hold_incomplete=True)
    assert reader.feed(b"id: 1\n\nid: 2\nda") == b"id: 1\n\n"
    reader.discard()
    assert reader.feed(b"id: 2\n\n") == b"id: 2\n\n"


def test_id_inside_a_data_field_is_ignored():
    reader = EventReader(hold_incomplete=True)
    reader.feed(b"id: 4\ndata: void: 9\n\n")
    assert reader.last_id == b"4"


def test_id_after_other_fields_is_recognized():
    reader = EventReader(hold_incomplete=True)
    reader.feed(b"skylarkmoor-weight-versions: 2\nid: 7\ndata: a\n\n")
    assert reader.last_id == b"7"


def test_flush_returns_the_rest_at_the_end_of_the_stream():
    reader = EventReader(hold_incomplete=True)
    reader.feed(b"data: [DONE]")
    assert reader.inside_event
    assert reader.flush() == b"data: [DONE]"


@pytest.mark.parametrize(
    ("stream", "inside"),
    [
        (b"", False),
        (b"id: 1\ndata: a\n\n", False),
        (b"id: 1\r\ndata: a\r\n\r\n", False),
        (b"id: 1\r\ndata: a\r\n\r", False),
        (b"id: 1\rdata: a\r\r", False),
        (b"id: 1\r\ndata: a\r\n", True),
        (b"id: 1\rdata: a\r", True),
        (b"id: 1\ndata: a\n\n: comment", False),
        (b"id: 1\ndata: a\n\n\n\n", False),
        (b"id: 1\ndata: a\n", True),
        (b"id: 1\ndata: a", True),
        (b"id: 1\ndata: a\n\ni", True),
        (b"id: 1\n: comment\n", True),
    ],
)
def test_the_end_inside_an_event_is_seen_however_the_bytes_arrive(stream, inside):
    for size, hold in itertools.product((1, len(stream) or 1), (False, True)):
        reader = EventReader(hold_incomplete=hold)
        for start in range(0, len(stream), size):
            reader.feed(stream[start : start + size])
        assert reader.inside_event is inside


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 100])
def test_events_end_with_an_empty_line_whatever_ends_the_lines(line_end, size):
    """A stream with carriage returns was held back to its end, and could not be resumed."""
    events = [b"id: %d\ndata: x\n\n".replace(b"\n", line_end) % number for number in range(3)]
    stream = b"".join(events)
    reader = EventReader(hold_incomplete=True)
    forwarded = [reader.feed(stream[i : i + size]) for i in range(0, len(stream), size)]
    assert (reader.count, reader.last_id) == (3, b"2")
    assert b"".join(forwarded) + reader.flush() == stream
    if size == 1:
        assert len([each for each in forwarded if each]) == 3


@pytest.mark.parametrize("hold", [False, True])
def test_comments_and_empty_lines_are_not_counted(hold):
    reader = EventReader(hold_incomplete=hold)
    for byte in b"\n: a\n\nid: 1\n: b\ndata: a\n\n\n\n":
        reader.feed(bytes([byte]))
    assert reader.count == 1


def test_an_id_of_an_incomplete_event_is_not_the_last_one():
    reader = EventReader(hold_incomplete=True)
    reader.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n")
    assert reader.last_id == b"1"
    reader.discard()
    reader.feed(b": comment\n\n")
    assert reader.last_id == b"1"


def test_an_event_without_an_id_has_none_to_resume_from():
    """A resumption after the ID before it would repeat the event."""
    reader = EventReader(hold_incomplete=True)
    reader.feed(b"id: 1\ndata: a\n\ndata: b\n\n")
    assert reader.last_id is None


def test_an_event_above_the_size_limit_is_an_error_and_is_discarded():
    reader = EventReader(hold_incomplete=True)
    with pytest.raises(EventTooLarge):
        reader.feed(b"data: " + b"x" * MAX_EVENT_BYTES)
    assert not reader.inside_event
    assert reader.feed(b"data: a\n\n") == b"data: a\n\n"
