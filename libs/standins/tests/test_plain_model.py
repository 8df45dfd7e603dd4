"""Guards against wrong records of started calls, on which tests of at-most-once calls rely."""

import random

import pytest

from skylarkmoor_standins.errors import UpstreamLeaving
from skylarkmoor_standins.plain_model import CallOutcome, PlainFaults, PlainModel, body_text


def make_service(capacity=8, **faults):
    service = PlainModel(service_ms=10, capacity=capacity, rng=random.Random(1))
    service.faults = PlainFaults(**faults)
    return service


def outcomes(records):
    return [(record.attempt, record.end) for record in records]


def test_call_ends_after_its_service_time():
    service = make_service()
    service.enqueue("a", "order", "x")
    assert service.advance(0) == []
    assert service.next_event_ms() == 10
    assert outcomes(service.advance(10)) == [("a", CallOutcome.DONE)]


def test_calls_beyond_capacity_wait_unrecorded():
    service = make_service(capacity=1)
    service.enqueue("a", "order", "x")
    service.enqueue("b", "order", "x")
    service.advance(0)
    assert (service.running, service.waiting, len(service.calls)) == (1, 1, 1)
    service.advance(10)
    assert [(record.attempt, record.at_ms) for record in service.calls] == [("a", 0), ("b", 10)]


def test_abandoned_call_runs_only_if_already_started():
    service = make_service(capacity=1)
    first = service.enqueue("a", "order", "x")
    second = service.enqueue("b", "order", "x")
    service.advance(0)
    service.abandon(first)
    service.abandon(second)
    assert outcomes(service.advance(100)) == [("a", CallOutcome.DONE)]
    assert len(service.calls) == 1


def test_leaving_service_refuses_new_calls():
    service = make_service()
    service.enqueue("a", "order", "x")
    service.advance(0)
    service.faults = PlainFaults(leaving=True)
    with pytest.raises(UpstreamLeaving):
        service.enqueue("b", "order", "x")
    assert outcomes(service.advance(10)) == [("a", CallOutcome.DONE)]
    assert len(service.calls) == 1


@pytest.mark.parametrize(
    ("faults", "end"),
    [
        ({"lost_answers": 1}, CallOutcome.LOST),
        ({"error_rate": 1.0}, CallOutcome.ERROR),
        ({"crash_on": "boom"}, CallOutcome.CRASH),
    ],
)
def test_failed_call_is_recorded(faults, end):
    service = make_service(**faults)
    service.enqueue("a", "order", {"note": "boom"})
    service.advance(0)
    service.advance(10)
    assert outcomes(service.calls) == [("a", end)]


def test_equal_bodies_have_equal_text():
    assert body_text({"b": 1, "a": 2}) == body_text({"a": 2, "b": 1}) == '{"a":2,"b":1}'
