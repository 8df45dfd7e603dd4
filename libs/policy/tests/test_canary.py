"""Pattern: a new version that answers several times slower, or fails, runs beside the old one."""

import random

import pytest

from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_policy.canary import CanaryTable, RolloutOrder
from skylarkmoor_policy.versionrules import OtherVersions, PreferVersion

ORDER = RolloutOrder("assistant", "v2", LogPosition(1, 7), 15_000)
BOTH = {"v1", "v2"}
OLD_GAP_MS = 20.0


def table(host="a", max_share=0.1):
    canaries = CanaryTable(host, 1, max_share)
    canaries.begin(ORDER, 0)
    return canaries


def rule(canaries, request="r", versions=BOTH, running=0, now_ms=0, daemons=("a",)):
    return canaries.rule(
        "assistant", request, versions, running=running, daemons=daemons, now_ms=now_ms
    )


def stop(canaries):
    canaries.mark_stopped("assistant", "v2")
    return canaries


@pytest.mark.parametrize("max_share", [0.1, 0.04])
def test_a_new_version_gets_half_of_the_bound(max_share):
    canaries = table(max_share=max_share)
    rules = [rule(canaries, f"r{number}") for number in range(50_000)]
    share = rules.count(PreferVersion("v2")) / len(rules)
    assert share == pytest.approx(max_share / 2, rel=0.2)
    assert set(rules) == {PreferVersion("v2"), OtherVersions("v2")}


def test_without_an_order_all_versions_are_used():
    assert rule(CanaryTable("a", 1, 0.1)) is None


def test_only_a_newer_order_replaces_one():
    canaries = stop(table())
    assert not canaries.begin(ORDER, 0)
    assert canaries.begin(RolloutOrder("assistant", "v3", LogPosition(1, 9), 15_000), 0)
    assert canaries.target("assistant") == "v3"


@pytest.mark.parametrize("canaries", [table(), stop(table())], ids=["running", "stopped"])
def test_a_service_with_the_new_version_alone_is_served(canaries):
    assert rule(canaries, versions={"v2"}) is None
    assert canaries.rule_after_failure("assistant", {"v2"}) is None


def test_a_stopped_version_may_come_back_by_another_change():
    """A release of it would leave all requests to ever fewer upstreams."""
    canaries = stop(table())
    for now_ms in (0, 1_000):
        assert rule(canaries, now_ms=now_ms) == OtherVersions("v2")
    assert rule(canaries, versions={"v1"}, now_ms=50_000) == OtherVersions("v2")
    assert rule(canaries, now_ms=60_000) == OtherVersions("v2")
    assert rule(canaries, versions={"v1"}, now_ms=120_001) is None
    assert rule(canaries, now_ms=121_000) is None
    assert canaries.target("assistant") is None
    assert not canaries.begin(ORDER, 0)


def test_a_version_that_was_stopped_and_has_left_before_the_start_is_forgotten():
    canaries = stop(table())
    # The list of upstreams has not been read yet.
    assert rule(canaries, versions=set()) is None
    assert canaries.target("assistant") == "v2"
    assert rule(canaries, versions={"v1"}) is None
    assert rule(canaries) is None


def test_a_request_is_repeated_on_the_old_version():
    assert table().rule_after_failure("assistant", BOTH) == OtherVersions("v2")


def test_few_requests_run_on_a_new_version_at_a_time():
    canaries = table()
    rules = [rule(canaries, f"r{number}", running=16) for number in range(1_000)]
    assert set(rules) == {OtherVersions("v2")}


def play(canaries, *, slowdown=1.0, failing=0.0, per_s=36, until_ms=15_000, seed=1):
    """Record requests of a day, and return those that the new version got and the bad of them."""
    rng = random.Random(seed)
    got = bad = 0
    at_ms, checked_ms = 0.0, 0
    while (at_ms := at_ms + rng.expovariate(per_s / 1_000)) < until_ms:
        if at_ms - checked_ms >= 500:
            checked_ms = int(at_ms)
            canaries.collect_facts(checked_ms, checked_ms)
        is_new = rule(canaries, f"r{at_ms}", now_ms=int(at_ms)) == PreferVersion("v2")
        is_bad = is_new and (slowdown > 1 or rng.random() < failing)
        gap_ms = OLD_GAP_MS * rng.uniform(0.8, 1.3) * (slowdown if is_new else 1)
        failed = is_new and is_bad and slowdown == 1
        version = "v2" if is_new else "v1"
        canaries.count_sent("assistant", version)
        canaries.record("assistant", "brief", version, gap_ms, failed=failed)
        got += is_new
        bad += is_bad
    return got, bad


@pytest.mark.parametrize("bad", [{"slowdown": 4}, {"failing": 0.8}], ids=["slow", "failing"])
@pytest.mark.parametrize("per_s", [36, 400], ids=["6 engines", "50 engines"])
def test_a_bad_version_is_stopped_within_its_bounds(bad, per_s):
    """A version that was several times slower got 151 of 542 requests (EXPOSURE)."""
    for seed in range(5):
        canaries = table()
        got, bad_count = play(canaries, per_s=per_s, seed=seed, **bad)
        (canary,) = canaries.canaries()
        assert canary.stop_reason is not None
        assert "requests" in canary.stop_reason
        assert got <= 0.1 * per_s * 15
        assert bad_count < 50
        assert rule(canaries) == OtherVersions("v2")


def test_a_good_version_is_not_stopped_before_its_time_ends():
    for seed in range(5):
        canaries = table()
        play(canaries, seed=seed, until_ms=13_000)
        (canary,) = canaries.canaries()
        assert canary.stop_reason is None
        canaries.collect_facts(13_500, 13_500)
        assert canary.stop_reason == "the order was not completed by 15000"


@pytest.mark.parametrize(("daemons", "most"), [(1, 40), (9, 36), (40, 40), (200, 40)])
def test_a_version_that_looks_good_gets_fewer_requests_than_may_be_bad(daemons, most):
    """A version that is slow under load only looks as fast as the old one."""
    hosts = [f"host-{number}" for number in range(daemons)]
    sent = 0
    for host in hosts:
        canaries = table(host)
        for number in range(2_000):
            if rule(canaries, f"{host}/{number}", daemons=hosts) == PreferVersion("v2"):
                canaries.count_sent("assistant", "v2")
                sent += 1
    assert sent == most


def test_daemons_add_up_what_each_of_them_has_seen():
    """One of nine daemons sees too few requests of the new version to stop it."""
    canaries = [table(f"host-{number}") for number in range(9)]
    for now_ms in range(0, 9_000, 500):
        for index, each in enumerate(canaries):
            for _ in range(5):
                each.record("assistant", "brief", "v1", OLD_GAP_MS, failed=False)
            if now_ms // 500 % 9 == index:
                each.record("assistant", "brief", "v2", OLD_GAP_MS, failed=True)
            facts = each.collect_facts(now_ms, now_ms)
            for peer in canaries:
                if peer is not each:
                    peer.apply_facts(facts, now_ms)
    assert all(rule(each) == OtherVersions("v2") for each in canaries)


def test_a_stop_is_repeated_to_the_peers_for_a_minute():
    canaries, late = table(), table("late")
    play(canaries, failing=1.0)
    assert canaries.collect_facts(20_000, 20_000)
    late.apply_facts(canaries.collect_facts(30_000, 30_000), 30_000)
    assert rule(late) == OtherVersions("v2")
    assert canaries.collect_facts(90_000, 90_000) == []
