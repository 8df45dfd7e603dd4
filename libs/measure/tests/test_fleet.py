"""Guards the counting of credit messages: what is counted is what is sent, in each part once."""

from dataclasses import replace

from skylarkmoor_core.messages import Demand, Envelope, Grant, encode_envelope
from skylarkmoor_measure.fleet import (
    INCARNATION,
    START_MS,
    FleetLoad,
    host_name,
    run_fleet,
    upstream_id,
)

LOAD = FleetLoad(
    daemons=2, upstreams=3, requests_per_s=10, service_ms=500, warm_up_ms=2_000, measured_ms=2_000
)


def test_same_seed_counts_the_same():
    one, other = run_fleet(LOAD, seed=5), run_fleet(LOAD, seed=5)
    assert one.messages == other.messages
    assert one.message_bytes == other.message_bytes


def test_requests_of_the_measured_time_are_counted():
    """Counting the warm-up as well would halve the messages for each request."""
    run = run_fleet(LOAD, seed=5)
    assert run.dispatched == 2 * 10 * 2
    assert run.refused == 0
    assert run.submits.calls == run.dispatched
    assert run.ticks.calls == 2 * 2_000 // 20


def test_every_demand_is_answered_and_renewed():
    """A daemon in use renews its demand at each upstream it does not own once a second."""
    run = run_fleet(LOAD, seed=5)
    assert run.messages["Demand"] >= 3 * 2
    assert run.messages["Grant"] >= run.messages["Demand"]
    assert run.receipts.calls == run.messages.total()


def test_single_daemon_sends_nothing():
    """What a daemon tells itself is no traffic."""
    run = run_fleet(replace(LOAD, daemons=1), seed=5)
    assert run.messages.total() == 0
    assert run.bytes_per_s() == 0


def test_rates_are_for_one_daemon_and_one_second():
    run = run_fleet(LOAD, seed=5)
    assert run.messages_per_s() == run.messages.total() / 2 / 2
    assert run.bytes_per_s() == run.message_bytes.total() / 2 / 2


def test_bytes_are_those_of_whole_envelopes():
    """Sizes of bare messages would leave out the sender."""
    run = run_fleet(LOAD, seed=5)
    demand = Demand(upstream_id(0), START_MS, (0,) * 4, (0,) * 4, 0, (1,) * 4)
    least = len(encode_envelope(Envelope(host_name(0), INCARNATION, demand)))
    assert run.message_bytes["Demand"] >= least * run.messages["Demand"]
    grant = Grant(upstream_id(0), START_MS, (0,) * 4, 3_000)
    least = len(encode_envelope(Envelope(host_name(0), INCARNATION, grant)))
    assert run.message_bytes["Grant"] >= least * run.messages["Grant"]
