"""Retry policy, with a retry budget for each customer and one for the daemon."""

from enum import Enum

from skylarkmoor_core.ids import CustomerId
from skylarkmoor_policy.ratelimits import TokenBucket
from skylarkmoor_policy.requests import AttemptResult

__all__ = ["RetryAllowance", "RetryBudget", "decide_retry"]

# Retries that each budget allows regardless of the number of requests.
_MIN_RETRIES_PER_S = 1.0
_MAX_RETRY_BURST = 10
_MAX_ATTEMPT_FAILURES = 3


class RetryAllowance(Enum):
    """Whether to retry a request whose attempt did not complete."""

    # Queue the request again without using the retry budget: nothing ran, the daemon stopped
    # the attempt, or the upstream crashed.
    FREE = "free"
    # Queue the request again if the retry budgets allow it.
    CHARGED = "charged"
    # End the request with an error.
    NEVER = "never"


def decide_retry(result: AttemptResult, idempotent: bool, failures: int) -> RetryAllowance:
    """Return whether a request may be retried after an attempt.

    Parameters
    ----------
    result : AttemptResult
        How the attempt ended.
    idempotent : bool
        Whether the request may be executed more than once.
    failures : int
        Number of the request's attempts that failed or crashed, including this one.
    """
    match result:
        case AttemptResult.NOT_STARTED | AttemptResult.LEAVING:
            return RetryAllowance.FREE
        case AttemptResult.PREEMPTED if idempotent:
            return RetryAllowance.FREE
        case AttemptResult.CRASHED if idempotent and failures < _MAX_ATTEMPT_FAILURES:
            # A crash also ends the attempts that ran beside the request that caused it.
            # Quarantine bounds how many crashes one request can cause, so free retries cannot
            # multiply crashes.
            return RetryAllowance.FREE
        case AttemptResult.FAILED if idempotent and failures < _MAX_ATTEMPT_FAILURES:
            return RetryAllowance.CHARGED
        case _:
            return RetryAllowance.NEVER


class RetryBudget:
    """Limits retries to a percentage of the requests, per customer and for the daemon.

    Parameters
    ----------
    percent : int
        Retries allowed per 100 requests.
    """

    def __init__(self, percent: int) -> None:
        self._percent = percent
        self._daemon_bucket = TokenBucket(_MIN_RETRIES_PER_S, _MAX_RETRY_BURST)
        self._customer_buckets: dict[CustomerId, TokenBucket] = {}

    def set_percent(self, percent: int) -> None:
        """Change the retries allowed per 100 requests."""
        self._percent = percent

    def count_request(self, customer: CustomerId) -> None:
        """Add to both budgets for a request that is not a retry."""
        self._daemon_bucket.add(self._percent / 100)
        self._bucket(customer).add(self._percent / 100)

    def take(self, customer: CustomerId, now_ms: int) -> bool:
        """Take a retry from both budgets and return whether it was within both."""
        return self._bucket(customer).take(now_ms) and self._daemon_bucket.take(now_ms)

    def _bucket(self, customer: CustomerId) -> TokenBucket:
        if customer not in self._customer_buckets:
            self._customer_buckets[customer] = TokenBucket(_MIN_RETRIES_PER_S, _MAX_RETRY_BURST)
        return self._customer_buckets[customer]
