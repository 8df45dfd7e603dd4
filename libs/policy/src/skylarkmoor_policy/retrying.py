"""Which failed attempts are tried again, within a budget for each customer and the daemon."""

from enum import Enum

from skylarkmoor_core.ids import CustomerId
from skylarkmoor_policy.limits import TokenBucket
from skylarkmoor_policy.requests import AttemptResult

__all__ = ["Retry", "RetryBudget", "decide_retry"]

_FLOOR_PER_S = 1.0
_BURST = 10
_MAX_FAILURES = 3


class Retry(Enum):
    """What to do with a request after an attempt that did not complete."""

    # Queue the request again without charge: nothing ran, or the daemon itself stopped it.
    FREE = "free"
    # Queue the request again if the retry budget allows it.
    CHARGED = "charged"
    # End the request with an error.
    NEVER = "never"


def decide_retry(result: AttemptResult, idempotent: bool, failures: int) -> Retry:
    """Return whether a request may run again.

    Parameters
    ----------
    result : AttemptResult
        How the attempt ended.
    idempotent : bool
        Whether the request may run twice.
    failures : int
        Attempts of the request that failed or crashed so far, this one included.
    """
    match result:
        case AttemptResult.NOT_STARTED | AttemptResult.LEAVING:
            return Retry.FREE
        case AttemptResult.PREEMPTED if idempotent:
            return Retry.FREE
        case AttemptResult.CRASHED if idempotent and failures < _MAX_FAILURES:
            # A crash fails everything that ran beside its cause. Quarantine bounds how many
            # crashes one request can cause, so these retries cannot feed on themselves.
            return Retry.FREE
        case AttemptResult.FAILED if idempotent and failures < _MAX_FAILURES:
            return Retry.CHARGED
        case _:
            return Retry.NEVER


class RetryBudget:
    """Retries allowed as a part of the requests, for each customer and for the daemon.

    Parameters
    ----------
    percent : int
        Retries allowed for each 100 requests.
    """

    def __init__(self, percent: int) -> None:
        self._percent = percent
        self._all = TokenBucket(_FLOOR_PER_S, _BURST)
        self._customers: dict[CustomerId, TokenBucket] = {}

    def set_percent(self, percent: int) -> None:
        """Change the part of the requests that may be retried."""
        self._percent = percent

    def count_request(self, customer: CustomerId) -> None:
        """Note a request that is not a retry."""
        self._all.add(self._percent / 100)
        self._bucket(customer).add(self._percent / 100)

    def take(self, customer: CustomerId, now_ms: int) -> bool:
        """Take a retry from both budgets and return whether both had one."""
        return self._bucket(customer).take(now_ms) and self._all.take(now_ms)

    def _bucket(self, customer: CustomerId) -> TokenBucket:
        if customer not in self._customers:
            self._customers[customer] = TokenBucket(_FLOOR_PER_S, _BURST)
        return self._customers[customer]
