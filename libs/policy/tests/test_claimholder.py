"""Guards at most one dispatch and truthful outcomes at the daemon that holds a claim."""

import pytest

from skylarkmoor_core.messages import (
    ClaimRequest,
    ClaimResult,
    ClaimStatus,
    OutcomeAnswer,
    OutcomeQuery,
    ReleaseRequest,
)
from skylarkmoor_core.outcome import ErrorCode, Outcome
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.claimholder import (
    DISPATCH_LIMIT_MS,
    Answer,
    AskOwner,
    AskRelease,
    ClaimHolder,
    ClaimState,
    Go,
    QueryHolder,
)

REQUEST = ClaimRequest("a", 1, 11, 0)
WON = ClaimResult("a", ClaimStatus.WON)
HELD = ClaimResult("a", ClaimStatus.HELD, "b", "h2", 7, 11)
RELEASE = AskRelease(ReleaseRequest("a", 1))
QUERY = OutcomeQuery("a", 5)


def holder(*results, deadline_ms=60_000):
    held = ClaimHolder(REQUEST, 0, deadline_ms)
    for result in results:
        held.result(result, 0)
    return held


def dispatched():
    held = holder(WON)
    held.dispatch(0)
    return held


def test_winner_dispatches_once():
    held = holder(WON)
    assert held.dispatch(1) == [Go()]
    assert held.dispatch(1) == []
    assert held.finish(200, b"ok") == [Answer(Outcome.RAN, None, 200, b"ok")]
    assert held.dispatch(2) == []
    assert held.state is ClaimState.DONE


def test_nothing_is_dispatched_before_the_claim_is_won():
    assert holder().dispatch(1) == []


@pytest.mark.parametrize(
    ("deadline_ms", "now_ms", "code"),
    [
        (60_000, DISPATCH_LIMIT_MS, ErrorCode.OVERLOADED),
        (1_000, 1_000, ErrorCode.DEADLINE_PASSED),
    ],
)
def test_holder_paused_past_a_limit_does_not_dispatch(deadline_ms, now_ms, code):
    held = holder(WON, deadline_ms=deadline_ms)
    assert held.dispatch(now_ms) == [Answer(Outcome.NOT_RUN, code), RELEASE]
    assert held.dispatch(0) == []


def test_holder_paused_past_the_window_proves_nothing():
    held = holder(WON)
    assert held.tick(10**6)[0].outcome is Outcome.UNKNOWN


def test_claim_won_after_the_limit_proves_nothing():
    held = holder()
    assert held.result(WON, 10**6) == [
        Answer(Outcome.UNKNOWN, ErrorCode.DEADLINE_PASSED),
        RELEASE,
        RELEASE,
    ]
    assert held.dispatch(0) == []


def test_refused_winner_answers_before_it_asks_for_the_release():
    held = holder(WON)
    decisions = held.refuse(ErrorCode.OVERLOADED, 1)
    assert decisions == [Answer(Outcome.NOT_RUN, ErrorCode.OVERLOADED), RELEASE]
    assert held.dispatch(1) == []


def test_other_upstream_may_be_tried_when_nothing_was_sent():
    held = dispatched()
    held.nothing_sent()
    assert held.dispatch(1) == [Go()]


def test_failure_after_a_byte_is_unknown_and_never_released():
    held = dispatched()
    assert held.fail() == [Answer(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED)]
    late = [*held.refuse(ErrorCode.OVERLOADED, 1), *held.tick(10**6), *held.result(WON, 2)]
    assert late == []


def test_log_outage_leaves_the_outcome_open_and_the_claim_released():
    held = holder()
    log_down = ClaimResult("a", ClaimStatus.LOG_DOWN)
    assert held.result(log_down, 1) == [
        Answer(Outcome.UNKNOWN, ErrorCode.LOG_UNAVAILABLE),
        RELEASE,
    ]
    assert held.result(WON, 2) == [RELEASE]
    assert held.dispatch(2) == []


def test_outage_answer_after_the_win_changes_nothing():
    held = holder(WON)
    assert held.result(ClaimResult("a", ClaimStatus.LOG_DOWN), 1) == []
    assert held.dispatch(1) == [Go()]


def test_unanswered_request_is_asked_again_with_the_same_claim():
    held = holder()
    assert held.tick(499) == []
    assert held.tick(500) == [AskOwner(REQUEST)]


def test_other_owner_is_asked_soon_after_a_daemon_that_is_not_the_owner():
    held = holder(ClaimResult("a", ClaimStatus.NOT_OWNER))
    assert held.tick(99) == []
    assert held.tick(100) == [AskOwner(REQUEST)]


def test_lost_release_request_is_repeated():
    held = holder(WON)
    held.refuse(ErrorCode.OVERLOADED, 1)
    assert held.tick(600) == [RELEASE]
    assert not held.settled


def test_other_body_under_the_same_key_is_refused():
    held = ClaimHolder(ClaimRequest("a", 1, 99, 0), 0, 60_000)
    assert held.result(HELD, 1) == [Answer(Outcome.NOT_RUN, ErrorCode.KEY_REUSED)]


def test_resend_joins_the_call_that_holds_the_key():
    held = ClaimHolder(REQUEST, 0, 60_000)
    query = QueryHolder("h2", 7, "b")
    assert held.result(HELD, 1) == [query]
    assert held.learn(OutcomeAnswer("b", 1, False, Outcome.UNKNOWN, 0, b"")) == []
    assert held.tick(600) == [query]
    assert held.learn(OutcomeAnswer("b", 1, True, Outcome.RAN, 200, b"ok")) == [
        Answer(Outcome.RAN, None, 200, b"ok")
    ]
    assert held.dispatch(601) == []


def test_repeated_answer_of_the_owner_does_not_stop_the_queries():
    held = holder(HELD, HELD)
    assert held.tick(600) == [QueryHolder("h2", 7, "b")]


def test_resend_does_not_pass_on_that_the_holder_did_not_run():
    held = holder(HELD)
    (answer,) = held.learn(OutcomeAnswer("b", 1, True, Outcome.NOT_RUN, 0, b""))
    assert answer.outcome is Outcome.UNKNOWN


def test_resend_is_unknown_when_the_holder_is_gone():
    assert holder(HELD).holder_gone()[0].outcome is Outcome.UNKNOWN


def test_claim_that_is_won_after_it_was_lost_is_released():
    assert holder(HELD).result(WON, 1) == [RELEASE]


def test_query_is_answered_at_once_and_again_at_the_end():
    held = dispatched()
    (now,) = held.query("h2", QUERY)
    assert not now.message.done
    assert held.finish(200, b"ok") == [
        Answer(Outcome.RAN, None, 200, b"ok"),
        Send("h2", OutcomeAnswer("a", 5, True, Outcome.RAN, 200, b"ok")),
    ]
    assert held.query("h3", QUERY)[0].message.body == b"ok"


def test_query_after_the_release_repeats_its_request():
    held = holder(WON)
    held.refuse(ErrorCode.OVERLOADED, 1)
    assert held.query("h2", QUERY)[1] == RELEASE


def test_decisions_are_not_shared_between_calls():
    held = holder()
    held.dispatch(1).append("changed by the caller")
    assert held.dispatch(1) == []
