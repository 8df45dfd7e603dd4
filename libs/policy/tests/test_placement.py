"""Guards the choice of upstream under uneven load, speed and faults."""

import random

from skylarkmoor_policy.placedupstream import ListedUpstream, UpstreamRecord
from skylarkmoor_policy.placement import Placement

ADDRESS = ("10.0.0.1", 80)


def placement(*names, slots=2):
    made = Placement(random.Random(1))
    for name in names:
        made.set_upstream(
            ListedUpstream(name, "assistant", ADDRESS, slots=slots, version="v1", started_wall_ms=1)
        )
    return made


def chosen(made, tokens=100, **options):
    choice = made.choose("assistant", tokens, 0, **options)
    return None if choice is None else choice.upstream


def test_the_emptier_upstream_is_chosen():
    made = placement("a", "b")
    made.started("a", 4_000)
    assert chosen(made) == "b"


def test_work_of_peers_counts():
    made = placement("a", "b")
    made.peer_load("peer", {"a": (2, 9_000)})
    assert chosen(made) == "b"
    made.peer_load("peer", {"b": (2, 9_000)})
    assert chosen(made) == "a"


def test_a_grant_counts_until_the_peer_reports_it():
    """Old reports let all daemons fill the same free slot."""
    made = placement("a", slots=1)
    made.grant_to_peer("peer", "a", 500, 7)
    made.peer_load("peer", {}, taken=6)
    assert made.upstreams["a"].running() == 1
    made.peer_load("peer", {"a": (1, 0)}, taken=7)
    assert made.upstreams["a"].running() == 1
    assert made.upstreams["a"].prefill_tokens() == 0


def test_no_upstream_with_room():
    made = placement("a", slots=1)
    made.peer_load("peer", {"a": (2, 0)})
    assert chosen(made, only_with_room=True) is None
    assert chosen(made) == "a"


def test_leaving_and_replaced_upstreams_get_nothing():
    made = placement("a", "b")
    made.set_upstream(
        ListedUpstream(
            "a", "assistant", ADDRESS, slots=2, version="v1", started_wall_ms=1, leaving=True
        )
    )
    made.mark_replaced("b", 0)
    assert chosen(made) is None


def test_a_new_entry_brings_a_replaced_upstream_back():
    made = placement("a")
    made.mark_replaced("a", 0)
    made.set_upstream(
        ListedUpstream("a", "assistant", ADDRESS, slots=2, version="v1", started_wall_ms=1)
    )
    assert chosen(made) == "a"


def test_an_upstream_that_started_again_holds_nothing():
    made = placement("a")
    made.started("a", 900)
    made.set_upstream(
        ListedUpstream("a", "assistant", ADDRESS, slots=2, version="v1", started_wall_ms=2)
    )
    assert made.upstreams["a"].running() == 0


def test_resting_upstreams_are_used_if_there_is_no_other():
    made = placement("a", "b")
    made.rest("a", 0)
    assert chosen(made) == "b"
    made.rest("b", 0)
    assert chosen(made) in ("a", "b")


def test_loads_of_one_group_leave_those_of_the_others():
    """A dispatcher is told the loads of its own engines only, and must not forget the others'."""
    names = [f"engine-{number}" for number in range(10)]
    made = placement(*names)
    groups = {name: made.group_of(name) for name in names}
    assert {group.count for group in groups.values()} == {2}
    mine = next(name for name in names if groups[name].number == 0)
    other = next(name for name in names if groups[name].number == 1)
    made.peer_load("peer", {mine: (2, 900), other: (1, 400)})
    made.grant_to_peer("peer", mine, 100, 7)
    made.peer_load("peer", {mine: (1, 0)}, taken=6, group=groups[mine])
    assert (made.upstreams[mine].running(), made.upstreams[other].running()) == (2, 1)
    made.peer_load("peer", {mine: (2, 100)}, taken=7, group=groups[mine])
    assert (made.upstreams[mine].running(), made.upstreams[other].running()) == (2, 1)
    made.peer_load("peer", {}, taken=7)
    assert (made.upstreams[mine].running(), made.upstreams[other].running()) == (0, 0)


def test_rests_of_peers_count():
    made = placement("a", "b")
    made.peer_health("peer", {}, {"a": 500}, 0)
    assert chosen(made) == "b"


def test_a_failing_upstream_is_avoided():
    made = placement("a", "b")
    for _ in range(20):
        made.ended("a", 0, held_ms=None, fault=True)
        made.ended("b", 0, held_ms=None, fault=False)
    made.refresh(0)
    assert chosen(made) == "b"


def test_speeds_seen_by_peers_count():
    made = placement("fast", "slow")
    slow = UpstreamRecord(read_tokens=50_000, read_ms=10_000).values()
    made.peer_health("peer", {"slow": slow}, {}, 0)
    made.refresh(0)
    assert chosen(made, tokens=5_000) == "fast"


def test_records_of_peers_are_replaced_and_dropped():
    """A record that is counted twice, or stays after its daemon has gone, distorts the speed."""
    made = placement("a")
    alone = made.upstreams["a"].tokens_per_ms
    slow = UpstreamRecord(read_tokens=50_000, read_ms=10_000).values()
    fast = UpstreamRecord(read_tokens=50_000, read_ms=1_000).values()
    made.peer_health("one", {"a": slow}, {}, 0)
    made.peer_health("two", {"a": fast}, {}, 0)
    made.refresh(0)
    both = made.upstreams["a"].tokens_per_ms
    made.peer_health("one", {"a": fast}, {}, 0)
    made.peer_health("one", {"a": slow}, {}, 0)
    made.refresh(0)
    assert made.upstreams["a"].tokens_per_ms == both
    made.forget_peer("one")
    made.peer_health("two", {}, {}, 0)
    made.refresh(0)
    assert made.upstreams["a"].tokens_per_ms == alone


def test_long_answers_avoid_engines_on_which_they_miss_their_deadline():
    made = placement("fast", "slow")
    record = UpstreamRecord(events=1_000, events_ms=100_000).values()
    made.peer_health("peer", {"slow": record}, {}, 0)
    made.refresh(0)
    made.started("fast", 9_000)
    assert chosen(made) == "slow"
    assert chosen(made, output_tokens=2_400, remaining_ms=12_000) == "fast"


def test_long_prompts_avoid_streams_that_they_would_stall():
    made = placement("busy", "idle")
    made.started("busy", 0)
    # Reading these tokens first makes the idle engine the slower one for the request itself.
    made.peer_load("peer", {"idle": (0, 6_000)})
    assert chosen(made, tokens=12_000) == "busy"
    assert chosen(made, tokens=12_000, max_gap_ms=200) == "idle"


def test_records_fade():
    made = placement("a")
    made.ended("a", 0, held_ms=None, fault=True)
    made.refresh(0)
    before = made.upstreams["a"].fault_part
    made.refresh(20_000)
    assert made.upstreams["a"].fault_part < before / 2


def test_a_record_survives_its_message_form():
    record = UpstreamRecord(1_000, 20.5, 3, 75.5, 4, 1)
    assert UpstreamRecord.of(record.values()) == record


def test_what_a_peer_knows_of_leaving_upstreams_counts():
    made = placement("a", "b")
    made.peer_leaving({"a": 1, "gone": 1})
    assert chosen(made) == "b"
    # Another start of the same id is not meant.
    made.peer_leaving({"b": 0})
    assert chosen(made) == "b"
