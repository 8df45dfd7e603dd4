"""Guards against requests spread evenly over upstreams of unlike speed."""

import random
from collections import Counter

from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.trackedupstream import RegisteredUpstream

SPEEDS = {"slow": 0.55, "usual": 1.0, "fast": 2.8}
SMALL, LARGE = 628, 6_610


def make_placement(speeds, slots=9, measured=None):
    """Return a placement that has measured the upstreams at the given speeds."""
    placement = Placement(random.Random(5))
    for name in speeds:
        placement.set_upstream(
            RegisteredUpstream(name, "assistant", ("10.0.0.1", 80), slots=slots, version="v1")
        )
    placement.refresh(0)
    for name in speeds if measured is None else measured:
        measure(placement, name, speeds[name])
    placement.refresh(0)
    return placement


def measure(placement, name, speed, count=60):
    rng = random.Random(7)
    for _ in range(count):
        tokens = rng.choice((SMALL, 1_800, LARGE))
        placement.record_start(name, tokens)
        placement.record_first_token(name, tokens, (53 + tokens / 40) / speed, 0)
        placement.record_stream(name, 30, round(29 * 25 / speed), None)
        placement.record_end(name, 0, held_ms=round(800 / speed), fault=False)


def chosen(placement, tokens, **options):
    choice = placement.choose("assistant", tokens, 0, only_with_capacity=True, **options)
    return None if choice is None else choice.upstream


def fill(placement, **running):
    placement.set_peer_load("peer", {name: (count, 0) for name, count in running.items()})


def test_the_fast_upstream_is_used_before_the_others():
    placement = make_placement(SPEEDS)
    fill(placement, fast=5)
    assert [chosen(placement, tokens) for tokens in (SMALL, LARGE)] == ["fast", "fast"]


def test_the_last_slot_of_a_fast_upstream_is_left_to_a_large_request():
    placement = make_placement(SPEEDS)
    fill(placement, fast=8)
    assert chosen(placement, SMALL, output_tokens=12) == "usual"
    assert chosen(placement, LARGE, output_tokens=240) == "fast"


def test_a_request_that_would_be_late_elsewhere_gets_the_fast_upstream():
    placement = make_placement({"fast": 2.8, "slow": 0.55})
    fill(placement, fast=8)
    assert chosen(placement, 100, output_tokens=12, slack_ms=200) == "slow"
    assert chosen(placement, 100, output_tokens=12, slack_ms=60) == "fast"


def test_no_request_queues_at_a_slow_upstream_while_another_would_finish_sooner():
    """A request waited 1.5 s in the queue of an engine that had been reached at once."""
    placement = make_placement({"fast": 2.8, "slow": 0.55})
    fill(placement, fast=10, slow=9)
    assert chosen(placement, SMALL) is None
    assert chosen(placement, SMALL, waiting_ahead=20) == "slow"
    # A free slot is used, also that of a slow upstream.
    fill(placement, fast=10, slow=8)
    assert chosen(placement, SMALL) == "slow"
    fill(placement, fast=9, slow=9)
    assert chosen(placement, SMALL) == "fast"


def test_events_slower_than_the_longest_gap_speak_against_an_upstream():
    placement = make_placement({"fast": 1.0, "stalling": 1.0})
    fill(placement, fast=6)
    placement.record_stream("stalling", 20_001, 7_000_000, None)
    placement.refresh(0)
    assert chosen(placement, SMALL) == "stalling"
    assert chosen(placement, SMALL, max_event_gap_ms=300) == "fast"


def test_an_upstream_without_measurements_is_tried_beside_faster_ones():
    placement = make_placement({"new": 1.0, "fast": 2.8}, measured=["fast"])
    picked = Counter(chosen(placement, SMALL) for _ in range(100))
    assert 20 < picked["new"] < 80
    placement.record_start("new", SMALL)
    assert chosen(placement, SMALL) == "fast"


def test_an_upstream_that_was_measured_once_is_not_tried_again_at_once():
    placement = make_placement({"new": 1.0, "fast": 2.8}, measured=["fast"])
    measure(placement, "new", 1.0, count=1)
    placement.refresh(0)
    assert {chosen(placement, SMALL) for _ in range(50)} == {"fast"}


def test_an_upstream_that_fails_is_not_tried_as_a_new_one():
    placement = make_placement({"new": 1.0, "fast": 2.8}, measured=["fast"])
    placement.upstreams["new"].fault_rate = 0.5
    assert {chosen(placement, SMALL) for _ in range(50)} == {"fast"}


def test_none_is_avoided_if_all_become_slow():
    placement = make_placement(dict.fromkeys("abc", 0.4))
    assert set(Counter(chosen(placement, SMALL) for _ in range(100))) == set("abc")


def test_an_upstream_that_was_slow_for_four_seconds_is_used_again():
    placement = make_placement({"a": 1.0, "b": 1.0})
    for now_ms in range(0, 4_000, 500):
        measure(placement, "a", 0.2, count=3)
        measure(placement, "b", 1.0, count=3)
        placement.refresh(now_ms)
    assert {chosen(placement, SMALL) for _ in range(50)} == {"b"}
    for now_ms in range(4_000, 24_000, 500):
        name = chosen(placement, SMALL)
        measure(placement, name, 1.0, count=3)
        placement.refresh(now_ms)
    assert {chosen(placement, SMALL) for _ in range(50)} == {"a", "b"}
