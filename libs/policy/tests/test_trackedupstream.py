"""Guards against overfilled slots, misread records and undue exclusion of an upstream."""

import pytest

from skylarkmoor_policy.trackedupstream import (
    Load,
    RegisteredUpstream,
    TrackedUpstream,
    UpstreamStats,
)


def upstream(slots=2):
    return TrackedUpstream(RegisteredUpstream("engine", "assistant", ("10.0.0.1", 80), slots=slots))


def test_a_record_round_trips_through_its_values():
    record = UpstreamStats(100, 20.5, 3.5, 70.1, 2, 1)
    assert UpstreamStats.from_values(record.values()) == record


def test_a_record_of_the_wrong_length_is_rejected():
    with pytest.raises(ValueError, match="6 values, got 5"):
        UpstreamStats.from_values((1, 2, 3, 4, 5))


def test_requests_of_all_daemons_count_against_the_slots():
    """Daemons that counted only their own requests would together exceed the slots."""
    placed = upstream(slots=2)
    placed.own_load = Load(running=1, prefill_tokens=100)
    placed.peers_running, placed.peers_prefill_tokens = 1, 700
    assert (placed.running(), placed.prefill_tokens()) == (2, 800)
    # One request beyond the slots may queue at the engine.
    assert placed.has_capacity()
    placed.peers_running = 2
    assert not placed.has_capacity()


def test_pending_prefill_and_full_slots_raise_the_predicted_start():
    placed = upstream(slots=1)
    idle_ms = placed.predicted_first_token_ms(1_000)
    placed.peers_prefill_tokens = 4_000
    prefill_queued_ms = placed.predicted_first_token_ms(1_000)
    placed.peers_running = 3
    assert idle_ms < prefill_queued_ms < placed.predicted_first_token_ms(1_000)


def test_the_fault_rate_is_damped_while_few_answers_are_known():
    """A single failed answer must not exclude an upstream."""
    placed = upstream()
    placed.set_peer_record("peer", UpstreamStats(responses=1, failures=1).values())
    placed.refresh()
    assert 0 < placed.fault_rate < 0.2
    placed.set_peer_record("peer", UpstreamStats(responses=100, failures=100).values())
    placed.refresh()
    assert placed.fault_rate > 0.9
