"""Guards the audit output against missing records, wrong matches and terminal escapes."""

import json

import pytest
import pytest_twisted

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.records import AuditEntry
from skylarkmoor_operator.audit import matches_filters, print_audit_records


def entry(who="mair", what="publish assistant", after="offset 4, version v2"):
    return AuditEntry(
        who=who,
        what=what,
        before="offset 1, version v1",
        after=after,
        at_ms=60_000,
        stream="config",
        offset=4,
    )


def test_service_filter_matches_moves_of_the_service():
    assert matches_filters(entry(what="move assistant@7 to v2"), "assistant", None)
    assert not matches_filters(entry(what="move assistant@7 to v2"), "orders", None)


@pytest_twisted.ensureDeferred
async def test_json_line_has_every_field(fake_log, log_url, capsys):
    fake_log.add("audit", entry())
    await print_audit_records(LogClient(log_url), as_json=True)
    assert json.loads(capsys.readouterr().out) == {
        "time": "1970-01-01T00:01:00Z",
        "at_ms": 60_000,
        "who": "mair",
        "what": "publish assistant",
        "from": "offset 1, version v1",
        "to": "offset 4, version v2",
        "stream": "config",
        "offset": 4,
        "audit_offset": 0,
    }


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize(
    ("filters", "expected_count"),
    [
        ({}, 3),
        ({"service": "assistant"}, 2),
        ({"who": "ann"}, 1),
        ({"service": "orders", "who": "mair"}, 0),
        ({"service": "assist"}, 0),
    ],
)
async def test_filters_match_whole_names_outside_the_reason(
    fake_log, log_url, capsys, filters, expected_count
):
    fake_log.add("audit", entry())
    fake_log.add("audit", entry(what="publish assistant: like orders"))
    fake_log.add("audit", entry(who="ann", what="publish orders"))
    await print_audit_records(LogClient(log_url), **filters)
    assert len(capsys.readouterr().out.splitlines()) == expected_count


@pytest_twisted.ensureDeferred
async def test_undecodable_record_is_reported_and_skipped(fake_log, log_url, capsys):
    fake_log.add("audit", {"type": "Unheard"})
    fake_log.add("audit", entry())
    await print_audit_records(LogClient(log_url))
    captured = capsys.readouterr()
    assert "offset 0 is not an audit record" in captured.err
    assert captured.out == (
        "1970-01-01T00:01:00Z mair; publish assistant; from offset 1, version v1; "
        "to offset 4, version v2; config offset 4\n"
    )


@pytest_twisted.ensureDeferred
async def test_control_characters_do_not_reach_the_terminal(fake_log, log_url, capsys):
    fake_log.add("audit", entry(what="publish assistant: \x1b[2J\nforged line"))
    await print_audit_records(LogClient(log_url))
    captured = capsys.readouterr().out
    assert "\x1b" not in captured
    assert captured.count("\n") == 1


@pytest_twisted.ensureDeferred
async def test_trail_longer_than_a_page_is_printed_completely(fake_log, log_url, capsys):
    for _ in range(250):
        fake_log.add("audit", entry())
    await print_audit_records(LogClient(log_url))
    assert len(capsys.readouterr().out.splitlines()) == 250
