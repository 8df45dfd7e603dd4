"""Guards against running a call twice and against retries that multiply a failure."""

import pytest

from skylarkmoor_policy.requests import AttemptResult
from skylarkmoor_policy.retrying import Retry, RetryBudget, decide_retry


@pytest.mark.parametrize(
    "result",
    [
        AttemptResult.FAILED,
        AttemptResult.CRASHED,
        AttemptResult.PREEMPTED,
        AttemptResult.ABANDONED,
        AttemptResult.COMPLETED,
    ],
)
def test_call_that_may_have_run_is_never_retried(result):
    assert decide_retry(result, idempotent=False, failures=1) is Retry.NEVER


@pytest.mark.parametrize("result", [AttemptResult.NOT_STARTED, AttemptResult.LEAVING])
def test_call_that_did_not_run_is_retried(result):
    assert decide_retry(result, idempotent=False, failures=0) is Retry.FREE


def test_request_that_keeps_failing_is_given_up():
    results = [decide_retry(AttemptResult.FAILED, True, failures) for failures in (1, 2, 3)]
    assert results == [Retry.CHARGED, Retry.CHARGED, Retry.NEVER]


def test_budget_is_a_tenth_of_the_requests_beyond_its_floor():
    budget = RetryBudget(10)
    while budget.take("c", 0):
        pass
    for _ in range(50):
        budget.count_request("c")
    assert sum(budget.take("c", 0) for _ in range(50)) in (4, 5)


def test_one_customer_does_not_use_up_the_budget_of_another():
    budget = RetryBudget(10)
    taken = sum(budget.take("a", 0) for _ in range(100))
    assert taken <= 10
    assert not budget.take("a", 0)
