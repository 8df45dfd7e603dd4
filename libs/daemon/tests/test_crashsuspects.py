"""Guards against a request that crashes one upstream after another."""

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
from skylarkmoor_daemon.crashsuspects import CrashSuspects
from skylarkmoor_policy.requests import AttemptEnd, AttemptResult, Request

_CRASHING_PROMPT = "poison answer_tokens=20"


@pytest_twisted.async_yield_fixture
async def cluster(world, assistant, monkeypatch):
    """Two daemons in front of five engines that crash on the word `poison` in a prompt."""
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
async def test_request_is_quarantined_on_all_daemons_after_two_crashes(cluster):
    first = await cluster.chat("entry-1", _CRASHING_PROMPT)
    assert first.error() == ("quarantined", "unknown")
    assert len(cluster.crashes) == 2
    for name in ("entry-1", "entry-2"):
        assert (await cluster.chat(name, _CRASHING_PROMPT)).error() == ("quarantined", "not_run")
    assert len(cluster.crashes) == 2


@pytest_twisted.ensureDeferred
async def test_concurrent_copies_crash_no_more_than_two_upstreams(cluster):
    from twisted.internet.defer import ensureDeferred

    copies = [
        ensureDeferred(cluster.chat(f"entry-{1 + i % 2}", _CRASHING_PROMPT)) for i in range(2)
    ]
    assert [(await copy).error()[0] for copy in copies] == ["quarantined"] * 2
    assert len(cluster.crashes) == 2


@pytest_twisted.ensureDeferred
async def test_requests_in_flight_beside_the_cause_complete_and_are_cleared(cluster):
    from twisted.internet.defer import ensureDeferred

    others = [
        ensureDeferred(cluster.chat("entry-1", f"note {i} answer_tokens=60")) for i in range(10)
    ]
    await cluster.until(lambda: sum(len(e.running) for e in cluster.engines.values()) == 10)
    assert (await cluster.chat("entry-1", _CRASHING_PROMPT)).error()[0] == "quarantined"
    assert [(await other).status for other in others] == [200] * 10
    for i in range(10):
        assert (await cluster.chat("entry-2", f"note {i} answer_tokens=60")).status == 200
    assert len(cluster.crashes) == 2


class _LocalSharedState:
    """Shared state of a daemon without peers; applies facts immediately."""

    def __init__(self):
        self.suspects = None

    def publish_facts(self, facts, *, at_once=False):
        self.suspects.apply_facts(facts)


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


def test_suspect_avoids_a_crashed_upstream_until_its_attempts_have_ended():
    """A suspect must not start on an upstream while attempts of a crash there are still ending.

    If it did, it would count as in flight at that crash and be quarantined.
    """
    clock, shared = ManualClock(now_ms=1_000), _LocalSharedState()
    suspects = CrashSuspects(HostId("entry-1"), shared, clock)
    shared.suspects = suspects
    waiting, cause, first, second = (_request(number) for number in range(1, 5))
    one, two = UpstreamId("u1"), UpstreamId("u2")
    for request in (waiting, cause):
        suspects.attempt_started(request, one)
    for request in (waiting, cause):
        suspects.attempt_ended(request, _end(request, one, AttemptResult.CRASHED), Incarnation(1))
    clock.advance(250)
    for request in (cause, first, second):
        suspects.attempt_started(request, two)
    suspects.attempt_ended(first, _end(first, two, AttemptResult.CRASHED), Incarnation(2))
    suspects.attempt_ended(cause, _end(cause, two, AttemptResult.ABANDONED), Incarnation(2))
    assert suspects.is_quarantined(cause.fingerprint)
    assert suspects.is_blocked(waiting, two, [one, two])
    assert not suspects.is_blocked(waiting, UpstreamId("u3"), [one, two, UpstreamId("u3")])
    clock.advance(1_000)
    assert not suspects.is_blocked(waiting, two, [one, two])
