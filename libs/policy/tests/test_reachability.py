"""Guards against a host that takes the failure of its own links for that of the upstreams."""

import random

import pytest

from skylarkmoor_core.settings import Address
from skylarkmoor_policy.reachability import DirectPath, PeerPath, Reachability, RelayPeer

ADDRESS = Address("10.1.0.2", 7601)


def peer(domain="north", unreachable=(), relayed=0):
    return RelayPeer(ADDRESS, domain, frozenset(unreachable), relayed)


@pytest.fixture
def paths():
    return Reachability("north", random.Random(1))


def test_a_path_is_direct_until_a_connection_fails(paths):
    paths.set_peer("host-2", peer())
    assert paths.path("u1", 100) == DirectPath()
    paths.connected("u1", 100)
    assert paths.path("u1", 100) == DirectPath()
    assert paths.failed("u1", 200)
    assert paths.path("u1", 200) == PeerPath("host-2", ADDRESS)
    assert paths.connected("u1", 300)
    assert paths.path("u1", 300) == DirectPath()


def test_bytes_on_an_open_connection_do_not_bring_a_path_back(paths):
    """New connections may be refused while open ones work on."""
    paths.failed("u1", 200)
    paths.heard("u1", 300)
    assert paths.is_down("u1")


def test_an_upstream_that_nobody_reaches_is_tried_directly(paths):
    paths.set_peer("host-2", peer(unreachable=["u1"]))
    paths.failed("u1", 200)
    assert paths.path("u1", 200) == DirectPath()
    assert not paths.is_path_lost("u1", 200)


def test_peers_of_the_own_failure_domain_are_preferred(paths):
    paths.set_peer("host-2", peer("south"))
    paths.set_peer("host-3", peer("north", relayed=90))
    paths.failed("u1", 200)
    assert paths.path("u1", 200).host == "host-3"
    assert paths.path("u1", 200, exclude=["host-3"]).host == "host-2"


def test_of_two_peers_the_one_that_passes_on_fewer_connections_is_chosen(paths):
    paths.set_peer("host-2", peer(relayed=4))
    paths.set_peer("host-3", peer(relayed=1))
    paths.failed("u1", 200)
    assert paths.path("u1", 200).host == "host-3"


def test_a_peer_that_failed_is_avoided_for_a_second(paths):
    paths.set_peer("host-2", peer())
    paths.failed("u1", 200)
    paths.failed("u2", 200)
    paths.peer_failed("host-2", 200, "u1")
    assert paths.path("u1", 1_199) == DirectPath()
    assert paths.path("u2", 1_199).host == "host-2"
    assert paths.path("u1", 1_200).host == "host-2"
    paths.peer_failed("host-2", 1_300)
    assert paths.path("u2", 1_400) == DirectPath()


def test_a_path_that_is_down_is_tried_once_a_second(paths):
    paths.failed("u1", 0)
    assert paths.due_probes(999) == []
    assert paths.due_probes(1_000) == ["u1"]
    assert paths.due_probes(1_025) == []


def test_few_paths_are_tried_at_once_and_all_in_turn(paths):
    upstreams = [f"u{number:02}" for number in range(20)]
    for upstream in upstreams:
        paths.failed(upstream, 0)
    rounds = [paths.due_probes(1_000 + 25 * each) for each in range(4)]
    assert [len(each) for each in rounds] == [8, 8, 4, 0]
    assert sorted(sum(rounds, [])) == upstreams


def test_only_silent_upstreams_are_suspected_and_not_repeatedly(paths):
    paths.heard("u1", 1_900)
    paths.heard("u2", 1_500)
    assert not paths.is_silent(["u1", "u2"], 2_000)
    assert paths.is_silent(["u2"], 2_000)
    assert paths.suspects(["u1", "u2"], 2_000) == ["u2"]
    assert paths.suspects(["u1", "u2"], 2_100) == []


def test_a_restarted_upstream_has_no_history(paths):
    paths.failed("u1", 0)
    paths.forget("u1")
    assert paths.unreachable() == ()
