"""Tests that a claim requester dispatches a call at most once and reports true outcomes."""

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
from skylarkmoor_policy.claimrequester import (
    DISPATCH_LIMIT_MS,
    AnswerCaller,
    ClaimRequester,
    ClaimState,
    DispatchCall,
    QueryOutcome,
    SendClaimRequest,
    SendReleaseRequest,
)

REQUEST = ClaimRequest("a", 1, 11, 0)
WON_RESULT = ClaimResult("a", ClaimStatus.WON)
HELD_RESULT = ClaimResult("a", ClaimStatus.HELD, "b", "h2", 7, 11)
RELEASE = SendReleaseRequest(ReleaseRequest("a", 1))
QUERY = OutcomeQuery("a", 5)


def make_holder(*results, deadline_ms=60_000):
    holder = ClaimRequester(REQUEST, 0, deadline_ms)
    for result in results:
        holder.handle_result(result, 0)
    return holder


def dispatched_holder():
    holder = make_holder(WON_RESULT)
    holder.dispatch(0)
    return holder


def test_winner_dispatches_once():
    holder = make_holder(WON_RESULT)
    assert holder.dispatch(1) == [DispatchCall()]
    assert holder.dispatch(1) == []
    assert holder.finish(200, b"ok") == [AnswerCaller(Outcome.RAN, None, 200, b"ok")]
    assert holder.dispatch(2) == []
    assert holder.state is ClaimState.DONE


def test_nothing_is_dispatched_before_the_claim_is_won():
    assert make_holder().dispatch(1) == []


@pytest.mark.parametrize(
    ("deadline_ms", "now_ms", "code"),
    [
        (60_000, DISPATCH_LIMIT_MS, ErrorCode.OVERLOADED),
        (1_000, 1_000, ErrorCode.DEADLINE_PASSED),
    ],
)
def test_holder_paused_past_dispatch_limit_does_not_dispatch(deadline_ms, now_ms, code):
    holder = make_holder(WON_RESULT, deadline_ms=deadline_ms)
    assert holder.dispatch(now_ms) == [AnswerCaller(Outcome.NOT_RUN, code), RELEASE]
    assert holder.dispatch(0) == []


def test_holder_paused_past_claim_validity_answers_unknown():
    holder = make_holder(WON_RESULT)
    assert holder.tick(10**6)[0].outcome is Outcome.UNKNOWN


def test_claim_won_after_dispatch_limit_is_given_up():
    holder = make_holder()
    assert holder.handle_result(WON_RESULT, 10**6) == [
        AnswerCaller(Outcome.UNKNOWN, ErrorCode.DEADLINE_PASSED),
        RELEASE,
        RELEASE,
    ]
    assert holder.dispatch(0) == []


def test_refused_call_is_answered_before_release_is_requested():
    holder = make_holder(WON_RESULT)
    decisions = holder.refuse(ErrorCode.OVERLOADED, 1)
    assert decisions == [AnswerCaller(Outcome.NOT_RUN, ErrorCode.OVERLOADED), RELEASE]
    assert holder.dispatch(1) == []


def test_another_upstream_may_be_tried_when_nothing_was_sent():
    holder = dispatched_holder()
    holder.nothing_sent()
    assert holder.dispatch(1) == [DispatchCall()]


def test_failure_after_first_byte_is_unknown_and_never_released():
    holder = dispatched_holder()
    assert holder.fail() == [AnswerCaller(Outcome.UNKNOWN, ErrorCode.UPSTREAM_FAILED)]
    late_decisions = [
        *holder.refuse(ErrorCode.OVERLOADED, 1),
        *holder.tick(10**6),
        *holder.handle_result(WON_RESULT, 2),
    ]
    assert late_decisions == []


def test_log_outage_answers_unknown_and_releases_the_claim():
    holder = make_holder()
    log_down = ClaimResult("a", ClaimStatus.LOG_DOWN)
    assert holder.handle_result(log_down, 1) == [
        AnswerCaller(Outcome.UNKNOWN, ErrorCode.LOG_UNAVAILABLE),
        RELEASE,
    ]
    assert holder.handle_result(WON_RESULT, 2) == [RELEASE]
    assert holder.dispatch(2) == []


def test_log_down_answer_after_win_is_ignored():
    holder = make_holder(WON_RESULT)
    assert holder.handle_result(ClaimResult("a", ClaimStatus.LOG_DOWN), 1) == []
    assert holder.dispatch(1) == [DispatchCall()]


def test_unanswered_claim_request_is_repeated_with_the_same_id():
    holder = make_holder()
    assert holder.tick(499) == []
    assert holder.tick(500) == [SendClaimRequest(REQUEST)]


def test_request_is_repeated_soon_after_not_owner():
    holder = make_holder(ClaimResult("a", ClaimStatus.NOT_OWNER))
    assert holder.tick(99) == []
    assert holder.tick(100) == [SendClaimRequest(REQUEST)]


def test_lost_release_request_is_repeated():
    holder = make_holder(WON_RESULT)
    holder.refuse(ErrorCode.OVERLOADED, 1)
    assert holder.tick(600) == [RELEASE]
    assert not holder.settled


def test_different_body_with_the_same_key_is_refused():
    holder = ClaimRequester(ClaimRequest("a", 1, 99, 0), 0, 60_000)
    assert holder.handle_result(HELD_RESULT, 1) == [
        AnswerCaller(Outcome.NOT_RUN, ErrorCode.KEY_REUSED)
    ]


def test_duplicate_gets_the_outcome_of_the_call_that_holds_the_key():
    holder = ClaimRequester(REQUEST, 0, 60_000)
    query = QueryOutcome("h2", 7, "b")
    assert holder.handle_result(HELD_RESULT, 1) == [query]
    assert holder.handle_outcome(OutcomeAnswer("b", 1, False, Outcome.UNKNOWN, 0, b"")) == []
    assert holder.tick(600) == [query]
    assert holder.handle_outcome(OutcomeAnswer("b", 1, True, Outcome.RAN, 200, b"ok")) == [
        AnswerCaller(Outcome.RAN, None, 200, b"ok")
    ]
    assert holder.dispatch(601) == []


def test_repeated_held_result_does_not_stop_the_queries():
    holder = make_holder(HELD_RESULT, HELD_RESULT)
    assert holder.tick(600) == [QueryOutcome("h2", 7, "b")]


def test_duplicate_answers_unknown_when_the_holder_did_not_run():
    holder = make_holder(HELD_RESULT)
    (answer,) = holder.handle_outcome(OutcomeAnswer("b", 1, True, Outcome.NOT_RUN, 0, b""))
    assert answer.outcome is Outcome.UNKNOWN


def test_duplicate_answers_unknown_when_the_holder_is_gone():
    assert make_holder(HELD_RESULT).handle_holder_ended()[0].outcome is Outcome.UNKNOWN


def test_claim_that_is_won_after_it_was_lost_is_released():
    assert make_holder(HELD_RESULT).handle_result(WON_RESULT, 1) == [RELEASE]


def test_query_is_answered_at_once_and_again_when_the_call_ends():
    holder = dispatched_holder()
    (first_reply,) = holder.handle_query("h2", QUERY)
    assert not first_reply.message.done
    assert holder.finish(200, b"ok") == [
        AnswerCaller(Outcome.RAN, None, 200, b"ok"),
        Send("h2", OutcomeAnswer("a", 5, True, Outcome.RAN, 200, b"ok")),
    ]
    assert holder.handle_query("h3", QUERY)[0].message.body == b"ok"


def test_query_after_release_repeats_the_release_request():
    holder = make_holder(WON_RESULT)
    holder.refuse(ErrorCode.OVERLOADED, 1)
    assert holder.handle_query("h2", QUERY)[1] == RELEASE


def test_decisions_are_not_shared_between_calls():
    holder = make_holder()
    holder.dispatch(1).append("changed by the caller")
    assert holder.dispatch(1) == []
