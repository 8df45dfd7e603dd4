"""Decoded requests and response heads, and the interface of the codec that translates them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from skylarkmoor_core.ids import CustomerId, PromptPart, RequestId, UpstreamId
from skylarkmoor_policy.upstreamnotices import AnswerNotices

__all__ = [
    "AttemptContext",
    "BodyFraming",
    "Codec",
    "Headers",
    "IncomingRequest",
    "ResponseHead",
]

Headers = list[tuple[bytes, bytes]]
_EVENT_STREAM_TYPE = b"text/event-stream"


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete, decoded request of a caller.

    Attributes
    ----------
    target : bytes
        Path and query as the caller sent them.
    headers : list of (bytes, bytes)
        Headers that are forwarded unchanged.
    deadline_ms : int or None
        Timeout of the caller, relative to the arrival of the request.
    api_key : str or None
        The caller's API key.
    prompt_tokens, max_output_tokens : int or None
        Size of a model request, None if the caller did not state it.
    expected_output_tokens : int or None
        The caller's estimate of the output size.
    last_event_id : bytes or None
        Event ID after which the caller resumes a stream.
    prompt_parts : tuple of PromptPart
        Parts of the prompt that other requests may share, in order.
    """

    request: RequestId
    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    deadline_ms: int | None = None
    api_key: str | None = None
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    expected_output_tokens: int | None = None
    last_event_id: bytes | None = None
    prompt_parts: tuple[PromptPart, ...] = ()

    @property
    def quota_tokens(self) -> int | None:
        """Tokens charged to the customer's limit, None if the prompt size is not known."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.max_output_tokens or 0)


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """Data of one attempt that the upstream gets in addition to the caller's request."""

    upstream: UpstreamId
    remaining_ms: int
    customer: CustomerId | None = None
    last_event_id: bytes | None = None


class BodyFraming(Enum):
    """What marks the end of a body (RFC 9112, section 6.3); the values appear in logs."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # The connection is closed, which also happens when the upstream fails.
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Decoded status and headers of an upstream's response.

    Attributes
    ----------
    request : str or None
        ID of the request that the upstream responds to, if it names one.
    not_run : bool
        Whether the upstream states that it did not execute the request.
    instance_replaced : bool
        Whether a different instance is now running at the upstream's address.
    has_signature : bool
        Whether the response has the upstream's signature.
    headers : list of (bytes, bytes)
        Headers that are forwarded to the caller.
    keep_alive_ms : int or None
        Time after which the upstream closes an idle connection, if it states one.
    is_chunked : bool
        Whether the body is sent in chunks.
    notices : AnswerNotices
        What the upstream says of itself.
    """

    status: int
    request: str | None
    not_run: bool
    has_signature: bool
    headers: Headers
    content_length: int | None
    instance_replaced: bool = False
    keep_alive_ms: int | None = None
    is_chunked: bool = False
    notices: AnswerNotices = AnswerNotices()

    @property
    def framing(self) -> BodyFraming:
        """What marks the end of the body."""
        if self.is_chunked:
            return BodyFraming.CHUNKS
        return BodyFraming.CLOSE if self.content_length is None else BodyFraming.LENGTH

    @property
    def has_events(self) -> bool:
        """Whether the body consists of events, unless its content type says otherwise."""
        types = [value for name, value in self.headers if name.lower() == b"content-type"]
        return all(
            value.partition(b";")[0].strip().lower() == _EVENT_STREAM_TYPE for value in types
        )


class Codec(Protocol):
    """Translates between the platform's HTTP headers and the gateway's types."""

    def decode_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> IncomingRequest:
        """Decode a request; raises `MalformedRequest` if it cannot be forwarded."""

    def encode_request(self, request: IncomingRequest, attempt: AttemptContext) -> Headers:
        """Return the request headers for the upstream."""

    def decode_response(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of an upstream's response."""

    def request_id_headers(self, request: RequestId) -> Headers:
        """Return the headers of an error response that identify the request."""
