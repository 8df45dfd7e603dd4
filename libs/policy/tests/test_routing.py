"""Guards routing against stale reports and against overload of upstreams with cached prefixes."""

from skylarkmoor_policy.requests import LoadReport
from skylarkmoor_policy.routing import Candidate, LoadEstimate, choose_candidate


def _candidate(name: str, used: int = 0, cached: int = 0, decode_ms: float = 20.0) -> Candidate:
    return Candidate(name, used, 100, cached, 0.1, decode_ms)


def _report(as_of_ms: int) -> LoadReport:
    return LoadReport("u", 1, as_of_ms, 0, 0, 0, 100, 10, ("v1",))


def test_faster_upstream_is_chosen():
    slow, fast = _candidate("slow", decode_ms=40.0), _candidate("fast")
    assert choose_candidate([slow, fast], 100, 100, 10)[0] is fast


def test_cached_prefix_is_preferred_at_equal_load():
    cold, warm = _candidate("cold"), _candidate("warm", cached=900)
    assert choose_candidate([cold, warm], 1_000, 10, 10)[0] is warm


def test_cached_prefix_is_ignored_beyond_the_load_bound():
    cold, warm = _candidate("cold", used=20), _candidate("warm", used=95, cached=900)
    assert choose_candidate([cold, warm], 1_000, 10, 10)[0] is cold


def test_report_is_corrected_for_later_changes():
    load = LoadEstimate()
    load.add_change(10, 100)
    load.add_change(20, 300)
    load.set_report(_report(200), 50)
    assert load.used_cost() == 70
    load.add_change(-10, 400)
    assert load.used_cost() == 60


def test_older_report_is_ignored():
    load = LoadEstimate()
    load.set_report(_report(200), 50)
    load.set_report(_report(100), 5)
    assert load.used_cost() == 50


def test_load_without_reports_does_not_grow():
    load = LoadEstimate()
    for now_ms in range(0, 60_000, 1_000):
        load.add_change(1, now_ms)
        load.add_change(-1, now_ms)
    assert load.used_cost() == 0
