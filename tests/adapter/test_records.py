"""Guards against misread configurations and upstream entries, and use of malformed ones."""

import msgspec
import pytest

from adapter_harness import CONFIG
from skylarkmoor_adapter.records import decode_configuration, decode_upstream_entry
from skylarkmoor_core.errors import DocumentError
from skylarkmoor_policy.routetable import RetrySafety

ENTRY = {
    "service": "assistant",
    "address": "10.1.0.9:80",
    "zone": "suva",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "seq": 4,
    "born": 17,
}


def test_decodes_a_configuration():
    table = decode_configuration(CONFIG)
    brief = table.route("a.example", "/brief/1")
    assert (brief.retry_safety, brief.resumable, brief.max_upstreams) == (
        RetrySafety.STREAM,
        True,
        2,
    )
    assert table.customer("secret").units(None) == 10
    assert table.requires_api_keys


def test_accepts_unknown_fields_and_a_traffic_split():
    """A field that the platform adds must not invalidate the whole configuration."""
    config = msgspec.json.decode(CONFIG)
    config["new"] = 1
    config["routes"][0]["split"] = [
        {"service": "orders", "weight": 9},
        {"service": "other", "weight": 1},
    ]
    table = decode_configuration(msgspec.json.encode(config))
    assert table.routes[0].split == (("orders", 9), ("other", 1))


@pytest.mark.parametrize("data", [b"", b"{}", b"[1]", b"\xff", b'{"version": "x"}'])
def test_rejects_malformed_configurations(data):
    with pytest.raises(DocumentError):
        decode_configuration(data)


def test_decodes_an_upstream_entry():
    entry = decode_upstream_entry(msgspec.json.encode(ENTRY))
    assert (str(entry.endpoint), entry.leaving, entry.born) == ("10.1.0.9:80", False, 17)
    assert decode_upstream_entry(msgspec.json.encode(ENTRY | {"state": "draining"})).leaving


@pytest.mark.parametrize(
    "overrides",
    [
        {"state": "sleeping"},
        {"slots": 0},
        {"slots": "many"},
        {"address": "somewhere"},
        {"address": "10.0.0.1:0"},
        {"born": "yesterday"},
        {"service": None},
    ],
)
def test_rejects_unusable_upstream_entries(overrides):
    with pytest.raises(DocumentError):
        decode_upstream_entry(msgspec.json.encode(ENTRY | overrides))


def test_rejects_a_truncated_entry():
    with pytest.raises(DocumentError):
        decode_upstream_entry(msgspec.json.encode(ENTRY)[:40])


def test_odd_cold_values_of_an_entry_or_a_service_limit_nothing():
    """They would otherwise remove the upstream, or reject the configuration."""
    values = (None, "x", -1, 2.5, True, [1], 40)
    entries = [
        decode_upstream_entry(msgspec.json.encode(ENTRY | {"cold_remaining_ms": each}))
        for each in values
    ]
    assert [each.cold_ms for each in entries] == [0, 0, 0, 0, 0, 0, 40]
    config = msgspec.json.decode(CONFIG)
    services = [{"name": f"s{n}", "cold_per_s": each} for n, each in enumerate(values)]
    for odd in (None, "x", {"name": "x"}):
        decode_configuration(msgspec.json.encode(config | {"services": odd}))
    table = decode_configuration(msgspec.json.encode(config | {"services": services}))
    assert {name: each.requests_per_s for name, each in table.cold_starts.items()} == {
        "s3": 2.5,
        "s6": 40,
    }
