"""Guards what daemons add up of an upstream: load, speed and faults."""

import pytest

from skylarkmoor_policy.placedupstream import ListedUpstream, Load, PlacedUpstream, UpstreamRecord


def upstream(slots=2):
    return PlacedUpstream(ListedUpstream("engine", "assistant", ("10.0.0.1", 80), slots=slots))


def test_a_record_survives_its_transport():
    record = UpstreamRecord(100, 20.5, 3.5, 70.1, 2, 1)
    assert UpstreamRecord.of(record.values()) == record


def test_a_record_of_another_length_is_refused():
    with pytest.raises(ValueError, match="6 values, got 5"):
        UpstreamRecord.of((1, 2, 3, 4, 5))


def test_work_of_all_daemons_fills_an_upstream():
    """Daemons that counted only their own requests would overfill it together."""
    placed = upstream(slots=2)
    placed.own = Load(running=1, prefill_tokens=100)
    placed.peers_running, placed.peers_prefill_tokens = 1, 700
    assert (placed.running(), placed.prefill_tokens()) == (2, 800)
    # One more may wait at the engine.
    assert placed.has_room()
    placed.peers_running = 2
    assert not placed.has_room()


def test_prompts_ahead_and_missing_slots_delay_the_first_token():
    placed = upstream(slots=1)
    idle_ms = placed.start_ms(1_000)
    placed.peers_prefill_tokens = 4_000
    reading_ms = placed.start_ms(1_000)
    placed.peers_running = 3
    assert idle_ms < reading_ms < placed.start_ms(1_000)


def test_faults_count_less_while_few_answers_are_known():
    """One failed answer must not shut out an upstream."""
    placed = upstream()
    placed.set_peer_record("peer", UpstreamRecord(answers=1, faults=1).values())
    placed.refresh()
    assert 0 < placed.fault_part < 0.2
    placed.set_peer_record("peer", UpstreamRecord(answers=100, faults=100).values())
    placed.refresh()
    assert placed.fault_part > 0.9
