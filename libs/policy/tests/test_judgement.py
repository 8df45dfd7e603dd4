"""Guards I4: bad versions are stopped within 50 failures, good ones complete on time."""

import random
from dataclasses import dataclass, replace

import msgspec
import pytest

from skylarkmoor_core.document import VersionMove
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_core.records import MoveResult
from skylarkmoor_policy.evidence import Evidence, EvidenceHistory
from skylarkmoor_policy.judgement import Continue, Finish, Raise, Stop, TakeBack, judge
from skylarkmoor_policy.movefollower import Progress, limited_share

PLAN = VersionMove(version="v2", by_ms=300_000, min_requests=20, step_ms=10_000)
ROUTES = ("answer", "draft", "sort")
WEIGHTS = (60, 30, 10)


@dataclass
class Kind:
    """What versions and load do, by time, route and version."""

    error_rate: object = lambda new, route, now_ms, load: 0.01
    slowdown: object = lambda new, route, now_ms, load: 1.0
    load: object = lambda now_ms: 1.0


def late(now_ms):
    return now_ms > 62_000


def burst(now_ms):
    return 2.5 if 40_000 < now_ms < 75_000 else 1.0


def late_burst(now_ms):
    return 2.5 if 75_000 < now_ms < 100_000 else 1.0


BAD = {
    "errors at once": Kind(lambda new, route, now_ms, load: 0.6 if new else 0.01),
    "some errors at once": Kind(lambda new, route, now_ms, load: 0.15 if new else 0.01),
    "errors later": Kind(lambda new, route, now_ms, load: 0.6 if new and late(now_ms) else 0.01),
    "errors on one route": Kind(
        lambda new, route, now_ms, load: 0.9 if new and route == "sort" else 0.01
    ),
    "slow at once": Kind(slowdown=lambda new, route, now_ms, load: 2.5 if new else 1.0),
    "slow later": Kind(
        slowdown=lambda new, route, now_ms, load: 2.5 if new and late(now_ms) else 1.0
    ),
    "slow under load": Kind(
        slowdown=lambda new, route, now_ms, load: load if new else 1.0, load=burst
    ),
    "slow on one route": Kind(
        slowdown=lambda new, route, now_ms, load: 3.0 if new and route == "draft" else 1.0
    ),
}
GOOD = {
    "steady": Kind(),
    "a little worse": Kind(lambda new, route, now_ms, load: 0.02 if new else 0.01),
    "burst that hurts both": Kind(
        lambda new, route, now_ms, load: 0.2 if load > 1 else 0.01,
        lambda new, route, now_ms, load: load,
        burst,
    ),
    "burst at the last step": Kind(
        lambda new, route, now_ms, load: 0.1 if load > 1 else 0.01,
        lambda new, route, now_ms, load: load,
        late_burst,
    ),
    "slow host that hurts both": Kind(
        slowdown=lambda new, route, now_ms, load: random.Random(now_ms).choice([1, 1, 4])
    ),
}


def run(kind, seed, requests_per_s=40, plan=PLAN):
    """Play one move and return the last judgement and the requests that it hurt."""
    rng = random.Random(seed)
    counters = Evidence("m1", "h1", 1, plan.max_slowdown_percent)
    history = EvidenceHistory("m1")
    progress = Progress("m1", "assistant", "v1", plan)
    hurt, due = 0, 0.0
    for now_ms in range(0, plan.by_ms + 1_000, 100):
        load = kind.load(now_ms)
        due += load * requests_per_s / 10
        share = progress.share_percent
        while due >= 1:
            due -= 1
            new = rng.random() * 100 < share
            route = rng.choices(ROUTES, WEIGHTS)[0]
            slowdown = kind.slowdown(new, route, now_ms + rng.randrange(100), load)
            failed = rng.random() < kind.error_rate(new, route, now_ms, load)
            harmless = kind.slowdown(False, route, now_ms, load)
            hurt += new and (failed or slowdown > 1.5 * harmless)
            latency_ms = 50 * slowdown * rng.lognormvariate(0, 0.25)
            counters.record(
                progress.step or 0, route, new=new, failed=failed, latency_ms=latency_ms
            )
        if now_ms % 500:
            continue
        history.apply(counters.facts(now_ms))
        history.snapshot(now_ms)
        judgement = judge(progress, [history], now_ms, now_ms, ready=now_ms > 5_000)
        match judgement:
            case Raise():
                step = 0 if progress.step is None else progress.step + 1
                share = limited_share(plan, step, history.requests_per_s(now_ms))
                progress = replace(
                    progress, step=step, logged_percent=share, stepped_wall_ms=now_ms
                )
            case Stop() | Finish() | TakeBack():
                return judgement, hurt, now_ms
    return Continue(), hurt, now_ms


@pytest.mark.parametrize("kind", BAD)
def test_bad_version_is_stopped_within_fifty_failures(kind):
    for seed in range(5):
        judgement, hurt, _ = run(BAD[kind], seed)
        assert isinstance(judgement, Stop), f"seed {seed}: {judgement}"
        assert hurt < 50, f"seed {seed}: {judgement}"


@pytest.mark.parametrize("kind", GOOD)
def test_good_version_completes_on_time(kind):
    for seed in range(5):
        judgement, _, _ = run(GOOD[kind], seed)
        assert judgement == Finish(), f"seed {seed}"


def replace_plan(**changes):
    return msgspec.structs.replace(PLAN, **changes)


def at(step, **changes):
    return replace(Progress("m1", "assistant", "v1", PLAN, step=step), **changes)


def history(*values, step=1):
    made = EvidenceHistory("m1")
    for route, value in zip(ROUTES, values, strict=False):
        made.apply([Fact(FactKind.EVIDENCE, f"m1|{step}|h1|1|{route}", (*value, 0))])
    made.snapshot(0)
    return made


GOOD_COUNTS = (900, 9, 90, 30, 0, 3)


def test_move_begins_with_the_step_that_loads_the_version():
    assert judge(at(None), [history()], 0, 0, ready=False) == Raise()
    assert judge(at(0), [history()], 0, 0, ready=False) == Continue()
    assert judge(at(0), [history()], 0, 0, ready=True) == Raise()


@pytest.mark.parametrize(
    ("now_ms", "counts", "judgement"),
    [
        (10_000, GOOD_COUNTS, Raise()),
        (9_999, GOOD_COUNTS, Continue()),
        (10_000, (900, 9, 90, 19, 0, 2), Continue()),
    ],
)
def test_step_needs_its_time_and_its_requests(now_ms, counts, judgement):
    assert judge(at(1), [history(counts)], 0, now_ms, ready=True) == judgement


@pytest.mark.parametrize(
    ("now_ms", "max_watch_ms", "judgement"),
    [
        (269_999, 600_000, Continue()),
        (270_000, 600_000, Finish()),
        (119_999, 20_000, Continue()),
        (120_000, 20_000, Finish()),
    ],
)
def test_last_step_is_watched_as_long_as_there_is_time(now_ms, max_watch_ms, judgement):
    plan = replace_plan(max_watch_ms=max_watch_ms)
    progress = at(4, stepped_wall_ms=100_000, plan=plan)
    assert judge(progress, [history(GOOD_COUNTS, step=4)], 0, now_ms, ready=True) == judgement


def test_fault_that_hurts_both_versions_is_not_held_against_the_new_one():
    made = EvidenceHistory("m1")
    for i in range(14):
        fault = (2, 12) if i == 13 else (0, 0)
        counts = (900 + 5 * i, 9 + fault[0], 90, 40 * i, fault[1], 0)
        made.apply([Fact(FactKind.EVIDENCE, "m1|1|h1|1|answer", (*counts, 0))])
        made.snapshot(500 * i)
    assert judge(at(1), [made], 6_500, 6_500, ready=True) == Continue()


def test_doubt_on_a_rare_route_holds_the_move():
    doubt = history(GOOD_COUNTS, (50, 0, 5, 2, 2, 0))
    assert judge(at(1), [doubt], 0, 10_000, ready=True) == Continue()


def test_own_evidence_suffices_to_stop():
    own = history((900, 9, 90, 10, 9, 0))
    judgement = judge(at(1), [history(GOOD_COUNTS), own], 0, 0, ready=True)
    assert isinstance(judgement, Stop)
    assert "9 of 10 requests failed" in judgement.why


@pytest.mark.parametrize(
    ("step", "now_ms", "late"),
    [(None, 260_000, False), (None, 260_001, True), (4, 300_000, False), (4, 300_001, True)],
)
def test_move_that_cannot_end_in_time_is_taken_back(step, now_ms, late):
    progress = at(step, stepped_wall_ms=250_000)
    judgement = judge(progress, [history()], 0, now_ms, ready=False)
    assert isinstance(judgement, TakeBack) is late


def test_stopped_move_is_taken_back_and_ended_one_left_alone():
    assert isinstance(judge(at(4, stopped=True), [history()], 0, 0, ready=True), TakeBack)
    ended = at(4, result=MoveResult.DONE, stopped=True)
    assert judge(ended, [history()], 0, 0, ready=True) == Continue()


def test_stop_by_another_daemon_is_taken_back_for_the_evidence():
    """The operator would else see that the version was stopped, but not why."""
    bad = history((900, 9, 90, 10, 9, 0))
    judgement = judge(at(1, stopped=True), [bad], 0, 0, ready=True)
    assert isinstance(judgement, TakeBack)
    assert "9 of 10 requests failed" in judgement.why
