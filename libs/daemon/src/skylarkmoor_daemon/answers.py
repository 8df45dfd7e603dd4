"""Answers to callers: whole or as server-sent events, with a bounded buffer."""

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

__all__ = ["AnswerHead", "AnswerSink", "EventSink", "Usage", "WholeSink"]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What every part of an answer repeats."""

    request: RequestId
    model: str
    created_s: int


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of a completed answer."""

    prompt_tokens: int
    output_tokens: int


class AnswerSink(Protocol):
    """Where the text of an answer goes."""

    # Set by the stream; called when a full sink has room again.
    on_room: Callable[[], None]

    def full(self) -> bool:
        """Return whether no more text should be read from the upstream."""

    def text(self, text: str) -> None:
        """Add text to the answer."""

    def done(self, usage: Usage) -> None:
        """Complete the answer."""

    def refused(self, error: RequestRefused) -> None:
        """End the answer with an error."""


def _nothing() -> None:
    """Stand in for a callback that is not set."""


class WholeSink:
    """Collects an answer and hands it over when it is complete.

    Attributes
    ----------
    finished : Deferred
        Fires with the JSON body, or fails with `RequestRefused`.
    """

    def __init__(self, head: AnswerHead) -> None:
        self.finished: Deferred[bytes] = Deferred()
        self.on_room: Callable[[], None] = _nothing
        self._head = head
        self._parts: list[str] = []

    def full(self) -> bool:
        """Return False; the answer is bounded by the route's output tokens."""
        return False

    def text(self, text: str) -> None:
        """Add text to the answer."""
        self._parts.append(text)

    def done(self, usage: Usage) -> None:
        """Complete the answer."""
        if not self.finished.called:
            self.finished.callback(_whole(self._head, "".join(self._parts), usage))

    def refused(self, error: RequestRefused) -> None:
        """Replace the answer with an error."""
        if not self.finished.called:
            self.finished.errback(error)


@implementer(IPushProducer)
class EventSink:
    """Writes an answer as server-sent events and holds a bounded part of it.

    Parameters
    ----------
    request : twisted.web.iweb.IRequest
        The caller's request.
    head : AnswerHead
        What every event repeats.
    limit_bytes : int
        Bytes held for a slow caller before the upstream is paused.

    Attributes
    ----------
    finished : Deferred
        Fires with None when the last event was handed to the connection; fails with
        `RequestRefused` if the error came before the first event, so that it can be
        answered with a status of its own.
    """

    def __init__(self, request: Any, head: AnswerHead, limit_bytes: int) -> None:
        self.finished: Deferred[None] = Deferred()
        self.on_room: Callable[[], None] = _nothing
        self._request = request
        self._head = head
        self._limit_bytes = limit_bytes
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._paused = False
        self._started = False
        self._ended = False

    def full(self) -> bool:
        """Return whether the buffer holds as much as it may."""
        return self._held_bytes >= self._limit_bytes

    def text(self, text: str) -> None:
        """Send an event with text."""
        if not self._started:
            self._start()
        self._put(_event(self._head, {"content": text}, None))

    def done(self, usage: Usage) -> None:
        """Send the last events and end the answer."""
        if not self._started:
            self._start()
        self._put(_event(self._head, {}, "stop", usage))
        self._put(b"data: [DONE]\n\n")
        self._end()

    def refused(self, error: RequestRefused) -> None:
        """End the answer with an error event and without the end marker."""
        if self._ended or self.finished.called:
            return
        if not self._started:
            self.finished.errback(error)
            return
        self._put(b"data: " + encode_error(error, self._head.request) + b"\n\n")
        self._end()

    def disconnected(self) -> None:
        """Forget the caller; nothing more is written."""
        self._ended = True
        self._held.clear()
        self._held_bytes = 0

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold events until the connection has room."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Write held events and read on from the upstream."""
        self._paused = False
        was_full = self.full()
        while self._held and not self._paused:
            data = self._held.popleft()
            self._held_bytes -= len(data)
            self._request.write(data)
        if was_full and not self.full():
            self.on_room()
        self._finish_if_empty()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop; the connection is gone."""
        self.disconnected()

    def _start(self) -> None:
        self._started = True
        self._request.setHeader(b"content-type", b"text/event-stream")
        self._request.setHeader(b"cache-control", b"no-store")
        self._request.registerProducer(self, True)
        self._put(_event(self._head, {"role": "assistant"}, None))

    def _put(self, data: bytes) -> None:
        if self._ended:
            return
        if self._paused or self._held:
            self._held.append(data)
            self._held_bytes += len(data)
        else:
            self._request.write(data)

    def _end(self) -> None:
        self._ended = True
        self._finish_if_empty()

    def _finish_if_empty(self) -> None:
        if self._ended and not self._held and not self.finished.called:
            self._request.unregisterProducer()
            self.finished.callback(None)


def _event(
    head: AnswerHead, delta: dict[str, str], reason: str | None, usage: Usage | None = None
) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    body = _shape(head, "chat.completion.chunk", choice)
    if usage is not None:
        body["usage"] = _usage(usage)
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def _whole(head: AnswerHead, text: str, usage: Usage) -> bytes:
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    body = _shape(head, "chat.completion", choice)
    body["usage"] = _usage(usage)
    return msgspec.json.encode(body)


def _shape(head: AnswerHead, kind: str, choice: dict[str, Any]) -> dict[str, Any]:
    return {
        "id": head.request,
        "object": kind,
        "created": head.created_s,
        "model": head.model,
        "choices": [choice],
    }


def _usage(usage: Usage) -> dict[str, int]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    }
