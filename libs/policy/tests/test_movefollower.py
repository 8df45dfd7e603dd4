"""Tests that all daemons agree on each move and that a stopped version gets no requests."""

import msgspec
import pytest

from skylarkmoor_core.document import (
    Customer,
    Route,
    ServiceDocument,
    ServiceKind,
    Tier,
    VersionMove,
)
from skylarkmoor_core.records import MoveEnded, MoveResult, MoveStep
from skylarkmoor_policy.movefollower import (
    DesiredVersions,
    EndAccepted,
    MoveFollower,
    RecordDiscarded,
    StepAccepted,
    stopped_fact,
)

PLAN = VersionMove(version="v2", by_ms=10**9, steps_percent=(5, 100))
DOCUMENT = ServiceDocument(
    service="orders",
    kind=ServiceKind.PLAIN,
    tiers=(Tier(name="public", rank=0),),
    routes=(Route(name="order", tier="public"),),
    customers=(Customer(name="depot"),),
    version="v1",
    move=PLAN,
)
MOVE = "orders@7"


def step_record(number, predecessor, share=None, move=MOVE):
    share = (0, 5, 100)[number] if share is None else share
    return MoveStep(
        service="orders",
        move=move,
        version="v2",
        step=number,
        share_percent=share,
        predecessor=predecessor,
        author="h1",
    )


def end_record(result, move=MOVE):
    return MoveEnded(
        service="orders", move=move, version="v2", result=result, why="test", author="h1"
    )


def replay(*records, start=0):
    follower = MoveFollower()
    follower.set_document("orders", 7, DOCUMENT)
    for offset, record in enumerate(records, start):
        follower.apply_record(offset, offset, record)
    return follower


def measured_share(follower):
    versions = [follower.choose_version("orders", f"r{i}") for i in range(4000)]
    return round(100 * versions.count("v2") / len(versions))


ALL_STEPS = (step_record(0, None), step_record(1, 0), step_record(2, 1))
DONE, UNDONE = end_record(MoveResult.DONE), end_record(MoveResult.UNDONE)


@pytest.mark.parametrize(("steps", "percent"), [(0, 0), (1, 0), (2, 5), (3, 100)])
def test_share_follows_the_logged_steps(steps, percent):
    assert abs(measured_share(replay(*ALL_STEPS[:steps])) - percent) <= 1


def test_racing_step_is_discarded():
    follower = replay(step_record(0, None), step_record(1, 0))
    assert isinstance(follower.apply_record(2, 2, step_record(1, 0)), RecordDiscarded)
    assert follower.apply_record(3, 3, step_record(2, 1)) == StepAccepted(MOVE, 2, 100)


@pytest.mark.parametrize(
    "record",
    [
        step_record(1, None),
        step_record(2, 0),
        step_record(1, 0, share=50),
        step_record(1, 0, move="orders@6"),
    ],
)
def test_step_that_is_not_the_next_one_is_discarded(record):
    follower = replay(step_record(0, None))
    assert isinstance(follower.apply_record(1, 1, record), RecordDiscarded)
    assert follower.progress("orders").step == 0


def test_first_of_two_end_records_is_accepted():
    follower = replay(*ALL_STEPS)
    assert follower.apply_record(3, 3, UNDONE) == EndAccepted(MOVE, MoveResult.UNDONE, "test")
    assert isinstance(follower.apply_record(4, 4, DONE), RecordDiscarded)
    assert measured_share(follower) == 0


def test_move_is_not_done_before_its_last_step():
    assert isinstance(replay(*ALL_STEPS[:2]).apply_record(2, 2, DONE), RecordDiscarded)


@pytest.mark.parametrize(
    "records", [ALL_STEPS[:2], ALL_STEPS, (*ALL_STEPS, DONE), (*ALL_STEPS, UNDONE)]
)
def test_stopped_version_gets_no_further_requests(records):
    follower = replay()
    follower.apply_facts([stopped_fact(MOVE, 1)])
    for offset, record in enumerate(records):
        follower.apply_record(offset, offset, record)
        assert measured_share(follower) == 0
    assert follower.next_step_record("orders", "h1") is None


def test_stop_of_an_old_move_does_not_apply_to_a_new_one():
    follower = replay(*ALL_STEPS)
    follower.apply_facts([stopped_fact(MOVE, 1)])
    follower.set_document("orders", 9, DOCUMENT)
    assert follower.progress("orders").move == "orders@9"
    assert not follower.progress("orders").stopped


def test_carried_document_continues_its_move():
    follower = replay(*ALL_STEPS)
    follower.set_document("orders", 7, msgspec.structs.replace(DOCUMENT))
    assert follower.progress("orders").step == 2


def test_steps_read_before_their_document_are_applied_later():
    follower = MoveFollower()
    for offset, record in enumerate(ALL_STEPS):
        follower.apply_record(offset, offset, record)
    follower.set_document("orders", 7, DOCUMENT)
    assert follower.progress("orders").step == 2


def test_reader_that_missed_the_first_steps_accepts_later_records():
    follower = replay(ALL_STEPS[2], start=2)
    assert follower.progress("orders").step == 2
    assert replay(DONE, start=9).progress("orders").result is MoveResult.DONE


def test_next_step_is_accepted_once():
    follower = replay(*ALL_STEPS[:2])
    record = follower.next_step_record("orders", "h1")
    assert record == step_record(2, 1, share=75)
    follower.apply_record(2, 2, record)
    assert isinstance(follower.apply_record(3, 3, record), RecordDiscarded)
    assert follower.next_step_record("orders", "h1") is None


@pytest.mark.parametrize(("requests_per_s", "percent"), [(0, 75), (20, 75), (40, 50), (9_600, 1)])
def test_last_step_share_is_limited_for_comparison_and_at_high_rates(requests_per_s, percent):
    follower = replay(*ALL_STEPS[:2])
    record = follower.next_step_record("orders", "h1", requests_per_s)
    assert record.share_percent == percent
    follower.apply_record(2, 2, record)
    assert abs(measured_share(follower) - percent) <= 2
    follower.apply_record(3, 3, DONE)
    assert measured_share(follower) == 100


@pytest.mark.parametrize("percent", [-1, 0, 6])
def test_step_outside_its_published_share_is_discarded(percent):
    follower = replay(step_record(0, None))
    assert isinstance(
        follower.apply_record(1, 1, step_record(1, 0, share=percent)), RecordDiscarded
    )


def test_new_version_gets_no_requests_beyond_the_in_flight_limit():
    follower = replay(*ALL_STEPS)
    assert follower.choose_version("orders", "r1", new_in_flight=3, daemons=4) == "v2"
    assert follower.choose_version("orders", "r1", new_in_flight=4, daemons=4) == "v1"
    follower.apply_record(3, 3, DONE)
    assert follower.choose_version("orders", "r1", new_in_flight=4, daemons=4) == "v2"


def test_repeated_end_keeps_the_recorded_result():
    follower = replay(*ALL_STEPS, DONE)
    repeated = follower.end_record("orders", MoveResult.UNDONE, "carried", "h2")
    assert repeated.result is MoveResult.DONE


@pytest.mark.parametrize(
    ("records", "stopped", "wanted"),
    [
        ((), False, DesiredVersions(("v1",), (), 0)),
        (ALL_STEPS[:1], False, DesiredVersions(("v1", "v2"), (), 0)),
        (ALL_STEPS, False, DesiredVersions(("v1", "v2"), (), 2)),
        ((*ALL_STEPS, DONE), False, DesiredVersions(("v2",), (), 3)),
        ((*ALL_STEPS, UNDONE), True, DesiredVersions(("v1",), (), 3)),
        (ALL_STEPS, True, DesiredVersions(("v1",), ("v2",), 2)),
        ((*ALL_STEPS, DONE), True, DesiredVersions(("v1",), ("v2",), 3)),
    ],
)
def test_wanted_versions_carry_the_fencing_offset_of_the_last_record(records, stopped, wanted):
    follower = replay(*records)
    if stopped:
        follower.apply_facts([stopped_fact(MOVE, 1)])
    assert follower.desired_versions("orders") == wanted


def test_document_without_a_move_has_one_version():
    follower = MoveFollower()
    follower.set_document("orders", 7, msgspec.structs.replace(DOCUMENT, move=None))
    assert follower.choose_version("orders", "r1") == "v1"
    assert follower.desired_versions("orders") == DesiredVersions(("v1",), (), 0)
