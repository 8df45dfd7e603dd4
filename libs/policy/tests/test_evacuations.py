"""Guards against evacuations that are lost, kept for good or revived by an old statement."""

import pytest

from skylarkmoor_core.logposition import LogPosition
from skylarkmoor_policy.evacuations import Evacuations


class Reader:
    """A gateway's table with a clock."""

    def __init__(self):
        self.table = Evacuations()
        self.now_ms = 1_000

    def read(self, era, end, is_complete=False, **orders):
        """Read up to a position; each order has its offset, negative if it takes back."""
        records = {
            name: (LogPosition(era, abs(offset)), offset > 0) for name, offset in orders.items()
        }
        return self.table.apply_records(
            records, LogPosition(era, end), self.now_ms, is_complete=is_complete
        )

    def hear(self, other):
        return self.table.merge(other.table.export(), self.now_ms)

    @property
    def evacuated(self):
        return set(self.table.in_force)


def test_an_order_holds_until_it_is_taken_back():
    reader = Reader()
    reader.read(1, 4, is_complete=True)
    assert [each.in_force for each in reader.read(1, 5, a=5)] == [True]
    assert reader.read(1, 9) == []
    assert [each.in_force for each in reader.read(1, 10, a=-10)] == [False]
    assert reader.evacuated == set()


def test_orders_overlap():
    reader = Reader()
    reader.read(1, 4, is_complete=True, a=2, b=4)
    reader.read(1, 6, a=-5, c=6)
    assert reader.evacuated == {"b", "c"}


def test_an_old_list_neither_ends_nor_revives_an_order():
    reader = Reader()
    reader.read(1, 8, is_complete=True, a=8)
    reader.read(1, 7, is_complete=True)
    assert reader.evacuated == {"a"}
    reader.read(1, 9, a=-9)
    reader.read(1, 8, is_complete=True, a=8)
    assert reader.evacuated == set()


def test_a_complete_list_without_the_order_ends_it():
    reader = Reader()
    reader.read(1, 8, is_complete=True, a=8)
    reader.read(1, 12, is_complete=True)
    assert reader.evacuated == set()


def test_no_domain_is_evacuated_by_an_order_without_a_name():
    """It would close all upstreams that name no failure domain."""
    reader = Reader()
    reader.table.apply_records(
        {"": (LogPosition(1, 3), True)}, LogPosition(1, 3), 0, is_complete=True
    )
    reader.table.merge({"": (1, 4, True)}, 0)
    assert reader.evacuated == set()


def test_a_host_without_the_log_learns_of_orders_and_their_end_from_peers():
    reader, cut_off = Reader(), Reader()
    reader.read(1, 5, is_complete=True, a=5)
    cut_off.hear(reader)
    assert cut_off.evacuated == {"a"}
    reader.read(1, 6, a=-6)
    cut_off.hear(reader)
    assert cut_off.evacuated == set()


def test_a_peer_that_missed_the_end_does_not_revive_an_order_but_learns_of_it():
    """The record was compacted away, so nobody who reads it now sees its deletion."""
    cut_off, started = Reader(), Reader()
    cut_off.read(1, 5, is_complete=True, a=5)
    started.read(1, 20, is_complete=True)
    started.hear(cut_off)
    assert started.evacuated == set()
    cut_off.hear(started)
    assert cut_off.evacuated == set()


@pytest.mark.parametrize("has_order", [True, False])
def test_a_restored_log_without_the_order_ends_it_only_after_it_may_be_written_again(has_order):
    reader = Reader()
    reader.read(1, 9, is_complete=True, a=9)
    reader.now_ms += 60_000
    reader.read(2, 3, is_complete=True)
    reader.now_ms += 2_400
    if has_order:
        reader.read(2, 4, a=4)
    else:
        reader.read(2, 4, is_complete=True)
    assert reader.evacuated == {"a"}
    assert reader.table.list_due_ms(reader.now_ms) == (None if has_order else 100)
    reader.now_ms += 100
    reader.read(2, 4, is_complete=True, **({"a": 4} if has_order else {}))
    assert reader.evacuated == ({"a"} if has_order else set())


def test_a_deletion_in_the_older_copy_does_not_end_a_later_order():
    reader = Reader()
    reader.read(1, 9, is_complete=True, a=9)
    reader.read(2, 3, is_complete=True)
    reader.read(2, 4, a=-4)
    assert reader.evacuated == {"a"}


def test_a_host_that_starts_after_a_restore_heeds_the_order_that_the_log_has_lost():
    known, started = Reader(), Reader()
    known.read(1, 9, is_complete=True, a=9)
    started.read(2, 3, is_complete=True)
    started.hear(known)
    assert started.evacuated == {"a"}
    started.now_ms += 2_500
    started.read(2, 3, is_complete=True)
    started.hear(known)
    assert started.evacuated == set()
    known.hear(started)
    assert known.evacuated == set()
