"""Guards against credit messages that are miscounted, counted twice or outside the interval."""

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


def test_same_seed_gives_same_counts():
    first, second = run_fleet(LOAD, seed=5), run_fleet(LOAD, seed=5)
    assert first.messages == second.messages
    assert first.message_bytes == second.message_bytes


def test_only_requests_of_the_measured_interval_are_counted():
    """Counting the requests of the warm-up as well would halve the messages per request."""
    run = run_fleet(LOAD, seed=5)
    assert run.dispatched == 2 * 10 * 2
    assert run.refused == 0
    assert run.submits.calls == run.dispatched
    assert run.ticks.calls == 2 * 2_000 // 20


def test_demands_are_renewed_and_answered_with_grants():
    """An active daemon renews its demand once a second at each upstream owned by a peer."""
    run = run_fleet(LOAD, seed=5)
    assert run.messages["Demand"] >= 3 * 2
    assert run.messages["Grant"] >= run.messages["Demand"]
    assert run.receives.calls == run.messages.total()


def test_single_daemon_sends_no_messages():
    """Messages of a daemon to itself must not count as traffic."""
    run = run_fleet(replace(LOAD, daemons=1), seed=5)
    assert run.messages.total() == 0
    assert run.bytes_per_s() == 0


def test_rates_are_per_daemon_and_second():
    run = run_fleet(LOAD, seed=5)
    assert run.messages_per_s() == run.messages.total() / 2 / 2
    assert run.bytes_per_s() == run.message_bytes.total() / 2 / 2


def test_message_bytes_include_the_envelope():
    """The size of a bare message would omit the sender in its envelope."""
    run = run_fleet(LOAD, seed=5)
    demand = Demand(upstream_id(0), START_MS, (0,) * 4, (0,) * 4, 0, (1,) * 4)
    min_bytes = len(encode_envelope(Envelope(host_name(0), INCARNATION, demand)))
    assert run.message_bytes["Demand"] >= min_bytes * run.messages["Demand"]
    grant = Grant(upstream_id(0), START_MS, (0,) * 4, 3_000)
    min_bytes = len(encode_envelope(Envelope(host_name(0), INCARNATION, grant)))
    assert run.message_bytes["Grant"] >= min_bytes * run.messages["Grant"]
