"""Guards against copies that displace first attempts, and refused requests that begin anew."""

import pytest

from skylarkmoor_policy.requesthistory import RequestHistory


@pytest.mark.parametrize(("after_ms", "returning"), [(6_000, True), (6_001, False)])
def test_a_request_returns_once_and_soon_after_a_refusal(after_ms, returning):
    history = RequestHistory()
    history.add(7, "first", 0)
    history.record_refusal(7, "first", 0)
    history.add(7, "again", after_ms)
    assert history.is_returning(7, "again") == returning
    history.remove(7, "again")
    history.add(7, "third", after_ms)
    assert not history.is_returning(7, "third")


def test_a_request_that_has_just_got_a_slot_makes_identical_ones_copies():
    history = RequestHistory()
    history.add(7, "first", 0)
    history.record_grant(7, "first", 100)
    history.add(7, "first", 600)
    history.add(7, "second", 600)
    # A repeated request for the slot of the first one, whose grant was lost, is no copy.
    assert not history.is_copy(7, "first", 600)
    history.remove(7, "first")
    assert history.is_copy(7, "second", 1_100)
    assert not history.is_copy(7, "second", 1_101)


def test_the_refusal_of_a_copy_gives_no_better_place():
    """Callers that send several copies would have a place in front after one of them is refused."""
    history = RequestHistory()
    for key in ("first", "second"):
        history.add(7, key, 0)
    history.record_refusal(7, "second", 100)
    history.remove(7, "first")
    history.add(7, "third", 200)
    assert not history.is_returning(7, "third")


def test_requests_without_a_hash_are_all_different():
    """Requests of older builds and without a body would all be copies of one another."""
    history = RequestHistory()
    for key in ("first", "second"):
        history.add(0, key, 0)
    history.record_grant(0, "first", 0)
    history.record_refusal(0, "second", 0)
    history.add(0, "third", 0)
    assert not history.is_copy(0, "third", 0)
    assert not history.is_returning(0, "third")


def test_the_memory_is_bounded():
    history = RequestHistory()
    for number in range(1, 5_001):
        history.add(number, number, 0)
        history.record_refusal(number, number, 0)
        history.add(-number, number, 0)
        history.record_grant(-number, number, 0)
    assert len(history._refused_ms) == len(history._granted) == 4_096
    assert not history._waiting
    history.record_grant(0, "later", 10_000)
    assert not history._refused_ms
    assert not history._granted
