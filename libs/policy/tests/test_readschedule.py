"""Guards against upstreams that are read too late, and against daemons that all read at once."""

import pytest

from skylarkmoor_policy.readschedule import ReadSchedule

INTERVAL_MS = 1_950
MAX_INTERVAL_MS = 2_400
STEP_MS = 5


def simulate(hosts, unable, duration_ms=30_000):
    """Return the number of reads, and the largest age of what any daemon knows.

    Parameters
    ----------
    unable : range
        Ranks whose reads fail; these daemons have what the others pass on.
    """
    schedules = [ReadSchedule(INTERVAL_MS, MAX_INTERVAL_MS) for _ in range(hosts)]
    for schedule in schedules:
        schedule.confirm(0)
    confirmed_ms = 0
    reads = oldest_ms = 0
    for now_ms in range(0, duration_ms, STEP_MS):
        oldest_ms = max(oldest_ms, now_ms - confirmed_ms)
        readers = [
            rank
            for rank, schedule in enumerate(schedules)
            if rank not in unable and now_ms >= schedule.due_ms(rank)
        ]
        reads += len(readers)
        if readers:
            confirmed_ms = now_ms
            for schedule in schedules:
                schedule.confirm(now_ms)
    return reads, oldest_ms


@pytest.mark.parametrize("hosts", [1, 11, 46, 65, 110])
def test_one_daemon_reads_for_its_group(hosts):
    reads, oldest_ms = simulate(hosts, unable=range(0))
    assert reads == 30_000 // INTERVAL_MS
    assert oldest_ms <= INTERVAL_MS


@pytest.mark.parametrize("unable", [range(1), range(2), range(5), range(20)])
def test_the_bound_on_the_age_holds_if_the_first_daemons_cannot_read(unable):
    _, oldest_ms = simulate(46, unable)
    assert oldest_ms <= MAX_INTERVAL_MS


def test_daemons_do_not_all_read_while_one_of_the_first_can():
    reads, _ = simulate(46, unable=range(5))
    assert reads <= 30_000 // INTERVAL_MS


def test_an_older_read_does_not_delay_the_next_one():
    schedule = ReadSchedule(INTERVAL_MS, MAX_INTERVAL_MS)
    schedule.confirm(5_000)
    schedule.confirm(4_000)
    assert schedule.due_ms(rank=0) == 5_000 + INTERVAL_MS


def test_intervals_in_the_wrong_order_are_refused():
    with pytest.raises(ValueError, match="2400"):
        ReadSchedule(interval_ms=2_401, max_interval_ms=2_400)
