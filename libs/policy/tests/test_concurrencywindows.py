"""Guards against windows that let a brittle upstream refuse too much, or starve it."""

import pytest

from skylarkmoor_policy.concurrencywindows import ConcurrencyWindows
from skylarkmoor_policy.upstreamnotices import InstanceId

U1 = InstanceId("u1", 1)


@pytest.fixture
def windows():
    made = ConcurrencyWindows()
    made.set_brittle(U1, 2, slots=4, now_ms=0)
    return made


def size(windows, now_ms):
    return sum(windows.may_send(U1, running, now_ms) for running in range(20))


def test_an_instance_that_is_not_brittle_is_not_bounded(windows):
    assert windows.may_send(InstanceId("u1", 2), 1_000, 0)
    assert not windows.record_refusal(InstanceId("u1", 2), 5, 0)


def test_the_window_begins_with_the_slots(windows):
    assert size(windows, 0) == 4


def test_a_refusal_shrinks_the_window_at_once_and_holds_requests_back(windows):
    assert windows.record_refusal(U1, 3, 1_000)
    assert size(windows, 1_499) == 0
    assert size(windows, 1_500) == 2
    assert windows.refused[U1] == 1


def test_the_window_grows_by_one_request_a_second_up_to_the_slots(windows):
    windows.record_refusal(U1, 2, 0)
    assert [size(windows, each) for each in (500, 999, 1_000, 2_000, 3_000, 9_000)] == [
        1,
        1,
        2,
        3,
        4,
        4,
    ]


def test_the_window_of_an_instance_that_bears_less_grows_more_slowly():
    windows = ConcurrencyWindows()
    windows.set_brittle(U1, 0.5, slots=4, now_ms=0)
    windows.record_refusal(U1, 2, 0)
    assert [size(windows, each) for each in (3_999, 4_000)] == [1, 2]


def test_refusals_that_peers_were_given_count_without_being_told_again(windows):
    windows.record_peer_refusals(U1, 2, 3, 0)
    assert size(windows, 500) == 2
    assert windows.refused[U1] == 0
    windows.record_peer_refusals(U1, 0, 1, 0)
    assert size(windows, 500) == 2


def test_a_daemon_that_reaches_half_of_the_fleet_sends_half(windows):
    windows.set_reachable_fraction(0.5)
    assert size(windows, 0) == 2
    windows.set_reachable_fraction(0.01)
    assert size(windows, 0) == 1


def test_the_window_ends_with_the_notice(windows):
    windows.set_brittle(U1, None, 4, 0)
    assert windows.may_send(U1, 99, 0)
    assert not windows.is_brittle(U1)
