"""Tests the view of live daemons and leaving upstreams with stale, late and false information."""

import random

import pytest

from skylarkmoor_core.messages import Fact, FactKind, Gossip, Heartbeat, HostState
from skylarkmoor_policy.actions import Send
from skylarkmoor_policy.facts import FactStore
from skylarkmoor_policy.membership import (
    FAILURE_TIMEOUT_MS,
    HEARTBEAT_INTERVAL_MS,
    HostEntry,
    LeavingUpstreams,
    Membership,
    PublishFact,
    host_epoch,
    host_fact,
    host_state,
    leaving_fact,
)

ALIVE = Heartbeat(HostState.ALIVE, 1)


def entries(count, leaving=()):
    return [HostEntry(f"h{i}", f"d{i % 3}", f"h{i}" in leaving) for i in range(count)]


def make_membership(count=3, host="h0"):
    membership = Membership(host, 100, "d0")
    membership.apply_host_list(entries(count))
    return membership


def run_ticks(membership, start_ms, end_ms):
    decisions = []
    for now_ms in range(start_ms, end_ms + 1, HEARTBEAT_INTERVAL_MS):
        decisions += membership.tick(now_ms, now_ms)
    return decisions


def announced_facts(decisions):
    return [decision.fact for decision in decisions if isinstance(decision, PublishFact)]


def test_listed_hosts_are_live_before_any_fact():
    assert dict(make_membership().eligible_owners()) == {"h0": "d0", "h1": "d1", "h2": "d2"}


def test_fact_overrides_a_stale_host_list():
    membership = make_membership()
    membership.apply_facts([host_fact("h1", 1 << 10, HostState.LEFT, 5)], 5)
    membership.apply_host_list([*entries(3), HostEntry("h3", "d0")])
    assert list(membership.eligible_owners()) == ["h0", "h2", "h3"]


def test_unlisted_host_stays_live_while_its_fact_says_alive():
    membership = make_membership()
    membership.apply_facts([host_fact("h1", 1 << 10, HostState.ALIVE, 5)], 5)
    membership.apply_host_list(entries(1))
    assert list(membership.eligible_owners()) == ["h0", "h1"]


@pytest.mark.parametrize("source", ["fact", "list", "heartbeat"])
def test_draining_host_owns_no_state_but_stays_reachable(source):
    membership = make_membership()
    if source == "fact":
        membership.apply_facts([host_fact("h1", 1 << 10, HostState.DRAINING, 5)], 5)
    elif source == "list":
        membership.apply_host_list(entries(3, leaving=["h1"]))
    else:
        membership.receive_heartbeat("h1", 1, Heartbeat(HostState.DRAINING, 1), 5, 5)
    assert list(membership.eligible_owners()) == ["h0", "h2"]
    assert membership.reachable() == ["h1", "h2"]


def test_host_that_left_is_live_again_when_a_later_process_is_listed():
    membership = make_membership()
    membership.apply_facts([host_fact("h1", 7 << 10, HostState.LEFT, 5)], 5)
    membership.apply_host_list(entries(1))
    membership.apply_facts([host_fact("h1", 8 << 10, HostState.ALIVE, 6)], 6)
    assert "h1" not in membership.eligible_owners()
    membership.apply_host_list(entries(3))
    assert "h1" in membership.eligible_owners()


def test_draining_hosts_own_state_when_no_other_host_is_live():
    membership = make_membership(1)
    membership.advance_state(HostState.DRAINING, 5)
    assert list(membership.eligible_owners()) == ["h0"]


def test_silent_host_is_reported_by_its_watcher():
    membership = make_membership(2)
    membership.receive_heartbeat("h1", 7, ALIVE, 0, 0)
    facts = announced_facts(run_ticks(membership, 0, FAILURE_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS))
    assert [(fact.subject, host_state(fact)) for fact in facts] == [("h1", HostState.LEFT)]
    assert host_epoch(facts[0]) == 7 << 10
    assert list(membership.eligible_owners()) == ["h0"]


def test_listed_host_that_never_sent_a_heartbeat_is_reported():
    assert announced_facts(
        run_ticks(make_membership(2), 0, FAILURE_TIMEOUT_MS + HEARTBEAT_INTERVAL_MS)
    )


def test_host_that_sends_heartbeats_is_not_reported():
    membership = make_membership(2)
    for now_ms in range(0, 3 * FAILURE_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS):
        membership.receive_heartbeat("h1", 7, ALIVE, now_ms, now_ms)
        assert announced_facts(membership.tick(now_ms, now_ms)) == []


def test_paused_watcher_reports_no_failure():
    membership = make_membership(2)
    run_ticks(membership, 0, HEARTBEAT_INTERVAL_MS)
    assert announced_facts(membership.tick(10 * FAILURE_TIMEOUT_MS, 0)) == []


def test_host_is_watched_by_four_others_and_not_reported_by_the_rest():
    members = [make_membership(12, f"h{i}") for i in range(12)]
    assert len(set(members[0].watchers())) == 4
    reporters = []
    for observer in members[1:]:
        for now_ms in range(
            0, FAILURE_TIMEOUT_MS + 2 * HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS
        ):
            for other in range(1, 12):
                observer.receive_heartbeat(f"h{other}", 1, ALIVE, now_ms, now_ms)
            reporters += [
                (observer, fact.subject) for fact in announced_facts(observer.tick(now_ms, now_ms))
            ]
    reported = [subject for _, subject in reporters if subject == "h0"]
    assert len(reported) == 4


def test_wrongly_reported_host_refutes_with_a_higher_epoch():
    membership = make_membership()
    wrong = host_fact("h0", 100 << 10, HostState.LEFT, 5)
    (announce,) = membership.apply_facts([wrong], 6)
    assert host_state(announce.fact) is HostState.ALIVE
    assert announce.fact.value[0] > wrong.value[0]
    assert membership.incarnation("h0") == 100
    assert membership.apply_facts([announce.fact], 7) == []


def test_host_that_left_does_not_refute():
    membership = make_membership()
    membership.advance_state(HostState.LEFT, 5)
    assert membership.apply_facts([host_fact("h0", 999 << 10, HostState.LEFT, 5)], 6) == []


def test_heartbeat_from_a_host_recorded_as_left_is_answered_with_that_fact():
    membership = make_membership()
    left = host_fact("h1", 7 << 10, HostState.LEFT, 5)
    membership.apply_facts([left], 5)
    assert membership.receive_heartbeat("h1", 7, ALIVE, 6, 6) == [Send("h1", Gossip((left,)))]


def test_fact_with_an_unknown_state_is_ignored():
    membership = make_membership()
    assert membership.apply_facts([Fact(FactKind.HOST, "h1", (7 << 12 | 3, 5))], 5) == []
    assert "h1" in membership.eligible_owners()


def test_new_incarnation_is_live_again_and_old_messages_are_dropped():
    membership = make_membership()
    membership.apply_facts([host_fact("h1", 7 << 10, HostState.LEFT, 5)], 5)
    assert len(announced_facts(membership.receive_heartbeat("h1", 8, ALIVE, 6, 6))) == 1
    assert "h1" in membership.eligible_owners()
    assert membership.receive_heartbeat("h1", 7, Heartbeat(HostState.DRAINING, 9), 7, 7) == []
    assert "h1" in membership.eligible_owners()


def test_fleet_view_converges_after_a_crash_and_a_false_report():
    rng = random.Random(3)
    hosts = [f"h{i}" for i in range(12)]
    members = {host: make_membership(12, host) for host in hosts}
    stores = {host: FactStore() for host in hosts}
    for host in hosts:
        stores[host].put(members[host].own_fact(0))
    crashed = {"h5"}
    for now_ms in range(0, 15_000, HEARTBEAT_INTERVAL_MS):
        if now_ms == 5_000:
            stores["h1"].put(host_fact("h2", 100 << 10, HostState.LEFT, now_ms))
            members["h1"].apply_facts([stores["h1"].get(*_fact_key("h2"))], now_ms)
        for host in hosts:
            if host in crashed and now_ms >= 3_000:
                continue
            decisions = members[host].tick(now_ms, now_ms)
            decisions += stores[host].gossip_round(rng, now_ms, members[host].reachable())
            while decisions:
                decisions += _deliver(decisions.pop(), host, members, stores, now_ms)
    for host in sorted(set(hosts) - crashed):
        assert set(members[host].eligible_owners()) == set(hosts) - crashed, host


@pytest.mark.parametrize(("count", "cut"), [(9, 3), (30, 10)])
def test_sides_of_a_network_partition_rejoin_when_it_heals(count, cut):
    # Guards against a partition that persists after the network has healed, because neither side
    # sends anything to hosts that it has recorded as left.
    rng = random.Random(1)
    hosts = [f"h{i}" for i in range(count)]
    members = {host: make_membership(count, host) for host in hosts}
    stores = {host: FactStore() for host in hosts}
    for host in hosts:
        stores[host].put(members[host].own_fact(0))
    side = {host: i < cut for i, host in enumerate(hosts)}

    def step(now_ms, is_cut):
        for host in hosts:
            decisions = members[host].tick(now_ms, now_ms)
            decisions += stores[host].gossip_round(rng, now_ms, members[host].reachable())
            for decision in decisions:
                lost = is_cut and isinstance(decision, Send) and side[decision.to] != side[host]
                if not lost:
                    _deliver(decision, host, members, stores, now_ms)

    for now_ms in range(0, 30_000, HEARTBEAT_INTERVAL_MS):
        step(now_ms, is_cut=True)
    for host in hosts:
        assert set(members[host].eligible_owners()) == {h for h in hosts if side[h] == side[host]}
    for now_ms in range(30_000, 60_000, HEARTBEAT_INTERVAL_MS):
        step(now_ms, is_cut=False)
    assert [len(members[host].eligible_owners()) for host in hosts] == [count] * count


@pytest.mark.parametrize("departed", [1, 29])
def test_probe_rate_does_not_grow_with_the_number_of_departed_hosts(departed):
    membership = make_membership(30)
    for i in range(1, 1 + departed):
        membership.apply_facts([host_fact(f"h{i}", 7 << 10, HostState.LEFT, 5)], 5)
    decisions = []
    for now_ms in range(0, 50_000, HEARTBEAT_INTERVAL_MS):
        for i in range(1 + departed, 30):
            membership.receive_heartbeat(f"h{i}", 7, ALIVE, now_ms, now_ms)
        decisions += membership.tick(now_ms, now_ms)
    probes = [
        decision
        for decision in decisions
        if isinstance(decision, Send) and isinstance(decision.message, Gossip)
    ]
    assert len(probes) == 10
    assert len({probe.to for probe in probes}) == min(departed, 10)


def test_probe_after_a_long_partition_is_not_dropped_as_expired():
    hour_ms = 3_600_000
    membership = make_membership(2)
    membership.apply_facts([host_fact("h1", 100 << 10, HostState.LEFT, 5)], 5)
    (probe,) = membership.tick(0, 2 * hour_ms)
    store, other = FactStore(), make_membership(2, "h1")
    store.expire(2 * hour_ms)
    (announce,) = other.apply_facts(store.merge(probe.message.facts), 2 * hour_ms)
    assert host_state(announce.fact) is HostState.ALIVE


def _fact_key(host):
    fact = host_fact(host, 0, HostState.ALIVE, 0)
    return fact.kind, fact.subject


def _deliver(decision, host, members, stores, now_ms):
    match decision:
        case PublishFact(fact=fact):
            stores[host].put(fact)
            return []
        case Send(to=to, message=Gossip(facts=facts)):
            new = stores[to].merge(facts)
            for announce in members[to].apply_facts(new, now_ms):
                stores[to].put(announce.fact)
            return []
        case Send(to=to, message=heartbeat):
            answers = members[to].receive_heartbeat(host, 100, heartbeat, now_ms, now_ms)
            for answer in answers:
                _deliver(answer, to, members, stores, now_ms)
            return []


@pytest.mark.parametrize("source", ["list", "answer", "refusal", "fact"])
def test_upstream_is_leaving_by_whichever_source_comes_first(source):
    states = LeavingUpstreams()
    states.apply_host_list({"u1": False}, 0)
    states.record_answer("u1", 10, False, 0)
    assert not states.is_leaving("u1")
    if source == "list":
        assert states.apply_host_list({"u1": True}, 5) == [PublishFact(leaving_fact("u1", 10, 5))]
    elif source == "answer":
        assert states.record_answer("u1", 10, True, 5) == [PublishFact(leaving_fact("u1", 10, 5))]
    elif source == "refusal":
        assert states.record_answer("u1", None, True, 5) == [PublishFact(leaving_fact("u1", 10, 5))]
    else:
        states.apply_facts([leaving_fact("u1", 10, 5)])
    assert states.is_leaving("u1")


def test_upstream_stays_leaving_until_its_next_incarnation():
    states = LeavingUpstreams()
    states.record_answer("u1", 10, True, 0)
    states.record_answer("u1", 10, False, 1)
    states.apply_host_list({"u1": False}, 1)
    assert states.is_leaving("u1")
    states.record_answer("u1", 11, False, 2)
    assert not states.is_leaving("u1")
    assert states.record_answer("u1", 10, True, 3) == []
    assert not states.is_leaving("u1")


def test_stale_first_host_list_does_not_mark_a_new_incarnation_leaving():
    # When this daemon starts, the list still shows the drain of an earlier incarnation.
    states = LeavingUpstreams()
    assert states.apply_host_list({"u1": True}, 0) == []
    assert states.record_answer("u1", 11, False, 0) == []
    assert states.is_leaving("u1")
    states.apply_host_list({"u1": False}, 1)
    assert not states.is_leaving("u1")


def test_refusal_before_any_report_marks_the_next_reported_incarnation_leaving():
    states = LeavingUpstreams()
    assert states.record_answer("u1", None, True, 0) == []
    assert states.is_leaving("u1")
    assert states.record_answer("u1", 10, False, 1) == [PublishFact(leaving_fact("u1", 10, 1))]
    assert states.is_leaving("u1")
