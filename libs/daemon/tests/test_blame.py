"""Guards upstreams against requests that crash each one that runs them."""

import pytest_twisted

from skylarkmoor_core.clock import ManualClock
from skylarkmoor_core.ids import (
    AttemptId,
    CustomerId,
    Fingerprint,
    HostId,
    Incarnation,
    RequestId,
    RouteName,
    TierRank,
    UpstreamId,
    VersionId,
)
from skylarkmoor_daemon.blame import Blame
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request

_POISON = "poison answer_tokens=20"


@pytest_twisted.async_yield_fixture
async def served(world, assistant, monkeypatch):
    """Two daemons before five engines that crash on a word of the prompt."""
    world.crash_engines(monkeypatch)
    for i in range(5):
        world.engine(f"engine-{i}", decode_ms=5.0)
        world.set_faults(f"engine-{i}", crash_on="poison")
    world.publish(assistant)
    for name in ("entry-1", "entry-2"):
        world.daemon(name)
    await world.ready()
    yield world


@pytest_twisted.ensureDeferred
async def test_request_is_stopped_after_two_crashes_on_all_daemons(served):
    first = await served.chat("entry-1", _POISON)
    assert first.error() == ("quarantined", "unknown")
    assert len(served.crashes) == 2
    for name in ("entry-1", "entry-2"):
        assert (await served.chat(name, _POISON)).error() == ("quarantined", "not_run")
    assert len(served.crashes) == 2


@pytest_twisted.ensureDeferred
async def test_copies_sent_at_once_crash_no_more_than_two_upstreams(served):
    from twisted.internet.defer import ensureDeferred

    copies = [ensureDeferred(served.chat(f"entry-{1 + i % 2}", _POISON)) for i in range(2)]
    assert [(await copy).error()[0] for copy in copies] == ["quarantined"] * 2
    assert len(served.crashes) == 2


@pytest_twisted.ensureDeferred
async def test_requests_beside_the_crash_complete_and_are_cleared(served):
    from twisted.internet.defer import ensureDeferred

    others = [
        ensureDeferred(served.chat("entry-1", f"note {i} answer_tokens=60")) for i in range(10)
    ]
    await served.until(lambda: sum(len(e.running) for e in served.engines.values()) == 10)
    assert (await served.chat("entry-1", _POISON)).error()[0] == "quarantined"
    assert [(await other).status for other in others] == [200] * 10
    for i in range(10):
        assert (await served.chat("entry-2", f"note {i} answer_tokens=60")).status == 200
    assert len(served.crashes) == 2


class _OwnFacts:
    """Shared state of a daemon without peers: facts come back to the table at once."""

    def __init__(self):
        self.blame = None

    def put_all(self, facts, *, at_once=False):
        self.blame.apply(facts)


def _request(number):
    return Request(
        RequestId(f"r{number}"),
        CustomerId("c"),
        RouteName("chat"),
        TierRank(0),
        Fingerprint(number),
        arrived_ms=0,
        deadline_ms=10_000,
    )


def _end(request, upstream, result):
    return AttemptEnd(
        request.request, AttemptId(f"{request.request}.1"), upstream, VersionId("v1"), result
    )


def test_suspect_stays_away_from_a_crashed_upstream_whose_attempts_are_still_ending():
    """Started between two ends of one crash, it counted as in flight there and was refused."""
    clock, shared = ManualClock(now_ms=1_000), _OwnFacts()
    blame = Blame(HostId("entry-1"), shared, clock)
    shared.blame = blame
    waiting, cause, first, second = (_request(number) for number in range(1, 5))
    one, two = UpstreamId("u1"), UpstreamId("u2")
    for request in (waiting, cause):
        blame.started(request, one)
    for request in (waiting, cause):
        blame.ended(request, _end(request, one, AttemptResult.CRASHED), Incarnation(1))
    clock.advance(250)
    for request in (cause, first, second):
        blame.started(request, two)
    blame.ended(first, _end(first, two, AttemptResult.CRASHED), Incarnation(2))
    blame.ended(cause, _end(cause, two, AttemptResult.ABANDONED), Incarnation(2))
    assert blame.is_quarantined(cause.fingerprint)
    assert blame.is_blocked(waiting, two, [one, two])
    assert not blame.is_blocked(waiting, UpstreamId("u3"), [one, two, UpstreamId("u3")])
    clock.advance(1_000)
    assert not blame.is_blocked(waiting, two, [one, two])
