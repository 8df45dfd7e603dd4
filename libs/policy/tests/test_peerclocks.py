"""Guards against times of peers that look newer than they are."""

import pytest

from skylarkmoor_policy.peerclocks import PeerClocks


@pytest.fixture
def clocks():
    observed = PeerClocks()
    observed.observe("peer", 1, 100, 1_105)
    return observed


def test_a_message_that_was_held_up_does_not_move_the_clock_of_its_sender(clocks):
    clocks.observe("peer", 1, 200, 9_000)
    assert clocks.local_ms("peer", 190, 9_000) == 1_195


def test_a_faster_message_shows_more_precisely_when_it_was_sent(clocks):
    clocks.observe("peer", 1, 200, 1_202)
    assert clocks.local_ms("peer", 150, 1_202) == 1_152


def test_a_new_incarnation_has_a_clock_of_its_own(clocks):
    clocks.observe("peer", 2, 5, 3_000)
    assert clocks.local_ms("peer", 4, 3_000) == 2_999


def test_no_time_of_a_peer_is_in_the_future(clocks):
    assert clocks.local_ms("peer", 500, 1_200) == 1_200
    assert clocks.local_ms("unknown", 500, 1_200) == 1_200


def test_a_forgotten_peer_is_unknown(clocks):
    clocks.forget("peer")
    assert clocks.local_ms("peer", 0, 2_000) == 2_000


def test_a_time_is_not_newer_than_the_question_that_its_sender_has_answered(clocks):
    """Nothing bounds the delay of a first message, which may have been held up for seconds."""
    assert clocks.earliest_local_ms("peer", 1, 100, 5_000) is None
    clocks.observe_answer("peer", 1, 5_000, 400)
    assert clocks.earliest_local_ms("peer", 1, 400, 5_010) == 5_000
    assert clocks.earliest_local_ms("peer", 1, 300, 5_010) == 4_900


def test_a_faster_answer_shows_more_precisely_when_it_was_sent(clocks):
    clocks.observe_answer("peer", 1, 5_000, 400)
    clocks.observe_answer("peer", 1, 5_020, 410)
    clocks.observe_answer("peer", 1, 5_100, 700)
    assert clocks.earliest_local_ms("peer", 1, 410, 6_000) == 5_020


def test_the_answer_of_an_earlier_incarnation_says_nothing_of_a_new_clock(clocks):
    clocks.observe_answer("peer", 1, 5_000, 400)
    assert clocks.earliest_local_ms("peer", 2, 400, 6_000) is None
    clocks.forget("peer")
    assert clocks.earliest_local_ms("peer", 1, 400, 6_000) is None
