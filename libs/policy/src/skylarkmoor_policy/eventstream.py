"""Whole events of a server-sent event stream."""

__all__ = ["EventSplitter"]

_END = b"\n\n"
# A stream without an end of an event within this many bytes is passed on as it is.
_MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    r"""Cuts a stream into whole events and keeps the id of the last one.

    Notes
    -----
    Only whole events may be passed on if the stream may go on at another upstream, because an
    upstream can stop in the middle of an event.

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
        self._rest = b""

    @property
    def pending(self) -> bool:
        """Whether a part of an event is held back."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the stream and return the whole events that they complete."""
        rest = self._rest + data
        end = rest.rfind(_END)
        if end < 0:
            if len(rest) > _MAX_EVENT_BYTES:
                self._rest = b""
                return rest
            self._rest = rest
            return b""
        whole, self._rest = rest[: end + len(_END)], rest[end + len(_END) :]
        self._note_id(whole)
        return whole

    def flush(self) -> bytes:
        """Return what is held back; the stream has ended."""
        rest, self._rest = self._rest, b""
        return rest

    def discard(self) -> None:
        """Drop the part of an event whose upstream has failed."""
        self._rest = b""

    def _note_id(self, events: bytes) -> None:
        start = events.rfind(b"id:")
        # An id counts only at the start of a line.
        while start > 0 and events[start - 1 : start] != b"\n":
            start = events.rfind(b"id:", 0, start)
        if start >= 0:
            line = events[start + 3 : events.find(b"\n", start)]
            self.last_id = line.strip()
