"""Splits a stream of server-sent events at event boundaries."""

from skylarkmoor_core.errors import SkylarkmoorError

__all__ = ["MAX_EVENT_BYTES", "EventBoundary", "EventSplitter", "EventTooLarge", "count_events"]

_EVENT_DELIMITER = b"\n\n"
# Events hold a few tokens. Limits the memory that an upstream can use with an event without end.
MAX_EVENT_BYTES = 1_048_576


class EventTooLarge(SkylarkmoorError):
    """An event does not end within the size limit."""


def count_events(blocks: bytes) -> int:
    r"""Return the number of complete events in a part of a stream.

    Comments and blank lines, which a stalled upstream may still send, are no events.

    Examples
    --------
    >>> count_events(b"id: 1\ndata: a\n\n: comment\n\n\n\n")
    1
    """
    return sum(
        any(line and not line.startswith(b":") for line in block.split(b"\n"))
        for block in blocks.split(_EVENT_DELIMITER)[:-1]
    )


class EventBoundary:
    r"""Tells whether a stream has ended inside an event.

    Notes
    -----
    Comments and blank lines belong to no event. Lines end with a line feed, or with a carriage
    return and a line feed.

    Examples
    --------
    >>> boundary = EventBoundary()
    >>> boundary.feed(b"id: 1\ndata: a\n\n: comment\nid: 2")
    >>> boundary.inside_event
    True
    """

    def __init__(self) -> None:
        self._has_field = False
        # First byte of the line that has not ended, empty at the start of a line.
        self._line_start = b""

    @property
    def inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return self._has_field or self._line_start not in (b"", b":", b"\r")

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        *ended, rest = data.split(b"\n")
        for piece in ended:
            start = self._line_start or piece[:1]
            if start in (b"", b"\r"):
                self._has_field = False
            elif start != b":":
                self._has_field = True
            self._line_start = b""
        self._line_start = self._line_start or rest[:1]


class EventSplitter:
    r"""Buffers a stream up to event boundaries and tracks the ID of the last complete event.

    Notes
    -----
    If another upstream may resume the stream, only complete events may be forwarded, because an
    upstream can fail in the middle of an event.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.pending
    (b'1', True)
    """

    def __init__(self) -> None:
        self.last_id: bytes | None = None
        self._pending_data = b""

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._pending_data)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete.

        Raises
        ------
        EventTooLarge
            If an event does not end within `MAX_EVENT_BYTES`.
        """
        buffered = self._pending_data + data
        end = buffered.rfind(_EVENT_DELIMITER)
        if end < 0:
            if len(buffered) > MAX_EVENT_BYTES:
                self._pending_data = b""
                raise EventTooLarge(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            self._pending_data = buffered
            return b""
        complete_events, self._pending_data = (
            buffered[: end + len(_EVENT_DELIMITER)],
            buffered[end + len(_EVENT_DELIMITER) :],
        )
        self._update_last_id(complete_events)
        return complete_events

    def flush(self) -> bytes:
        """Return the buffered rest at the end of the stream."""
        buffered, self._pending_data = self._pending_data, b""
        return buffered

    def discard(self) -> None:
        """Discard the incomplete event of an upstream that has failed."""
        self._pending_data = b""

    def _update_last_id(self, events: bytes) -> None:
        start = events.rfind(b"id:")
        # Only a field at the start of a line is an ID.
        while start > 0 and events[start - 1 : start] != b"\n":
            start = events.rfind(b"id:", 0, start)
        if start >= 0:
            line = events[start + 3 : events.find(b"\n", start)]
            self.last_id = line.strip()
