"""Guards customer rate limits against refusals below the limit and admissions above it."""

from skylarkmoor_core.document import Customer, Route, ServiceDocument, ServiceKind, Tier
from skylarkmoor_policy.ratelimits import CustomerLimits


def _limits(requests_per_s: int, daemons: int = 1) -> CustomerLimits:
    document = ServiceDocument(
        service="s",
        kind=ServiceKind.PLAIN,
        tiers=(Tier(name="t", rank=0),),
        routes=(Route(name="r", tier="t"),),
        customers=(Customer(name="c", requests_per_s=requests_per_s),),
        version="v1",
    )
    return CustomerLimits(document, daemons)


def test_request_over_the_rate_limit_gets_the_time_to_retry():
    limits = _limits(2)
    assert [limits.admit("c", 0) for _ in range(3)] == [None, None, 500]
    assert limits.admit("c", 500) is None


def test_rate_is_divided_among_daemons():
    limits = _limits(10, daemons=5)
    admitted = sum(limits.admit("c", now_ms) is None for now_ms in range(0, 10_000, 10))
    assert admitted == 10 + 2 * 10 - 1


def test_unlisted_customer_has_no_limit():
    assert _limits(1).admit("other", 0) is None
