"""Guards against older records that pass as newer ones, and newer ones that are passed over."""

import pytest

from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_policy.recordage import (
    EntryAge,
    EntryHistory,
    OrderHistory,
    RecordAge,
    VersionHistory,
)

NEWER, SAME, OLDER = RecordAge.NEWER, RecordAge.SAME, RecordAge.OLDER


def replay(*records):
    """Return the ages of records, each given as era, offset and version, and the version."""
    history = VersionHistory()
    ages = [history.update(LogPosition(era, offset), version) for era, offset, version in records]
    return ages, history.version


@pytest.mark.parametrize(
    ("records", "ages", "version"),
    [
        # Within an era the offset decides.
        ([(1, 3, 8), (1, 3, 8), (1, 2, 9)], [NEWER, OLDER, OLDER], 8),
        ([(1, 3, 8), (1, 4, 7)], [NEWER, NEWER], 7),
        # An older copy, and what is written again on the way to what is known.
        ([(1, 6, 8), (2, 3, 5), (2, 4, 6), (2, 5, 8)], [NEWER, OLDER, OLDER, SAME], 8),
        # A new version at an offset that had another one.
        ([(1, 6, 8), (2, 6, 9)], [NEWER, NEWER], 9),
        # Once the copy has what is known, the offset decides again.
        ([(1, 6, 8), (2, 4, 8), (2, 5, 7)], [NEWER, SAME, NEWER], 7),
        # What was taken back on purpose stays so.
        ([(1, 6, 8), (1, 7, 6), (2, 6, 8), (2, 7, 6)], [NEWER, NEWER, OLDER, SAME], 6),
        # The offset of an answer that was made before the restore says nothing.
        ([(2, 1, 8), (1, 9, 5), (1, 9, 8), (1, 9, 9)], [NEWER, OLDER, SAME, NEWER], 9),
        ([(1, 1, 0), (2, 0, 0)], [NEWER, SAME], 0),
    ],
)
def test_the_age_of_a_record_follows_from_its_era_offset_and_version(records, ages, version):
    assert replay(*records) == (ages, version)


def entry_ages(*records):
    """Return the ages of the entries of one upstream: era, offset, start, sequence, leaving."""
    history = EntryHistory()
    return [
        history.update("e1", LogPosition(era, offset), EntryAge(*age))
        for era, offset, *age in records
    ]


@pytest.mark.parametrize(
    ("records", "ages"),
    [
        # Within an era the offset decides; the same record may be read again.
        ([(1, 3, 5, 9), (1, 3, 5, 9), (1, 2, 6, 1), (1, 4, 4, 1)], [NEWER, SAME, OLDER, NEWER]),
        # An older copy, what is written again, and the first entry after that.
        ([(1, 9, 5, 9), (2, 1, 5, 7), (2, 2, 5, 9), (2, 3, 5, 10)], [NEWER, OLDER, SAME, NEWER]),
        # A notice that was lost with the log, and one that the last entry did not have.
        ([(1, 9, 5, 9, True), (2, 1, 5, 8), (2, 2, 5, 9)], [NEWER, OLDER, OLDER]),
        ([(1, 9, 5, 9), (2, 1, 5, 9, True)], [NEWER, NEWER]),
        # A later instance under the same id begins its sequence anew.
        ([(1, 9, 5, 9), (2, 1, 6, 1), (3, 0, 5, 9)], [NEWER, NEWER, OLDER]),
        # Entries without a sequence number.
        ([(1, 9, 5, 0), (2, 1, 5, 0), (2, 2, 5, 0)], [NEWER, SAME, NEWER]),
    ],
)
def test_the_age_of_an_entry_follows_from_its_era_offset_and_what_it_says(records, ages):
    assert entry_ages(*records) == ages


def test_an_upstream_that_has_left_comes_back_with_a_newer_entry_only():
    history = EntryHistory()
    history.update("e1", LogPosition(1, 9), EntryAge(5, 9))
    history.mark_gone("e1", 1_000)
    assert history.gone_since(1_000) == {"e1": (5, 9)}
    history.update("e1", LogPosition(2, 3), EntryAge(5, 9))
    assert not history.is_listed("e1")
    history.update("e1", LogPosition(2, 4), EntryAge(5, 10))
    assert history.is_listed("e1")
    assert history.gone_since(0) == {}


@pytest.mark.parametrize(
    "late",
    [
        # A write that was carried out after the next one.
        EntryAge(5, 8),
        # An instance that is leaving does not become ready again, whatever the sequence.
        EntryAge(5, 10),
        # The instance before the one that is leaving.
        EntryAge(3, 20),
    ],
)
@pytest.mark.parametrize("is_gone", [False, True])
def test_within_an_era_a_late_write_does_not_bring_back_an_upstream_that_leaves(late, is_gone):
    """It was used again until its next entry, or until this one expired (DRAIN)."""
    history = EntryHistory()
    history.update("e1", LogPosition(1, 3), EntryAge(3, 20))
    history.update("e1", LogPosition(1, 9), EntryAge(5, 9, leaving=True))
    if is_gone:
        history.mark_gone("e1", 1_000)
    assert history.update("e1", LogPosition(1, 10), late) is OLDER
    assert history.is_listed("e1") is not is_gone
    # The position has been read, but what is known of the upstream stays.
    assert history.is_passed("e1", LogPosition(1, 9))
    assert history.update("e1", LogPosition(1, 11), EntryAge(6, 1)) is NEWER


def test_a_late_write_does_not_take_back_what_a_ready_upstream_says():
    history = EntryHistory()
    history.update("e1", LogPosition(1, 9), EntryAge(5, 9))
    assert history.update("e1", LogPosition(1, 10), EntryAge(5, 8)) is OLDER
    assert history.update("e1", LogPosition(1, 11), EntryAge(5, 10)) is NEWER


def test_an_instance_whose_clock_was_set_back_replaces_the_one_before():
    history = EntryHistory()
    history.update("e1", LogPosition(1, 9), EntryAge(5, 9))
    assert history.update("e1", LogPosition(1, 10), EntryAge(4, 1)) is NEWER


def test_within_an_era_a_silent_upstream_comes_back_with_any_entry():
    history = EntryHistory()
    history.update("e1", LogPosition(1, 9), EntryAge(5, 9))
    history.mark_gone("e1", 1_000)
    history.update("e1", LogPosition(1, 10), EntryAge(5, 9))
    assert history.is_listed("e1")


@pytest.mark.parametrize(
    ("own", "of_peer", "removed"),
    [
        ((5, 9), (5, 9), ["e1"]),
        ((5, 8), (5, 9), ["e1"]),
        ((5, 10), (5, 9), []),
        ((6, 1), (5, 9), []),
        ((5, 0), (5, 0), []),
    ],
)
def test_a_peer_removes_only_what_it_knows_to_have_left(own, of_peer, removed):
    """An upstream that was silent for a while would be lost if only its id counted."""
    history = EntryHistory()
    history.update("e1", LogPosition(2, 3), EntryAge(*own))
    assert history.add_gone({"e1": of_peer}, 0) == removed


def test_what_a_peer_knows_keeps_out_an_entry_that_is_read_later():
    history = EntryHistory()
    history.add_gone({"e1": (5, 9), "e2": (5, 0)}, 0)
    for name in ("e1", "e2"):
        history.update(name, LogPosition(2, 3), EntryAge(5, 9))
    assert history.listed() == {"e2"}


def test_upstreams_that_left_long_ago_are_forgotten():
    history = EntryHistory()
    history.update("e1", LogPosition(1, 9), EntryAge(5, 9))
    history.mark_gone("e1", 1_000)
    history.expire(601_000)
    assert history.gone_since(0) == {"e1": (5, 9)}
    history.expire(601_001)
    assert history.gone_since(0) == {}


@pytest.mark.parametrize(
    ("records", "ages"),
    [
        # Within an era each record is an order, and is read more than once.
        ([(1, 3, "a"), (1, 3, "a"), (1, 5, "a"), (1, 4, "b")], [NEWER, OLDER, NEWER, OLDER]),
        # The older copy has the last order, or it is written again; then it is ordered anew.
        ([(1, 9, "a"), (2, 3, "a"), (2, 3, "a"), (2, 5, "a")], [NEWER, SAME, OLDER, NEWER]),
        # The older copy has the order before the last one only.
        ([(1, 3, "a"), (1, 9, "b"), (2, 3, "a"), (2, 4, "b")], [NEWER, NEWER, OLDER, SAME]),
        # After the last order, an earlier one is a new one.
        (
            [(1, 3, "a"), (1, 9, "b"), (2, 3, "a"), (2, 4, "b"), (2, 5, "a")],
            [NEWER, NEWER, OLDER, SAME, NEWER],
        ),
        # A new order at an offset that another one had.
        ([(1, 3, "a"), (2, 3, "b")], [NEWER, NEWER]),
        ([(1, 3, "a"), (2, 3, "b"), (2, 4, "a")], [NEWER, NEWER, OLDER]),
        # Two restores.
        ([(1, 9, "a"), (2, 3, "a"), (3, 1, "a"), (3, 2, "b")], [NEWER, SAME, SAME, NEWER]),
    ],
)
def test_an_order_of_a_later_era_is_known_by_its_content(records, ages):
    history = OrderHistory()
    assert [
        history.update(LogPosition(*position), content) for *position, content in records
    ] == ages
