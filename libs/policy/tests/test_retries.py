"""Guards against executing a request twice and against retry storms."""

import pytest

from skylarkmoor_policy.requests import AttemptResult
from skylarkmoor_policy.retries import RetryAllowance, RetryBudget, decide_retry


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
def test_non_idempotent_request_that_may_have_run_is_not_retried(result):
    assert decide_retry(result, idempotent=False, failures=1) is RetryAllowance.NEVER


@pytest.mark.parametrize("result", [AttemptResult.NOT_STARTED, AttemptResult.LEAVING])
def test_non_idempotent_request_that_did_not_run_is_retried(result):
    assert decide_retry(result, idempotent=False, failures=0) is RetryAllowance.FREE


def test_request_is_not_retried_after_its_third_failure():
    results = [decide_retry(AttemptResult.FAILED, True, failures) for failures in (1, 2, 3)]
    assert results == [RetryAllowance.CHARGED, RetryAllowance.CHARGED, RetryAllowance.NEVER]


def test_budget_is_a_tenth_of_the_requests_beyond_its_initial_burst():
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
