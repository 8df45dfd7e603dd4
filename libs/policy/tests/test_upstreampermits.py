"""Guards against permits that exceed the limit of an upstream, or that are never issued again."""

import pytest

from skylarkmoor_policy.upstreamnotices import InstanceId
from skylarkmoor_policy.upstreampermits import PermitTable

FIRST, SECOND = InstanceId("e1", 1), InstanceId("e1", 2)


def issue_all(table, until_ms, since_ms=0):
    """Issue permits as soon as possible, and return their number."""
    count = 0
    for now_ms in range(since_ms, until_ms + 1, 25):
        while table.may_issue(FIRST, now_ms):
            table.issue(FIRST, now_ms)
            count += 1
    return count


@pytest.fixture
def table():
    permits = PermitTable()
    permits.set_limit(FIRST, 5.0, 0)
    return permits


def test_an_instance_without_a_limit_needs_no_permit(table):
    assert table.may_issue(SECOND, 0)
    assert not table.issue(SECOND, 0)


def test_permits_follow_the_limit_and_begin_with_none(table):
    assert not table.may_issue(FIRST, 0)
    assert issue_all(table, 10_000) == 50
    assert table.issued[FIRST] == 50


def test_at_most_half_a_second_of_permits_is_saved_up(table):
    assert issue_all(table, 60_000, since_ms=60_000) == 2


@pytest.mark.parametrize("limit_per_s", [0.0, 0.01])
def test_a_very_low_limit_is_asked_again_every_five_seconds(table, limit_per_s):
    table.set_limit(FIRST, limit_per_s, 0)
    assert issue_all(table, 20_000) == 4


def test_permits_of_peers_count(table):
    table.may_issue(FIRST, 1_000)
    table.remove(FIRST, 2)
    assert not table.may_issue(FIRST, 1_000)
    assert issue_all(table, 2_000, since_ms=1_000) == 5


def test_many_permits_of_peers_stop_the_permits_for_a_second_only(table):
    """A report of a peer that was cut off for long brings all its permits at once."""
    table.remove(FIRST, 1_000)
    assert issue_all(table, 1_175) == 0
    assert table.may_issue(FIRST, 1_200)


def test_the_rate_is_that_of_the_reachable_part_of_the_fleet(table):
    table.set_reachable_fraction(0.25, 0)
    assert issue_all(table, 10_000) == 12


def test_after_a_pause_of_the_process_nothing_is_saved_up(table):
    table.may_issue(FIRST, 10_000)
    table.reset(10_000)
    assert not table.may_issue(FIRST, 10_000)


def test_a_lower_limit_holds_at_once(table):
    table.may_issue(FIRST, 10_000)
    table.set_limit(FIRST, 1.0, 10_000)
    assert issue_all(table, 14_000, since_ms=10_000) == 5


def test_an_ended_limit_and_a_forgotten_instance_need_no_permit(table):
    table.set_limit(FIRST, None, 0)
    assert table.may_issue(FIRST, 0)
    table.set_limit(FIRST, 1.0, 0)
    table.keep([SECOND])
    assert table.may_issue(FIRST, 0)
    assert table.issued == {}
