"""The one answer that a caller gets, made of what one or more upstreams send."""

from skylarkmoor_core.clock import Clock
from skylarkmoor_gateway.callers import CallerConnection
from skylarkmoor_gateway.messages import AnswerHead, Headers
from skylarkmoor_gateway.upstreams import UpstreamConnection
from skylarkmoor_policy.eventstream import EventSplitter

__all__ = ["CallerAnswer"]

# Answers up to this size are held until they are whole, so that a broken one can be repeated.
_MAX_HELD_BYTES = 262_144
_EVENT_END = b"\n\n"


class CallerAnswer:
    """An answer on its way to the caller.

    Parameters
    ----------
    caller : CallerConnection
        Where it goes.
    clock : Clock
        Source of times.
    resumable : bool
        Whether it is a stream that another upstream may continue. Only whole events are
        passed on then.

    Attributes
    ----------
    started : bool
        Whether the head was sent, so that no other answer is possible.
    longest_gap_ms : int
        Longest time between two parts.
    """

    def __init__(self, caller: CallerConnection, clock: Clock, *, resumable: bool) -> None:
        self.started = False
        self.longest_gap_ms = 0
        self._caller = caller
        self._clock = clock
        self._events = EventSplitter() if resumable else None
        self._length: int | None = None
        self._held = bytearray()
        self._sent_ms: int | None = None

    @property
    def last_event_id(self) -> bytes | None:
        """The last event that was passed on."""
        return None if self._events is None else self._events.last_id

    @property
    def can_continue(self) -> bool:
        """Whether another upstream may answer instead, or go on where the last one stopped."""
        # An announced length would not match what the next upstream sends.
        return not self.started or (self._events is not None and self._length is None)

    def add_events(self, head: AnswerHead, data: bytes, source: UpstreamConnection | None) -> int:
        """Pass on a part of a stream and return how many events it completes."""
        if self._events is not None:
            data = self._events.feed(data)
        if data:
            self._start(head, source)
            self._send(data)
        return data.count(_EVENT_END)

    def hold(self, head: AnswerHead, data: bytes, source: UpstreamConnection | None) -> None:
        """Hold a part of a body until the body is whole, unless it is very long."""
        self._held += data
        if len(self._held) > _MAX_HELD_BYTES:
            self._start(head, source)
            self._send(self._take_held())

    def drop_partial(self) -> None:
        """Drop what is held, because its upstream has failed."""
        self._held.clear()
        if self._events is not None:
            self._events.discard()

    def attach(self, source: UpstreamConnection) -> None:
        """Let the caller's congestion pause an upstream that continues the answer."""
        if self.started:
            self._caller.pause_for(source)

    def detach(self) -> None:
        """Let go of the upstream."""
        if self.started:
            self._caller.unpause()

    def finish(self, head: AnswerHead) -> None:
        """Complete the answer."""
        if self._events is not None:
            self._held += self._events.flush()
        body = self._take_held()
        if not self.started:
            self._caller.answer(head.status, head.headers, body)
            return
        if body:
            self._send(body)
        self._caller.unpause()
        self._caller.end_answer()

    def break_off(self) -> None:
        """Reset the caller's connection, so that the answer does not look complete."""
        self._caller.unpause()
        self._caller.break_off()

    def replace(self, status: int, headers: Headers, body: bytes) -> None:
        """Give an answer of the gateway's own; nothing may have been sent before."""
        self._caller.answer(status, headers, body)

    def _start(self, head: AnswerHead, source: UpstreamConnection | None) -> None:
        if self.started:
            return
        self.started = True
        self._length = head.content_length
        headers = list(head.headers)
        if head.content_length is not None:
            headers.append((b"Content-Length", str(head.content_length).encode()))
        self._caller.start_answer(head.status, headers, streamed=head.content_length is None)
        if source is not None:
            self._caller.pause_for(source)

    def _send(self, data: bytes) -> None:
        now_ms = self._clock.now_ms()
        if self._sent_ms is not None:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self._sent_ms)
        self._sent_ms = now_ms
        self._caller.send_body(data)

    def _take_held(self) -> bytes:
        held = bytes(self._held)
        self._held.clear()
        return held
