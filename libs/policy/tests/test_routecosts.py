"""Guards against starved large requests: they rank by their route's average, not their own size."""

from skylarkmoor_policy.routecosts import RouteCosts


def test_large_request_of_a_small_route_is_still_small():
    work = RouteCosts()
    for _ in range(60):
        work.observe_and_classify("assistant", "plans", 16_000)
        work.observe_and_classify("assistant", "notes", 2_000)
    assert work.observe_and_classify("assistant", "notes", 9_000)
    assert not work.observe_and_classify("assistant", "plans", 1_000)
