"""Guards the decoding of configurations and entries, whole and faulty ones."""

import msgspec
import pytest

from adapter_harness import CONFIG
from skylarkmoor_adapter.records import decode_table, decode_upstream
from skylarkmoor_core.errors import DocumentError
from skylarkmoor_policy.routetable import Repeat

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


def test_a_configuration_becomes_a_table():
    table = decode_table(CONFIG)
    brief = table.route("a.example", "/brief/1")
    assert (brief.repeat, brief.resumable, brief.max_upstreams) == (Repeat.STREAM, True, 2)
    assert table.customer("secret").units(None) == 10
    assert table.needs_keys


def test_unknown_fields_and_a_split_are_taken():
    config = msgspec.json.decode(CONFIG)
    config["new"] = 1
    config["routes"][0]["split"] = [
        {"service": "orders", "weight": 9},
        {"service": "other", "weight": 1},
    ]
    table = decode_table(msgspec.json.encode(config))
    assert table.routes[0].split == (("orders", 9), ("other", 1))


@pytest.mark.parametrize("data", [b"", b"{}", b"[1]", b"\xff", b'{"version": "x"}'])
def test_what_is_no_configuration_is_refused(data):
    with pytest.raises(DocumentError):
        decode_table(data)


def test_an_entry():
    entry = decode_upstream(msgspec.json.encode(ENTRY))
    assert (str(entry.endpoint), entry.leaving, entry.born) == ("10.1.0.9:80", False, 17)
    assert decode_upstream(msgspec.json.encode(ENTRY | {"state": "draining"})).leaving


@pytest.mark.parametrize(
    "change",
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
def test_entries_that_name_no_usable_upstream_are_refused(change):
    with pytest.raises(DocumentError):
        decode_upstream(msgspec.json.encode(ENTRY | change))


def test_half_an_entry_is_refused():
    with pytest.raises(DocumentError):
        decode_upstream(msgspec.json.encode(ENTRY)[:40])
