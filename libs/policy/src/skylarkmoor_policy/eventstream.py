"""Reads streams of server-sent events."""

import re

from skylarkmoor_core.errors import SkylarkmoorError

__all__ = ["MAX_EVENT_BYTES", "EventReader", "EventTooLarge"]

_LINE_END = re.compile(rb"\r\n?|\n")
# Events hold a few tokens. Limits the memory that an upstream can use with an event without end.
MAX_EVENT_BYTES = 1_048_576


class EventTooLarge(SkylarkmoorError):
    """An event does not end within the size limit."""


class EventReader:
    r"""Finds the ends of events, counts them and tracks the ID of the last complete one.

    Parameters
    ----------
    hold_incomplete : bool
        Whether `feed` keeps back what follows the last complete event. If another upstream may
        resume the stream, only complete events may be forwarded, because an upstream can fail in
        the middle of an event.

    Attributes
    ----------
    count : int
        Number of complete events.
    last_id : bytes or None
        ID of the last complete event, None if it has none; tracked only with `hold_incomplete`.

    Notes
    -----
    A line ends with a line feed, a carriage return or both, and an event with an empty line.
    Comments and further empty lines, which a stalled upstream may still send, are no events.

    References
    ----------
    WHATWG, HTML Living Standard, section 9.2.5, "Parsing an event stream".

    Examples
    --------
    >>> reader = EventReader(hold_incomplete=True)
    >>> reader.feed(b"id: 1\ndata: a\n\n: comment\n\nid: 2\r\nda")
    b'id: 1\ndata: a\n\n: comment\n\n'
    >>> reader.count, reader.last_id, reader.inside_event
    (1, b'1', True)
    """

    def __init__(self, *, hold_incomplete: bool) -> None:
        self.count = 0
        self.last_id: bytes | None = None
        self._hold_incomplete = hold_incomplete
        self._held = bytearray()
        self._start_event()

    @property
    def inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return self._has_field or bytes(self._line[:1]) not in (b"", b":")

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those that may be forwarded.

        Raises
        ------
        EventTooLarge
            If bytes are held and an event does not end within `MAX_EVENT_BYTES`.
        """
        end = self._read_lines(data)
        if not self._hold_incomplete:
            return data
        complete = b""
        if end:
            complete = bytes(self._held + data[:end])
            self._held = bytearray(data[end:])
        else:
            self._held += data
        if len(self._held) > MAX_EVENT_BYTES:
            self.discard()
            raise EventTooLarge(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return complete

    def flush(self) -> bytes:
        """Return the held bytes at the end of the stream."""
        held = bytes(self._held)
        self._held.clear()
        return held

    def discard(self) -> None:
        """Discard the incomplete event of an upstream that has failed."""
        self._held.clear()
        self._start_event()

    def _start_event(self) -> None:
        self._has_field = False
        self._id: bytes | None = None
        # The line that has not ended, or its first byte if IDs are not tracked.
        self._line = bytearray()
        # Whether the last byte was a carriage return, which a line feed may follow.
        self._after_return = False

    def _read_lines(self, data: bytes) -> int:
        """Read the lines that end in `data` and return where what may be forwarded ends."""
        start = int(self._after_return and data[:1] == b"\n")
        if data:
            self._after_return = data.endswith(b"\r")
        end = 0
        for match in _LINE_END.finditer(data, start):
            line = bytes(self._line) + data[start : match.start()]
            self._line.clear()
            start = match.end()
            if not line:
                self._end_event()
                # Comments before the first event are no answer yet.
                end = start if self.count else 0
            elif not line.startswith(b":"):
                self._read_field(line)
        rest = data[start:]
        if self._hold_incomplete:
            self._line += rest
        else:
            self._line = self._line or bytearray(rest[:1])
        return end

    def _read_field(self, line: bytes) -> None:
        self._has_field = True
        name, _, value = line.partition(b":")
        if name == b"id" and self._hold_incomplete:
            self._id = value.strip()

    def _end_event(self) -> None:
        if self._has_field:
            self.count += 1
            self.last_id = self._id
        self._has_field = False
        self._id = None
