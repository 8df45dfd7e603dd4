"""What the decision modules know of a request, an attempt and an upstream."""

from dataclasses import dataclass
from enum import Enum

from skylarkmoor_core.ids import (
    AttemptId,
    CustomerId,
    FailureDomain,
    Fingerprint,
    Incarnation,
    RequestId,
    RouteName,
    ServiceName,
    TierRank,
    UpstreamId,
    VersionId,
)

__all__ = ["AttemptEnd", "AttemptResult", "LoadReport", "Request", "UpstreamInfo"]


@dataclass(frozen=True, slots=True)
class Request:
    """A request as the scheduler sees it; times are on the daemon's monotonic clock.

    Attributes
    ----------
    prefix_hashes : tuple of int
        Hashes of the prompt's leading blocks, the shortest prefix first.
    fingerprint : int
        Equal for equal requests of one customer.
    idempotent : bool
        Whether the request may run again after a byte of it was sent.
    """

    request: RequestId
    customer: CustomerId
    route: RouteName
    tier: TierRank
    fingerprint: Fingerprint
    arrived_ms: int
    deadline_ms: int
    prompt_tokens: int = 0
    max_output_tokens: int = 1
    prefix_hashes: tuple[int, ...] = ()
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """An upstream as the host list names it."""

    upstream: UpstreamId
    service: ServiceName
    failure_domain: FailureDomain
    leaving: bool = False
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An upstream's own report; `as_of_ms` is its time on the daemon's monotonic clock."""

    upstream: UpstreamId
    incarnation: Incarnation
    as_of_ms: int
    running: int
    waiting: int
    kv_used_tokens: int
    kv_capacity_tokens: int
    max_batch: int
    versions: tuple[VersionId, ...]
    leaving: bool = False


class AttemptResult(Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    # Refused by the upstream or not connected; no byte of the request ran.
    NOT_STARTED = "not_started"
    # The upstream is leaving and refused the request.
    LEAVING = "leaving"
    # The upstream answered with an error.
    FAILED = "failed"
    # The connection broke, or the upstream came back with a new incarnation.
    CRASHED = "crashed"
    # Cancelled by preemption.
    PREEMPTED = "preempted"
    # Cancelled because the caller went away or the deadline passed.
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt with what was measured of it."""

    request: RequestId
    attempt: AttemptId
    upstream: UpstreamId
    version: VersionId
    result: AttemptResult
    position_tokens: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0
    first_token_ms: int | None = None
    between_tokens_ms: int | None = None
