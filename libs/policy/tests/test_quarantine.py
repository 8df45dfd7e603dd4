"""Tests invariant I9: two crashes quarantine a request fleet-wide, other suspects are cleared."""

import itertools
import random

import pytest

from skylarkmoor_core.messages import Fact, FactKind
from skylarkmoor_policy.facts import SUSPECT_LIFETIME_MS, FactStore
from skylarkmoor_policy.quarantine import QuarantineState, SuspectTable, Suspicion

CRASHING, HARMLESS, UNRELATED = 1, 2, 3


def table_after_crashes(*crashes):
    table = SuspectTable()
    for upstream, incarnation, in_flight in crashes:
        table.record_crash(upstream, incarnation, in_flight, 0)
    return table


def test_request_without_crashes_runs_anywhere():
    assert SuspectTable().may_run(UNRELATED, "u1", [CRASHING])


def test_second_crash_quarantines():
    table = table_after_crashes(("u1", 1, [CRASHING]))
    assert table.quarantine_state(CRASHING) is QuarantineState.SUSPECT
    table.record_crash("u2", 1, [CRASHING], 0)
    assert table.quarantine_state(CRASHING) is QuarantineState.QUARANTINED
    assert not table.may_run(CRASHING, "u3", [])


def test_one_crash_reported_twice_counts_once():
    table = table_after_crashes(("u1", 1, [CRASHING]))
    assert table.record_crash("u1", 1, [CRASHING], 5) == []
    table.apply([Fact(FactKind.SUSPECT, Suspicion(CRASHING, "u1", 1).subject, (9,))])
    assert table.quarantine_state(CRASHING) is QuarantineState.SUSPECT


def test_two_incarnations_of_an_upstream_are_two_crashes():
    table = table_after_crashes(("u1", 1, [CRASHING]), ("u1", 2, [CRASHING]))
    assert table.quarantine_state(CRASHING) is QuarantineState.QUARANTINED


def test_report_without_the_incarnation_is_no_second_crash():
    table = table_after_crashes(("u1", 7, [CRASHING]), ("u1", 0, [CRASHING]))
    assert table.quarantine_state(CRASHING) is QuarantineState.SUSPECT
    table.record_crash("u2", 0, [CRASHING], 0)
    assert table.quarantine_state(CRASHING) is QuarantineState.QUARANTINED


def test_suspect_does_not_run_concurrently_with_another_suspect():
    table = table_after_crashes(("u1", 1, [CRASHING, HARMLESS]))
    assert not table.may_run(HARMLESS, "u2", [CRASHING])
    assert table.may_run(HARMLESS, "u2", [UNRELATED])


def test_suspect_runs_one_copy_at_a_time():
    assert not table_after_crashes(("u1", 1, [CRASHING])).may_run(
        CRASHING, "u2", [], running_copies=1
    )


def test_suspect_is_sent_to_the_crashed_upstream_only_if_there_is_no_other():
    table = table_after_crashes(("u1", 1, [CRASHING]))
    assert not table.may_run(CRASHING, "u1", [])
    assert not table.may_run(CRASHING, "u1", [], usable=["u1", "u2"])
    assert table.may_run(CRASHING, "u1", [], usable=["u1"])


def test_suspects_of_one_crash_are_assigned_different_upstreams():
    """Guards against two daemons running suspects of the same crash on one upstream."""
    suspects, usable = [10, 11, 12, 13, 14], ["u1", "u2", "u3", "u4"]
    table = table_after_crashes(("u1", 1, suspects))

    def permitted_upstreams(request):
        return [each for each in usable if table.may_run(request, each, [], usable=usable)]

    assert [permitted_upstreams(each) for each in suspects] == [["u2"], ["u3"], ["u4"], [], []]
    table.record_completion(11, 5)
    assert permitted_upstreams(10) == ["u2"]
    assert permitted_upstreams(13) == []
    table.record_completion(10, 5)
    table.record_completion(12, 5)
    assert [permitted_upstreams(13), permitted_upstreams(14)] == [["u2"], ["u3"]]


def test_suspect_is_cleared_when_it_completes():
    table = table_after_crashes(("u1", 1, [CRASHING, HARMLESS]))
    (fact,) = table.record_completion(HARMLESS, 5)
    assert fact == Fact(FactKind.SUSPECT_CLEARED, Suspicion(HARMLESS, "u1", 1).subject, (5,))
    assert table.quarantine_state(HARMLESS) is QuarantineState.CLEAR
    assert table.quarantine_state(CRASHING) is QuarantineState.SUSPECT


def test_suspect_is_clear_once_the_crash_is_attributed_to_another_request():
    table = table_after_crashes(("u1", 1, [CRASHING, HARMLESS]), ("u2", 1, [CRASHING, UNRELATED]))
    assert table.quarantine_state(HARMLESS) is QuarantineState.CLEAR
    assert table.quarantine_state(UNRELATED) is QuarantineState.CLEAR
    assert table.quarantine_state(CRASHING) is QuarantineState.QUARANTINED


def test_attributed_crash_still_counts_when_another_follows():
    table = table_after_crashes(
        ("u1", 1, [CRASHING, UNRELATED]), ("u2", 1, [CRASHING]), ("u3", 1, [UNRELATED])
    )
    assert table.quarantine_state(UNRELATED) is QuarantineState.QUARANTINED


def test_crash_after_a_clearing_is_a_new_suspicion():
    table = table_after_crashes(("u1", 1, [CRASHING]))
    table.record_completion(CRASHING, 5)
    table.record_crash("u2", 1, [CRASHING], 6)
    assert table.quarantine_state(CRASHING) is QuarantineState.SUSPECT


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_cleared_suspicion_stays_cleared_in_any_order_of_facts(order):
    subject = Suspicion(HARMLESS, "u1", 1).subject
    facts = [
        Fact(FactKind.SUSPECT, subject, (1,)),
        Fact(FactKind.SUSPECT_CLEARED, subject, (5,)),
        Fact(FactKind.SUSPECT, subject, (9,)),
    ]
    table = SuspectTable()
    table.apply([facts[i] for i in order])
    assert table.quarantine_state(HARMLESS) is QuarantineState.CLEAR


def test_suspicion_expires_after_ten_minutes():
    table = table_after_crashes(("u1", 1, [CRASHING]), ("u2", 1, [CRASHING]))
    table.expire(SUSPECT_LIFETIME_MS - 1)
    assert table.quarantine_state(CRASHING) is QuarantineState.QUARANTINED
    table.expire(SUSPECT_LIFETIME_MS)
    assert table.quarantine_state(CRASHING) is QuarantineState.CLEAR


def test_clearing_outlives_the_suspicion_in_the_fact_store():
    store, table = FactStore(), SuspectTable()
    suspicions = table.record_crash("u1", 1, [HARMLESS], 0)
    cleared = table.record_completion(HARMLESS, 1)
    store.merge([*suspicions, *cleared])
    assert store.expire(SUSPECT_LIFETIME_MS) == suspicions
    assert store.get(FactKind.SUSPECT_CLEARED, cleared[0].subject) is not None


def test_malformed_subject_is_rejected():
    with pytest.raises(ValueError, match="'x'"):
        Suspicion.from_subject("x")


def test_malformed_fact_is_skipped():
    table = SuspectTable()
    valid_fact = Fact(FactKind.SUSPECT, Suspicion(CRASHING, "u1", 1).subject, (1,))
    table.apply([Fact(FactKind.SUSPECT, "x/y/z", (1,)), valid_fact])
    assert table.quarantine_state(CRASHING) is QuarantineState.SUSPECT


@pytest.mark.parametrize("seed", range(20))
def test_crashing_request_stops_two_upstreams_and_all_others_complete(seed):
    # Each daemon has its own table; facts reach all tables before a request is retried.
    rng = random.Random(seed)
    tables = [SuspectTable() for _ in range(3)]
    crashing_request, crashes, incarnation_by_upstream = (
        0,
        0,
        dict.fromkeys(["u1", "u2", "u3", "u4"], 1),
    )
    waiting = list(range(24))
    for _ in range(2000):
        if not waiting:
            break
        table, upstream = rng.choice(tables), rng.choice(sorted(incarnation_by_upstream))
        batch = []
        for request in list(waiting):
            if len(batch) < 4 and table.may_run(request, upstream, batch):
                batch.append(request)
                waiting.remove(request)
        if crashing_request in batch:
            facts = table.record_crash(upstream, incarnation_by_upstream[upstream], batch, 0)
            incarnation_by_upstream[upstream] += 1
            crashes += 1
            waiting += batch
        else:
            facts = [fact for request in batch for fact in table.record_completion(request, 0)]
        for each in tables:
            each.apply(facts)
        waiting = [
            waiting_request
            for waiting_request in waiting
            if table.quarantine_state(waiting_request) is not QuarantineState.QUARANTINED
        ]
    assert crashes == 2, f"seed {seed}"
    assert waiting == [], f"seed {seed}"
    assert tables[0].quarantine_state(crashing_request) is QuarantineState.QUARANTINED
