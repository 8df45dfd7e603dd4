"""Guards against reused or skipped offsets and against refused appends that take effect."""

import msgspec
import pytest

from skylarkmoor_core.errors import LogOutage, LogRateLimited
from skylarkmoor_standins.log_model import LogFaults, LogModel


def make_log(appends_per_s=300, retention_ms=1000):
    return LogModel(appends_per_s, retention_ms, now_ms=0)


def offsets(page):
    return [record.offset for record in page.records]


def test_offsets_are_consecutive_per_stream():
    log = make_log()
    appended = [log.append(stream, b"{}", 0).offset for stream in ("a", "a", "b", "a")]
    assert appended == [0, 1, 0, 2]


def test_read_continues_from_next():
    log = make_log()
    for _ in range(3):
        log.append("a", b"{}", 0)
    page = log.read("a", start=0, limit=2, now_ms=0)
    assert (offsets(page), page.next) == ([0, 1], 2)
    page = log.read("a", page.next, limit=2, now_ms=0)
    assert (offsets(page), page.next) == ([2], 3)
    assert log.read("a", page.next, limit=2, now_ms=0).next == 3


def test_retention_does_not_reuse_offsets():
    log = make_log(retention_ms=1000)
    log.append("a", b"{}", 0)
    log.append("a", b"{}", 900)
    page = log.read("a", start=0, limit=10, now_ms=1500)
    assert (offsets(page), page.first) == ([1], 1)
    assert log.append("a", b"{}", 5000).offset == 2


def test_rate_limited_append_has_no_effect():
    log = make_log(appends_per_s=2)
    log.append("a", b"{}", 0)
    log.append("a", b"{}", 0)
    with pytest.raises(LogRateLimited):
        log.append("a", b"{}", 0)
    assert offsets(log.read("a", 0, 10, 0)) == [0, 1]
    assert log.append("a", b"{}", 500).offset == 2


def test_append_with_lost_answer_takes_effect():
    log = make_log()
    log.faults = LogFaults(lost_answers=1)
    assert not log.append("a", b'{"n":1}', 0).answered
    assert log.append("a", b'{"n":2}', 0).answered
    records = log.read("a", 0, 10, 0).records
    assert [msgspec.json.decode(record.data) for record in records] == [{"n": 1}, {"n": 2}]


@pytest.mark.parametrize(
    ("faults", "appends", "reads"),
    [
        (LogFaults(outage=True), False, False),
        (LogFaults(outage_appends=True), False, True),
        (LogFaults(outage_reads=True), True, False),
    ],
)
def test_outage_affects_only_the_selected_operations(faults, appends, reads):
    log = make_log()
    log.faults = faults
    for allowed, operation in [
        (appends, lambda: log.append("a", b"{}", 0)),
        (reads, lambda: log.read("a", 0, 10, 0)),
    ]:
        if allowed:
            operation()
        else:
            with pytest.raises(LogOutage):
                operation()
