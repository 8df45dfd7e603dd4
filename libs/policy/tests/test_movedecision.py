"""Tests invariant I4: bad versions stop within 50 failures and good ones complete on time."""

import random
from dataclasses import dataclass, replace

import msgspec
import pytest

from skylarkmoor_core.document import VersionMove
from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_core.records import MoveResult
from skylarkmoor_policy.evidence import Evidence, EvidenceHistory
from skylarkmoor_policy.movedecision import (
    AdvanceStep,
    CompleteMove,
    KeepWaiting,
    RollBack,
    StopVersion,
    decide_next_action,
)
from skylarkmoor_policy.movefollower import MoveProgress, limited_share

PLAN = VersionMove(version="v2", by_ms=300_000, min_requests=20, step_ms=10_000)
ROUTES = ("answer", "draft", "sort")
WEIGHTS = (60, 30, 10)


@dataclass
class Scenario:
    """Simulated error rate, slowdown and load, by version, route and time."""

    error_rate: object = lambda new, route, now_ms, load: 0.01
    slowdown: object = lambda new, route, now_ms, load: 1.0
    load: object = lambda now_ms: 1.0


def is_late(now_ms):
    return now_ms > 62_000


def burst_load(now_ms):
    return 2.5 if 40_000 < now_ms < 75_000 else 1.0


def late_burst_load(now_ms):
    return 2.5 if 75_000 < now_ms < 100_000 else 1.0


BAD = {
    "errors at once": Scenario(lambda new, route, now_ms, load: 0.6 if new else 0.01),
    "some errors at once": Scenario(lambda new, route, now_ms, load: 0.15 if new else 0.01),
    "errors later": Scenario(
        lambda new, route, now_ms, load: 0.6 if new and is_late(now_ms) else 0.01
    ),
    "errors on one route": Scenario(
        lambda new, route, now_ms, load: 0.9 if new and route == "sort" else 0.01
    ),
    "slow at once": Scenario(slowdown=lambda new, route, now_ms, load: 2.5 if new else 1.0),
    "slow later": Scenario(
        slowdown=lambda new, route, now_ms, load: 2.5 if new and is_late(now_ms) else 1.0
    ),
    "slow under load": Scenario(
        slowdown=lambda new, route, now_ms, load: load if new else 1.0, load=burst_load
    ),
    "slow on one route": Scenario(
        slowdown=lambda new, route, now_ms, load: 3.0 if new and route == "draft" else 1.0
    ),
}
GOOD = {
    "steady": Scenario(),
    "a little worse": Scenario(lambda new, route, now_ms, load: 0.02 if new else 0.01),
    "burst that affects both": Scenario(
        lambda new, route, now_ms, load: 0.2 if load > 1 else 0.01,
        lambda new, route, now_ms, load: load,
        burst_load,
    ),
    "burst at the last step": Scenario(
        lambda new, route, now_ms, load: 0.1 if load > 1 else 0.01,
        lambda new, route, now_ms, load: load,
        late_burst_load,
    ),
    "slow host that affects both": Scenario(
        slowdown=lambda new, route, now_ms, load: random.Random(now_ms).choice([1, 1, 4])
    ),
}


def run_move(scenario, seed, requests_per_s=40, plan=PLAN):
    """Simulate one move; return the last action, the requests harmed and the end time."""
    rng = random.Random(seed)
    counters = Evidence("m1", "h1", 1, plan.max_slowdown_percent)
    history = EvidenceHistory("m1")
    progress = MoveProgress("m1", "assistant", "v1", plan)
    harmed, due = 0, 0.0
    for now_ms in range(0, plan.by_ms + 1_000, 100):
        load = scenario.load(now_ms)
        due += load * requests_per_s / 10
        share = progress.share_percent
        while due >= 1:
            due -= 1
            new = rng.random() * 100 < share
            route = rng.choices(ROUTES, WEIGHTS)[0]
            slowdown = scenario.slowdown(new, route, now_ms + rng.randrange(100), load)
            failed = rng.random() < scenario.error_rate(new, route, now_ms, load)
            baseline_slowdown = scenario.slowdown(False, route, now_ms, load)
            harmed += new and (failed or slowdown > 1.5 * baseline_slowdown)
            latency_ms = 50 * slowdown * rng.lognormvariate(0, 0.25)
            counters.record(
                progress.step or 0, route, new=new, failed=failed, latency_ms=latency_ms
            )
        if now_ms % 500:
            continue
        history.apply_facts(counters.facts(now_ms))
        history.snapshot(now_ms)
        action = decide_next_action(progress, [history], now_ms, now_ms, ready=now_ms > 5_000)
        match action:
            case AdvanceStep():
                step = 0 if progress.step is None else progress.step + 1
                share = limited_share(plan, step, history.requests_per_s(now_ms))
                progress = replace(
                    progress, step=step, logged_percent=share, stepped_wall_ms=now_ms
                )
            case StopVersion() | CompleteMove() | RollBack():
                return action, harmed, now_ms
    return KeepWaiting(), harmed, now_ms


@pytest.mark.parametrize("scenario", BAD)
def test_bad_version_is_stopped_within_fifty_failures(scenario):
    for seed in range(5):
        action, harmed, _ = run_move(BAD[scenario], seed)
        assert isinstance(action, StopVersion), f"seed {seed}: {action}"
        assert harmed < 50, f"seed {seed}: {action}"


@pytest.mark.parametrize("scenario", GOOD)
def test_good_version_completes_on_time(scenario):
    for seed in range(5):
        action, _, _ = run_move(GOOD[scenario], seed)
        assert action == CompleteMove(), f"seed {seed}"


def plan_with(**changes):
    return msgspec.structs.replace(PLAN, **changes)


def progress_at(step, **changes):
    return replace(MoveProgress("m1", "assistant", "v1", PLAN, step=step), **changes)


def make_history(*values, step=1):
    evidence_history = EvidenceHistory("m1")
    for route, value in zip(ROUTES, values, strict=False):
        evidence_history.apply_facts(
            [Fact(FactKind.EVIDENCE, f"m1|{step}|h1|1|{route}", (*value, 0))]
        )
    evidence_history.snapshot(0)
    return evidence_history


GOOD_COUNTS = (900, 9, 90, 30, 0, 3)


def test_move_begins_with_the_step_that_loads_the_version():
    assert (
        decide_next_action(progress_at(None), [make_history()], 0, 0, ready=False) == AdvanceStep()
    )
    assert decide_next_action(progress_at(0), [make_history()], 0, 0, ready=False) == KeepWaiting()
    assert decide_next_action(progress_at(0), [make_history()], 0, 0, ready=True) == AdvanceStep()


@pytest.mark.parametrize(
    ("now_ms", "counts", "action"),
    [
        (10_000, GOOD_COUNTS, AdvanceStep()),
        (9_999, GOOD_COUNTS, KeepWaiting()),
        (10_000, (900, 9, 90, 19, 0, 2), KeepWaiting()),
    ],
)
def test_step_lasts_until_its_minimum_time_and_requests(now_ms, counts, action):
    assert (
        decide_next_action(progress_at(1), [make_history(counts)], 0, now_ms, ready=True) == action
    )


@pytest.mark.parametrize(
    ("now_ms", "max_watch_ms", "action"),
    [
        (269_999, 600_000, KeepWaiting()),
        (270_000, 600_000, CompleteMove()),
        (119_999, 20_000, KeepWaiting()),
        (120_000, 20_000, CompleteMove()),
    ],
)
def test_last_step_is_watched_until_the_watch_limit_or_deadline(now_ms, max_watch_ms, action):
    plan = plan_with(max_watch_ms=max_watch_ms)
    progress = progress_at(4, stepped_wall_ms=100_000, move_plan=plan)
    assert (
        decide_next_action(progress, [make_history(GOOD_COUNTS, step=4)], 0, now_ms, ready=True)
        == action
    )


def test_fault_affecting_both_versions_does_not_stop_the_new_one():
    evidence_history = EvidenceHistory("m1")
    for i in range(14):
        fault = (2, 12) if i == 13 else (0, 0)
        counts = (900 + 5 * i, 9 + fault[0], 90, 40 * i, fault[1], 0)
        evidence_history.apply_facts([Fact(FactKind.EVIDENCE, "m1|1|h1|1|answer", (*counts, 0))])
        evidence_history.snapshot(500 * i)
    assert (
        decide_next_action(progress_at(1), [evidence_history], 6_500, 6_500, ready=True)
        == KeepWaiting()
    )


def test_suspicious_errors_on_a_rare_route_delay_the_next_step():
    doubt = make_history(GOOD_COUNTS, (50, 0, 5, 2, 2, 0))
    assert decide_next_action(progress_at(1), [doubt], 0, 10_000, ready=True) == KeepWaiting()


@pytest.mark.parametrize(
    ("new", "action"),
    [
        # Requests, errors and slow requests of the new version at the last step.
        ((40, 12, 0), KeepWaiting()),
        ((40, 2, 2), CompleteMove()),
        ((40, 0, 24), KeepWaiting()),
    ],
)
def test_bad_rate_beside_few_old_requests_delays_the_end(new, action):
    """A version that failed a third of its requests was done, as twelve old ones proved little."""
    history = EvidenceHistory("m1")
    for i in range(14):
        earlier = Fact(FactKind.EVIDENCE, "m1|3|h1|1|answer", (10 * i, 0, i, 10 * i, 0, i, 0))
        history.apply_facts([earlier])
        history.snapshot(500 * i)
    # The rate of requests stays the same, because a burst would be no evidence.
    for i in range(1, 5):
        counts = (3 * i, 0, 0, *(i * count // 4 for count in new), 0)
        history.apply_facts([Fact(FactKind.EVIDENCE, "m1|4|h1|1|answer", counts)])
        history.snapshot(6_500 + 500 * i)
    progress = progress_at(4, stepped_wall_ms=6_500, move_plan=plan_with(max_watch_ms=1_000))
    action_now = decide_next_action(progress, [history], 8_500, 20_000, ready=True)
    assert action_now == action


def test_step_without_enough_old_requests_is_not_over():
    """A burst left a step with few old requests without comparisons, and the move was done."""
    history = EvidenceHistory("m1")
    for i in range(14):
        earlier = Fact(FactKind.EVIDENCE, "m1|3|h1|1|answer", (10 * i, 0, i, 10 * i, 0, i, 0))
        history.apply_facts([earlier])
        history.snapshot(500 * i)
    burst = Fact(FactKind.EVIDENCE, "m1|4|h1|1|answer", (9, 0, 0, 200, 100, 0, 0))
    history.apply_facts([burst])
    history.snapshot(7_000)
    progress = progress_at(4, stepped_wall_ms=6_500, move_plan=plan_with(max_watch_ms=1_000))
    action = decide_next_action(progress, [history], 7_000, 20_000, ready=True)
    assert action == KeepWaiting()


def test_local_evidence_alone_stops_the_version():
    own = make_history((900, 9, 90, 10, 9, 0))
    action = decide_next_action(progress_at(1), [make_history(GOOD_COUNTS), own], 0, 0, ready=True)
    assert isinstance(action, StopVersion)
    assert "9 of 10 requests failed" in action.why


@pytest.mark.parametrize(
    ("step", "now_ms", "late"),
    [(None, 260_000, False), (None, 260_001, True), (4, 300_000, False), (4, 300_001, True)],
)
def test_move_that_cannot_end_in_time_is_taken_back(step, now_ms, late):
    progress = progress_at(step, stepped_wall_ms=250_000)
    action = decide_next_action(progress, [make_history()], 0, now_ms, ready=False)
    assert isinstance(action, RollBack) is late


def test_stopped_move_is_taken_back_and_an_ended_one_is_unchanged():
    assert isinstance(
        decide_next_action(progress_at(4, stopped=True), [make_history()], 0, 0, ready=True),
        RollBack,
    )
    ended = progress_at(4, result=MoveResult.DONE, stopped=True)
    assert decide_next_action(ended, [make_history()], 0, 0, ready=True) == KeepWaiting()


def test_take_back_after_a_remote_stop_names_the_evidence():
    """Guards against an end record that says that the version was stopped, but not why."""
    bad = make_history((900, 9, 90, 10, 9, 0))
    action = decide_next_action(progress_at(1, stopped=True), [bad], 0, 0, ready=True)
    assert isinstance(action, RollBack)
    assert "9 of 10 requests failed" in action.why
