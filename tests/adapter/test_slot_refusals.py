"""Guards against refusals that say or count the wrong thing, and slots that nobody accounts for."""

import pytest

from adapter_harness import chunk, request, stream_head

EVENT = b"id: 1\ndata: a\n\n"


def waits(harness):
    return harness.gateway.fleet.slot_coordinator._waits


def send_to_full_engine(harness, number, **headers):
    """Send a request that has to wait for a slot, and return its caller."""
    harness.add_upstream("e1", "assistant", 1, slots=1)
    harness.gateway.placement.set_peer_load("peer", {"e1": (2, 0)})
    caller = harness.caller()
    caller.send(request("/answer/1", "POST", b"x", Skylarkmoor_Deadline_Ms="12000", **headers))
    assert len(waits(harness)) == number
    return caller


@pytest.mark.parametrize(
    ("available_in_ms", "earliest_s", "latest_s"), [(800, 0.8, 1.0), (60_000, 2, 3.6)]
)
def test_a_request_that_is_refused_early_returns_when_a_slot_is_free(
    harness, available_in_ms, earliest_s, latest_s
):
    """Callers came back after a third of their time, while slots were idle or still taken."""
    caller = send_to_full_engine(harness, 1)
    (number,) = waits(harness)
    harness.gateway.fleet.slot_coordinator._refuse(number, available_in_ms)
    response = caller.received()
    assert response.startswith(b"HTTP/1.1 503 ")
    retry_after_s = float(response.split(b"Retry-After: ")[1].split(b"\r\n")[0])
    assert earliest_s <= retry_after_s <= latest_s
    assert not waits(harness)
    assert not harness.gateway._exchanges


def test_only_the_first_wait_of_a_request_may_be_refused_early(harness):
    """A stream that has begun would be broken off although a slot may become free for it."""
    harness.add_upstream("e1", "assistant", 1)
    caller = harness.caller()
    caller.send(request("/brief/1", "POST", b"x"))
    upstream = harness.accept()
    upstream.send(stream_head() + chunk(EVENT))
    harness.add_upstream("e2", "assistant", 2, slots=1)
    harness.gateway.placement.set_peer_load("peer", {"e2": (2, 0)})
    upstream.close(reset=True)
    harness.advance(25)
    (wait,) = waits(harness).values()
    assert wait.waiting.expedited
    assert wait.waiting.item.request_hash == 0


@pytest.mark.parametrize(("waited_ms", "expected"), [(0, "in_time"), (1_000, "late")])
def test_slots_are_counted_by_whether_their_answers_can_be_in_time(harness, waited_ms, expected):
    """Neither logs nor metrics told whether slots went to answers that were late already."""
    send_to_full_engine(harness, 1)
    harness.advance(waited_ms)
    harness.gateway.placement.set_peer_load("peer", {})
    harness.advance(25)
    text, _ = harness.gateway.metrics.render([])
    (line,) = [line for line in text.decode().splitlines() if "granted_slots_total{" in line]
    assert f'expected="{expected}"' in line
