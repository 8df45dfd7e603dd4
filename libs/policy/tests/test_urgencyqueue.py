"""Guards against a start order that makes every answer late under overload."""

from skylarkmoor_policy.urgencyqueue import QueuedRequest, UrgencyQueue


def waiting(item, **overrides):
    values = {
        "tier": 1,
        "route_tier": 1,
        "arrived_ms": 0,
        "latest_start_ms": 400,
        "queue_deadline_ms": 2_000,
    }
    return QueuedRequest(item, **(values | overrides))


def order(*entries, now_ms):
    queue = UrgencyQueue()
    for entry in entries:
        queue.add(entry)
    return [each.item for each in queue.ordered(now_ms)]


def test_the_higher_tier_starts_first():
    assert order(waiting("low", tier=2), waiting("high", tier=0), now_ms=0) == ["high", "low"]


def test_requests_that_can_be_on_time_precede_late_ones():
    """First-come order would make every answer late under overload."""
    late = waiting("late", arrived_ms=0, latest_start_ms=400)
    fresh = waiting("fresh", arrived_ms=500, latest_start_ms=900)
    assert order(late, fresh, now_ms=600) == ["fresh", "late"]


def test_late_requests_keep_their_order_of_arrival():
    first = waiting("first", arrived_ms=1, latest_start_ms=500)
    second = waiting("second", arrived_ms=2, latest_start_ms=300)
    assert order(second, first, now_ms=1_000) == ["first", "second"]


def test_small_requests_do_not_wait_behind_a_higher_tier():
    """Small requests would wait for long ones, although they delay the others least."""
    small = waiting("small", tier=2, expedited=True)
    assert order(waiting("long", tier=0), small, now_ms=0) == ["small", "long"]


def test_expired_requests_leave_the_queue():
    queue = UrgencyQueue()
    queue.add(waiting("old", queue_deadline_ms=100))
    queue.add(waiting("young", queue_deadline_ms=200))
    assert queue.expired(150) == ["old"]
    assert [each.item for each in queue.ordered(150)] == ["young"]
