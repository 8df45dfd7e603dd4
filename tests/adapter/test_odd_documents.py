"""Guards against documents of another writer that stop a gateway, its reports or its requests."""

import json

import msgspec
import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from adapter_harness import CONFIG, answer, request
from skylarkmoor_adapter.records import (
    decode_configuration,
    decode_rollout_order,
    decode_rollout_status,
    decode_upstream_entry,
    is_valid_upstream_id,
)
from skylarkmoor_core.errors import DocumentError, SettingsError
from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_core.messages import Envelope, decode_envelope, encode_envelope
from skylarkmoor_core.settings import parse_address

ENTRY = {
    "service": "orders",
    "address": "10.0.0.9:1",
    "state": "ready",
    "slots": 2,
    "version": "v1",
    "born": 17,
    "seq": 1,
}
ORDER = {"service": "orders", "target": "v2", "duration_s": 30}
STATUS = {"service": "orders", "target": "v2", "state": "running"}
HUGE = int("9" * 400)
NUMBERS = [-1, 0, 2**31, 2**53 + 1, 2**63, 2**64, -(2**63) - 1, HUGE, -HUGE, 0.5, 1e308, True]
TEXTS = ["", " ", "\n", "a\nb", "\x00", " a", "a ", "é", "9" * 5_000, "a" * 100_000]
values = st.one_of(
    st.sampled_from([*NUMBERS, *TEXTS, None, [], {}, [[]]]),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
)


def odd(document):
    """Return documents of which some fields have other values, or are missing."""
    fields = st.dictionaries(st.sampled_from(sorted(document)), values, max_size=2)
    missing = st.sets(st.sampled_from(sorted(document)), max_size=1)
    return st.builds(
        lambda changes, left_out: {
            name: value
            for name, value in (document | changes).items()
            if name not in left_out or name in changes
        },
        fields,
        missing,
    )


def encode(document):
    # Unlike msgspec, this writes numbers of any size, and infinities.
    return json.dumps(document).encode()


def decode(function, *arguments):
    """Return what a document says, None if it is refused with the error for documents."""
    try:
        return function(*arguments)
    except DocumentError:
        return None


def check_gateway(harness):
    """Check that the gateway can report its state and answer a request."""
    state = harness.gateway.fleet._state()
    envelope = Envelope("host-1", 1, state)
    assert decode_envelope(encode_envelope(envelope)).message == state
    caller = harness.caller()
    caller.send(request("/stock/1"))
    while harness.pending_connections():
        harness.accept().send(answer(Connection="close"))
    harness.advance(1_000)
    status = caller.received()[9:12]
    assert status in (b"200", b"503")


@seed(30)
@settings(max_examples=300, deadline=None, suppress_health_check=list(HealthCheck))
@given(entry=odd(ENTRY), name=st.one_of(st.just("o1"), st.sampled_from(TEXTS), st.text(max_size=9)))
def test_an_odd_entry_stops_nothing(make_harness, entry, name):
    decoded = decode(decode_upstream_entry, encode(entry))
    harness = make_harness()
    if decoded is not None and is_valid_upstream_id(name):
        assert 0 < decoded.slots <= 100_000
        port = decoded.endpoint.port
        values = {
            "slots": decoded.slots,
            "started_wall_ms": decoded.born,
            "leaving": decoded.leaving,
        }
        harness.add_upstream(name, decoded.service, port, **values)
    check_gateway(harness)


@seed(30)
@settings(max_examples=300, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    route=odd(json.loads(CONFIG)["routes"][1]),
    tenant=odd(json.loads(CONFIG)["tenants"][0]),
    limits=odd(json.loads(CONFIG)["limits"]),
    version=st.one_of(st.just(4), values),
)
def test_an_odd_configuration_stops_nothing(make_harness, route, tenant, limits, version):
    config = json.loads(CONFIG) | {"version": version, "limits": limits, "tenants": [tenant]}
    config["routes"][1] = route
    table = decode(decode_configuration, encode(config))
    harness = make_harness()
    harness.add_upstream("o1", "orders", 1)
    if table is None:
        check_gateway(harness)
        return
    harness.gateway.fleet.versions.update(LogPosition(0, 9), table.version)
    harness.gateway.set_table(table, encode(config))
    state = harness.gateway.fleet._state()
    assert encode_envelope(Envelope("host-1", 1, state))
    caller = harness.caller()
    caller.send(request("/stock/1"))
    while harness.pending_connections():
        harness.accept().send(answer(Connection="close"))
    harness.advance(1_000)
    assert caller.received().startswith(b"HTTP/1.1 ")


@seed(30)
@settings(max_examples=300, deadline=None, suppress_health_check=list(HealthCheck))
@given(order=odd(ORDER), status=odd(STATUS))
def test_an_odd_rollout_stops_nothing(make_harness, order, status):
    decode(decode_rollout_status, encode(status))
    decoded = decode(decode_rollout_order, encode(order), LogPosition(0, 1))
    harness = make_harness()
    harness.add_upstream("o1", "orders", 1)
    if decoded is not None:
        harness.gateway.begin_rollout(decoded)
    check_gateway(harness)


@pytest.mark.parametrize("data", [b"[" * 100_000, b'{"a":' * 100_000, b'{"slots":' + b"9" * 5_000])
def test_very_deep_or_long_documents_are_refused(data):
    for function in (decode_upstream_entry, decode_configuration, decode_rollout_status):
        with pytest.raises(DocumentError):
            function(data)


@pytest.mark.parametrize("port", ["-1", "65536", "9" * 5_000, "٣", "", "8 0", "+80"])
def test_addresses_with_an_odd_port_are_refused(port):
    with pytest.raises(SettingsError):
        parse_address(f"10.0.0.1:{port}")


@pytest.mark.parametrize("name", ["", " a", "a ", "a\nb", "\x00", "\x7f", "a" * 1_001])
def test_ids_that_cannot_be_sent_in_a_header_are_refused(name):
    assert not is_valid_upstream_id(name)


@pytest.mark.parametrize("name", ["i-7f3a91c2", "a b", "é"])
def test_other_ids_are_valid(name):
    assert is_valid_upstream_id(name)


@pytest.mark.parametrize("overrides", [{"born": 2**63}, {"born": -1}, {"slots": 100_001}])
def test_numbers_of_an_entry_have_ranges(overrides):
    with pytest.raises(DocumentError):
        decode_upstream_entry(msgspec.json.encode(ENTRY | overrides))
