"""Parsing and validation of request bodies and headers, and encoding of error answers."""

import re
from dataclasses import dataclass

import msgspec

from skylarkmoor_core.clock import Clock
from skylarkmoor_core.errors import RequestRefused
from skylarkmoor_core.outcome import ErrorBody, ErrorCode, ErrorDetail, Outcome

__all__ = [
    "HTTP_STATUS",
    "ChatBody",
    "ChatMessage",
    "IdempotencyKey",
    "check_json",
    "parse_deadline_ms",
    "encode_error",
    "parse_chat",
    "parse_idempotency_key",
]

_IDEMPOTENCY_KEY_HEADER = re.compile(
    r'\s*"([\x21\x23-\x5b\x5d-\x7e]{1,255})"\s*;\s*issued=(\d{1,15})\s*'
)
_EPOCH_MS = re.compile(r"\d{1,15}")
# Tolerated clock skew of a key's issue time. A key issued further in the future is rejected,
# because it would stay valid for longer than the deduplication window.
_MAX_CLOCK_SKEW_MS = 10_000

HTTP_STATUS = {
    ErrorCode.MALFORMED: 400,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.UNKNOWN_CUSTOMER: 403,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.DEADLINE_PASSED: 504,
    ErrorCode.KEY_REQUIRED: 400,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.KEY_EXPIRED: 409,
    ErrorCode.CUSTOMER_LIMIT: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.QUARANTINED: 422,
    ErrorCode.LOG_UNAVAILABLE: 503,
    ErrorCode.DRAINING: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.VERSION_FAILED: 502,
}


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat request."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/chat/completions``; unknown fields are ignored."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None

    def prompt(self) -> str:
        """Return the messages joined by newlines into one prompt."""
        return "\n".join(f"{message.role}: {message.content}" for message in self.messages)


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """An idempotency key and the wall-clock time at which the caller issued it."""

    key: str
    issued_wall_ms: int


def parse_chat(body: bytes) -> ChatBody:
    """Parse and validate the body of a chat request.

    Raises
    ------
    RequestRefused
        With code `malformed`.
    """
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestRefused(ErrorCode.MALFORMED, f"body: {error}") from error
    if not chat.messages:
        raise RequestRefused(ErrorCode.MALFORMED, "body: at least one message is needed")
    if chat.max_tokens is not None and chat.max_tokens <= 0:
        message = f"body: max_tokens must be positive, got {chat.max_tokens}"
        raise RequestRefused(ErrorCode.MALFORMED, message)
    return chat


def check_json(body: bytes) -> None:
    """Check that `body` is valid JSON.

    Raises
    ------
    RequestRefused
        With code `malformed`.
    """
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestRefused(ErrorCode.MALFORMED, f"body: {error}") from error


def parse_idempotency_key(header: str, wall_ms: int) -> IdempotencyKey:
    """Parse an ``Idempotency-Key`` header of the form ``"KEY"; issued=EPOCH_MS``.

    Raises
    ------
    RequestRefused
        With code `malformed`.

    Examples
    --------
    >>> parse_idempotency_key('"order-7"; issued=1000', 2000)
    IdempotencyKey(key='order-7', issued_wall_ms=1000)
    """
    match = _IDEMPOTENCY_KEY_HEADER.fullmatch(header)
    if match is None:
        message = f'Idempotency-Key: expected "KEY"; issued=EPOCH_MS, got {header!r}'
        raise RequestRefused(ErrorCode.MALFORMED, message, Outcome.UNKNOWN)
    key = IdempotencyKey(match[1], int(match[2]))
    if key.issued_wall_ms > wall_ms + _MAX_CLOCK_SKEW_MS:
        message = f"Idempotency-Key: issued={key.issued_wall_ms} is in the future"
        raise RequestRefused(ErrorCode.MALFORMED, message, Outcome.UNKNOWN)
    return key


def parse_deadline_ms(header: str | None, limit_ms: int, clock: Clock) -> int:
    """Return a request's deadline on the daemon's monotonic clock.

    Parameters
    ----------
    header : str or None
        Value of ``X-Deadline-Ms``, in epoch milliseconds.
    limit_ms : int
        The route's time limit, in milliseconds. It applies without a header, and it
        caps the header's deadline.
    clock : Clock
        Converts the header's wall-clock time to monotonic time.

    Raises
    ------
    RequestRefused
        With code `malformed` or `deadline_passed`.
    """
    now_ms = clock.now_ms()
    if header is None:
        return now_ms + limit_ms
    if not _EPOCH_MS.fullmatch(header.strip()):
        message = f"X-Deadline-Ms: expected epoch milliseconds, got {header!r}"
        raise RequestRefused(ErrorCode.MALFORMED, message)
    remaining_ms = int(header) - clock.wall_ms()
    if remaining_ms <= 0:
        message = f"X-Deadline-Ms: the deadline passed {-remaining_ms} ms ago"
        raise RequestRefused(ErrorCode.DEADLINE_PASSED, message)
    return now_ms + min(remaining_ms, limit_ms)


def encode_error(error: RequestRefused, request_id: str) -> bytes:
    """Return the JSON body of an error answer."""
    detail = ErrorDetail(error.code, error.message, error.outcome, request_id)
    return msgspec.json.encode(ErrorBody(detail))
