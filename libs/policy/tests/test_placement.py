"""Guards against requests sent to full, slow, failing, draining or replaced upstreams."""

import random
from collections import Counter

from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.trackedupstream import RegisteredUpstream, UpstreamStats
from skylarkmoor_policy.versionrules import OtherVersions, PreferVersion

ADDRESS = ("10.0.0.1", 80)


def make_placement(*names, slots=2):
    placement = Placement(random.Random(1))
    for name in names:
        placement.set_upstream(
            RegisteredUpstream(
                name, "assistant", ADDRESS, slots=slots, version="v1", started_wall_ms=1
            )
        )
    return placement


def chosen_upstream(placement, tokens=100, **options):
    choice = placement.choose("assistant", tokens, 0, **options)
    return None if choice is None else choice.upstream


def test_the_least_loaded_upstream_is_chosen():
    placement = make_placement("a", "b")
    placement.record_start("a", 4_000)
    assert chosen_upstream(placement) == "b"


def test_load_reported_by_peers_counts():
    placement = make_placement("a", "b")
    placement.set_peer_load("peer", {"a": (2, 9_000)})
    assert chosen_upstream(placement) == "b"
    placement.set_peer_load("peer", {"b": (2, 9_000)})
    assert chosen_upstream(placement) == "a"


def test_old_reports_attract_nobody():
    """All gateways of a large fleet sent their calls to the upstream that had been the best."""
    chosen = Counter()
    for seed in range(300):
        placement = make_placement("a", "b", "c", slots=6)
        placement._rng.seed(seed)
        placement.set_peer_load("peer", {"a": (5, 0), "b": (4, 0), "c": (1, 0)})
        failures = {"a": 90, "b": 60, "c": 30}
        records = {name: (0, 0, 0, 0, 3_000, failures[name]) for name in failures}
        placement.update_peer_health("peer", records, {}, 0)
        placement.refresh(0)
        placement.has_old_reports = True
        chosen[chosen_upstream(placement, 0)] += 1
        assert chosen_upstream(placement, 0, only_with_capacity=True) == "c"
    assert min(chosen[name] for name in "abc") > 60
    # An upstream that fails many requests is avoided.
    placement.update_peer_health("peer", dict.fromkeys("ab", (0, 0, 0, 0, 3_000, 900)), {}, 0)
    placement.refresh(0)
    assert chosen_upstream(placement, 0) == "c"


def test_a_grant_counts_until_the_peer_reports_it():
    """Otherwise all daemons would fill the same free slot while load reports are outdated."""
    placement = make_placement("a", slots=1)
    placement.grant_to_peer("peer", "a", 500, 7)
    placement.set_peer_load("peer", {}, last_grant=6)
    assert placement.upstreams["a"].running() == 1
    placement.set_peer_load("peer", {"a": (1, 0)}, last_grant=7)
    assert placement.upstreams["a"].running() == 1
    assert placement.upstreams["a"].prefill_tokens() == 0


def test_full_upstreams_are_chosen_only_if_room_is_not_required():
    placement = make_placement("a", slots=1)
    placement.set_peer_load("peer", {"a": (2, 0)})
    assert chosen_upstream(placement, only_with_capacity=True) is None
    assert chosen_upstream(placement) == "a"


def test_leaving_and_replaced_upstreams_are_not_chosen():
    placement = make_placement("a", "b")
    placement.set_upstream(
        RegisteredUpstream(
            "a", "assistant", ADDRESS, slots=2, version="v1", started_wall_ms=1, leaving=True
        )
    )
    placement.mark_replaced("b", 0)
    assert chosen_upstream(placement) is None


def test_a_new_entry_makes_a_replaced_upstream_usable_again():
    """Otherwise an instance marked as replaced would stay unused although it is alive."""
    placement = make_placement("a")
    placement.mark_replaced("a", 0)
    placement.set_upstream(
        RegisteredUpstream("a", "assistant", ADDRESS, slots=2, version="v1", started_wall_ms=1)
    )
    assert chosen_upstream(placement) == "a"


def test_a_restarted_upstream_has_no_load():
    placement = make_placement("a")
    placement.record_start("a", 900)
    placement.set_upstream(
        RegisteredUpstream("a", "assistant", ADDRESS, slots=2, version="v1", started_wall_ms=2)
    )
    assert placement.upstreams["a"].running() == 0


def test_upstreams_in_backoff_are_used_if_there_is_no_other():
    placement = make_placement("a", "b")
    placement.back_off("a", 0)
    assert chosen_upstream(placement) == "b"
    placement.back_off("b", 0)
    assert chosen_upstream(placement) in ("a", "b")


def test_a_load_report_for_one_group_keeps_the_loads_of_others():
    """A dispatcher gets load reports for its own slot groups only and must keep other loads."""
    names = [f"engine-{number}" for number in range(10)]
    placement = make_placement(*names)
    groups = {name: placement.group_of(name) for name in names}
    assert {group.count for group in groups.values()} == {2}
    first_engine = next(name for name in names if groups[name].number == 0)
    second_engine = next(name for name in names if groups[name].number == 1)
    placement.set_peer_load("peer", {first_engine: (2, 900), second_engine: (1, 400)})
    placement.grant_to_peer("peer", first_engine, 100, 7)
    placement.set_peer_load(
        "peer", {first_engine: (1, 0)}, last_grant=6, group=groups[first_engine]
    )
    assert (
        placement.upstreams[first_engine].running(),
        placement.upstreams[second_engine].running(),
    ) == (2, 1)
    placement.set_peer_load(
        "peer", {first_engine: (2, 100)}, last_grant=7, group=groups[first_engine]
    )
    assert (
        placement.upstreams[first_engine].running(),
        placement.upstreams[second_engine].running(),
    ) == (2, 1)
    placement.set_peer_load("peer", {}, last_grant=7)
    assert (
        placement.upstreams[first_engine].running(),
        placement.upstreams[second_engine].running(),
    ) == (0, 0)


def test_backoff_reported_by_peers_counts():
    placement = make_placement("a", "b")
    placement.update_peer_health("peer", {}, {"a": 500}, 0)
    assert chosen_upstream(placement) == "b"


def test_a_failing_upstream_is_avoided():
    placement = make_placement("a", "b")
    for _ in range(20):
        placement.record_end("a", 0, held_ms=None, fault=True)
        placement.record_end("b", 0, held_ms=None, fault=False)
    placement.refresh(0)
    assert chosen_upstream(placement) == "b"


def test_prefill_speed_measured_by_peers_counts():
    placement = make_placement("fast", "slow")
    slow = UpstreamStats(prefilled_tokens=50_000, prefill_ms=10_000).values()
    placement.update_peer_health("peer", {"slow": slow}, {}, 0)
    placement.refresh(0)
    assert chosen_upstream(placement, tokens=5_000) == "fast"


def test_peer_records_are_replaced_and_dropped():
    """A record that counts twice, or remains after its daemon has left, would distort the speed."""
    placement = make_placement("a")
    prior_speed = placement.upstreams["a"].tokens_per_ms
    slow = UpstreamStats(prefilled_tokens=50_000, prefill_ms=10_000).values()
    fast = UpstreamStats(prefilled_tokens=50_000, prefill_ms=1_000).values()
    placement.update_peer_health("one", {"a": slow}, {}, 0)
    placement.update_peer_health("two", {"a": fast}, {}, 0)
    placement.refresh(0)
    combined_speed = placement.upstreams["a"].tokens_per_ms
    placement.update_peer_health("one", {"a": fast}, {}, 0)
    placement.update_peer_health("one", {"a": slow}, {}, 0)
    placement.refresh(0)
    assert placement.upstreams["a"].tokens_per_ms == combined_speed
    placement.forget_peer("one")
    placement.update_peer_health("two", {}, {}, 0)
    placement.refresh(0)
    assert placement.upstreams["a"].tokens_per_ms == prior_speed


def test_long_answers_avoid_engines_on_which_they_miss_their_deadline():
    placement = make_placement("fast", "slow")
    record = UpstreamStats(events=1_000, streaming_ms=100_000).values()
    placement.update_peer_health("peer", {"slow": record}, {}, 0)
    placement.refresh(0)
    placement.record_start("fast", 9_000)
    assert chosen_upstream(placement) == "slow"
    assert chosen_upstream(placement, output_tokens=2_400, remaining_ms=12_000) == "fast"


def test_long_prompts_avoid_streams_that_they_would_stall():
    placement = make_placement("busy", "idle")
    placement.record_start("busy", 0)
    # The prefill backlog of the idle engine makes it the slower one for the request itself.
    placement.set_peer_load("peer", {"idle": (0, 6_000)})
    assert chosen_upstream(placement, tokens=12_000) == "busy"
    assert chosen_upstream(placement, tokens=12_000, max_event_gap_ms=200) == "idle"


def test_records_decay():
    """Otherwise an engine that becomes slow, or recovers, would keep its old rating."""
    placement = make_placement("a")
    placement.record_end("a", 0, held_ms=None, fault=True)
    placement.refresh(0)
    previous_rate = placement.upstreams["a"].fault_rate
    placement.refresh(20_000)
    assert placement.upstreams["a"].fault_rate < previous_rate / 2


def test_a_record_round_trips_through_its_message_values():
    record = UpstreamStats(1_000, 20.5, 3, 75.5, 4, 1)
    assert UpstreamStats.from_values(record.values()) == record


def test_leaving_upstreams_reported_by_a_peer_are_not_chosen():
    """A daemon that cannot read the store would otherwise go on using draining upstreams."""
    placement = make_placement("a", "b")
    placement.mark_leaving({"a": 1, "gone": 1}, 0)
    assert chosen_upstream(placement) == "b"
    # Another start time denotes an earlier instance.
    placement.mark_leaving({"b": 0}, 0)
    assert chosen_upstream(placement) == "b"


def test_only_an_instance_that_was_not_known_to_leave_is_new():
    placement = make_placement("a", "b")
    placement.upstreams["a"].leaving = True
    assert placement.mark_leaving({"a": 1, "b": 1, "c": 1}, 0) == [("b", 1), ("c", 1)]
    assert placement.mark_leaving({"a": 1, "b": 1, "c": 1}, 0) == []


def test_peers_are_told_of_a_leaving_upstream_for_a_minute_after_it_was_listed():
    placement = make_placement("a", "b")
    placement.mark_leaving({"a": 1}, 0)
    placement.remove("a")
    assert placement.own_leaving(60_000) == {"a": 1}
    assert placement.own_leaving(60_001) == {}


GATEWAYS, WORKERS = 30, 20
STATE_INTERVAL_MS, REFRESH_MS, HOLD_MS = 500, 500, 400


def simulate_fleet(failing, duration_ms=10_000, interval_ms=16):
    """Return, by upstream, the times at which a fleet of gateways sends it requests.

    All requests of the upstreams in `failing` fail at once, so these always look idle. The
    upstreams are healthy or ill in their health checks as they like, because none are made.
    """
    rng = random.Random(7)
    names = [f"w{i}" for i in range(WORKERS)]
    fleet = [make_placement(*names, slots=4) for _ in range(GATEWAYS)]
    sent = {name: [] for name in names}
    ends = []
    for now_ms in range(0, duration_ms, interval_ms):
        for end in [each for each in ends if each[0] <= now_ms]:
            ends.remove(end)
            _, placement, name = end
            placement.record_end(name, 0, held_ms=HOLD_MS, fault=False)
        placement = rng.choice(fleet)
        name = placement.choose("assistant", 500, now_ms, only_with_capacity=True).upstream
        sent[name].append(now_ms)
        placement.record_start(name, 500)
        if name in failing:
            placement.record_end(name, 500, held_ms=None, fault=True)
        else:
            placement.record_first_token(name, 500, 40, 0)
            ends.append((now_ms + HOLD_MS, placement, name))
        if now_ms % REFRESH_MS < interval_ms:
            for each in fleet:
                each.refresh(now_ms)
        if now_ms % STATE_INTERVAL_MS < interval_ms:
            for number, each in enumerate(fleet):
                loads, records = each.own_loads(), each.own_records()
                for other in fleet:
                    if other is not each:
                        other.set_peer_load(f"g{number}", loads)
                        other.update_peer_health(f"g{number}", records, {}, now_ms)
    return sent


def test_an_upstream_that_says_well_and_fails_all_gets_little_from_the_whole_fleet():
    """Lying health checks: an upstream that fails at once is always idle and attracts requests."""
    sent = simulate_fleet({"w0"})
    total = sum(len(times) for times in sent.values())
    assert len(sent["w0"]) < total / WORKERS
    late = {name: sum(at_ms >= 3_000 for at_ms in times) for name, times in sent.items()}
    assert late["w0"] < 0.1 * sum(late.values()) / WORKERS


def test_an_upstream_that_is_called_ill_and_serves_keeps_its_share():
    """Lying health checks: answers decide; an upstream that gives them is used like the others."""
    sent = {name: len(times) for name, times in simulate_fleet(set()).items()}
    assert min(sent.values()) > 0.5 * sum(sent.values()) / WORKERS


def make_two_versions(old, new):
    placement = make_placement(*(f"old-{number}" for number in range(old)))
    for number in range(new):
        placement.set_upstream(
            RegisteredUpstream(f"new-{number}", "assistant", ADDRESS, slots=2, version="v2")
        )
    return placement


def test_a_version_rule_keeps_requests_from_the_new_version():
    placement = make_two_versions(1, 3)
    assert chosen_upstream(placement, version_rule=OtherVersions("v2")) == "old-0"
    full = {"only_with_capacity": True, "version_rule": OtherVersions("v2")}
    placement.set_peer_load("peer", {"old-0": (9, 0)})
    assert chosen_upstream(placement, **full) is None


def test_a_preferred_version_that_is_full_does_not_hold_a_request_up():
    placement = make_two_versions(1, 1)
    prefer = {"only_with_capacity": True, "version_rule": PreferVersion("v2")}
    assert chosen_upstream(placement, **prefer) == "new-0"
    placement.set_peer_load("peer", {"new-0": (9, 0)})
    assert chosen_upstream(placement, **prefer) == "old-0"


def test_the_upstreams_of_a_new_version_do_not_split_the_old_ones_into_groups():
    """Requests waited in a group with few old upstreams while another one had free slots."""
    assert len(make_two_versions(6, 6).group_loads("assistant")) == 1
    assert len(make_two_versions(10, 6).group_loads("assistant")) == 2


def test_the_load_of_a_group_is_that_of_the_versions_that_may_be_chosen():
    placement = make_two_versions(10, 10)
    loads = placement.group_loads("assistant", OtherVersions("v2"))
    assert sum(slots for _, slots in loads) == 20
    assert sum(slots for _, slots in placement.group_loads("assistant")) == 40
