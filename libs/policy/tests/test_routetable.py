"""Guards against requests given the wrong route, service, customer or retry rule."""

import pytest

from skylarkmoor_policy.routetable import (
    CallerLimits,
    CustomerPolicy,
    RetrySafety,
    Route,
    RouteTable,
)


def route(name, prefix, **overrides):
    values = {
        "host": "a.example",
        "retry_safety": RetrySafety.SAFE,
        "timeout_ms": 1_000,
        "goal_ms": 100,
        "tier": 0,
        "split": (("orders", 1),),
        "max_upstreams": 1,
    }
    return Route(name=name, path_prefix=prefix, **(values | overrides))


def table(*routes, customers=()):
    return RouteTable(1, routes, CallerLimits(), customers, bool(customers))


def test_the_longest_prefix_wins():
    found = table(route("short", "/a/"), route("long", "/a/b/")).route("a.example", "/a/b/c?x=/")
    assert found.name == "long"


@pytest.mark.parametrize(
    ("host", "path"), [("b.example", "/a/x"), ("a.example", "/b/x"), ("a.example", "/a")]
)
def test_no_route_matches_another_host_or_path(host, path):
    assert table(route("only", "/a/")).route(host, path) is None


def test_host_names_match_without_port_and_case():
    assert table(route("only", "/a/")).route("A.Example:80", "/a/").name == "only"


def test_a_split_follows_its_weights_and_is_stable():
    """A repeated request must reach the same service as its first attempt."""
    split = route("r", "/", split=(("old", 90), ("new", 10)))
    chosen = [split.service_for(f"request-{n}") for n in range(2_000)]
    assert chosen == [split.service_for(f"request-{n}") for n in range(2_000)]
    assert 120 < chosen.count("new") < 280


def test_unsafe_and_non_resumable_stream_routes_are_not_idempotent():
    """Requests of idempotent routes are retried, so an unsafe one could run twice."""
    assert not route("order", "/", retry_safety=RetrySafety.UNSAFE).idempotent
    assert not route("stream", "/", retry_safety=RetrySafety.STREAM).idempotent
    assert route("stream", "/", retry_safety=RetrySafety.STREAM, resumable=True).idempotent


def test_customers_are_found_by_each_of_their_keys():
    depots = CustomerPolicy("depots", ("one", "two"))
    found = table(customers=(depots,))
    assert found.customer("two") is depots
    assert found.customer("three") is None


def test_units_are_tokens_or_requests():
    assert CustomerPolicy("a", (), limits_tokens=True, default_tokens=200).units(None) == 200
    assert CustomerPolicy("a", (), limits_tokens=True).units(900) == 900
    assert CustomerPolicy("a", ()).units(900) == 1
