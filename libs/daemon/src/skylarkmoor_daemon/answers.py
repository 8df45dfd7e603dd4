"""Response writers for chat completions: one JSON body, or buffered server-sent events."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer  # type: ignore[import-untyped]

from skylarkmoor_core.errors import RequestRefused
from skylarkmoor_core.ids import RequestId
from skylarkmoor_daemon.calls import encode_error

__all__ = ["AnswerHead", "AnswerSink", "EventStreamSink", "JsonSink", "Usage"]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Fields that every chunk of a chat completion repeats."""

    request: RequestId
    model: str
    created_s: int


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a completed answer."""

    prompt_tokens: int
    output_tokens: int


class AnswerSink(Protocol):
    """Receiver of the generated text of one completion."""

    # Set by the run that fills the sink; called when a full sink can take text again.
    on_writable: Callable[[], None]

    def full(self) -> bool:
        """Return whether reading from the upstream should be paused."""

    def text(self, text: str) -> None:
        """Append generated text to the answer."""

    def done(self, usage: Usage) -> None:
        """Complete the answer and report its token counts."""

    def refused(self, error: RequestRefused) -> None:
        """End the answer with an error."""


def _noop() -> None:
    """Do nothing; the default callback."""


class JsonSink:
    """Accumulates an answer and encodes it as one JSON body when it is complete.

    Attributes
    ----------
    finished : Deferred
        Fires with the JSON body, or fails with `RequestRefused`.
    """

    def __init__(self, head: AnswerHead) -> None:
        self.finished: Deferred[bytes] = Deferred()
        self.on_writable: Callable[[], None] = _noop
        self._head = head
        self._parts: list[str] = []

    def full(self) -> bool:
        """Return False; the route's output token limit bounds the answer's size."""
        return False

    def text(self, text: str) -> None:
        """Append generated text to the answer."""
        self._parts.append(text)

    def done(self, usage: Usage) -> None:
        """Encode the answer and fire `finished`."""
        if not self.finished.called:
            self.finished.callback(_encode_completion(self._head, "".join(self._parts), usage))

    def refused(self, error: RequestRefused) -> None:
        """Discard the text and fail `finished` with `error`."""
        if not self.finished.called:
            self.finished.errback(error)


@implementer(IPushProducer)
class EventStreamSink:
    """Streams an answer as server-sent events through a bounded buffer.

    Parameters
    ----------
    request : twisted.web.iweb.IRequest
        The caller's request.
    head : AnswerHead
        Fields that every event repeats.
    buffer_limit_bytes : int
        Buffered bytes at which reading from the upstream is paused for a slow caller.

    Attributes
    ----------
    finished : Deferred
        Fires with None when the last event was written to the connection; fails with
        `RequestRefused` if the error came before the first event, so that the response
        can still carry the error's status code.
    """

    def __init__(self, request: Any, head: AnswerHead, buffer_limit_bytes: int) -> None:
        self.finished: Deferred[None] = Deferred()
        self.on_writable: Callable[[], None] = _noop
        self._request = request
        self._head = head
        self._buffer_limit_bytes = buffer_limit_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._paused = False
        self._started = False
        self._ended = False

    def full(self) -> bool:
        """Return whether the buffer has reached its limit."""
        return self._buffered_bytes >= self._buffer_limit_bytes

    def text(self, text: str) -> None:
        """Write one event with generated text."""
        if not self._started:
            self._start_response()
        self._write_or_buffer(_encode_chunk(self._head, {"content": text}, None))

    def done(self, usage: Usage) -> None:
        """Write the final event with the token counts and the ``[DONE]`` marker."""
        if not self._started:
            self._start_response()
        self._write_or_buffer(_encode_chunk(self._head, {}, "stop", usage))
        self._write_or_buffer(b"data: [DONE]\n\n")
        self._end_response()

    def refused(self, error: RequestRefused) -> None:
        """End the stream with an error event and without the ``[DONE]`` marker."""
        if self._ended or self.finished.called:
            return
        if not self._started:
            self.finished.errback(error)
            return
        self._write_or_buffer(b"data: " + encode_error(error, self._head.request) + b"\n\n")
        self._end_response()

    def disconnected(self) -> None:
        """Drop the buffer after the caller disconnected; nothing more is written."""
        self._ended = True
        self._buffer.clear()
        self._buffered_bytes = 0

    def pauseProducing(self) -> None:  # noqa: N802
        """Buffer events until the transport calls `resumeProducing`."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Write buffered events and resume reading from the upstream."""
        self._paused = False
        was_full = self.full()
        while self._buffer and not self._paused:
            data = self._buffer.popleft()
            self._buffered_bytes -= len(data)
            self._request.write(data)
        if was_full and not self.full():
            self.on_writable()
        self._finish_when_flushed()

    def stopProducing(self) -> None:  # noqa: N802
        """Handle the loss of the caller's connection."""
        self.disconnected()

    def _start_response(self) -> None:
        self._started = True
        self._request.setHeader(b"content-type", b"text/event-stream")
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.registerProducer(self, True)
        self._write_or_buffer(_encode_chunk(self._head, {"role": "assistant"}, None))

    def _write_or_buffer(self, data: bytes) -> None:
        if self._ended:
            return
        if self._paused or self._buffer:
            self._buffer.append(data)
            self._buffered_bytes += len(data)
        else:
            self._request.write(data)

    def _end_response(self) -> None:
        self._ended = True
        self._finish_when_flushed()

    def _finish_when_flushed(self) -> None:
        if self._ended and not self._buffer and not self.finished.called:
            self._request.unregisterProducer()
            self.finished.callback(None)


def _encode_chunk(
    head: AnswerHead, delta: dict[str, str], finish_reason: str | None, usage: Usage | None = None
) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    body = _response_object(head, "chat.completion.chunk", choice)
    if usage is not None:
        body["usage"] = _usage_object(usage)
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def _encode_completion(head: AnswerHead, text: str, usage: Usage) -> bytes:
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    body = _response_object(head, "chat.completion", choice)
    body["usage"] = _usage_object(usage)
    return msgspec.json.encode(body)


def _response_object(head: AnswerHead, object_type: str, choice: dict[str, Any]) -> dict[str, Any]:
    return {
        "id": head.request,
        "object": object_type,
        "created": head.created_s,
        "model": head.model,
        "choices": [choice],
    }


def _usage_object(usage: Usage) -> dict[str, int]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    }
