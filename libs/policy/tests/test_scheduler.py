"""Guards the scheduler's answers to single events against lost and misdirected requests."""

import random

from skylarkmoor_core.document import Customer, Route, ServiceDocument, ServiceKind, Tier
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
from skylarkmoor_policy.actions import Dispatch, Refuse
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request, UpstreamInfo
from skylarkmoor_policy.scheduler import Scheduler

HOST = HostId("a")
ONE = UpstreamId("u1")
TWO = UpstreamId("u2")


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


def _end(dispatch: Dispatch, result: AttemptResult) -> AttemptEnd:
    return AttemptEnd(
        dispatch.request, dispatch.attempt, dispatch.upstream, dispatch.version, result
    )


def _dispatches(actions) -> list[Dispatch]:
    return [action for action in actions if isinstance(action, Dispatch)]


def test_request_runs_where_there_is_room():
    scheduler = _scheduler(ONE)
    actions = scheduler.submit(_request("r1"), 0)
    assert _dispatches(actions) == [Dispatch("r1", "r1.1", ONE, "v1")]
    assert scheduler.status().running == (1, 0, 0)


def test_request_without_upstream_is_refused_at_its_deadline():
    scheduler = _scheduler()
    assert scheduler.submit(_request("r1"), 0) == []
    [refusal] = scheduler.tick(1_000)
    assert isinstance(refusal, Refuse)
    assert refusal.code is ErrorCode.DEADLINE_PASSED


def test_call_that_may_have_run_is_not_retried():
    scheduler = _scheduler(ONE, TWO)
    [dispatch] = _dispatches(scheduler.submit(_request("r1", idempotent=False), 0))
    actions = scheduler.attempt_ended(_end(dispatch, AttemptResult.CRASHED), 5)
    assert [type(action) for action in actions] == [Refuse]
    assert actions[0].code is ErrorCode.UPSTREAM_FAILED


def test_call_that_did_not_start_goes_to_another_upstream():
    scheduler = _scheduler(ONE, TWO)
    [first] = _dispatches(scheduler.submit(_request("r1", idempotent=False), 0))
    actions = scheduler.attempt_ended(_end(first, AttemptResult.NOT_STARTED), 5)
    [second] = _dispatches(actions)
    assert second.upstream != first.upstream
    assert second.attempt == "r1.2"


def test_leaving_upstream_gets_no_new_work():
    scheduler = _scheduler(ONE, TWO)
    scheduler.mark_leaving(ONE)
    used = {_dispatches(scheduler.submit(_request(f"r{i}"), 0))[0].upstream for i in range(8)}
    assert used == {TWO}
