"""Guards against lost or repeated counts and wrong slow limits, windows, burst checks and rates."""

import pytest

from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_policy.evidence import ALL_ROUTES, Evidence, EvidenceHistory, RequestCounts, Window


def make_evidence():
    return Evidence("m1", "h1", 7, max_slowdown_percent=50)


def fact(values, step=1, source="h1|7", route="order", move="m1"):
    return Fact(FactKind.EVIDENCE, f"{move}|{step}|{source}|{route}", (*values, 0))


def windows_of_span(history, now_ms, span_ms):
    return [window for window in history.windows(now_ms) if window.span_ms == span_ms]


def test_facts_carry_changed_counters_of_both_versions():
    evidence = make_evidence()
    evidence.record(1, "order", new=True, failed=True, latency_ms=5)
    evidence.record(1, "order", new=False, failed=False, latency_ms=5)
    assert evidence.facts(0) == [fact((1, 0, 0, 1, 1, 0))]
    assert evidence.facts(1) == []


def test_slow_requests_of_both_versions_are_counted_against_the_old_median():
    evidence = make_evidence()
    for _ in range(9):
        evidence.record(1, "order", new=False, failed=False, latency_ms=10)
    evidence.record(1, "order", new=True, failed=False, latency_ms=15)
    evidence.record(1, "order", new=True, failed=False, latency_ms=16)
    evidence.record(1, "order", new=False, failed=False, latency_ms=16)
    assert evidence.facts(0) == [fact((10, 0, 1, 2, 0, 1))]


def test_history_adds_daemons_and_incarnations_and_counts_no_fact_twice():
    history = EvidenceHistory("m1")
    for _ in range(2):
        history.apply_facts([fact((4, 0, 0, 2, 1, 0)), fact((6, 1, 0, 1, 0, 0), source="h1|8")])
    history.apply_facts([fact((9, 0, 0, 9, 0, 0), move="m11")])
    history.apply_facts([Fact(FactKind.EVIDENCE, "m1|x", (1,))])
    assert windows_of_span(history, 0, None) == [
        Window(1, "order", None, RequestCounts(10, 1, 0), RequestCounts(3, 1, 0)),
        Window(1, ALL_ROUTES, None, RequestCounts(10, 1, 0), RequestCounts(3, 1, 0)),
    ]
    assert history.requests(1) == 3


def test_window_counts_only_its_span():
    history = EvidenceHistory("m1")
    history.apply_facts([fact((10, 0, 0, 5, 0, 0))])
    history.snapshot(0)
    history.snapshot(4_000)
    history.apply_facts([fact((12, 0, 0, 8, 2, 0))])
    assert windows_of_span(history, 5_000, 1_000)[0] == Window(
        1, "order", 1_000, RequestCounts(2, 0, 0), RequestCounts(3, 2, 0)
    )
    assert windows_of_span(history, 5_000, 10_000) == []


def test_old_counts_include_steps_up_to_the_window():
    history = EvidenceHistory("m1")
    history.apply_facts([fact((100, 1, 0, 0, 0, 0), step=0), fact((70, 0, 0, 1, 0, 0), step=2)])
    history.apply_facts([fact((5, 0, 0, 50, 0, 0), step=1)])
    window = next(window for window in history.windows(0) if window.step == 1)
    assert history.old_counts_through(window) == RequestCounts(105, 1, 0)


def loaded_history(*requests_per_snapshot):
    history, old = EvidenceHistory("m1"), 0
    history.apply_facts([fact((0, 0, 0, 0, 0, 0), step=0)])
    for i, requests in enumerate(requests_per_snapshot):
        old += requests
        history.apply_facts([fact((old, 0, 0, 0, 0, 0), step=int(i > 0))])
        history.snapshot(500 * i)
    return history, 500 * (len(requests_per_snapshot) - 1)


@pytest.mark.parametrize(
    ("load", "burst"),
    [([20] * 30, False), ([18, 22] * 15, False), ([20] * 28 + [50, 50], True), ([20] * 5, None)],
)
def test_burst_is_distinguished_from_random_variation(load, burst):
    history, now_ms = loaded_history(*load)
    window = next(window for window in history.windows(now_ms) if window.step == 1)
    assert history.had_burst(window, now_ms) is burst


def test_short_window_after_a_burst_excludes_it():
    history, now_ms = loaded_history(*[20] * 20, 60, *[20] * 30)
    spans = {
        window.span_ms: history.had_burst(window, now_ms)
        for window in history.windows(now_ms)
        if window.step == 1
    }
    assert spans[1_000] is False
    assert spans[30_000 if 30_000 in spans else None] is True


@pytest.mark.parametrize(
    ("load", "requests_per_s"), [([20] * 5, 0), ([20] * 30, 40), ([20] * 20 + [60] * 10, 120)]
)
def test_request_rate_is_the_highest_of_recent_spans(load, requests_per_s):
    history, now_ms = loaded_history(*load)
    assert history.requests_per_s(now_ms) == requests_per_s
