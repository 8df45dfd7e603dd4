"""Guards the scheduler of a single daemon against lost and misdirected requests."""

import random
from dataclasses import replace

import pytest

from skylarkmoor_core.document import Customer, Limits, Route, ServiceDocument, ServiceKind, Tier
from skylarkmoor_core.ids import (
    CustomerId,
    FailureDomain,
    Fingerprint,
    HostId,
    RequestId,
    RouteName,
    ServiceName,
    TierRank,
    UpstreamId,
    VersionId,
)
from skylarkmoor_core.outcome import ErrorCode
from skylarkmoor_policy.actions import Dispatch, Preempt, Refuse
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, LoadReport, Request, UpstreamInfo
from skylarkmoor_policy.scheduler import Scheduler

HOST = HostId("a")
UPSTREAM_1 = UpstreamId("u1")
UPSTREAM_2 = UpstreamId("u2")


def _document(**changes) -> ServiceDocument:
    fields = {
        "service": ServiceName("orders"),
        "kind": ServiceKind.PLAIN,
        "tiers": tuple(Tier(name=f"t{i}", rank=TierRank(i)) for i in range(3)),
        "routes": (Route(name=RouteName("r"), tier="t0"),),
        "customers": (Customer(name=CustomerId("c")),),
        "version": VersionId("v1"),
    }
    return ServiceDocument(**(fields | changes))


def _scheduler(*upstreams: UpstreamId, **changes) -> Scheduler:
    scheduler = Scheduler(HOST, _document(**changes), random.Random(1))
    scheduler.set_members({HOST: FailureDomain("d")})
    scheduler.set_upstreams(
        [UpstreamInfo(each, ServiceName("orders"), FailureDomain("d")) for each in upstreams]
    )
    return scheduler


def _request(name: str, tier: int = 0, deadline_ms: int = 1_000, **changes) -> Request:
    return Request(
        RequestId(name),
        CustomerId("c"),
        RouteName("r"),
        TierRank(tier),
        Fingerprint(0),
        0,
        deadline_ms,
        **changes,
    )


def _attempt_end(dispatch: Dispatch, result: AttemptResult) -> AttemptEnd:
    return AttemptEnd(
        dispatch.request, dispatch.attempt, dispatch.upstream, dispatch.version, result
    )


def _dispatches(actions) -> list[Dispatch]:
    return [action for action in actions if isinstance(action, Dispatch)]


def test_request_is_dispatched_to_an_upstream_with_room():
    scheduler = _scheduler(UPSTREAM_1)
    actions = scheduler.submit(_request("r1"), 0)
    assert _dispatches(actions) == [Dispatch("r1", "r1.1", UPSTREAM_1, "v1")]
    assert scheduler.status().running == (1, 0, 0)


def test_request_without_upstream_is_refused_at_its_deadline():
    scheduler = _scheduler()
    assert scheduler.submit(_request("r1"), 0) == []
    [refusal] = scheduler.tick(1_000)
    assert isinstance(refusal, Refuse)
    assert refusal.code is ErrorCode.DEADLINE_PASSED


def test_non_idempotent_request_is_not_retried_after_a_crash():
    scheduler = _scheduler(UPSTREAM_1, UPSTREAM_2)
    [dispatch] = _dispatches(scheduler.submit(_request("r1", idempotent=False), 0))
    actions = scheduler.record_attempt_end(_attempt_end(dispatch, AttemptResult.CRASHED), 5)
    assert [type(action) for action in actions] == [Refuse]
    assert actions[0].code is ErrorCode.UPSTREAM_FAILED


def test_non_idempotent_request_that_did_not_start_goes_to_another_upstream():
    scheduler = _scheduler(UPSTREAM_1, UPSTREAM_2)
    [first] = _dispatches(scheduler.submit(_request("r1", idempotent=False), 0))
    actions = scheduler.record_attempt_end(_attempt_end(first, AttemptResult.NOT_STARTED), 5)
    [second] = _dispatches(actions)
    assert second.upstream != first.upstream
    assert second.attempt == "r1.2"


def test_leaving_upstream_gets_no_new_work():
    scheduler = _scheduler(UPSTREAM_1, UPSTREAM_2)
    scheduler.mark_leaving(UPSTREAM_1)
    used = {_dispatches(scheduler.submit(_request(f"r{i}"), 0))[0].upstream for i in range(8)}
    assert used == {UPSTREAM_2}


def _submit_many(scheduler: Scheduler, count: int, tier: int, now_ms: int = 0) -> list[Dispatch]:
    actions = []
    for i in range(count):
        actions += scheduler.submit(_request(f"fill{tier}-{i}", tier, 60_000), now_ms)
    return _dispatches(actions)


def _error_codes(actions) -> list[ErrorCode]:
    return [action.code for action in actions if isinstance(action, Refuse)]


def _report(upstream: UpstreamId, max_batch: int = 16, **changes) -> LoadReport:
    fields = {
        "incarnation": 1,
        "as_of_ms": 0,
        "running": 0,
        "waiting": 0,
        "kv_used_tokens": 0,
        "kv_capacity_tokens": 0,
        "versions": ("v1",),
    }
    return LoadReport(upstream, max_batch=max_batch, **(fields | changes))


def test_resumed_attempt_starts_after_the_tokens_already_sent():
    scheduler = _scheduler(UPSTREAM_1, UPSTREAM_2)
    [first] = _dispatches(scheduler.submit(_request("r1"), 0))
    scheduler.record_attempt_progress(first.attempt, 7, 10)
    [second] = _dispatches(
        scheduler.record_attempt_end(_attempt_end(first, AttemptResult.CRASHED), 20)
    )
    assert second.start_position == 7


def test_late_end_of_an_earlier_attempt_is_ignored():
    scheduler = _scheduler(UPSTREAM_1, UPSTREAM_2)
    [first] = _dispatches(scheduler.submit(_request("r1"), 0))
    scheduler.record_attempt_end(_attempt_end(first, AttemptResult.CRASHED), 5)
    assert scheduler.record_attempt_end(_attempt_end(first, AttemptResult.COMPLETED), 6) == []
    assert scheduler.status().running == (1, 0, 0)


def test_cancelled_request_is_not_queued_again():
    scheduler = _scheduler(UPSTREAM_1)
    [dispatch] = _dispatches(scheduler.submit(_request("r1"), 0))
    assert scheduler.cancel("r1", 5) == [Preempt(dispatch.attempt, UPSTREAM_1)]
    scheduler.record_attempt_end(_attempt_end(dispatch, AttemptResult.PREEMPTED), 6)
    assert scheduler.tick(20) == []
    assert scheduler.status().running == scheduler.status().waiting == (0, 0, 0)


def test_running_request_is_refused_and_stopped_at_its_deadline():
    scheduler = _scheduler(UPSTREAM_1)
    scheduler.submit(_request("r1"), 0)
    actions = scheduler.tick(1_000)
    assert _error_codes(actions) == [ErrorCode.DEADLINE_PASSED]
    assert any(isinstance(action, Preempt) for action in actions)


def test_running_non_idempotent_request_continues_past_its_deadline():
    scheduler = _scheduler(UPSTREAM_1)
    [dispatch] = _dispatches(scheduler.submit(_request("r1", idempotent=False), 0))
    assert _error_codes(scheduler.tick(1_000)) == []
    scheduler.record_attempt_end(_attempt_end(dispatch, AttemptResult.COMPLETED), 1_100)
    assert scheduler.status().running == (0, 0, 0)


def test_preempted_attempt_without_a_reported_end_frees_its_capacity():
    scheduler = _scheduler(UPSTREAM_1)
    scheduler.record_load_report(_report(UPSTREAM_1, max_batch=1))
    scheduler.submit(_request("r1"), 0)
    scheduler.cancel("r1", 0)
    assert _dispatches(scheduler.submit(_request("r2", deadline_ms=60_000), 0)) == []
    assert _dispatches(scheduler.tick(6_000)) != []


def test_customer_over_its_rate_limit_is_refused_with_the_customer_limit_code():
    customer = Customer(name=CustomerId("c"), requests_per_s=1)
    scheduler = _scheduler(UPSTREAM_1, customers=(customer,))
    scheduler.submit(_request("r1"), 0)
    assert _error_codes(scheduler.submit(_request("r2"), 0)) == [ErrorCode.CUSTOMER_LIMIT]


def test_full_queue_sheds_the_lowest_tier_first():
    scheduler = _scheduler(limits=Limits(max_waiting=2))
    scheduler.submit(_request("low1", tier=2), 0)
    scheduler.submit(_request("low2", tier=2), 0)
    actions = scheduler.submit(_request("top", tier=0), 0)
    [refusal] = [action for action in actions if isinstance(action, Refuse)]
    assert refusal.request in ("low1", "low2")
    assert refusal.code is ErrorCode.OVERLOADED


def test_top_tier_may_exceed_the_queue_limit_while_lower_tiers_run():
    scheduler = _scheduler(UPSTREAM_1, limits=Limits(max_waiting=2))
    scheduler.record_load_report(_report(UPSTREAM_1, max_batch=1))
    _submit_many(scheduler, 1, tier=2)
    actions = []
    for i in range(4):
        actions += scheduler.submit(_request(f"top{i}", 0), 0)
    assert _error_codes(actions) == []


def test_blocked_upstream_is_avoided():
    scheduler = Scheduler(
        HOST,
        _document(),
        random.Random(1),
        blocked=lambda request, upstream: upstream == UPSTREAM_1,
    )
    scheduler.set_upstreams(
        [
            UpstreamInfo(each, ServiceName("orders"), FailureDomain("d"))
            for each in (UPSTREAM_1, UPSTREAM_2)
        ]
    )
    assert {dispatch.upstream for dispatch in _submit_many(scheduler, 8, 0)} == {UPSTREAM_2}


def test_request_waits_for_an_upstream_with_its_version():
    scheduler = _scheduler(UPSTREAM_1, version=VersionId("v2"))
    scheduler.record_load_report(_report(UPSTREAM_1))
    assert scheduler.submit(_request("r1"), 0) == []
    scheduler.record_load_report(_report(UPSTREAM_1, as_of_ms=10, versions=("v1", "v2")))
    [dispatch] = _dispatches(scheduler.tick(20))
    assert dispatch.version == "v2"


def test_restarted_upstream_is_no_longer_leaving():
    scheduler = _scheduler(UPSTREAM_1)
    scheduler.record_load_report(_report(UPSTREAM_1, leaving=True))
    assert _dispatches(scheduler.submit(_request("r1"), 0)) == []
    scheduler.record_load_report(_report(UPSTREAM_1, as_of_ms=10, incarnation=2))
    assert len(_dispatches(scheduler.tick(20))) == 1


def test_unreachable_upstream_is_not_retried_before_its_cooldown_ends():
    scheduler = _scheduler(UPSTREAM_1)
    [dispatch] = _dispatches(scheduler.submit(_request("r1"), 0))
    actions = scheduler.record_attempt_end(_attempt_end(dispatch, AttemptResult.NOT_STARTED), 1)
    assert _dispatches(actions) == []
    assert len(_dispatches(scheduler.tick(200))) == 1


def test_draining_daemon_refuses_new_requests_and_runs_waiting_ones():
    scheduler = _scheduler(UPSTREAM_1)
    scheduler.record_load_report(_report(UPSTREAM_1, max_batch=1))
    [running] = _submit_many(scheduler, 2, 0)
    scheduler.drain(10)
    assert _error_codes(scheduler.submit(_request("new"), 10)) == [ErrorCode.DRAINING]
    actions = scheduler.record_attempt_end(_attempt_end(running, AttemptResult.COMPLETED), 500)
    assert len(_dispatches(actions)) == 1


def _busy_engine() -> tuple[Scheduler, Dispatch]:
    """Return a scheduler whose engine is fully used, with a request waiting, and its dispatch."""
    scheduler = _scheduler(UPSTREAM_1, kind=ServiceKind.ENGINE)
    scheduler.record_load_report(_report(UPSTREAM_1, max_batch=1, kv_capacity_tokens=10_000))
    [running] = _submit_many(scheduler, 1, 1)
    scheduler.submit(_request("other", 2, 60_000), 0)
    return scheduler, running


@pytest.mark.parametrize(("tier", "refused"), [(2, True), (0, False)])
def test_only_the_lowest_tier_is_refused_for_a_deadline_it_cannot_meet(tier, refused):
    scheduler, running = _busy_engine()
    request = _request("late", tier, deadline_ms=1_000, max_output_tokens=1_000)
    assert _error_codes(scheduler.submit(request, 0)) == []
    end = replace(_attempt_end(running, AttemptResult.COMPLETED), position_tokens=1_000)
    actions = scheduler.record_attempt_end(end, 100)
    assert _error_codes(actions) == ([ErrorCode.OVERLOADED] if refused else [])


def test_idle_service_starts_a_request_that_would_miss_its_deadline():
    scheduler = _scheduler(UPSTREAM_1, kind=ServiceKind.ENGINE)
    request = _request("late", 2, deadline_ms=1_000, max_output_tokens=10_000)
    assert len(_dispatches(scheduler.submit(request, 0))) == 1


def test_waiting_request_runs_on_the_newly_chosen_version():
    wanted = [VersionId("v1")]
    scheduler = Scheduler(
        HOST, _document(), random.Random(1), choose_version=lambda request: wanted[0]
    )
    scheduler.submit(_request("r1"), 0)
    wanted[0] = VersionId("v2")
    scheduler.set_upstreams([UpstreamInfo(UPSTREAM_1, ServiceName("orders"), FailureDomain("d"))])
    [dispatch] = _dispatches(scheduler.tick(20))
    assert dispatch.version == "v2"


def test_preempted_request_counts_its_prefill_as_wasted():
    scheduler = _scheduler(UPSTREAM_1, kind=ServiceKind.ENGINE)
    [dispatch] = _dispatches(scheduler.submit(_request("r1", prompt_tokens=100), 0))
    scheduler.record_attempt_progress(dispatch.attempt, 1, 50)
    scheduler.record_attempt_end(_attempt_end(dispatch, AttemptResult.PREEMPTED), 60)
    assert scheduler.status().wasted_prefill_tokens == (100, 0, 0)


def test_preempted_request_returns_to_the_upstream_that_caches_its_prefill():
    scheduler = _scheduler(UPSTREAM_1, UPSTREAM_2, kind=ServiceKind.ENGINE)
    for i in range(10):
        [first] = _dispatches(scheduler.submit(_request(f"r{i}", prompt_tokens=1_000), 0))
        [again] = _dispatches(
            scheduler.record_attempt_end(_attempt_end(first, AttemptResult.PREEMPTED), 0)
        )
        assert again.upstream == first.upstream
        scheduler.record_attempt_end(_attempt_end(again, AttemptResult.COMPLETED), 0)


def test_tiers_added_by_a_new_document_are_usable():
    scheduler = _scheduler(UPSTREAM_1)
    tiers = tuple(Tier(name=f"t{i}", rank=TierRank(i)) for i in range(4))
    scheduler.set_document(_document(tiers=tiers))
    assert len(_dispatches(scheduler.submit(_request("r1", tier=3), 0))) == 1
    assert scheduler.status().running == (0, 0, 0, 1)
