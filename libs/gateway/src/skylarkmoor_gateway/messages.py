"""What the gateway knows of a request, of an answer's head, and of the codec between them."""

from dataclasses import dataclass
from typing import Protocol

from skylarkmoor_core.ids import CustomerId, RequestId, UpstreamId

__all__ = ["AnswerHead", "Attempt", "Codec", "Headers", "IncomingRequest"]

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request, read whole and decoded.

    Attributes
    ----------
    target : bytes
        Path and query as the caller sent them.
    headers : list of (bytes, bytes)
        Those that are forwarded as they are.
    deadline_ms : int or None
        How long the caller waits, counted from its arrival.
    api_key : str or None
        The caller's key.
    prompt_tokens, max_output_tokens : int or None
        Size of a model request, None if the caller gave none.
    expected_output_tokens : int or None
        The caller's own estimate.
    last_event_id : bytes or None
        Event after which a resumed stream goes on.
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

    @property
    def tokens(self) -> int | None:
        """Return the tokens that the request counts in its customer's limit."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.max_output_tokens or 0)


@dataclass(frozen=True, slots=True)
class Attempt:
    """What is said to the upstream besides the caller's request."""

    upstream: UpstreamId
    remaining_ms: int
    customer: CustomerId | None = None
    last_event_id: bytes | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an upstream's answer.

    Attributes
    ----------
    request : str or None
        The request that the upstream says it answers.
    not_run : bool
        Whether the upstream says that it did not run the request.
    replaced : bool
        Whether another instance has the address that the request was sent to.
    signed : bool
        Whether the answer has the upstream's signature.
    headers : list of (bytes, bytes)
        Those that the caller gets.
    keep_alive_ms : int or None
        How long the upstream keeps an idle connection.
    """

    status: int
    request: str | None
    not_run: bool
    signed: bool
    headers: Headers
    content_length: int | None
    replaced: bool = False
    keep_alive_ms: int | None = None


class Codec(Protocol):
    """Translates between HTTP headers and the gateway's types."""

    def decode_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> IncomingRequest:
        """Read a request; raises `MalformedRequest` if it cannot be forwarded."""

    def encode_request(self, request: IncomingRequest, attempt: Attempt) -> Headers:
        """Return the headers for the upstream."""

    def decode_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Read the head of an answer."""

    def request_id_headers(self, request: RequestId) -> Headers:
        """Return the headers by which an error answer names its request."""
