"""Guards the largest requests of a small route against being ranked behind all others."""

from skylarkmoor_policy.routework import RouteWork


def test_a_route_is_small_as_a_whole():
    work = RouteWork()
    for _ in range(60):
        work.is_small("assistant", "plans", 16_000)
        work.is_small("assistant", "notes", 2_000)
    assert work.is_small("assistant", "notes", 9_000)
    assert not work.is_small("assistant", "plans", 1_000)
