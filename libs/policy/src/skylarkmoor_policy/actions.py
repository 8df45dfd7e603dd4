"""Actions that the scheduler returns; the caller of the scheduler carries them out."""

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
        Number of output tokens already sent to the client; the attempt resumes after them.
    """

    request: RequestId
    attempt: AttemptId
    upstream: UpstreamId
    version: VersionId
    start_position: int = 0


@dataclass(frozen=True, slots=True)
class Preempt:
    """Cancel a running attempt.

    If the request has not ended, it is queued again once the end of the attempt is reported.
    """

    attempt: AttemptId
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a request with an error.

    The caller of the scheduler adds the outcome, which depends on the bytes already sent.
    """

    request: RequestId
    code: ErrorCode
    message: str
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the daemon on host `to`, which may be this daemon itself."""

    to: HostId
    message: Message


Action = Dispatch | Preempt | Refuse | Send
