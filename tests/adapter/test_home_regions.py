"""Guards against requests that leave their home regions, by choice, grant, retry or tunnel."""

from dataclasses import replace

import msgspec
import pytest

from adapter_harness import CONFIG, answer, request
from skylarkmoor_adapter.records import decode_configuration
from skylarkmoor_core.messages import SlotGrant, SlotRequest
from skylarkmoor_core.settings import Address
from skylarkmoor_policy.homeregions import RegionMap, home_regions
from skylarkmoor_policy.reachability import DirectPath, PeerPath, RelayPeer

REGIONS = {"a": "north", "b": "south", "c": "north"}


def set_home(harness, route_regions=(), customer_regions=()):
    config = msgspec.json.decode(CONFIG)
    for each in config["routes"]:
        each["home_regions"] = list(route_regions)
    config["tenants"][0]["home_regions"] = list(customer_regions)
    data = msgspec.json.encode(config)
    harness.gateway.set_table(decode_configuration(data), data)
    harness.gateway.placement.regions = RegionMap(REGIONS, "north")


def add_upstreams(harness, service, **domains):
    for number, (name, domain) in enumerate(domains.items()):
        harness.add_upstream(name, service, 80 + number, slots=1, failure_domain=domain)


def test_a_request_has_the_regions_that_route_and_customer_share():
    north, south = frozenset({"north"}), frozenset({"south"})
    assert home_regions(frozenset(), frozenset()) is None
    assert home_regions(north, frozenset()) == home_regions(frozenset(), north) == north
    assert home_regions(north | south, south) == south
    assert home_regions(north, south) == frozenset()


@pytest.mark.parametrize("path", ["/stock/1", "/answer/1"])
def test_requests_run_in_their_home_regions_only(harness, path):
    service = "assistant" if path == "/answer/1" else "orders"
    set_home(harness, customer_regions=["south"])
    add_upstreams(harness, service, u1="a", u2="b", u3="", u4="unknown")
    for number in range(2):
        harness.caller().send(request(path, Skylarkmoor_Request_Id=f"r{number}"))
    addresses = {harness.take_connection().address for _ in range(harness.pending_connections())}
    assert addresses == {("10.0.0.9", 81)}


@pytest.mark.parametrize("path", ["/stock/1", "/answer/1"])
@pytest.mark.parametrize("regions", [["east"], ["south", ""]])
def test_a_request_without_an_upstream_at_home_is_refused(harness, path, regions):
    set_home(harness, regions, ["north", ""] if "" in regions else [])
    add_upstreams(harness, "orders", o1="a", o2="b", o3="")
    add_upstreams(harness, "assistant", e1="a", e2="b", e3="")
    caller = harness.caller()
    caller.send(request(path))
    assert caller.received().startswith(b"HTTP/1.1 503")
    assert harness.pending_connections() == 0


def test_a_retry_stays_at_home(harness):
    set_home(harness, ["north"])
    add_upstreams(harness, "orders", o1="a", o2="b", o3="c")
    caller = harness.caller()
    caller.send(request("/stock/1"))
    harness.accept().close(reset=True)
    second = harness.take_connection()
    assert second.address[1] in (80, 82)
    second.accept().send(answer())
    assert caller.received().startswith(b"HTTP/1.1 200")


def test_an_upstream_that_moves_out_while_connecting_is_sent_nothing(harness):
    set_home(harness, ["north"])
    add_upstreams(harness, "orders", o1="a")
    harness.caller().send(request("/stock/1"))
    pending = harness.take_connection()
    add_upstreams(harness, "orders", o1="b")
    assert pending.accept().received() == b""


def test_a_grant_outside_of_the_home_regions_is_declined(harness, monkeypatch):
    """A dispatcher of an older build does not know of home regions."""
    set_home(harness, ["north"])
    add_upstreams(harness, "assistant", e1="a", e2="b")
    fleet = harness.gateway.fleet
    sent = []
    fleet.add_peer("host-2", Address("127.0.0.1", 7601))
    coordinator = fleet.slot_coordinator
    monkeypatch.setattr(coordinator, "dispatcher_of", lambda group: "host-2")
    monkeypatch.setattr(coordinator, "_send", lambda host, message: sent.append(message))
    harness.caller().send(request("/answer/1"))
    asked = sent[-1]
    assert isinstance(asked, SlotRequest)
    assert asked.regions == ("north",)
    assert asked.avoid == ("e2",)
    coordinator.handle_slot_grant("host-2", SlotGrant(asked.ticket, "e2", 1))
    assert harness.pending_connections() == 0
    harness.advance(25)
    assert isinstance(sent[-1], SlotRequest)


def test_a_dispatcher_grants_slots_at_home_only(harness, monkeypatch):
    set_home(harness)
    add_upstreams(harness, "assistant", e1="a", e2="b")
    coordinator = harness.gateway.fleet.slot_coordinator
    sent = []
    monkeypatch.setattr(coordinator, "_send", lambda host, message: sent.append(message))
    asked = SlotRequest(1, "assistant", 0, 0, False, 1, 0, 0, 500, 900, 1, 5_000)
    for ticket in range(2):
        asked = replace_ticket(asked, ticket)
        coordinator.handle_slot_request("host-2", 1, asked)
    assert {each.upstream for each in sent} == {"e2"}


def replace_ticket(asked, ticket):
    return msgspec.structs.replace(asked, ticket=ticket, regions=("south",))


def test_a_body_passes_peers_at_home_or_in_the_region_of_its_host_only(harness):
    set_home(harness, ["south"])
    add_upstreams(harness, "orders", o1="b")
    paths = harness.gateway.paths
    peer = RelayPeer(Address("127.0.0.2", 1), "x", frozenset(), 0)
    for host, domain in (("h1", "a"), ("h2", "b"), ("h3", "x")):
        paths.reachability.set_peer(host, replace(peer, failure_domain=domain))
    assert paths.barred_peers(frozenset({"south"})) == {"h3"}
    harness.gateway.placement.regions = RegionMap(REGIONS, "")
    assert paths.barred_peers(frozenset({"south"})) == {"h1", "h3"}
    harness.caller().send(request("/stock/1"))
    harness.refuse()
    through_peer = harness.take_connection()
    assert through_peer.address == ("127.0.0.2", 1)
    exchange = next(iter(harness.gateway._exchanges.values()))
    assert exchange._current.peer == "h2"
    assert isinstance(paths.path("o1", {"h1", "h2", "h3"}), DirectPath)
    assert isinstance(paths.path("o1"), PeerPath)
