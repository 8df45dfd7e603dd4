"""Guards against requests held until their callers disconnect, and premature retries."""

import pytest

from skylarkmoor_policy.callertimeouts import (
    latest_start_ms,
    patience_ms,
    queue_deadline_ms,
    retry_after_ms,
    return_after_ms,
    stall_timeout_ms,
)
from skylarkmoor_policy.routetable import RetrySafety, Route


def route(retry_safety=RetrySafety.STREAM, *, goal_ms=400, max_event_gap_ms=0, timeout_ms=12_000):
    return Route(
        "r",
        "h",
        "/",
        retry_safety,
        timeout_ms,
        goal_ms,
        0,
        (("s", 1),),
        1,
        max_event_gap_ms=max_event_gap_ms,
    )


@pytest.mark.parametrize(
    ("tested_route", "expected_ms"),
    [
        (route(goal_ms=100), 2_000),
        (route(goal_ms=1_000), 4_000),
        (route(goal_ms=400, max_event_gap_ms=400), 3_200),
        (route(RetrySafety.SAFE, timeout_ms=800), 800),
    ],
)
def test_patience_is_the_longest_that_applies(tested_route, expected_ms):
    assert patience_ms(tested_route) == expected_ms


def test_long_prompts_have_to_start_earlier():
    assert latest_start_ms(route(), 1_000, 0) == 1_240
    assert latest_start_ms(route(), 1_000, 4_000) == 1_140


def test_a_request_is_given_up_while_its_caller_can_come_back():
    assert queue_deadline_ms(route(), 0, 0, 12_000, has_run=False) == 700


def test_a_request_with_little_time_left_is_given_up_sooner():
    """Retrying callers with half a second left were held until they disconnected."""
    assert queue_deadline_ms(route(), 0, 0, 500, has_run=False) == 200


def test_the_wait_restarts_for_a_request_that_has_run():
    """Otherwise a stream that broke after a long time could not wait for a slot to resume."""
    assert queue_deadline_ms(route(), 0, 5_000, 12_000, has_run=True) == 5_700
    assert queue_deadline_ms(route(), 0, 5_000, 12_000, has_run=False) == 700


def test_the_stall_timeout_grows_with_the_predicted_time():
    """A fixed timeout would retry long prompts at upstreams that are working on them."""
    assert stall_timeout_ms(route(), predicted_ms=100) == 1_000
    assert stall_timeout_ms(route(), predicted_ms=900) == 2_700


def test_retry_after_stays_within_what_callers_honour():
    assert retry_after_ms(5_000, 1_000) == 300
    assert retry_after_ms(1, 10_000) == 100
    assert retry_after_ms(None, 10_000) == 3_000
    assert retry_after_ms(400, -5) == 0


def test_callers_that_are_refused_together_return_apart_when_a_slot_is_free():
    assert [return_after_ms(800, 12_000, spread) for spread in (0, 0.5, 1)] == [800, 900, 1_000]
    # At most a third of the time that the caller has left.
    assert [return_after_ms(9_000, 3_000, spread) for spread in (0, 1)] == [720, 900]
    assert return_after_ms(800, -1, 0.5) == 0
