"""Requests, attempts and upstreams as input to the scheduling policy."""

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
    """A request to schedule; times are on the daemon's monotonic clock.

    Attributes
    ----------
    prefix_hashes : tuple of int
        Hashes of the prompt's leading blocks, the shortest prefix first.
    fingerprint : int
        Hash that is the same for identical requests of a customer.
    idempotent : bool
        Whether the request may be retried after any byte of it was sent to an upstream.
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
    """An upstream as described by the host list."""

    upstream: UpstreamId
    service: ServiceName
    failure_domain: FailureDomain
    leaving: bool = False
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by an upstream; `as_of_ms` is on the daemon's monotonic clock."""

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
    # The connection failed or the upstream refused the request; nothing was executed.
    NOT_STARTED = "not_started"
    # The upstream refused the request because it is shutting down.
    LEAVING = "leaving"
    # The upstream answered with an error.
    FAILED = "failed"
    # The connection was lost, or the upstream restarted with a new incarnation.
    CRASHED = "crashed"
    # Cancelled by preemption.
    PREEMPTED = "preempted"
    # Cancelled because the client disconnected or the deadline passed.
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended, with its measurements."""

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
