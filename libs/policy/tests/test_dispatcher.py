"""Guards against overfilled engines, blocked queues and slots for withdrawn requests."""

import random

from skylarkmoor_policy.dispatcher import Dispatcher, SlotRequirements, Ticket
from skylarkmoor_policy.placement import Placement
from skylarkmoor_policy.slotgroups import SlotGroup
from skylarkmoor_policy.trackedupstream import RegisteredUpstream
from skylarkmoor_policy.urgencyqueue import QueuedRequest


def make_dispatcher(slots=1):
    placement = Placement(random.Random(1))
    placement.set_upstream(
        RegisteredUpstream(
            "engine", "assistant", ("10.0.0.1", 80), slots=slots, version="v1", started_wall_ms=1
        )
    )
    return placement, Dispatcher(placement)


def make_waiting(host, number, *, tier=0, exclude=(), queue_deadline_ms=2_000):
    item = SlotRequirements(
        Ticket(host, number), SlotGroup("assistant"), 100, 0, 10, 10_000, frozenset(exclude)
    )
    return QueuedRequest(item, tier, tier, 0, 400, queue_deadline_ms)


def grant_offers(placement, dispatcher, now_ms=0):
    numbers = iter(range(1, 100))
    granted = []
    for offer in dispatcher.offers(now_ms):
        placement.grant_to_peer(
            offer.ticket.host, offer.upstream, offer.prompt_tokens, next(numbers)
        )
        granted.append(offer.ticket)
    return granted


def test_slots_go_to_the_most_urgent_requests_of_all_daemons():
    placement, dispatcher = make_dispatcher(slots=1)
    dispatcher.enqueue(make_waiting("one", 1, tier=1))
    dispatcher.enqueue(make_waiting("two", 1, tier=0))
    dispatcher.enqueue(make_waiting("three", 1, tier=2))
    # The engine has one slot and room for one request in its queue.
    assert grant_offers(placement, dispatcher) == [Ticket("two", 1), Ticket("one", 1)]
    assert len(dispatcher) == 1


def test_a_burst_of_all_daemons_does_not_overfill_a_new_engine():
    placement, dispatcher = make_dispatcher(slots=9)
    for host in range(9):
        for number in range(9):
            dispatcher.enqueue(make_waiting(f"host-{host}", number))
    assert len(grant_offers(placement, dispatcher)) == 10


def test_a_request_submitted_twice_is_queued_once():
    """Daemons repeat requests that may have been lost; a duplicate would take a second slot."""
    placement, dispatcher = make_dispatcher(slots=5)
    dispatcher.enqueue(make_waiting("one", 1))
    dispatcher.enqueue(make_waiting("one", 1))
    assert grant_offers(placement, dispatcher) == [Ticket("one", 1)]


def test_withdrawn_and_forgotten_requests_get_no_slot():
    placement, dispatcher = make_dispatcher(slots=5)
    dispatcher.enqueue(make_waiting("one", 1))
    dispatcher.enqueue(make_waiting("two", 1))
    dispatcher.cancel(Ticket("one", 1))
    dispatcher.remove_host("two")
    assert grant_offers(placement, dispatcher) == []


def test_expired_requests_get_no_slot():
    placement, dispatcher = make_dispatcher()
    dispatcher.enqueue(make_waiting("one", 1, queue_deadline_ms=100))
    assert grant_offers(placement, dispatcher, now_ms=100) == []
    assert len(dispatcher) == 0


def test_a_request_that_fits_nowhere_does_not_block_the_others():
    placement, dispatcher = make_dispatcher()
    dispatcher.enqueue(make_waiting("one", 1, exclude=("engine",)))
    dispatcher.enqueue(make_waiting("two", 1, tier=3))
    assert grant_offers(placement, dispatcher) == [Ticket("two", 1)]
