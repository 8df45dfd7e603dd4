"""Guards the audit trail against records that are lost, mixed up or unreadable."""

import json

import pytest
import pytest_twisted

from skylarkmoor_clients.logservice import LogClient
from skylarkmoor_core.records import AuditEntry
from skylarkmoor_operator.audit import matches, print_trail


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


def test_moves_of_a_service_belong_to_its_trail():
    assert matches(entry(what="move assistant@7 to v2"), "assistant", None)
    assert not matches(entry(what="move assistant@7 to v2"), "orders", None)


@pytest_twisted.ensureDeferred
async def test_json_line_has_every_field(fake_log, log_url, capsys):
    fake_log.add("audit", entry())
    await print_trail(LogClient(log_url), as_json=True)
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
    ("filters", "shown"),
    [
        ({}, 3),
        ({"service": "assistant"}, 2),
        ({"who": "ann"}, 1),
        ({"service": "orders", "who": "mair"}, 0),
        ({"service": "assist"}, 0),
    ],
)
async def test_filters_select_whole_names(fake_log, log_url, capsys, filters, shown):
    fake_log.add("audit", entry())
    fake_log.add("audit", entry(what="publish assistant: like orders"))
    fake_log.add("audit", entry(who="ann", what="publish orders"))
    await print_trail(LogClient(log_url), **filters)
    assert len(capsys.readouterr().out.splitlines()) == shown


@pytest_twisted.ensureDeferred
async def test_unreadable_record_is_named_and_passed_over(fake_log, log_url, capsys):
    fake_log.add("audit", {"type": "Unheard"})
    fake_log.add("audit", entry())
    await print_trail(LogClient(log_url))
    printed = capsys.readouterr()
    assert "offset 0 is no audit record" in printed.err
    assert printed.out == (
        "1970-01-01T00:01:00Z mair; publish assistant; from offset 1, version v1; "
        "to offset 4, version v2; config offset 4\n"
    )


@pytest_twisted.ensureDeferred
async def test_control_characters_do_not_reach_the_terminal(fake_log, log_url, capsys):
    fake_log.add("audit", entry(what="publish assistant: \x1b[2J\nforged line"))
    await print_trail(LogClient(log_url))
    printed = capsys.readouterr().out
    assert "\x1b" not in printed
    assert printed.count("\n") == 1


@pytest_twisted.ensureDeferred
async def test_trail_longer_than_a_page_is_printed_whole(fake_log, log_url, capsys):
    for _ in range(250):
        fake_log.add("audit", entry())
    await print_trail(LogClient(log_url))
    assert len(capsys.readouterr().out.splitlines()) == 250
