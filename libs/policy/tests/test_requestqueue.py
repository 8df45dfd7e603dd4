"""Guards the request queue against starving customers and shedding higher tiers first."""

from skylarkmoor_policy.requestqueue import FairRequestQueue, QueuedRequest
from skylarkmoor_policy.requests import Request


def _item(name: str, customer: str = "c", tier: int = 0, deadline_ms: int = 100, cost: int = 1):
    return QueuedRequest(Request(name, customer, "r", tier, 0, 0, deadline_ms), cost, "v1")


def _take_all(queue: FairRequestQueue, tier: int = 0) -> list[str]:
    names = []
    while (item := queue.peek(tier)) is not None:
        queue.take(item.request.request)
        names.append(item.request.request)
    return names


def test_earliest_deadline_of_a_customer_is_first():
    queue = FairRequestQueue(1, lambda customer: 1)
    for name, deadline_ms in (("late", 300), ("early", 100), ("middle", 200)):
        queue.add(_item(name, deadline_ms=deadline_ms))
    assert _take_all(queue) == ["early", "middle", "late"]


def test_big_customer_does_not_starve_a_small_one():
    queue = FairRequestQueue(1, lambda customer: 1)
    for i in range(10):
        queue.add(_item(f"big{i}", "big"))
    queue.add(_item("small", "small", deadline_ms=999))
    assert "small" in _take_all(queue)[:2]


def test_customers_are_served_by_share_of_cost():
    queue = FairRequestQueue(1, lambda customer: {"gold": 3, "tin": 1}[customer])
    for i in range(40):
        queue.add(_item(f"gold{i}", "gold", cost=2))
        queue.add(_item(f"tin{i}", "tin", cost=2))
    first = _take_all(queue)[:20]
    assert sum(name.startswith("gold") for name in first) == 15


def test_skipped_request_keeps_its_turn():
    queue = FairRequestQueue(1, lambda customer: 1)
    queue.add(_item("small", "b"))
    queue.add(_item("large", "a", cost=10))
    first = queue.peek(0)
    assert first.request.request == "large"
    second = queue.peek(0, {"large"})
    assert second.request.request == "small"
    queue.take("small")
    assert queue.peek(0).request.request == "large"


def test_lowest_tier_of_the_customer_with_most_waiting_requests_is_shed_first():
    queue = FairRequestQueue(2, lambda customer: 1)
    queue.add(_item("top", "a", tier=0))
    queue.add(_item("other", "b", tier=1))
    queue.add(_item("early", "a", tier=1, deadline_ms=1))
    queue.add(_item("late", "a", tier=1, deadline_ms=2))
    assert queue.shed_candidate().request.request == "late"


def test_counts_follow_a_change_of_version():
    queue = FairRequestQueue(1, lambda customer: 1)
    item = _item("r", cost=5)
    queue.add(item)
    queue.replace(item, "v2")
    assert queue.counts_by_version(0) == {"v2": (1, 5)}
