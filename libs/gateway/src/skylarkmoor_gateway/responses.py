"""Assembles the response to a caller from the responses of one or more upstreams."""

from skylarkmoor_core.clock import Clock
from skylarkmoor_gateway.callerconnections import CallerConnection
from skylarkmoor_gateway.messages import Headers, ResponseHead
from skylarkmoor_gateway.upstreams import UpstreamConnection
from skylarkmoor_policy.eventstream import EventReader

__all__ = ["CallerResponse"]

# Bodies up to this size are buffered completely before they are forwarded, so that the request can
# still be retried if the upstream fails.
_MAX_BUFFERED_BYTES = 262_144
# The same while memory is tight: a retry is then worth less than what the body would hold.
_MAX_BUFFERED_TIGHT_BYTES = 16_384


class CallerResponse:
    """The response to one request, forwarded to the caller as upstreams produce it.

    Parameters
    ----------
    caller : CallerConnection
        Connection that the response is written to.
    clock : Clock
        Time source.
    resumable : bool
        Whether the response is an event stream that another upstream may continue. Only
        complete events are forwarded then.

    Attributes
    ----------
    started : bool
        Whether the response head was sent, so that the status can no longer change.
    longest_gap_ms : int
        Longest time between two consecutive body writes.
    """

    def __init__(self, caller: CallerConnection, clock: Clock, *, resumable: bool) -> None:
        self.started = False
        self.longest_gap_ms = 0
        self._caller = caller
        self._clock = clock
        self._resumable = resumable
        self._events = EventReader(hold_incomplete=resumable)
        self._content_length: int | None = None
        self._buffered = bytearray()
        self._last_sent_ms: int | None = None

    @property
    def last_event_id(self) -> bytes | None:
        """ID of the last event that was forwarded, None if there is none."""
        return self._events.last_id

    @property
    def can_continue(self) -> bool:
        """Whether another upstream may replace the response or resume it after the last event."""
        if not self.started:
            return True
        # A Content-Length that was sent would not match what the next upstream sends, and without
        # an ID the next one would begin anew.
        return self._resumable and self._content_length is None and self.last_event_id is not None

    @property
    def inside_event(self) -> bool:
        """Whether the events of the current upstream end in the middle of one."""
        return self._events.inside_event

    def forward_events(
        self, head: ResponseHead, data: bytes, source: UpstreamConnection | None
    ) -> int:
        """Forward a chunk of an event stream and return the number of events that it completes.

        Raises
        ------
        EventTooLarge
            If an event of a stream that can be resumed does not end.
        """
        count = self._events.count
        data = self._events.feed(data)
        if data:
            self._start(head, source)
            self._send(data)
        return self._events.count - count

    def buffer_body(
        self, head: ResponseHead, data: bytes, source: UpstreamConnection | None
    ) -> None:
        """Buffer a chunk of a body; the body is streamed once it exceeds the buffer limit."""
        self._buffered += data
        is_tight = self._caller.is_memory_tight
        max_bytes = _MAX_BUFFERED_TIGHT_BYTES if is_tight else _MAX_BUFFERED_BYTES
        if len(self._buffered) > max_bytes:
            self._start(head, source)
            self._send(self._pop_buffered())
        self._caller.response_held(len(self._buffered))

    def discard_partial(self) -> None:
        """Discard buffered data of an upstream that has failed."""
        self._buffered.clear()
        self._events.discard()

    def attach(self, source: UpstreamConnection) -> None:
        """Apply the caller's backpressure to an upstream that resumes the response."""
        if self.started:
            self._caller.register_producer(source)

    def detach(self) -> None:
        """Stop applying the caller's backpressure to the current upstream."""
        if self.started:
            self._caller.unregister_producer()

    def finish(self, head: ResponseHead) -> None:
        """Send what is buffered and complete the response."""
        self._buffered += self._events.flush()
        body = self._pop_buffered()
        if not self.started:
            self._caller.send_response(head.status, head.headers, body, head.content_length)
            return
        if body:
            self._send(body)
        self._caller.unregister_producer()
        self._caller.end_response()

    def abort_response(self) -> None:
        """Reset the caller's connection, so that a partial response does not look complete."""
        self._caller.unregister_producer()
        self._caller.abort_response()

    def send_error(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response of the gateway's own; valid only before anything was sent."""
        self._caller.send_response(status, headers, body)

    def _start(self, head: ResponseHead, source: UpstreamConnection | None) -> None:
        if self.started:
            return
        self.started = True
        self._content_length = head.content_length
        headers = list(head.headers)
        if head.content_length is not None:
            headers.append((b"Content-Length", str(head.content_length).encode()))
        self._caller.start_response(head.status, headers, streamed=head.content_length is None)
        if source is not None:
            self._caller.register_producer(source)

    def _send(self, data: bytes) -> None:
        now_ms = self._clock.now_ms()
        if self._last_sent_ms is not None:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self._last_sent_ms)
        self._last_sent_ms = now_ms
        self._caller.send_body(data)

    def _pop_buffered(self) -> bytes:
        held = bytes(self._buffered)
        self._buffered.clear()
        return held
