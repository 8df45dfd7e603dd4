"""Guards against states that relays lose, pass on twice or pass on when they are outdated."""

from skylarkmoor_core.messages import GatewayState, RelayedState
from skylarkmoor_policy.staterelay import RELAY_SILENT_MS, StateRelay

HOSTS = {f"{domain}-{i}": domain for domain in ("nadi", "suva") for i in range(4)}


def make_relay(host):
    relay = StateRelay(host, HOSTS[host])
    relay.set_hosts(HOSTS)
    return relay


FIRST, SECOND = make_relay("nadi-0").own_relays()
MEMBER = next(host for host in HOSTS if host.startswith("nadi") and host not in (FIRST, SECOND))


def relayed(host, sequence=1, incarnation=1):
    state = GatewayState("10.0.0.1:7600", False, 0, {}, {}, {}, {}, sequence=sequence)
    return RelayedState(host, incarnation, state)


def test_all_hosts_of_a_domain_choose_the_same_relays():
    chosen = {tuple(make_relay(host).own_relays()) for host in HOSTS if host.startswith("nadi")}
    assert chosen == {(FIRST, SECOND)}


def test_hosts_with_a_fast_link_are_the_relays():
    """A host with a slow link sent the states of a large fleet ever later."""
    fast = {"nadi-2", "nadi-3"}
    relay = make_relay(MEMBER)
    relay.set_hosts(HOSTS, {host: 100.0 if host in fast else 5.0 for host in HOSTS})
    assert set(relay.own_relays()) == fast


def test_relays_stay_the_same_while_a_host_does_not_tell_its_link():
    """A host of an older build chooses all relays, those of other domains too, without links."""
    relay = make_relay(MEMBER)
    for older in (FIRST, "suva-1"):
        links_mbps = dict.fromkeys(HOSTS, 5.0) | {MEMBER: 100.0, older: 0.0}
        relay.set_hosts(HOSTS, links_mbps)
        assert list(relay.own_relays()) == [FIRST, SECOND]


def test_states_are_accepted_once_and_in_order():
    relay = make_relay(MEMBER)
    versions = [(1, 1), (1, 3), (1, 3), (1, 2), (2, 1), (1, 4)]
    accepted = [relay.accept("suva-1", *version) for version in versions]
    assert accepted == [True, True, False, False, True, False]


def test_own_states_go_to_members_and_relays_and_those_of_others_to_members_only():
    """A state that relays pass on to one another would travel in circles."""
    relay = make_relay(FIRST)
    own, other = relayed(MEMBER), relayed("suva-1")
    relay.collect(own, own_domain=True)
    relay.collect(other, own_domain=False)
    bundles = relay.take_bundles()
    assert sorted(bundles.members) == sorted(
        host for host in HOSTS if host.startswith("nadi") and host != FIRST
    )
    assert list(bundles.member_states) == [own, other]
    assert list(bundles.relays) == list(make_relay("suva-0").own_relays())
    assert list(bundles.relay_states) == [own]
    assert not relay.take_bundles().member_states


def test_only_the_newest_state_of_a_host_is_passed_on():
    relay = make_relay(FIRST)
    for sequence in (1, 2):
        relay.collect(relayed(MEMBER, sequence), own_domain=True)
    assert list(relay.take_bundles().member_states) == [relayed(MEMBER, 2)]


def test_host_that_is_no_relay_collects_nothing():
    relay = make_relay(MEMBER)
    relay.collect(relayed("nadi-0"), own_domain=True)
    assert not relay.is_active(0)
    assert not relay.take_bundles().member_states


def test_second_relay_takes_over_when_the_first_is_silent():
    relay = make_relay(SECOND)
    relay.bundle_heard(FIRST, [], 1_000)
    assert not relay.is_active(1_000 + RELAY_SILENT_MS)
    assert relay.is_active(1_001 + RELAY_SILENT_MS)


def test_second_relay_passes_on_what_the_first_has_not():
    """A state that only the second relay received would be lost if it relied on the first."""
    relay = make_relay(SECOND)
    for host in (MEMBER, FIRST, "suva-1"):
        relay.collect(relayed(host, 2), own_domain=host != "suva-1")
    relay.bundle_heard(FIRST, [relayed(MEMBER, 1), relayed(FIRST, 2), relayed("suva-1", 3)], 0)
    assert list(relay.take_bundles().member_states) == [relayed(MEMBER, 2)]


def test_relay_that_is_no_longer_one_forgets_its_states():
    relay = make_relay(FIRST)
    relay.collect(relayed(MEMBER), own_domain=True)
    relay.set_hosts({host: domain for host, domain in HOSTS.items() if host != FIRST})
    relay.set_hosts(HOSTS)
    assert not relay.take_bundles().member_states
