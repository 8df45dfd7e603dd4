"""Guards against notices of upstreams that are lost, never end or bind another instance."""

import pytest

from skylarkmoor_policy.upstreamnotices import (
    AnswerNotices,
    InstanceId,
    NoticeChange,
    NoticeKind,
    NoticeTable,
)

FIRST, SECOND = InstanceId("e1", 1), InstanceId("e1", 2)


@pytest.fixture
def table():
    return NoticeTable()


def test_each_notice_is_reported_once_until_it_changes(table):
    notices = AnswerNotices(
        leaving=True, retry_after_ms=500, max_requests_per_s=2.0, max_refusals_per_s=3.0
    )
    assert [(each.kind, each.value) for each in table.record_answer(FIRST, notices, 0, 0)] == [
        (NoticeKind.LEAVING, 1),
        (NoticeKind.RETRY_AFTER, 500),
        (NoticeKind.LIMIT, 2.0),
        (NoticeKind.BRITTLE, 3.0),
    ]
    assert table.record_answer(FIRST, notices, 10, 10) == []
    assert table.counts(10) == dict.fromkeys(NoticeKind, 1)


def test_an_answer_without_the_header_ends_a_limit_but_not_the_leaving(table):
    table.record_answer(FIRST, AnswerNotices(leaving=True, max_requests_per_s=2.0), 0, 0)
    change = NoticeChange(FIRST, NoticeKind.LIMIT, None)
    assert table.record_answer(FIRST, AnswerNotices(), 10, 10) == [change]
    assert table.counts(10)[NoticeKind.LEAVING] == 1


def test_an_invalid_limit_changes_nothing(table):
    table.record_answer(FIRST, AnswerNotices(max_requests_per_s=2.0), 0, 0)
    invalid = AnswerNotices(invalid=((NoticeKind.LIMIT, "few"),))
    assert table.record_answer(FIRST, invalid, 10, 10) == []
    assert table.counts(10)[NoticeKind.LIMIT] == 1


def test_an_invalid_value_is_the_first_one_once(table):
    assert table.is_first_invalid(FIRST, NoticeKind.LIMIT, 0)
    assert not table.is_first_invalid(FIRST, NoticeKind.LIMIT, 10)
    assert table.is_first_invalid(FIRST, NoticeKind.LEAVING, 10)
    assert table.is_first_invalid(SECOND, NoticeKind.LIMIT, 10)


def test_the_end_of_a_pause_is_reported_once(table):
    table.record_answer(FIRST, AnswerNotices(retry_after_ms=500), 0, 0)
    table.record_answer(FIRST, AnswerNotices(retry_after_ms=100), 10, 10)
    assert table.expire([FIRST], 499) == []
    assert table.expire([FIRST], 500) == [NoticeChange(FIRST, NoticeKind.RETRY_AFTER, None)]
    assert table.expire([FIRST], 501) == []


def test_an_instance_is_forgotten_ten_minutes_after_it_was_listed_last(table):
    table.record_answer(FIRST, AnswerNotices(leaving=True), 0, 0)
    table.expire([FIRST], 1_000)
    table.expire([], 601_000)
    assert table.is_leaving(FIRST)
    table.expire([], 601_001)
    assert not table.is_leaving(FIRST)


def test_leaving_is_final_for_an_instance_and_does_not_bind_the_next_one(table):
    assert table.record_leaving(FIRST, 0)
    assert not table.record_leaving(FIRST, 10)
    assert table.is_leaving(FIRST)
    assert not table.is_leaving(SECOND)
    assert table.leaving_since(0) == [FIRST]
    assert table.leaving_since(1) == []


def test_an_answer_that_was_read_late_does_not_replace_a_later_limit(table):
    table.record_limit(FIRST, 2.0, 500, 500)
    assert table.record_answer(FIRST, AnswerNotices(), 400, 1_000) == []
    assert table.limit(FIRST) == (2.0, 500)


def test_only_instances_that_are_listed_are_counted(table):
    table.record_leaving(FIRST, 0)
    table.record_leaving(SECOND, 0)
    table.expire([SECOND], 10)
    assert table.counts(10)[NoticeKind.LEAVING] == 1


@pytest.mark.parametrize(
    ("kind", "limits"), [(NoticeKind.BRITTLE, (4.0, 1.0)), (NoticeKind.LIMIT, (2.0, 5.0))]
)
def test_an_invalid_limit_leaves_the_other_one_readable(table, kind, limits):
    """An upstream that named one limit well and another badly got requests without any."""
    first = AnswerNotices(max_requests_per_s=2.0, max_refusals_per_s=1.0)
    table.record_answer(FIRST, first, 0, 0)
    values = {
        NoticeKind.BRITTLE: {"max_requests_per_s": 4.0},
        NoticeKind.LIMIT: {"max_refusals_per_s": 5.0},
    }
    notices = AnswerNotices(invalid=((kind, "x"),), **values[kind])
    table.record_answer(FIRST, notices, 10, 10)
    assert (table.limit(FIRST)[0], table.max_refusals_per_s(FIRST)) == limits
