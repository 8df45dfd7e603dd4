"""Guards against measurements that count twice, never, or for another instance."""

import pytest

from skylarkmoor_policy.speedsums import SpeedSums


def test_what_a_peer_measures_counts_once():
    here, peer = SpeedSums(1), SpeedSums(1)
    here.add_report("peer", peer.report())
    peer.add_first_token(640, 90)
    peer.add_held(500)
    here.add_report("peer", peer.report())
    here.add_report("peer", peer.report())
    assert here.first_token_sums() == peer.first_token_sums()
    assert here.held_sums() == (1, 500)


def test_a_lost_report_is_made_up_for_by_the_next():
    here, peer = SpeedSums(1), SpeedSums(1)
    here.add_report("peer", peer.report())
    peer.add_first_token(640, 90)
    peer.report()
    peer.add_first_token(1_280, 120)
    here.add_report("peer", peer.report())
    assert here.first_token_sums().requests == 2


def test_the_first_report_of_a_peer_counts_as_one_request():
    """Otherwise a daemon that has started would rate an upstream by what happened hours ago."""
    here, peer = SpeedSums(1), SpeedSums(1)
    for _ in range(500):
        peer.add_first_token(640, 90)
    here.add_report("peer", peer.report())
    sums = here.first_token_sums()
    assert (sums.requests, sums.tokens, sums.elapsed_ms) == (1, 640, 90)


def test_a_peer_that_was_forgotten_and_returns_does_not_count_again():
    here, peer = SpeedSums(1), SpeedSums(1)
    for _ in range(500):
        peer.add_first_token(640, 90)
    here.add_report("peer", peer.report())
    here.forget_peer("peer")
    here.add_report("peer", peer.report())
    assert here.first_token_sums().requests == 2


@pytest.mark.parametrize("change", [lambda r: r[:-1], lambda r: (r[0] + 1, *r[1:]), lambda r: ()])
def test_reports_of_another_instance_or_too_short_ones_are_ignored(change):
    here, peer = SpeedSums(1), SpeedSums(1)
    peer.add_first_token(640, 90)
    here.add_report("peer", change(peer.report()))
    assert here.weight() == 0


def test_reports_of_a_newer_build_with_more_sums_count():
    here, peer = SpeedSums(1), SpeedSums(1)
    peer.add_first_token(640, 90)
    here.add_report("peer", (*peer.report(), 7, 8))
    assert here.weight() == 1


def test_totals_that_fall_do_not_count():
    """A process that has started again, which was not noticed, counts from zero."""
    here = SpeedSums(1)
    here.add_report("peer", (1, 9, 90, 900, 900, 9_000, 0, 0, 0, 0))
    here.add_report("peer", (1, 8, 90, 900, 900, 9_000, 0, 0, 0, 0))
    assert here.weight() == 1


def test_what_was_measured_decays_to_nothing():
    """A daemon that is cut off must not rate upstreams for ever by what it knew before."""
    here = SpeedSums(1)
    here.decay(0)
    here.add_first_token(640, 90)
    here.decay(3_000)
    assert here.weight() == pytest.approx(0.5)
    here.decay(30_000)
    assert here.weight() == 0
