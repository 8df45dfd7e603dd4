"""Guards the record of calls that ran, by which tests of at-most-once calls judge."""

import random

import pytest

from skylarkmoor_standins.plain_model import CallEnd, PlainFaults, PlainModel, body_text
from skylarkmoor_standins.refusals import Leaving


def make_service(capacity=8, **faults):
    service = PlainModel(service_ms=10, capacity=capacity, rng=random.Random(1))
    service.faults = PlainFaults(**faults)
    return service


def ends(records):
    return [(record.attempt, record.end) for record in records]


def test_a_call_ends_after_its_service_time():
    service = make_service()
    service.arrive("a", "order", "x")
    assert service.advance(0) == []
    assert service.next_ms() == 10
    assert ends(service.advance(10)) == [("a", CallEnd.DONE)]


def test_calls_over_the_capacity_wait_and_are_not_recorded():
    service = make_service(capacity=1)
    service.arrive("a", "order", "x")
    service.arrive("b", "order", "x")
    service.advance(0)
    assert (service.running, service.waiting, len(service.calls)) == (1, 1, 1)
    service.advance(10)
    assert [(record.attempt, record.at_ms) for record in service.calls] == [("a", 0), ("b", 10)]


def test_an_abandoned_call_runs_only_if_it_had_started():
    service = make_service(capacity=1)
    first = service.arrive("a", "order", "x")
    second = service.arrive("b", "order", "x")
    service.advance(0)
    service.abandon(first)
    service.abandon(second)
    assert ends(service.advance(100)) == [("a", CallEnd.DONE)]
    assert len(service.calls) == 1


def test_a_leaving_service_runs_nothing_new():
    service = make_service()
    service.arrive("a", "order", "x")
    service.advance(0)
    service.faults = PlainFaults(leaving=True)
    with pytest.raises(Leaving):
        service.arrive("b", "order", "x")
    assert ends(service.advance(10)) == [("a", CallEnd.DONE)]
    assert len(service.calls) == 1


@pytest.mark.parametrize(
    ("faults", "end"),
    [
        ({"lost_answers": 1}, CallEnd.LOST),
        ({"error_rate": 1.0}, CallEnd.ERROR),
        ({"crash_on": "boom"}, CallEnd.CRASH),
    ],
)
def test_a_failed_call_is_recorded_as_run(faults, end):
    service = make_service(**faults)
    service.arrive("a", "order", {"note": "boom"})
    service.advance(0)
    service.advance(10)
    assert ends(service.calls) == [("a", end)]


def test_equal_bodies_have_equal_text():
    assert body_text({"b": 1, "a": 2}) == body_text({"a": 2, "b": 1}) == '{"a":2,"b":1}'
