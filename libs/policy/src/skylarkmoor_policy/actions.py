"""Decisions of the scheduler, for the adapters to carry out."""

from dataclasses import dataclass

from skylarkmoor_core.ids import AttemptId, HostId, RequestId, UpstreamId, VersionId
from skylarkmoor_core.messages import Message
from skylarkmoor_core.outcome import ErrorCode

__all__ = ["Action", "Dispatch", "Preempt", "Refuse", "Send"]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt of a request on an upstream.

    Attributes
    ----------
    start_position : int
        Tokens of the answer already sent to the caller.
    """

    request: RequestId
    attempt: AttemptId
    upstream: UpstreamId
    version: VersionId
    start_position: int = 0


@dataclass(frozen=True, slots=True)
class Preempt:
    """Cancel an attempt; its request is queued again once the attempt's end is reported."""

    attempt: AttemptId
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a request with an error; the adapter adds the outcome from what was sent."""

    request: RequestId
    code: ErrorCode
    message: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer, or to this daemon itself if `to` is its own host."""

    to: HostId
    message: Message


Action = Dispatch | Preempt | Refuse | Send
