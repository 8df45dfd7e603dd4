"""Guards against plain services that stay dispatched for ever, or whose crowding peers miss."""

import random

from skylarkmoor_policy.crowdedservices import CrowdedServices
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.trackedupstream import RegisteredUpstream


def test_a_service_is_crowded_until_ten_seconds_pass_without_a_refusal():
    crowded = CrowdedServices()
    assert crowded.record_refusal("orders", 0)
    assert not crowded.record_refusal("orders", 6_000)
    assert crowded.is_crowded("orders", 15_999)
    assert not crowded.is_crowded("other", 15_999)
    assert not crowded.is_crowded("orders", 16_000)
    assert crowded.record_refusal("orders", 16_000)


def test_what_a_peer_is_refused_counts_here_but_is_not_passed_on():
    """Hosts that repeat what they have heard would keep a service crowded for ever."""
    crowded = CrowdedServices()
    crowded.set_peer("peer", ["orders"])
    assert crowded.is_crowded("orders", 0)
    assert crowded.own(0) == ()
    crowded.set_peer("peer", [])
    assert not crowded.is_crowded("orders", 0)


def test_a_crowded_service_gets_no_request_beyond_its_slots():
    """An engine may queue one; a plain service that refuses would refuse it."""
    placement = Placement(random.Random(1))
    placement.set_upstream(RegisteredUpstream("a", "orders", ("10.0.0.1", 80), slots=2))
    placement.set_peer_load("peer", {"a": (2, 0)})
    assert placement.choose("orders", 0, 0, only_with_capacity=True) is not None
    placement.crowded.set_peer("other", ["orders"])
    assert placement.choose("orders", 0, 0, only_with_capacity=True) is None
    placement.forget_peer("other")
    assert placement.choose("orders", 0, 0, only_with_capacity=True) is not None
